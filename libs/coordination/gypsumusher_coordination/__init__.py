"""Coordination state machines without input or output."""

from gypsumusher_coordination.claims import CallerKeyClaim
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
    Probe,
    ReadDone,
    ReadObject,
    Sealed,
    Stored,
    WriteConflict,
    WriteDone,
    WriteObject,
)
from gypsumusher_coordination.journal import HomeJournal, JournalPolicy
from gypsumusher_coordination.keys import KeyParts, parse_key
from gypsumusher_coordination.lease import (
    Authority,
    Lease,
    LeaseGained,
    LeaseLost,
    OpenTerm,
)
from gypsumusher_coordination.membership import (
    LIST_SOURCE,
    OWN_SOURCE,
    Membership,
    MembershipPolicy,
    message_bytes,
)
from gypsumusher_coordination.merge_patch import (
    merge_patch,
)
from gypsumusher_coordination.order_effects import (
    OrderAnswer,
    OrderFailed,
    OrderSettled,
    QueryOrder,
    SendOrder,
    TermsSettled,
)
from gypsumusher_coordination.orders import OrderBook
from gypsumusher_coordination.sealing import JournalSealer

__all__ = [
    "LIST_SOURCE",
    "OWN_SOURCE",
    "CallerKeyClaim",
    "HomeJournal",
    "JournalPolicy",
    "JournalSealer",
    "KeyParts",
    "Membership",
    "MembershipPolicy",
    "Probe",
    "message_bytes",
    "parse_key",
    "DEPLOYMENT_DEFAULTS",
    "HOSTS_DEFAULTS",
    "SERVICE_DEFAULTS",
    "Adopted",
    "Authority",
    "CallEvent",
    "CallFailed",
    "ClaimElsewhere",
    "ClaimGranted",
    "ClaimRefused",
    "ConfigReplica",
    "DeleteObject",
    "JournalSealed",
    "Lease",
    "LeaseGained",
    "LeaseLost",
    "NeedSection",
    "OpenTerm",
    "OrderAnswer",
    "OrderBook",
    "OrderFailed",
    "OrderSettled",
    "PatchAccepted",
    "PatchAttempt",
    "PatchInvalid",
    "PatchOutdated",
    "PatchUnavailable",
    "PatchUnknown",
    "Problem",
    "QueryOrder",
    "ReadDone",
    "ReadObject",
    "Sealed",
    "SendOrder",
    "Stored",
    "TermsSettled",
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
