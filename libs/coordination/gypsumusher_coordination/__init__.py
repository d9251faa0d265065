"""Coordination state machines without input or output."""

from gypsumusher_coordination.config import (
    Adopted,
    ConfigReplica,
    NeedSection,
)
from gypsumusher_coordination.config_check import (
    DEPLOYMENT_DEFAULTS,
    HOSTS_DEFAULTS,
    SERVICE_DEFAULTS,
    Problem,
    check_document,
    fill_defaults,
)
from gypsumusher_coordination.config_patch import (
    PatchAccepted,
    PatchAttempt,
    PatchInvalid,
    PatchOutdated,
    PatchUnavailable,
    PatchUnknown,
)
from gypsumusher_coordination.config_sections import (
    canonical_json,
    content_hash,
    join_sections,
    split_document,
)
from gypsumusher_coordination.cutoff import (
    heard_s,
    may_serve,
)
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
from gypsumusher_coordination.merge_patch import (
    merge_patch,
)

__all__ = [
    "DEPLOYMENT_DEFAULTS",
    "HOSTS_DEFAULTS",
    "SERVICE_DEFAULTS",
    "Adopted",
    "CallEvent",
    "CallFailed",
    "ClaimElsewhere",
    "ClaimGranted",
    "ClaimRefused",
    "ConfigReplica",
    "DeleteObject",
    "JournalSealed",
    "NeedSection",
    "PatchAccepted",
    "PatchAttempt",
    "PatchInvalid",
    "PatchOutdated",
    "PatchUnavailable",
    "PatchUnknown",
    "Problem",
    "ReadDone",
    "ReadObject",
    "Sealed",
    "Stored",
    "WriteConflict",
    "WriteDone",
    "WriteObject",
    "canonical_json",
    "check_document",
    "content_hash",
    "fill_defaults",
    "heard_s",
    "join_sections",
    "may_serve",
    "merge_patch",
    "split_document",
]
