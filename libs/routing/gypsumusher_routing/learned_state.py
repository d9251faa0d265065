"""Snapshot of what hosts have learned about a service's engines, for restarted hosts.

The first active host writes it. After a loss of all hosts, the hosts named in it share
the list calls that tell what the engines' caches hold.
"""

import math
from typing import NamedTuple

from gypsumusher_ports import DecodeError
from gypsumusher_routing.cost_model import (
    INITIAL_HANDOVER_S,
    MAX_HANDOVER_S,
    MAX_MARGIN,
    MIN_HANDOVER_S,
    MIN_MARGIN,
    CostEstimates,
)
from gypsumusher_routing.engine_speed import EngineSpeed
from gypsumusher_routing.estimates import prefill_duration_s
from gypsumusher_routing.rendezvous import choose_hosts

__all__ = [
    "LearnedHost",
    "LearnedSpeed",
    "LearnedState",
    "decode_learned_state",
    "encode_learned_state",
    "has_changed",
    "is_restart_alone",
    "learned_speeds",
    "lists_cache",
    "merge_learned_states",
    "restore_speed",
]

# Format of the stored object; objects of other formats are not read.
FORMAT = 1
# Number of hosts that list an engine's cache after a restart: the second one is for
# the case that the first one is not up.
HOSTS_PER_ENGINE = 2
# Relative change of a cost or speed from which the snapshot is written again. Each
# write is a paid call, and answers correct smaller errors soon.
CHANGE_FACTOR = 1.1
# Prompts by whose durations costs are compared, as new and cached tokens. The three
# costs themselves may change against each other without any effect.
REFERENCE_PROMPTS = ((1_000, 0), (10_000, 0), (4_000, 13_000))
# A peer to which the store has answered for longer than this host has been up, by more
# than this time, was not lost together with this host. Hosts of a common restart are
# up within about two seconds of each other.
SERVED_BEFORE_S = 3.0
# Bounds of an object's size. A deployment has tens of engines, hosts and routes.
MAX_STAGES, MAX_ROUTES, MAX_ENGINES, MAX_HOSTS = 16, 500, 5_000, 500
MAX_NAME_CHARS = 256
# Bounds of the values. Costs may be slightly below zero, as they come from a fit.
MIN_COST_S, MAX_COST_S = -1.0, 100.0
MIN_TOKENS_PER_EVENT, MAX_TOKENS_PER_EVENT = 1e-3, 1e6
# An engine's speed is between a tenth and ten times the usual one.
MAX_LOG_PERMILLE = 2_303
MAX_COUNT = 2**63 - 1


class LearnedHost(NamedTuple):
    """Host that accepted client traffic.

    Attributes
    ----------
    name, ip : str
        Name and IPv4 address.
    """

    name: str
    ip: str


class LearnedSpeed(NamedTuple):
    """Lasting speed of one start of an engine at one stage.

    Attributes
    ----------
    started_ms : int
        Start of the engine, Unix time in milliseconds.
    stage : str
        Its stage.
    log_permille : int
        Logarithm of its durations relative to the usual ones, times 1000.
    observations : int
        Number of observations behind it.
    """

    started_ms: int
    stage: str
    log_permille: int
    observations: int


class LearnedState(NamedTuple):
    """What is learned about the engines of one service.

    Attributes
    ----------
    estimates : CostEstimates
        Costs, margins, handover time and tokens per event.
    engines : dict of str to LearnedSpeed
        Speeds by endpoint id.
    hosts : tuple of LearnedHost
        Hosts that accept client traffic.
    """

    estimates: CostEstimates
    engines: dict[str, LearnedSpeed]
    hosts: tuple[LearnedHost, ...]


def encode_learned_state(learned: LearnedState) -> dict:
    """Return the content of the stored object."""
    estimates = learned.estimates
    return {
        "format": FORMAT,
        "costs": {
            stage: [float(f"{cost_s:.5g}") for cost_s in costs_s]
            for stage, costs_s in estimates.costs_s.items()
        },
        "margins": {s: round(margin, 3) for s, margin in estimates.margins.items()},
        "handover_ms": round(estimates.handover_s * 1000.0, 2),
        "tokens_per_event": {
            route: float(f"{ratio:.5g}")
            for route, ratio in estimates.tokens_per_event.items()
        },
        "engines": {name: list(speed) for name, speed in learned.engines.items()},
        "hosts": [list(host) for host in learned.hosts],
    }


def decode_learned_state(name: str, content) -> LearnedState:
    """Decode the content of a stored object.

    Parameters
    ----------
    name : str
        Name of the object, for errors.
    content : object
        Its content, from JSON.

    Raises
    ------
    DecodeError
        When any part has a wrong format or is out of range.
    """
    try:
        return _decode(content)
    except (ValueError, TypeError, KeyError) as error:
        raise DecodeError("learned_state", name, repr(error)[:200]) from error


def has_changed(stored: LearnedState | None, current: LearnedState) -> bool:
    """Return whether the current state differs enough to be written."""
    if stored is None or set(stored.hosts) != set(current.hosts):
        return True
    for stage, costs_s in current.estimates.costs_s.items():
        stored_s = stored.estimates.costs_s.get(stage)
        if stored_s is None or _differ(stored_s, costs_s):
            return True
    max_change = 1000.0 * math.log(CHANGE_FACTOR)
    for endpoint_id, speed in current.engines.items():
        known = stored.engines.get(endpoint_id)
        if known is None or known[:2] != speed[:2]:
            return True
        if abs(known.log_permille - speed.log_permille) > max_change:
            return True
    return False


def merge_learned_states(
    stored: LearnedState | None, own: LearnedState, states
) -> LearnedState:
    """Return a host's own state, completed by what is stored.

    A host that has started recently has not learned about every stage and engine.

    Parameters
    ----------
    stored : LearnedState or None
        What is stored, if anything.
    own : LearnedState
        What this host has learned.
    states : iterable of EndpointState
        The service's engines; speeds of others are left out.
    """
    if stored is None:
        return own
    ours, theirs = own.estimates, stored.estimates
    routes = {**theirs.tokens_per_event, **ours.tokens_per_event}
    if len(routes) > MAX_ROUTES:
        routes = ours.tokens_per_event
    estimates = CostEstimates(
        {**theirs.costs_s, **ours.costs_s},
        {**theirs.margins, **ours.margins},
        # The initial value means that this host has seen no handover.
        theirs.handover_s if ours.handover_s == INITIAL_HANDOVER_S else ours.handover_s,
        routes,
    )
    engines = dict(own.engines)
    for state in states:
        endpoint_id = state.record.endpoint_id
        speed = stored.engines.get(endpoint_id)
        if speed is None or not _is_of(speed, state):
            continue
        known = engines.get(endpoint_id)
        if known is None or known.observations < speed.observations:
            engines[endpoint_id] = speed
    return LearnedState(estimates, engines, own.hosts)


def learned_speeds(states) -> dict[str, LearnedSpeed]:
    """Return the speeds of the engines about which something is known, by id."""
    speeds = {}
    for state in states:
        if not isinstance(state.slowdown, EngineSpeed) or state.stage is None:
            continue
        log_factor, observations = state.slowdown.snapshot()
        if not observations:
            continue
        log_permille = round(1000.0 * log_factor)
        log_permille = max(-MAX_LOG_PERMILLE, min(MAX_LOG_PERMILLE, log_permille))
        speeds[state.record.endpoint_id] = LearnedSpeed(
            state.record.started_ms, state.stage, log_permille, int(observations)
        )
    return speeds


def restore_speed(state, speed: LearnedSpeed) -> bool:
    """Apply a speed to an engine; return whether it was applied.

    An engine with another start or stage, or one that this host has observed itself,
    keeps its speed.
    """
    if not isinstance(state.slowdown, EngineSpeed) or not _is_of(speed, state):
        return False
    _, observations = state.slowdown.snapshot()
    if observations:
        return False
    state.slowdown.restore(speed.log_permille / 1000.0, speed.observations)
    return True


def lists_cache(own_name: str, hosts, endpoint_id: str) -> bool:
    """Return whether a host is one of those that list an engine's cache.

    Parameters
    ----------
    own_name : str
        Name of the host.
    hosts : iterable of LearnedHost
        Hosts that divide the engines.
    endpoint_id : str
        The engine.
    """
    chosen = choose_hosts(hosts, endpoint_id.encode(), HOSTS_PER_ENGINE)
    return any(host.name == own_name for host in chosen)


def is_restart_alone(up_s: float, peers) -> bool:
    """Return whether other hosts have served since before this one started.

    Durations are compared, as the hosts' clocks may differ by seconds.

    Parameters
    ----------
    up_s : float
        Time since this host's start, in seconds.
    peers : iterable of HostStatus
        Live hosts.
    """
    return any(
        peer.is_ready and peer.store_reachable_s > up_s + SERVED_BEFORE_S
        for peer in peers
    )


def _is_of(speed, state):
    """Return whether a speed is that of an engine's present start and stage."""
    return (speed.started_ms, speed.stage) == (state.record.started_ms, state.stage)


def _differ(costs_s, other_costs_s):
    """Return whether costs give durations that differ by more than the threshold."""
    for new_tokens, cached_tokens in REFERENCE_PROMPTS:
        one_s = prefill_duration_s(costs_s, new_tokens, cached_tokens)
        other_s = prefill_duration_s(other_costs_s, new_tokens, cached_tokens)
        if max(one_s, other_s) > CHANGE_FACTOR * min(one_s, other_s):
            return True
    return False


def _decode(content):
    """Return the decoded content; raise ValueError, TypeError or KeyError."""
    if not isinstance(content, dict) or content["format"] != FORMAT:
        raise ValueError("unsupported format")
    costs_s = {
        stage: tuple(_number(cost_s, MIN_COST_S, MAX_COST_S) for cost_s in costs)
        for stage, costs in _items(content["costs"], MAX_STAGES)
    }
    if any(len(costs) != 3 for costs in costs_s.values()):
        raise ValueError("a stage without three costs")
    margins = {
        stage: _number(margin, MIN_MARGIN, MAX_MARGIN)
        for stage, margin in _items(content["margins"], MAX_STAGES)
    }
    handover_ms = content["handover_ms"]
    handover_s = _number(handover_ms, 1e3 * MIN_HANDOVER_S, 1e3 * MAX_HANDOVER_S) / 1e3
    ratios = {
        route: _number(ratio, MIN_TOKENS_PER_EVENT, MAX_TOKENS_PER_EVENT)
        for route, ratio in _items(content["tokens_per_event"], MAX_ROUTES)
    }
    engines = {}
    for endpoint_id, entry in _items(content["engines"], MAX_ENGINES):
        started_ms, stage, log_permille, observations = entry
        engines[endpoint_id] = LearnedSpeed(
            _integer(started_ms, 0, MAX_COUNT),
            _name(stage),
            _integer(log_permille, -MAX_LOG_PERMILLE, MAX_LOG_PERMILLE),
            _integer(observations, 0, MAX_COUNT),
        )
    hosts = content["hosts"]
    if not isinstance(hosts, list) or len(hosts) > MAX_HOSTS:
        raise ValueError("hosts are no list, or too many")
    named = tuple(LearnedHost(_name(name), _ipv4(ip)) for name, ip in hosts)
    estimates = CostEstimates(costs_s, margins, handover_s, ratios)
    return LearnedState(estimates, engines, named)


def _items(table, max_count):
    """Return the items of a table with names as keys."""
    if not isinstance(table, dict) or len(table) > max_count:
        raise ValueError("a part is no table, or too large")
    return [(_name(key), value) for key, value in table.items()]


def _name(text):
    """Return a name that is not empty and can be encoded."""
    if not isinstance(text, str) or not 0 < len(text) <= MAX_NAME_CHARS:
        raise ValueError("a name is missing, empty or too long")
    text.encode()
    return text


def _number(value, lower, upper):
    """Return a number within bounds as float; NaN is within none."""
    if type(value) not in (int, float) or not lower <= value <= upper:
        raise ValueError("a number is missing or out of range")
    return float(value)


def _integer(value, lower, upper):
    """Return an integer within bounds."""
    if type(value) is not int or not lower <= value <= upper:
        raise ValueError("an integer is missing or out of range")
    return value


def _ipv4(text):
    """Return an IPv4 address; another text would be resolved as a name when sending."""
    octets = text.split(".") if isinstance(text, str) else ()
    if len(octets) != 4 or not all(
        octet.isascii() and octet.isdigit() and len(octet) <= 3 and int(octet) < 256
        for octet in octets
    ):
        raise ValueError("an address is missing or not IPv4")
    return text
