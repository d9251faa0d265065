"""Retries of all hosts, compared with the permitted number, from the hosts' logs.

Within each window of time the hosts together may send a service at most
``ratio * requests + slack`` repeats; each host divides the slack by the number of hosts
that it knows of. A repeat is any send of a request beyond its first one; a retry is a
repeat that is charged to the retry budget.
"""

from datetime import datetime
from typing import NamedTuple

from gypsumusher_process import parse_fields

__all__ = ["HostRetries", "ServiceRetries", "find_retries", "format_retries"]


class HostRetries(NamedTuple):
    """Requests and retries of one host to one service within the window.

    Attributes
    ----------
    host : str
        The host's name.
    requests : int
        Requests that ended on the host.
    repeats : int
        Sends of these requests beyond the first one of each.
    retries : int
        Retries that the host's retry budget allowed.
    withheld : int
        Retries that the host's retry budget didn't allow.
    divided_by : str
        Smallest and largest number of hosts by which the host divided the slack, as
        ``MIN-MAX``; ``-`` when no retry was decided on.
    """

    host: str
    requests: int
    repeats: int
    retries: int
    withheld: int
    divided_by: str


class ServiceRetries(NamedTuple):
    """The window in which a service used the largest fraction of its allowed repeats.

    Attributes
    ----------
    service : str
        The service's name.
    from_s : float
        Start of the window, in Unix seconds.
    requests, repeats, retries : int
        Sums over all hosts; see `HostRetries`.
    allowed : float
        Repeats that are allowed for the requests of the window.
    hosts : list of HostRetries
        Figures of each host, by name.
    """

    service: str
    from_s: float
    requests: int
    repeats: int
    retries: int
    allowed: float
    hosts: list[HostRetries]


class _LogRecord(NamedTuple):
    """The counts that one log line adds to a service."""

    at_s: float
    host: str
    requests: int = 0
    repeats: int = 0
    retries: int = 0
    withheld: int = 0
    divided_by: int | None = None


def find_retries(lines, ratio, slack, window_s):
    """Return the window of each service that used most of its allowed repeats.

    Parameters
    ----------
    lines : iterable of str
        Log lines of all hosts, in any order.
    ratio, slack : float
        Repeats allowed per request of a window, and per window in addition.
    window_s : float
        Length of the window, in seconds.

    Returns
    -------
    list of ServiceRetries
        One per service, by name.
    """
    by_service = {}
    for line in lines:
        fields = parse_fields(line)
        record = _parse_record(fields)
        if record is not None:
            by_service.setdefault(fields["service"], []).append(record)
    return [
        _find_worst_window(service, sorted(by_service[service]), ratio, slack, window_s)
        for service in sorted(by_service)
    ]


def format_retries(found):
    """Return the windows as text: for each service its sums, then a line per host."""
    header = f"{'requests':>9} {'repeats':>8} {'allowed':>8} {'retries':>8}"
    lines = []
    for item in found:
        begin = datetime.fromtimestamp(item.from_s).strftime("%H:%M:%S.%f")[:12]
        lines += [
            f"{item.service}, from {begin}",
            header,
            f"{item.requests:>9} {item.repeats:>8} {item.allowed:>8.0f}"
            f" {item.retries:>8}",
            f"  {'host':<24} {'requests':>8} {'repeats':>8} {'retries':>8}"
            f" {'withheld':>8} divided by",
        ]
        for host in item.hosts:
            lines.append(
                f"  {host.host:<24} {host.requests:>8} {host.repeats:>8}"
                f" {host.retries:>8} {host.withheld:>8} {host.divided_by}"
            )
        lines.append("")
    return "\n".join(lines)


def _parse_record(fields):
    """Return the counts of a log line; None when it is of no counted event."""
    event = fields.get("event")
    if "service" not in fields or "time" not in fields:
        return None
    at_s = datetime.fromisoformat(fields["time"]).timestamp()
    host = fields.get("host", "-")
    if event == "request_ended":
        return _LogRecord(at_s, host, requests=1, repeats=int(fields.get("repeats", 0)))
    if event == "retry_taken":
        return _LogRecord(at_s, host, retries=1, divided_by=int(fields["hosts"]))
    if event == "retry_withheld":
        return _LogRecord(at_s, host, withheld=1, divided_by=int(fields["hosts"]))
    return None


def _find_worst_window(service, records, ratio, slack, window_s):
    """Return the window that used the largest fraction of the allowed repeats."""
    worst, worst_fraction = (0, len(records)), -1.0
    requests = repeats = end = 0
    for begin, first in enumerate(records):
        while end < len(records) and records[end].at_s < first.at_s + window_s:
            requests += records[end].requests
            repeats += records[end].repeats
            end += 1
        # The minimum avoids a division by 0: where no repeat is allowed, any repeat
        # exceeds the limit.
        fraction = repeats / max(1e-9, ratio * requests + slack)
        # A window has to contain all records of its first instant.
        is_first_of_instant = begin == 0 or records[begin - 1].at_s < first.at_s
        if is_first_of_instant and fraction > worst_fraction:
            worst, worst_fraction = (begin, end), fraction
        requests -= first.requests
        repeats -= first.repeats
    in_window = records[slice(*worst)]
    names = sorted({record.host for record in in_window})
    hosts = [
        _sum_host(name, [record for record in in_window if record.host == name])
        for name in names
    ]
    requests = sum(host.requests for host in hosts)
    return ServiceRetries(
        service,
        in_window[0].at_s,
        requests,
        sum(host.repeats for host in hosts),
        sum(host.retries for host in hosts),
        ratio * requests + slack,
        hosts,
    )


def _sum_host(name, records):
    """Return the sums over the records of one host."""
    divisors = [
        record.divided_by for record in records if record.divided_by is not None
    ]
    divided_by = f"{min(divisors)}-{max(divisors)}" if divisors else "-"
    return HostRetries(
        name,
        sum(record.requests for record in records),
        sum(record.repeats for record in records),
        sum(record.retries for record in records),
        sum(record.withheld for record in records),
        divided_by,
    )
