"""Deadline-based admission: drain times, latest start times and retry-after.

Under saturation, a request that cannot meet its deadline takes engine time from one
that can, and its caller learns of the failure only at the deadline. Such a request is
refused on arrival instead.
"""

from typing import NamedTuple

# Lower bound of the retry-after in a refusal, in seconds: a caller that retries
# sooner is likely to be refused again.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 600.0
# Queue length at which a host refuses further requests, to bound its memory.
MAX_QUEUED_REQUESTS = 5000


class Work(NamedTuple):
    """Expected engine time of one request, or the sum over several requests.

    Parameters
    ----------
    prefill_s : float
        Prefill time, in engine seconds.
    decode_s : float
        Decode time at a full batch, in engine seconds.
    """

    prefill_s: float
    decode_s: float


class Capacity(NamedTuple):
    """Number of engines available to a host, by role.

    The counts may be fractions: a host that shares engines with other hosts counts
    only its share.

    Parameters
    ----------
    prefill_engines : float
        Engines that only run prefill.
    decode_engines : float
        Engines that only run decode.
    mixed_engines : float
        Engines that run both.
    """

    prefill_engines: float
    decode_engines: float
    mixed_engines: float


def drain_time_s(work: Work, capacity: Capacity) -> float:
    """Return the time that the engines need to finish the work, in seconds.

    The result is the largest of three lower bounds: prefill work on the engines that
    run prefill, decode work on the engines that run decode, and all work on all
    engines.

    Parameters
    ----------
    work : Work
        Work to finish.
    capacity : Capacity
        Engines that share the work.
    """
    n_prefill = max(1e-6, capacity.prefill_engines + capacity.mixed_engines)
    n_decode = max(1e-6, capacity.decode_engines + capacity.mixed_engines)
    n_total = max(
        1e-6,
        capacity.prefill_engines + capacity.decode_engines + capacity.mixed_engines,
    )
    total_s = work.prefill_s + work.decode_s
    return max(
        work.prefill_s / n_prefill,
        work.decode_s / n_decode,
        total_s / n_total,
    )


def latest_start_s(deadline_s: float, service_s: float) -> float:
    """Return the last start time at which a request still meets its deadline.

    Parameters
    ----------
    deadline_s : float
        Absolute deadline, in seconds.
    service_s : float
        Expected time from start to the last token, in seconds.
    """
    return deadline_s - service_s


def retry_after_s(wait_s: float, slack_s: float) -> float:
    """Return the retry-after of a refused request, in seconds from now.

    Parameters
    ----------
    wait_s : float
        Projected queueing time of the request, in seconds.
    slack_s : float
        Longest queueing time with which it would meet its deadline, in seconds.
    """
    excess_s = wait_s - max(0.0, slack_s)
    # During an overload, capacity that becomes free is taken by requests that are
    # already queued. A retry is mostly admitted once the present queue has drained,
    # so the full projected wait is a lower bound.
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, excess_s, wait_s))
