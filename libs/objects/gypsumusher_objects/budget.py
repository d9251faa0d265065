"""Client-side rate limit and back-off for one host's calls to the platform.

The platform applies one rate limit to the calls of the whole fleet, so that a host
which calls too often uses up the share of the other hosts. The time and the random
numbers are passed in by the caller.
"""

from collections.abc import Callable
from typing import NamedTuple

READ = "read"
WRITE = "write"


class BudgetLimits(NamedTuple):
    """Limits of one host.

    The defaults suit 8 hosts that share several hundred writes and two thousand reads
    a second; each host of a larger fleet needs lower rates.

    Parameters
    ----------
    writes_per_s, reads_per_s : float
        Sustained rates of writes and reads.
    burst_s : float
        Largest burst, in seconds of the sustained rate. One second lets a group
        commit pass after a pause.
    urgent_reserve_share : float
        Share of the burst that only urgent calls (lease renewals, claims) may use, so
        that bulk reads after a restart do not make a host lose its lease.
    initial_backoff_s : float
        Longest wait after the first failure; it doubles with each further failure.
        With 0.1 s, a single lost response is soon followed by another attempt.
    max_backoff_s : float
        Limit of the longest wait. With 3 s, 330 hosts send about 220 calls a second
        during an outage, a tenth of the platform's read rate, and receive a new
        configuration well within 12 s of the outage's end.
    """

    writes_per_s: float = 25.0
    reads_per_s: float = 100.0
    burst_s: float = 1.0
    urgent_reserve_share: float = 0.2
    initial_backoff_s: float = 0.1
    max_backoff_s: float = 3.0


DEFAULT_LIMITS = BudgetLimits()


class TokenBucket:
    """Token bucket whose last tokens are reserved for urgent calls.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    burst : float
        Capacity of the bucket, in tokens.
    reserve : float
        Tokens that only urgent calls may take; counted within the burst.
    """

    def __init__(self, rate_per_s: float, burst: float, reserve: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.reserve = reserve
        self.tokens = burst
        self.refilled_s: float | None = None

    def take(self, now_s: float, urgent: bool) -> float:
        """Take one token.

        Returns
        -------
        float
            0.0 if a token was taken, else the seconds until one is available.
        """
        self._refill(now_s)
        required = 1.0 if urgent else 1.0 + self.reserve
        if self.tokens >= required:
            self.tokens -= 1.0
            return 0.0
        return (required - self.tokens) / self.rate_per_s

    def drop_to_reserve(self, now_s: float) -> None:
        """Discard all tokens beyond the reserve."""
        self._refill(now_s)
        self.tokens = min(self.tokens, self.reserve)

    def _refill(self, now_s: float) -> None:
        if self.refilled_s is not None:
            added = max(0.0, now_s - self.refilled_s) * self.rate_per_s
            self.tokens = min(self.burst, self.tokens + added)
        self.refilled_s = now_s


class CallBudget:
    """Decides whether a call to the platform may be sent now.

    Prevents a thundering herd: hosts whose calls fail together in an outage of the
    platform would otherwise all retry together, and the platform would throttle them
    or fail again in the second in which it returns. After a failure each host
    therefore waits a random time between zero and a limit that doubles with each
    further failure (exponential back-off with full jitter). Unused tokens beyond the
    urgent reserve are discarded, so that the wait does not end in a burst.

    Parameters
    ----------
    random : callable
        Returns a float in [0, 1).
    limits : BudgetLimits
        Rates, burst, reserve and back-off.
    """

    def __init__(
        self, random: Callable[[], float], limits: BudgetLimits = DEFAULT_LIMITS
    ):
        self.random = random
        self.limits = limits
        self.consecutive_failures = 0
        self.backoff_until_s = float("-inf")
        self.last_failure_s = float("-inf")
        self.buckets = {
            WRITE: self._bucket(limits.writes_per_s),
            READ: self._bucket(limits.reads_per_s),
        }

    def _bucket(self, rate_per_s: float) -> TokenBucket:
        # With a burst below two tokens, a call that is not urgent, which has to leave
        # the reserve, might never be allowed.
        burst = max(2.0, rate_per_s * self.limits.burst_s)
        return TokenBucket(rate_per_s, burst, burst * self.limits.urgent_reserve_share)

    def take(self, now_s: float, kind: str, urgent: bool = False) -> float:
        """Ask to send one call.

        Parameters
        ----------
        now_s : float
            Current time on the caller's clock.
        kind : str
            ``READ`` or ``WRITE``; a watch counts as one read.
        urgent : bool
            Whether the call may use the reserve. It does not bypass the back-off:
            lease renewals of all hosts at once would be a thundering herd, too.

        Returns
        -------
        float
            0.0 if the call may be sent, else the seconds to wait before asking again.
        """
        if now_s < self.backoff_until_s:
            return self.backoff_until_s - now_s
        return self.buckets[kind].take(now_s, urgent)

    def on_success(self, started_s: float) -> None:
        """Record a response to a call that started at `started_s`."""
        # The response to a call that started before the last failure does not show
        # that the platform is available again.
        if started_s >= self.last_failure_s:
            self.consecutive_failures = 0

    def on_failure(
        self, now_s: float, started_s: float, retry_after_s: float | None = None
    ) -> None:
        """Record a call that got no usable response or was throttled.

        Parameters
        ----------
        now_s : float
            Current time on the caller's clock.
        started_s : float
            When the failed call started.
        retry_after_s : float or None
            Wait that the platform asked for; the random wait is added to it.
        """
        # Calls that fail at the same time count as one failure: counted separately,
        # the twenty calls of one broken connection would lead to the longest wait.
        if started_s < self.last_failure_s and retry_after_s is None:
            return
        max_wait_s = min(
            self.limits.max_backoff_s,
            self.limits.initial_backoff_s * 2.0 ** min(self.consecutive_failures, 30),
        )
        wait_s = (retry_after_s or 0.0) + self.random() * max_wait_s
        self.consecutive_failures += 1
        self.last_failure_s = now_s
        self.backoff_until_s = max(self.backoff_until_s, now_s + wait_s)
        for bucket in self.buckets.values():
            bucket.drop_to_reserve(now_s)

    def is_failing(self) -> bool:
        """Return whether a call failed and no call started since has succeeded."""
        return self.consecutive_failures > 0
