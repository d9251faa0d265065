"""Callers' own keys: one conditional create decides which host runs them."""

import pytest

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

KEY = "booking-123"


def start(home="home-1", fingerprint="f", nonce="n1", now_s=0.0):
    claim = CallerKeyClaim(KEY, home, fingerprint, nonce)
    [create] = claim.start(now_s)
    return claim, create


def test_two_hosts_at_once_one_wins_and_the_other_learns_the_home():
    """A caller's retry reaches a second host while the first still claims.

    Two crews would be booked. The platform lets one create through.
    """
    first, create = start()
    second, rival = start("home-2", "f", "n2")
    assert create.name == rival.name and rival.if_version == 0
    assert first.handle(0.1, WriteDone(create.tag, 4)) == [ClaimGranted(KEY)]
    stands = WriteConflict(rival.tag, StoredObject(4, create.value))
    assert second.handle(0.1, stands) == [ClaimOwnedElsewhere(KEY, "home-1")]
    assert first.is_done and second.tick(99.0) == []


@pytest.mark.parametrize("has_landed", [True, False])
def test_a_lost_answer_is_settled_by_the_nonce(has_landed):
    """The create's answer is lost, whether it took effect or not.

    A guess would book twice or never. Reading shows the own nonce, or nothing, and
    then a second create either wins or meets the first one landing late.
    """
    claim, create = start()
    assert claim.handle(0.1, CallFailed(create.tag, sent=True)) == []
    [read] = claim.tick(0.5)
    assert isinstance(read, ReadObject)
    stored = StoredObject(4, create.value)
    if has_landed:
        effects = claim.handle(0.6, ReadDone(read.tag, stored))
    else:
        assert claim.handle(0.6, ReadDone(read.tag, None)) == []
        [again] = claim.tick(1.0)
        effects = claim.handle(1.1, WriteConflict(again.tag, stored))
    assert effects == [ClaimGranted(KEY)]


def test_an_earlier_attempt_of_the_same_home_is_not_taken_for_this_one():
    _, create = start(nonce="n0")
    claim, rival = start(nonce="n1")
    effects = claim.handle(0.1, WriteConflict(rival.tag, StoredObject(4, create.value)))
    assert effects == [ClaimOwnedElsewhere(KEY, "home-1")]


def test_another_body_under_the_key_is_refused():
    _, create = start("home-2", "other", "n2")
    claim, rival = start()
    effects = claim.handle(0.1, WriteConflict(rival.tag, StoredObject(4, create.value)))
    assert effects == [ClaimRefused(KEY, "key_reused", "no")]


def test_a_withdrawn_key_is_run_by_nobody():
    _, create = start(WITHDRAWN, WITHDRAWN, "n2")
    claim, rival = start()
    effects = claim.handle(0.1, WriteConflict(rival.tag, StoredObject(4, create.value)))
    assert effects == [ClaimOwnedElsewhere(KEY, WITHDRAWN)]


def test_with_the_platform_down_the_outcome_is_unknown_and_the_refusal_final():
    """The booking ran through another host, whose answer was lost; then an outage.

    The caller repeats its key here. "Not run" would make it book a second crew, as
    nobody could look at the claim. A create that lands late must not run it either.
    """
    claim, call = start()
    for step in range(1, 40):
        claim.handle(step / 20, CallFailed(call.tag, sent=False))
        effects = claim.tick(step / 20)
        call = effects[0] if effects else call
    assert claim.tick(2.0) == [ClaimRefused(KEY, "journal_unavailable", "unknown")]
    assert claim.handle(2.1, WriteDone(call.tag, 4)) == []
