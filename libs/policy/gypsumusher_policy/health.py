"""Whether an endpoint fails what it is sent, from this host's own attempts.

Made for an engine that answers fast with errors: it looks idle, so that the least
loaded choice would send it everything. The half-open state with one probe and the
counting of only those failures that the endpoint is to blame for follow llmkit's
provider health (PAPER-llmkit-cdfb).
"""

# Failures in a row after which an endpoint gets no more work: one may be the
# request's, three of different requests are hardly.
FAILURES_IN_A_ROW = 3
# First pause after that, in seconds; each failed probe doubles it, up to the last.
FIRST_PAUSE_S = 2.0
LAST_PAUSE_S = 32.0
# For how long after a failure the endpoint gets only requests that may run twice. A
# deployment whose work may all run only once has no others, so it must end: two
# seconds bring a few of them where there are any, and callers can wait that long.
ONCE_PAUSE_S = 2.0
# Reasons for which the endpoint is to blame. A refusal is an engine's right, and a
# crash is weighed by the quarantine.
BLAMED = frozenset(("connect", "broken", "error", "crossed"))


class Health:
    """Failures in a row of one endpoint, and the pause that they brought."""

    def __init__(self):
        self.failures = 0
        self.pause_s = FIRST_PAUSE_S
        self.until_s = 0.0
        self.failed_s = float("-inf")
        self.probing = False

    def is_open(self) -> bool:
        """Say whether it has failed too often to get work as usual."""
        return self.failures >= FAILURES_IN_A_ROW

    def allows(self, now_s: float, idempotent: bool) -> bool:
        """Say whether it may be sent a request.

        After its pause it gets exactly one probe. For a while after a failure it
        gets only requests that may run twice: a booking had better not be the one to
        find out. Only for a while: with bookings alone nothing else would ever show
        that the endpoint is well, and all of them would wait until they are late.
        """
        if not idempotent and now_s < self.once_from_s():
            return False
        if not self.is_open():
            return True
        return now_s >= self.until_s and not self.probing

    def once_from_s(self) -> float:
        """Return from when on it may be sent a request that may run only once."""
        if not self.failures:
            return float("-inf")
        paused_until_s = self.until_s if self.is_open() else self.failed_s
        return paused_until_s + ONCE_PAUSE_S

    def on_start(self) -> None:
        """Note that a request is sent; to a failed endpoint it is the probe."""
        if self.is_open():
            self.probing = True

    def on_success(self) -> None:
        """Note a whole answer."""
        self.failures = 0
        self.pause_s = FIRST_PAUSE_S
        self.probing = False

    def on_failure(self, now_s: float, reason: str) -> None:
        """Note a failed attempt."""
        was_probe = self.probing
        self.probing = False
        if reason not in BLAMED:
            return
        self.failures += 1
        self.failed_s = now_s
        if not self.is_open():
            return
        if was_probe:
            self.pause_s = min(LAST_PAUSE_S, 2.0 * self.pause_s)
        self.until_s = now_s + self.pause_s
