"""Limit of one host's calls to the platform; it reads no clock and draws no numbers.

The platform counts every call of the fleet against one rate, so that a host which
calls too often takes the calls of its neighbours.
"""

from collections.abc import Callable
from typing import NamedTuple

READ = "read"
WRITE = "write"


class BudgetLimits(NamedTuple):
    """Limits of one host.

    The defaults are made for 8 hosts that share several hundred writes and two
    thousand reads a second; a larger fleet sets smaller shares. The burst is one
    second's worth of calls, so that a group commit at the end of a pause passes. A
    fifth of it is kept for urgent calls (lease renewals, claims): bulk reads after
    a restart must not make a host lose its lease. The back-off starts at a tenth of
    a second, so that a single lost answer is read again soon, and ends at 3 s: 330
    hosts then send about 220 calls a second into an outage, a tenth of the read
    rate, and hear of a new configuration well inside 12 s of its end.
    """

    writes_per_s: float = 25.0
    reads_per_s: float = 100.0
    burst_s: float = 1.0
    urgent_reserve_share: float = 0.2
    initial_backoff_s: float = 0.1
    max_backoff_s: float = 3.0


DEFAULT_LIMITS = BudgetLimits()


class TokenBucket:
    """Tokens that refill at a steady rate up to a burst; the last ones are reserved.

    Parameters
    ----------
    rate_per_s : float
        Tokens that come back in a second.
    burst : float
        Most tokens that are kept.
    reserve : float
        Tokens that only urgent calls may take.
    """

    def __init__(self, rate_per_s: float, burst: float, reserve: float):
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.reserve = reserve
        self.tokens = burst
        self.filled_s: float | None = None

    def take(self, now_s: float, urgent: bool) -> float:
        """Take one token.

        Returns
        -------
        float
            0.0 if a token was taken, else the seconds until one is there.
        """
        self._fill(now_s)
        needed = 1.0 if urgent else 1.0 + self.reserve
        if self.tokens >= needed:
            self.tokens -= 1.0
            return 0.0
        return (needed - self.tokens) / self.rate_per_s

    def drop_to_reserve(self, now_s: float) -> None:
        """Forget saved tokens beyond the reserve."""
        self._fill(now_s)
        self.tokens = min(self.tokens, self.reserve)

    def _fill(self, now_s: float) -> None:
        if self.filled_s is not None:
            gained = max(0.0, now_s - self.filled_s) * self.rate_per_s
            self.tokens = min(self.burst, self.tokens + gained)
        self.filled_s = now_s


class CallBudget:
    """Decides whether a call may go out now.

    Load: all hosts of the fleet, each with its own budget, during an outage of the
    platform and in the second in which it returns. Harm prevented: hosts that fail
    together would otherwise call again together, and a platform that just came back
    would be throttled or fall again. Each host therefore waits a random time between
    zero and a limit that doubles with each failure (full jitter), and starts again
    without the calls that it saved up meanwhile.

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
        self.failures = 0
        self.backoff_until_s = float("-inf")
        self.failed_s = float("-inf")
        self.buckets = {
            WRITE: self._bucket(limits.writes_per_s),
            READ: self._bucket(limits.reads_per_s),
        }

    def _bucket(self, rate_per_s: float) -> TokenBucket:
        # A burst below two tokens could never serve a call that leaves a reserve.
        burst = max(2.0, rate_per_s * self.limits.burst_s)
        return TokenBucket(rate_per_s, burst, burst * self.limits.urgent_reserve_share)

    def take(self, now_s: float, kind: str, urgent: bool = False) -> float:
        """Ask for one call.

        Parameters
        ----------
        now_s : float
            Reading of the caller's clock.
        kind : str
            ``READ`` or ``WRITE``; a waiting watch is a read.
        urgent : bool
            Whether the call may use the reserve. It never passes over a back-off:
            renewals of every host at once are what a stampede is made of.

        Returns
        -------
        float
            0.0 if the call may go out, else the seconds to wait before asking again.
        """
        if now_s < self.backoff_until_s:
            return self.backoff_until_s - now_s
        return self.buckets[kind].take(now_s, urgent)

    def on_success(self, started_s: float) -> None:
        """Note an answer to a call that began at `started_s`."""
        # An answer that was on its way before the failure says nothing about now.
        if started_s >= self.failed_s:
            self.failures = 0

    def on_failure(
        self, now_s: float, started_s: float, retry_after_s: float | None = None
    ) -> None:
        """Note a call without a usable answer, or one that the platform throttled.

        Parameters
        ----------
        now_s : float
            Reading of the caller's clock.
        started_s : float
            When the failed call began.
        retry_after_s : float or None
            The platform's own wish, to which the random wait is added.
        """
        # Twenty calls that break at once are one failure, not twenty: counted apart
        # they would take a single broken connection straight to the longest wait.
        if started_s < self.failed_s and retry_after_s is None:
            return
        longest_s = min(
            self.limits.max_backoff_s,
            self.limits.initial_backoff_s * 2.0 ** min(self.failures, 30),
        )
        wait_s = (retry_after_s or 0.0) + self.random() * longest_s
        self.failures += 1
        self.failed_s = now_s
        self.backoff_until_s = max(self.backoff_until_s, now_s + wait_s)
        for bucket in self.buckets.values():
            bucket.drop_to_reserve(now_s)

    def is_failing(self) -> bool:
        """Return whether no call has succeeded since the last failure."""
        return self.failures > 0
