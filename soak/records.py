"""What callers, endpoints and the operator have seen in a soak run."""

from typing import NamedTuple

__all__ = [
    "ANY_TIMES",
    "EVENTS",
    "ONCE",
    "STREAM",
    "Arrival",
    "Outcome",
    "Records",
    "body_of",
    "event_of",
]

# Kinds of requests: may be repeated, may run once only, a stream that may be resumed.
ANY_TIMES, ONCE, STREAM = "any_times", "once", "stream"
# Events of a stream.
EVENTS = 6
# Longest body, in repeats of the request's id: some are longer than a socket's buffer.
BODY_REPEATS = (1, 40, 4000)


class Outcome(NamedTuple):
    """How one request ended for its caller.

    Attributes
    ----------
    request_id, kind, host : str
        The request, and the address of the host that was asked.
    sent_s, ended_s : float
        When it was sent and when it ended, in seconds of the run.
    status : int
        Status of the answer; 0 when there was none.
    problem : str
        Empty, ``connect``, ``cut`` (no head), ``broken`` (no whole body), ``late``,
        ``wrong_body`` or ``wrong_id``.
    is_sealed : bool
        Whether an endpoint's answer came.
    retry_after : str or None
        When to come back, as told.
    """

    request_id: str
    kind: str
    host: str
    sent_s: float
    ended_s: float
    status: int
    problem: str
    is_sealed: bool
    retry_after: str | None


class Arrival(NamedTuple):
    """A request that has reached an endpoint."""

    request_id: str
    endpoint: str
    at_s: float


class Records:
    """Everything that the promises are checked by.

    Attributes
    ----------
    outcomes : list of Outcome
        How requests ended.
    arrivals : list of Arrival
        What endpoints ran.
    rejections : list of Arrival
        What endpoints rejected without running it.
    spans : list of (str, str, float, float)
        Kind of fault, its target, its begin and its end in seconds of the run.
    leaves : list of (str, float, float)
        Endpoint, and when it was marked as leaving and when it was gone.
    versions : list of (str, float, int)
        Life of a host's process, and the configuration in force at a time.
    written : list of (float, int)
        When the operator wrote which version of the configuration.
    """

    def __init__(self):
        self.outcomes = []
        self.arrivals = []
        self.rejections = []
        self.spans = []
        self.leaves = []
        self.versions = []
        self.written = []


def body_of(request_id):
    """Return the one right body of a request's answer."""
    repeats = BODY_REPEATS[sum(request_id.encode()) % len(BODY_REPEATS)]
    return request_id.encode() * repeats


def event_of(request_id, number):
    """Return one event of a request's stream."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
