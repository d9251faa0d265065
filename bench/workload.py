"""Seeded arrivals for both users' sizes and zones."""

import random
from typing import NamedTuple

from gypsumusher_policy import ClassPolicy, DeploymentPolicy, Request

PREFIX_TOKENS = 64


class Kind(NamedTuple):
    """One kind of work: its class, mean sizes in tokens, and its tenants."""

    name: str
    class_name: str
    prompt_tokens: int
    output_tokens: int
    shared_parts: int
    idempotent: bool
    weight: float


class User(NamedTuple):
    """One user's fleet and work.

    ``reading`` kinds are mostly prompt, ``writing`` kinds mostly output.
    """

    name: str
    zones: tuple[str, ...]
    hosts: int
    engines: int
    zone_delay_s: float
    reading: tuple[Kind, ...]
    writing: tuple[Kind, ...]
    policy: DeploymentPolicy


class Phase(NamedTuple):
    """A stretch of time with a load and a mix.

    Parameters
    ----------
    seconds : float
        Length.
    load : float
        Arriving work as a share of the fleet's engine seconds.
    prefill_share : float
        Share of the work that is prompt processing.
    """

    seconds: float
    load: float
    prefill_share: float


class Arrival(NamedTuple):
    """A request with what only the engine knows: how long its answer gets.

    ``work_s`` is its least work in engine seconds: a prefix seen before costs nothing.
    """

    request: Request
    output_tokens: int
    work_s: float
    kind: str


def _policy(name, classes, price_s, dwell_s):
    by_name = {item.name: item for item in classes}
    return DeploymentPolicy(
        name, by_name, "standard", {}, price_s, 5.0, dwell_s, True, 0.1, 8, 2
    )


HANBIT = User(
    "hanbit",
    ("suwon-a", "suwon-b", "anyang"),
    7,
    6,
    0.0005,
    (
        Kind("bundle", "bulk", 6000, 60, 6, True, 0.6),
        Kind("notice", "standard", 2500, 40, 4, True, 1.0),
        Kind("counter", "counter", 500, 30, 2, True, 1.5),
    ),
    (
        Kind("draft", "standard", 500, 500, 4, True, 1.0),
        Kind("demand", "standard", 300, 300, 2, False, 0.5),
        Kind("check", "counter", 200, 60, 2, True, 1.5),
    ),
    _policy(
        "letter-models",
        [
            ClassPolicy("counter", 0, 1.5, 0.05, 10.0),
            ClassPolicy("standard", 1, 5.0, 0.1, 60.0),
            ClassPolicy("bulk", 2, 30.0, 0.2, 600.0),
        ],
        2.0,
        60.0,
    ),
)

KHADRA = User(
    "khadra",
    ("sfax-medina", "sakiet-ezzit", "thyna", "el-ain"),
    8,
    6,
    0.0015,
    (
        Kind("history", "standard", 4000, 80, 20, True, 1.0),
        Kind("review", "bulk", 9000, 150, 4, True, 0.2),
        Kind("confirm", "counter", 800, 30, 8, True, 1.5),
    ),
    (
        Kind("quote", "standard", 700, 450, 6, False, 1.0),
        Kind("reply", "standard", 400, 250, 4, False, 0.6),
        Kind("ack", "counter", 200, 50, 2, True, 1.5),
    ),
    _policy(
        "usher-llm",
        [
            ClassPolicy("counter", 0, 1.5, 0.05, 10.0),
            ClassPolicy("standard", 1, 5.0, 0.1, 60.0),
            ClassPolicy("bulk", 2, 30.0, 0.2, 600.0),
        ],
        60.0,
        60.0,
    ),
)


def make_arrivals(user, phases, seed, settings, skew=1.0, engines=None):
    """Return the arrivals of a run, in order.

    Parameters
    ----------
    user : User
        Whose work it is.
    phases : list of Phase
        Loads and mixes, one after another.
    seed : int
        Seed of the draws.
    settings : EngineSettings
        Rates by which work is counted.
    skew : float
        Exponent of the tenants' Zipf weights; 1 is mild.
    engines : int, optional
        Fleet size when it differs from the user's.
    """
    draw = random.Random(seed)
    engines = engines or user.engines
    tenants = [f"tenant-{number}" for number in range(40)]
    weights = [1.0 / (number + 1) ** skew for number in range(40)]
    seen, arrivals = set(), []
    start_s = 0.0
    for phase in phases:
        kinds, odds, rate_per_s = _mix(user, phase, settings, engines)
        now_s = start_s
        while True:
            now_s += draw.expovariate(rate_per_s)
            if now_s >= start_s + phase.seconds:
                break
            kind = draw.choices(kinds, odds)[0]
            tenant = draw.choices(tenants, weights)[0]
            number = len(arrivals)
            arrivals.append(
                _arrival(user, kind, tenant, number, now_s, draw, settings, seen)
            )
        start_s += phase.seconds
    return arrivals


def _kind_work(kind, settings):
    cached = kind.shared_parts * PREFIX_TOKENS
    prefill_s = max(1, kind.prompt_tokens - cached) / settings.prefill_tokens_per_s
    return prefill_s, kind.output_tokens / settings.decode_tokens_per_s


def _mean_work(kinds, settings):
    total = sum(kind.weight for kind in kinds)
    sums = [0.0, 0.0]
    for kind in kinds:
        for place, seconds in enumerate(_kind_work(kind, settings)):
            sums[place] += kind.weight / total * seconds
    return sums


def _mix(user, phase, settings, engines):
    """Return kinds, odds and arrivals a second that give a phase its work."""
    read_p, read_d = _mean_work(user.reading, settings)
    write_p, write_d = _mean_work(user.writing, settings)
    share = phase.prefill_share
    # Solve a * reading + (1 - a) * writing for the wanted share of prompt work.
    read_gap = read_p - share * (read_p + read_d)
    write_gap = write_p - share * (write_p + write_d)
    reading = min(1.0, max(0.0, -write_gap / (read_gap - write_gap)))
    work_s = reading * (read_p + read_d) + (1 - reading) * (write_p + write_d)
    kinds, odds = [], []
    for group, part in ((user.reading, reading), (user.writing, 1 - reading)):
        total = sum(kind.weight for kind in group)
        for kind in group:
            kinds.append(kind)
            odds.append(part * kind.weight / total)
    return kinds, odds, phase.load * engines / work_s


def _arrival(user, kind, tenant, number, now_s, draw, settings, seen):
    scale = draw.uniform(0.5, 1.5)
    prompt_tokens = max(
        kind.shared_parts * PREFIX_TOKENS, int(kind.prompt_tokens * scale)
    )
    output_tokens = max(1, int(kind.output_tokens * draw.uniform(0.5, 1.5)))
    prefix = []
    for part in range(kind.shared_parts):
        prefix.append(_hash(kind, tenant, part))
    known = sum(1 for item in prefix if item in seen)
    seen.update(prefix)
    left_tokens = max(1, prompt_tokens - known * PREFIX_TOKENS)
    work_s = left_tokens / settings.prefill_tokens_per_s
    work_s += output_tokens / settings.decode_tokens_per_s
    deadline_s = now_s + user.policy.classes[kind.class_name].deadline_s
    request = Request(
        f"r{number}",
        tenant,
        kind.class_name,
        prompt_tokens,
        2 * kind.output_tokens,
        now_s,
        deadline_s,
        tuple(prefix),
        kind.idempotent,
        f"f{number}",
    )
    return Arrival(request, output_tokens, work_s, kind.name)


def _hash(kind, tenant, part):
    """Return a hash that is the same in every process."""
    value = 0
    for char in f"{kind.name}/{tenant}/{part}":
        value = (value * 1_000_003 + ord(char)) & 0xFFFFFFFFFFFF
    return value
