"""One host's share of the retries that all hosts together may make.

Made for endpoints that fail under full load: there each retry takes the place of a
first attempt, so unbounded retries turn a partial failure into a whole one.
"""

from collections import deque
from typing import NamedTuple

__all__ = ["RetryDecision", "RetryShare"]

# Part of the operator's bound that is used. Windows slide and hosts don't hear of each
# other at once, so the sum of all shares must stay clear of it.
USED_PART = 0.7


class RetryDecision(NamedTuple):
    """Whether a retry may be made, and what decided.

    Attributes
    ----------
    is_allowed : bool
        Whether it is.
    requests : int
        First sends of this host in the window.
    retries : int
        Retries that this host has used in the window, this one among them.
    limit : float
        Retries that it may use in the window.
    hosts : int
        Hosts that the slack was divided by.
    """

    is_allowed: bool
    requests: int
    retries: int
    limit: float
    hosts: int


class RetryShare:
    """Counts the sends of one service in a sliding window.

    Parameters
    ----------
    ratio : float
        Retries for each request, over all hosts.
    slack : float
        Retries on top, over all hosts.
    window_s : float
        The window, in seconds.
    started_s : float
        Start of this process. Its part of the slack grows over one window from there:
        hosts that are killed and start anew again and again would otherwise bring a
        fresh part of it each time.
    """

    def __init__(self, ratio: float, slack: float, window_s: float, started_s: float):
        self._ratio = ratio
        self._slack = slack
        self._window_s = window_s
        self._started_s = started_s
        self._firsts_s = deque()
        self._retries_s = deque()

    def on_first(self, now_s: float) -> None:
        """Count the first send of a request."""
        self._firsts_s.append(now_s)
        self._trim(now_s)

    def take(self, now_s: float, hosts: int) -> RetryDecision:
        """Use one retry, unless this host's share is spent.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        hosts : int
            Hosts that share the slack, this one among them.
        """
        self._trim(now_s)
        age = min(1.0, (now_s - self._started_s) / self._window_s)
        limit = self._ratio * len(self._firsts_s) + self._slack * age / max(1, hosts)
        limit *= USED_PART
        is_allowed = len(self._retries_s) + 1 <= limit
        if is_allowed:
            self._retries_s.append(now_s)
        requests, retries = len(self._firsts_s), len(self._retries_s)
        return RetryDecision(is_allowed, requests, retries, limit, hosts)

    def _trim(self, now_s):
        oldest_s = now_s - self._window_s
        for times_s in (self._firsts_s, self._retries_s):
            while times_s and times_s[0] < oldest_s:
                times_s.popleft()
