"""Requests that crash the engine that runs them: suspects and convictions."""

from collections import OrderedDict

from gypsumusher_policy.types import Convict

# Crashes that convict: one may be the engine's own fault, and a third would cost
# another engine.
CRASHES_TO_CONVICT = 2
# Suspicions kept; a crash adds at most a batch of them, and an old one only costs a
# request some company.
MAX_SUSPECTS = 4096


class Quarantine:
    """Which request contents are suspected or convicted of crashing engines.

    Guards against one request that crashes each engine in turn while its caller
    sends it again. It shows as engines that crash one after another. Whatever ran on
    a crashed engine is a suspect; suspects run apart from each other, so that a
    second crash has one suspect alone, which is convicted and refused for good.
    """

    def __init__(self):
        self.running = {}
        self.suspects = OrderedDict()
        self.convictions = {}

    def on_start(self, now_s: float, fingerprint: str, endpoint: str) -> None:
        """Note that an endpoint began to run a content."""
        counts = self.running.setdefault(endpoint, {})
        counts[fingerprint] = counts.get(fingerprint, 0) + 1

    def on_end(
        self, now_s: float, fingerprint: str, endpoint: str, completed: bool = False
    ) -> None:
        """Note that an endpoint stopped running it; ``completed`` clears a suspect."""
        counts = self.running.get(endpoint, {})
        left = counts.get(fingerprint, 0) - 1
        if left > 0:
            counts[fingerprint] = left
        else:
            counts.pop(fingerprint, None)
        if completed:
            self.suspects.pop(fingerprint, None)

    def on_crash(self, now_s: float, endpoint: str) -> list[Convict]:
        """Note that an endpoint crashed; return the contents convicted by it."""
        convicts = []
        for fingerprint in self.running.pop(endpoint, {}):
            convict = self._blame(fingerprint, endpoint)
            if convict is not None:
                convicts.append(convict)
        return convicts

    def convict(self, fingerprint: str, reason: str) -> None:
        """Take over a conviction, from a peer or the platform."""
        self.convictions[fingerprint] = reason
        self.suspects.pop(fingerprint, None)

    def verdict(self, fingerprint: str) -> str:
        """Return ``"clear"``, ``"suspect"`` or ``"convicted"``."""
        if fingerprint in self.convictions:
            return "convicted"
        if fingerprint in self.suspects:
            return "suspect"
        return "clear"

    def suspicions(self) -> dict[str, list[str]]:
        """Return the suspects and the endpoints lost with each, for the peers."""
        return {name: list(lost) for name, lost in self.suspects.items()}

    def on_peer_suspicions(
        self, now_s: float, suspicions: dict[str, list[str]]
    ) -> list[Convict]:
        """Take over a peer's suspicions; return the contents convicted by them."""
        convicts = []
        for fingerprint, lost in suspicions.items():
            for endpoint in lost:
                convict = self._blame(fingerprint, endpoint)
                if convict is not None:
                    convicts.append(convict)
        return convicts

    def runs_suspect(self, endpoint: str) -> bool:
        """Say whether an endpoint runs a suspect now."""
        for fingerprint in self.running.get(endpoint, ()):
            if fingerprint in self.suspects:
                return True
        return False

    def _blame(self, fingerprint, endpoint):
        if fingerprint in self.convictions:
            return None
        lost = self.suspects.setdefault(fingerprint, [])
        if endpoint not in lost:
            lost.append(endpoint)
        if len(lost) >= CRASHES_TO_CONVICT:
            self.convict(fingerprint, "crashed " + ",".join(lost))
            return Convict(fingerprint, tuple(lost))
        if len(self.suspects) > MAX_SUSPECTS:
            self.suspects.popitem(last=False)
        return None
