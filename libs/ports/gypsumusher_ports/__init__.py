"""Typed values that the adapter of a platform and the product exchange.

The adapter decodes what the platform sends into these once; everything behind it knows
only them. They hold no behaviour and decide nothing.
"""

from gypsumusher_ports.answers import PrefillResult, Refusal, ResponseHead
from gypsumusher_ports.calls import CallerRequest, Generation, PromptPart, SendOptions
from gypsumusher_ports.configuration import (
    ANY_TIMES,
    AT_MOST_ONCE,
    STREAM,
    Configuration,
    EngineLimits,
    Limits,
    Route,
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
    "ResponseHead",
    "Bounds",
    "CallerRequest",
    "Change",
    "Changes",
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
    "Route",
    "SendOptions",
    "Service",
    "ServiceShare",
    "StartError",
    "StoredObject",
]
