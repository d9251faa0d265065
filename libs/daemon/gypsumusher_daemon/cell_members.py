"""Chooses the hosts that serve each deployment and the hosts that gossip."""

from gypsumusher_policy import choose_cell

__all__ = ["GOSSIP_HOSTS_MIN", "cell_of", "gossip_hosts", "own_deployments"]

# Least number of gossip hosts, itself included: a host in no cell must still receive
# a new configuration and crash reports while the platform is down.
GOSSIP_HOSTS_MIN = 8


def cell_of(document, hosts, deployment):
    """Return the hosts that serve a deployment, most preferred first.

    Sized for 330 hosts and 910 replicas of 40 models: a host that polled every
    replica would read about 1,800 load reports per second and gossip with 329 hosts.
    In a cell of 8 hosts it polls about 23 replicas and gossips with 7 hosts.

    Parameters
    ----------
    document : dict
        The configuration document.
    hosts : list of (name, zone)
        Hosts considered live.
    deployment : str
        The deployment.

    Returns
    -------
    list of str
        Names; any host given the same live hosts computes the same list.
    """
    section = document.get("deployments", {}).get(deployment)
    if section is None:
        return []
    return choose_cell(hosts, deployment, section["cell_hosts"])


def own_deployments(document, hosts, name):
    """Return the set of deployments whose cell a host belongs to.

    Parameters
    ----------
    document : dict
        The configuration document.
    hosts : list of (name, zone)
        Hosts considered live, including this one.
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
        All known hosts, including suspected ones: they are still probed, so that a
        wrong suspicion is withdrawn.
    name : str
        The host.

    Returns
    -------
    set of str
        The other members of its cells, and hosts chosen by hashing when those are
        fewer than `GOSSIP_HOSTS_MIN`.
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
