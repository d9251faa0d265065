"""Whether a request can be expected to end before its host stops."""

from gypsumusher_routing.estimates import RunningQuantile

__all__ = ["ResponseTimes", "ends_in_time"]

# Share of a route's responses that take less than is expected of a late request.
QUANTILE = 0.95
# Bounds of the estimate, in seconds.
MIN_RESPONSE_S, MAX_RESPONSE_S = 1e-3, 1e4
# Safety factor for a request that may run at most once: cut off, it is lost for good,
# whereas a refused one goes to another host.
AT_MOST_ONCE_FACTOR = 1.5


class ResponseTimes:
    """Time from arrival to the end of the response, by route."""

    def __init__(self):
        self._times = {}

    def learn(self, route: str, took_s: float) -> None:
        """Update the estimate of a route.

        Parameters
        ----------
        route : str
            Name of the route.
        took_s : float
            Time that a response took, or that passed without one, in seconds.
        """
        if route not in self._times:
            self._times[route] = RunningQuantile(
                QUANTILE, took_s, MIN_RESPONSE_S, MAX_RESPONSE_S
            )
        self._times[route].learn(took_s)

    def expected_s(self, route: str) -> float | None:
        """Return the time that a response may take, in seconds; None if unknown."""
        time = self._times.get(route)
        return None if time is None else time.value


def ends_in_time(
    expected_s: float | None,
    objective_s: float,
    limit_s: float,
    left_s: float,
    is_repeatable: bool,
) -> bool:
    """Return whether a request can be expected to end before its host does.

    Parameters
    ----------
    expected_s : float or None
        Time that the response may take, in seconds; None if unknown.
    objective_s : float
        Objective of the route, in seconds.
    limit_s : float
        Time limit of the request, in seconds: by then it ends in any case.
    left_s : float
        Time until the host gives the final responses, in seconds.
    is_repeatable : bool
        Whether the request may run more than once.
    """
    if left_s <= 0.0:
        return False
    if is_repeatable:
        needed_s = objective_s if expected_s is None else expected_s
    elif expected_s is None:
        needed_s = limit_s
    else:
        needed_s = AT_MOST_ONCE_FACTOR * expected_s
    return min(limit_s, needed_s) <= left_s
