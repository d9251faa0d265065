"""What an entry host's process meets at its start: addresses, settings, limits."""

import asyncio
import os
import re
import resource
import signal
import socket

import aiohttp
import pytest
from deployed_host import deployed_host, occupy
from platform_samples import IDEMPOTENT_ROUTE, sample_configuration

from gypsumusher_entry.registration import HOSTS_KIND

pytestmark = pytest.mark.processes

# A file system over a network may take this long between two writes.
SLOW_WRITE_S = 2.0


async def ready_status(process):
    url = f"http://{process.ip}:{process.ports['ready']}/v1/readyz"
    async with aiohttp.ClientSession() as session, session.get(url) as response:
        return response.status


def run(coroutine):
    asyncio.run(asyncio.wait_for(coroutine, 60))


ADDRESSES = {
    "front": "callers",
    "ready": "ready",
    "control": "peers",
    "directory": "directory",
    "metrics": "metrics",
    "datagrams": "datagrams",
}


@pytest.mark.parametrize("name", ADDRESSES)
def test_address_in_use_at_the_start_is_bound_once_it_is_free(tmp_path, name):
    """Guards against an exit because the previous process still holds an address."""

    async def main():
        async with deployed_host(tmp_path) as process:
            kind = socket.SOCK_DGRAM if name == "datagrams" else socket.SOCK_STREAM
            other = occupy(process.ip, process.ports[name], kind)
            process.spawn()
            await process.until_logged("event=listen_failed")
            if name == "front":
                await process.until_listening("ready")
                assert await ready_status(process) == 503
            else:
                await process.until_listening("front")
            other.close()
            await process.until_logged(
                f"event=listen_recovered host=front-1 listener={ADDRESSES[name]}"
            )
            if name != "datagrams":
                assert await process.is_listening(name)
            assert await ready_status(process) == 200
            assert await process.terminate_and_wait() == 0

    run(main())


def test_address_that_cannot_be_bound_ends_the_start_with_an_error(tmp_path):
    """Guards against endless tries for an address that this machine doesn't have."""

    async def main():
        async with deployed_host(tmp_path) as process:
            text = process.settings.replace('ready = "127.0.0.1', 'ready = "192.0.2.1')
            process.settings_path.write_text(text)
            process.spawn()
            assert await process.wait_for_exit() == 1
            assert "step=listen" in process.log_text()

    run(main())


def test_settings_that_are_being_written_at_the_start_are_read_again(tmp_path):
    """Guards against an exit because only a part of the file was there."""

    async def main():
        async with deployed_host(tmp_path) as process:
            text = process.settings
            process.settings_path.write_text(text[: len(text) // 2])
            process.spawn()
            await process.until_logged("step=settings")
            process.settings_path.write_text(text)
            await process.until_listening("front")
            assert await process.terminate_and_wait() == 0

    run(main())


def test_settings_that_are_being_written_at_a_reload_are_read_again(tmp_path):
    """Guards against old settings that stay because the signal came too early."""

    async def main():
        async with deployed_host(tmp_path) as process:
            process.spawn()
            await process.until_listening("front")
            text = process.settings.replace("grace_s = 8", "grace_s = 9")
            process.settings_path.write_text(text[: len(text) // 2])
            process.send_signal(signal.SIGHUP)
            await process.until_logged("event=settings_refused")
            await asyncio.sleep(SLOW_WRITE_S)
            process.settings_path.write_text(text)
            await process.until_logged("event=settings_reloaded")
            assert await process.terminate_and_wait() == 0

    run(main())


BAD_SETTINGS = {
    "not text": lambda text: text.replace("suwon-a", "suwon-\xe9").encode("latin-1"),
    "no port": lambda text: text.replace("port_range = [", "port_range = [] # ["),
    "empty": lambda text: "",
    "not finite": lambda text: text.replace("max_fds = 4100", "max_fds = inf"),
    "no port of callers": lambda text: re.sub(
        'front = "(.*):.*"', r'front = "\1"', text
    ),
    "too large": lambda text: text.replace("memory_mb = 300", f"memory_mb = {10**400}"),
}


@pytest.mark.parametrize("name", BAD_SETTINGS)
def test_bad_settings_are_an_error_of_one_line(tmp_path, name):
    """Guards against a traceback in place of an error that names the setting."""

    async def main():
        async with deployed_host(tmp_path) as process:
            content = BAD_SETTINGS[name](process.settings)
            if isinstance(content, str):
                content = content.encode()
            process.settings_path.write_bytes(content)
            process.spawn()
            assert await process.wait_for_exit() == 2
            assert "step=settings" in process.log_text()
            assert "Traceback" not in process.log_text()

    run(main())


def test_low_soft_limit_of_descriptors_is_raised(tmp_path):
    """Guards against a host that runs out of descriptors that its settings grant."""

    async def main():
        async with deployed_host(tmp_path, max_fds=900) as process:
            hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
            process.spawn(
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (128, hard)
                )
            )
            await process.until_listening("front")
            idle = [
                await asyncio.open_connection(process.ip, process.ports["front"])
                for _ in range(220)
            ]
            assert await ready_status(process) == 200
            for _, writer in idle:
                writer.close()
            assert await process.terminate_and_wait() == 0

    run(main())


def test_hard_limit_of_descriptors_limits_the_connections(tmp_path):
    """Guards against connections that take the descriptors of requests and files."""

    async def main():
        async with deployed_host(tmp_path) as process:
            process.spawn(
                preexec_fn=lambda: resource.setrlimit(
                    resource.RLIMIT_NOFILE, (400, 400)
                )
            )
            await process.until_listening("front")
            idle = [
                await asyncio.open_connection(process.ip, process.ports["front"])
                for _ in range(450)
            ]
            assert await ready_status(process) == 200
            for _, writer in idle:
                writer.close()
            assert await process.terminate_and_wait() == 0

    run(main())


def _open_broken_pipe():
    reader, writer = os.pipe()
    os.close(reader)
    return writer


OUTPUTS = {
    "full": lambda: os.open("/dev/full", os.O_WRONLY),
    "without a reader": _open_broken_pipe,
}


@pytest.mark.parametrize("name", OUTPUTS)
def test_error_that_cannot_be_printed_does_not_end_the_start(tmp_path, name):
    """Guards against an exit because an error about the settings can't be written."""

    async def main():
        async with deployed_host(tmp_path) as process:
            text = process.settings
            process.settings_path.write_text(text[: len(text) // 2])
            output = OUTPUTS[name]()
            process.spawn(stdout=output, stderr=output)
            os.close(output)
            await asyncio.sleep(0.5)
            process.settings_path.write_text(text)
            await process.until_listening("front")
            assert await process.terminate_and_wait() == 0

    run(main())


@pytest.mark.parametrize("closed", [(1,), (2,), (0, 1, 2)])
def test_closed_standard_streams_are_not_reused(tmp_path, closed):
    """Guards against log lines in a socket, and an abort when the loop closes its own.

    A descriptor that is free is given to the event loop or a connection.
    """

    async def main():
        async with deployed_host(tmp_path) as process:
            process.spawn(preexec_fn=lambda: [os.close(number) for number in closed])
            await process.until_listening("front")
            for number in closed:
                target = os.readlink(f"/proc/{process.pid}/fd/{number}")
                assert target == os.devnull
            assert await process.terminate_and_wait() == 0

    run(main())


@pytest.mark.parametrize("ip", ["", "host-2", "::1", "\ud800"])
def test_host_record_with_an_unusable_address_is_left_out(tmp_path, ip):
    """Guards against an end of the start, or no more messages to all other hosts."""

    async def main():
        async with deployed_host(tmp_path) as process:
            process.store.put(HOSTS_KIND, "front-2", {"ip": ip, "zone": "suwon-a"})
            process.spawn()
            await process.until_logged("event=record_unreadable")
            await process.until_listening("front")
            await asyncio.sleep(1.5)
            assert "background_failed" not in process.log_text()
            assert await process.terminate_and_wait() == 0

    run(main())


UNUSABLE = {"infinite": float("inf"), "nan": float("nan"), "too large": 10**400}


@pytest.mark.parametrize("name", UNUSABLE)
def test_configuration_after_one_with_unusable_numbers_is_applied(tmp_path, name):
    """Guards against a host that follows its configuration no more."""

    async def main():
        async with deployed_host(tmp_path) as process:
            process.spawn()
            await process.until_logged("event=ready")
            content = sample_configuration(2, IDEMPOTENT_ROUTE)
            content["services"][0]["max_conns"] = UNUSABLE[name]
            process.store.put("config", "main", content)
            await process.until_logged("event=configuration_unreadable")
            process.store.put(
                "config", "main", sample_configuration(3, IDEMPOTENT_ROUTE)
            )
            await process.until_logged("version=3")
            assert "background_failed" not in process.log_text()
            assert await process.terminate_and_wait() == 0

    run(main())
