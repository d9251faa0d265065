"""Client of the platform's object API."""

from gypsumusher_objects.budget import READ, WRITE, BudgetLimits, CallBudget
from gypsumusher_objects.client import PlatformClient, boottime_s
from gypsumusher_objects.errors import PlatformError
from gypsumusher_objects.response_body import BodyTooLarge, read_body
from gypsumusher_objects.retries import disable_retries
from gypsumusher_objects.types import (
    ListedHost,
    Listing,
    PlatformObject,
    VersionedValue,
    WatchResult,
)

__all__ = [
    "READ",
    "WRITE",
    "BodyTooLarge",
    "BudgetLimits",
    "CallBudget",
    "ListedHost",
    "Listing",
    "PlatformClient",
    "PlatformError",
    "PlatformObject",
    "VersionedValue",
    "WatchResult",
    "boottime_s",
    "disable_retries",
    "read_body",
]
