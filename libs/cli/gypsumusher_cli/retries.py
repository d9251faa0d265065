"""Retries of all hosts against the operator's bound, from the hosts' logs."""

from datetime import datetime
from typing import NamedTuple

from gypsumusher_process import parse_fields

__all__ = ["HostRetries", "ServiceRetries", "find_retries", "format_retries"]


class HostRetries(NamedTuple):
    """What one host sent to one service in the window.

    Attributes
    ----------
    host : str
        The host.
    requests : int
        Requests that it served.
    repeats : int
        Their sends beyond the first.
    retries : int
        Retries that it took from its share.
    withheld : int
        Retries that its share didn't allow.
    divided_by : str
        Numbers of hosts by which it divided the slack, least and most.
    """

    host: str
    requests: int
    repeats: int
    retries: int
    withheld: int
    divided_by: str


class ServiceRetries(NamedTuple):
    """The window in which a service got the largest part of its bound.

    Attributes
    ----------
    service : str
        The service.
    from_s : float
        Begin of the window, in Unix seconds.
    requests, repeats, retries : int
        Those of all hosts.
    allowed : float
        Repeats that the bound allows.
    hosts : list of HostRetries
        Each host, by name.
    """

    service: str
    from_s: float
    requests: int
    repeats: int
    retries: int
    allowed: float
    hosts: list[HostRetries]


class _Line(NamedTuple):
    """What one line says of a service."""

    at_s: float
    host: str
    requests: int = 0
    repeats: int = 0
    retries: int = 0
    withheld: int = 0
    divided_by: int | None = None


def find_retries(lines, ratio, slack, window_s):
    """Return the worst window of each service.

    Parameters
    ----------
    lines : iterable of str
        Log lines of all hosts, in any order.
    ratio, slack : float
        Repeats allowed for each request of a window, and on top.
    window_s : float
        The window, in seconds.

    Returns
    -------
    list of ServiceRetries
    """
    by_service = {}
    for line in lines:
        fields = parse_fields(line)
        read = _read(fields)
        if read is not None:
            by_service.setdefault(fields["service"], []).append(read)
    return [
        _worst_window(service, sorted(by_service[service]), ratio, slack, window_s)
        for service in sorted(by_service)
    ]


def format_retries(found):
    """Return the windows as a table, with the hosts below each."""
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


def _read(fields):
    """Return what a line says of a service; None when it says nothing."""
    event = fields.get("event")
    if "service" not in fields or "time" not in fields:
        return None
    at_s = datetime.fromisoformat(fields["time"]).timestamp()
    host = fields.get("host", "-")
    if event == "request_ended":
        return _Line(at_s, host, requests=1, repeats=int(fields.get("repeats", 0)))
    if event == "retry_taken":
        return _Line(at_s, host, retries=1, divided_by=int(fields["hosts"]))
    if event == "retry_withheld":
        return _Line(at_s, host, withheld=1, divided_by=int(fields["hosts"]))
    return None


def _worst_window(service, lines, ratio, slack, window_s):
    """Return the window with the largest part of the allowed repeats."""
    worst, worst_used = (0, len(lines)), -1.0
    requests = repeats = end = 0
    for begin, first in enumerate(lines):
        while end < len(lines) and lines[end].at_s < first.at_s + window_s:
            requests += lines[end].requests
            repeats += lines[end].repeats
            end += 1
        # A bound of none is used up by any repeat.
        used = repeats / max(1e-9, ratio * requests + slack)
        # A window holds all lines of its first moment.
        is_begin = begin == 0 or lines[begin - 1].at_s < first.at_s
        if is_begin and used > worst_used:
            worst, worst_used = (begin, end), used
        requests -= first.requests
        repeats -= first.repeats
    chosen = lines[slice(*worst)]
    names = sorted({line.host for line in chosen})
    hosts = [
        _of_host(name, [line for line in chosen if line.host == name]) for name in names
    ]
    requests = sum(host.requests for host in hosts)
    return ServiceRetries(
        service,
        chosen[0].at_s,
        requests,
        sum(host.repeats for host in hosts),
        sum(host.retries for host in hosts),
        ratio * requests + slack,
        hosts,
    )


def _of_host(name, lines):
    """Return the sums of one host."""
    divisors = [line.divided_by for line in lines if line.divided_by is not None]
    divided_by = f"{min(divisors)}-{max(divisors)}" if divisors else "-"
    return HostRetries(
        name,
        sum(line.requests for line in lines),
        sum(line.repeats for line in lines),
        sum(line.retries for line in lines),
        sum(line.withheld for line in lines),
        divided_by,
    )
