"""Requests that were not served, or late, by route and cause, from the hosts' logs."""

from typing import NamedTuple

from gypsumusher_process import parse_fields

__all__ = ["Loss", "find_losses", "format_losses"]

# A prefill that took more than this multiple of its predicted time is attributed to the
# prediction.
MISPREDICTION_FACTOR = 1.5
# Events that tell what was decided on a request; shown for the example of each cause.
DECISION_EVENTS = frozenset(
    (
        "endpoint_overdue",
        "prompt_read",
        "request_ended",
        "request_refused",
        "request_retried",
        "send_failed",
    )
)
# Causes of refusals, by the outcome that the event request_ended logs.
CAUSES_BY_OUTCOME = {
    "503:no_configuration": "refused: the host knew no configuration",
    "503:no_endpoint": "refused: no endpoint was known or well",
    "503:overloaded": "refused: no engine would have begun in time",
    "503:timeout": "refused: the time was up before anything was sent",
    "503:full": "refused: the endpoints had no room",
    "503:limited": "refused: the endpoints had no room in their limits",
    "503:paused": "refused: the endpoints wanted no requests for a while",
    "503:crashing_content": "refused: its content crashes endpoints",
    "503:no_retry": "refused: an endpoint had no room, and no retry was left",
    "503:connect": "refused: no endpoint took a connection",
    "503:no_connection": "refused: this host's connections were used up",
}
# Causes of a loss, the values of `Loss.cause`.
CONNECTION_BROKEN = "connection to the endpoint broken"
ENDPOINT_LOST = "endpoint lost"
HOST_LOST = "host lost, or its log ends before"
# At the end of the request its prefill still waited in an engine's queue.
QUEUED = "still in an engine's queue"
# No event of the response arrived before the request timed out.
NO_RESPONSE = "an endpoint's answer did not come"
STREAM_UNFINISHED = "the stream did not end in time"
CALLER_LEFT = "the caller left, or its connection broke"
ENDPOINT_FAILURE = "the endpoint's own failure"
LATE_AFTER_FAILURE = "late: an earlier send failed"
# The prefill alone, without any queue, takes longer than the objective.
LATE_TOO_LARGE = "late: the prompt is too large"
# The prefill waited in a queue for most of the objective, or was already too late when
# it was queued (lane "late").
LATE_QUEUE = "late: queue"
# The prefill took much longer than predicted.
LATE_MISPREDICTED = "late: expectation"
# Neither prefill nor queue explains the delay, so the transfer of the prompt's state to
# the decode engine, or that engine, took the time.
LATE_TRANSFER_OR_DECODE = "late: hand-over, or the engine that makes the tokens"
# The first event was in time, but a later gap between events exceeded its limit.
LATE_TOKEN_GAP = "late: pause between events"
LATE_SERVICE = "late: the service"


class Loss(NamedTuple):
    """Requests of one route that were lost or late for one cause.

    Attributes
    ----------
    route : str
        The route's name; ``-`` when the end of the request is not logged.
    cause : str
        The cause.
    count : int
        Number of requests.
    example_id : str
        The id of one of them.
    lines : list of dict
        Fields of the example's lines of DECISION_EVENTS, by time.
    """

    route: str
    cause: str
    count: int
    example_id: str
    lines: list[dict]


def find_losses(lines):
    """Return lost and late requests by route and cause, the most frequent first.

    Parameters
    ----------
    lines : iterable of str
        Log lines of all hosts, in any order.

    Returns
    -------
    list of Loss
        One per route and cause.
    """
    lines_by_request, removed_endpoints = _group_lines(lines)
    found = {}
    for request_id, request_lines in lines_by_request.items():
        request_lines.sort(key=lambda fields: fields.get("time", ""))
        end = _find_end(request_lines)
        cause = _cause_of(request_lines, end, removed_endpoints)
        if cause is None:
            continue
        route = "-" if end is None else end.get("route", "-")
        found.setdefault((route, cause), []).append((request_id, request_lines))
    losses = []
    for (route, cause), examples in found.items():
        request_id, request_lines = examples[0]
        losses.append(Loss(route, cause, len(examples), request_id, request_lines))
    return sorted(losses, key=lambda loss: (-loss.count, loss.route, loss.cause))


def format_losses(losses):
    """Return the losses as a table, followed by the log lines of each example."""
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


def _group_lines(lines):
    """Return the lines of DECISION_EVENTS by request id, and the removed endpoints."""
    lines_by_request, removed_endpoints = {}, set()
    for line in lines:
        fields = parse_fields(line)
        event = fields.get("event")
        if event in ("endpoint_deleted", "endpoint_dropped"):
            removed_endpoints.add(fields.get("endpoint"))
        elif event in DECISION_EVENTS and "id" in fields:
            lines_by_request.setdefault(fields["id"], []).append(fields)
    return lines_by_request, removed_endpoints


def _find_end(request_lines):
    """Return the fields of a request's event request_ended; None without one."""
    for fields in request_lines:
        if fields["event"] == "request_ended":
            return fields
    return None


def _cause_of(request_lines, end, removed_endpoints):
    """Return the cause of a request's loss or lateness; None when it was neither."""
    if end is None:
        return HOST_LOST
    if "route" not in end:
        # No route matches the request, so no service objective applies to it.
        return None
    outcome = end.get("outcome", "")
    status, _, reason = outcome.partition(":")
    if status.startswith("2"):
        return _lateness_cause(request_lines, end)
    if status.startswith("4"):
        return None
    if outcome in CAUSES_BY_OUTCOME:
        return CAUSES_BY_OUTCOME[outcome]
    if reason == "answered":
        return ENDPOINT_FAILURE
    if reason in ("timeout", "silent") or outcome == "caller_left":
        return _timeout_cause(request_lines, end)
    if reason == "broken" and end.get("endpoint") in removed_endpoints:
        return ENDPOINT_LOST
    if reason == "broken":
        return CONNECTION_BROKEN
    return outcome or CALLER_LEFT


def _timeout_cause(request_lines, end):
    """Return the cause for a request that timed out or whose caller left."""
    if "waited_at" in end:
        return QUEUED
    is_overdue = any(fields["event"] == "endpoint_overdue" for fields in request_lines)
    if is_overdue or end.get("outcome", "").endswith("silent"):
        return NO_RESPONSE
    if end.get("outcome") == "caller_left":
        return CALLER_LEFT
    return STREAM_UNFINISHED if "events" in end else NO_RESPONSE


def _lateness_cause(request_lines, end):
    """Return why a served request was late; None when it was on time.

    A request is late when the first byte of its response exceeds the route's
    objective, or a gap between events its limit.
    """
    objective_ms = _parse_number(end, "objective_ms")
    first_ms = _parse_number(end, "first_ms")
    if objective_ms is None or first_ms is None:
        return None
    if first_ms <= objective_ms:
        pause_ms, limit_ms = (
            _parse_number(end, "pause_ms"),
            _parse_number(end, "pause_limit_ms"),
        )
        is_late = pause_ms is not None and limit_ms is not None and pause_ms > limit_ms
        return LATE_TOKEN_GAP if is_late else None
    if any(fields["event"] == "send_failed" for fields in request_lines):
        return LATE_AFTER_FAILURE
    prefills = [fields for fields in request_lines if fields["event"] == "prompt_read"]
    if not prefills:
        return LATE_TRANSFER_OR_DECODE if "events" in end else LATE_SERVICE
    return _prefill_lateness_cause(prefills[-1], objective_ms)


def _prefill_lateness_cause(prefill, objective_ms):
    """Return why a request was late whose prefill was logged.

    Prediction and queue are named only when they account for over half the objective.
    """
    took_ms = _parse_number(prefill, "took_ms") or 0.0
    expected_ms = _parse_number(prefill, "expected_ms") or 0.0
    if (_parse_number(prefill, "cost_ms") or 0.0) > objective_ms:
        return LATE_TOO_LARGE
    if took_ms > MISPREDICTION_FACTOR * expected_ms and took_ms > objective_ms / 2.0:
        return LATE_MISPREDICTED
    if (_parse_number(prefill, "queue_ms") or 0.0) > objective_ms / 2.0:
        return LATE_QUEUE
    if prefill.get("lane") == "late":
        return LATE_QUEUE
    return LATE_TRANSFER_OR_DECODE


def _parse_number(fields, key):
    """Return a field as a number; None when it is absent or not a number."""
    try:
        return float(fields[key])
    except (KeyError, ValueError):
        return None
