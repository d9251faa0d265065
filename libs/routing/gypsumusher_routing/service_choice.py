"""Which endpoint of a plain service gets a request."""

from gypsumusher_routing.endpoint_state import EndpointState

__all__ = ["choose_endpoint"]

# What a hop to another zone counts against a slot in use, as a part of all slots: it
# decides between endpoints that are about equally busy.
OTHER_ZONE_LOAD = 0.1
# An endpoint that has just started is slow; it counts as that much busier.
WARMUP_LOAD = 0.5


def choose_endpoint(
    now_s: float,
    states: list[EndpointState],
    tried: set[str],
    zone: str,
    draw,
) -> EndpointState | None:
    """Return the endpoint for a request, or None when there is none.

    Parameters
    ----------
    now_s : float
        The present time, in seconds.
    states : list of EndpointState
        Endpoints of the service that may get work.
    tried : set of str
        Ids of those that the request has been sent to.
    zone : str
        This host's zone.
    draw : callable
        Returns a number from 0 up to 1.
    """
    fresh = [state for state in states if state.record.endpoint_id not in tried]
    sound = [state for state in fresh if not state.health.is_avoided(now_s)]
    best, best_key = None, None
    for state in sound or fresh:
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
