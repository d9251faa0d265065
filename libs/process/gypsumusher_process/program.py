"""How a daemon's command starts, and what signals tell it."""

import asyncio
import signal
import sys

from gypsumusher_ports import GypsumusherError
from gypsumusher_process.loop import run

__all__ = ["handle_signals", "run_program"]

EXIT_USAGE = 2
EXIT_FAILED = 1


def run_program(name, load, serve, checked=None):
    """Load a program's settings and serve with them, or only check them.

    Parameters
    ----------
    name : str
        The program, for its errors on standard error.
    load : callable
        Returns the settings.
    serve : coroutine function
        ``await serve(settings)`` until the program is told to stop.
    checked : callable or None
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
    if checked is not None:
        print(checked(settings))
        return 0
    try:
        run(serve(settings))
    except GypsumusherError as error:
        print(f"{name}: {error}", file=sys.stderr)
        return EXIT_FAILED
    return 0


def handle_signals(reload):
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
