"""Requests that crash the engine that runs them: suspects and convictions."""

from collections import OrderedDict
from collections.abc import Collection

from gypsumusher_policy.types import Conviction

# Crashes that convict: one may be the engine's own fault, and a third would cost
# another engine.
CRASHES_TO_CONVICT = 2
# The same for a content that was past its prompt at the last crash. What crashes
# engines mostly does so at its prompt, and whatever else ran there, for another host
# too, is likelier the cause: one engine more is the price of sparing an innocent.
CRASHES_TO_CONVICT_LATE = 3
# Suspicions kept; a crash adds at most a batch of them, and an old one only costs a
# request some company.
MAX_SUSPECTS = 4096


# Time for which a crash that a conviction has explained blames nobody else, in
# seconds: the other hosts' word of it comes within that time.
EXPLAINED_S = 5.0
# Time for which a verdict waits for the other hosts' word of the same crash, in
# seconds: three hosts noted one crash within 0.04 s of each other beside twelve busy
# loops on eight cores.
EVALUATION_DELAY_S = 0.5


class Quarantine:
    """Which request contents are suspected or convicted of crashing engines.

    Guards against one request that crashes each engine in turn while its caller
    sends it again. It shows as engines that crash one after another. Whatever ran on
    a crashed engine is a suspect; suspects run apart from each other, so that a
    second crash has one suspect alone, which is convicted and refused for good. The
    others that were suspected for the same crashes are clear again at once.

    A suspect that has got through its prompt runs on while the next one starts, on the
    same engine where there is no other. Of several that a crash might convict, only
    one that was alone at its prompt is; else none, and each is tried again.

    Parameters
    ----------
    evaluation_delay_s : float
        How long a verdict waits for the other hosts' word of the same crash, in
        seconds; 0 where no other host has a word.

    Attributes
    ----------
    evaluation_due_s : float
        When all crashes that are known by now can be judged.
    pending_crashes : dict of str to (float, dict of str to bool)
        When each crash may be judged, and whether each content that it might convict
        was past its prompt, by endpoint.
    """

    def __init__(self, evaluation_delay_s: float = 0.0):
        self.evaluation_delay_s = evaluation_delay_s
        self.evaluation_due_s = 0.0
        self.pending_crashes = {}
        self.running = {}
        self.past_prompt = {}
        self.suspects = OrderedDict()
        self.convictions = {}
        self.explained_s = {}

    def on_start(self, now_s: float, fingerprint: str, endpoint: str) -> None:
        """Note that an endpoint began to run a content."""
        counts = self.running.setdefault(endpoint, {})
        counts[fingerprint] = counts.get(fingerprint, 0) + 1

    def on_first_token(self, fingerprint: str, endpoint: str) -> None:
        """Note that a content's prompt has done an endpoint no harm."""
        self.past_prompt.setdefault(endpoint, set()).add(fingerprint)

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
            self.past_prompt.get(endpoint, set()).discard(fingerprint)
        if completed:
            self.suspects.pop(fingerprint, None)

    def on_crash(self, now_s: float, endpoint: str) -> list[Conviction]:
        """Note that an endpoint crashed; return the contents convicted by it."""
        lost = {name: [endpoint] for name in self.running.pop(endpoint, {})}
        past_prompt = self.past_prompt.pop(endpoint, set())
        return self.on_suspicions(now_s, lost, past_prompt)

    def add_conviction(self, fingerprint: str, reason: str, now_s: float = 0.0) -> None:
        """Take over a conviction, from a peer or the platform."""
        self.convictions[fingerprint] = reason
        lost = [endpoint for endpoint, _ in self.suspects.pop(fingerprint, ())]
        for endpoint in lost:
            self.explained_s[endpoint] = now_s
        for other, crashes in list(self.suspects.items()):
            if {endpoint for endpoint, _ in crashes} <= set(lost):
                del self.suspects[other]

    def status_of(self, fingerprint: str) -> str:
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

    def on_suspicions(
        self,
        now_s: float,
        suspicions: dict[str, list[str]],
        past_prompt: Collection[str] = (),
    ) -> list[Conviction]:
        """Take over suspicions, own or a peer's; return the contents convicted by them.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        suspicions : dict of str to list of str
            Endpoints that crashed while they ran each content.
        past_prompt : collection of str
            The contents whose prompt the endpoint had got through.
        """
        for fingerprint, endpoints in suspicions.items():
            for endpoint in endpoints:
                self._blame(now_s, fingerprint, endpoint)
        for fingerprint, endpoints in suspicions.items():
            is_past_prompt = fingerprint in past_prompt
            if not self._is_due(fingerprint, is_past_prompt):
                continue
            for endpoint in endpoints:
                due_s = now_s + self.evaluation_delay_s
                _, names = self.pending_crashes.setdefault(endpoint, (due_s, {}))
                names[fingerprint] = is_past_prompt
                self.evaluation_due_s = max(self.evaluation_due_s, due_s)
        return self.evaluate_due(now_s)

    def evaluate_due(self, now_s: float) -> list[Conviction]:
        """Judge the crashes of which all hosts have had time to tell."""
        convicts = []
        for endpoint, (due_s, names) in list(self.pending_crashes.items()):
            if due_s > now_s:
                continue
            del self.pending_crashes[endpoint]
            convict = self._judge(now_s, names)
            if convict is not None:
                convicts.append(convict)
        return convicts

    def _judge(self, now_s, names):
        """Convict the one content that can have caused a crash, or none.

        Failure guarded against: an innocent suspect and the content that crashes
        engines are lost together a second time, through one host or two. The first of
        them would be convicted, and its conviction would explain the crashes and
        clear the guilty one.
        """
        found = [name for name, past in names.items() if self._is_due(name, past)]
        if len(found) > 1:
            found = [name for name in found if not names[name]]
        if len(found) != 1:
            return None
        lost = tuple(endpoint for endpoint, _ in self.suspects[found[0]])
        self.add_conviction(found[0], "crashed " + ",".join(lost), now_s)
        return Conviction(found[0], lost)

    def _is_due(self, fingerprint, is_past_prompt):
        crashes = len(self.suspects.get(fingerprint, ()))
        if is_past_prompt:
            return crashes >= CRASHES_TO_CONVICT_LATE
        return crashes >= CRASHES_TO_CONVICT

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
