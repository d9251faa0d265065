"""The process's limit on open descriptors."""

import resource

__all__ = ["raise_descriptor_limit"]


def raise_descriptor_limit(wanted):
    """Raise the soft limit of open descriptors as far as the hard limit allows.

    Parameters
    ----------
    wanted : int
        Number of descriptors that the settings grant the process.

    Returns
    -------
    int
        The number that the process may open, at most ``wanted``.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return wanted
    if hard != resource.RLIM_INFINITY:
        wanted = min(wanted, hard)
    if soft >= wanted:
        return wanted
    try:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))
    except (OSError, OverflowError, ValueError):
        # The caller gets by with the soft limit.
        return soft
    return wanted
