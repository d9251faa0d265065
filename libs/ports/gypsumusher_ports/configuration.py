"""The configuration that operators write, as the product reads it."""

from typing import NamedTuple

__all__ = [
    "ANY_TIMES",
    "AT_MOST_ONCE",
    "STREAM",
    "Configuration",
    "EngineLimits",
    "Limits",
    "Route",
    "Service",
    "ServiceShare",
]

# Kinds of request: idempotent, at most once, and a stream of events.
ANY_TIMES = "any_times"
AT_MOST_ONCE = "at_most_once"
STREAM = "stream"


class ServiceShare(NamedTuple):
    """Part of a route's requests that goes to one service.

    Attributes
    ----------
    service : str
        The service.
    weight : float
        Its weight against the other shares of the route.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """What happens to the requests of one host name below one path.

    Attributes
    ----------
    name, host, path_prefix : str
        Its name, and which requests it takes.
    kind : {"any_times", "at_most_once", "stream"}
        How often a request may run.
    timeout_s : float
        Longest time that a caller is kept waiting, in seconds.
    objective_s : float
        Time to the answer, of a stream to its first event, in seconds.
    priority : int
        Priority; 0 is served first.
    shares : tuple of ServiceShare
        Services that take its requests.
    max_endpoints : int
        Endpoints on which one request may run.
    is_resumable : bool
        Whether a broken stream may go on at another endpoint.
    max_event_gap_s : float or None
        Longest pause between two events of a stream, in seconds.
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


class EngineLimits(NamedTuple):
    """What all engines of a service have in common.

    Attributes
    ----------
    slots : int
        Requests that run in one batch.
    kv_tokens : int
        Tokens that the memory of one engine holds.
    kv_token_bytes : float
        Bytes of KV cache of one token.
    link_bits_per_s : float
        Bandwidth of one engine's link.
    handle_ttl_s : float
        Time for which a prefilled prompt is kept, in seconds.
    role_change_s : float
        Time for which a change of role takes an engine away, in seconds.
    """

    slots: int
    kv_tokens: int
    kv_token_bytes: float
    link_bits_per_s: float
    handle_ttl_s: float
    role_change_s: float


class Service(NamedTuple):
    """A group of endpoints that do the same work.

    Attributes
    ----------
    name : str
        Its name.
    health_path : str
        Path of the endpoints' health check.
    max_connections : int
        Connections that one endpoint takes from all hosts together.
    engine : EngineLimits or None
        Limits of its engines; None for a plain service.
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineLimits | None


class Limits(NamedTuple):
    """Bounds on what a caller may send.

    Attributes
    ----------
    header_bytes, body_bytes : int
        Largest header and body.
    header_timeout_s, idle_timeout_s : float
        Longest time for a header, and between two requests, in seconds.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class Configuration(NamedTuple):
    """One version of the configuration.

    Attributes
    ----------
    version : int
        Higher is newer.
    routes : tuple of Route
        All routes.
    services : dict of str to Service
        All services, by name.
    limits : Limits
        Bounds for callers.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: Limits
