"""What endpoints said of themselves, and what hosts sent them after it, from the logs.

An endpoint that says that it leaves should get no request that arrives at a host some
time after the host was told. One that wants no requests from a host for a while should
get none in that time, but for what was under way. The logs don't have a line for each
send, so the time of some is taken from other lines of the same request.
"""

from datetime import datetime
from typing import NamedTuple

from gypsumusher_process import parse_fields

__all__ = ["EndpointNotices", "find_notices", "format_notices"]

LEAVING, PAUSED = "endpoint_leaving", "endpoint_paused"
RUN, PREFILL = "run", "prefill"


class EndpointNotices(NamedTuple):
    """The notices of one kind of an endpoint, and the requests sent in spite of them.

    Attributes
    ----------
    endpoint, event : str
        Id of the endpoint, and the event that hosts logged.
    first_s : float
        When the first host was told, in Unix seconds.
    hosts : int
        Number of hosts that were told.
    spread_s : float
        Time from the first to the last host that was told, in seconds.
    notices : int
        Number of notices.
    sends : int
        Requests that a host sent the endpoint although it was told.
    most : int
        Largest number of them after one notice to one host.
    example : str
        Id of one of them; empty if there is none.
    """

    endpoint: str
    event: str
    first_s: float
    hosts: int
    spread_s: float
    notices: int
    sends: int
    most: int
    example: str


class _Notice(NamedTuple):
    """One notice to one host."""

    at_s: float
    host: str
    for_s: float


class _Send(NamedTuple):
    """A request at an endpoint: its arrival at the host, and when it was sent on."""

    request_id: str
    arrived_s: float
    sent_s: float


def find_notices(lines, drain_s, grace_s):
    """Return the notices of each endpoint, and what was sent in spite of them.

    Parameters
    ----------
    lines : iterable of str
        Log lines of all hosts, in any order.
    drain_s : float
        Time after which a request that arrives at a host must not be sent to an
        endpoint that has told it that it leaves, in seconds.
    grace_s : float
        Time within which requests may still reach an endpoint that wants none, in
        seconds.

    Returns
    -------
    list of EndpointNotices
        By time of the first notice.
    """
    notices, sends = {}, _SendTimes()
    for line in lines:
        fields = parse_fields(line)
        if "time" not in fields or "endpoint" not in fields:
            continue
        at_s = datetime.fromisoformat(fields["time"]).timestamp()
        event = fields.get("event")
        if event in (LEAVING, PAUSED):
            notice = _Notice(
                at_s, fields.get("host", "-"), float(fields.get("for_s", 0.0))
            )
            notices.setdefault((fields["endpoint"], event), []).append(notice)
        else:
            sends.add(at_s, event, fields)
    by_target = sends.by_target()
    found = [
        _summarize(*key, sorted(told), by_target, drain_s, grace_s)
        for key, told in notices.items()
    ]
    return sorted(found, key=lambda item: (item.first_s, item.endpoint, item.event))


def format_notices(found):
    """Return the notices as a table."""
    lines = [
        f"{'endpoint':<20} {'event':<17} {'first':<12} {'hosts':>5} {'spread_s':>8}"
        f" {'notices':>7} {'sends':>5} {'most':>4} example"
    ]
    for item in found:
        first = datetime.fromtimestamp(item.first_s).strftime("%H:%M:%S.%f")[:12]
        lines.append(
            f"{item.endpoint:<20} {item.event:<17} {first:<12} {item.hosts:>5}"
            f" {item.spread_s:>8.2f} {item.notices:>7} {item.sends:>5} {item.most:>4}"
            f" {item.example}"
        )
    return "\n".join(lines)


class _SendTimes:
    """Collects when requests were sent to endpoints, from several kinds of lines."""

    def __init__(self):
        # Arrival at the host, and end of the prefill, by host and request.
        self._arrived_s = {}
        self._prefilled_s = {}
        # Time of each send, by host, request, endpoint and step; None if not known.
        self._sent_s = {}

    def add(self, at_s, event, fields):
        """Add what one log line tells."""
        request = (fields.get("host", "-"), fields.get("id", ""))
        endpoint = fields["endpoint"]
        if event == "request_ended":
            self._arrived_s[request] = at_s - _seconds(fields, "took_ms")
            self._sent_s.setdefault((*request, endpoint, RUN), None)
        elif event == "prompt_read":
            self._prefilled_s[request] = at_s
            sent_s = at_s - _seconds(fields, "took_ms")
            self._sent_s[(*request, endpoint, PREFILL)] = sent_s
        elif event == "repeat_sent":
            self._sent_s[(*request, endpoint, fields.get("step", RUN))] = at_s
        elif event == "send_failed" and "since_send_ms" in fields:
            sent_s = at_s - _seconds(fields, "since_send_ms")
            self._sent_s[(*request, endpoint, fields.get("step", RUN))] = sent_s

    def by_target(self):
        """Return the sends by host and endpoint."""
        found = {}
        for (host, request_id, endpoint, _), sent_s in self._sent_s.items():
            request = (host, request_id)
            if sent_s is None:
                # A run without a line of its own follows the arrival or the prefill.
                sent_s = self._prefilled_s.get(request, self._arrived_s[request])
            send = _Send(request_id, self._arrived_s.get(request, sent_s), sent_s)
            found.setdefault((host, endpoint), []).append(send)
        return found


def _seconds(fields, name):
    """Return a field in milliseconds as seconds; 0 if it is missing."""
    return float(fields.get(name, 0.0)) / 1000.0


def _summarize(endpoint, event, told, by_target, drain_s, grace_s):
    """Return the notices of one kind, with the requests sent in spite of them."""
    # Only the first word counts that an endpoint leaves, and it counts for good.
    counted = told if event == PAUSED else _first_of_each_host(told)
    against, most, example = set(), 0, ""
    for notice in counted:
        sends = [
            send
            for send in by_target.get((notice.host, endpoint), ())
            if _is_against(event, notice, send, drain_s, grace_s)
        ]
        against.update((notice.host, send.request_id) for send in sends)
        if len(sends) > most:
            most, example = len(sends), sends[0].request_id
    first_s = told[0].at_s
    told_s = [notice.at_s for notice in _first_of_each_host(told)]
    return EndpointNotices(
        endpoint,
        event,
        first_s,
        len(told_s),
        max(told_s) - first_s,
        len(told),
        len(against),
        most,
        example,
    )


def _first_of_each_host(told):
    """Return the first notice to each host."""
    first = {}
    for notice in told:
        first.setdefault(notice.host, notice)
    return list(first.values())


def _is_against(event, notice, send, drain_s, grace_s):
    """Return whether a request was sent in spite of a notice."""
    if event == LEAVING:
        return send.arrived_s > notice.at_s + drain_s
    return notice.at_s + grace_s < send.sent_s < notice.at_s + notice.for_s
