"""Draws the arrivals of a run from a seed, for the fleets of two users."""

import random
from typing import NamedTuple

from gypsumusher_policy import ClassPolicy, DeploymentPolicy, Request

# Tokens of one prefix chunk; the same as in `engine_model`.
PREFIX_TOKENS = 64


class RequestKind(NamedTuple):
    """One kind of request: its class, mean sizes in tokens and relative frequency.

    ``shared_chunks`` is the length of the prefix that all requests of a tenant share,
    in chunks of `PREFIX_TOKENS`.
    """

    name: str
    class_name: str
    prompt_tokens: int
    output_tokens: int
    shared_chunks: int
    idempotent: bool
    weight: float


class User(NamedTuple):
    """The fleet and the requests of one user.

    ``prefill_heavy`` kinds have mostly prompt tokens, ``decode_heavy`` kinds mostly
    output tokens.
    """

    name: str
    zones: tuple[str, ...]
    hosts: int
    engines: int
    zone_delay_s: float
    prefill_heavy: tuple[RequestKind, ...]
    decode_heavy: tuple[RequestKind, ...]
    policy: DeploymentPolicy


class Phase(NamedTuple):
    """A period with a constant load and mix.

    Parameters
    ----------
    seconds : float
        Duration.
    load : float
        Arriving work as a share of the fleet's engine seconds.
    prefill_share : float
        Share of the work that is prefill.
    """

    seconds: float
    load: float
    prefill_share: float


class Arrival(NamedTuple):
    """A request, and the length of its output, which only the engine knows.

    ``work_s`` is its minimum work in engine seconds, with every known prefix cached.
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
        RequestKind("bundle", "bulk", 6000, 60, 6, True, 0.6),
        RequestKind("notice", "standard", 2500, 40, 4, True, 1.0),
        RequestKind("counter", "counter", 500, 30, 2, True, 1.5),
    ),
    (
        RequestKind("draft", "standard", 500, 500, 4, True, 1.0),
        RequestKind("demand", "standard", 300, 300, 2, False, 0.5),
        RequestKind("check", "counter", 200, 60, 2, True, 1.5),
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
        RequestKind("history", "standard", 4000, 80, 20, True, 1.0),
        RequestKind("review", "bulk", 9000, 150, 4, True, 0.2),
        RequestKind("confirm", "counter", 800, 30, 8, True, 1.5),
    ),
    (
        RequestKind("quote", "standard", 700, 450, 6, False, 1.0),
        RequestKind("reply", "standard", 400, 250, 4, False, 0.6),
        RequestKind("ack", "counter", 200, 50, 2, True, 1.5),
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
        The fleet and the requests.
    phases : list of Phase
        Loads and mixes, one after another.
    seed : int
        Seed of the draws.
    settings : EngineSettings
        Rates that convert tokens to engine seconds.
    skew : float
        Exponent of the tenants' Zipf weights; 1 is mild.
    engines : int, optional
        Fleet size; default: that of the user.
    """
    rng = random.Random(seed)
    engines = engines or user.engines
    tenants = [f"tenant-{number}" for number in range(40)]
    weights = [1.0 / (number + 1) ** skew for number in range(40)]
    seen, arrivals = set(), []
    start_s = 0.0
    for phase in phases:
        kinds, probabilities, rate_per_s = _mix(user, phase, settings, engines)
        now_s = start_s
        while True:
            now_s += rng.expovariate(rate_per_s)
            if now_s >= start_s + phase.seconds:
                break
            kind = rng.choices(kinds, probabilities)[0]
            tenant = rng.choices(tenants, weights)[0]
            number = len(arrivals)
            arrivals.append(
                _draw_arrival(user, kind, tenant, number, now_s, rng, settings, seen)
            )
        start_s += phase.seconds
    return arrivals


def _work_of_kind(kind, settings):
    cached_tokens = kind.shared_chunks * PREFIX_TOKENS
    prefill_s = (
        max(1, kind.prompt_tokens - cached_tokens) / settings.prefill_tokens_per_s
    )
    return prefill_s, kind.output_tokens / settings.decode_tokens_per_s


def _mean_work(kinds, settings):
    """Return the mean prefill and decode work of a request, in engine seconds."""
    total = sum(kind.weight for kind in kinds)
    sums = [0.0, 0.0]
    for kind in kinds:
        for index, seconds in enumerate(_work_of_kind(kind, settings)):
            sums[index] += kind.weight / total * seconds
    return sums


def _mix(user, phase, settings, engines):
    """Return kinds, their probabilities and the arrival rate of a phase."""
    # Mean work of a request of the prefill-heavy and of the decode-heavy kinds.
    prompt_prefill_s, prompt_decode_s = _mean_work(user.prefill_heavy, settings)
    output_prefill_s, output_decode_s = _mean_work(user.decode_heavy, settings)
    share = phase.prefill_share
    # Solve a * prefill_heavy + (1 - a) * decode_heavy for the share of prefill work.
    prompt_gap_s = prompt_prefill_s - share * (prompt_prefill_s + prompt_decode_s)
    output_gap_s = output_prefill_s - share * (output_prefill_s + output_decode_s)
    prefill_heavy_share = min(
        1.0, max(0.0, -output_gap_s / (prompt_gap_s - output_gap_s))
    )
    work_s = prefill_heavy_share * (prompt_prefill_s + prompt_decode_s) + (
        1 - prefill_heavy_share
    ) * (output_prefill_s + output_decode_s)
    kinds, probabilities = [], []
    for group, group_share in (
        (user.prefill_heavy, prefill_heavy_share),
        (user.decode_heavy, 1 - prefill_heavy_share),
    ):
        total = sum(kind.weight for kind in group)
        for kind in group:
            kinds.append(kind)
            probabilities.append(group_share * kind.weight / total)
    return kinds, probabilities, phase.load * engines / work_s


def _draw_arrival(user, kind, tenant, number, now_s, rng, settings, seen):
    scale = rng.uniform(0.5, 1.5)
    prompt_tokens = max(
        kind.shared_chunks * PREFIX_TOKENS, int(kind.prompt_tokens * scale)
    )
    output_tokens = max(1, int(kind.output_tokens * rng.uniform(0.5, 1.5)))
    prefix = []
    for chunk in range(kind.shared_chunks):
        prefix.append(_prefix_hash(kind, tenant, chunk))
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


def _prefix_hash(kind, tenant, chunk):
    """Return the hash of a prefix chunk, which is the same in every process."""
    value = 0
    for char in f"{kind.name}/{tenant}/{chunk}":
        value = (value * 1_000_003 + ord(char)) & 0xFFFFFFFFFFFF
    return value
