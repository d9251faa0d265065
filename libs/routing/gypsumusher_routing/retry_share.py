"""One host's share of the retries that all hosts together may make.

Made for endpoints that fail under full load: there each retry takes the place of a
first attempt, so unbounded retries turn a partial failure into a whole one.
"""

from collections import deque

__all__ = ["RetryShare"]

# Part of the operator's bound that is used. Windows slide and hosts don't hear of each
# other at once, so the sum of all shares must stay clear of it.
USED_PART = 0.7


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

    def take(self, now_s: float, hosts: int) -> bool:
        """Use one retry; False when this host's share is spent.

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
        if len(self._retries_s) + 1 > limit * USED_PART:
            return False
        self._retries_s.append(now_s)
        return True

    def _trim(self, now_s):
        oldest_s = now_s - self._window_s
        for times_s in (self._firsts_s, self._retries_s):
            while times_s and times_s[0] < oldest_s:
                times_s.popleft()
