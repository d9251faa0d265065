"""Sizes, limits and faults of the systems that a soak run starts."""

from typing import NamedTuple

from plan import KINDS, SHORT_RATE, FaultRate
from records import IDEMPOTENT, NON_IDEMPOTENT, PROMPT, STREAM, RetryLimit

__all__ = ["DEPLOYMENTS", "ENGINES", "PLAIN", "SMALL", "Deployment"]


# Names of the services.
PLAIN, ENGINES = "svc", "engines"


class Deployment(NamedTuple):
    """What a soak run starts, and the faults that it draws.

    Attributes
    ----------
    hosts, endpoints : int
        Number of hosts, and of endpoints of the plain service.
    prefill_engines, decode_engines : int
        Number of engines of each stage; 0 where streams go to the plain service.
    callers : int
        Number of callers.
    request_kinds : tuple of str
        Kinds of requests, drawn uniformly.
    request_interval_s : tuple of float
        Range of the delay between two requests of a caller.
    retry_limit : RetryLimit
        The operator's limit on repeats, per service.
    fault_kinds : dict of str to (float, float)
        Kinds of faults with their minimum and maximum duration.
    fault_rate : FaultRate
        How often they begin.
    accounts : int
        Number of client accounts; 0 where callers need no key.
    zones : int
        Number of availability zones.
    spares : int
        Hosts that may join in place of others.
    max_connections : int
        Connections that an engine accepts from all hosts together.
    plain_slots : int or None
        Requests that a plain endpoint runs at once; None for any number.
    takes_stage_orders : bool
        Whether engines change their stage when a host orders it.
    heartbeat_s : float
        Interval at which endpoints renew their entries, in seconds.
    shares_content : bool
        Whether all requests of a kind have the same content.
    have_served : bool
        Whether the hosts have served before and have their records in the store.
    lead_s : float
        Time from when all hosts are ready until callers start.
    versions : int
        Number of software versions of endpoints that serve side by side at first.
    event_interval_s : float
        Delay between two events of a stream, in seconds.
    has_parts : bool
        Whether prompts have parts, some of which other prompts share.
    callers_take_up_streams : bool
        Whether callers take streams up again that have broken off, or that they left.
    duration_factors : tuple of float
        Duration of the work at the endpoints relative to the usual one, repeated over
        all endpoints.
    callers_wait : bool
        Whether a caller waits for each response before its next request. Otherwise
        requests come at the same rate while responses are late.
    """

    hosts: int
    endpoints: int
    prefill_engines: int
    decode_engines: int
    callers: int
    request_kinds: tuple[str, ...]
    request_interval_s: tuple[float, float]
    retry_limit: RetryLimit
    fault_kinds: dict[str, tuple[float, float]]
    fault_rate: FaultRate
    accounts: int = 0
    zones: int = 2
    spares: int = 0
    max_connections: int = 360
    plain_slots: int | None = None
    takes_stage_orders: bool = False
    heartbeat_s: float = 0.5
    shares_content: bool = True
    have_served: bool = False
    lead_s: float = 0.0
    callers_wait: bool = True
    versions: int = 1
    event_interval_s: float = 0.02
    callers_take_up_streams: bool = False
    has_parts: bool = False
    duration_factors: tuple[float, ...] = (1.0,)

    @property
    def has_engines(self):
        """Whether streams go to engines with stages."""
        return self.decode_engines > 0

    def service_of(self, kind):
        """Return the name of the service that runs a kind of request."""
        is_stream = kind in (STREAM, PROMPT)
        return ENGINES if is_stream and self.has_engines else PLAIN


# Faults of minutes: longer than the silence after which hosts forget each other, than
# the rereading of their records, and than a retry window.
LONG_KINDS = {
    "host_kill": (0.1, 5.0),
    "host_pause": (0.3, 8.0),
    "host_stop": (0.0, 1.0),
    "host_signals": (0.0, 0.5),
    "all_hosts_kill": (0.0, 0.5),
    "hosts_apart": (5.0, 90.0),
    "records_lost": (0.0, 0.0),
    "endpoint_restart": (0.1, 2.0),
    "endpoint_unframed": (2.0, 8.0),
    "all_endpoints_full": (6.0, 14.0),
    "all_endpoints_busy": (6.0, 14.0),
    "link_silent": (1.0, 6.0),
    "all_links_silent": (1.0, 6.0),
    "link_reset": (0.0, 0.0),
    "host_store_cut": (2.0, 20.0),
    "host_links_cut": (5.0, 14.0),
    "host_links_partly_cut": (2.0, 12.0),
    "store_refuse": (2.0, 20.0),
}
# Endpoints reject in most runs of such a plan, so that retries come near to the limit.
LONG_RATE = FaultRate(
    per_s=0.25, kinds=5, always=("all_endpoints_full", "all_endpoints_busy")
)
# Idempotent requests are listed twice to be twice as frequent.
_PLAIN_KINDS = (IDEMPOTENT, IDEMPOTENT, NON_IDEMPOTENT)
SMALL = Deployment(
    hosts=3,
    endpoints=4,
    prefill_engines=0,
    decode_engines=0,
    callers=8,
    request_kinds=(*_PLAIN_KINDS, STREAM),
    request_interval_s=(0.01, 0.05),
    retry_limit=RetryLimit(0.2, 30.0, 10.0),
    fault_kinds=KINDS,
    fault_rate=SHORT_RATE,
)
SEVEN_HOSTS = Deployment(
    hosts=7,
    endpoints=3,
    prefill_engines=4,
    decode_engines=8,
    callers=24,
    request_kinds=(*_PLAIN_KINDS, STREAM, PROMPT, PROMPT, PROMPT, PROMPT),
    request_interval_s=(0.1, 0.8),
    retry_limit=RetryLimit(0.2, 54.0, 10.0),
    fault_kinds=LONG_KINDS,
    fault_rate=LONG_RATE,
)
EIGHT_HOSTS = SEVEN_HOSTS._replace(
    hosts=8, endpoints=4, retry_limit=RetryLimit(0.2, 56.0, 10.0)
)
# Without stale reads: they make the store break its promise that reads are current,
# on which the withdrawal of keys rests. Attempts at crashing content carry no key.
# Signals in series concern no account.
_OTHER_KINDS = {"store_stale", "crashing_content", "host_signals"}
ACCOUNT_KINDS = {kind: KINDS[kind] for kind in sorted(set(KINDS) - _OTHER_KINDS)}
ACCOUNT_KINDS |= {
    "key_change": (0.0, 0.0),
    "cloud_refuse": (0.5, 4.0),
    "cloud_silent": (0.5, 4.0),
    "cloud_lost": (0.5, 4.0),
    "hosts_apart": (1.0, 6.0),
}
ACCOUNTS = SMALL._replace(
    accounts=6,
    fault_kinds=ACCOUNT_KINDS,
    fault_rate=FaultRate(per_s=1.2, kinds=7, always=("key_change",)),
)
# The kinds of faults of an operator who replaces hosts, orders and reclaims engines,
# and withdraws keys. Durations as in `LONG_KINDS`; partitions last for over a minute.
FLEET_KINDS = {
    "traffic_burst": (3.0, 10.0),
    "traffic_shift": (3.0, 12.0),
    "callers_repeat": (4.0, 8.0),
    "callers_leave": (4.0, 8.0),
    "endpoint_restart": (0.1, 4.0),
    "endpoint_flap": (5.0, 8.0),
    "endpoint_hang": (2.0, 6.0),
    "endpoint_break": (2.0, 6.0),
    "endpoint_unframed": (2.0, 6.0),
    "endpoint_leave": (0.0, 0.0),
    "endpoints_dark": (4.0, 20.0),
    "endpoints_grey": (4.0, 8.0),
    "endpoints_lose": (4.0, 8.0),
    "endpoints_released": (6.0, 12.0),
    "all_endpoints_busy": (6.0, 14.0),
    "all_endpoints_full": (4.0, 12.0),
    "all_links_silent": (1.0, 12.0),
    "all_links_half_reset": (0.0, 0.0),
    "zone_reclaimed": (2.0, 6.0),
    "handles_lapse": (4.0, 8.0),
    "transfers_slow": (4.0, 8.0),
    "orders_late": (4.0, 8.0),
    "host_kill": (0.1, 3.5),
    "host_pause": (0.3, 8.0),
    "host_slow": (4.0, 8.0),
    "host_stop": (0.0, 1.0),
    "host_replace": (0.5, 2.0),
    "half_hosts_kill": (0.1, 2.0),
    "hosts_roll": (8.0, 20.0),
    "hosts_apart": (5.0, 75.0),
    "hosts_store_cut": (2.0, 9.0),
    "host_links_cut": (5.0, 12.0),
    "host_links_partly_cut": (2.0, 10.0),
    "zone_lossy": (4.0, 8.0),
    "store_refuse": (2.0, 6.0),
    "store_silent": (2.0, 6.0),
    "store_lost": (2.0, 6.0),
    "store_slow": (2.0, 6.0),
    "store_lapse": (2.0, 6.0),
    "store_forget": (0.0, 0.0),
    "config_change": (0.0, 0.0),
    "key_change": (0.0, 0.0),
    "cloud_refuse": (2.0, 6.0),
    "cloud_silent": (2.0, 6.0),
    "cloud_lost": (2.0, 6.0),
}
SIXTY_NINE_HOSTS = Deployment(
    hosts=69,
    endpoints=3,
    prefill_engines=16,
    decode_engines=29,
    callers=48,
    request_kinds=(
        IDEMPOTENT,
        *[NON_IDEMPOTENT] * 3,
        *[STREAM] * 2,
        *[PROMPT] * 5,
    ),
    request_interval_s=(0.1, 0.5),
    retry_limit=RetryLimit(0.2, 178.0, 10.0),
    fault_kinds=FLEET_KINDS,
    fault_rate=FaultRate(per_s=0.35, kinds=12, always=("all_endpoints_busy",)),
    accounts=12,
    zones=3,
    spares=13,
    max_connections=730,
    plain_slots=6,
    takes_stage_orders=True,
    heartbeat_s=1.2,
    shares_content=False,
    have_served=True,
    lead_s=16.0,
    callers_wait=False,
)
# Releases in series, while hosts and endpoints are lost, stopped and cut off.
VERSION_KINDS = {
    "release": (3.0, 8.0),
    "host_kill": (0.1, 2.0),
    "host_pause": (0.3, 3.0),
    "host_stop": (0.0, 1.0),
    "all_hosts_kill": (0.0, 0.5),
    "hosts_apart": (1.0, 6.0),
    "endpoint_restart": (0.1, 2.0),
    "endpoint_break": (0.5, 3.0),
    "endpoint_full": (0.5, 3.0),
    "link_reset": (0.0, 0.0),
    "link_silent": (0.3, 3.0),
    "store_refuse": (0.5, 4.0),
    "store_silent": (0.5, 4.0),
    "store_lost": (0.5, 2.0),
    "store_lapse": (0.5, 3.0),
    "store_forget": (0.0, 0.0),
    "host_store_cut": (0.5, 4.0),
    "config_change": (0.0, 0.0),
}
VERSIONS = SMALL._replace(
    hosts=5,
    endpoints=8,
    callers=16,
    request_kinds=(IDEMPOTENT, STREAM, STREAM, STREAM),
    fault_kinds=VERSION_KINDS,
    fault_rate=FaultRate(per_s=1.2, kinds=6, always=("release",)),
    versions=2,
    event_interval_s=0.1,
    callers_take_up_streams=True,
)
# Prompts with a part that crashes engines, beside engines that crash for other reasons,
# and hosts that are lost, stopped and cut off.
PART_KINDS = {
    "crashing_part": (6.0, 10.0),
    "host_kill": (0.1, 2.0),
    "host_pause": (0.3, 3.0),
    "host_stop": (0.0, 1.0),
    "all_hosts_kill": (0.0, 0.5),
    "hosts_apart": (1.0, 4.0),
    "endpoint_restart": (0.1, 2.0),
    "endpoint_break": (0.5, 3.0),
    "endpoint_errors": (0.5, 3.0),
    "link_reset": (0.0, 0.0),
    "link_silent": (0.3, 3.0),
    "store_refuse": (0.5, 4.0),
    "store_silent": (0.5, 4.0),
    "store_lost": (0.5, 2.0),
    "host_store_cut": (0.5, 4.0),
    "config_change": (0.0, 0.0),
}
PARTS = SMALL._replace(
    hosts=4,
    endpoints=2,
    prefill_engines=3,
    decode_engines=9,
    callers=16,
    request_kinds=(IDEMPOTENT, STREAM, PROMPT, PROMPT),
    request_interval_s=(0.05, 0.3),
    retry_limit=RetryLimit(0.2, 54.0, 10.0),
    fault_kinds=PART_KINDS,
    fault_rate=FaultRate(per_s=0.8, kinds=6, always=("crashing_part",)),
    shares_content=False,
    has_parts=True,
)
# Endpoints that say in their responses that they leave, or want no requests for a
# while, beside a store that is away, and hosts that are lost, stopped and cut off.
NOTICE_KINDS = {
    "endpoint_leave_unlisted": (0.0, 0.0),
    "endpoints_pause": (1.0, 5.0),
    "all_endpoints_pause": (0.5, 2.0),
    "endpoint_leave": (0.0, 0.0),
    "endpoint_full": (0.5, 3.0),
    "endpoint_errors": (0.5, 3.0),
    "endpoint_restart": (0.1, 2.0),
    "host_kill": (0.1, 2.0),
    "host_pause": (0.3, 3.0),
    "host_stop": (0.0, 1.0),
    "all_hosts_kill": (0.0, 0.5),
    "hosts_apart": (1.0, 4.0),
    "host_links_cut": (4.0, 8.0),
    "host_links_partly_cut": (1.0, 6.0),
    "link_reset": (0.0, 0.0),
    "link_silent": (0.3, 3.0),
    "store_refuse": (0.5, 4.0),
    "store_silent": (0.5, 4.0),
    "store_lost": (0.5, 2.0),
    "store_lapse": (0.5, 3.0),
    "host_store_cut": (0.5, 4.0),
    "config_change": (0.0, 0.0),
}
NOTICES = PARTS._replace(
    endpoints=4,
    prefill_engines=2,
    decode_engines=4,
    request_kinds=(IDEMPOTENT, NON_IDEMPOTENT, STREAM, PROMPT),
    request_interval_s=(0.02, 0.1),
    fault_kinds=NOTICE_KINDS,
    fault_rate=FaultRate(
        per_s=1.0, kinds=6, always=("endpoint_leave_unlisted", "endpoints_pause")
    ),
    has_parts=False,
)
# Engines of which some take over twice as long as others, slow down for a while or
# leave with their zone, a client account that asks for most, entries of another writer,
# and the loss of all hosts, after which the engines still have their prefix caches.
UNEVEN_KINDS = {
    "account_flood": (4.0, 8.0),
    "all_hosts_kill": (0.0, 0.5),
    "engines_slow": (0.6, 3.0),
    "odd_entries": (2.0, 5.0),
    "zone_reclaimed": (2.0, 4.0),
    "traffic_burst": (2.0, 5.0),
    "host_kill": (0.1, 2.0),
    "host_pause": (0.3, 3.0),
    "hosts_apart": (1.0, 4.0),
    "endpoint_restart": (0.1, 2.0),
    "store_refuse": (0.5, 4.0),
    "store_silent": (0.5, 4.0),
    "store_lost": (0.5, 2.0),
    "host_store_cut": (0.5, 4.0),
    "config_change": (0.0, 0.0),
}
UNEVEN = PARTS._replace(
    accounts=8,
    fault_kinds=UNEVEN_KINDS,
    fault_rate=FaultRate(per_s=0.8, kinds=7, always=("account_flood", "engines_slow")),
    duration_factors=(0.7, 0.7, 1.7),
)
DEPLOYMENTS = {
    "small": SMALL,
    "versions": VERSIONS,
    "accounts": ACCOUNTS,
    "parts": PARTS,
    "uneven": UNEVEN,
    "notices": NOTICES,
    "seven-hosts": SEVEN_HOSTS,
    "eight-hosts": EIGHT_HOSTS,
    "sixty-nine-hosts": SIXTY_NINE_HOSTS,
}
