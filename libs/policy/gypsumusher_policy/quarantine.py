"""Requests that crash the engine that runs them: suspects and convictions."""

from collections import OrderedDict

from gypsumusher_policy.types import Convict

# Crashes that convict: one may be the engine's own fault, and a third would cost
# another engine.
CRASHES_TO_CONVICT = 2
# Suspicions kept; a crash adds at most a batch of them, and an old one only costs a
# request some company.
MAX_SUSPECTS = 4096


# Time for which a crash that a conviction has explained blames nobody else, in
# seconds: the other hosts' word of it comes within that time.
EXPLAINED_S = 5.0


class Quarantine:
    """Which request contents are suspected or convicted of crashing engines.

    Guards against one request that crashes each engine in turn while its caller
    sends it again. It shows as engines that crash one after another. Whatever ran on
    a crashed engine is a suspect; suspects run apart from each other, so that a
    second crash has one suspect alone, which is convicted and refused for good. The
    others that were suspected for the same crashes are clear again at once.
    """

    def __init__(self):
        self.running = {}
        self.suspects = OrderedDict()
        self.convictions = {}
        self.explained_s = {}

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
        lost = {name: [endpoint] for name in self.running.pop(endpoint, {})}
        return self.on_peer_suspicions(now_s, lost)

    def convict(self, fingerprint: str, reason: str, now_s: float = 0.0) -> None:
        """Take over a conviction, from a peer or the platform."""
        self.convictions[fingerprint] = reason
        lost = [endpoint for endpoint, _ in self.suspects.pop(fingerprint, ())]
        for endpoint in lost:
            self.explained_s[endpoint] = now_s
        for other, crashes in list(self.suspects.items()):
            if {endpoint for endpoint, _ in crashes} <= set(lost):
                del self.suspects[other]

    def verdict(self, fingerprint: str) -> str:
        """Return ``"clear"``, ``"suspect"`` or ``"convicted"``."""
        if fingerprint in self.convictions:
            return "convicted"
        if fingerprint in self.suspects:
            return "suspect"
        return "clear"

    def suspicions(self) -> dict[str, list[str]]:
        """Return the suspects and the endpoints lost with each, for the peers."""
        found = {}
        for name, crashes in self.suspects.items():
            found[name] = [endpoint for endpoint, _ in crashes]
        return found

    def on_peer_suspicions(
        self, now_s: float, suspicions: dict[str, list[str]]
    ) -> list[Convict]:
        """Take over suspicions; return the contents convicted by them.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        suspicions : dict of str to list of str
            Endpoints that crashed while they ran each content.
        """
        for fingerprint, endpoints in suspicions.items():
            for endpoint in endpoints:
                self._blame(now_s, fingerprint, endpoint)
        convicts = []
        for fingerprint in suspicions:
            crashes = self.suspects.get(fingerprint, ())
            if len(crashes) < CRASHES_TO_CONVICT:
                continue
            lost = [endpoint for endpoint, _ in crashes]
            self.convict(fingerprint, "crashed " + ",".join(lost), now_s)
            convicts.append(Convict(fingerprint, tuple(lost)))
        return convicts

    def _blame(self, now_s, fingerprint, endpoint):
        if fingerprint in self.convictions:
            return
        if now_s - self.explained_s.get(endpoint, -EXPLAINED_S) < EXPLAINED_S:
            return
        crashes = self.suspects.setdefault(fingerprint, [])
        for known, crashed_s in crashes:
            # Several hosts tell of one crash; an engine that came back and crashed
            # again is another.
            if known == endpoint and now_s - crashed_s < EXPLAINED_S:
                return
        crashes.append((endpoint, now_s))
        if len(self.suspects) > MAX_SUSPECTS:
            self.suspects.popitem(last=False)
