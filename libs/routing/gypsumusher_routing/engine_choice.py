"""Choice of the engines that prefill a prompt and decode its tokens.

For long prompts with short outputs whose parts are mostly shared: prefill is nearly all
of the work, and a prompt that is prefilled where its parts are cached costs a fraction.
A prompt is prefilled by a prefill engine, which hands its KV cache over to a decode
engine, or by the decode engine itself, whichever is expected to finish first.
"""

from typing import NamedTuple

from gypsumusher_ports import EngineLimits, Generation
from gypsumusher_routing.cost_model import CostModel
from gypsumusher_routing.endpoint_state import EndpointState
from gypsumusher_routing.fair_share import UNLIMITED, Share
from gypsumusher_routing.policy import ALL_ON, Policy
from gypsumusher_routing.rendezvous import rendezvous_weight
from gypsumusher_routing.urgency import (
    HOPELESS,
    LATE,
    TIMELY,
    FirstEventLimits,
    choose_lane,
)

__all__ = [
    "EnginePool",
    "PrefillChoice",
    "RoutingRequest",
    "cache_transfer_s",
    "choose_decode",
    "choose_prefill",
    "prefill_demand_s",
]

# Part of the objective that is spent on the caller's connection and the network.
NETWORK_OVERHEAD_S = 0.02
# Setup time of a fetch, besides the transfer.
FETCH_SETUP_S = 0.005
# Duration of a transfer between zones, relative to one within a zone.
OTHER_ZONE_FACTOR = 2.0
# Cost of a health penalty of 1, as waiting time.
PENALTY_COST_S = 0.5
# Cost of a prefill at a decode engine per running request, as a share of the prefill's
# duration. The engine runs it in chunks between the decode steps, so each stream is
# delayed by a part of it.
INTERFERENCE_PER_REQUEST = 0.5
# Duration up to which a prefill counts as harmless to streams, as a share of its
# request's objective. With objectives of 0.2 s, prefills of 0.08 s next to streams made
# a third of the long answers end too late.
HARMLESS_SHARE = 0.1
# Many short prefills slow streams down as much as a long one. Streams whose gaps come
# close to the allowed ones tolerate no more of them, however short they are. Gap ratios
# up to the first value cost nothing; above it, each second of prefill costs the second
# value, in seconds, per running request and per unit of excess.
HARMLESS_GAP_RATIO, INTERFERENCE_PER_GAP_RATIO = 0.7, 2.0
# Cost of each expected event of an answer, per unit of excess gap ratio at the engine.
# It directs long answers to engines that prefill little, and prefills to engines with
# few streams, so that engines specialize.
EVENT_COST_S = 0.003
# Engines slower than the usual one by up to this factor count as usual: estimates from
# a few observations differ by as much, and must not unbalance engines of equal speed.
USUAL_FACTOR = 1.15
# Cost of a stream that ends late because of a gap, as waiting time: half of what the
# answer is worth, at a hundredth for 15 ms.
LATE_STREAM_COST_S = 0.75
# Expected gap, as a fraction of the allowed one, from which a stream may be late, and
# from which it is.
POSSIBLY_LATE_RATIO, LATE_RATIO = 0.8, 1.2
# Longest gap of a stream of some ten events, relative to the gap ratio of its engine,
# which is a quantile of 0.8. For an exponential distribution it is 1.7; the gaps of
# engines are assumed to vary less.
LONGEST_GAP_FACTOR = 1.4
# Gap ratio, relative to the median over the engines, from which an engine straggles.
STRAGGLER_FACTOR = 1.25
# Chunks into which an engine divides the prefill of a prompt in place. One of them is
# run between two tokens.
PREFILL_CHUNKS = 4
# Share of a prompt's shared tokens that is assumed to be cached at its home engine when
# this host has no information: other hosts that saw the tokens have sent them there.
HOME_CACHED_SHARE = 0.5
# Minimum number of tokens worth fetching. Fewer tokens are prefilled again, as the
# setup of a transfer takes as long.
MIN_FETCH_TOKENS = 512
# Cost of an engine in another zone than this host, as waiting time. A long prompt's
# request has about 17 KB, and traffic between zones is paid for by the byte: about a
# hundredth of what the answer is worth, which is what 15 ms of waiting cost on average.
OTHER_ZONE_COST_S = 0.015
# Cost of a full batch relative to an empty one when a decode engine is chosen. It
# balances the load where nothing else decides.
FULL_BATCH_COST_S = 0.05
# Exponent of an engine's speed in the comparison of engines. With the whole factor, all
# hosts prefer the same few fast engines, whose queues and caches overflow: shared parts
# are evicted there and prefilled again. From the second value on, an engine is a
# straggler and the whole factor counts.
SPEED_EXPONENT, STRAGGLER_SLOWDOWN = 0.5, 2.0
# Share of an engine's slots, and of a host's connections to it, above which it gets no
# late prompts. The rest is reserved for timely ones.
LATE_SHARE = 0.5
# Costs are compared in steps of this size; ties are broken at random.
TIE_S = 0.001


class EnginePool(NamedTuple):
    """Engines that a request may use, with what is known of all of them.

    Attributes
    ----------
    states : list of EndpointState
        Engines of the service that may get new requests.
    limits : EngineLimits
        Limits that the engines have in common.
    cost_model : CostModel
        Prefill costs estimated from the engines' answers.
    own_zone : str
        Zone of this host.
    max_connections : int
        Maximum number of connections from this host to one engine.
    policy : Policy
        Switches of the routing mechanisms.
    """

    states: list[EndpointState]
    limits: EngineLimits
    cost_model: CostModel
    own_zone: str
    max_connections: int
    policy: Policy = ALL_ON


class RoutingRequest(NamedTuple):
    """A request to be routed, with its time limits.

    Attributes
    ----------
    generation : Generation
        The request's prompt and output limits.
    objective_s : float
        Objective of its route, in seconds.
    objective_left_s : float
        Time until its first event is late, in seconds.
    first_event_limits : FirstEventLimits
        Time limits for the first event.
    expected_events : float
        Number of events that its answer is expected to have.
    share : Share
        Its share of the capacity, which depends on its account and its class.
    """

    generation: Generation
    objective_s: float
    objective_left_s: float
    first_event_limits: FirstEventLimits
    expected_events: float = 1.0
    share: Share = UNLIMITED


class PrefillChoice(NamedTuple):
    """Engine chosen to prefill a prompt, with the expectations behind the choice.

    Attributes
    ----------
    state : EndpointState
        The engine.
    is_disaggregated : bool
        Whether another engine decodes the tokens.
    new_tokens, cached_tokens : int
        Tokens to be prefilled, and tokens before them that are assumed to be cached.
    cost_s : float
        Expected duration of the prefill at the usual speed of the engine's stage, in
        seconds.
    queue_s : float
        Expected duration of the prefills ahead of it at that speed, in seconds.
    expected_s : float
        Expected time until the first token, in seconds.
    fetch_from : EndpointState or None
        Engine from which it first fetches parts that it has not cached itself.
    fetch_s : float
        Expected duration of the fetch, in seconds.
    lane : {"timely", "late", "hopeless"}
        Priority class of the prompt at the engine.
    is_delayed : bool
        Whether the timely prompts ahead alone make it late.
    """

    state: EndpointState
    is_disaggregated: bool
    new_tokens: int
    cached_tokens: int
    cost_s: float
    queue_s: float
    expected_s: float
    fetch_from: EndpointState | None
    fetch_s: float
    lane: str
    is_delayed: bool = False

    @property
    def fetch_address(self):
        """Address of the engine to fetch from, or None."""
        return None if self.fetch_from is None else self.fetch_from.record.address


def choose_prefill(
    now_s: float, pool: EnginePool, request: RoutingRequest, draw
) -> PrefillChoice | None:
    """Return the engine to prefill a prompt, or None if no engine can decode it.

    Parameters
    ----------
    now_s : float
        Current time, in seconds.
    pool : EnginePool
        Engines to choose from.
    request : RoutingRequest
        The request.
    draw : callable
        Returns a random number in [0, 1), which breaks ties.
    """
    states = pool.states
    decode_states = [state for state in states if state.stage != "prefill"]
    if not decode_states:
        return None
    loads = {state: state.load(now_s) for state in states}
    stream_costs_s = {
        state: _stream_cost_s(now_s, pool, state, request, loads[state])
        for state in decode_states
    }
    min_stream_cost_s = min(stream_costs_s.values())
    home = _home_engine(states, request.generation.parts)
    # A fetch from an engine that has gone silent would stall the prefill.
    healthy = _healthy(now_s, states)
    holder, held_tokens = _best_holder(healthy, request.generation.parts)
    best, best_key = None, None
    for state in healthy:
        if state.stage != "prefill" and not pool.policy.reading_in_place:
            if len(decode_states) < len(states):
                continue
        pending_after_s = now_s if pool.policy.coming_parts else None
        cached_tokens = _cached_tokens(pending_after_s, state, home, request.generation)
        load = loads[state]
        choice = _prefill_at(
            now_s, state, load, pool, request, cached_tokens, holder, held_tokens
        )
        cost_s = _total_cost_s(now_s, choice, load, pool, request)
        if pool.policy.strain:
            cost_s += (
                min_stream_cost_s if choice.is_disaggregated else stream_costs_s[state]
            )
        key = (round(cost_s / TIE_S), draw())
        if best_key is None or key < best_key:
            best, best_key = choice, key
    return best


def prefill_demand_s(pool: EnginePool, generation: Generation) -> float:
    """Return the expected duration of a prefill at a prefill engine of usual speed.

    It doesn't depend on queues, so that a request counts for the same under any load.

    Parameters
    ----------
    pool : EnginePool
        Engines of the request's service.
    generation : Generation
        The request's prompt.
    """
    _, cached_tokens = _best_holder(pool.states, generation.parts)
    if not cached_tokens:
        cached_tokens = int(_shared_tokens(generation) * HOME_CACHED_SHARE)
    new_tokens = max(1, generation.prompt_tokens - cached_tokens)
    return pool.cost_model.prefill_cost("prefill").expected_s(new_tokens, cached_tokens)


def _cached_tokens(pending_after_s, state, home, generation):
    """Return how many tokens of a prompt are assumed to be cached at an engine.

    Parts that are being prefilled count too if the current time is given.
    """
    cached_tokens = state.prefixes.cached_tokens(generation.parts, pending_after_s)
    if not cached_tokens and state is home:
        return int(_shared_tokens(generation) * HOME_CACHED_SHARE)
    return cached_tokens


def _prefill_at(now_s, state, load, pool, request, cached_tokens, holder, held_tokens):
    """Return the prefill of a prompt as it would run at one engine."""
    fetch_from, fetch_s = None, 0.0
    if pool.policy.fetches and held_tokens - cached_tokens >= MIN_FETCH_TOKENS:
        fetch_from = holder
        fetch_s = _fetch_s(state, holder, held_tokens - cached_tokens, pool.limits)
        cached_tokens = held_tokens
    cost_model, stage = pool.cost_model, state.stage
    new_tokens = max(1, request.generation.prompt_tokens - cached_tokens)
    cost_s = cost_model.prefill_cost(stage).expected_s(new_tokens, cached_tokens)
    slowdown = state.slowdown.factor(now_s) if pool.policy.pace else 1.0
    is_disaggregated = stage == "prefill"
    transfers_s = fetch_s
    if is_disaggregated:
        handed_over_s = cache_transfer_s(request.generation.prompt_tokens, pool.limits)
        transfers_s += handed_over_s + cost_model.handover_s()
    margin = slowdown * (cost_model.margin(stage) if pool.policy.margin else 1.0)
    # The margin decides whether a prompt is timely. A late prompt is refused by its
    # expected time alone: with the margin, the largest prompts would be refused even at
    # idle engines.
    timely_s = (cost_s + load.prefill_ahead_s(TIMELY)) * margin + transfers_s
    late_s = (cost_s + load.prefill_ahead_s(LATE)) * slowdown + transfers_s
    idle_s = cost_s * margin + transfers_s
    objective_left_s = request.objective_left_s - NETWORK_OVERHEAD_S
    lane = choose_lane(
        (timely_s, late_s),
        idle_s,
        objective_left_s,
        request.first_event_limits,
        _chance_of(request.generation.parts),
        pool.policy,
        request.share,
    )
    if lane == LATE and not _has_room_for_late(state, load, pool):
        lane = HOPELESS
    if (
        lane == HOPELESS
        and not load.prefills
        and not cost_model.prefill_cost(stage).is_known
    ):
        # The cost is a guess, and an idle engine may well finish in time.
        lane = LATE
    queue_s = load.prefill_ahead_s(LATE if lane == HOPELESS else lane)
    return PrefillChoice(
        state,
        is_disaggregated,
        new_tokens,
        cached_tokens,
        cost_s,
        queue_s,
        (cost_s + queue_s) * slowdown + transfers_s,
        fetch_from,
        fetch_s,
        lane,
        idle_s <= objective_left_s < timely_s,
    )


def _has_room_for_late(state, load, pool):
    """Return whether an engine has slots and connections left for a late prompt.

    Late prompts wait for seconds, and each of them holds a connection and a slot. If
    they held all of these, timely prompts would be refused for lack of one, although
    they would be prefilled first. With sixty hosts and engines of 48 slots, a burst
    left only a sixth of the prompts in time.
    """
    if load.running >= LATE_SHARE * state.record.slots:
        return False
    return state.own_running < LATE_SHARE * pool.max_connections


def _total_cost_s(now_s, choice, load, pool, request):
    """Return the cost of a prefill for its caller and for others, as waiting time."""
    state = choice.state
    cost_s = choice.expected_s + PENALTY_COST_S * state.health.penalty(now_s)
    if pool.policy.shared_speeds and pool.policy.pace:
        factor = state.slowdown.factor(now_s)
        if factor < STRAGGLER_SLOWDOWN:
            busy_s = choice.cost_s + choice.queue_s
            cost_s -= busy_s * (factor - factor**SPEED_EXPONENT)
    if pool.policy.own_zone and state.record.zone != pool.own_zone:
        cost_s += OTHER_ZONE_COST_S
    if not choice.is_disaggregated:
        # The fixed part of the cost, for the network round trip, delays no stream.
        blocking_s = choice.cost_s - pool.cost_model.prefill_cost(
            state.stage
        ).expected_s(0, 0)
        slowness = _slowness(now_s, pool, state)
        if slowness > 1.0:
            streams = max(0, load.running - load.prefills)
            cost_s += streams * _slow_gap_cost_s(pool, request, slowness, blocking_s)
            blocking_s *= slowness
        interference_s = 0.0
        if pool.policy.harm:
            harmless_s = HARMLESS_SHARE * request.objective_s
            interference_s += INTERFERENCE_PER_REQUEST * max(
                0.0, blocking_s - harmless_s
            )
        if pool.policy.strain:
            interference_s += (
                INTERFERENCE_PER_GAP_RATIO
                * _excess_gap_ratio(state)
                * max(0.0, blocking_s)
            )
        cost_s += interference_s * load.running
    return cost_s


def _stream_cost_s(now_s, pool, state, request, load):
    """Return the cost of decoding a request at an engine, as waiting time."""
    strain_s = EVENT_COST_S * _excess_gap_ratio(state)
    slowness = _slowness(now_s, pool, state)
    # What decoding takes longer there than at an engine of usual speed.
    longer_s = (slowness - 1.0) * pool.cost_model.event_gap_s
    cost_s = (strain_s + longer_s) * request.expected_events
    if slowness > 1.0:
        cost_s += _slow_gap_cost_s(pool, request, slowness, load.pending_prefill_s)
    if pool.policy.shared_speeds:
        cost_s += _straggler_cost_s(state)
    return cost_s


def _slowness(now_s, pool, state):
    """Return the factor by which an engine is notably slower than usual, at least 1.

    Only hosts that share their observations know an engine well enough for it.
    """
    if not pool.policy.shared_speeds or not pool.policy.pace:
        return 1.0
    return 1.0 + max(0.0, state.slowdown.factor(now_s) - USUAL_FACTOR)


def _slow_gap_cost_s(pool, request, slowness, prefill_s):
    """Return the cost for one stream of gaps at a slow engine, as waiting time.

    A prefill in place runs in chunks between the tokens of the running streams, and an
    event holds several tokens. An engine of usual speed stays below the allowed gap,
    and one that takes twice as long exceeds it. What the gaps cost at the usual speed
    is part of the other costs.

    Parameters
    ----------
    pool, request
        See `choose_prefill`.
    slowness : float
        See `_slowness`.
    prefill_s : float
        Duration of the prefills in place at the usual speed, in seconds.
    """
    generation, cost_model = request.generation, pool.cost_model
    tokens = generation.expected_output_tokens or generation.max_output_tokens
    # Streams of the same service hold about as many tokens in an event.
    tokens_per_event = max(1.0, tokens / max(1.0, request.expected_events))
    blocking_s = prefill_s * min(1.0, tokens_per_event / PREFILL_CHUNKS)
    gap_ratio = (cost_model.event_gap_s + blocking_s) / cost_model.allowed_gap_s
    late_share = _late_share(slowness * gap_ratio) - _late_share(gap_ratio)
    return LATE_STREAM_COST_S * late_share


def _straggler_cost_s(state):
    """Return the cost for one stream of an engine's longer gaps, as waiting time.

    The gaps show a straggling decode engine also where it prefills nothing in place, so
    that its speed is not known. One such engine had a third of its streams late, and
    still got as many as the others.
    """
    ratio, usual = state.event_gap_ratio, STRAGGLER_FACTOR * state.gap_ratio.usual
    if ratio <= usual:
        return 0.0
    late_share = _late_share(LONGEST_GAP_FACTOR * ratio)
    return LATE_STREAM_COST_S * (late_share - _late_share(LONGEST_GAP_FACTOR * usual))


def _late_share(gap_ratio):
    """Return the share of streams that end late at a ratio to the allowed gap."""
    share = (gap_ratio - POSSIBLY_LATE_RATIO) / (LATE_RATIO - POSSIBLY_LATE_RATIO)
    return min(1.0, max(0.0, share))


def _excess_gap_ratio(state):
    """Return by how much the gap ratio of an engine exceeds the harmless one."""
    return max(0.0, state.event_gap_ratio - HARMLESS_GAP_RATIO)


def choose_decode(
    now_s: float, pool: EnginePool, request: RoutingRequest, source_zone: str, draw
) -> EndpointState | None:
    """Return the engine to decode the tokens of a prefilled prompt, or None.

    Parameters
    ----------
    now_s, pool, request, draw
        See `choose_prefill`.
    source_zone : str
        Zone of the engine that prefilled the prompt.
    """
    transfer_s = cache_transfer_s(request.generation.prompt_tokens, pool.limits)
    best, best_key = None, None
    decode_states = [state for state in pool.states if state.stage != "prefill"]
    for state in _healthy(now_s, decode_states):
        load = state.load(now_s)
        expected_s = load.pending_prefill_s
        # With all slots in use, a token takes several times as long as with one.
        expected_s += FULL_BATCH_COST_S * load.running / max(1, state.record.slots)
        expected_s *= _slowness(now_s, pool, state)
        if pool.policy.strain:
            expected_s += _stream_cost_s(now_s, pool, state, request, load)
        if state.record.zone != source_zone:
            expected_s += transfer_s * (OTHER_ZONE_FACTOR - 1.0)
        if state.record.zone != pool.own_zone:
            expected_s += OTHER_ZONE_COST_S
        expected_s += PENALTY_COST_S * state.health.penalty(now_s)
        key = (round(expected_s / TIE_S), draw())
        if best_key is None or key < best_key:
            best, best_key = state, key
    return best


def _healthy(now_s, states):
    """Return the endpoints that are not avoided, or all if all are."""
    healthy = [state for state in states if not state.health.is_avoided(now_s)]
    return healthy or states


def cache_transfer_s(tokens, limits):
    """Return the duration of a KV cache transfer over one link, in seconds.

    Parameters
    ----------
    tokens : float
        Tokens whose KV cache is transferred.
    limits : EngineLimits
        Limits of the engines, with the size per token and the link's bandwidth.
    """
    return tokens * limits.kv_token_bytes * 8.0 / limits.link_bits_per_s


def _best_holder(states, parts):
    """Return the engine that caches most of a prompt, and how many tokens of it."""
    holder, held_tokens = None, 0
    for state in states:
        cached_tokens = state.prefixes.cached_tokens(parts)
        if cached_tokens > held_tokens:
            holder, held_tokens = state, cached_tokens
    return holder, held_tokens


def _fetch_s(state, holder, tokens, limits):
    """Return the time for an engine to fetch tokens from another, in seconds."""
    transfer_s = cache_transfer_s(tokens, limits)
    if state.record.zone != holder.record.zone:
        transfer_s *= OTHER_ZONE_FACTOR
    return FETCH_SETUP_S + transfer_s


def _chance_of(parts):
    """Return a number in [0, 1) that stays the same for all choices of a request."""
    if not parts:
        return 1.0
    return (parts[-1].part_id % 9973) / 9973.0


def _shared_tokens(generation):
    """Return the tokens of all parts but the last, which is specific to the request."""
    return sum(part.tokens for part in generation.parts[:-1])


def _home_engine(states, parts):
    """Return the prefill engine where all hosts expect a prompt's shared parts.

    It follows from the last shared part.
    """
    prefilling = [state for state in states if state.stage == "prefill"]
    if len(parts) < 2 or not prefilling:
        return None
    key = str(parts[-2].part_id)
    return max(prefilling, key=lambda s: rendezvous_weight(s.record.endpoint_id, key))
