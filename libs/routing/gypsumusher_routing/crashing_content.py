"""Recognition of content under which endpoints end, from the losses of all hosts.

A run that is lost with its connection says little: the endpoint may have crashed for
another reason, or only the connection broke. So a loss counts against what the run
consists of, its whole content and each part of its prompt, unless any endpoint has
answered the same shortly before or does so after it, or the endpoint answers a later
request. What has too many such losses is refused for a time.
"""

from typing import NamedTuple

from gypsumusher_routing.content_fingerprint import ContentKeys

__all__ = [
    "REFUSED_MAX_S",
    "REPORTED_FOR_S",
    "CrashReport",
    "CrashedRun",
    "CrashingContent",
    "RefusedContent",
]


class Evidence(NamedTuple):
    """Losses from which on something is refused.

    Attributes
    ----------
    crashes : int
        Losses, each at another start of an endpoint.
    moments : int
        Of these, losses that aren't simultaneous. Endpoints that end together, as those
        of a rack do, have a common cause.
    asked_s : float
        Time for which all hosts have been asked before whether they know of an answer,
        in seconds.
    """

    crashes: int
    moments: int
    asked_s: float


# Only attempts at one request have the same content; many requests share a part, so
# that a wrong refusal of it costs more.
WHOLE_EVIDENCE = Evidence(3, 1, 0.0)
PART_EVIDENCE = Evidence(5, 3, 0.5)
# Losses of a part from which on all hosts are asked for answers.
ASKED_FROM_CRASHES = 3
# Losses within this time are simultaneous.
SIMULTANEOUS_S = 0.1
# Time for which a loss counts.
CRASH_COUNTS_FOR_S = 120.0
# An answer speaks for content also in losses up to this long after it: content that
# many requests share is lost with each endpoint that ends.
ANSWER_COUNTS_FOR_S = 10.0
# Time for which content is refused; doubled at each trial that follows.
REFUSED_FOR_S = 300.0
REFUSED_MAX_S = 3600.0
# Time for which a loss, an answer or a refusal is reported to the other hosts, so that
# a lost message doesn't matter.
REPORTED_FOR_S = 2.5
# Time for which hosts tell of answers to what they were asked for.
ASKED_FOR_S = 30.0
# Largest number of keys with losses and of refusals, and with answers. When many
# endpoints crash at once, each of their requests has some.
CONTENTS_MAX = 4096
ANSWERS_MAX = 16_384
# Most losses of one key that are kept.
LOSSES_MAX = 16
# Pause between two searches for what no longer counts.
PRUNE_INTERVAL_S = 1.0
# Largest number of refusals, answers and questions in one report, and of keys of its
# losses; those of the most suspected contents go first.
REPORTED_MAX = 16
REPORTED_KEYS_MAX = 2048


class CrashedRun(NamedTuple):
    """One run that was lost with its connection.

    Attributes
    ----------
    keys : ContentKeys
        What it consisted of.
    endpoint_id : str
        The endpoint.
    started_ms : int
        Start of the endpoint's incarnation, in Unix milliseconds.
    lost_s : float
        When the run was lost, in seconds on the clock of this host.
    """

    keys: ContentKeys
    endpoint_id: str
    started_ms: int
    lost_s: float

    @property
    def incarnation(self) -> tuple[str, int]:
        """Id and start of the endpoint."""
        return self.endpoint_id, self.started_ms


class RefusedContent(NamedTuple):
    """A refusal of all requests that have some fingerprints together.

    Attributes
    ----------
    keys : frozenset of bytes
        The fingerprints; see `ContentKeys`. Several where all lost runs with a part had
        further parts in common that no answered request has.
    from_s : float
        When the refusal began, in seconds on the clock of this host.
    for_s : float
        How long it lasts, in seconds.
    """

    keys: frozenset[bytes]
    from_s: float
    for_s: float

    @property
    def until_s(self) -> float:
        """Time at which the refusal ends, in seconds."""
        return self.from_s + self.for_s


class CrashReport(NamedTuple):
    """What a host reports to the others.

    Attributes
    ----------
    crashes : tuple of CrashedRun
        Recent losses of this host's runs.
    answered : tuple of (bytes, float)
        Fingerprints that have losses, or that hosts were asked for, and were answered,
        and when, in seconds.
    cleared : tuple of (bytes, float)
        The same for fingerprints that hosts may refuse.
    refused : tuple of RefusedContent
        What is refused.
    asked : tuple of bytes
        Fingerprints of parts of which this host wants to know whether they were
        answered.
    """

    crashes: tuple[CrashedRun, ...] = ()
    answered: tuple[tuple[bytes, float], ...] = ()
    cleared: tuple[tuple[bytes, float], ...] = ()
    refused: tuple[RefusedContent, ...] = ()
    asked: tuple[bytes, ...] = ()


class _Loss(NamedTuple):
    """A loss of one key at one incarnation.

    Attributes
    ----------
    crash : CrashedRun
        The first run with the key that was lost there.
    companions : frozenset of bytes
        Parts of all runs with the key that were lost there.
    """

    crash: CrashedRun
    companions: frozenset[bytes]


class CrashingContent:
    """Contents that endpoints were lost under, and those that are refused for it.

    Parameters
    ----------
    has_survived : callable
        ``has_survived(crashed_run)`` returns whether the endpoint is known to have
        answered a request that was sent after the loss.
    """

    def __init__(self, has_survived):
        self._has_survived = has_survived
        # Losses by key and incarnation, and the keys that are parts.
        self._losses = {}
        self._part_keys = set()
        # When an incarnation ended under refused content, and the keys of those runs.
        self._explained = {}
        # Refusals by their keys, and the sets of keys by each of their members.
        self._refused = {}
        self._refused_by_member = {}
        # The key whose losses led to a refusal, and the refusals that this host began.
        self._accused = {}
        self._own_refused = set()
        # When a refusal ended early; reports of it that come later are ignored.
        self._lifted_s = {}
        # When a key was last answered, in the order of the answers.
        self._answered_s = {}
        self._pruned_s = float("-inf")
        # When this host first asked for a part, and was last asked.
        self._asking_s = {}
        self._asked_s = {}
        # Own losses, and since when this host reports that it knows of an answer, to
        # what has losses and to what hosts may refuse.
        self._own_crashes = []
        self._own_answers_s = {}
        self._own_cleared_s = {}

    @property
    def has_suspects(self) -> bool:
        """Whether anything has losses or is refused."""
        return bool(self._losses or self._refused)

    @property
    def has_refused(self) -> bool:
        """Whether anything is refused, or was until a while ago."""
        return bool(self._refused)

    def is_asking(self, now_s: float) -> bool:
        """Return whether this host has just asked for answers to parts."""
        answered_s = 2.0 * PART_EVIDENCE.asked_s
        return any(now_s < at_s + answered_s for at_s in self._asking_s.values())

    def refusals(self, now_s: float) -> list[RefusedContent]:
        """Return the refusals in force."""
        return [r for r in self._refused.values() if now_s < r.until_s]

    def on_lost(self, now_s: float, crash: CrashedRun) -> list[RefusedContent]:
        """Record a lost run of this host; return the refusals that follow."""
        self._prune(now_s)
        keys = self._without_cleared(crash.keys, crash.lost_s)
        if keys.all_keys:
            self._own_crashes.append(crash._replace(keys=keys))
        return self._add_crash(now_s, crash)

    def on_answered(self, now_s: float, keys: frozenset[bytes]) -> list[bytes]:
        """Record that content was answered; return its keys that were suspected."""
        suspected = []
        for key in keys:
            is_refused = key in self._refused_by_member
            if is_refused or key in self._losses or key in self._asked_s:
                suspected.append(key)
                known = self._own_cleared_s if is_refused else self._own_answers_s
                known[key] = now_s
            self._clear(key, now_s)
        return suspected

    def find_refusal(
        self, now_s: float, keys: frozenset[bytes]
    ) -> RefusedContent | None:
        """Return the refusal that applies to a request, or None.

        A refusal whose time is over still applies until a trial has shown that the
        content doesn't crash endpoints any more, or no request has come for as long
        again. A refusal ends early if too few of the losses still count, since some of
        the endpoints have answered later requests.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        keys : frozenset of bytes
            Fingerprints of the request.
        """
        for key in keys:
            for refused_keys in tuple(self._refused_by_member.get(key, ())):
                if not refused_keys <= keys:
                    continue
                refused = self._refused[refused_keys]
                if now_s <= refused.until_s + refused.for_s and not self._lift(
                    now_s, refused
                ):
                    return refused
        return None

    def begin_trial(self, now_s: float, refused: RefusedContent) -> RefusedContent:
        """Refuse content for twice as long again, while one request is tried."""
        for_s = min(REFUSED_MAX_S, 2.0 * refused.for_s)
        renewed = RefusedContent(refused.keys, now_s, for_s)
        self._refused[refused.keys] = renewed
        self._own_refused.add(refused.keys)
        return renewed

    def report(self, now_s: float, repeats_refusals: bool) -> CrashReport:
        """Return what the other hosts are to be told now.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        repeats_refusals : bool
            Whether all refusals are reported for as long as they last, for hosts that
            start later, and not only those that this host begins.
        """
        since_s = now_s - REPORTED_FOR_S
        self._prune(now_s)
        self._own_crashes = [
            crash
            for crash in self._own_crashes
            if crash.lost_s >= since_s and not self._has_survived(crash)
        ]
        refused = [
            content
            for content in self.refusals(now_s)
            if repeats_refusals
            or (content.keys in self._own_refused and content.from_s >= since_s)
        ]
        asked = [key for key, at_s in self._asking_s.items() if at_s >= since_s]
        return CrashReport(
            self._reported_crashes(),
            self._recent_answers(self._own_answers_s, since_s),
            self._recent_answers(self._own_cleared_s, since_s),
            tuple(refused[-REPORTED_MAX:]),
            tuple(asked[-REPORTED_MAX:]),
        )

    def on_report(self, now_s: float, report: CrashReport) -> list[RefusedContent]:
        """Apply another host's report; return the refusals that follow.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        report : CrashReport
            The report, with its times on the clock of this host.
        """
        self._prune(now_s)
        for key, answered_s in (*report.answered, *report.cleared):
            self._clear(key, answered_s)
        for key in report.asked:
            self._asked_s[key] = now_s
            if self._is_cleared(key, now_s):
                self._own_answers_s[key] = now_s
        added = []
        for content in report.refused:
            added += self.on_refused(now_s, content)
        for crash in report.crashes:
            keys = crash.keys.all_keys
            for key in keys:
                if self._is_cleared(key, crash.lost_s):
                    self._own_answers_s.setdefault(key, now_s)
            added += self._add_crash(now_s, crash)
        return added

    def on_refused(self, now_s: float, content: RefusedContent) -> list[RefusedContent]:
        """Apply a refusal by another host; return it unless it changes nothing."""
        if content.from_s <= self._lifted_s.get(content.keys, float("-inf")):
            return []
        cleared = {k for k in content.keys if self._is_cleared(k, content.from_s)}
        for key in cleared:
            self._own_cleared_s.setdefault(key, now_s)
        content = content._replace(keys=content.keys - cleared)
        known = self._refused.get(content.keys)
        if not content.keys or now_s >= content.until_s:
            return []
        if known is not None and content.until_s <= known.until_s + SIMULTANEOUS_S:
            return []
        if known is None and self._is_refused(now_s, content.keys):
            return []
        self._set_refused(content)
        return [content] if known is None or known.until_s < now_s else []

    def due_refusals(self, now_s: float) -> list[RefusedContent]:
        """Return the refusals of parts for which hosts have been asked long enough."""
        added = []
        for key in list(self._asking_s):
            added += self._refuse_if_proven(now_s, key)
        return added

    def _reported_crashes(self):
        """Return own losses, those of the most suspected contents first."""
        suspicion = {}
        for crash in self._own_crashes:
            crash = crash._replace(keys=self._without_cleared(crash.keys, crash.lost_s))
            counts = [len(self._losses.get(key, ())) for key in crash.keys.all_keys]
            if counts:
                suspicion[crash] = max(counts)
        reported, key_count = [], 0
        for crash in sorted(suspicion, key=lambda crash: -suspicion[crash]):
            key_count += len(crash.keys.all_keys)
            if key_count > REPORTED_KEYS_MAX:
                break
            reported.append(crash)
        return tuple(reported)

    def _recent_answers(self, known, since_s):
        """Return the answers that are still reported; forget the others."""
        for key, from_s in list(known.items()):
            if from_s < since_s or key not in self._answered_s:
                del known[key]
        newest = list(known)[-REPORTED_MAX:]
        return tuple((key, self._answered_s[key]) for key in newest)

    def _add_crash(self, now_s, crash):
        """Count a loss; return the refusals that follow."""
        incarnation = crash.incarnation
        keys = self._without_cleared(crash.keys, crash.lost_s)
        if self._has_survived(crash):
            return []
        refusal = self.find_refusal(now_s, crash.keys.all_keys)
        if refusal is not None:
            self._explain(incarnation, crash)
        explained = self._explained.get(incarnation)
        added = []
        for key in keys.all_keys:
            if explained is not None and key not in explained[1]:
                continue
            losses = self._losses.setdefault(key, {})
            known = losses.get(incarnation)
            if known is not None:
                companions = known.companions | keys.parts
                losses[incarnation] = known._replace(companions=companions)
                continue
            losses[incarnation] = _Loss(crash, keys.parts)
            if len(losses) > LOSSES_MAX:
                del losses[next(iter(losses))]
            if key in keys.parts:
                self._part_keys.add(key)
                if len(losses) >= ASKED_FROM_CRASHES:
                    self._asking_s.setdefault(key, now_s)
            added += self._refuse_if_proven(now_s, key)
        if len(self._losses) > 2 * CONTENTS_MAX:
            self._limit_losses()
        return added

    def _refuse_if_proven(self, now_s, key):
        """Refuse what a key stands for if its losses suffice; return the refusals."""
        is_part = key in self._part_keys
        evidence = PART_EVIDENCE if is_part else WHOLE_EVIDENCE
        losses = self._losses.get(key, {})
        if len(losses) < evidence.crashes:
            return []
        losses = self._losses[key] = self._drop_survived(losses)
        if len(losses) < evidence.crashes or _moments(losses) < evidence.moments:
            return []
        if now_s < self._asking_s.get(key, now_s) + evidence.asked_s:
            return []
        keys = frozenset((key,))
        if is_part:
            keys = self._common_parts(now_s, losses)
        if not keys or self._is_refused(now_s, keys):
            return []
        refused = RefusedContent(keys, now_s, REFUSED_FOR_S)
        self._set_refused(refused)
        self._accused[keys] = key
        self._own_refused.add(keys)
        for incarnation, loss in losses.items():
            self._explain(incarnation, loss.crash)
        return [refused]

    def _common_parts(self, now_s, losses):
        """Return what all lost runs with a part have in common and no answer has.

        Losses of the last moment don't count: other runs that were lost with the same
        endpoint may not have been reported yet.
        """
        reported_s = now_s - PART_EVIDENCE.asked_s
        companions = [
            loss.companions
            for loss in losses.values()
            if loss.crash.lost_s <= reported_s
        ]
        if not companions:
            return frozenset()
        common = frozenset.intersection(*companions)
        return frozenset(key for key in common if not self._is_cleared(key, now_s))

    def _explain(self, incarnation, crash):
        """Count an endpoint's end against what the run had that it ended under only."""
        keys = self._explained.get(incarnation, (0.0, frozenset()))[1]
        keys |= crash.keys.all_keys
        self._explained[incarnation] = (crash.lost_s, keys)
        for key, losses in list(self._losses.items()):
            if key in keys or incarnation not in losses:
                continue
            del losses[incarnation]
            if not losses:
                del self._losses[key]

    def _is_refused(self, now_s, keys):
        """Return whether all requests with these keys are refused already."""
        return any(
            refused_keys <= keys and now_s < self._refused[refused_keys].until_s
            for key in keys
            for refused_keys in self._refused_by_member.get(key, ())
        )

    def _set_refused(self, refused):
        """Refuse content; a refusal with the same keys is replaced."""
        self._refused[refused.keys] = refused
        for key in refused.keys:
            self._refused_by_member.setdefault(key, set()).add(refused.keys)

    def _drop_refused(self, keys):
        """Forget a refusal."""
        refused = self._refused.pop(keys)
        self._accused.pop(keys, None)
        self._own_refused.discard(keys)
        for key in keys:
            members = self._refused_by_member[key]
            members.discard(keys)
            if not members:
                del self._refused_by_member[key]
        return refused

    def _lift(self, now_s, refused):
        """End a refusal if too few losses still count; return whether it ended."""
        key = self._accused.get(refused.keys)
        losses = self._losses.get(key, {})
        is_part = key in self._part_keys
        needed = (PART_EVIDENCE if is_part else WHOLE_EVIDENCE).crashes
        if len(losses) < needed:
            return False
        counting = self._drop_survived(losses)
        if len(counting) >= needed:
            return False
        self._losses[key] = counting
        self._lifted_s[refused.keys] = now_s
        self._drop_refused(refused.keys)
        return True

    def _drop_survived(self, losses):
        """Return the losses whose endpoints aren't known to have survived them."""
        return {i: x for i, x in losses.items() if not self._has_survived(x.crash)}

    def _without_cleared(self, keys, at_s):
        """Return keys without those that an answer speaks for at a time."""
        whole = b"" if self._is_cleared(keys.whole, at_s) else keys.whole
        parts = frozenset(k for k in keys.parts if not self._is_cleared(k, at_s))
        return ContentKeys(whole, parts)

    def _clear(self, key, answered_s):
        """Forget what an answer to a key speaks against."""
        self._set_answered(key, answered_s)
        losses = self._losses.pop(key, None)
        if losses is not None:
            later = {
                incarnation: loss
                for incarnation, loss in losses.items()
                if not self._is_cleared(key, loss.crash.lost_s)
            }
            if later:
                self._losses[key] = later
            self._asking_s.pop(key, None)
        for keys in tuple(self._refused_by_member.get(key, ())):
            if not self._is_cleared(key, self._refused[keys].from_s):
                continue
            refused = self._drop_refused(keys)
            left = keys - {key}
            if left and not self._is_refused(refused.from_s, left):
                self._set_refused(refused._replace(keys=left))

    def _set_answered(self, key, answered_s):
        """Record an answer to a key; forget the oldest of too many."""
        known_s = self._answered_s.pop(key, answered_s)
        self._answered_s[key] = max(known_s, answered_s)
        if len(self._answered_s) > ANSWERS_MAX:
            del self._answered_s[next(iter(self._answered_s))]

    def _is_cleared(self, key, at_s):
        """Return whether an answer speaks for a key in what happened at a time."""
        answered_s = self._answered_s.get(key)
        return answered_s is not None and answered_s + ANSWER_COUNTS_FOR_S >= at_s

    def _limit_losses(self):
        """Forget keys with few losses, the oldest first, if there are too many."""
        excess = len(self._losses) - CONTENTS_MAX
        if excess > 0:
            for key in sorted(self._losses, key=lambda k: len(self._losses[k]))[
                :excess
            ]:
                del self._losses[key]

    def _prune(self, now_s):
        """Forget what no longer counts, and the oldest of too many contents."""
        if now_s < self._pruned_s + PRUNE_INTERVAL_S:
            return
        self._pruned_s = now_s
        since_s = now_s - CRASH_COUNTS_FOR_S
        for keys, refused in list(self._refused.items()):
            if now_s > refused.until_s + refused.for_s:
                self._drop_refused(keys)
        while len(self._refused) > CONTENTS_MAX:
            self._drop_refused(next(iter(self._refused)))
        for key, losses in list(self._losses.items()):
            recent = {i: x for i, x in losses.items() if x.crash.lost_s >= since_s}
            if recent:
                self._losses[key] = recent
            else:
                del self._losses[key]
        self._limit_losses()
        while len(self._explained) > CONTENTS_MAX:
            del self._explained[next(iter(self._explained))]
        for incarnation, (lost_s, _) in list(self._explained.items()):
            if lost_s < since_s:
                del self._explained[incarnation]
        _forget_before(self._answered_s, since_s)
        _forget_before(self._lifted_s, since_s)
        _forget_before(self._asked_s, now_s - ASKED_FOR_S)
        self._part_keys &= self._losses.keys()
        for key in self._asking_s.keys() - self._losses.keys():
            del self._asking_s[key]


def _moments(losses):
    """Return the number of losses that aren't simultaneous."""
    count, counted_s = 0, float("-inf")
    for lost_s in sorted(loss.crash.lost_s for loss in losses.values()):
        if lost_s >= counted_s + SIMULTANEOUS_S:
            count, counted_s = count + 1, lost_s
    return count


def _forget_before(table, since_s):
    """Remove the entries of a table whose time is too long ago."""
    for key, at_s in list(table.items()):
        if at_s < since_s:
            del table[key]
