"""One host's part of the retry budget that all hosts share.

When endpoints fail under full load, each retry takes the place of a first attempt, so
unbounded retries turn a partial failure into a complete one.

The budget is a token bucket. Requests add a fraction of a retry each, and the slack is
added evenly over the window. What the bucket holds plus what is added during a window
never exceeds the host's part of the bound, so the hosts together stay within the bound
without any messages, whatever happens to them: a restarted host has an empty bucket.

A retry counts when it arrives, which may be long after it was taken, together with
others. Until then it keeps its place in the bucket, so that what may arrive late and
what the bucket holds are never more than its capacity.
"""

from collections import Counter
from typing import NamedTuple

from gypsumusher_routing.send_counter import SendCounter, SendFate

__all__ = ["RetryBudget", "RetryDecision"]

# Share of the operator's bound that is used. A send arrives some milliseconds after its
# retry was taken and may fall into a later window than the request that allowed it.
USED_SHARE = 0.9
# Share of a host's slack that its bucket holds; the rest is added over the window.
BUCKET_SHARE = 0.7
# Number of windows after which a retry without an answer gives its place back.
UNDER_WAY_WINDOWS = 3.0
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
    under_way : int
        Retries taken earlier whose sends may be yet to arrive.
    unanswered : dict of SendFate to int
        Sends of earlier requests without a response that count as arrived or as lost,
        since this process started.
    """

    is_allowed: bool
    retries_left: float
    max_retries: float
    hosts: int
    under_way: int
    unanswered: dict[SendFate, int]


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
        # Requests that have taken a retry, until they end and nothing is under way.
        self._counters = []
        self._unanswered = Counter()

    def on_first_send(self, now_s: float, hosts: int) -> None:
        """Add to the budget for the first send of a request.

        Parameters
        ----------
        now_s, hosts
            See `take`.
        """
        max_retries, under_way = self._refill(now_s, hosts)
        self._retries = min(
            max(0.0, max_retries - under_way),
            self._retries + USED_SHARE * self._ratio,
        )

    def take(self, now_s: float, hosts: int, counter: SendCounter) -> RetryDecision:
        """Take one retry for a request, unless the budget is exhausted.

        The request's sends are followed from its first retry on, until the request has
        ended and none of them may be yet to arrive.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        hosts : int
            Number of hosts that share the slack, including this one; 0 if unknown, in
            which case this host gets none of it.
        counter : SendCounter
            The request, which gets the retry.
        """
        max_retries, under_way = self._refill(now_s, hosts)
        is_allowed = self._retries >= 1.0
        if is_allowed:
            self._retries -= 1.0
            if not counter.retries:
                self._counters.append(counter)
            counter.retries += 1
        return RetryDecision(
            is_allowed,
            self._retries,
            max_retries,
            hosts,
            under_way,
            self._unanswered,
        )

    def _refill(self, now_s, hosts):
        """Add the slack accrued since the last update.

        Returns
        -------
        (float, int)
            The bucket's capacity, and the retries that are under way.
        """
        share = USED_SHARE * self._slack / hosts if hosts else 0.0
        max_retries = min(share, max(BUCKET_MIN, BUCKET_SHARE * share))
        accrued = (share - max_retries) / self._window_s * (now_s - self._updated_s)
        under_way = self._count_under_way(now_s)
        self._retries = min(max(0.0, max_retries - under_way), self._retries + accrued)
        self._updated_s = now_s
        return max_retries, under_way

    def _count_under_way(self, now_s):
        """Return how many retries may be yet to arrive; forget all others."""
        longest_s = UNDER_WAY_WINDOWS * self._window_s
        counters, self._counters = self._counters, []
        under_way = 0
        for counter in counters:
            count = counter.retries_under_way(now_s, longest_s)
            under_way += count
            if count or not counter.has_ended:
                self._counters.append(counter)
                continue
            self._unanswered.update(counter.fates(now_s, longest_s))
        del self._unanswered[SendFate.ANSWERED]
        return under_way
