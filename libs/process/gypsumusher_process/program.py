"""Start of a daemon from its command line."""

from gypsumusher_ports import GypsumusherError
from gypsumusher_process.event_loop import run_event_loop
from gypsumusher_process.settings_file import load_written_settings
from gypsumusher_process.standard_streams import print_error

__all__ = ["run_program"]

# Exit status for invalid settings, and for a failure to start.
EXIT_USAGE = 2
EXIT_FAILED = 1


def run_program(name, load, serve, format_settings=None):
    """Load the settings of a program, then run it or only report them as valid.

    A program that runs waits a short time for settings that are being written.

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

    def report(error):
        print_error(name, f"{error}; trying again")

    try:
        if format_settings is not None:
            print(format_settings(load()))
            return 0
        settings = load_written_settings(load, report)
    except GypsumusherError as error:
        print_error(name, error)
        return EXIT_USAGE
    try:
        run_event_loop(serve(settings))
    except GypsumusherError as error:
        print_error(name, error)
        return EXIT_FAILED
    return 0
