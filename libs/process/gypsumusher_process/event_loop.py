"""The event loop: uvloop on one thread, with io_uring kept off."""

import os

# libuv reads this once, at its first loop; so it is set before uvloop is imported.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402

from gypsumusher_ports import StartError  # noqa: E402

__all__ = ["check_no_io_uring", "list_io_uring_fds", "run_event_loop"]


def list_io_uring_fds():
    """Return the io_uring file descriptors that this process has open.

    Returns
    -------
    list of str
        Targets of the descriptors, empty when there is none.
    """
    rings = []
    for name in os.listdir("/proc/self/fd"):
        try:
            target = os.readlink(f"/proc/self/fd/{name}")
        except OSError:
            continue
        if "io_uring" in target:
            rings.append(target)
    return rings


def check_no_io_uring():
    """Refuse to go on when the loop opened an io_uring.

    The users' machines forbid io_uring; uvloop 0.23 opens one in spite of the
    variable above. It shows as a file descriptor, so looking for one before the
    first request catches any version that does.

    Raises
    ------
    StartError
        When a ring is open.
    """
    rings = list_io_uring_fds()
    if rings:
        raise StartError(
            "step=loop an io_uring is open; install uvloop>=0.21,<0.23 and leave "
            "UV_USE_IO_URING to the daemon"
        )


def run_event_loop(main):
    """Run a coroutine on a new uvloop loop and return its result.

    Parameters
    ----------
    main : coroutine
        The program.
    """
    return uvloop.run(main)
