"""Penalty of an endpoint for failed requests, as observed by all hosts.

An endpoint that fails requests quickly looks idle, so a choice by load alone would send
it all of them. Its health check may pass all the while, so only answers to requests
count.
"""

__all__ = ["Health"]

# Penalty added by one failure, by reason. An endpoint at 1 or above is used only when
# no other is available: three failures of different requests within seconds are
# unlikely to be chance.
FAILURE_PENALTIES = {
    # The connection was refused or timed out: no request was lost, but it is down.
    "connect": 1.0,
    # The answer broke off. One in fifty does so under the usual rate of faults.
    "broken": 0.5,
    # No answer for far longer than the work takes. Each further try loses a caller's
    # request, so one failure is enough.
    "silent": 1.0,
    # A hedged request was answered sooner elsewhere, which happens by chance too.
    "slow": 0.25,
    # The answer could not be decoded.
    "garbled": 0.3,
    # The endpoint had no free slot. Other hosts see that from the shared load counts.
    "full": 0.25,
}
# Half-life of a penalty. Endpoints recover within seconds, and one that still fails
# then costs a single request of some host.
HALF_LIFE_S = 1.5
# Upper bound of a penalty, so that an endpoint is tried again after some seconds.
PENALTY_MAX = 6.0
# Factor on the penalty for each complete answer.
SUCCESS_FACTOR = 0.7
# Penalty from which an endpoint is avoided while there are others.
AVOIDED_FROM = 0.8


class Health:
    """Penalty of one endpoint, from this host's own failures and those of its peers."""

    def __init__(self):
        self._penalty = 0.0
        self._updated_s = 0.0
        self._peers = {}

    def on_failure(self, now_s: float, reason: str) -> None:
        """Add the penalty of a failure; unknown reasons count as ``broken``."""
        added = FAILURE_PENALTIES.get(reason, FAILURE_PENALTIES["broken"])
        self._penalty = min(PENALTY_MAX, self.own_penalty(now_s) + added)
        self._updated_s = now_s

    def on_success(self, now_s: float) -> None:
        """Reduce the penalty after a complete answer."""
        self._penalty = self.own_penalty(now_s) * SUCCESS_FACTOR
        self._updated_s = now_s

    def clear_own(self) -> None:
        """Drop the penalty from this host's own requests."""
        self._penalty = 0.0

    def on_peer_penalty(self, now_s: float, peer: str, penalty: float) -> None:
        """Store the penalty that a peer reports from its own requests."""
        if penalty <= 0.0:
            self.drop_peer(peer)
            return
        self._peers[peer] = (penalty, now_s)

    def drop_peer(self, peer: str) -> None:
        """Remove the penalty reported by a peer."""
        self._peers.pop(peer, None)

    def own_penalty(self, now_s: float) -> float:
        """Return the current penalty from this host's own requests."""
        if not self._penalty:
            return 0.0
        return _decayed(self._penalty, now_s - self._updated_s)

    def penalty(self, now_s: float) -> float:
        """Return the current penalty, summed over all hosts."""
        total = self.own_penalty(now_s)
        for penalty, received_s in self._peers.values():
            total += _decayed(penalty, now_s - received_s)
        return min(PENALTY_MAX, total)

    def is_avoided(self, now_s: float) -> bool:
        """Return whether the endpoint is avoided while there are others."""
        return self.penalty(now_s) >= AVOIDED_FROM


def _decayed(penalty, age_s):
    """Return a penalty decayed over some seconds; a negligible one counts as zero."""
    decayed = penalty * 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)
    return decayed if decayed > 0.02 else 0.0
