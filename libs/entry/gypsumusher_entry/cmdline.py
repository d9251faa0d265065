"""The command line of an entry host on the users' platform."""

import argparse
import asyncio
import functools
import gc

# Imported first, since it disables io_uring before uvloop is imported.
from gypsumusher_process import (  # isort: skip
    SettingsReload,
    check_no_io_uring,
    create_bounded_log,
    raise_descriptor_limit,
    run_program,
)

from gypsumusher_entry.host import EntryHost
from gypsumusher_platform import load_settings
from gypsumusher_ports import StartError
from gypsumusher_routing import ALL_ON, policy_without

__all__ = ["main"]

# Descriptors that aren't sockets: the log, the event loop, modules that are imported.
OTHER_DESCRIPTORS = 32


def main(signals, arguments=None):
    """Run the entry host until it is told to stop.

    Parameters
    ----------
    signals : ProcessSignals
        Signals of the process.
    arguments : list of str or None
        Command line; by default that of the process.

    Returns
    -------
    int
        0 after a planned stop, 2 for invalid settings, 1 when the host can't start.
    """
    parser = argparse.ArgumentParser(
        prog="gypsumusher_entry", description="Run one entry host."
    )
    parser.add_argument(
        "--metrics-port", type=int, default=None, help="port of the metrics page"
    )
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    parser.add_argument(
        "--without",
        type=policy_without,
        default=ALL_ON,
        metavar="NAME,...",
        help="routing mechanisms to switch off, to measure their effect",
    )
    options = parser.parse_args(arguments)
    return run_program(
        "gypsumusher_entry",
        load_settings,
        functools.partial(_serve, options.metrics_port, options.without, signals),
        _describe if options.check else None,
    )


def _describe(settings):
    """Return the output of ``--check`` for valid settings."""
    return f"settings of host {settings.name}: ok"


async def _serve(metrics_port, policy, signals, settings):
    """Start the host, wait for a signal, and stop as planned."""
    settings = _limit_sockets(settings)
    loop = asyncio.get_running_loop()
    bounded_log = create_bounded_log(settings.name, loop)
    log = bounded_log.log
    host = EntryHost(settings, log, metrics_port, policy)
    stop = asyncio.Event()
    reload = SettingsReload(
        lambda: _limit_sockets(load_settings()), host.reload, log, loop.call_later
    )
    signals.attach(loop, reload.request, stop.set)
    disabled = [name for name in policy._fields if not getattr(policy, name)]
    log(
        "info",
        "starting",
        zone=settings.zone,
        callers=settings.callers_address,
        max_sockets=settings.max_descriptors,
        without=",".join(disabled) or None,
    )
    try:
        if await _start_unless_stopped(host, stop):
            check_no_io_uring()
            # Objects loaded so far stay alive; excluding them makes garbage collections
            # cheaper.
            gc.freeze()
            missing = ",".join(sorted(host.context.missing_listeners))
            version = host.context.configuration_version
            log("info", "ready", version=version, missing=missing or None)
            await stop.wait()
        await host.stop()
        log("info", "stopped")
    finally:
        signals.detach()
        reload.close()
        bounded_log.flush()


async def _start_unless_stopped(host, stop):
    """Start the host; return False if it is to stop before it has started.

    Raises
    ------
    StartError
        When a listener can't be opened.
    """
    starting = asyncio.ensure_future(host.start())
    stopping = asyncio.ensure_future(stop.wait())
    await asyncio.wait((starting, stopping), return_when=asyncio.FIRST_COMPLETED)
    stopping.cancel()
    if not starting.done():
        starting.cancel()
    try:
        await starting
    except asyncio.CancelledError:
        host.log("info", "start_cancelled")
        return False
    except OSError as error:
        await host.close()
        raise StartError(f"step=listen {error}; free the address") from error
    return True


def _limit_sockets(settings):
    """Return the settings with no more sockets than the process may open."""
    granted = raise_descriptor_limit(settings.max_descriptors + OTHER_DESCRIPTORS)
    max_sockets = max(1, granted - OTHER_DESCRIPTORS)
    return settings._replace(max_descriptors=max_sockets)
