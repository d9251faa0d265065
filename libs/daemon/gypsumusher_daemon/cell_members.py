"""Which hosts serve which deployments, and which hosts talk to each other."""

from gypsumusher_policy import choose_cell

__all__ = ["GOSSIP_HOSTS_MIN", "cell_of", "gossip_hosts", "own_deployments"]

# A host in no cell still has to hear of a new configuration and of crashing
# requests while the platform is down.
GOSSIP_HOSTS_MIN = 8


def cell_of(document, hosts, deployment):
    """Return the hosts that serve a deployment, most preferred first.

    Made for 330 hosts before 910 replicas of 40 models: a host that followed every
    replica would read some 1,800 load reports a second and gossip with 329 others.
    In a cell of 8 it follows about 23 replicas and 7 hosts.

    Parameters
    ----------
    document : dict
        The configuration document.
    hosts : list of (name, zone)
        Hosts that are taken to be live.
    deployment : str
        The deployment.

    Returns
    -------
    list of str
        Names, the same on every host that knows the same hosts.
    """
    section = document.get("deployments", {}).get(deployment)
    if section is None:
        return []
    return choose_cell(hosts, deployment, section["cell_hosts"])


def own_deployments(document, hosts, name):
    """Return the deployments whose cell a host is in.

    Parameters
    ----------
    document : dict
        The configuration document.
    hosts : list of (name, zone)
        Hosts that are taken to be live, this one among them.
    name : str
        The host.
    """
    own = set()
    for deployment in document.get("deployments", {}):
        if name in cell_of(document, hosts, deployment):
            own.add(deployment)
    return own


def gossip_hosts(document, hosts, name):
    """Return the hosts that a host gossips with.

    Parameters
    ----------
    document : dict or None
        The configuration document, None before there is one.
    hosts : list of (name, zone)
        All known hosts, also those that are suspected: they are probed on, so that
        a wrong suspicion heals.
    name : str
        The host.

    Returns
    -------
    set of str
        The other members of its cells, and some by hashing where those are few.
    """
    if len(hosts) <= GOSSIP_HOSTS_MIN:
        return {other for other, _ in hosts if other != name}
    chosen = set()
    for deployment in (document or {}).get("deployments", {}):
        cell = cell_of(document, hosts, deployment)
        if name in cell:
            chosen.update(cell)
    if len(chosen) < GOSSIP_HOSTS_MIN:
        chosen.update(choose_cell(hosts, f"gossip/{name}", GOSSIP_HOSTS_MIN))
    chosen.discard(name)
    return chosen
