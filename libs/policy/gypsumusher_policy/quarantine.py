"""Detection of request content that crashes the engines that run it.

Content is identified by its fingerprint and has one of three states. It is "suspect"
if it was running on an engine that crashed, "convicted" if it has been found to crash
engines, and "clear" otherwise.
"""

from collections import OrderedDict
from collections.abc import Collection

from gypsumusher_policy.types import Conviction

# Crashes after which a suspect is convicted. One crash may be the engine's own fault;
# waiting for a third would cost another engine.
CRASHES_TO_CONVICT = 2
# The same limit for a suspect that had passed its prefill at the last crash. Content
# that crashes engines mostly does so in prefill, so some other request on the engine,
# perhaps of another host, is the more likely cause. Sparing harmless content costs
# one more engine.
CRASHES_TO_CONVICT_AFTER_PREFILL = 3
# Suspects kept. A crash adds at most a batch of them; forgetting an old one only lets
# that content run together with other requests again.
MAX_SUSPECTS = 4096
# Time after a conviction in which its crashes make no other content suspect, in
# seconds: messages from other hosts about the same crash arrive within this time.
# Reports of one engine's crash within this time also count as a single crash.
CRASH_ATTRIBUTION_S = 5.0
# Delay between a crash and its evaluation, in seconds, in which other hosts report
# what they ran on the engine. Three hosts saw one crash within 0.04 s of each other
# with twelve busy loops on eight cores.
EVALUATION_DELAY_S = 0.5


class Quarantine:
    """Tracks which request content is suspected or convicted of crashing engines.

    Without it, one request that its caller keeps sending would crash one engine after
    another. All content that was running on a crashed engine becomes suspect, and
    suspects are run apart from each other, so that a second crash involves a single
    suspect. That one is convicted, and all requests with its content are refused.
    Other content that is suspect only because of the same crashes becomes clear.

    A suspect that has passed its prefill keeps running while the next suspect starts,
    on the same engine if there is no other. If a crash could convict several suspects,
    only the one that was alone in prefill is convicted; if there is no such suspect,
    none is, and all of them are tried again.

    Parameters
    ----------
    evaluation_delay_s : float
        Delay between a crash and its evaluation, for reports from other hosts, in
        seconds; 0 if there are no other hosts.

    Attributes
    ----------
    evaluation_due_s : float
        Time at which all crashes known so far can be evaluated, in seconds.
    pending_crashes : dict of str to (float, dict of str to bool)
        Crashes that wait for their evaluation, by endpoint: when it is due, and for
        each content that may be convicted, whether it had passed its prefill.
    running : dict of str to (dict of str to int)
        Number of running requests, by endpoint and content.
    past_prompt : dict of str to (set of str)
        Running content that has passed its prefill, by endpoint.
    suspects : dict of str to (list of (str, float))
        Crashes of each suspect: endpoint and time, in seconds.
    convictions : dict of str to str
        Reason for each conviction, by content.
    attributed_s : dict of str to float
        Time at which a crash of each endpoint was attributed to convicted content,
        in seconds.
    """

    def __init__(self, evaluation_delay_s: float = 0.0):
        self.evaluation_delay_s = evaluation_delay_s
        self.evaluation_due_s = 0.0
        self.pending_crashes = {}
        self.running = {}
        self.past_prompt = {}
        self.suspects = OrderedDict()
        self.convictions = {}
        self.attributed_s = {}

    def on_start(self, now_s: float, fingerprint: str, endpoint: str) -> None:
        """Record that an endpoint started to run a request with this content."""
        counts = self.running.setdefault(endpoint, {})
        counts[fingerprint] = counts.get(fingerprint, 0) + 1

    def on_first_token(self, fingerprint: str, endpoint: str) -> None:
        """Record that content has passed its prefill on an endpoint."""
        self.past_prompt.setdefault(endpoint, set()).add(fingerprint)

    def on_end(
        self, now_s: float, fingerprint: str, endpoint: str, completed: bool = False
    ) -> None:
        """Record that an endpoint stopped running a request with this content.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        fingerprint : str
            The content.
        endpoint : str
            Name of the endpoint.
        completed : bool
            Whether the answer was complete, which makes a suspect clear.
        """
        counts = self.running.get(endpoint, {})
        remaining = counts.get(fingerprint, 0) - 1
        if remaining > 0:
            counts[fingerprint] = remaining
        else:
            counts.pop(fingerprint, None)
            self.past_prompt.get(endpoint, set()).discard(fingerprint)
        if completed:
            self.suspects.pop(fingerprint, None)

    def on_crash(self, now_s: float, endpoint: str) -> list[Conviction]:
        """Record that an endpoint crashed; return the convictions that follow."""
        suspicions = {name: [endpoint] for name in self.running.pop(endpoint, {})}
        past_prompt = self.past_prompt.pop(endpoint, set())
        return self.on_suspicions(now_s, suspicions, past_prompt)

    def add_conviction(self, fingerprint: str, reason: str, now_s: float = 0.0) -> None:
        """Convict content, also on behalf of a peer or the platform.

        Content that is suspect only because of the same crashes becomes clear.
        """
        self.convictions[fingerprint] = reason
        crashed = [endpoint for endpoint, _ in self.suspects.pop(fingerprint, ())]
        for endpoint in crashed:
            self.attributed_s[endpoint] = now_s
        for other, crashes in list(self.suspects.items()):
            if {endpoint for endpoint, _ in crashes} <= set(crashed):
                del self.suspects[other]

    def status_of(self, fingerprint: str) -> str:
        """Return ``"clear"``, ``"suspect"`` or ``"convicted"``."""
        if fingerprint in self.convictions:
            return "convicted"
        if fingerprint in self.suspects:
            return "suspect"
        return "clear"

    def suspicions(self) -> dict[str, list[str]]:
        """Return the crashed endpoints of each suspect, in the form sent to peers."""
        endpoints_by_suspect = {}
        for name, crashes in self.suspects.items():
            endpoints_by_suspect[name] = [endpoint for endpoint, _ in crashes]
        return endpoints_by_suspect

    def on_suspicions(
        self,
        now_s: float,
        suspicions: dict[str, list[str]],
        past_prompt: Collection[str] = (),
    ) -> list[Conviction]:
        """Add suspicions of this host or a peer; return the convictions that follow.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        suspicions : dict of str to list of str
            Endpoints that crashed while they ran each content.
        past_prompt : collection of str
            Content that had passed its prefill on the endpoint.
        """
        for fingerprint, endpoints in suspicions.items():
            for endpoint in endpoints:
                self._add_suspicion(now_s, fingerprint, endpoint)
        for fingerprint, endpoints in suspicions.items():
            is_past_prompt = fingerprint in past_prompt
            if not self._has_enough_crashes(fingerprint, is_past_prompt):
                continue
            for endpoint in endpoints:
                due_s = now_s + self.evaluation_delay_s
                _, candidates = self.pending_crashes.setdefault(endpoint, (due_s, {}))
                candidates[fingerprint] = is_past_prompt
                self.evaluation_due_s = max(self.evaluation_due_s, due_s)
        return self.evaluate_due(now_s)

    def evaluate_due(self, now_s: float) -> list[Conviction]:
        """Evaluate the crashes whose delay has passed; return the new convictions."""
        convictions = []
        for endpoint, (due_s, candidates) in list(self.pending_crashes.items()):
            if due_s > now_s:
                continue
            del self.pending_crashes[endpoint]
            conviction = self._evaluate_crash(now_s, candidates)
            if conviction is not None:
                convictions.append(conviction)
        return convictions

    def _evaluate_crash(self, now_s, candidates):
        """Convict the only content that can have caused a crash, if there is one.

        A harmless suspect and the content that crashes engines may share a second
        crash, through one host or two. Convicting the first of them found would
        attribute the crashes to harmless content and make the harmful one clear.
        """
        eligible = [
            name
            for name, is_past_prompt in candidates.items()
            if self._has_enough_crashes(name, is_past_prompt)
        ]
        if len(eligible) > 1:
            eligible = [name for name in eligible if not candidates[name]]
        if len(eligible) != 1:
            return None
        crashed = tuple(endpoint for endpoint, _ in self.suspects[eligible[0]])
        self.add_conviction(eligible[0], "crashed " + ",".join(crashed), now_s)
        return Conviction(eligible[0], crashed)

    def _has_enough_crashes(self, fingerprint, is_past_prompt):
        """Return whether content may be convicted by its number of crashes."""
        n_crashes = len(self.suspects.get(fingerprint, ()))
        if is_past_prompt:
            return n_crashes >= CRASHES_TO_CONVICT_AFTER_PREFILL
        return n_crashes >= CRASHES_TO_CONVICT

    def _add_suspicion(self, now_s, fingerprint, endpoint):
        """Record that content was running on an endpoint that crashed."""
        if fingerprint in self.convictions:
            return
        if (
            now_s - self.attributed_s.get(endpoint, -CRASH_ATTRIBUTION_S)
            < CRASH_ATTRIBUTION_S
        ):
            return
        crashes = self.suspects.setdefault(fingerprint, [])
        for crashed, crashed_s in crashes:
            # Several hosts report the same crash; a later crash of the same engine,
            # after its restart, counts separately.
            if crashed == endpoint and now_s - crashed_s < CRASH_ATTRIBUTION_S:
                return
        crashes.append((endpoint, now_s))
        if len(self.suspects) > MAX_SUSPECTS:
            self.suspects.popitem(last=False)
