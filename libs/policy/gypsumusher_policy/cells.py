"""Choice of the hosts that serve a deployment and of those given to a caller.

With 330 hosts in front of 910 replicas, a host cannot follow the state of every
replica within 2 KB/s. Each deployment is therefore served by a small subset of the
hosts, its cell.
"""

from hashlib import blake2b


def _hash_weight(deployment, name):
    """Return the rendezvous-hashing weight of a host for a deployment."""
    text = f"{deployment}\0{name}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def choose_cell(hosts: list[tuple[str, str]], deployment: str, size: int) -> list[str]:
    """Choose the hosts of a deployment by rendezvous hashing, spread over the zones.

    Parameters
    ----------
    hosts : list of (name, zone)
        Live hosts.
    deployment : str
        Name of the deployment.
    size : int
        Number of hosts to choose.

    Returns
    -------
    list of str
        Names of the hosts, the first-ranked hosts of all zones before the
        second-ranked ones, each by descending hash weight. A host that is added or
        removed changes the choice in its own zone and at most one other zone.
    """
    by_zone = {}
    for name, zone in hosts:
        by_zone.setdefault(zone, []).append((_hash_weight(deployment, name), name))
    ranked = []
    for members in by_zone.values():
        members.sort(reverse=True)
        for position, (weight, name) in enumerate(members):
            ranked.append((position, -weight, name))
    # Every zone contributes one host before any contributes a second, so that the
    # failure of one zone does not take down a whole cell.
    ranked.sort()
    return [name for _, _, name in ranked[:size]]


def choose_entry_hosts(
    hosts: list[tuple[str, str]], cell: list[str], zone: str, count: int
) -> list[str]:
    """Choose the hosts whose addresses are given to a caller.

    Parameters
    ----------
    hosts : list of (name, zone)
        Live hosts.
    cell : list of str
        Names of the hosts of the deployment's cell.
    zone : str
        Availability zone of the caller.
    count : int
        Largest number of hosts to choose.

    Returns
    -------
    list of str
        Names of live hosts of the cell, those in the caller's zone first. If the
        cell has no live host, names of other live hosts.
    """
    zones = dict(hosts)
    same_zone, other_zones = [], []
    for name in cell:
        if name not in zones:
            continue
        group = same_zone if zones[name] == zone else other_zones
        group.append(name)
    chosen = (same_zone + other_zones)[:count]
    if chosen:
        return chosen
    return sorted(zones)[:count]
