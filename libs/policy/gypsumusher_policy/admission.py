"""Whether a request can be on time, and when a refused one would get in.

Made for saturation: a request that can't be on time takes engine seconds from one
that can, and its caller learns of it last of all. It is refused at once instead.
"""

from typing import NamedTuple

# Least wait named in a refusal, in seconds: a shorter one would only be refused
# again.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 600.0
# Requests that may wait on one host, so that its memory stays bounded.
MAX_QUEUED = 5000


class Work(NamedTuple):
    """Expected work of one request, or of many, in engine seconds.

    Parameters
    ----------
    prefill_s : float
        Processing of prompts.
    decode_s : float
        Generation of tokens, at a full batch.
    """

    prefill_s: float
    decode_s: float


class Capacity(NamedTuple):
    """Engines that serve a host, in engines; a share of one counts as such.

    Parameters
    ----------
    prefill : float
        Engines that only process prompts.
    decode : float
        Engines that only generate.
    mixed : float
        Engines that do both.
    """

    prefill: float
    decode: float
    mixed: float


def drain_s(work: Work, capacity: Capacity) -> float:
    """Return how long the engines take for some work, in seconds.

    The slowest of the three bounds holds: the engines that can process prompts,
    those that can generate, and all together.
    """
    prompts = max(1e-6, capacity.prefill + capacity.mixed)
    tokens = max(1e-6, capacity.decode + capacity.mixed)
    both = max(1e-6, capacity.prefill + capacity.decode + capacity.mixed)
    total_s = work.prefill_s + work.decode_s
    return max(work.prefill_s / prompts, work.decode_s / tokens, total_s / both)


def latest_start_s(deadline_s: float, service_s: float) -> float:
    """Return the last time at which a start is still on time."""
    return deadline_s - service_s


def retry_after_s(wait_s: float, slack_s: float) -> float:
    """Return when a refused request would get in, in seconds from now.

    Parameters
    ----------
    wait_s : float
        Projected wait for a start.
    slack_s : float
        Longest wait with which it would be on time.
    """
    over_s = wait_s - max(0.0, slack_s)
    # While the overload lasts, whoever comes back as soon as there is a gap finds it
    # taken; whoever comes back when the present queue is gone mostly gets in.
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, over_s, wait_s))
