"""State machine test: several hosts claim one caller's key concurrently."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, rule

from gypsumusher_coordination.claims import WITHDRAWN, CallerKeyClaim
from gypsumusher_coordination.effects import (
    CallFailed,
    ClaimGranted,
    ClaimOwnedElsewhere,
    ClaimRefused,
    ReadDone,
    ReadObject,
    StoredObject,
    WriteConflict,
    WriteDone,
)

OWNERS = ("home-1", "home-2", WITHDRAWN)
PICK = st.integers(0, 2**16)


class ClaimsMachine(RuleBasedStateMachine):
    """Attempts for one key; responses are lost, late, reordered or never given."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.stored = None
        self.attempts = []
        self.claimants = []
        self.outcomes = {}
        self.calls = []
        self.late = []

    def run(self, number, effects):
        for effect in effects:
            if isinstance(effect, (ClaimGranted, ClaimOwnedElsewhere, ClaimRefused)):
                assert number not in self.outcomes, "two results of one attempt"
                self.outcomes[number] = effect
                continue
            self.calls.append((number, effect))
        granted = [o for o in self.outcomes.values() if isinstance(o, ClaimGranted)]
        assert len(granted) <= 1, "key granted to two attempts"

    def apply(self, effect):
        if isinstance(effect, ReadObject):
            return ReadDone(effect.tag, self.stored)
        if effect.if_version != (self.stored.version if self.stored else 0):
            return WriteConflict(effect.tag, self.stored)
        self.stored = StoredObject(1, effect.value)
        return WriteDone(effect.tag, 1)

    def answer(self, number, event):
        self.run(number, self.attempts[number].handle(self.now_s, event))

    @rule(owner=st.sampled_from(OWNERS), fingerprint=st.sampled_from("ab"))
    def claim(self, owner, fingerprint):
        number = len(self.attempts)
        attempt = CallerKeyClaim("key", owner, fingerprint, f"nonce-{number}")
        self.attempts.append(attempt)
        self.claimants.append((owner, fingerprint))
        self.run(number, attempt.start(self.now_s))

    @rule(call=PICK)
    def answer_call(self, call):
        if self.calls:
            number, effect = self.calls.pop(call % len(self.calls))
            self.answer(number, self.apply(effect))

    @rule(call=PICK, is_applied=st.booleans())
    def lose_answer(self, call, is_applied):
        if self.calls:
            number, effect = self.calls.pop(call % len(self.calls))
            if is_applied:
                self.apply(effect)
            else:
                self.late.append((number, effect))
            self.answer(number, CallFailed(effect.tag, sent=True))

    @rule(call=PICK)
    def fail_unsent(self, call):
        if self.calls:
            number, effect = self.calls.pop(call % len(self.calls))
            self.answer(number, CallFailed(effect.tag, sent=False))

    @rule(call=PICK)
    def land_late(self, call):
        if self.late:
            number, effect = self.late.pop(call % len(self.late))
            self.answer(number, self.apply(effect))

    @rule(wait_s=st.sampled_from((0.1, 0.5, 3.0)))
    def wait(self, wait_s):
        self.now_s += wait_s
        for number, attempt in enumerate(self.attempts):
            self.run(number, attempt.tick(self.now_s))

    def teardown(self):
        """Each attempt gets a result that agrees with the stored claim."""
        for _ in range(4):
            while self.calls or self.late:
                self.answer_call(0)
                self.land_late(0)
            self.wait(1.0)
        assert len(self.outcomes) == len(self.attempts)
        for number, outcome in self.outcomes.items():
            if isinstance(outcome, ClaimGranted):
                assert self.stored.value["nonce"] == f"nonce-{number}"
            if isinstance(outcome, ClaimRefused) and outcome.run == "no":
                # Correct only for content that the key's owner can't have run.
                assert self.claimants[number][1] != self.stored.value["fingerprint"]
            if isinstance(outcome, ClaimOwnedElsewhere):
                value = self.stored.value
                assert outcome.owner == value["home"]
                owner, fingerprint = self.claimants[number]
                is_withdrawn = WITHDRAWN in (owner, value["home"])
                assert is_withdrawn or fingerprint == value["fingerprint"]


TestClaims = ClaimsMachine.TestCase
TestClaims.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    stateful_step_count=30,
)
