"""Requests that were not served, or late, by kind and cause, from the hosts' logs."""

from typing import NamedTuple

from gypsumusher_process import parse_fields

__all__ = ["Loss", "find_losses", "format_losses"]

# A reading that took so many times what was expected was late for the expectation.
OFF_FACTOR = 1.5
# Lines that say what was decided on a request, shown with its example.
DECIDING = frozenset(
    (
        "endpoint_overdue",
        "prompt_read",
        "request_ended",
        "request_refused",
        "request_retried",
        "send_failed",
    )
)
CAUSES_BY_OUTCOME = {
    "503:no_configuration": "refused: the host knew no configuration",
    "503:no_endpoint": "refused: no endpoint was known or well",
    "503:overloaded": "refused: no engine would have begun in time",
    "503:timeout": "refused: the time was up before anything was sent",
    "503:full": "refused: the endpoints had no room",
    "503:no_retry": "refused: an endpoint had no room, and no retry was left",
    "503:connect": "refused: no endpoint took a connection",
    "503:no_connection": "refused: this host's connections were used up",
}
CONNECTION_BROKEN = "connection to the endpoint broken"
ENDPOINT_LOST = "endpoint lost"
HOST_LOST = "host lost, or its log ends before"
QUEUED = "still in an engine's queue"
SILENT = "an endpoint's answer did not come"
UNFINISHED = "the stream did not end in time"
LEFT = "the caller left, or its connection broke"
OWN_FAILURE = "the endpoint's own failure"
LATE_AFTER_FAILURE = "late: an earlier send failed"
LATE_TOO_LARGE = "late: the prompt is too large"
LATE_QUEUE = "late: queue"
LATE_EXPECTATION = "late: expectation"
LATE_ELSEWHERE = "late: hand-over, or the engine that makes the tokens"
LATE_PAUSE = "late: pause between events"
LATE_SERVICE = "late: the service"


class Loss(NamedTuple):
    """Requests of one kind that were lost for one cause.

    Attributes
    ----------
    route : str
        The kind.
    cause : str
        The cause.
    count : int
        How many.
    example_id : str
        One of them.
    lines : list of dict
        What was decided on that one, by time.
    """

    route: str
    cause: str
    count: int
    example_id: str
    lines: list[dict]


def find_losses(lines):
    """Return what was lost, the most frequent first.

    Parameters
    ----------
    lines : iterable of str
        Log lines of all hosts, in any order.

    Returns
    -------
    list of Loss
    """
    stories, gone = _collect(lines)
    found = {}
    for request_id, story in stories.items():
        story.sort(key=lambda fields: fields.get("time", ""))
        end = _end_of(story)
        cause = _cause_of(story, end, gone)
        if cause is None:
            continue
        route = "-" if end is None else end.get("route", "-")
        found.setdefault((route, cause), []).append((request_id, story))
    losses = []
    for (route, cause), cases in found.items():
        request_id, story = cases[0]
        losses.append(Loss(route, cause, len(cases), request_id, story))
    return sorted(losses, key=lambda loss: (-loss.count, loss.route, loss.cause))


def format_losses(losses):
    """Return the losses as a table, with an example of each below it."""
    lines = [f"{'count':>6}  {'route':<14} {'example':<18} cause"]
    for loss in losses:
        lines.append(
            f"{loss.count:>6}  {loss.route:<14} {loss.example_id:<18} {loss.cause}"
        )
    for loss in losses:
        lines += ["", f"{loss.route}, {loss.cause}: {loss.example_id}"]
        for fields in loss.lines:
            details = [
                f"{key}={value}"
                for key, value in fields.items()
                if key not in ("time", "level", "id")
            ]
            lines.append(" ".join(["  ", fields.get("time", "")[11:23], *details]))
    return "\n".join(lines)


def _collect(lines):
    """Return the deciding lines by request, and the endpoints that have gone."""
    stories, gone = {}, set()
    for line in lines:
        fields = parse_fields(line)
        event = fields.get("event")
        if event in ("endpoint_deleted", "endpoint_dropped"):
            gone.add(fields.get("endpoint"))
        elif event in DECIDING and "id" in fields:
            stories.setdefault(fields["id"], []).append(fields)
    return stories, gone


def _end_of(story):
    for fields in story:
        if fields["event"] == "request_ended":
            return fields
    return None


def _cause_of(story, end, gone):
    """Return why a request was lost or late; None when it was neither."""
    if end is None:
        return HOST_LOST
    if "route" not in end:
        # No route takes it: it is owed nothing.
        return None
    outcome = end.get("outcome", "")
    status, _, reason = outcome.partition(":")
    if status.startswith("2"):
        return _cause_of_lateness(story, end)
    if status.startswith("4"):
        return None
    if outcome in CAUSES_BY_OUTCOME:
        return CAUSES_BY_OUTCOME[outcome]
    if reason == "answered":
        return OWN_FAILURE
    if reason in ("timeout", "silent") or outcome == "caller_left":
        return _cause_of_wait(story, end)
    if reason == "broken" and end.get("endpoint") in gone:
        return ENDPOINT_LOST
    if reason == "broken":
        return CONNECTION_BROKEN
    return outcome or LEFT


def _cause_of_wait(story, end):
    """Return what a request waited for that its caller or its time ended."""
    if "waited_at" in end:
        return QUEUED
    is_overdue = any(fields["event"] == "endpoint_overdue" for fields in story)
    if is_overdue or end.get("outcome", "").endswith("silent"):
        return SILENT
    if end.get("outcome") == "caller_left":
        return LEFT
    return UNFINISHED if "events" in end else SILENT


def _cause_of_lateness(story, end):
    """Return why an answer was late; None when it was on time."""
    objective_ms = _number(end, "objective_ms")
    first_ms = _number(end, "first_ms")
    if objective_ms is None or first_ms is None:
        return None
    if first_ms <= objective_ms:
        pause_ms, limit_ms = _number(end, "pause_ms"), _number(end, "pause_limit_ms")
        is_late = pause_ms is not None and limit_ms is not None and pause_ms > limit_ms
        return LATE_PAUSE if is_late else None
    if any(fields["event"] == "send_failed" for fields in story):
        return LATE_AFTER_FAILURE
    readings = [fields for fields in story if fields["event"] == "prompt_read"]
    if not readings:
        return LATE_ELSEWHERE if "events" in end else LATE_SERVICE
    return _cause_of_reading(readings[-1], objective_ms)


def _cause_of_reading(reading, objective_ms):
    """Return why a prompt that was read apart was late."""
    took_ms = _number(reading, "took_ms") or 0.0
    expected_ms = _number(reading, "expected_ms") or 0.0
    if (_number(reading, "cost_ms") or 0.0) > objective_ms:
        return LATE_TOO_LARGE
    if took_ms > OFF_FACTOR * expected_ms and took_ms > objective_ms / 2.0:
        return LATE_EXPECTATION
    if (_number(reading, "queue_ms") or 0.0) > objective_ms / 2.0:
        return LATE_QUEUE
    if reading.get("lane") == "late":
        return LATE_QUEUE
    return LATE_ELSEWHERE


def _number(fields, key):
    """Return a field as a number; None when it isn't one."""
    try:
        return float(fields[key])
    except (KeyError, ValueError):
        return None
