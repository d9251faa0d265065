"""State machines for the coordination of hosts, without I/O.

Leases with fencing numbers, orders to engines, the replicated configuration, the claim
journal of idempotency keys and the membership of cells. The state machines take clock
readings and events and return effects, which the caller carries out.
"""

from gypsumusher_coordination.claims import CallerKeyClaim
from gypsumusher_coordination.config import (
    ConfigAdopted,
    ConfigReplica,
    FetchSection,
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
from gypsumusher_coordination.config_staleness import (
    last_contact_s,
    may_serve,
)
from gypsumusher_coordination.effects import (
    CallEvent,
    CallFailed,
    ClaimGranted,
    ClaimOwnedElsewhere,
    ClaimRefused,
    DeleteObject,
    OwnJournalSealed,
    PeerJournalSealed,
    Probe,
    ReadDone,
    ReadObject,
    StoredObject,
    WriteConflict,
    WriteDone,
    WriteObject,
)
from gypsumusher_coordination.journal import ClaimJournal, JournalPolicy
from gypsumusher_coordination.keys import KeyParts, parse_key
from gypsumusher_coordination.lease import (
    Lease,
    LeaseGained,
    LeaseLost,
    OpenTerm,
    TermValidity,
)
from gypsumusher_coordination.membership import (
    ENDPOINT_SOURCE,
    PLATFORM_SOURCE,
    Membership,
    MembershipPolicy,
    max_message_bytes,
)
from gypsumusher_coordination.merge_patch import (
    merge_patch,
)
from gypsumusher_coordination.order_effects import (
    OrderCallFailed,
    OrderEnded,
    OrderReply,
    QueryOrder,
    SendOrder,
    TermsClosed,
)
from gypsumusher_coordination.orders import OrderController
from gypsumusher_coordination.sealing import JournalSealer

__all__ = [
    "PLATFORM_SOURCE",
    "ENDPOINT_SOURCE",
    "CallerKeyClaim",
    "ClaimJournal",
    "JournalPolicy",
    "JournalSealer",
    "KeyParts",
    "Membership",
    "MembershipPolicy",
    "Probe",
    "max_message_bytes",
    "parse_key",
    "DEPLOYMENT_DEFAULTS",
    "HOSTS_DEFAULTS",
    "SERVICE_DEFAULTS",
    "ConfigAdopted",
    "TermValidity",
    "CallEvent",
    "CallFailed",
    "ClaimOwnedElsewhere",
    "ClaimGranted",
    "ClaimRefused",
    "ConfigReplica",
    "DeleteObject",
    "OwnJournalSealed",
    "Lease",
    "LeaseGained",
    "LeaseLost",
    "FetchSection",
    "OpenTerm",
    "OrderReply",
    "OrderController",
    "OrderCallFailed",
    "OrderEnded",
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
    "PeerJournalSealed",
    "SendOrder",
    "StoredObject",
    "TermsClosed",
    "WriteConflict",
    "WriteDone",
    "WriteObject",
    "canonical_json",
    "check_document",
    "content_hash",
    "fill_defaults",
    "last_contact_s",
    "join_sections",
    "may_serve",
    "merge_patch",
    "split_document",
]
