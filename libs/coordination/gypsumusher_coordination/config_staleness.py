"""Decides whether a partitioned host may serve by the configuration it has."""

from collections.abc import Collection, Mapping

STOP = "stop"
SERVE = "serve"


def last_contact_s(
    now_s: float,
    platform_contact_s: float,
    peer_contacts_s: Mapping[str, float],
    host: str,
    hosts: Collection[str],
) -> float:
    """Return when this host could last learn which configuration is in force.

    Parameters
    ----------
    now_s : float
        Reading of this host's clock, in seconds.
    platform_contact_s : float
        Send time of the last call that the platform answered.
    peer_contacts_s : mapping of str to float
        Send time of the last answered probe, by peer.
    host : str
        This host, which counts as in contact with itself.
    hosts : collection of str
        Last known entry hosts including this one, without those that left.

    Returns
    -------
    float
        The later of two clock readings: the last contact with the platform, and the
        latest time since which this host has been in contact with a majority of the
        hosts, itself included.
    """
    contacts_s = []
    for name in hosts:
        if name == host:
            contacts_s.append(now_s)
            continue
        contacts_s.append(peer_contacts_s.get(name, float("-inf")))
    if host not in hosts:
        contacts_s.append(now_s)
    contacts_s.sort(reverse=True)
    majority = len(contacts_s) // 2 + 1
    return max(platform_contact_s, contacts_s[majority - 1])


def may_serve(
    now_s: float, contact_s: float, stale_config: str, limit_s: float
) -> bool:
    """Return whether the host may accept requests by the configuration it has.

    A network partition can leave a few hosts without the platform and without most
    of the other hosts while callers still reach them. Operators rely on a new
    configuration being in force everywhere within 12 s. A host that went on serving
    by an old one would send work to a drained endpoint or run a withdrawn model
    version, unnoticed.

    A host that lost only the platform goes on serving: an outage of the platform must
    not stop all hosts, and any peer that still reaches the platform forwards the
    configuration head. Contact with a majority of the hosts is required rather than
    with one peer, because two hosts that are partitioned together can't confirm
    anything to each other, while a majority can't exist on both sides of a
    partition.

    Two cases are not covered. A majority that lost the platform while a minority
    still reaches it goes on serving, as in an outage, until the partition ends. With
    two hosts, a host that lost both the platform and its peer stops, even if the peer
    is down.

    The limit is below 12 s to leave time for requests that were already admitted: the
    host refuses new work and finishes what runs. The last contact of a host that
    resumes after a pause is old too, so it doesn't serve before it has made contact
    again. ``serve`` trades the 12 s guarantee for availability.

    Parameters
    ----------
    now_s, contact_s : float
        Reading of this host's clock, and the result of `last_contact_s`.
    stale_config : str
        The setting ``hosts.stale_config``, ``stop`` or ``serve``.
    limit_s : float
        The setting ``hosts.stale_limit_s``: longest time without contact, in seconds.

    Returns
    -------
    bool
        Whether new requests may be accepted.
    """
    if stale_config == SERVE:
        return True
    return now_s - contact_s <= limit_s
