"""Client of the platform's object API."""

from gypsumusher_platform.budget import READ, WRITE, BudgetLimits, CallBudget
from gypsumusher_platform.client import PlatformClient, boottime_s
from gypsumusher_platform.errors import PlatformError
from gypsumusher_platform.repeats import forbid_repeats
from gypsumusher_platform.types import Change, Item, ListedHost, Listing, Stored

__all__ = [
    "READ",
    "WRITE",
    "BudgetLimits",
    "CallBudget",
    "Change",
    "Item",
    "ListedHost",
    "Listing",
    "PlatformClient",
    "PlatformError",
    "Stored",
    "boottime_s",
    "forbid_repeats",
]
