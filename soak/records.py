"""What callers, endpoints and the operator observed in a soak run."""

from typing import NamedTuple

__all__ = [
    "EVENTS",
    "IDEMPOTENT",
    "NON_IDEMPOTENT",
    "STREAM",
    "Arrival",
    "Outcome",
    "Records",
    "expected_body",
    "expected_event",
]

# Kinds of requests: may run several times, may run at most once, resumable stream.
IDEMPOTENT, NON_IDEMPOTENT, STREAM = "any_times", "once", "stream"
# Number of events in a stream.
EVENTS = 6
# Lengths of response bodies, in repeats of the request id; the longest body exceeds a
# socket buffer.
BODY_REPEATS = (1, 40, 4000)


class Outcome(NamedTuple):
    """How one request ended for its caller.

    Attributes
    ----------
    request_id, kind, host : str
        Id and kind of the request, and the address of the host it was sent to.
    sent_s, ended_s : float
        When it was sent and when it ended, in seconds since the run began.
    status : int
        Status of the response; 0 if there was none.
    problem : str
        Empty, ``connect`` (connection refused), ``cut`` (closed before the response
        head), ``broken`` (closed in the body), ``late`` (client timeout),
        ``wrong_body`` or ``wrong_id``.
    is_sealed : bool
        Whether the response carried an endpoint's seal, not a host's own refusal.
    retry_after : str or None
        The Retry-After header of the response.
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
    """A request that reached an endpoint, and when, in seconds since the run began."""

    request_id: str
    endpoint: str
    at_s: float


class Records:
    """Everything that the checks of the guarantees use.

    Attributes
    ----------
    outcomes : list of Outcome
        Outcomes of requests that were not abandoned.
    arrivals : list of Arrival
        Requests that endpoints ran.
    rejections : list of Arrival
        Requests that endpoints rejected without running them.
    spans : list of (str, str, float, float)
        Kind, target, begin and end of each fault, in seconds since the run began.
    leaves : list of (str, float, float)
        Endpoint, when it was marked as draining, and when it stopped.
    versions : list of (str, float, int)
        Host and start count of its process, time, and configuration in force.
    written : list of (float, int)
        When the operator wrote a configuration, and its version.
    """

    def __init__(self):
        self.outcomes = []
        self.arrivals = []
        self.rejections = []
        self.spans = []
        self.leaves = []
        self.versions = []
        self.written = []


def expected_body(request_id):
    """Return the only valid response body of a request."""
    repeats = BODY_REPEATS[sum(request_id.encode()) % len(BODY_REPEATS)]
    return request_id.encode() * repeats


def expected_event(request_id, number):
    """Return the only valid event of a stream at an index."""
    return f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
