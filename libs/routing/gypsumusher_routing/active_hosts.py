"""Choice of the active hosts, which receive callers, and of those that watch the store.

For many small hosts in front of the same engines. If sixty hosts each served a sixtieth
of the load, each would know little about the engines' load and caches, all would open
connections and watches of their own, and the slowest hosts, with links of a few Mbit/s,
would receive as many callers as the others. So callers are directed to a subset of the
hosts: those with the most capacity first, spread over the zones. The other hosts stay
ready: they serve callers that reach them, and replace an active host that falls silent.
"""

import zlib

from gypsumusher_routing.host_table import HostStatus

__all__ = [
    "WATCHERS",
    "active_host_count",
    "choose_active_hosts",
    "choose_watchers",
    "max_store_pause_s",
]

# Minimum number of active hosts, where there are as many. With seven and eight hosts,
# four active ones served 0.013 more of the possible score than all hosts did, which is
# within the difference between two runs.
ACTIVE_MIN = 4
# Share of the hosts that is active in larger deployments: at the size planned for two
# years ahead, 55 hosts with 135 requests a second each.
ACTIVE_SHARE = 1 / 6
# Minimum capacity of a strong host, relative to the strongest one.
STRONG_CAPACITY_SHARE = 0.5
# Share of the candidates that the strong hosts must make up to receive all callers. At
# this share each of them carries the requests of three hosts.
MIN_STRONG_SHARE = 1 / 3
# Number of hosts that watch the store for all others. Each watch is a paid call that
# counts against the store's rate limit. The first three active hosts are of three
# zones, and the next ones replace those that fail.
WATCHERS = 3
# Limits on the pause between two calls to a store that doesn't answer, in seconds. The
# bounds count from the store's return, and its rate limit is for all hosts together. A
# host that isn't a watcher hears of the return from those that are.
MIN_STORE_PAUSE_S, MAX_STORE_PAUSE_S = 0.5, 2.0
STORE_PAUSE_PER_HOST_S = 1 / 32


def active_host_count(hosts_count: int) -> int:
    """Return the number of active hosts among hosts of equal capacity."""
    return min(hosts_count, max(ACTIVE_MIN, round(hosts_count * ACTIVE_SHARE)))


def choose_active_hosts(
    hosts: list[HostStatus], hosts_count: int = 0
) -> list[HostStatus]:
    """Return the active hosts, in an order that is the same on all hosts.

    The total number of hosts is passed separately because most hosts hear only from
    the active ones. A share of those alone would be a share of a share, and left five
    active hosts out of two hundred.

    Parameters
    ----------
    hosts : list of HostStatus
        Live hosts that accept callers, as known to this host.
    hosts_count : int
        Number of all hosts, if known to be larger than the list.
    """
    count = active_host_count(max(hosts_count, len(hosts)))
    by_zone = {}
    for host in hosts:
        by_zone.setdefault(host.zone, []).append(host)
    for zone_hosts in by_zone.values():
        zone_hosts.sort(key=_sort_key)
    chosen = []
    for index in range(len(hosts)):
        for zone in sorted(by_zone):
            if index < len(by_zone[zone]):
                chosen.append(by_zone[zone][index])
        if len(chosen) >= count:
            break
    return _without_weak(chosen)


def _without_weak(chosen):
    """Return the strong hosts if there are enough of them, otherwise all.

    Each additional active host sends its load to all others, knows less about the load
    itself, and opens connections of its own. A host with a quarter of the capacity is
    not worth that.
    """
    strongest = max((host.capacity for host in chosen), default=0.0)
    strong = [
        host for host in chosen if host.capacity >= STRONG_CAPACITY_SHARE * strongest
    ]
    is_enough = len(strong) >= max(ACTIVE_MIN, MIN_STRONG_SHARE * len(chosen))
    return strong if is_enough else chosen


def choose_watchers(active: list[HostStatus]) -> list[HostStatus]:
    """Return the active hosts that watch the store for all others."""
    return active[:WATCHERS]


def max_store_pause_s(is_watcher: bool, hosts_count: int) -> float:
    """Return the longest pause between two calls to a store that doesn't answer.

    Parameters
    ----------
    is_watcher : bool
        Whether this host is one of those that watch the store for all others.
    hosts_count : int
        Number of all hosts; 0 if it is unknown.
    """
    if is_watcher:
        return MIN_STORE_PAUSE_S
    wanted_s = STORE_PAUSE_PER_HOST_S * hosts_count
    return min(MAX_STORE_PAUSE_S, max(MIN_STORE_PAUSE_S, wanted_s))


def _sort_key(host):
    """Return a key that sorts by descending capacity, then by a hash of the name."""
    return (-host.capacity, zlib.crc32(host.name.encode()))
