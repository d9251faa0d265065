"""State machine test: concurrent patches, lost responses and partitioned hosts."""

import itertools

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from gypsumusher_coordination import (
    CallFailed,
    ConfigAdopted,
    ConfigReplica,
    FetchSection,
    PatchAccepted,
    PatchAttempt,
    PatchInvalid,
    PatchOutdated,
    PatchUnavailable,
    ReadDone,
    ReadObject,
    StoredObject,
    WriteConflict,
    WriteDone,
    WriteObject,
    check_document,
    content_hash,
)

HOSTS = ["a", "b", "c"]
HOST = st.sampled_from(HOSTS)
SERVICES = ["counter-api", "dispatch-app"]
PICK = st.integers(0, 1000)


class Platform:
    """Versioned objects with conditional writes; records all heads."""

    def __init__(self):
        self.objects = {}
        self.revisions = itertools.count(1)
        self.heads = []

    def apply(self, call):
        place = (call.kind, call.name)
        stored = self.objects.get(place)
        if isinstance(call, ReadObject):
            return ReadDone(call.tag, stored)
        if (stored.version if stored else 0) != call.if_version:
            return WriteConflict(call.tag, stored)
        self.objects[place] = StoredObject(next(self.revisions), call.value)
        if call.kind == "config":
            self.heads.append(call.value)
        return WriteDone(call.tag, self.objects[place].version)


class Attempt:
    """One attempt of an operator's patch with its calls in flight."""

    def __init__(self, machine, patch):
        self.machine = machine
        self.patch = patch
        self.calls = []
        self.outcome = None


class ConfigMachine(RuleBasedStateMachine):
    """Invariants: numbers only rise, accepted patches apply once, all hosts catch up.

    Faults: operators patch concurrently and retry with the same id after an error;
    head writes take effect and their responses are lost, or they take effect late;
    hosts receive heads from the platform and from each other in any order, are
    partitioned, get damaged sections, and restart without state.

    The names of the rules determine the order of the derandomized examples.
    """

    @initialize()
    def begin(self):
        self.now_s = 0.0
        self.platform = Platform()
        self.replicas = {host: ConfigReplica(host) for host in HOSTS}
        self.numbers = dict.fromkeys(HOSTS, 0)
        self.ids = itertools.count(1)
        self.attempts = []
        # Writes that were reported as failed; they may still take effect.
        self.delayed_writes = []
        self.accepted = {}

    # The host program that runs the state machines

    def perform(self, attempt, effects):
        for effect in effects:
            if isinstance(effect, ReadObject | WriteObject):
                attempt.calls.append(effect)
                continue
            attempt.outcome = effect
            if isinstance(effect, PatchAccepted):
                self.on_accepted(attempt, effect)
            if isinstance(effect, PatchOutdated | PatchInvalid):
                applied = self.applied_ids()
                assert attempt.machine.patch_id not in applied, "refused, but applied"

    def applied_ids(self):
        if not self.platform.heads:
            return set()
        return {patch["patch_id"] for patch in self.platform.heads[-1]["patches"]}

    def on_accepted(self, attempt, accepted):
        patch_id = attempt.machine.patch_id
        known = self.accepted.setdefault(patch_id, accepted)
        assert known == accepted, f"{patch_id} accepted as {known} and {accepted}"

    def start(self, base_number, patch, patch_id):
        machine = PatchAttempt(base_number, patch, patch_id, "kim", "", check_document)
        attempt = Attempt(machine, patch)
        self.attempts.append(attempt)
        self.perform(attempt, machine.start(self.now_s))

    def answer(self, attempt):
        call = attempt.calls.pop(0)
        event = self.platform.apply(call)
        self.perform(attempt, attempt.machine.handle(self.now_s, event))

    def feed(self, host, effects, source):
        """Perform effects, with the sections that `source` has."""
        replica = self.replicas[host]
        effects = list(effects)
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, ConfigAdopted):
                assert effect.number > self.numbers[host], "adopted a lower number"
                self.numbers[host] = effect.number
                continue
            assert isinstance(effect, FetchSection)
            value = source(effect.hash)
            if value is not None:
                effects.extend(replica.on_section(self.now_s, effect.hash, value))

    def from_platform(self, section_hash):
        stored = self.platform.objects.get(("configsections", section_hash))
        return None if stored is None else stored.value

    def lose(self, attempt, lands):
        """Fail the next call, which takes effect before the failure, later or never."""
        call = attempt.calls.pop(0)
        if lands == "before":
            self.platform.apply(call)
        elif lands == "later":
            self.delayed_writes.append(call)
        failed = CallFailed(call.tag, isinstance(call, WriteObject))
        self.perform(attempt, attempt.machine.handle(self.now_s, failed))

    def advance(self, wait_s):
        self.now_s += wait_s
        for attempt in self.attempts:
            self.perform(attempt, attempt.machine.tick(self.now_s))

    def open_attempts(self):
        return [attempt for attempt in self.attempts if attempt.calls]

    # Rules

    @rule(
        behind=st.integers(0, 2),
        service=st.sampled_from(SERVICES),
        timeout_s=st.sampled_from([1.0, 2.0, 3.0, None, -1.0]),
    )
    def patch(self, behind, service, timeout_s):
        head = self.platform.heads[-1] if self.platform.heads else {"number": 0}
        section = None if timeout_s is None else {"timeout_s": timeout_s}
        base_number = max(0, head["number"] - behind)
        patch_id = f"p{next(self.ids)}"
        self.start(base_number, {"services": {service: section}}, patch_id)

    @rule(service=st.sampled_from(SERVICES), tenths=st.integers(1, 50))
    def patch_undisturbed(self, service, tenths):
        head = self.platform.heads[-1] if self.platform.heads else {"number": 0}
        patch = {"services": {service: {"timeout_s": tenths / 10}}}
        self.start(head["number"], patch, f"p{next(self.ids)}")
        attempt = self.attempts[-1]
        while attempt.calls:
            self.answer(attempt)
        assert isinstance(attempt.outcome, PatchAccepted)

    @rule(
        service=st.sampled_from(SERVICES),
        lands=st.sampled_from(["before", "later", "never"]),
        wait_s=st.sampled_from([0.5, 6.0]),
    )
    def patch_whose_answer_is_lost(self, service, lands, wait_s):
        head = self.platform.heads[-1] if self.platform.heads else {"number": 0}
        patch = {"services": {service: {"timeout_s": 7.0}}}
        self.start(head["number"], patch, f"p{next(self.ids)}")
        attempt = self.attempts[-1]
        while not isinstance(attempt.calls[0], WriteObject) or (
            attempt.calls[0].kind != "config"
        ):
            self.answer(attempt)
        self.lose(attempt, lands)
        self.advance(wait_s)

    @precondition(lambda self: self.attempts)
    @rule(pick=PICK)
    def repeat(self, pick):
        """The operator retries a patch with the same id."""
        machine = self.attempts[pick % len(self.attempts)].machine
        self.start(machine.base_number, machine.patch, machine.patch_id)

    @precondition(lambda self: self.open_attempts())
    @rule(pick=PICK, steps=st.integers(1, 6))
    def proceed(self, pick, steps):
        attempts = self.open_attempts()
        attempt = attempts[pick % len(attempts)]
        for _ in range(steps):
            if attempt.calls:
                self.answer(attempt)

    @precondition(lambda self: self.open_attempts())
    @rule(pick=PICK, lands=st.sampled_from(["before", "later", "never"]))
    def lose_answer(self, pick, lands):
        attempts = self.open_attempts()
        self.lose(attempts[pick % len(attempts)], lands)

    @precondition(lambda self: self.delayed_writes)
    @rule(pick=PICK)
    def land_late(self, pick):
        self.platform.apply(self.delayed_writes.pop(pick % len(self.delayed_writes)))

    @rule(tenths=st.integers(1, 20))
    def pass_time(self, tenths):
        self.advance(tenths / 10)

    @precondition(lambda self: self.platform.heads)
    @rule(host=HOST, pick=PICK, old=st.booleans(), sections=st.booleans())
    def hear_platform(self, host, pick, old, sections):
        heads = self.platform.heads
        head = heads[pick % len(heads)] if old else heads[-1]
        source = self.from_platform if sections else lambda section_hash: None
        self.feed(host, self.replicas[host].on_head(self.now_s, head), source)

    @rule(host=HOST, peer=HOST)
    def hear_peer(self, host, peer):
        other = self.replicas[peer]
        effects = self.replicas[host].on_head(self.now_s, other.head)
        self.feed(host, effects, other.sections.get)

    @rule(host=HOST, value=st.sampled_from([{"timeout_s": 9.0}, None, [], "x"]))
    def hear_damaged_section(self, host, value):
        effects = self.replicas[host].tick(self.now_s)
        for effect in effects:
            if isinstance(effect, FetchSection):
                effects = self.replicas[host].on_section(self.now_s, effect.hash, value)
                self.feed(host, effects, lambda section_hash: None)

    @rule(host=HOST)
    def replace_host(self, host):
        """A new process with the same host name starts without state."""
        self.replicas[host] = ConfigReplica(host)
        self.numbers[host] = 0

    # Invariants

    @invariant()
    def heads_rise_by_one_and_each_patch_stands_once(self):
        numbers = [head["number"] for head in self.platform.heads]
        assert numbers == list(range(1, len(numbers) + 1))
        if not numbers:
            return
        patches = self.platform.heads[-1]["patches"]
        ids = [patch["patch_id"] for patch in patches]
        assert len(ids) == len(set(ids)), f"applied twice: {ids}"
        applied = {patch["patch_id"]: patch["number"] for patch in patches}
        for patch_id, accepted in self.accepted.items():
            assert applied.get(patch_id) == accepted.number, f"{patch_id} was lost"

    @invariant()
    def hosts_hold_what_was_accepted(self):
        for replica in self.replicas.values():
            if replica.number == 0:
                continue
            assert replica.head == self.platform.heads[replica.number - 1]
            for section, digest in replica.head["sections"].items():
                assert content_hash(replica.sections[digest]) == digest, section
            assert check_document(replica.document) == []

    @invariant()
    def refusals_are_true(self):
        """A patch of which every attempt was refused is not applied.

        A retry may be accepted after an earlier attempt failed, so only ids of which
        every attempt was refused are checked.
        """
        refused = PatchOutdated | PatchInvalid | PatchUnavailable
        for patch_id in self.applied_ids():
            outcomes = [
                attempt.outcome
                for attempt in self.attempts
                if attempt.machine.patch_id == patch_id
            ]
            assert not all(isinstance(outcome, refused) for outcome in outcomes)

    def teardown(self):
        """After all faults end, every host adopts the head, also through a peer."""
        if not hasattr(self, "attempts"):
            return
        for call in self.delayed_writes:
            self.platform.apply(call)
        for _ in range(60):
            for attempt in self.attempts:
                while attempt.calls:
                    self.answer(attempt)
            self.advance(0.3)
        assert all(attempt.outcome is not None for attempt in self.attempts)
        self.heads_rise_by_one_and_each_patch_stands_once()
        self.refusals_are_true()
        if not self.platform.heads:
            return
        head = self.platform.heads[-1]
        self.feed("a", self.replicas["a"].on_head(self.now_s, head), self.from_platform)
        self.now_s += 1.0
        self.feed("a", self.replicas["a"].tick(self.now_s), self.from_platform)
        for host, peer in (("b", "a"), ("c", "b")):
            self.hear_peer(host, peer)
            self.now_s += 1.0
            effects = self.replicas[host].tick(self.now_s)
            self.feed(host, effects, self.replicas[peer].sections.get)
        assert set(self.numbers.values()) == {head["number"]}
        document = self.replicas["c"].document
        assert document == self.replicas["a"].document


TestConfigMachine = ConfigMachine.TestCase
TestConfigMachine.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=120,
    stateful_step_count=40,
)
