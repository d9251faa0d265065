"""Client of the platform's object API."""

from gypsumusher_objects.bodies import BodyTooLarge, read_limited
from gypsumusher_objects.budget import READ, WRITE, BudgetLimits, CallBudget
from gypsumusher_objects.client import PlatformClient, boottime_s
from gypsumusher_objects.errors import PlatformError
from gypsumusher_objects.repeats import forbid_repeats
from gypsumusher_objects.types import Change, Item, ListedHost, Listing, Stored

__all__ = [
    "READ",
    "WRITE",
    "BodyTooLarge",
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
    "read_limited",
]
