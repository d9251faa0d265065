"""Typed values that a platform adapter and the product exchange.

The adapter decodes each message of the platform into one of these types; all other
packages use only the types. The types carry data and no behaviour.
"""

from gypsumusher_ports.answers import PrefillResult, Refusal, ResponseHead
from gypsumusher_ports.calls import CallerRequest, Generation, PromptPart, SendOptions
from gypsumusher_ports.configuration import (
    ANY_TIMES,
    AT_MOST_ONCE,
    STREAM,
    ClientAccount,
    Configuration,
    EngineLimits,
    Limits,
    Route,
    ScaleLimits,
    Service,
    ServiceShare,
)
from gypsumusher_ports.endpoints import EndpointRecord
from gypsumusher_ports.engines import EngineReport, OrderOutcome
from gypsumusher_ports.errors import (
    DecodeError,
    GypsumusherError,
    PlatformError,
    StartError,
)
from gypsumusher_ports.hosts import Bounds, HostSettings
from gypsumusher_ports.objects import Change, Changes, Listing, StoredObject

__all__ = [
    "ANY_TIMES",
    "AT_MOST_ONCE",
    "STREAM",
    "Bounds",
    "CallerRequest",
    "Change",
    "Changes",
    "ClientAccount",
    "Configuration",
    "DecodeError",
    "EndpointRecord",
    "EngineLimits",
    "EngineReport",
    "Generation",
    "GypsumusherError",
    "HostSettings",
    "Limits",
    "Listing",
    "OrderOutcome",
    "PlatformError",
    "PrefillResult",
    "PromptPart",
    "Refusal",
    "ResponseHead",
    "Route",
    "ScaleLimits",
    "SendOptions",
    "Service",
    "ServiceShare",
    "StartError",
    "StoredObject",
]
