"""How a daemon's command starts, and what signals tell it."""

import asyncio
import signal
import sys

from gypsumusher_ports import GypsumusherError
from gypsumusher_process.event_loop import run_event_loop

__all__ = ["install_signal_handlers", "run_program"]

EXIT_USAGE = 2
EXIT_FAILED = 1


def run_program(name, load, serve, format_settings=None):
    """Load a program's settings and serve with them, or only check them.

    Parameters
    ----------
    name : str
        The program, for its errors on standard error.
    load : callable
        Returns the settings.
    serve : coroutine function
        ``await serve(settings)`` until the program is told to stop.
    format_settings : callable or None
        Returns the line to print of good settings; given, nothing is served.

    Returns
    -------
    int
        0 after a planned stop, 2 for bad settings, 1 when the program can't start.
    """
    try:
        settings = load()
    except GypsumusherError as error:
        print(f"{name}: {error}", file=sys.stderr)
        return EXIT_USAGE
    if format_settings is not None:
        print(format_settings(settings))
        return 0
    try:
        run_event_loop(serve(settings))
    except GypsumusherError as error:
        print(f"{name}: {error}", file=sys.stderr)
        return EXIT_FAILED
    return 0


def install_signal_handlers(reload):
    """Have SIGHUP reload settings; return the event that SIGTERM and SIGINT set.

    Parameters
    ----------
    reload : callable
        Takes the settings anew; called within the running loop.

    Returns
    -------
    asyncio.Event
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    return stop
