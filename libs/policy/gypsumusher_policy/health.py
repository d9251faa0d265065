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
# Reasons for which the endpoint is to blame. A refusal is an engine's right, and a
# crash is weighed by the quarantine.
BLAMED = frozenset(("connect", "broken", "error", "crossed"))


class Health:
    """Failures in a row of one endpoint, and the pause that they brought."""

    def __init__(self):
        self.failures = 0
        self.pause_s = FIRST_PAUSE_S
        self.until_s = 0.0
        self.probing = False

    def is_open(self) -> bool:
        """Say whether it has failed too often to get work as usual."""
        return self.failures >= FAILURES_IN_A_ROW

    def allows(self, now_s: float, idempotent: bool) -> bool:
        """Say whether it may be sent a request.

        After its pause it gets exactly one probe. From the first failure on it gets
        only requests that may run twice: a booking must not be the one to find out.
        """
        if self.failures and not idempotent:
            return False
        if not self.is_open():
            return True
        return now_s >= self.until_s and not self.probing

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
        if not self.is_open():
            return
        if was_probe:
            self.pause_s = min(LAST_PAUSE_S, 2.0 * self.pause_s)
        self.until_s = now_s + self.pause_s
