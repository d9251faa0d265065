"""Priority of prompts at engines, and time limits for their first stream event.

Each prompt gets a priority class (lane): timely if it can meet its objective, late if
it can't, and hopeless if its caller would give up before any engine has prefilled it.
"""

from typing import NamedTuple

from gypsumusher_routing.fair_share import UNLIMITED
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

# Priority class of a prompt that can still meet its objective.
TIMELY = "timely"
# Class of a prompt that can't.
LATE = "late"
# Class of a prompt whose caller would give up first; it is refused.
HOPELESS = "hopeless"
# Classes that are sent to engines, in the order in which engines prefill them.
LANES = (TIMELY, LATE)

# Urgencies of timely prompts of rank 0 and of late prompts. Engines accept 0, the most
# urgent, to 9; the ends stay free for operators' own tools.
FIRST_URGENCY = 2
LATE_URGENCY = 8
# Callers abandon a stream without any event after the longest of these: a fixed time, a
# multiple of the objective, and a multiple of the pause that the route allows.
ABANDON_S = 2.0
ABANDON_OBJECTIVES = 4.0
ABANDON_PAUSES = 8.0
# Share of the prompts too large ever to be on time that are queued with the timely ones
# anyway. Otherwise they would not be prefilled at all under full load. Each of them
# occupies an engine for a second or two, which makes about ten others late, so the
# share is not higher; with a third, the largest tenth of a kind of prompts was served
# less than half as often as the whole kind.
FAIR_SHARE = 0.45
# Share of the time until the caller gives up in which the first event has to be
# expected, as an allowance for errors of the expectation.
USED_SHARE = 0.8
# A prompt is hopeless if its first event is expected after this share of the time until
# its caller gives up. If it is refused then, the caller can retry with a new time
# limit; prefilled too late, it has delayed other prompts in vain.
HOPELESS_SHARE = 0.8
# Time per output token in a batch of ten streams, with prefills in between.
TOKEN_S = 0.01
# Factor on callers' estimates of the output, as an allowance because they are often far
# off. The maximum that the request allows still applies.
ESTIMATE_FACTOR = 2.0


class FirstEventLimits(NamedTuple):
    """Time limits for the first event of a stream.

    Attributes
    ----------
    target_s : float
        Time within which it should come for the stream to end in time, in seconds.
    abandoned_s : float
        Time after which the caller gives up, in seconds.
    """

    target_s: float
    abandoned_s: float


def abandoned_after_s(objective_s, pause_limit_s):
    """Return when callers abandon a stream without its first event, in seconds.

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
    """Return when the first event should come for the last one to come in time.

    Parameters
    ----------
    abandoned_s : float
        Time until the caller gives up, in seconds.
    generation : Generation
        The request.
    left_s : float
        Time until the caller's deadline or the route's timeout, in seconds.

    Returns
    -------
    float
        Seconds from now. As estimates of the output are often far off, it is used to
        order prompts, not to refuse them.
    """
    output_tokens = generation.max_output_tokens
    if generation.expected_output_tokens is not None:
        estimate = ESTIMATE_FACTOR * generation.expected_output_tokens
        output_tokens = min(output_tokens, estimate)
    return min(USED_SHARE * abandoned_s, left_s - TOKEN_S * output_tokens)


def choose_lane(
    lanes_s,
    idle_s,
    objective_left_s,
    limits,
    chance,
    policy=ALL_ON,
    share=UNLIMITED,
):
    """Return the priority class of a prompt at one engine.

    Parameters
    ----------
    lanes_s : sequence of float
        Expected time to the first event in each class of `LANES`, behind all prefills
        ahead of it, in seconds.
    idle_s : float
        Expected time to the first event at an engine without a queue, in seconds.
    objective_left_s : float
        Time until the first event is late, in seconds.
    limits : FirstEventLimits
        Time limits for the first event.
    chance : float
        Number in [0, 1) that stays the same for a request.
    policy : Policy
        Switches of the routing mechanisms.
    share : Share
        Share of the request; see `FairShares`.

    Notes
    -----
    For loads that exceed what the engines can prefill in time. With first come, first
    served, a queue as long as the objective persists while prompts arrive as fast as
    they are prefilled, and the engines work only on prompts that are late already. So
    a prompt is timely if it would be on time behind the timely ones alone, and late
    prompts are prefilled in the gaps between these. A late prompt that would not be
    prefilled before its caller gives up is hopeless.

    A prompt of an account above its share is never timely: it uses the gaps that other
    prompts leave. A prompt of a class that would starve is timely if it would be so at
    an idle engine, as it is prefilled before prompts of other classes.
    """
    timely_s = lanes_s[0]
    if not policy.lanes:
        return TIMELY
    if not share.is_limited:
        if timely_s <= objective_left_s:
            return TIMELY
        is_too_large = idle_s > objective_left_s
        is_in_limit = timely_s <= limits.target_s
        if share.is_protected and is_in_limit and not is_too_large:
            return TIMELY
        if policy.fair_part and is_too_large and is_in_limit and chance < FAIR_SHARE:
            return TIMELY
    is_hopeless = lanes_s[-1] > HOPELESS_SHARE * limits.abandoned_s
    if policy.early_refusal and is_hopeless:
        return HOPELESS
    return LATE


def urgency_of(rank: int, lane: str) -> int:
    """Return the urgency to send to an engine with a prompt; 0 is the most urgent.

    Parameters
    ----------
    rank : int
        Priority of the request; 0 is served first.
    lane : {"timely", "late"}
        Priority class of the prompt.
    """
    if lane == TIMELY:
        return min(LATE_URGENCY - 1, FIRST_URGENCY + rank)
    return LATE_URGENCY
