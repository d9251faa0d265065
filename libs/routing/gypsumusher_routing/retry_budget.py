"""One host's share of the retries that all hosts together may make.

Made for endpoints that fail under full load: there each retry takes the place of a
first attempt, so unbounded retries turn a partial failure into a whole one.

The share is a token bucket: requests bring their part of a retry, and the slack comes
in evenly over the window. What a bucket holds and what comes in over a window stays
within the host's part of the bound for every window, so the sum over all hosts stays
within the bound without any message between them, whatever happens to them: a host
that starts anew has an empty bucket.
"""

from typing import NamedTuple

__all__ = ["RetryBudget", "RetryDecision"]

# Part of the operator's bound that is used: a send may arrive some time after its retry
# was taken, and falls into a later window then.
USED_PART = 0.9
# Part of a host's slack that its bucket holds; the rest comes in over the window.
HELD_PART = 0.5
# Retries that the bucket holds at least, where the slack allows: an endpoint that
# crashes fails several requests of a host at once.
HELD_MIN = 2.0


class RetryDecision(NamedTuple):
    """Whether a retry may be made, and what decided.

    Attributes
    ----------
    is_allowed : bool
        Whether it is.
    left : float
        Retries that are left in the bucket.
    most : float
        Retries that the bucket holds at most.
    hosts : int
        Hosts that the slack was divided by; 0 when their number wasn't known.
    """

    is_allowed: bool
    retries_left: float
    max_retries: float
    hosts: int


class RetryBudget:
    """This host's retries of one service.

    Parameters
    ----------
    ratio : float
        Retries for each request, over all hosts.
    slack : float
        Retries on top, over all hosts.
    window_s : float
        The window, in seconds.
    started_s : float
        Start of this process.
    """

    def __init__(self, ratio: float, slack: float, window_s: float, started_s: float):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._tokens = 0.0
        self._at_s = started_s

    def on_first_send(self, now_s: float, hosts: int) -> None:
        """Count the first send of a request; parameters as of `take`."""
        most = self._refill(now_s, hosts)
        self._tokens = min(most, self._tokens + USED_PART * self._ratio)

    def take(self, now_s: float, hosts: int) -> RetryDecision:
        """Use one retry, unless this host's share is spent.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        hosts : int
            Hosts that share the slack, this one among them; 0 when that isn't known,
            and the host has no share of it.
        """
        most = self._refill(now_s, hosts)
        is_allowed = self._tokens >= 1.0
        if is_allowed:
            self._tokens -= 1.0
        return RetryDecision(is_allowed, self._tokens, most, hosts)

    def _refill(self, now_s, hosts):
        """Add what has come in of the slack; return what the bucket holds at most."""
        share = USED_PART * self._slack / hosts if hosts else 0.0
        most = min(share, max(HELD_MIN, HELD_PART * share))
        came_in = (share - most) / self._window_s * (now_s - self._at_s)
        self._tokens = min(most, self._tokens + came_in)
        self._at_s = now_s
        return most
