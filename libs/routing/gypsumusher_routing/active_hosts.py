"""Which hosts callers are sent to, and which of them watch the store.

Made for many small hosts before one fleet of engines. Sixty hosts that each see a
sixtieth of the load know little of what the engines have under way and keep, and open
connections and watches sixty times over; and the weakest of them, with a link of a few
Mbit/s, are as likely to be picked as the strongest. So callers are sent to a part of
the hosts, the strong ones first, spread over the zones. The others stay ready: they
serve whoever comes, and take a place as soon as a host falls silent.
"""

import zlib

from gypsumusher_routing.host_table import HostStatus

__all__ = ["WATCHERS", "active_host_count", "choose_active_hosts", "choose_watchers"]

# At least so many are active, where there are so many: on seven and eight hosts four of
# them served 0.013 more of the worth than all, which is within what two runs differ by.
ACTIVE_MIN = 4
# Part of the hosts that is active where there are more: at the two-year size 55 hosts
# with 135 requests a second each.
ACTIVE_PART = 1 / 6
# A host of at least this part of the strongest one's capacity is strong.
STRONG_PART = 0.5
# The strong ones take the callers alone when they are at least this part of those that
# would be active: each then carries the requests of three.
STRONG_ENOUGH_PART = 1 / 3
# Hosts that watch the store for all. Each watch is a call that is paid for and counts
# against the store's rate; three are of three zones, and the next hosts replace them.
WATCHERS = 3


def active_host_count(hosts_count: int) -> int:
    """Return how many of so many hosts callers are sent to, where all are alike."""
    return min(hosts_count, max(ACTIVE_MIN, round(hosts_count * ACTIVE_PART)))


def choose_active_hosts(
    hosts: list[HostStatus], hosts_count: int = 0
) -> list[HostStatus]:
    """Return the hosts that callers are sent to, in an order that all hosts agree on.

    Failure guarded against: most hosts hear of the active ones alone. A part of those
    is a part of a part: of two hundred hosts callers were sent to five.

    Parameters
    ----------
    hosts : list of HostStatus
        The live hosts that take callers, as far as this host hears of them.
    hosts_count : int
        Number of all hosts that there are, as far as it is known to be larger.
    """
    count = active_host_count(max(hosts_count, len(hosts)))
    by_zone = {}
    for host in hosts:
        by_zone.setdefault(host.zone, []).append(host)
    for zone_hosts in by_zone.values():
        zone_hosts.sort(key=_order)
    chosen = []
    for place in range(len(hosts)):
        for zone in sorted(by_zone):
            if place < len(by_zone[zone]):
                chosen.append(by_zone[zone][place])
        if len(chosen) >= count:
            break
    return _without_weak(chosen)


def _without_weak(chosen):
    """Leave the weak hosts out where there are strong ones in some number.

    Each host more tells all others what it sends, knows less of the load itself, and
    opens its own connections; one with a quarter of the strength doesn't pay for that.
    """
    strongest = max((host.capacity for host in chosen), default=0.0)
    strong = [host for host in chosen if host.capacity >= STRONG_PART * strongest]
    is_enough = len(strong) >= max(ACTIVE_MIN, STRONG_ENOUGH_PART * len(chosen))
    return strong if is_enough else chosen


def choose_watchers(active: list[HostStatus]) -> list[HostStatus]:
    """Return those of the active hosts that watch the store."""
    return active[:WATCHERS]


def _order(host):
    """Return the place of a host in its zone: the strong first, else by its name."""
    return (-host.capacity, zlib.crc32(host.name.encode()))
