"""State machines for the coordination of hosts, without I/O.

Leases with fencing numbers, orders to engines, the replicated configuration, the claim
journal of idempotency keys and the membership of cells. The state machines take clock
readings and events and return effects, which the caller carries out.

The modules are imported when one of their names is first used: an entry host needs
only a few of them, and its start must be short.
"""

import importlib

# Imported at once: this module has the name of its function, and the import system
# would set the module as the package's attribute.
from gypsumusher_coordination.merge_patch import merge_patch

# Names by module.
_NAMES = {
    "claims": ("CallerKeyClaim",),
    "config": ("ConfigAdopted", "ConfigReplica", "FetchSection"),
    "config_check": (
        "DEPLOYMENT_DEFAULTS",
        "HOSTS_DEFAULTS",
        "SERVICE_DEFAULTS",
        "Problem",
        "check_document",
        "fill_defaults",
    ),
    "config_patch": (
        "PatchAccepted",
        "PatchAttempt",
        "PatchInvalid",
        "PatchOutdated",
        "PatchUnavailable",
        "PatchUnknown",
    ),
    "config_sections": (
        "canonical_json",
        "content_hash",
        "join_sections",
        "split_document",
    ),
    "config_staleness": ("last_contact_s", "may_serve"),
    "effects": (
        "CallEvent",
        "CallFailed",
        "ClaimGranted",
        "ClaimOwnedElsewhere",
        "ClaimRefused",
        "DeleteObject",
        "OwnJournalSealed",
        "PeerJournalSealed",
        "Probe",
        "ReadDone",
        "ReadObject",
        "StoredObject",
        "WriteConflict",
        "WriteDone",
        "WriteObject",
    ),
    "journal": ("ClaimJournal", "JournalPolicy"),
    "keys": ("KeyParts", "parse_key"),
    "lease": ("Lease", "LeaseGained", "LeaseLost", "OpenTerm", "TermValidity"),
    "membership": (
        "ENDPOINT_SOURCE",
        "PLATFORM_SOURCE",
        "Membership",
        "MembershipPolicy",
        "max_message_bytes",
    ),
    "order_effects": (
        "OrderCallFailed",
        "OrderEnded",
        "OrderReply",
        "QueryOrder",
        "SendOrder",
        "TermsClosed",
    ),
    "orders": ("OrderController",),
    "sealing": ("JournalSealer",),
}
_MODULE_OF = {name: module for module, names in _NAMES.items() for name in names}

__all__ = ["merge_patch", *_MODULE_OF]


def __getattr__(name):
    """Import the module of a name that is used for the first time."""
    module = _MODULE_OF.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    found = getattr(importlib.import_module(f"{__name__}.{module}"), name)
    globals()[name] = found
    return found


def __dir__():
    return sorted(__all__)
