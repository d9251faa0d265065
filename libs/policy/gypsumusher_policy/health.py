"""Circuit breaker of an endpoint, based on this host's own attempts.

An engine that answers every request at once with an error always looks idle, so that
least-loaded placement would send it all requests. The half-open state with a single
probe, and counting only failures that the endpoint caused, follow the provider health
of llmkit (PAPER-llmkit-cdfb).
"""

# Consecutive failures after which an endpoint is paused. A single failure may be
# caused by the request; three failures of different requests hardly are.
MAX_CONSECUTIVE_FAILURES = 3
# First pause of an endpoint, in seconds. Each failed probe doubles it, up to the
# maximum.
INITIAL_PAUSE_S = 2.0
MAX_PAUSE_S = 32.0
# Time after a failure or pause in which an endpoint gets only idempotent requests, in
# seconds. It has to end, as some deployments have only non-idempotent requests. Two
# seconds are enough for a few idempotent requests, if there are any, and short enough
# for callers to wait.
NON_IDEMPOTENT_PAUSE_S = 2.0
# Failure reasons that count against the endpoint. A refusal is not a fault of the
# engine, and crashes are handled by `Quarantine`.
ENDPOINT_FAULT_REASONS = frozenset(("connect", "broken", "error", "crossed"))


class EndpointHealth:
    """Consecutive failures of one endpoint, and the pause that follows from them.

    Attributes
    ----------
    consecutive_failures : int
        Failures since the last success.
    pause_s : float
        Length of the present or next pause, in seconds.
    open_until_s : float
        End of the present or last pause, in seconds.
    last_failure_s : float
        Time of the last failure, in seconds.
    probing : bool
        Whether the probe of a paused endpoint is in flight.
    """

    def __init__(self):
        self.consecutive_failures = 0
        self.pause_s = INITIAL_PAUSE_S
        self.open_until_s = 0.0
        self.last_failure_s = float("-inf")
        self.probing = False

    def is_open(self) -> bool:
        """Return whether the circuit is open: no work, apart from a probe."""
        return self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES

    def allows(self, now_s: float, idempotent: bool) -> bool:
        """Return whether the endpoint may get a request.

        After its pause, the endpoint gets exactly one probe. For some time after a
        failure it gets only idempotent requests, because a non-idempotent one that
        fails cannot be retried. That time is limited: in a deployment that has only
        non-idempotent requests, no other request would show that the endpoint has
        recovered, and all requests would wait until their deadlines.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        idempotent : bool
            Whether the request may run more than once.
        """
        if not idempotent and now_s < self.non_idempotent_from_s():
            return False
        if not self.is_open():
            return True
        return now_s >= self.open_until_s and not self.probing

    def non_idempotent_from_s(self) -> float:
        """Return when non-idempotent requests are allowed again, in seconds."""
        if not self.consecutive_failures:
            return float("-inf")
        pause_end_s = self.open_until_s if self.is_open() else self.last_failure_s
        return pause_end_s + NON_IDEMPOTENT_PAUSE_S

    def on_start(self) -> None:
        """Record that a request was sent; with an open circuit it is the probe."""
        if self.is_open():
            self.probing = True

    def on_success(self) -> None:
        """Close the circuit after a complete answer."""
        self.consecutive_failures = 0
        self.pause_s = INITIAL_PAUSE_S
        self.probing = False

    def on_failure(self, now_s: float, reason: str) -> None:
        """Record a failed attempt.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        reason : str
            How it failed; only `ENDPOINT_FAULT_REASONS` count.
        """
        was_probe = self.probing
        self.probing = False
        if reason not in ENDPOINT_FAULT_REASONS:
            return
        self.consecutive_failures += 1
        self.last_failure_s = now_s
        if not self.is_open():
            return
        if was_probe:
            self.pause_s = min(MAX_PAUSE_S, 2.0 * self.pause_s)
        self.open_until_s = now_s + self.pause_s
