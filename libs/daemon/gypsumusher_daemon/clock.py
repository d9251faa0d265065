"""The boot-time clock of a host."""

import time

__all__ = ["boot_time_s"]


def boot_time_s():
    """Return the seconds since this host booted, including suspended time.

    Leases are timed with this clock: CLOCK_MONOTONIC stops while a host is suspended,
    so a lease held across a suspension would look valid to its holder after it has
    expired for every other host. Readings of different hosts are never compared.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
