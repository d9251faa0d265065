"""Where a prompt is read, and where its tokens are made.

Made for long prompts with few tokens out, most of whose parts are shared: reading is
nearly all of the work, and a prompt that is read where its parts are kept costs a
fraction. A prompt is read apart, by a prefill engine that hands its KV cache on, or by
the decode engine itself, whichever is expected to be done first.
"""

import zlib
from typing import NamedTuple

from gypsumusher_ports import EngineLimits, Generation
from gypsumusher_routing.endpoint_state import FIXED_S, EndpointState
from gypsumusher_routing.urgency import (
    HOPELESS,
    LANES,
    LATE,
    FirstEventLimits,
    choose_lane,
)

__all__ = ["Reading", "choose_decode", "choose_reading", "reading_work"]

# Attention makes a token dearer by this part for each token before it: about a third
# of the work again at 10,000 tokens, as is usual for models of this kind.
ATTENTION_PER_TOKEN = 3e-5
# What a hand-over costs beside the transfer itself, in seconds: one more call, and the
# set-up of the transfer.
HAND_OVER_S = 0.01
# A transfer between zones takes this many times as long.
OTHER_ZONE_FACTOR = 2.0
# Worth of a penalty of 1 against waiting, in seconds.
PENALTY_S = 0.5
# Harm that a reading at a decode engine does: its pieces go between the tokens of all
# that run there, each of which is late by part of the reading's time.
HARM_PER_RUN = 0.5
# A reading of this length does none, in seconds: streams end well before their
# deadlines, and a pause of a few pieces is within what routes allow.
HARMLESS_S = 0.08
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
# Expected times closer than this don't differ, in seconds; the choice is drawn.
EVEN_S = 0.001


class Reading(NamedTuple):
    """Where a prompt is to be read.

    Attributes
    ----------
    state : EndpointState
        The engine.
    is_apart : bool
        Whether another engine makes the tokens.
    kept_tokens : int
        Tokens of the prompt that the engine is believed to keep.
    work_tokens : float
        Work of the reading, as tokens without any before them.
    expected_s : float
        Expected time until the first token, in seconds.
    fetch_from : EndpointState or None
        Engine from which it first fetches parts that it doesn't keep itself.
    lane : {"timely", "soon", "late"}
        In which order it is read there.
    """

    state: EndpointState
    is_apart: bool
    kept_tokens: int
    work_tokens: float
    expected_s: float
    fetch_from: EndpointState | None
    lane: str

    @property
    def fetch_address(self):
        """Address of the engine to fetch from, or None."""
        return None if self.fetch_from is None else self.fetch_from.record.address


def reading_work(prompt_tokens: int, kept_tokens: int) -> float:
    """Return the work of reading a prompt of which a part is kept.

    Returns
    -------
    float
        In tokens that have none before them.
    """
    new_tokens = max(1, prompt_tokens - kept_tokens)
    middle_tokens = kept_tokens + new_tokens / 2.0
    return new_tokens * (1.0 + ATTENTION_PER_TOKEN * middle_tokens)


def choose_reading(
    now_s: float,
    states: list[EndpointState],
    generation: Generation,
    limits: EngineLimits,
    objective_left_s: float,
    first_event: FirstEventLimits,
    own_zone: str,
    draw,
    is_returning: bool = False,
) -> Reading | None:
    """Return where a prompt is read first, or None when nothing can run it.

    Parameters
    ----------
    now_s : float
        The present time, in seconds.
    states : list of EndpointState
        Engines of the service that may get work.
    generation : Generation
        The request.
    limits : EngineLimits
        What the engines have in common.
    objective_left_s : float
        Time until the first token is late, in seconds.
    first_event : FirstEventLimits
        Until when it is of use.
    own_zone : str
        Zone of this host.
    draw : callable
        Returns a number from 0 up to 1.
    is_returning : bool
        Whether the request has been refused before and has come back.
    """
    decodes = [state for state in states if state.record.stage != "prefill"]
    if not decodes:
        return None
    hand_over_s = HAND_OVER_S + _transfer_s(generation.prompt_tokens, limits)
    home = _home_of(states, generation.parts)
    kept_by_id = {}
    for state in states:
        kept = state.prefixes.kept_tokens(generation.parts, now_s)
        if not kept and state is home:
            kept = int(_shared_tokens(generation) * HOME_BELIEF)
        kept_by_id[state.record.endpoint_id] = kept
    chance = _chance_of(generation.parts)
    # Fetching from an engine that has gone silent would hold the reading up.
    sound = _sound(now_s, states)
    holder, held = _holder_of(sound, generation.parts)
    best, best_key = None, None
    for state in sound:
        kept = kept_by_id[state.record.endpoint_id]
        fetch_from, fetch_s = None, 0.0
        if held - kept >= LEAST_FETCH_TOKENS:
            fetch_from, fetch_s = holder, _fetch_s(state, holder, held - kept, limits)
            kept = held
        work = reading_work(generation.prompt_tokens, kept)
        load = state.load(now_s)
        rate = state.read_tokens_per_s()
        own_s = FIXED_S + work / rate + fetch_s
        is_apart = state.record.stage == "prefill"
        if is_apart:
            own_s += hand_over_s
        waits_s = [load.tokens_before(lane) / rate for lane in LANES]
        lane = choose_lane(
            own_s, waits_s, objective_left_s, first_event, chance, is_returning
        )
        place = LANES.index(LATE if lane == HOPELESS else lane)
        expected_s = own_s + waits_s[place]
        cost_s = expected_s + PENALTY_S * state.health.penalty(now_s)
        if state.record.zone != own_zone:
            cost_s += OTHER_ZONE_S
        if not is_apart:
            cost_s += HARM_PER_RUN * load.running * max(0.0, work / rate - HARMLESS_S)
        key = (round(cost_s / EVEN_S), draw())
        if best_key is None or key < best_key:
            best = Reading(state, is_apart, kept, work, expected_s, fetch_from, lane)
            best_key = key
    return best


def choose_decode(
    now_s: float,
    states: list[EndpointState],
    generation: Generation,
    limits: EngineLimits,
    source_zone: str,
    own_zone: str,
    draw,
) -> EndpointState | None:
    """Return where the tokens of a prompt that has been read are made.

    Parameters
    ----------
    now_s, states, generation, limits, draw
        As of `choose_reading`.
    source_zone : str
        Zone of the engine that has read it.
    own_zone : str
        Zone of this host.
    """
    transfer_s = _transfer_s(generation.prompt_tokens, limits)
    best, best_key = None, None
    decodes = [state for state in states if state.record.stage != "prefill"]
    for state in _sound(now_s, decodes):
        load = state.load(now_s)
        expected_s = load.read_tokens / state.read_tokens_per_s()
        # A batch of all slots makes a token several times as slowly as an empty one.
        expected_s += 0.05 * load.running / max(1, state.record.slots)
        if state.record.zone != source_zone:
            expected_s += transfer_s * (OTHER_ZONE_FACTOR - 1.0)
        if state.record.zone != own_zone:
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


def _transfer_s(tokens, limits):
    """Return the time that a prompt's KV cache takes over one link, in seconds."""
    return tokens * limits.kv_token_bytes * 8.0 / limits.link_bits_per_s


def _holder_of(states, parts):
    """Return the engine that keeps most of a prompt, and how many tokens of it."""
    holder, held = None, 0
    for state in states:
        kept = state.prefixes.kept_tokens(parts)
        if kept > held:
            holder, held = state, kept
    return holder, held


def _fetch_s(state, holder, tokens, limits):
    """Return the time that an engine takes to fetch parts from another, in seconds."""
    transfer_s = _transfer_s(tokens, limits)
    if state.record.zone != holder.record.zone:
        transfer_s *= OTHER_ZONE_FACTOR
    return HAND_OVER_S / 2.0 + transfer_s


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
        if state.record.stage != "prefill":
            continue
        name = f"{state.record.endpoint_id}/{shared}"
        weight = zlib.crc32(name.encode())
        if weight > best_weight:
            best, best_weight = state, weight
    return best
