"""Times until which endpoints want no requests from this host.

An endpoint that turns a request away may say for how long it wants none (Retry-After).
That concerns this host alone. When the time is over, all hosts that were turned away at
once would come back at once, and find an idle endpoint that attracts all requests. So
each waits a little longer, by chance, and then sends one request; until the endpoint
has accepted that, others are preferred.

All times are readings of a clock that also advances while the host is suspended.
"""

__all__ = ["EndpointPauses"]

# Longest pause that is believed, in seconds. With a longer one, a fault of an endpoint
# would take it out of use until somebody restarts it.
MAX_PAUSE_S = 3600.0
# Share of a pause, and longest time in seconds, by which it is prolonged at random.
SPREAD_SHARE, MAX_SPREAD_S = 0.1, 1.0
# Time within which most endpoints accept a request, or send a stream's first event.
TRIAL_S = 1.0
# Number of pauses from which on ended ones are forgotten after this time, in seconds.
KEPT_MAX, KEPT_FOR_S = 1000, 60.0


class _Pause:
    """One pause, until the endpoint has accepted a request after it."""

    def __init__(self):
        self.until_s = float("-inf")
        # When the last request after the pause was sent.
        self.tried_s = float("-inf")


class EndpointPauses:
    """Pauses of endpoints, by any key that differs between their incarnations.

    Parameters
    ----------
    draw : callable
        Returns a random number in [0, 1).
    """

    def __init__(self, draw):
        self._draw = draw
        self._pauses = {}

    @property
    def has_pauses(self) -> bool:
        """Whether any endpoint pauses, or has accepted nothing since its pause."""
        return bool(self._pauses)

    def on_turned_away(self, now_s: float, key, for_s: float) -> None:
        """Record that an endpoint wants no requests for some time.

        A shorter time, which it tells another request, doesn't end a longer one.

        Parameters
        ----------
        now_s : float
            When its response arrived, in seconds.
        key : hashable
            The endpoint.
        for_s : float
            How long it wants none, in seconds.
        """
        if for_s <= 0.0:
            return
        for_s = min(MAX_PAUSE_S, for_s)
        for_s += self._draw() * min(MAX_SPREAD_S, SPREAD_SHARE * for_s)
        if key not in self._pauses:
            self._forget_ended(now_s)
        pause = self._pauses.setdefault(key, _Pause())
        pause.until_s = max(pause.until_s, now_s + for_s)

    def on_accepted(self, now_s: float, key) -> None:
        """Record that an endpoint has not turned a request away.

        While it pauses, this was one that was sent before.
        """
        if key in self._pauses and not self.left_s(now_s, key):
            del self._pauses[key]

    def on_send(self, now_s: float, key) -> None:
        """Record that a request is sent to an endpoint."""
        if key in self._pauses:
            self._pauses[key].tried_s = now_s

    def left_s(self, now_s: float, key) -> float:
        """Return for how long an endpoint wants no requests, in seconds; 0 if it does.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        key : hashable
            The endpoint.
        """
        pause = self._pauses.get(key)
        return 0.0 if pause is None else max(0.0, pause.until_s - now_s)

    def is_on_trial(self, now_s: float, key) -> bool:
        """Return whether the first request after a pause is under way.

        Other endpoints should then come first.
        """
        pause = self._pauses.get(key)
        if pause is None or pause.tried_s < pause.until_s:
            return False
        return now_s - pause.tried_s < TRIAL_S

    def _forget_ended(self, now_s):
        """Forget pauses of endpoints that get no requests any more."""
        if len(self._pauses) < KEPT_MAX:
            return
        for key, pause in list(self._pauses.items()):
            if now_s - pause.until_s > KEPT_FOR_S:
                del self._pauses[key]
