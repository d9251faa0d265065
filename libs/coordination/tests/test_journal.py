"""`ClaimJournal`: group commit, lost responses, final refusals."""

import json

import pytest

from gypsumusher_coordination.effects import (
    CallFailed,
    ClaimGranted,
    ClaimRefused,
    OwnJournalSealed,
    ReadDone,
    ReadObject,
    StoredObject,
    WriteConflict,
    WriteDone,
    WriteObject,
)
from gypsumusher_coordination.journal import ClaimJournal, JournalPolicy
from gypsumusher_coordination.keys import parse_key

RANDOM = "0123456789abcdef"


def make_journal(**limits):
    return ClaimJournal("home-1", "writer-1", JournalPolicy(**limits))


def claim_new_key(journal, now_s, fingerprint="f"):
    key = journal.mint(RANDOM)
    return key, journal.claim(now_s, key, fingerprint)


def test_minted_keys_encode_their_owner_and_other_keys_have_none():
    key = make_journal().mint(RANDOM)
    assert parse_key(key)[:3] == ("home-1", 0, 0)
    for other in ("booking-123", "gk1.home-1.0.0", f"gk1.ho.me.0.0.{RANDOM}", ""):
        assert parse_key(other) is None
    with pytest.raises(ValueError, match="key"):
        make_journal().claim(0.0, "gk1.home-2.0.0.01234567", "f")
    with pytest.raises(ValueError, match="key"):
        ClaimJournal("with.dot", "writer", JournalPolicy())


def test_waiting_claims_share_one_write_within_the_write_rate():
    journal = make_journal(writes_per_s=10.0)
    first, [write] = claim_new_key(journal, 0.0)
    others = [claim_new_key(journal, 0.01)[0] for _ in range(5)]
    assert write.if_version == 0 and list(write.value["keys"]) == [first]
    assert journal.handle(0.02, WriteDone(write.tag, 7)) == [ClaimGranted(first)]
    assert journal.tick(0.09) == []
    [write] = journal.tick(0.1)
    assert write.if_version == 7
    granted = journal.handle(0.11, WriteDone(write.tag, 8))
    assert granted == [ClaimGranted(key) for key in others]


def test_a_lost_response_is_resolved_by_reading_the_own_write():
    """A write took effect, and its response was lost.

    Without the read the request would be refused although its key is in the journal,
    and the host would take itself for fenced. The read returns the host's own writer id
    and sequence number, so the claim is granted, once.
    """
    journal = make_journal()
    key, [write] = claim_new_key(journal, 0.0)
    assert journal.handle(0.1, CallFailed(write.tag, sent=True)) == []
    [read] = journal.tick(0.5)
    assert isinstance(read, ReadObject)
    stored = StoredObject(3, write.value)
    assert journal.handle(0.6, ReadDone(read.tag, stored)) == [ClaimGranted(key)]
    assert journal.handle(0.7, WriteDone(write.tag, 3)) == []
    assert not journal.is_fenced


def test_a_write_of_another_writer_fences_the_owner():
    """Two processes were started with the same incarnation by mistake.

    Without the writer id each could grant keys because of the other's writes.
    """
    journal = make_journal()
    key, [write] = claim_new_key(journal, 0.0)
    stored = StoredObject(3, {**write.value, "writer": "writer-2"})
    effects = journal.handle(0.1, WriteConflict(write.tag, stored))
    assert effects == [ClaimRefused(key, "journal_unavailable", "no")]
    assert journal.is_fenced


def test_a_claim_refused_after_its_timeout_is_not_granted_by_a_late_write():
    """A slow write takes effect after the caller was told "not run".

    The caller may have sent its request to another host by then. Neither the late
    response nor a repeat of the request may grant the key.
    """
    journal = make_journal(claim_timeout_s=2.0)
    key, [write] = claim_new_key(journal, 0.0)
    assert journal.tick(2.0) == [ClaimRefused(key, "journal_unavailable", "no")]
    assert journal.handle(2.1, WriteDone(write.tag, 3)) == []
    assert journal.claim(2.2, key, "f") == [ClaimRefused(key, "key_not_run", "no")]
    assert journal.resolve(2.2, key) == "not_run"


def test_unsent_failures_are_retried_with_backoff():
    journal = make_journal(
        claim_timeout_s=60.0, backoff_initial_s=0.1, backoff_max_s=1.0
    )
    key, [write] = claim_new_key(journal, 0.0)
    sent_s = []
    for step in range(1, 1000):
        journal.handle(step / 100, CallFailed(write.tag, sent=False))
        for write in journal.tick(step / 100):
            assert isinstance(write, WriteObject)
            sent_s.append(step / 100)
    gaps_s = [round(b - a, 2) for a, b in zip(sent_s, sent_s[1:])]
    # The test's step of 0.01 s lengthens a gap by at most one step.
    assert all(b >= a - 0.01 for a, b in zip(gaps_s, gaps_s[1:]))
    assert 0.5 <= gaps_s[-1] <= 1.02
    [write] = journal.tick(20.0)
    assert journal.handle(20.1, WriteDone(write.tag, 1)) == [ClaimGranted(key)]


def test_a_repeat_is_refused_by_state_and_fingerprint():
    journal = make_journal()
    key, [write] = claim_new_key(journal, 0.0)
    assert journal.claim(0.0, key, "f") == [ClaimRefused(key, "in_progress", "unknown")]
    journal.handle(0.1, WriteDone(write.tag, 1))
    assert journal.claim(0.2, key, "g") == [ClaimRefused(key, "key_reused", "no")]
    assert journal.claim(0.2, key, "f") == [ClaimRefused(key, "in_progress", "unknown")]
    assert journal.resolve(0.2, key) == "running"
    journal.finish(0.3, key)
    assert journal.claim(0.4, key, "f") == [ClaimRefused(key, "done", "unknown")]
    assert journal.resolve(0.4, key) == "done"


def test_resolve_withdraws_a_key_that_was_not_claimed_yet():
    """A caller resolves its key as "not run", then its delayed request arrives.

    The caller may have sent the request under another key in between.
    """
    journal = make_journal()
    key = journal.mint(RANDOM)
    assert journal.resolve(0.0, key) == "not_run"
    assert journal.claim(0.1, key, "f") == [ClaimRefused(key, "key_not_run", "no")]


def test_only_an_unjournaled_key_runs_without_the_journal_during_an_outage():
    journal = make_journal()
    unjournaled_key = journal.mint(RANDOM, unjournaled=True)
    [write] = journal.claim(0.0, unjournaled_key, "f")
    journaled_key = claim_new_key(journal, 0.0)[0]
    failed = CallFailed(write.tag, sent=False)
    assert journal.handle(0.1, failed) == [ClaimGranted(unjournaled_key)]
    assert not journal.is_platform_reachable
    second_unjournaled_key = journal.mint(RANDOM, unjournaled=True)
    assert journal.claim(0.2, second_unjournaled_key, "f") == [
        ClaimGranted(second_unjournaled_key)
    ]
    assert journal.tick(9.0)[0] == ClaimRefused(
        journaled_key, "journal_unavailable", "no"
    )


def test_memory_is_bounded_and_an_evicted_key_is_unknown():
    """New keys arrive throughout a long outage, and a forged one has a high count.

    Without the limit the host would run out of memory; an evicted key must not run
    again.
    """
    journal = make_journal(max_keys=100, claim_timeout_s=0.5)
    forged_key = f"gk1.home-1.0.999999.{RANDOM}"
    assert journal.claim(0.0, forged_key, "f")[0].run == "unknown"
    first, [write] = claim_new_key(journal, 0.0)
    for step in range(1, 1000):
        claim_new_key(journal, step / 10)
        journal.tick(step / 10)
        assert journal.key_count <= 100
    refusal = ClaimRefused(first, "key_unknown_outcome", "unknown")
    assert journal.claim(100.0, first, "f") == [refusal]
    assert journal.resolve(100.0, first) == "unknown"


def test_a_finished_key_is_evicted_after_the_retention():
    journal = make_journal(retention_s=10.0)
    key, [write] = claim_new_key(journal, 0.0)
    journal.handle(0.1, WriteDone(write.tag, 1))
    journal.finish(0.2, key)
    for second in range(1, 30):
        journal.tick(float(second))
    assert journal.key_count == 0
    assert journal.claim(30.0, key, "f")[0].code == "key_unknown_outcome"


def test_a_new_segment_is_opened_at_the_size_limit():
    journal = make_journal(
        segment_max_bytes=500, segment_max_age_s=1e6, writes_per_s=1e6
    )
    sizes_bytes = {}
    for step in range(100):
        _, [write] = claim_new_key(journal, float(step), "f" * 32)
        sizes_bytes[write.name] = len(json.dumps(write.value))
        assert (write.if_version == 0) == (len(write.value["keys"]) == 1)
        journal.handle(step + 0.1, WriteDone(write.tag, step + 1))
    assert len(sizes_bytes) > 5 and max(sizes_bytes.values()) < 800


def test_a_low_key_rate_writes_few_bytes():
    """At one key per second, age-limited segments keep the writes small.

    Without the age limit each write would contain all keys of the last minutes.
    """
    journal = make_journal()
    sent_bytes = 0
    for second in range(120):
        _, [write] = claim_new_key(journal, float(second), "f" * 32)
        sent_bytes += len(json.dumps(write.value))
        journal.handle(second + 0.1, WriteDone(write.tag, second + 1))
    assert sent_bytes / 120 < 2_000


def test_a_planned_stop_finishes_granted_keys_then_seals():
    journal = make_journal()
    key, [write] = claim_new_key(journal, 0.0)
    journal.handle(0.1, WriteDone(write.tag, 1))
    assert journal.seal(1.0) == []
    late, effects = claim_new_key(journal, 1.1)
    assert effects == [ClaimRefused(late, "stopping", "no")]
    [write] = journal.finish(2.0, key)
    assert write.value["sealed"] == "home" and key in write.value["keys"]
    journal.handle(2.1, CallFailed(write.tag, sent=True))
    [read] = journal.tick(3.0)
    event = ReadDone(read.tag, StoredObject(2, write.value))
    assert journal.handle(3.1, event) == [OwnJournalSealed()]
    assert journal.tick(9.0) == []


def test_sealing_by_another_host_after_the_planned_stop_has_no_effect():
    """Another host seals segment zero during a planned stop with segment expiry.

    The stopping host must not take itself for fenced and start a new incarnation.
    """
    journal = make_journal(segment_max_bytes=1, retention_s=10.0, writes_per_s=100.0)
    for second in (0.0, 1.0):
        key, [write] = claim_new_key(journal, second)
        journal.handle(second, WriteDone(write.tag, 1))
        journal.finish(second, key)
    [expiry] = [e for e in journal.tick(20.0) if e.name == "home-1.0"]
    [seal] = journal.seal(20.1)
    assert journal.handle(20.2, WriteDone(seal.tag, 2)) == [OwnJournalSealed()]
    sealed = StoredObject(9, {**expiry.value, "sealed": "host-2"})
    assert journal.handle(20.3, WriteConflict(expiry.tag, sealed)) == []
    assert not journal.is_fenced
