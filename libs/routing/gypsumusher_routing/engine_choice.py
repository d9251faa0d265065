"""Where a prompt is read, and where its tokens are made.

Made for long prompts with few tokens out, most of whose parts are shared: reading is
nearly all of the work, and a prompt that is read where its parts are kept costs a
fraction. A prompt is read apart, by a prefill engine that hands its KV cache on, or by
the decode engine itself, whichever is expected to be done first.
"""

import zlib
from typing import NamedTuple

from gypsumusher_ports import EngineLimits, Generation
from gypsumusher_routing.cost_model import CostModel
from gypsumusher_routing.endpoint_state import EndpointState
from gypsumusher_routing.policy import ALL_ON, Policy
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
    "choose_decode",
    "choose_prefill",
    "cache_transfer_s",
]

# Time that the caller's connection and the way back take, in seconds, of the objective.
WAY_S = 0.02
# What the set-up of a fetch takes beside the transfer, in seconds.
FETCH_S = 0.005
# A transfer between zones takes this many times as long.
OTHER_ZONE_FACTOR = 2.0
# Worth of a penalty of 1 against waiting, in seconds.
PENALTY_S = 0.5
# Harm that a reading at a decode engine does: its pieces go between the tokens of all
# that run there, each of which is late by part of the reading's time.
HARM_PER_RUN = 0.5
# A reading of this part of its own objective does none. Where answers are wanted within
# 0.2 s, readings of 0.08 s beside streams had a third of the long answers end too late.
HARMLESS_PART = 0.1
# Streams whose pauses come near to those that still let them end in time bear no more
# of it, however short the readings are: many short ones slow them as one long does.
# Pauses up to this part of the allowed ones are harmless; beyond, each second of
# reading counts so many seconds for each stream and each full strain.
HARMLESS_STRAIN, HARM_PER_STRAIN = 0.7, 2.0
# What each event of a stream's answer counts for at an engine whose streams are under
# the full strain, in seconds: long answers go to engines that read little, and readings
# to those that run few streams, so each engine comes to do more of one of them.
EVENT_S = 0.003
# Part of a prompt's shared tokens that is believed to be kept at its home when this
# host knows nothing of them: other hosts have sent it there if they saw it before.
HOME_BELIEF = 0.5
# Parts of fewer tokens are read again rather than fetched: the set-up of a transfer
# takes as long.
LEAST_FETCH_TOKENS = 512
# What an engine in another zone than this host counts for, in seconds. A request of a
# long prompt is some 17 KB, and each byte between zones is paid for: about a hundredth
# of what the answer is worth, or what 15 ms of waiting cost on average.
OTHER_ZONE_S = 0.015
# What a full batch counts for against an empty one, in seconds, when the engine that
# makes tokens is chosen: it spreads them where nothing else decides.
BATCH_S = 0.05
# Part of an engine's slots, and of a host's connections to it, beyond which it gets no
# prompt that only waits: the rest is for those that can be on time.
LATE_PART = 0.5
# Expected times closer than this don't differ, in seconds; the choice is drawn.
EVEN_S = 0.001


class EnginePool(NamedTuple):
    """The engines that a request may use, and what is known of them all.

    Attributes
    ----------
    states : list of EndpointState
        Engines of the service that may get work.
    limits : EngineLimits
        What the engines have in common.
    learnt : CostModel
        What their answers have taught.
    own_zone : str
        Zone of this host.
    max_connections : int
        Connections that this host may have to one engine.
    policy : Policy
        Which mechanisms decide.
    """

    states: list[EndpointState]
    limits: EngineLimits
    cost_model: CostModel
    own_zone: str
    max_connections: int
    policy: Policy = ALL_ON


class RoutingRequest(NamedTuple):
    """What a request asks for, and until when.

    Attributes
    ----------
    generation : Generation
        The request.
    objective_s : float
        Objective of its route, in seconds.
    objective_left_s : float
        Time until its first event is late, in seconds.
    first_event_limits : FirstEventLimits
        Until when the first event is of use.
    expected_events : float
        Events that its answer is expected to have.
    """

    generation: Generation
    objective_s: float
    objective_left_s: float
    first_event_limits: FirstEventLimits
    expected_events: float = 1.0


class PrefillChoice(NamedTuple):
    """Where a prompt is to be read.

    Attributes
    ----------
    state : EndpointState
        The engine.
    is_disaggregated : bool
        Whether another engine makes the tokens.
    new_tokens, cached_tokens : int
        Tokens that it is to read, and those before them that it is believed to keep.
    cost_s : float
        What reading it takes at the usual pace of the engine's stage, in seconds.
    queue_s : float
        What is read before it, in seconds at that pace.
    expected_s : float
        Expected time until the first token, in seconds.
    fetch_from : EndpointState or None
        Engine from which it first fetches parts that it doesn't keep itself.
    fetch_s : float
        What that takes, in seconds.
    lane : {"timely", "late", "hopeless"}
        In which order it is read there.
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

    @property
    def fetch_address(self):
        """Address of the engine to fetch from, or None."""
        return None if self.fetch_from is None else self.fetch_from.record.address


def choose_prefill(
    now_s: float, fleet: EnginePool, wish: RoutingRequest, draw
) -> PrefillChoice | None:
    """Return where a prompt is read first, or None when nothing can run it.

    Parameters
    ----------
    now_s : float
        The present time, in seconds.
    fleet : EnginePool
        The engines.
    wish : RoutingRequest
        The request.
    draw : callable
        Returns a number from 0 up to 1.
    """
    states = fleet.states
    decodes = [state for state in states if state.stage != "prefill"]
    if not decodes:
        return None
    least_stream_s = min(_stream_s(state, wish) for state in decodes)
    home = _home_of(states, wish.generation.parts)
    # Fetching from an engine that has gone silent would hold the reading up.
    sound = _sound(now_s, states)
    holder, held = _holder_of(sound, wish.generation.parts)
    best, best_key = None, None
    for state in sound:
        if state.stage != "prefill" and not fleet.policy.reading_in_place:
            if len(decodes) < len(states):
                continue
        coming_s = now_s if fleet.policy.coming_parts else None
        kept = _kept_at(coming_s, state, home, wish.generation)
        load = state.load(now_s)
        reading = _reading_at(now_s, state, load, fleet, wish, kept, holder, held)
        cost_s = _cost_s(now_s, reading, load, fleet, wish)
        if fleet.policy.strain:
            cost_s += (
                least_stream_s if reading.is_disaggregated else _stream_s(state, wish)
            )
        key = (round(cost_s / EVEN_S), draw())
        if best_key is None or key < best_key:
            best, best_key = reading, key
    return best


def _kept_at(coming_s, state, home, generation):
    """Return how many tokens of a prompt an engine is believed to keep.

    Parts that are being read count too when the present time is given.
    """
    kept = state.prefixes.cached_tokens(generation.parts, coming_s)
    if not kept and state is home:
        return int(_shared_tokens(generation) * HOME_BELIEF)
    return kept


def _reading_at(now_s, state, load, fleet, wish, kept, holder, held):
    """Return how a prompt would be read at one engine."""
    fetch_from, fetch_s = None, 0.0
    if fleet.policy.fetches and held - kept >= LEAST_FETCH_TOKENS:
        fetch_from = holder
        fetch_s = _fetch_s(state, holder, held - kept, fleet.limits)
        kept = held
    learnt, stage = fleet.cost_model, state.stage
    new_tokens = max(1, wish.generation.prompt_tokens - kept)
    cost_s = learnt.prefill_cost(stage).expected_s(new_tokens, kept)
    pace = state.slowdown.factor(now_s) if fleet.policy.pace else 1.0
    is_apart = stage == "prefill"
    after_s = fetch_s
    if is_apart:
        moved_s = cache_transfer_s(wish.generation.prompt_tokens, fleet.limits)
        after_s += moved_s + learnt.handover_s()
    margin = pace * (learnt.margin(stage) if fleet.policy.margin else 1.0)
    # To be on time it has to be sure; late, it is only refused for what is expected:
    # with the margin the largest prompts would be refused at idle engines.
    timely_s = (cost_s + load.prefill_ahead_s(TIMELY)) * margin + after_s
    late_s = (cost_s + load.prefill_ahead_s(LATE)) * pace + after_s
    lane = choose_lane(
        (timely_s, late_s),
        cost_s * margin + after_s,
        wish.objective_left_s - WAY_S,
        wish.first_event_limits,
        _chance_of(wish.generation.parts),
        fleet.policy,
    )
    if lane == LATE and not _has_room_for_late(state, load, fleet):
        lane = HOPELESS
    if (
        lane == HOPELESS
        and not load.prefills
        and not learnt.prefill_cost(stage).is_known
    ):
        # A guess is no reason to refuse what an idle engine may well read in time.
        lane = LATE
    queue_s = load.prefill_ahead_s(LATE if lane == HOPELESS else lane)
    return PrefillChoice(
        state,
        is_apart,
        new_tokens,
        kept,
        cost_s,
        queue_s,
        (cost_s + queue_s) * pace + after_s,
        fetch_from,
        fetch_s,
        lane,
    )


def _has_room_for_late(state, load, fleet):
    """Say whether an engine has room for a prompt that only waits there.

    Failure guarded against: late prompts wait for seconds, and each holds a connection
    and a place at its engine for as long. Once all of them are held, timely prompts are
    refused for want of one, though they would be read before all that wait: on sixty
    hosts and engines of 48 slots a burst left a sixth of the prompts in time.
    """
    if load.running >= LATE_PART * state.record.slots:
        return False
    return state.own_running < LATE_PART * fleet.max_connections


def _cost_s(now_s, reading, load, fleet, wish):
    """Return what a reading costs its caller and others, as seconds of waiting."""
    state = reading.state
    cost_s = reading.expected_s + PENALTY_S * state.health.penalty(now_s)
    if fleet.policy.own_zone and state.record.zone != fleet.own_zone:
        cost_s += OTHER_ZONE_S
    if not reading.is_disaggregated:
        # The way there and back holds nobody up.
        held_up_s = reading.cost_s - fleet.cost_model.prefill_cost(
            state.stage
        ).expected_s(0, 0)
        harm = 0.0
        if fleet.policy.harm:
            harmless_s = HARMLESS_PART * wish.objective_s
            harm += HARM_PER_RUN * max(0.0, held_up_s - harmless_s)
        if fleet.policy.strain:
            harm += HARM_PER_STRAIN * _excess_strain(state) * max(0.0, held_up_s)
        cost_s += harm * load.running
    return cost_s


def _stream_s(state, wish):
    """Return what making a request's tokens at an engine counts for, in seconds."""
    return EVENT_S * _excess_strain(state) * wish.expected_events


def _excess_strain(state):
    """Return by how much an engine's streams are under more strain than they bear."""
    return max(0.0, state.event_gap_ratio - HARMLESS_STRAIN)


def choose_decode(
    now_s: float, fleet: EnginePool, wish: RoutingRequest, source_zone: str, draw
) -> EndpointState | None:
    """Return where the tokens of a prompt that has been read are made.

    Parameters
    ----------
    now_s, fleet, wish, draw
        As of `choose_prefill`.
    source_zone : str
        Zone of the engine that has read it.
    """
    moved_s = cache_transfer_s(wish.generation.prompt_tokens, fleet.limits)
    best, best_key = None, None
    decodes = [state for state in fleet.states if state.stage != "prefill"]
    for state in _sound(now_s, decodes):
        load = state.load(now_s)
        expected_s = load.pending_prefill_s
        # A batch of all slots makes a token several times as slowly as an empty one.
        expected_s += BATCH_S * load.running / max(1, state.record.slots)
        if fleet.policy.strain:
            expected_s += _stream_s(state, wish)
        if state.record.zone != source_zone:
            expected_s += moved_s * (OTHER_ZONE_FACTOR - 1.0)
        if state.record.zone != fleet.own_zone:
            expected_s += OTHER_ZONE_S
        expected_s += PENALTY_S * state.health.penalty(now_s)
        key = (round(expected_s / EVEN_S), draw())
        if best_key is None or key < best_key:
            best, best_key = state, key
    return best


def _sound(now_s, states):
    """Return the endpoints that don't fail, or all when all do."""
    sound = [state for state in states if not state.health.is_avoided(now_s)]
    return sound or states


def cache_transfer_s(tokens, limits):
    """Return the time that a prompt's KV cache takes over one link, in seconds."""
    return tokens * limits.kv_token_bytes * 8.0 / limits.link_bits_per_s


def _holder_of(states, parts):
    """Return the engine that keeps most of a prompt, and how many tokens of it."""
    holder, held = None, 0
    for state in states:
        kept = state.prefixes.cached_tokens(parts)
        if kept > held:
            holder, held = state, kept
    return holder, held


def _fetch_s(state, holder, tokens, limits):
    """Return the time that an engine takes to fetch parts from another, in seconds."""
    moved_s = cache_transfer_s(tokens, limits)
    if state.record.zone != holder.record.zone:
        moved_s *= OTHER_ZONE_FACTOR
    return FETCH_S + moved_s


def _chance_of(parts):
    """Return a number from 0 up to 1 that a request has at each of its choices."""
    if not parts:
        return 1.0
    return (parts[-1].part_id % 9973) / 9973.0


def _shared_tokens(generation):
    """Return the tokens of all parts but the last, which is the request's own."""
    return sum(part.tokens for part in generation.parts[:-1])


def _home_of(states, parts):
    """Return the prefill engine on which all hosts look for a prompt's shared parts.

    Rendezvous hashing of the last shared part: no messages, and an engine that leaves
    moves only its own parts.
    """
    if len(parts) < 2:
        return None
    shared = parts[-2].part_id
    best, best_weight = None, -1
    for state in states:
        if state.stage != "prefill":
            continue
        name = f"{state.record.endpoint_id}/{shared}"
        weight = zlib.crc32(name.encode())
        if weight > best_weight:
            best, best_weight = state, weight
    return best
