"""Coordination state machines without input or output."""

from gypsumusher_coordination.effects import (
    CallEvent,
    CallFailed,
    ClaimElsewhere,
    ClaimGranted,
    ClaimRefused,
    DeleteObject,
    JournalSealed,
    ReadDone,
    ReadObject,
    Sealed,
    Stored,
    WriteConflict,
    WriteDone,
    WriteObject,
)

__all__ = [
    "CallEvent",
    "CallFailed",
    "ClaimElsewhere",
    "ClaimGranted",
    "ClaimRefused",
    "DeleteObject",
    "JournalSealed",
    "ReadDone",
    "ReadObject",
    "Sealed",
    "Stored",
    "WriteConflict",
    "WriteDone",
    "WriteObject",
]
