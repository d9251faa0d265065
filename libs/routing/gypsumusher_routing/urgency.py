"""In which order engines read prompts: who passes whom, and until when one may wait."""

from typing import NamedTuple

from gypsumusher_routing.policy import ALL_ON

__all__ = [
    "HOPELESS",
    "LANES",
    "LATE",
    "TIMELY",
    "FirstEventLimits",
    "abandoned_after_s",
    "choose_lane",
    "first_event_limit_s",
    "urgency_of",
]

# A prompt that can still be on time.
TIMELY = "timely"
# One that can't.
LATE = "late"
# One that its caller would give up before it is read, in whatever order.
HOPELESS = "hopeless"
# The lanes of prompts that are read, in the order in which engines read them.
LANES = (TIMELY, LATE)

# Engines take 0, first, to 9, and serve the more urgent first. The ends stay free for
# operators' own tools.
FIRST_URGENCY = 2
LATE_URGENCY = 8
# Callers give a stream up when nothing came for the longest of these: a time, so many
# times the objective, or so many times the pause that the route allows.
ABANDON_S = 2.0
ABANDON_OBJECTIVES = 4.0
ABANDON_PAUSES = 8.0
# Part of the prompts that are too large ever to be on time, and that go in line with
# the timely ones all the same. Under full load they would otherwise never be read,
# and their callers' whole work would starve; each of them takes an engine for a second
# or two, which makes about ten others late, so it isn't more. With a third of them the
# largest tenth of a kind was served less than half as often as the whole kind.
FAIR_PART = 0.45
# Part of that time in which the first event has to be expected; expectations err.
USED_PART = 0.8
# A prompt counts as hopeless when its first event is expected after this part of the
# time until its caller gives up. Refused then, it comes back with a fresh wait; read
# too late, it has held up others in vain.
HOPELESS_FACTOR = 0.8
# Time of one output token, in seconds, as a batch of ten streams makes them beside
# prompts that are read between.
TOKEN_S = 0.01
# Callers' estimates of the output are often far off; twice as many tokens are counted
# on, and no more than the request allows.
ESTIMATE_FACTOR = 2.0


class FirstEventLimits(NamedTuple):
    """Until when a stream's first event is of use.

    Attributes
    ----------
    target_s : float
        By when it should come for the last one to come in time, in seconds.
    abandoned_s : float
        When the caller gives up, in seconds.
    """

    target_s: float
    abandoned_s: float


def abandoned_after_s(objective_s, pause_limit_s):
    """Return after how long callers give up a stream without its first event.

    Parameters
    ----------
    objective_s : float
        Objective of the route, in seconds.
    pause_limit_s : float or None
        Longest pause between events that the route allows, in seconds.
    """
    return max(
        ABANDON_S,
        ABANDON_OBJECTIVES * objective_s,
        ABANDON_PAUSES * (pause_limit_s or 0.0),
    )


def first_event_limit_s(abandoned_s, generation, left_s):
    """Return by when the first event should come, so that the last one does in time.

    Parameters
    ----------
    abandoned_s : float
        When the caller gives up, in seconds from now.
    generation : Generation
        The request.
    left_s : float
        Time until the caller's or the route's end, in seconds.

    Returns
    -------
    float
        Seconds from now. Estimates of the output are often far off, so this orders
        prompts, and is no reason to refuse one.
    """
    output_tokens = generation.max_output_tokens
    if generation.expected_output_tokens is not None:
        estimate = ESTIMATE_FACTOR * generation.expected_output_tokens
        output_tokens = min(output_tokens, estimate)
    return min(USED_PART * abandoned_s, left_s - TOKEN_S * output_tokens)


def choose_lane(lanes_s, own_s, objective_left_s, limits, chance, policy=ALL_ON):
    """Return the lane of a prompt at one engine.

    Parameters
    ----------
    lanes_s : sequence of float
        Expected time to the first event in each of `LANES`, behind all that is read
        before, in seconds.
    own_s : float
        The same at an engine without a queue, in seconds.
    objective_left_s : float
        Time until the first event is late, in seconds.
    limits : FirstEventLimits
        By when it should come, and when the caller gives up.
    chance : float
        Drawn once for a request, from 0 up to 1.
    policy : Policy
        Which mechanisms decide.

    Notes
    -----
    Made for more prompts than the engines can read in time. First come, first served
    makes all of them late once one is: a queue that is as long as the objective stays,
    for as long as prompts come as fast as they are read, and each engine then works
    only on what is late already. So a prompt counts as timely if it would be on time
    behind the timely ones alone, and whatever is late is read in the gaps they leave.
    What would not be read in those gaps before its caller leaves is hopeless.
    """
    timely_s = lanes_s[0]
    if timely_s <= objective_left_s or not policy.lanes:
        return TIMELY
    is_too_large = own_s > objective_left_s and timely_s <= limits.target_s
    if policy.fair_part and is_too_large and chance < FAIR_PART:
        return TIMELY
    is_hopeless = lanes_s[-1] > HOPELESS_FACTOR * limits.abandoned_s
    if policy.early_refusal and is_hopeless:
        return HOPELESS
    return LATE


def urgency_of(rank: int, lane: str) -> int:
    """Return the urgency that an engine is told.

    Parameters
    ----------
    rank : int
        Priority of the request, 0 first.
    lane : {"timely", "late"}
        Its lane.
    """
    if lane == TIMELY:
        return min(LATE_URGENCY - 1, FIRST_URGENCY + rank)
    return LATE_URGENCY
