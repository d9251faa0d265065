"""What callers, endpoints and the operator observed in a soak run."""

import re
from typing import NamedTuple

__all__ = [
    "CRASHING_PART",
    "CRASHING_PREFIX",
    "EVENTS",
    "IDEMPOTENT",
    "NON_IDEMPOTENT",
    "PROMPT",
    "STREAM",
    "AccountKey",
    "AccountRun",
    "Arrival",
    "HostEnd",
    "LinkCut",
    "Notice",
    "Outcome",
    "PartArrival",
    "Records",
    "RetryLimit",
    "ServingSpan",
    "StatedLimit",
    "StreamTry",
    "UsageReport",
    "deadline_s",
    "expected_body",
    "expected_event",
    "parse_events",
]

# Kinds of requests: may run several times, may run at most once, resumable stream, and
# stream with a long prompt that may run at most once.
IDEMPOTENT, NON_IDEMPOTENT, STREAM = "any_times", "once", "stream"
PROMPT = "prompt"
# Time for which callers wait for a response, by kind of request.
_DEADLINES_S = {PROMPT: 6.0}
DEFAULT_DEADLINE_S = 1.5
# Number of events in a stream.
EVENTS = 6
# Prefix of the paths whose requests end the endpoint that runs them.
CRASHING_PREFIX = f"/{IDEMPOTENT}/crash-"
# Begin of the ids of parts that end each engine that writes an answer to a prompt with
# them.
CRASHING_PART = "bad"
# Lengths of response bodies, in repeats of the request id; the longest body exceeds a
# socket buffer.
BODY_REPEATS = (1, 40, 4000)


_EVENT = re.compile(rb"id: (\d+)\ndata: (\S+)-(\d+) (\S+)\n\n")


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


class RetryLimit(NamedTuple):
    """The operator's limit on repeats of a service, over all hosts.

    Attributes
    ----------
    ratio, slack : float
        Repeats allowed per request of a window, and per window in addition.
    window_s : float
        Length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


class Arrival(NamedTuple):
    """A request that reached an endpoint, and when, in seconds since the run began."""

    request_id: str
    endpoint: str
    at_s: float


class PartArrival(NamedTuple):
    """A prompt with a part that crashes engines.

    Attributes
    ----------
    request_id, part : str
        Id of the request, and of the part.
    at_s : float
        When it reached an endpoint, in seconds since the run began.
    """

    request_id: str
    part: str
    at_s: float


class StatedLimit(NamedTuple):
    """A limit that an endpoint stated in its responses.

    Attributes
    ----------
    endpoint : str
        The endpoint.
    limit_per_s : float
        Requests per second that it takes from all hosts together.
    began_s, ended_s : float
        When it began and ceased to state the limit, in seconds since the run began.
    """

    endpoint: str
    limit_per_s: float
    began_s: float
    ended_s: float


class Notice(NamedTuple):
    """A response in which an endpoint said that it leaves or wants no requests.

    Attributes
    ----------
    request_id, instance : str
        The request, and the id of the endpoint's process.
    at_s : float
        When it responded, in seconds since the run began.
    pause_s : float or None
        How long it wants no requests from the host; None if it leaves.
    """

    request_id: str
    instance: str
    at_s: float
    pause_s: float | None


class LinkCut(NamedTuple):
    """Hosts that had lost their links to all endpoints.

    Attributes
    ----------
    hosts : frozenset of str
        Addresses of the hosts.
    mode : str
        What happened to their connections, one of `entry_program.LINK_MODES`.
    began_s, ended_s : float
        When it began and ended, in seconds since the run began.
    """

    hosts: frozenset
    mode: str
    began_s: float
    ended_s: float


class AccountKey(NamedTuple):
    """A key of a client account, and when it was added and taken away."""

    account: str
    added_s: float
    withdrawn_s: float | None


class AccountRun(NamedTuple):
    """What an endpoint saw of a request that it ran.

    Attributes
    ----------
    request_id, endpoint : str
        The request and the endpoint.
    at_s : float
        When it began, in seconds since the run of the soak began.
    account : str or None
        Account that the endpoint was told.
    has_key : bool
        Whether the endpoint was sent the caller's key.
    """

    request_id: str
    endpoint: str
    at_s: float
    account: str | None
    has_key: bool


class UsageReport(NamedTuple):
    """A usage report that the platform has accepted."""

    at_s: float
    holder: str
    fence: int
    window: int
    counts: dict


class StreamTry(NamedTuple):
    """One attempt of a caller at a stream.

    Attributes
    ----------
    stream_id : str
        Id of the caller's first attempt at this stream.
    request_id, host : str
        Id of this attempt, and the host it was sent to.
    sent_s, ended_s : float
        When it was sent and when it ended, in seconds since the run began.
    had_events : int
        Number of events that the caller had before.
    versions : tuple of str
        Software version that wrote each event of this attempt.
    """

    stream_id: str
    request_id: str
    host: str
    sent_s: float
    ended_s: float
    had_events: int
    versions: tuple[str, ...]


class ServingSpan(NamedTuple):
    """When an endpoint of a software version was ready, in seconds since the run began.

    The end is None while it still is.
    """

    endpoint: str
    version: str
    began_s: float
    ended_s: float | None


class HostEnd(NamedTuple):
    """End of a process of a host.

    Attributes
    ----------
    process : str
        Name of the host, and how often it had been started.
    at_s : float
        When the end was noticed, in seconds since the run began.
    status : int
        Exit status; minus its number for a signal that ended the process.
    was_stopped, was_killed : bool
        Whether the soak had sent the process SIGTERM, and SIGKILL.
    """

    process: str
    at_s: float
    status: int
    was_stopped: bool
    was_killed: bool


class Records:
    """Everything that the checks of the guarantees use.

    Attributes
    ----------
    outcomes : list of Outcome
        Outcomes of requests that were not abandoned.
    sent : dict of str to (str, float)
        Service and time of each request that callers sent, by request id.
    arrivals : list of Arrival
        Requests that endpoints ran.
    rejections : list of Arrival
        Requests that endpoints rejected without running them.
    prefills : list of Arrival
        Prefill calls that engines accepted.
    instance_arrivals : list of Arrival
        Requests that reached endpoints, rejected or not, with the id of the endpoint's
        process instead of its name.
    retry_limit : RetryLimit
        The operator's limit on repeats.
    notices : list of Notice
        Responses in which endpoints said that they leave or want no requests.
    spans : list of (str, str, float, float)
        Kind, target, begin and end of each fault, in seconds since the run began.
    leaves : list of (str, float, float)
        Endpoint, when it was marked as draining, and when it stopped.
    versions : list of (str, float, int)
        Host and start count of its process, time, and configuration in force.
    written : list of (float, int)
        When the operator wrote a configuration, and its version.
    keys : dict of str to AccountKey
        All keys that any configuration had.
    keys_sent : dict of str to (str, float)
        Key and time of each request that callers sent, by request id.
    crashing_sent : dict of str to (str, str)
        Path and host of each request whose content crashes endpoints, by request id.
    crashes : list of Arrival
        Those of them that ended the endpoint that ran them.
    part_sends, part_crashes : list of PartArrival
        Prompts with parts that crash engines that reached endpoints, rejected ones
        included, and those that ended one.
    first_parts : dict of str to str
        First part of each prompt, by request id.
    hosts : dict of str to str
        Host that each request was sent to, by request id.
    limits : list of StatedLimit
        Limits that endpoints stated.
    link_cuts : list of LinkCut
        When hosts had lost their links to all endpoints.
    account_runs : list of AccountRun
        Requests that endpoints ran, where callers have accounts.
    usage_reports : list of UsageReport
        Reports in the order in which the platform accepted them.
    stream_tries : list of StreamTry
        Attempts at streams, where callers take them up again.
    serving : list of ServingSpan
        When endpoints were ready, with their software versions.
    began_unix_s : float
        Time of day at which the run began.
    stalls : list of (float, float)
        Spans in which the soak's own process, with its callers, endpoints and links,
        stood still, in seconds since the run began.
    host_ends : list of HostEnd
        Ends of the hosts' processes.
    """

    def __init__(self, retry_limit):
        self.retry_limit = retry_limit
        self.sent = {}
        self.prefills = []
        self.outcomes = []
        self.arrivals = []
        self.rejections = []
        self.instance_arrivals = []
        self.notices = []
        self.spans = []
        self.leaves = []
        self.versions = []
        self.written = []
        self.keys = {}
        self.keys_sent = {}
        self.crashing_sent = {}
        self.hosts = {}
        self.limits = []
        self.crashes = []
        self.part_sends = []
        self.part_crashes = []
        self.first_parts = {}
        self.link_cuts = []
        self.account_runs = []
        self.usage_reports = []
        self.stream_tries = []
        self.serving = []
        self.began_unix_s = 0.0
        self.stalls = []
        self.host_ends = []

    def stalled_s(self, began_s, ended_s):
        """Return for how long the soak's process stood still within a span of time."""
        return sum(
            max(0.0, min(to_s, ended_s) - max(from_s, began_s))
            for from_s, to_s in self.stalls
        )


def deadline_s(kind):
    """Return how long callers wait for a response to a kind of request."""
    return _DEADLINES_S.get(kind, DEFAULT_DEADLINE_S)


def expected_body(request_id):
    """Return the only valid response body of a request."""
    repeats = BODY_REPEATS[sum(request_id.encode()) % len(BODY_REPEATS)]
    return request_id.encode() * repeats


def expected_event(request_id, number, version):
    """Return the only valid event of a stream at an index, by a software version."""
    return f"id: {number}\ndata: {request_id}-{number} {version}\n\n".encode()


def parse_events(request_id, data):
    """Return the complete events in the body of a response.

    Parameters
    ----------
    request_id : str
        Id of the request.
    data : bytes
        The body, or the part of it that has arrived.

    Returns
    -------
    list of (int, str) or None
        Number and software version of each event; None if any isn't a valid event of
        this request.
    """
    found = []
    for raw in re.findall(rb".*?\n\n", data, re.DOTALL):
        match = _EVENT.fullmatch(raw)
        if match is None or match[2].decode() != request_id or match[1] != match[3]:
            return None
        found.append((int(match[1]), match[4].decode()))
    return found
