"""`SegmentExpiry`: deleted segments are not taken for the end of the journal."""

from gypsumusher_coordination.effects import (
    CallFailed,
    DeleteObject,
    StoredObject,
    WriteConflict,
    WriteDone,
)
from gypsumusher_coordination.expiry import SegmentExpiry

VALUE = {"segment": 0, "sequence": 1, "sealed": None, "keys": {"k": "f"}}


def make_expiry():
    expiry = SegmentExpiry("journals", "home-1", retention_s=100.0)
    for segment in range(3):
        closed = StoredObject(segment + 1, {**VALUE, "segment": segment})
        expiry.on_closed(float(segment), segment, closed)
    assert expiry.tick(50.0) == []
    [write] = expiry.tick(101.5)
    return expiry, write


def test_segment_zero_names_the_first_remaining_segment_before_any_delete():
    """Another host seals the journal while old segments are being deleted.

    If segment zero did not name the first remaining segment, the sealer would take a
    deleted one for the end and report keys in later segments as not run.
    """
    expiry, write = make_expiry()
    assert (write.name, write.if_version) == ("home-1.0", 1)
    assert write.value["first_segment"] == 2 and write.value["keys"] == {}
    assert expiry.tick(105.0) == []
    expiry.handle(105.0, WriteDone(write.tag, 9))
    assert expiry.tick(106.0) == [
        DeleteObject("expiry.home-1.2", "journals", "home-1.1", 2)
    ]


def test_a_sealed_journal_is_not_changed():
    expiry, write = make_expiry()
    sealed = StoredObject(9, {**VALUE, "sealed": "host-2"})
    expiry.handle(105.0, WriteConflict(write.tag, sealed))
    assert expiry.is_fenced and expiry.tick(999.0) == []


def test_lost_responses_are_resolved_by_the_next_call():
    expiry, write = make_expiry()
    expiry.handle(105.0, CallFailed(write.tag, sent=True))
    [again] = expiry.tick(106.0)
    expiry.handle(106.1, WriteConflict(again.tag, StoredObject(9, write.value)))
    [delete] = expiry.tick(107.0)
    expiry.handle(107.1, CallFailed(delete.tag, sent=True))
    [delete] = expiry.tick(108.0)
    assert delete.name == "home-1.1"
    expiry.handle(108.1, WriteConflict(delete.tag, None))
    [write] = expiry.tick(200.0)
    assert (write.value["first_segment"], write.if_version) == (3, 9)
