"""Standard streams of a process that may be closed."""

import os

__all__ = ["open_closed_streams"]

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
