"""State machine test: claims are granted at most once under combined failures."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    multiple,
    rule,
)

from gypsumusher_coordination.effects import (
    CallFailed,
    ClaimGranted,
    ClaimRefused,
    DeleteObject,
    OwnJournalSealed,
    PeerJournalSealed,
    ReadDone,
    ReadObject,
    StoredObject,
    WriteConflict,
    WriteDone,
)
from gypsumusher_coordination.journal import ClaimJournal, JournalPolicy
from gypsumusher_coordination.keys import parse_key
from gypsumusher_coordination.sealing import JournalSealer

# Small limits, so that new segments, claim timeouts and evictions occur in few steps.
POLICY = JournalPolicy(
    writes_per_s=10.0,
    claim_timeout_s=1.0,
    retention_s=5.0,
    segment_max_bytes=50,
    segment_max_age_s=4.0,
    max_keys=4,
    max_waiting_claims=4,
    backoff_initial_s=0.1,
    backoff_max_s=0.5,
)
FINGERPRINTS = ("a", "b")
PICK = st.integers(0, 2**16)


class FakePlatform:
    """Versioned objects with conditional writes; records the sealed segments."""

    def __init__(self):
        self.revision = 0
        self.objects = {}
        self.sealed = {}

    def apply(self, effect):
        stored = self.objects.get(effect.name)
        if isinstance(effect, ReadObject):
            return ReadDone(effect.tag, stored)
        if effect.if_version != (stored.version if stored else 0):
            return WriteConflict(effect.tag, stored)
        self.revision += 1
        if isinstance(effect, DeleteObject):
            del self.objects[effect.name]
            return WriteDone(effect.tag, self.revision)
        value = {**effect.value, "keys": dict(effect.value["keys"])}
        self.objects[effect.name] = StoredObject(self.revision, value)
        if value["sealed"] is not None:
            self.sealed.setdefault(effect.name, (self.revision, value))
        return WriteDone(effect.tag, self.revision)


class Process:
    """An owner or a sealing host: its state machine and its undelivered events."""

    def __init__(self, machine):
        self.machine = machine
        self.inbox = []
        self.is_paused = False
        self.is_dead = False


class AtMostOnceMachine(RuleBasedStateMachine):
    """Owners and sealing hosts against a platform with combined failures.

    The names of the rules determine the order of the derandomized examples.
    """

    keys = Bundle("keys")

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.platform = FakePlatform()
        self.owners = []
        self.sealers = []
        self.calls = []
        self.delayed_answers = []
        self.timed_out_calls = []
        self.has_outage = False
        self.minted = []
        self.claimed = {}
        self.granted = {}
        self.running = set()
        self.reported_not_run = set()
        self.undecided_claims = set()

    @initialize()
    def start_homes(self):
        self.start_owner()
        self.start_owner()

    def start_owner(self):
        number = len(self.owners)
        self.owners.append(
            Process(ClaimJournal(f"inc{number}", f"writer{number}", POLICY))
        )

    def live_owners(self):
        return [
            owner for owner in self.owners if not (owner.is_dead or owner.is_paused)
        ]

    def owner_of(self, key):
        return self.owners[int(parse_key(key).incarnation.removeprefix("inc"))]

    def run(self, process, effects):
        for effect in effects:
            if isinstance(effect, ClaimGranted):
                self.on_granted(effect.key)
            elif isinstance(effect, ClaimRefused):
                self.undecided_claims.discard(effect.key)
                if effect.run == "no" and effect.code != "key_reused":
                    self.on_reported_not_run(effect.key)
            elif not isinstance(effect, (OwnJournalSealed, PeerJournalSealed)):
                self.calls.append((process, effect))

    def on_granted(self, key):
        self.undecided_claims.discard(key)
        assert key not in self.granted, f"{key} granted twice"
        assert key not in self.reported_not_run, (
            f"{key} granted after it was reported as not run"
        )
        self.granted[key] = self.claimed[key]
        self.running.add(key)

    def on_reported_not_run(self, key):
        assert key not in self.granted, (
            f"{key} reported as not run after it was granted"
        )
        self.reported_not_run.add(key)

    def deliver(self, process, event):
        if process.is_dead:
            return
        if process.is_paused:
            process.inbox.append(event)
            return
        self.run(process, process.machine.handle(self.now_s, event))

    def mint(self, owner, unjournaled):
        key = owner.machine.mint("0" * 8, unjournaled)
        self.minted.append(key)
        return key

    @rule(target=keys, owner_index=PICK, unjournaled=st.booleans())
    def mint_for_later(self, owner_index, unjournaled):
        owners = self.live_owners()
        if not owners:
            return multiple()
        return self.mint(owners[owner_index % len(owners)], unjournaled)

    @rule(
        target=keys,
        owner_index=PICK,
        unjournaled=st.booleans(),
        count=st.integers(1, 3),
    )
    def request(self, owner_index, unjournaled, count):
        owners = self.live_owners()
        if not owners:
            return multiple()
        owner = owners[owner_index % len(owners)]
        keys = [self.mint(owner, unjournaled) for _ in range(count)]
        for key in keys:
            self.claim_key(key, "a")
        return multiple(*keys)

    @rule(target=keys, owner_index=PICK)
    def serve_for_a_while(self, owner_index):
        """Claims keys until new segments are opened and old ones and keys expire."""
        owners = self.live_owners()
        if not owners:
            return multiple()
        keys = []
        for _ in range(5):
            keys.append(self.mint(owners[owner_index % len(owners)], False))
            self.claim_key(keys[-1], "a")
            self.answer_all()
            self.finish_all()
            self.advance(2.0)
        return multiple(*keys)

    @rule(key=keys, fingerprint=st.sampled_from(FINGERPRINTS))
    def claim(self, key, fingerprint):
        self.claim_key(key, fingerprint)

    def claim_key(self, key, fingerprint):
        owner = self.owner_of(key)
        if owner.is_dead or owner.is_paused:
            return
        first = self.claimed.setdefault(key, fingerprint)
        effects = owner.machine.claim(self.now_s, key, fingerprint)
        results = [e for e in effects if isinstance(e, (ClaimGranted, ClaimRefused))]
        if not results:
            self.undecided_claims.add(key)
        was_undecided = key in self.undecided_claims
        self.run(owner, effects)
        if key in self.granted and fingerprint != first:
            assert [(a.code, a.run) for a in results] in (
                [("key_reused", "no")],
                [("key_unknown_outcome", "unknown")],
            ), "granted key claimed with another fingerprint"
        if results and isinstance(results[0], ClaimRefused) and was_undecided:
            # A repeat was refused; the first claim is still undecided.
            if results[0].code in ("in_progress", "key_reused"):
                self.undecided_claims.add(key)

    @rule()
    def all_callers_retry(self):
        for key in self.minted:
            self.claim_key(key, self.claimed.get(key, "a"))

    @rule(key=keys)
    def finish(self, key):
        self.finish_key(key)

    def finish_key(self, key):
        owner = self.owner_of(key)
        if key in self.running and not (owner.is_dead or owner.is_paused):
            self.running.discard(key)
            self.run(owner, owner.machine.finish(self.now_s, key))

    @rule()
    def finish_all(self):
        for key in sorted(self.running):
            self.finish_key(key)

    @rule(key=keys)
    def ask(self, key):
        self.resolve_key(key)

    @rule()
    def all_callers_ask(self):
        for key in self.minted:
            self.resolve_key(key)

    def resolve_key(self, key):
        owner = self.owner_of(key)
        if owner.is_dead or owner.is_paused:
            return
        if owner.machine.resolve(self.now_s, key) == "not_run":
            self.on_reported_not_run(key)

    @rule(owner_index=PICK)
    def plan_stop(self, owner_index):
        owners = self.live_owners()
        if owners:
            owner = owners[owner_index % len(owners)]
            self.run(owner, owner.machine.seal(self.now_s))

    @rule(owner_index=PICK, by=st.sampled_from(("host1", "host2")))
    def survivor_starts_to_seal(self, owner_index, by):
        if len(self.sealers) < 6:
            self.start_sealer(self.owners[owner_index % len(self.owners)], by)

    def start_sealer(self, owner, by):
        sealer = Process(JournalSealer(owner.machine.incarnation, by))
        self.sealers.append(sealer)
        self.run(sealer, sealer.machine.start(self.now_s))
        return sealer

    @rule(owner_index=PICK)
    def survivor_seals_whole(self, owner_index):
        if not self.has_outage and len(self.sealers) < 6:
            self.seal_whole(self.owners[owner_index % len(self.owners)])

    def seal_whole(self, owner):
        sealer = self.start_sealer(owner, "host3")
        while not sealer.machine.is_done:
            [call] = [call for call in self.calls if call[0] is sealer]
            self.calls.remove(call)
            self.deliver(sealer, self.platform.apply(call[1]))
        for key in self.claimed:
            self.check_outcome(key)

    @rule(key=keys)
    def ask_survivors(self, key):
        self.check_outcome(key)

    def check_outcome(self, key):
        incarnation = parse_key(key).incarnation
        for sealer in self.sealers:
            if sealer.machine.incarnation != incarnation or sealer.is_paused:
                continue
            if sealer.machine.outcome(key) == "not_run":
                self.on_reported_not_run(key)

    @rule(call=PICK)
    def answer_call(self, call):
        if self.calls and not self.has_outage:
            process, effect = self.calls.pop(call % len(self.calls))
            self.deliver(process, self.platform.apply(effect))

    @rule()
    def answer_all(self):
        for _ in range(3):
            for _ in range(20):
                self.answer_call(0)
            self.advance(0.1)

    @rule(call=PICK)
    def delay_answer(self, call):
        if self.calls and not self.has_outage:
            process, effect = self.calls.pop(call % len(self.calls))
            self.delayed_answers.append((process, self.platform.apply(effect)))

    @rule(answer=PICK)
    def deliver_answer(self, answer):
        if self.delayed_answers:
            self.deliver(*self.delayed_answers.pop(answer % len(self.delayed_answers)))

    @rule(call=PICK)
    def lose_answer(self, call):
        if self.calls and not self.has_outage:
            process, effect = self.calls.pop(call % len(self.calls))
            self.platform.apply(effect)
            self.deliver(process, CallFailed(effect.tag, sent=True))

    @rule(call=PICK)
    def fail_unsent(self, call):
        if self.calls:
            process, effect = self.calls.pop(call % len(self.calls))
            self.deliver(process, CallFailed(effect.tag, sent=False))

    @rule()
    def all_calls_time_out(self):
        for _ in range(len(self.calls)):
            self.delay_past_timeout(0)

    @rule(call=PICK)
    def call_times_out(self, call):
        if self.calls:
            self.delay_past_timeout(call)

    def delay_past_timeout(self, call):
        process, effect = self.calls.pop(call % len(self.calls))
        self.timed_out_calls.append((process, effect))
        self.deliver(process, CallFailed(effect.tag, sent=True))

    @rule(call=PICK)
    def land_late(self, call):
        if self.timed_out_calls and not self.has_outage:
            process, effect = self.timed_out_calls.pop(call % len(self.timed_out_calls))
            self.deliver(process, self.platform.apply(effect))

    @rule(process=PICK)
    def pause(self, process):
        processes = self.owners + self.sealers
        processes[process % len(processes)].is_paused = True

    @rule(process=PICK)
    def resume(self, process):
        processes = self.owners + self.sealers
        self.resume_process(processes[process % len(processes)])

    def resume_process(self, process):
        process.is_paused = False
        inbox, process.inbox = process.inbox, []
        for event in inbox:
            self.deliver(process, event)

    @rule(owner_index=PICK)
    def kill(self, owner_index):
        owner = self.owners[owner_index % len(self.owners)]
        if owner.is_dead or len(self.owners) > 4:
            return
        owner.is_dead = True
        self.undecided_claims = {
            k for k in self.undecided_claims if self.owner_of(k) != owner
        }
        self.start_owner()

    @rule(has_outage=st.booleans())
    def change_outage(self, has_outage):
        self.has_outage = has_outage
        while has_outage and self.calls:
            self.fail_unsent(0)

    @rule(wait_s=st.sampled_from((0.05, 0.2, 0.6, 3.0)))
    def wait(self, wait_s):
        self.advance(wait_s)

    def advance(self, wait_s):
        self.now_s += wait_s
        for process in self.owners + self.sealers:
            if not (process.is_dead or process.is_paused):
                self.run(process, process.machine.tick(self.now_s))

    @invariant()
    def sealed_segments_never_change(self):
        for name, (version, value) in self.platform.sealed.items():
            assert self.platform.objects[name] == StoredObject(version, value)

    @invariant()
    def memory_is_bounded(self):
        for owner in self.owners:
            in_flight = len(self.running) + POLICY.max_waiting_claims
            assert owner.machine.key_count <= POLICY.max_keys + in_flight

    def teardown(self):
        """After all failures end, each claim is decided and each seal completes."""
        self.has_outage = False
        for process in self.owners + self.sealers:
            self.resume_process(process)
        for _ in range(60):
            self.finish_all()
            while self.calls or self.delayed_answers:
                self.answer_call(0)
                self.deliver_answer(0)
            self.advance(0.3)
            if self.timed_out_calls:
                self.land_late(0)
        assert not self.undecided_claims, "undecided claims"
        assert all(sealer.machine.is_done for sealer in self.sealers)
        for owner in self.owners:
            self.seal_whole(owner)


TestAtMostOnce = AtMostOnceMachine.TestCase
TestAtMostOnce.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=200,
    stateful_step_count=60,
)
