"""One host's part of the retry budget that all hosts share.

When endpoints fail under full load, each retry takes the place of a first attempt, so
unbounded retries turn a partial failure into a complete one.

The budget is a token bucket. Requests add a fraction of a retry each, and the slack is
added evenly over the window. What the bucket holds plus what is added during a window
never exceeds the host's part of the bound, so the hosts together stay within the bound
without any messages, whatever happens to them: a restarted host has an empty bucket.
"""

from typing import NamedTuple

__all__ = ["RetryBudget", "RetryDecision"]

# Share of the operator's bound that is used. A send may arrive some time after its
# retry was taken and then falls into a later window.
USED_SHARE = 0.9
# Share of a host's slack that its bucket holds; the rest is added over the window.
BUCKET_SHARE = 0.5
# Minimum bucket size in retries, where the slack allows it: an endpoint that crashes
# fails several requests of a host at once.
BUCKET_MIN = 2.0


class RetryDecision(NamedTuple):
    """Whether a retry may be made, and the state of the budget behind that.

    Attributes
    ----------
    is_allowed : bool
        Whether the retry may be made.
    retries_left : float
        Retries left in the bucket.
    max_retries : float
        Capacity of the bucket, in retries.
    hosts : int
        Number of hosts that the slack was divided by; 0 if unknown.
    """

    is_allowed: bool
    retries_left: float
    max_retries: float
    hosts: int


class RetryBudget:
    """Budget for this host's retries of one service.

    Parameters
    ----------
    ratio : float
        Retries per request, over all hosts.
    slack : float
        Additional retries per window, over all hosts.
    window_s : float
        Length of the window, in seconds.
    started_s : float
        Start of this process, in seconds.
    """

    def __init__(self, ratio: float, slack: float, window_s: float, started_s: float):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._retries = 0.0
        self._updated_s = started_s

    def on_first_send(self, now_s: float, hosts: int) -> None:
        """Add to the budget for the first send of a request.

        Parameters
        ----------
        now_s, hosts
            See `take`.
        """
        max_retries = self._refill(now_s, hosts)
        self._retries = min(max_retries, self._retries + USED_SHARE * self._ratio)

    def take(self, now_s: float, hosts: int) -> RetryDecision:
        """Take one retry from the budget, unless it is exhausted.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        hosts : int
            Number of hosts that share the slack, including this one; 0 if unknown, in
            which case this host gets none of it.
        """
        max_retries = self._refill(now_s, hosts)
        is_allowed = self._retries >= 1.0
        if is_allowed:
            self._retries -= 1.0
        return RetryDecision(is_allowed, self._retries, max_retries, hosts)

    def _refill(self, now_s, hosts):
        """Add the slack accrued since the last update; return the bucket's capacity."""
        share = USED_SHARE * self._slack / hosts if hosts else 0.0
        max_retries = min(share, max(BUCKET_MIN, BUCKET_SHARE * share))
        accrued = (share - max_retries) / self._window_s * (now_s - self._updated_s)
        self._retries = min(max_retries, self._retries + accrued)
        self._updated_s = now_s
        return max_retries
