"""Signals at each moment of an entry host's process, from its start to its end."""

import asyncio
import contextlib
import signal

import pytest
from deployed_host import GRACE_S, deployed_host

pytestmark = pytest.mark.processes

# Waits at one place until the test removes a file. The module that it stands for is
# the first large one that the host imports.
WAITING_IMPORT = """
import importlib, os, sys, time
open({waiting!r}, "w").close()
while os.path.exists({waiting!r}):
    time.sleep(0.002)
sys.path.remove(os.path.dirname(__file__))
del sys.modules["uvloop"]
importlib.import_module("uvloop")
"""


@contextlib.asynccontextmanager
async def host(folder, module=None, **options):
    """A host with a store; it may wait where a module says until a file is removed."""
    waiting = folder / "waiting"
    modules = {}
    if module is not None:
        modules["uvloop"] = module.format(waiting=str(waiting))
    async with deployed_host(folder, modules=modules, **options) as process:
        yield process, waiting


async def until_exists(path, process):
    while not path.exists():
        assert process.exit_code() is None, process.log_text()
        await asyncio.sleep(0.002)


def run(coroutine):
    asyncio.run(asyncio.wait_for(coroutine, 60))


def test_reload_signal_during_imports_does_not_end_the_process(tmp_path):
    """Guards against an end by SIGHUP before the event loop has its handlers."""

    async def main():
        async with host(tmp_path, WAITING_IMPORT) as (process, waiting):
            process.spawn()
            await until_exists(waiting, process)
            for _ in range(20):
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.001)
            waiting.unlink()
            await process.until_listening("front")
            await process.until_logged("event=settings_reloaded")
            assert await process.terminate_and_wait() == 0

    run(main())


@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_stop_signal_during_imports_is_a_planned_stop(tmp_path, number):
    """Guards against an end by the signal, which looks like a crash to the platform."""

    async def main():
        async with host(tmp_path, WAITING_IMPORT) as (process, waiting):
            process.spawn()
            await until_exists(waiting, process)
            process.send_signal(number)
            waiting.unlink()
            assert await process.wait_for_exit() == 0
            assert "event=stopped" in process.log_text()
            assert "event=ready" not in process.log_text()

    run(main())


def test_series_of_reloads_during_a_stop_ends_regularly(tmp_path):
    """Guards against a moment between the stop and the exit without a handler."""

    async def main():
        async with host(tmp_path) as (process, _):
            process.spawn()
            await process.until_listening("front")
            process.send_signal(signal.SIGTERM)
            while process.exit_code() is None:
                process.send_signal(signal.SIGHUP)
                await asyncio.sleep(0.0005)
            assert process.exit_code() == 0

    run(main())


def test_stop_while_the_configuration_is_missing_ends_within_the_grace(tmp_path):
    """Guards against a stop that begins only after the start has given up waiting."""

    async def main():
        async with host(tmp_path, has_configuration=False) as (process, _):
            process.spawn()
            await process.until_listening("control")
            loop = asyncio.get_running_loop()
            began_s = loop.time()
            assert await process.terminate_and_wait() == 0
            assert loop.time() - began_s < GRACE_S
            assert not process.log_text().count("event=ready")

    run(main())
