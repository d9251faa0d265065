"""Which faults a soak run injects, and when, drawn from its seed."""

import random
from typing import NamedTuple

__all__ = ["KINDS", "Fault", "Plan", "draw_plan"]

# Each kind of fault with its least and longest time, in seconds. The times lie around
# the system's own: a caller's patience of 1.5 s, the silence of 1.5 s after which a
# host isn't named to callers, the watch and the grace of two to five seconds.
KINDS = {
    "host_kill": (0.1, 2.0),
    "host_pause": (0.3, 3.0),
    "host_stop": (0.0, 1.0),
    "host_reload": (0.0, 0.0),
    "all_hosts_kill": (0.0, 0.5),
    "endpoint_restart": (0.1, 2.0),
    "endpoint_leave": (1.5, 3.0),
    "endpoint_errors": (0.5, 3.0),
    "endpoint_hang": (0.5, 3.0),
    "endpoint_break": (0.5, 3.0),
    "endpoint_full": (0.5, 3.0),
    "all_endpoints_full": (0.5, 3.0),
    "link_delay": (0.5, 3.0),
    "link_reset": (0.0, 0.0),
    "link_silent": (0.3, 3.0),
    "link_one_way": (0.3, 3.0),
    "store_refuse": (0.5, 4.0),
    "store_silent": (0.5, 4.0),
    "store_lost": (0.5, 2.0),
    "store_forget": (0.0, 0.0),
    "store_stale": (0.5, 3.0),
    "store_lapse": (0.5, 3.0),
    "host_store_cut": (0.5, 4.0),
    "config_change": (0.0, 0.0),
    "config_large": (0.0, 0.0),
    "host_store_weak": (0.5, 4.0),
}
# Faults a second, so that two or three overlap at most times.
RATE_PER_S = 1.2
# Calm before the first fault, and after the last one has ended, in seconds: by then
# silence limits, graces and health penalties have run out.
CALM_BEFORE_S = 0.7
CALM_AFTER_S = 6.0
# The last part of the calm end, in which every request has to be served, in seconds.
SERVED_S = 1.5
# Part of the faults that come again after a moment, against the same target.
REPEATED = 0.25


class Fault(NamedTuple):
    """One fault.

    Attributes
    ----------
    at_s, for_s : float
        When it begins and how long it lasts, in seconds of the run.
    kind : str
        One of `KINDS`.
    target : int
        Which host, endpoint or link; taken modulo how many there are.
    """

    at_s: float
    for_s: float
    kind: str
    target: int


class Plan(NamedTuple):
    """A run: its faults in order, and its length in seconds."""

    faults: tuple[Fault, ...]
    ends_s: float


def draw_plan(seed: int, faulty_s: float, kinds=KINDS) -> Plan:
    """Return the faults of a seed.

    Parameters
    ----------
    seed : int
        The seed.
    faulty_s : float
        Time in which faults begin, in seconds.
    kinds : collection of str
        Kinds to draw from; a seed stands for the same faults as long as they do.
    """
    draw = random.Random(seed)
    # A run tries a part of the kinds, each often, so that they meet each other.
    kinds = draw.sample(sorted(kinds), 6)
    faults = []
    at_s = CALM_BEFORE_S
    while at_s < CALM_BEFORE_S + faulty_s:
        kind = draw.choice(kinds)
        target = draw.randrange(60)
        faults.append(_draw_fault(draw, at_s, kind, target))
        if draw.random() < REPEATED:
            again_s = faults[-1].at_s + faults[-1].for_s + draw.uniform(0.0, 0.6)
            faults.append(_draw_fault(draw, again_s, kind, target))
        at_s += draw.expovariate(RATE_PER_S)
    faults.sort()
    ends_s = max(fault.at_s + fault.for_s for fault in faults) + CALM_AFTER_S
    return Plan(tuple(faults), round(ends_s, 3))


def _draw_fault(draw, at_s, kind, target):
    least_s, longest_s = KINDS[kind]
    for_s = draw.uniform(least_s, longest_s)
    return Fault(round(at_s, 3), round(for_s, 3), kind, target)
