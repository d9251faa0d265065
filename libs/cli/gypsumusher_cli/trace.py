"""The trace of one request, merged from the logs of several hosts."""

from typing import NamedTuple

from gypsumusher_process import parse_fields

__all__ = ["Trace", "build_trace", "format_trace"]

# A trace also shows lines of CONTEXT_EVENTS that the request's hosts logged within this
# time before the request's last line: a change of its endpoints, of the configuration
# or of the host's dependencies may explain the outcome.
CONTEXT_WINDOW_S = 3.0
CONTEXT_EVENTS = frozenset(
    (
        "configuration_adopted",
        "dependency_lost",
        "dependency_regained",
        "endpoint_changed",
        "endpoint_deleted",
        "endpoint_dropped",
        "log_folded",
        "stop_began",
    )
)
# Explanations of the reasons in the log event ``request_ended``.
CAUSES = {
    "answered": "an endpoint responded, and its response was passed on",
    "streamed": "the complete stream was passed on",
    "broken": "an endpoint broke its answer off after the request was sent",
    "caller_left": "the caller closed its connection before the response was complete",
    "connect": "no endpoint accepted a connection",
    "crashing_content": "its content crashes endpoints and is refused for a time",
    "full": "the endpoints were at capacity, and nothing ran",
    "garbled": "an endpoint sent an invalid response",
    "left": "the endpoint stopped taking new work before anything was sent",
    "limited": "the endpoints' limits on requests from all hosts left no room",
    "no_configuration": "the host had just started and had no configuration",
    "no_endpoint": "no endpoint of the service was known",
    "no_route": "no route of the configuration in force matches the path",
    "overloaded": "no engine would have started the request before the caller gives up",
    "silent": "an endpoint sent nothing for far longer than the work should take",
    "timeout": "the time limit of the route or of the caller expired",
}


class Trace(NamedTuple):
    """The log lines of one request, and its outcome.

    Attributes
    ----------
    request_id : str
        The request's id.
    lines : list of dict
        Fields of the request's lines and of the context lines, by time.
    outcome : str or None
        The outcome that was logged at the request's end, e.g. ``502:broken``; None
        when the end is not logged.
    cause : str
        The outcome explained in words.
    """

    request_id: str
    lines: list[dict]
    outcome: str | None
    cause: str


def build_trace(request_id, lines):
    """Return the trace of one request.

    Parameters
    ----------
    request_id : str
        The request's id.
    lines : iterable of str
        Log lines of all hosts, in any order.

    Returns
    -------
    Trace
        Without lines when no line has this id.
    """
    parsed = [parse_fields(line) for line in lines]
    own = [fields for fields in parsed if fields.get("id") == request_id]
    if not own:
        return Trace(request_id, [], None, "no log line has this id")
    endpoints = {fields["endpoint"] for fields in own if "endpoint" in fields}
    hosts = {fields.get("host") for fields in own}
    last = max(fields.get("time", "") for fields in own)
    context = []
    for fields in parsed:
        if fields.get("event") not in CONTEXT_EVENTS or "time" not in fields:
            continue
        if fields.get("host") not in hosts or not _is_near_end(fields["time"], last):
            continue
        if "endpoint" in fields and fields["endpoint"] not in endpoints:
            continue
        context.append(fields)
    trace_lines = sorted(own + context, key=lambda fields: fields.get("time", ""))
    outcome = None
    for fields in trace_lines:
        if fields.get("event") == "request_ended" and fields.get("id") == request_id:
            outcome = fields.get("outcome")
    return Trace(request_id, trace_lines, outcome, _explain_outcome(outcome))


def format_trace(trace):
    """Return a trace as text: a line per event, the request's own marked with ``*``."""
    lines = []
    for fields in trace.lines:
        mark = "*" if fields.get("id") == trace.request_id else " "
        when = fields.get("time", "")[11:23]
        details = [
            f"{key}={value}"
            for key, value in fields.items()
            if key not in ("time", "level", "event", "host", "id")
        ]
        words = [mark, when, fields.get("host", "-"), fields.get("event", "-")]
        lines.append(" ".join([*words, *details]))
    lines.append(f"outcome: {trace.outcome or 'unknown'}: {trace.cause}")
    return "\n".join(lines)


def _explain_outcome(outcome):
    """Return an outcome, e.g. ``502:broken``, explained in words."""
    if outcome is None:
        return "these files lack the request's end: the host may have ended before it"
    reason = outcome.rpartition(":")[2]
    if reason.startswith("status_"):
        return "an endpoint responded with an error status"
    return CAUSES.get(reason, "see the lines above")


def _is_near_end(time, last):
    """Return whether ``time`` lies within CONTEXT_WINDOW_S before ``last``.

    Up to 0.5 s after ``last`` also counts, for lines that were logged just after the
    request's end. Times are compared by their seconds within the hour (modulo 3600),
    which suffices for lines a few seconds apart.
    """
    return (
        0.0
        <= (_second_of_hour(last) - _second_of_hour(time) + 0.5) % 3600.0
        <= (CONTEXT_WINDOW_S + 0.5)
    )


def _second_of_hour(time):
    """Return the seconds since the full hour of ``YYYY-MM-DDTHH:MM:SS.ffffffZ``.

    A malformed time gives -1800 s, half an hour before the full hour.
    """
    try:
        return int(time[14:16]) * 60.0 + float(time[17:26].rstrip("Z"))
    except ValueError:
        return -1800.0
