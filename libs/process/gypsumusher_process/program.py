"""Start of a daemon from its command line, and its signal handlers."""

import asyncio
import signal
import sys

from gypsumusher_ports import GypsumusherError
from gypsumusher_process.event_loop import run_event_loop

__all__ = ["install_signal_handlers", "run_program"]

# Exit status for invalid settings, and for a failure to start.
EXIT_USAGE = 2
EXIT_FAILED = 1


def run_program(name, load, serve, format_settings=None):
    """Load the settings of a program, then run it or only report them as valid.

    Parameters
    ----------
    name : str
        Name of the program, for errors on standard error.
    load : callable
        Function that loads and returns the settings.
    serve : coroutine function
        ``serve(settings)`` runs until the program is told to stop.
    format_settings : callable or None
        With a function, the program isn't run; the line that the function returns for
        the settings is printed instead.

    Returns
    -------
    int
        Exit status: 0 after a regular stop, 2 for invalid settings, 1 when the program
        can't start.
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
    """Install handlers for SIGHUP, SIGTERM and SIGINT.

    Parameters
    ----------
    reload : callable
        Called on SIGHUP, within the event loop, to load the settings again.

    Returns
    -------
    asyncio.Event
        Set by SIGTERM and SIGINT.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, reload)
    return stop
