"""Decisions on a request's way to an endpoint, without input, output or a clock."""

from gypsumusher_routing.active_hosts import choose_active, choose_watchers
from gypsumusher_routing.endpoint_state import EndpointState, Load
from gypsumusher_routing.endpoint_table import EndpointTable
from gypsumusher_routing.engine_choice import (
    Reading,
    choose_decode,
    choose_reading,
    reading_work,
)
from gypsumusher_routing.events import Event, EventSplitter, OversizedEvent
from gypsumusher_routing.health import Health
from gypsumusher_routing.hosts import HostNews, HostTable, capacity_of
from gypsumusher_routing.prefixes import PrefixTable
from gypsumusher_routing.retry_share import RetryShare
from gypsumusher_routing.routes import RouteTable, pick_service
from gypsumusher_routing.service_choice import choose_endpoint
from gypsumusher_routing.urgency import (
    HOPELESS,
    LANES,
    LATE,
    SOON,
    TIMELY,
    FirstEventLimits,
    abandoned_after_s,
    choose_lane,
    first_event_limit_s,
    urgency_of,
)

__all__ = [
    "EndpointState",
    "EndpointTable",
    "Event",
    "EventSplitter",
    "FirstEventLimits",
    "Health",
    "HostNews",
    "HOPELESS",
    "HostTable",
    "LANES",
    "LATE",
    "Load",
    "OversizedEvent",
    "PrefixTable",
    "Reading",
    "RetryShare",
    "RouteTable",
    "SOON",
    "TIMELY",
    "abandoned_after_s",
    "capacity_of",
    "choose_active",
    "choose_decode",
    "choose_endpoint",
    "choose_lane",
    "choose_reading",
    "choose_watchers",
    "first_event_limit_s",
    "pick_service",
    "reading_work",
    "urgency_of",
]
