"""The operators' configuration: routes, services, client accounts and limits."""

from typing import NamedTuple

__all__ = [
    "ANY_TIMES",
    "AT_MOST_ONCE",
    "STREAM",
    "ClientAccount",
    "Configuration",
    "EngineLimits",
    "Limits",
    "Route",
    "ScaleLimits",
    "Service",
    "ServiceShare",
]

# Kinds of route: idempotent requests, requests that run at most once, event streams.
ANY_TIMES = "any_times"
AT_MOST_ONCE = "at_most_once"
STREAM = "stream"


class ServiceShare(NamedTuple):
    """Share of a route's requests that goes to one service.

    Attributes
    ----------
    service : str
        Name of the service.
    weight : float
        Weight of this share relative to the other shares of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """How requests for one host name and path prefix are served.

    Attributes
    ----------
    name, host, path_prefix : str
        Name of the route, and the host name and path prefix of its requests.
    kind : {"any_times", "at_most_once", "stream"}
        Whether a request may run repeatedly or at most once, or is answered by a
        stream of events.
    timeout_s : float
        Longest time that a caller is kept waiting for a response, in seconds.
    objective_s : float
        Latency objective in seconds: time to the response, for a stream to its first
        event.
    priority : int
        0 is served first.
    shares : tuple of ServiceShare
        Services that run the requests, with their weights.
    max_endpoints : int
        Number of endpoints that may run the same request.
    is_resumable : bool
        Whether another endpoint may continue a stream that broke off.
    max_event_gap_s : float or None
        Objective for the longest pause between two events of a stream, in seconds.
    requires_key : bool
        Whether a request must carry the key of a client account, in a configuration
        that has accounts.
    """

    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_s: float
    objective_s: float
    priority: int
    shares: tuple[ServiceShare, ...]
    max_endpoints: int
    is_resumable: bool
    max_event_gap_s: float | None
    requires_key: bool = True


class EngineLimits(NamedTuple):
    """Capacity and timing that all engines of a service have in common.

    Attributes
    ----------
    slots : int
        Requests that one engine runs in a batch.
    kv_tokens : int
        Capacity of one engine's KV cache, in tokens.
    kv_token_bytes : float
        Size of one token in the KV cache, in bytes.
    link_bits_per_s : float
        Bandwidth of one engine's network link, in bits per second.
    handle_ttl_s : float
        Time for which an engine keeps the KV cache of a prefilled prompt, in seconds.
    role_change_s : float
        Time for which an engine serves nothing while it changes its stage, in seconds.
    max_prompt_tokens : int or None
        Largest prompt that an engine can hold; None if the configuration states no
        capacity, so that `kv_tokens` is a guess.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: float
    link_bits_per_s: float
    handle_ttl_s: float
    role_change_s: float
    max_prompt_tokens: int | None = None


class ScaleLimits(NamedTuple):
    """How many endpoints of a service this system may order, and their prices.

    Attributes
    ----------
    min_count, max_count : int
        Least and greatest number in one zone, reclaimable ones included.
    boot_s : float
        Time from an order until a new endpoint serves, in seconds.
    zone_prices : dict of str to float
        Relative price of an endpoint by zone.
    has_reclaimable : bool
        Whether there are endpoints that cost less and may be reclaimed.
    """

    min_count: int
    max_count: int
    boot_s: float
    zone_prices: dict[str, float]
    has_reclaimable: bool


class Service(NamedTuple):
    """A group of endpoints that do the same work.

    Attributes
    ----------
    name : str
        Name of the service.
    health_path : str
        Path of the endpoints' health check.
    max_connections : int
        Connections that one endpoint accepts from all hosts together.
    engine : EngineLimits or None
        Limits of the service's engines; None for a service that runs no models.
    scale : ScaleLimits or None
        Limits on ordering endpoints; None if their number is fixed.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineLimits | None
    scale: ScaleLimits | None = None


class Limits(NamedTuple):
    """Limits on callers' requests and connections.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest header and largest body of a request, in bytes.
    header_timeout_s, idle_timeout_s : float
        Longest time for the header of a request, and longest time between two requests
        on one connection, in seconds.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class ClientAccount(NamedTuple):
    """A client account, which its callers' requests name by a key.

    Attributes
    ----------
    name : str
        Name of the account, as endpoints and usage reports state it.
    keys : tuple of str
        Keys that are in force.
    priority : int or None
        Takes precedence over the route's priority; None leaves that of the route.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None

    def __repr__(self):
        # Keys are secrets and must not reach a log line.
        return f"ClientAccount(name={self.name!r}, keys={len(self.keys)})"


class Configuration(NamedTuple):
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Higher is newer.
    routes : tuple of Route
        All routes.
    services : dict of str to Service
        All services by name.
    limits : Limits
        Limits on callers' requests and connections.
    accounts : tuple of ClientAccount or None
        All client accounts; None when requests carry no keys.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
    accounts: tuple[ClientAccount, ...] | None = None
