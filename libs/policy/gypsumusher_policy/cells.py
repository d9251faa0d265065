"""Which hosts serve a deployment, and which of them a caller should use.

Made for the two-year size: 330 hosts before 910 replicas can't each follow every
replica within 2 KB/s, so that each deployment is served by a small subset (a cell).
"""

from hashlib import blake2b


def _weight(deployment, name):
    text = f"{deployment}\0{name}".encode()
    return int.from_bytes(blake2b(text, digest_size=8).digest(), "big")


def choose_cell(hosts: list[tuple[str, str]], deployment: str, size: int) -> list[str]:
    """Choose a deployment's hosts by rendezvous hashing, spread over the zones.

    Parameters
    ----------
    hosts : list of (name, zone)
        Live hosts.
    deployment : str
        Name of the deployment.
    size : int
        Hosts wanted.

    Returns
    -------
    list of str
        Names, highest weight first. A host that comes or goes moves at most the
        places of its own zone and one other.
    """
    by_zone = {}
    for name, zone in hosts:
        by_zone.setdefault(zone, []).append((_weight(deployment, name), name))
    ranked = []
    for members in by_zone.values():
        members.sort(reverse=True)
        for turn, (weight, name) in enumerate(members):
            ranked.append((turn, -weight, name))
    # One host of each zone before the second of any: the loss of a zone must not
    # take a whole cell with it.
    ranked.sort()
    return [name for _, _, name in ranked[:size]]


def choose_entry_hosts(
    hosts: list[tuple[str, str]], cell: list[str], zone: str, count: int
) -> list[str]:
    """Choose the addresses that a caller in ``zone`` is told to use.

    Parameters
    ----------
    hosts : list of (name, zone)
        Live hosts.
    cell : list of str
        Hosts of the deployment's cell.
    zone : str
        The caller's availability zone.
    count : int
        Hosts wanted.

    Returns
    -------
    list of str
        Hosts of the cell that are live, those of the caller's zone first; other
        live hosts only when the cell has none left.
    """
    zones = dict(hosts)
    near, far = [], []
    for name in cell:
        if name not in zones:
            continue
        place = near if zones[name] == zone else far
        place.append(name)
    chosen = (near + far)[:count]
    if chosen:
        return chosen
    return sorted(zones)[:count]
