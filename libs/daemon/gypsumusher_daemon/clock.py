"""The host's own clock."""

import time

__all__ = ["boot_time_s"]


def boot_time_s():
    """Return the seconds since this host's boot, counting suspended time.

    Leases count this clock: CLOCK_MONOTONIC stands still while a host is suspended,
    so a lease held across a suspension would look valid to its holder after it has
    lapsed for everyone else. Readings of two hosts are never compared.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
