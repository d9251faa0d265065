"""The command line of gypsumusherd."""

import argparse
import asyncio
import functools

# Imported first: it disables io_uring, which must happen before uvloop is imported.
from gypsumusher_process import (  # isort: skip
    SettingsReload,
    check_no_io_uring,
    create_log,
    format_fields,
    run_program,
)

from gypsumusher_daemon.errors import StartError
from gypsumusher_daemon.host import EntryHost
from gypsumusher_daemon.settings import load_settings

__all__ = ["main"]


def main(signals, arguments=None):
    """Run the daemon until a signal stops it.

    Parameters
    ----------
    signals : ProcessSignals
        Signals of the process.
    arguments : list of str or None
        Command-line arguments; those of the process by default.

    Returns
    -------
    int
        0 after a planned stop, 2 for bad settings, 1 when the host can't start.
    """
    parser = argparse.ArgumentParser(
        prog="gypsumusherd", description="Serve one gypsumusher entry host."
    )
    parser.add_argument("--settings", required=True, help="YAML file of settings")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    options = parser.parse_args(arguments)
    path = options.settings
    return run_program(
        "gypsumusherd",
        functools.partial(load_settings, path),
        functools.partial(_serve, path, signals),
        (lambda _: f"{path}: ok") if options.check else None,
    )


async def _serve(path, signals, settings):
    """Start the host, wait for a stop signal and run the planned stop."""
    log = create_log(settings["host.name"], settings["log.level"])
    host = EntryHost(settings, log)
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    load = functools.partial(load_settings, path)
    reload = SettingsReload(load, host.reload, log, loop.call_later)
    signals.attach(loop, reload.request, stop.set)
    try:
        await _run(host, stop, log)
    finally:
        signals.detach()
        reload.close()


async def _run(host, stop, log):
    """Run the host until it is to stop, and stop it as planned."""
    try:
        addresses = await host.start()
    except OSError as error:
        await host.close()
        raise StartError(f"step=listen {error}; free the address") from error
    try:
        check_no_io_uring()
    except StartError:
        await host.close()
        raise
    print(format_fields({"event": "ready", **addresses}), flush=True)
    log("info", "ready", **addresses)
    await stop.wait()
    await host.stop()
