"""`CallerKeyClaim`: one conditional create decides which host runs a caller's key."""

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


def start_claim(owner="home-1", fingerprint="f", nonce="n1", now_s=0.0):
    claim = CallerKeyClaim(KEY, owner, fingerprint, nonce)
    [create] = claim.start(now_s)
    return claim, create


def test_concurrent_claims_one_wins_and_the_other_gets_the_owner():
    """A caller's retry reaches a second host while the first host is claiming the key.

    Without the conditional create both hosts would run the request.
    """
    first, create = start_claim()
    second, competing_create = start_claim("home-2", "f", "n2")
    assert create.name == competing_create.name and competing_create.if_version == 0
    assert first.handle(0.1, WriteDone(create.tag, 4)) == [ClaimGranted(KEY)]
    conflict = WriteConflict(competing_create.tag, StoredObject(4, create.value))
    assert second.handle(0.1, conflict) == [ClaimOwnedElsewhere(KEY, "home-1")]
    assert first.is_done and second.tick(99.0) == []


@pytest.mark.parametrize("has_landed", [True, False])
def test_a_lost_response_is_resolved_by_the_nonce(has_landed):
    """The response to the create is lost, whether the create took effect or not.

    Without the read the request would run twice or never. The read returns the
    attempt's own nonce or no object. In the second case another create either wins or
    conflicts with the first one, which took effect late.
    """
    claim, create = start_claim()
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


def test_an_earlier_attempt_of_the_same_owner_is_told_apart():
    _, create = start_claim(nonce="n0")
    claim, competing_create = start_claim(nonce="n1")
    effects = claim.handle(
        0.1, WriteConflict(competing_create.tag, StoredObject(4, create.value))
    )
    assert effects == [ClaimOwnedElsewhere(KEY, "home-1")]


def test_another_fingerprint_under_the_key_is_refused():
    _, create = start_claim("home-2", "other", "n2")
    claim, competing_create = start_claim()
    effects = claim.handle(
        0.1, WriteConflict(competing_create.tag, StoredObject(4, create.value))
    )
    assert effects == [ClaimRefused(KEY, "key_reused", "no")]


def test_a_withdrawn_key_is_not_granted():
    _, create = start_claim(WITHDRAWN, WITHDRAWN, "n2")
    claim, competing_create = start_claim()
    effects = claim.handle(
        0.1, WriteConflict(competing_create.tag, StoredObject(4, create.value))
    )
    assert effects == [ClaimOwnedElsewhere(KEY, WITHDRAWN)]


def test_timeout_in_an_outage_refuses_with_unknown_outcome_and_is_final():
    """The request ran on another host, its response was lost, then an outage began.

    The caller repeats its key here, and the claim can't be read. Reporting "not run"
    would make the caller send the request again under another key. A create that
    takes effect late must not grant the key either.
    """
    claim, call = start_claim()
    for step in range(1, 40):
        claim.handle(step / 20, CallFailed(call.tag, sent=False))
        effects = claim.tick(step / 20)
        call = effects[0] if effects else call
    assert claim.tick(2.0) == [ClaimRefused(KEY, "journal_unavailable", "unknown")]
    assert claim.handle(2.1, WriteDone(call.tag, 4)) == []
