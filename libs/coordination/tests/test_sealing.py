"""`JournalSealer`: sealing a dead owner's journal segment by segment."""

import pytest

from gypsumusher_coordination.effects import (
    CallFailed,
    PeerJournalSealed,
    ReadDone,
    ReadObject,
    StoredObject,
    WriteConflict,
    WriteDone,
)
from gypsumusher_coordination.sealing import JournalSealer

KEY = "gk1.home-1.0.0.01234567"
ABSENT = "gk1.home-1.0.1.01234567"
UNJOURNALED = "gu1.home-1.0.2.01234567"


def make_segment(segment, keys, sealed=None):
    return {
        "incarnation": "home-1",
        "segment": segment,
        "writer": "writer-1",
        "sequence": segment + 1,
        "sealed": sealed,
        "keys": keys,
    }


def test_each_segment_is_sealed_and_the_next_one_is_created_sealed():
    """An owner died, or was paused just before it opened its next segment.

    A caller asks another host about a key. "Not run" would be wrong if the paused
    owner could still write the key to a segment that is not sealed.
    """
    sealer = JournalSealer("home-1", "host-2")
    [read] = sealer.start(0.0)
    assert sealer.outcome(ABSENT) == "unknown"
    stored = StoredObject(5, make_segment(0, {KEY: "f"}))
    [write] = sealer.handle(0.1, ReadDone(read.tag, stored))
    assert write.if_version == 5 and write.value["sealed"] == "host-2"
    [read] = sealer.handle(0.2, WriteDone(write.tag, 6))
    assert read.name == "home-1.1"
    [write] = sealer.handle(0.3, ReadDone(read.tag, None))
    assert write.if_version == 0 and write.value["sealed"] == "host-2"
    effects = sealer.handle(0.4, WriteDone(write.tag, 7))
    assert effects == [PeerJournalSealed("home-1", {KEY: "f"})]
    outcomes = [sealer.outcome(key) for key in (KEY, ABSENT, UNJOURNALED)]
    assert outcomes == ["unknown", "not_run", "unknown"]
    with pytest.raises(ValueError, match="key"):
        sealer.outcome("gk1.home-2.0.0.01234567")


def test_a_segment_that_is_written_during_the_seal_is_sealed_again():
    sealer = JournalSealer("home-1", "host-2")
    [read] = sealer.start(0.0)
    [write] = sealer.handle(
        0.1, ReadDone(read.tag, StoredObject(5, make_segment(0, {})))
    )
    newer = StoredObject(6, make_segment(0, {KEY: "f"}))
    [write] = sealer.handle(0.2, WriteConflict(write.tag, newer))
    assert write.if_version == 6 and write.value["keys"] == {KEY: "f"}


def test_a_lost_response_to_the_seal_is_resolved_by_reading():
    sealer = JournalSealer("home-1", "host-2")
    [read] = sealer.start(0.0)
    [write] = sealer.handle(0.1, ReadDone(read.tag, None))
    assert sealer.handle(0.2, CallFailed(write.tag, sent=True)) == []
    assert sealer.handle(0.2, WriteDone(write.tag, 9)) == []
    [read] = sealer.tick(5.0)
    assert isinstance(read, ReadObject)
    event = ReadDone(read.tag, StoredObject(9, write.value))
    assert sealer.handle(5.1, event) == [PeerJournalSealed("home-1", {})]


def test_a_journal_that_its_owner_sealed_ends_there():
    sealer = JournalSealer("home-1", "host-2")
    [read] = sealer.start(0.0)
    stored = StoredObject(5, make_segment(0, {KEY: "f"}, "home"))
    effects = sealer.handle(0.1, ReadDone(read.tag, stored))
    assert effects == [PeerJournalSealed("home-1", {KEY: "f"})]
