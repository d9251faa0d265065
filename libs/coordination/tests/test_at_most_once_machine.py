"""At most once under every order of failures, as a hypothesis state machine."""

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

# Limits so small that segments roll, waits end and keys are forgotten in few steps.
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


class ModelPlatform:
    """Objects with versions and conditional writes; a seal can't be undone."""

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
    """One home, or one survivor that seals: a machine and what reaches it."""

    def __init__(self, machine):
        self.machine = machine
        self.inbox = []
        self.is_paused = False
        self.is_dead = False


class AtMostOnceMachine(RuleBasedStateMachine):
    """Homes and survivors against a platform that fails in every way at once."""

    keys = Bundle("keys")

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.platform = ModelPlatform()
        self.homes = []
        self.sealers = []
        self.calls = []
        self.answers = []
        self.limbo = []
        self.has_outage = False
        self.minted = []
        self.claimed = {}
        self.granted = {}
        self.running = set()
        self.told_not_run = set()
        self.open_claims = set()

    @initialize()
    def start_homes(self):
        self.start_home()
        self.start_home()

    def start_home(self):
        number = len(self.homes)
        self.homes.append(
            Process(ClaimJournal(f"inc{number}", f"writer{number}", POLICY))
        )

    def live_homes(self):
        return [home for home in self.homes if not (home.is_dead or home.is_paused)]

    def home_of(self, key):
        return self.homes[int(parse_key(key).incarnation.removeprefix("inc"))]

    def run(self, process, effects):
        for effect in effects:
            if isinstance(effect, ClaimGranted):
                self.note_granted(effect.key)
            elif isinstance(effect, ClaimRefused):
                self.open_claims.discard(effect.key)
                if effect.run == "no" and effect.code != "key_reused":
                    self.note_not_run(effect.key)
            elif not isinstance(effect, (OwnJournalSealed, PeerJournalSealed)):
                self.calls.append((process, effect))

    def note_granted(self, key):
        self.open_claims.discard(key)
        assert key not in self.granted, f"{key} granted twice"
        assert key not in self.told_not_run, f"{key} granted after 'not run'"
        self.granted[key] = self.claimed[key]
        self.running.add(key)

    def note_not_run(self, key):
        assert key not in self.granted, f"'not run' of {key}, which was granted"
        self.told_not_run.add(key)

    def deliver(self, process, event):
        if process.is_dead:
            return
        if process.is_paused:
            process.inbox.append(event)
            return
        self.run(process, process.machine.handle(self.now_s, event))

    def mint(self, home, unjournaled):
        key = home.machine.mint("0" * 8, unjournaled)
        self.minted.append(key)
        return key

    @rule(target=keys, home=PICK, unjournaled=st.booleans())
    def mint_for_later(self, home, unjournaled):
        homes = self.live_homes()
        if not homes:
            return multiple()
        return self.mint(homes[home % len(homes)], unjournaled)

    @rule(target=keys, home=PICK, unjournaled=st.booleans(), count=st.integers(1, 3))
    def request(self, home, unjournaled, count):
        homes = self.live_homes()
        if not homes:
            return multiple()
        chosen = homes[home % len(homes)]
        keys = [self.mint(chosen, unjournaled) for _ in range(count)]
        for key in keys:
            self.claim_key(key, "a")
        return multiple(*keys)

    @rule(target=keys, home=PICK)
    def serve_for_a_while(self, home):
        """Segments roll and expire, keys are forgotten."""
        homes = self.live_homes()
        if not homes:
            return multiple()
        keys = []
        for _ in range(5):
            keys.append(self.mint(homes[home % len(homes)], False))
            self.claim_key(keys[-1], "a")
            self.answer_all()
            self.finish_all()
            self.advance(2.0)
        return multiple(*keys)

    @rule(key=keys, fingerprint=st.sampled_from(FINGERPRINTS))
    def claim(self, key, fingerprint):
        self.claim_key(key, fingerprint)

    def claim_key(self, key, fingerprint):
        home = self.home_of(key)
        if home.is_dead or home.is_paused:
            return
        first = self.claimed.setdefault(key, fingerprint)
        effects = home.machine.claim(self.now_s, key, fingerprint)
        answers = [e for e in effects if isinstance(e, (ClaimGranted, ClaimRefused))]
        if not answers:
            self.open_claims.add(key)
        was_open = key in self.open_claims
        self.run(home, effects)
        if key in self.granted and fingerprint != first:
            assert [(a.code, a.run) for a in answers] in (
                [("key_reused", "no")],
                [("key_unknown_outcome", "unknown")],
            ), "another body under a key that was granted"
        if answers and isinstance(answers[0], ClaimRefused) and was_open:
            # A repeat was refused; the first claim still waits for its answer.
            if answers[0].code in ("in_progress", "key_reused"):
                self.open_claims.add(key)

    @rule()
    def all_callers_retry(self):
        for key in self.minted:
            self.claim_key(key, self.claimed.get(key, "a"))

    @rule(key=keys)
    def finish(self, key):
        self.finish_key(key)

    def finish_key(self, key):
        home = self.home_of(key)
        if key in self.running and not (home.is_dead or home.is_paused):
            self.running.discard(key)
            self.run(home, home.machine.finish(self.now_s, key))

    @rule()
    def finish_all(self):
        for key in sorted(self.running):
            self.finish_key(key)

    @rule(key=keys)
    def ask(self, key):
        self.ask_home(key)

    @rule()
    def all_callers_ask(self):
        for key in self.minted:
            self.ask_home(key)

    def ask_home(self, key):
        home = self.home_of(key)
        if home.is_dead or home.is_paused:
            return
        if home.machine.resolve(self.now_s, key) == "not_run":
            self.note_not_run(key)

    @rule(home=PICK)
    def plan_stop(self, home):
        homes = self.live_homes()
        if homes:
            chosen = homes[home % len(homes)]
            self.run(chosen, chosen.machine.seal(self.now_s))

    @rule(home=PICK, by=st.sampled_from(("host1", "host2")))
    def survivor_starts_to_seal(self, home, by):
        if len(self.sealers) < 6:
            self.start_sealer(self.homes[home % len(self.homes)], by)

    def start_sealer(self, home, by):
        sealer = Process(JournalSealer(home.machine.incarnation, by))
        self.sealers.append(sealer)
        self.run(sealer, sealer.machine.start(self.now_s))
        return sealer

    @rule(home=PICK)
    def survivor_seals_whole(self, home):
        if not self.has_outage and len(self.sealers) < 6:
            self.seal_whole(self.homes[home % len(self.homes)])

    def seal_whole(self, home):
        sealer = self.start_sealer(home, "host3")
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
                self.note_not_run(key)

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
            self.answers.append((process, self.platform.apply(effect)))

    @rule(answer=PICK)
    def deliver_answer(self, answer):
        if self.answers:
            self.deliver(*self.answers.pop(answer % len(self.answers)))

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
        self.limbo.append((process, effect))
        self.deliver(process, CallFailed(effect.tag, sent=True))

    @rule(call=PICK)
    def land_late(self, call):
        if self.limbo and not self.has_outage:
            process, effect = self.limbo.pop(call % len(self.limbo))
            self.deliver(process, self.platform.apply(effect))

    @rule(process=PICK)
    def pause(self, process):
        everyone = self.homes + self.sealers
        everyone[process % len(everyone)].is_paused = True

    @rule(process=PICK)
    def resume(self, process):
        everyone = self.homes + self.sealers
        self.resume_process(everyone[process % len(everyone)])

    def resume_process(self, process):
        process.is_paused = False
        inbox, process.inbox = process.inbox, []
        for event in inbox:
            self.deliver(process, event)

    @rule(home=PICK)
    def kill(self, home):
        victim = self.homes[home % len(self.homes)]
        if victim.is_dead or len(self.homes) > 4:
            return
        victim.is_dead = True
        self.open_claims = {k for k in self.open_claims if self.home_of(k) != victim}
        self.start_home()

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
        for process in self.homes + self.sealers:
            if not (process.is_dead or process.is_paused):
                self.run(process, process.machine.tick(self.now_s))

    @invariant()
    def sealed_segments_never_change(self):
        for name, (version, value) in self.platform.sealed.items():
            assert self.platform.objects[name] == StoredObject(version, value)

    @invariant()
    def memory_is_bounded(self):
        for home in self.homes:
            in_flight = len(self.running) + POLICY.max_waiting_claims
            assert home.machine.key_count <= POLICY.max_keys + in_flight

    def teardown(self):
        """Heal everything: then each claim is answered and each seal completes."""
        self.has_outage = False
        for process in self.homes + self.sealers:
            self.resume_process(process)
        for _ in range(60):
            self.finish_all()
            while self.calls or self.answers:
                self.answer_call(0)
                self.deliver_answer(0)
            self.advance(0.3)
            if self.limbo:
                self.land_late(0)
        assert not self.open_claims, "claims without an answer"
        assert all(sealer.machine.is_done for sealer in self.sealers)
        for home in self.homes:
            self.seal_whole(home)


TestAtMostOnce = AtMostOnceMachine.TestCase
TestAtMostOnce.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=200,
    stateful_step_count=60,
)
