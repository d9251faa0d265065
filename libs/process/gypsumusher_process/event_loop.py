"""The event loop: uvloop without io_uring, which the package switches off."""

import os

import uvloop

from gypsumusher_ports import StartError

__all__ = ["check_no_io_uring", "list_io_uring_fds", "run_event_loop"]


def list_io_uring_fds():
    """Return the open io_uring file descriptors of this process.

    Returns
    -------
    list of str
        Link targets of the descriptors; empty when there are none.
    """
    ring_targets = []
    for name in os.listdir("/proc/self/fd"):
        try:
            target = os.readlink(f"/proc/self/fd/{name}")
        except OSError:
            continue
        if "io_uring" in target:
            ring_targets.append(target)
    return ring_targets


def check_no_io_uring():
    """Raise an error if the event loop has opened an io_uring.

    The users' machines forbid io_uring, and uvloop 0.23 opens one in spite of
    ``UV_USE_IO_URING=0``. An io_uring has a file descriptor, so that this check before
    the first request finds it with any version of uvloop.

    Raises
    ------
    StartError
        When an io_uring is open.
    """
    ring_targets = list_io_uring_fds()
    if ring_targets:
        raise StartError(
            "step=loop the event loop uses io_uring, which is not allowed; install "
            "uvloop>=0.21,<0.23 and don't change UV_USE_IO_URING, which the daemon sets"
        )


def run_event_loop(main):
    """Run a coroutine on a new uvloop loop and return its result.

    Parameters
    ----------
    main : coroutine
        Main coroutine of the program.
    """
    return uvloop.run(main)
