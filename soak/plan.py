"""Draws the faults of a soak run, and when they begin, from a seed."""

import random
from typing import NamedTuple

__all__ = ["KINDS", "SHORT_RATE", "Fault", "FaultRate", "Plan", "draw_plan"]

# Each kind of fault with its minimum and maximum duration in seconds. The durations lie
# around the system's own timeouts: a caller's deadline of 1.5 s, the silence of 1.5 s
# after which a host isn't named to callers, watch and grace periods of 2 to 5 s.
KINDS = {
    "host_kill": (0.1, 2.0),
    "host_pause": (0.3, 3.0),
    "host_stop": (0.0, 1.0),
    "host_reload": (0.0, 0.0),
    "host_signals": (0.0, 0.5),
    "all_hosts_kill": (0.0, 0.5),
    "endpoint_restart": (0.1, 2.0),
    "endpoint_leave": (1.5, 3.0),
    "endpoint_errors": (0.5, 3.0),
    "endpoint_hang": (0.5, 3.0),
    "endpoint_break": (0.5, 3.0),
    "endpoint_full": (0.5, 3.0),
    "endpoint_unframed": (0.5, 3.0),
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
    "crashing_content": (4.0, 8.0),
    "endpoint_limit": (5.0, 9.0),
    "host_links_cut": (4.0, 8.0),
    "host_links_partly_cut": (1.0, 6.0),
}
# Time without faults before the first one, and after the end of the last one: long
# enough for silence limits, grace periods and health penalties to expire.
CALM_BEFORE_S = 0.7
CALM_AFTER_S = 6.0
# The last part of `CALM_AFTER_S`, in which every request has to succeed.
RECOVERED_S = 1.5
# Share of the faults that are repeated against the same target soon after they end.
REPEATED_SHARE = 0.25


class FaultRate(NamedTuple):
    """How often faults begin.

    Attributes
    ----------
    per_s : float
        Rate at which faults begin.
    kinds : int
        Number of kinds in a run; few, so that each occurs often and overlaps with the
        others.
    always : tuple of str
        Kinds that are among them in each run.
    """

    per_s: float
    kinds: int
    always: tuple[str, ...] = ()


# At this rate two or three faults of a few seconds usually overlap.
SHORT_RATE = FaultRate(per_s=1.2, kinds=6)


class Fault(NamedTuple):
    """One fault.

    Attributes
    ----------
    at_s, duration_s : float
        When the fault begins, in seconds since the run began, and how long it lasts.
    kind : str
        One of `KINDS`.
    target : int
        Index of the host, endpoint or link, modulo their number.
    """

    at_s: float
    duration_s: float
    kind: str
    target: int


class Plan(NamedTuple):
    """The faults of a run in order of their begin, and the end of the run."""

    faults: tuple[Fault, ...]
    ends_s: float


def draw_plan(
    seed: int, faulty_s: float, kinds=KINDS, rate: FaultRate = SHORT_RATE
) -> Plan:
    """Return the faults of a seed.

    Parameters
    ----------
    seed : int
        Seed of all draws.
    faulty_s : float
        Time span in which faults begin, in seconds.
    kinds : dict of str to (float, float)
        Kinds to draw from with their minimum and maximum duration; another set gives
        other faults for the same seed.
    rate : FaultRate
        How often faults begin.
    """
    rng = random.Random(seed)
    durations_s = kinds
    others = sorted(set(kinds) - set(rate.always))
    kinds = [*rate.always, *rng.sample(others, rate.kinds - len(rate.always))]
    faults = []
    at_s = CALM_BEFORE_S
    while at_s < CALM_BEFORE_S + faulty_s:
        kind = rng.choice(kinds)
        target = rng.randrange(60)
        faults.append(_draw_fault(rng, at_s, kind, target, durations_s))
        if rng.random() < REPEATED_SHARE:
            repeat_s = faults[-1].at_s + faults[-1].duration_s + rng.uniform(0.0, 0.6)
            faults.append(_draw_fault(rng, repeat_s, kind, target, durations_s))
        at_s += rng.expovariate(rate.per_s)
    faults.sort()
    ends_s = max(fault.at_s + fault.duration_s for fault in faults) + CALM_AFTER_S
    return Plan(tuple(faults), round(ends_s, 3))


def _draw_fault(rng, at_s, kind, target, durations_s):
    min_s, max_s = durations_s[kind]
    duration_s = rng.uniform(min_s, max_s)
    return Fault(round(at_s, 3), round(duration_s, 3), kind, target)
