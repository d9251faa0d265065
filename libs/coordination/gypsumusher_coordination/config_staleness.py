"""Whether a host that is cut off from the platform and its peers may still serve."""

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
    """Return when this host last could know which configuration is in force.

    Parameters
    ----------
    now_s : float
        Reading of this host's clock.
    platform_heard_s : float
        When the last call that the platform answered was sent.
    peers_heard_s : mapping of str to float
        When the last answered probe of each peer was sent.
    host : str
        This host; it hears itself.
    hosts : collection of str
        The last known entry hosts, this one included, without those that left.

    Returns
    -------
    float
        The later of two times: when the platform was heard, and the latest time
        since which a majority of the hosts, this one included, has been heard.
    """
    heard = []
    for name in hosts:
        if name == host:
            heard.append(now_s)
            continue
        heard.append(peer_contacts_s.get(name, float("-inf")))
    if host not in hosts:
        heard.append(now_s)
    heard.sort(reverse=True)
    majority = len(heard) // 2 + 1
    return max(platform_contact_s, heard[majority - 1])


def may_serve(
    now_s: float, contact_s: float, stale_config: str, limit_s: float
) -> bool:
    """Return whether the host may go on by the configuration it has.

    Decision. Load: a partition that leaves one host, or a few, with neither the
    platform nor most of the fleet, while callers still reach it. Harm prevented: an
    operator takes a configuration as in force everywhere within 12 s; a host that
    serves on by an old one sends work to an endpoint that was drained, or runs a
    model version that was withdrawn, and the promise is broken without a trace.
    A host that only lost the platform serves on, because the platform's outage must
    not stop the fleet, and because any peer that still hears the platform passes
    its head on. A majority is asked for rather than one peer, because two hosts cut
    off together prove nothing to each other, while a majority of the fleet can't be
    on both sides of a cut. What this can't see: a majority that lost the platform
    while a minority kept it; it serves on, as in an outage, until the cut ends.
    And in a fleet of two, a host that lost both the platform and its only peer stops,
    whichever of the two is gone.

    The limit lies under 12 s and leaves time for requests already admitted to get
    their answers: the host refuses new work and finishes what runs. A paused host
    that wakes has an old reading too, so it asks before it serves. ``serve`` gives
    up the promise for availability, for fleets that rather serve stale than refuse.

    Parameters
    ----------
    now_s, last_heard_s : float
        This host's clock now, and what `last_contact_s` gave.
    stale_config : str
        The setting ``hosts.stale_config``, ``stop`` or ``serve``.
    limit_s : float
        The setting ``hosts.stale_limit_s``.

    Returns
    -------
    bool
        Whether new requests may be accepted.
    """
    if stale_config == SERVE:
        return True
    return now_s - contact_s <= limit_s
