"""Routing decisions for requests, without I/O and without reading a clock."""

from gypsumusher_routing.accounts import Access, AccountTable, check_access
from gypsumusher_routing.active_hosts import (
    active_host_count,
    choose_active_hosts,
    choose_watchers,
    max_store_pause_s,
)
from gypsumusher_routing.configuration_age import (
    CONFIRM_FROM_PEER,
    CONFIRM_FROM_STORE,
    AgeAnswer,
    ConfigurationAge,
    ConfirmationPlan,
    ConfirmationRole,
    key_lease_s,
)
from gypsumusher_routing.content_fingerprint import (
    FINGERPRINT_BYTES,
    ContentKeys,
    content_fingerprint,
    content_keys,
)
from gypsumusher_routing.cost_model import CostModel, PrefillObservation
from gypsumusher_routing.crashing_content import (
    REFUSED_MAX_S,
    REPORTED_FOR_S,
    CrashedRun,
    CrashingContent,
    CrashReport,
    RefusedContent,
)
from gypsumusher_routing.endpoint_limits import (
    EndpointLimits,
    LentPart,
    LimitChange,
    LimitReport,
    LimitView,
)
from gypsumusher_routing.endpoint_paths import DirectPath, RelayTable
from gypsumusher_routing.endpoint_pauses import EndpointPauses
from gypsumusher_routing.endpoint_state import EndpointState, Load, OrderedStage
from gypsumusher_routing.endpoint_table import EndpointTable
from gypsumusher_routing.engine_choice import (
    EnginePool,
    PrefillChoice,
    RoutingRequest,
    cache_transfer_s,
    choose_decode,
    choose_prefill,
    prefill_demand_s,
)
from gypsumusher_routing.engine_demand import (
    WORK_REPORT_S,
    EngineDemand,
    EngineNeeds,
    EngineWork,
    EngineWorkWindow,
    WantedEngines,
    WorkMeter,
    engines_needed,
)
from gypsumusher_routing.engine_speed import (
    EngineSpeed,
    GapReport,
    SpeedReport,
    center_speeds,
    compare_gap_ratios,
)
from gypsumusher_routing.events import Event, EventSplitter, OversizedEvent
from gypsumusher_routing.fair_share import (
    UNLIMITED,
    DemandReport,
    FairShares,
    Share,
    prefill_capacity,
    spread_retry_after_s,
)
from gypsumusher_routing.fleet_plan import (
    FleetOrder,
    FleetPlanner,
    FleetView,
)
from gypsumusher_routing.gossip_rate import GossipRateLimiter
from gypsumusher_routing.health import Health
from gypsumusher_routing.host_table import (
    HostCounts,
    HostStatus,
    HostTable,
    host_capacity,
)
from gypsumusher_routing.learned_state import (
    LearnedHost,
    LearnedState,
    decode_learned_state,
    encode_learned_state,
    has_changed,
    is_restart_alone,
    learned_speeds,
    lists_cache,
    merge_learned_states,
    restore_speed,
)
from gypsumusher_routing.load_changes import (
    NO_LOAD,
    ChangeUse,
    LoadChanges,
    SentLoads,
    apply_load_changes,
    decode_load_changes,
    decode_loads,
)
from gypsumusher_routing.membership import (
    ABSENT_FOR_S,
    Acknowledgement,
    Membership,
    RecordState,
)
from gypsumusher_routing.policy import ALL_ON, Policy, policy_without
from gypsumusher_routing.prefix_cache import PrefixCacheEstimate
from gypsumusher_routing.rendezvous import choose_hosts
from gypsumusher_routing.retry_budget import RetryBudget, RetryDecision
from gypsumusher_routing.routes import RouteTable, pick_service
from gypsumusher_routing.run_account import PossibleRun, RunAccount
from gypsumusher_routing.send_counter import (
    DeliveryRecord,
    SendCounter,
    SendFate,
    SentRequest,
)
from gypsumusher_routing.service_choice import choose_endpoint
from gypsumusher_routing.software_versions import (
    LEFT_FOR_S,
    RecordedVersions,
    VersionPresence,
)
from gypsumusher_routing.stage_order import (
    ASK,
    DONE,
    GIVEN_UP,
    SEND,
    WAIT,
    StageOrder,
)
from gypsumusher_routing.stage_plan import EngineView, StageChange, StagePlanner
from gypsumusher_routing.stop_time import ResponseTimes, ends_in_time
from gypsumusher_routing.stream_versions import (
    STREAM_KEY_BYTES,
    STREAM_LIFETIME_FACTOR,
    BegunStream,
    StreamVersions,
    stream_key,
)
from gypsumusher_routing.true_time import TrueTime
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
from gypsumusher_routing.usage_counts import (
    UsageChanges,
    UsageCollector,
    UsageCounter,
)
from gypsumusher_routing.version_lag import VersionLag

__all__ = [
    "ABSENT_FOR_S",
    "ALL_ON",
    "ASK",
    "CONFIRM_FROM_PEER",
    "CONFIRM_FROM_STORE",
    "DONE",
    "FINGERPRINT_BYTES",
    "GIVEN_UP",
    "HOPELESS",
    "LANES",
    "LATE",
    "REFUSED_MAX_S",
    "REPORTED_FOR_S",
    "SEND",
    "TIMELY",
    "WAIT",
    "Access",
    "AccountTable",
    "Acknowledgement",
    "AgeAnswer",
    "ConfigurationAge",
    "ConfirmationPlan",
    "ConfirmationRole",
    "ContentKeys",
    "CostModel",
    "CrashReport",
    "CrashedRun",
    "CrashingContent",
    "EndpointLimits",
    "EndpointPauses",
    "DeliveryRecord",
    "DirectPath",
    "EndpointState",
    "EndpointTable",
    "EnginePool",
    "EngineSpeed",
    "EngineView",
    "Event",
    "EventSplitter",
    "FirstEventLimits",
    "FleetOrder",
    "FleetPlanner",
    "FleetView",
    "GapReport",
    "GossipRateLimiter",
    "Health",
    "HostCounts",
    "HostStatus",
    "HostTable",
    "LearnedHost",
    "LearnedState",
    "LentPart",
    "LimitChange",
    "LimitReport",
    "LimitView",
    "Load",
    "Membership",
    "OrderedStage",
    "OversizedEvent",
    "Policy",
    "PossibleRun",
    "PrefillChoice",
    "PrefillObservation",
    "PrefixCacheEstimate",
    "RecordState",
    "RefusedContent",
    "RelayTable",
    "ResponseTimes",
    "RetryBudget",
    "RetryDecision",
    "RouteTable",
    "RoutingRequest",
    "RunAccount",
    "SendCounter",
    "SendFate",
    "SentRequest",
    "SpeedReport",
    "StageChange",
    "StageOrder",
    "StagePlanner",
    "TrueTime",
    "UsageChanges",
    "UsageCollector",
    "UsageCounter",
    "VersionLag",
    "abandoned_after_s",
    "active_host_count",
    "cache_transfer_s",
    "center_speeds",
    "check_access",
    "choose_active_hosts",
    "choose_decode",
    "choose_endpoint",
    "choose_hosts",
    "choose_lane",
    "choose_prefill",
    "choose_watchers",
    "compare_gap_ratios",
    "content_fingerprint",
    "content_keys",
    "first_event_limit_s",
    "host_capacity",
    "key_lease_s",
    "max_store_pause_s",
    "pick_service",
    "policy_without",
    "urgency_of",
    "NO_LOAD",
    "ChangeUse",
    "LoadChanges",
    "SentLoads",
    "apply_load_changes",
    "decode_load_changes",
    "decode_loads",
    "LEFT_FOR_S",
    "RecordedVersions",
    "VersionPresence",
    "STREAM_KEY_BYTES",
    "STREAM_LIFETIME_FACTOR",
    "BegunStream",
    "StreamVersions",
    "stream_key",
    "decode_learned_state",
    "encode_learned_state",
    "has_changed",
    "is_restart_alone",
    "learned_speeds",
    "lists_cache",
    "merge_learned_states",
    "restore_speed",
    "WORK_REPORT_S",
    "EngineDemand",
    "EngineNeeds",
    "EngineWork",
    "EngineWorkWindow",
    "WantedEngines",
    "WorkMeter",
    "ends_in_time",
    "engines_needed",
    "UNLIMITED",
    "DemandReport",
    "FairShares",
    "Share",
    "prefill_capacity",
    "prefill_demand_s",
    "spread_retry_after_s",
]
