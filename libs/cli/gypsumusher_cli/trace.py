"""One request's story, joined from the logs of several hosts."""

from typing import NamedTuple

from gypsumusher_process import parse_fields

__all__ = ["Trace", "format_trace", "join_trace"]

# Lines of other events that are shown around the request's own: what was believed of
# its endpoints, and which dependencies of its host were lost, shortly before its end.
AROUND_S = 3.0
AROUND_EVENTS = frozenset(
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
# What an outcome's reason means, for whoever reads it in the night.
CAUSES = {
    "answered": "an endpoint answered, and its answer was passed on",
    "streamed": "the stream was passed on whole",
    "broken": "an endpoint broke its answer off after the request was sent",
    "caller_left": "the caller closed its connection before the end",
    "connect": "no endpoint took a connection",
    "full": "the endpoints had no room, and nothing ran",
    "garbled": "an endpoint sent bytes that are no answer to this request",
    "left": "the endpoint began to leave before anything was sent",
    "no_configuration": "the host had just started and knew no configuration",
    "no_endpoint": "no endpoint of the service was known",
    "no_route": "no route of the configuration in force takes the path",
    "overloaded": "no engine would have begun before the caller gives up",
    "silent": "an endpoint said nothing for far longer than its work takes",
    "timeout": "the time of the route or of the caller was up",
}


class Trace(NamedTuple):
    """The lines that tell of one request.

    Attributes
    ----------
    request_id : str
        The request.
    lines : list of dict
        Its own lines and those around them, by time.
    outcome : str or None
        How it ended; None when no line says so.
    cause : str
        That in words.
    """

    request_id: str
    lines: list[dict]
    outcome: str | None
    cause: str


def join_trace(request_id, lines):
    """Return the story of one request.

    Parameters
    ----------
    request_id : str
        The request.
    lines : iterable of str
        Log lines of all hosts, in any order.
    """
    parsed = [parse_fields(line) for line in lines]
    own = [fields for fields in parsed if fields.get("id") == request_id]
    if not own:
        return Trace(request_id, [], None, "no line bears this id")
    endpoints = {fields["endpoint"] for fields in own if "endpoint" in fields}
    hosts = {fields.get("host") for fields in own}
    last = max(fields.get("time", "") for fields in own)
    around = []
    for fields in parsed:
        if fields.get("event") not in AROUND_EVENTS or "time" not in fields:
            continue
        if fields.get("host") not in hosts or not _is_near(fields["time"], last):
            continue
        if "endpoint" in fields and fields["endpoint"] not in endpoints:
            continue
        around.append(fields)
    story = sorted(own + around, key=lambda fields: fields.get("time", ""))
    outcome = None
    for fields in story:
        if fields.get("event") == "request_ended" and fields.get("id") == request_id:
            outcome = fields.get("outcome")
    return Trace(request_id, story, outcome, _cause_of(outcome))


def format_trace(trace):
    """Return a story as text, a line for each event, its own lines marked."""
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


def _cause_of(outcome):
    if outcome is None:
        return "its end is not in these files: the host may have ended before it"
    reason = outcome.rpartition(":")[2]
    if reason.startswith("status_"):
        return "an endpoint answered with a failure of its own"
    return CAUSES.get(reason, "see the lines above")


def _is_near(time, last):
    """Say whether a line lies shortly before another one, or right behind it.

    Times are compared by their seconds within an hour, which is all that is needed
    for lines a few seconds apart.
    """
    return (
        0.0
        <= (_second_of_hour(last) - _second_of_hour(time) + 0.5) % 3600.0
        <= (AROUND_S + 0.5)
    )


def _second_of_hour(time):
    """Return the seconds since the full hour of ``YYYY-MM-DDTHH:MM:SS.ffffffZ``."""
    try:
        return int(time[14:16]) * 60.0 + float(time[17:26].rstrip("Z"))
    except ValueError:
        return -1800.0
