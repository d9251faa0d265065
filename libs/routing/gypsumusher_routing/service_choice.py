"""Choice of an endpoint for a request to a service that is no model engine."""

from gypsumusher_routing.endpoint_state import EndpointState

__all__ = ["choose_endpoint"]

# Cost of an endpoint in another zone, as a share of its slots in use. It decides
# between endpoints of about equal load.
OTHER_ZONE_LOAD = 0.1
# Cost of an endpoint that is still warming up, as a share of its slots in use.
WARMUP_LOAD = 0.5


def choose_endpoint(
    now_s: float,
    states: list[EndpointState],
    tried: set[str],
    zone: str,
    draw,
) -> EndpointState | None:
    """Return the least loaded endpoint for a request, or None if there is none.

    Parameters
    ----------
    now_s : float
        Current time, in seconds.
    states : list of EndpointState
        Endpoints of the service that may get new requests.
    tried : set of str
        Ids of endpoints that the request was already sent to; they are left out.
    zone : str
        Zone of this host.
    draw : callable
        Returns a random number in [0, 1), which breaks ties.
    """
    untried = [state for state in states if state.record.endpoint_id not in tried]
    healthy = [state for state in untried if not state.health.is_avoided(now_s)]
    best, best_key = None, None
    for state in healthy or untried:
        record = state.record
        load = state.load(now_s).running / max(1, record.slots)
        if record.zone != zone:
            load += OTHER_ZONE_LOAD
        if record.warmup_left_s > 0:
            load += WARMUP_LOAD
        load += state.health.penalty(now_s)
        key = (load, draw())
        if best_key is None or key < best_key:
            best, best_key = state, key
    return best
