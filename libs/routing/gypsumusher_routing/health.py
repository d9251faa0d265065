"""How far an endpoint is trusted, from the answers of all hosts.

Made for an endpoint that looks idle because it fails what it is sent: the least busy
choice would send it everything. Its health check may be good all the while, so only
answers count.
"""

__all__ = ["Health"]

# What one failure adds. An endpoint with a penalty of 1 is used only when no other is
# left; three failures of different requests within seconds are hardly chance.
FAILURE_PENALTIES = {
    # It refused or didn't take a connection: nothing was lost, but it is down.
    "connect": 1.0,
    # It broke off an answer. One in fifty does so under the users' usual faults.
    "broken": 0.5,
    # It said nothing for far longer than its work takes: a request of a caller is lost
    # with each try, so one is enough for a pause.
    "silent": 1.0,
    # Another one, asked later, answered sooner. Chance does that now and then.
    "slow": 0.25,
    # It answered with bytes that aren't its answer.
    "garbled": 0.3,
    # It had no room. Others learn of it by the counts that the hosts share.
    "full": 0.25,
}
# Time in which a penalty falls to half, in seconds: endpoints come back after some
# seconds, and a failing one is met again by a single request of some host.
HALF_LIFE_S = 1.5
# A penalty that keeps being earned grows up to this, for a pause of some seconds.
PENALTY_MAX = 6.0
# Of the penalty, what an answer takes away.
SUCCESS_FACTOR = 0.7
# From this penalty on an endpoint is left out where there are others.
AVOIDED_FROM = 0.8


class Health:
    """The penalty of one endpoint, its own and that which peers report."""

    def __init__(self):
        self._penalty = 0.0
        self._at_s = 0.0
        self._peers = {}

    def on_failure(self, now_s: float, reason: str) -> None:
        """Note a failure; unknown reasons count as ``broken``."""
        added = FAILURE_PENALTIES.get(reason, FAILURE_PENALTIES["broken"])
        self._penalty = min(PENALTY_MAX, self.own_penalty(now_s) + added)
        self._at_s = now_s

    def on_success(self, now_s: float) -> None:
        """Note a whole answer."""
        self._penalty = self.own_penalty(now_s) * SUCCESS_FACTOR
        self._at_s = now_s

    def on_peer_penalty(self, now_s: float, peer: str, penalty: float) -> None:
        """Take in a peer's own penalty."""
        if penalty <= 0.0:
            self.drop_peer(peer)
            return
        self._peers[peer] = (penalty, now_s)

    def drop_peer(self, peer: str) -> None:
        """Note that a peer has nothing against it."""
        self._peers.pop(peer, None)

    def own_penalty(self, now_s: float) -> float:
        """Return what this host itself has seen, for its peers."""
        if not self._penalty:
            return 0.0
        return _decayed(self._penalty, now_s - self._at_s)

    def penalty(self, now_s: float) -> float:
        """Return the penalty now, of all hosts together."""
        total = self.own_penalty(now_s)
        for penalty, at_s in self._peers.values():
            total += _decayed(penalty, now_s - at_s)
        return min(PENALTY_MAX, total)

    def is_avoided(self, now_s: float) -> bool:
        """Say whether it is left out while there are others."""
        return self.penalty(now_s) >= AVOIDED_FROM


def _decayed(penalty, age_s):
    """Return what is left of a penalty; one that is spent is none."""
    left = penalty * 0.5 ** (max(0.0, age_s) / HALF_LIFE_S)
    return left if left > 0.02 else 0.0
