"""Decisions on a request's way to an endpoint, without input, output or a clock."""

from gypsumusher_routing.active_hosts import (
    active_count,
    choose_active,
    choose_watchers,
)
from gypsumusher_routing.endpoint_state import EndpointState, Load, StageNews
from gypsumusher_routing.endpoint_table import EndpointTable
from gypsumusher_routing.engine_choice import (
    Fleet,
    Reading,
    Wish,
    choose_decode,
    choose_reading,
    transfer_s,
)
from gypsumusher_routing.events import Event, EventSplitter, OversizedEvent
from gypsumusher_routing.health import Health
from gypsumusher_routing.hosts import HostNews, HostTable, capacity_of
from gypsumusher_routing.learnt import Learnt, SeenReading
from gypsumusher_routing.link_share import LinkShare
from gypsumusher_routing.news_lag import NewsLag
from gypsumusher_routing.policy import ALL_ON, Policy, policy_without
from gypsumusher_routing.prefixes import PrefixTable
from gypsumusher_routing.retry_share import RetryDecision, RetryShare
from gypsumusher_routing.routes import RouteTable, pick_service
from gypsumusher_routing.send_account import SendAccount
from gypsumusher_routing.service_choice import choose_endpoint
from gypsumusher_routing.stage_order import (
    ASK,
    DONE,
    GIVEN_UP,
    SEND,
    WAIT,
    StageOrder,
)
from gypsumusher_routing.stage_plan import EngineView, StageChange, StagePlanner
from gypsumusher_routing.urgency import (
    HOPELESS,
    LANES,
    LATE,
    TIMELY,
    FirstEventLimits,
    abandoned_after_s,
    choose_lane,
    first_event_limit_s,
    urgency_of,
)

__all__ = [
    "ALL_ON",
    "ASK",
    "DONE",
    "GIVEN_UP",
    "SEND",
    "EndpointState",
    "EndpointTable",
    "EngineView",
    "Event",
    "EventSplitter",
    "FirstEventLimits",
    "Fleet",
    "Health",
    "HostNews",
    "HOPELESS",
    "HostTable",
    "LANES",
    "LATE",
    "Learnt",
    "Load",
    "OversizedEvent",
    "LinkShare",
    "NewsLag",
    "Policy",
    "PrefixTable",
    "Reading",
    "RetryDecision",
    "RetryShare",
    "SendAccount",
    "RouteTable",
    "SeenReading",
    "StageChange",
    "StageNews",
    "StageOrder",
    "StagePlanner",
    "TIMELY",
    "WAIT",
    "Wish",
    "abandoned_after_s",
    "active_count",
    "capacity_of",
    "choose_active",
    "choose_decode",
    "choose_endpoint",
    "choose_lane",
    "choose_reading",
    "choose_watchers",
    "first_event_limit_s",
    "pick_service",
    "policy_without",
    "transfer_s",
    "urgency_of",
]
