"""Standard streams of a process that may be closed, full or without a reader."""

import os
import sys

__all__ = ["open_closed_streams", "print_error"]

STANDARD_DESCRIPTORS = (0, 1, 2)


def open_closed_streams():
    """Open the null device for each standard descriptor that is closed.

    The system gives the lowest free descriptor to whatever is opened next. Log lines
    would be written into the event loop's descriptor or into a connection.
    """
    for number in STANDARD_DESCRIPTORS:
        try:
            os.fstat(number)
        except OSError:
            # The lowest free descriptor is this one.
            os.open(os.devnull, os.O_RDWR)


def print_error(name, error):
    """Print an error on standard error, unless it can't be written.

    Parameters
    ----------
    name : str
        Name of the program.
    error : object
        The error.
    """
    try:
        print(f"{name}: {error}", file=sys.stderr)
    except OSError:
        # What stays in the buffer would be written at the exit, and change the exit
        # status when that fails.
        null = os.open(os.devnull, os.O_WRONLY)
        os.dup2(null, sys.stderr.fileno())
        os.close(null)
