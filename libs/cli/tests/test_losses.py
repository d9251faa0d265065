"""Lost and late requests and their causes, from the logs of several hosts."""

from gypsumusher_cli.losses import (
    CALLER_LEFT,
    ENDPOINT_FAILURE,
    ENDPOINT_LOST,
    HOST_LOST,
    LATE_AFTER_FAILURE,
    LATE_QUEUE,
    LATE_SERVICE,
    LATE_TOKEN_GAP,
    LATE_TOO_LARGE,
    NO_RESPONSE,
    QUEUED,
    STREAM_UNFINISHED,
    find_losses,
    format_losses,
)


def line(second, event, request_id=None, **fields):
    words = [f"time=2026-02-05T01:28:{second:02d}.000000Z level=INFO event={event}"]
    if request_id is not None:
        words.append(f"id={request_id}")
    return " ".join([*words, *(f"{key}={value}" for key, value in fields.items())])


def end(request_id, outcome, second=9, **fields):
    return line(
        second, "request_ended", request_id, outcome=outcome, route="r-1", **fields
    )


def causes(*lines):
    return {loss.cause: loss.count for loss in find_losses(lines)}


def test_requests_served_in_time_or_without_a_route_are_not_losses():
    assert not causes(
        end("a", "200:streamed", objective_ms=500, first_ms=400, events=3),
        end("b", "404:no_route"),
        line(9, "request_ended", "c", outcome="503:no_configuration"),
        "not a line of a host",
    )


def test_lost_requests_are_counted_by_cause():
    found = causes(
        line(1, "endpoint_deleted", endpoint="e-1"),
        end("a", "502:broken", endpoint="e-1"),
        end("b", "504:timeout", waited_at="e-2"),
        end("c", "504:timeout", endpoint="e-2"),
        end("d", "504:timeout", endpoint="e-2", events=4),
        end("e", "caller_left", endpoint="e-2", events=4),
        end("f", "500:answered", endpoint="e-3"),
        line(2, "endpoint_overdue", "g", endpoint="e-2"),
        end("g", "caller_left", endpoint="e-2"),
    )
    assert found == {
        ENDPOINT_LOST: 1,
        QUEUED: 1,
        NO_RESPONSE: 2,
        STREAM_UNFINISHED: 1,
        CALLER_LEFT: 1,
        ENDPOINT_FAILURE: 1,
    }


def test_a_request_without_a_logged_end_was_lost_with_its_host():
    """A killed host logs no end of its requests; they still count as lost."""
    found = find_losses([line(1, "prompt_read", "a", lane="timely")])
    assert [(loss.cause, loss.route) for loss in found] == [(HOST_LOST, "-")]


def test_late_requests_are_counted_by_cause():
    late = {"objective_ms": 500, "first_ms": 900, "events": 4}
    reading = {"lane": "timely", "expected_ms": 300, "took_ms": 320}
    found = causes(
        line(1, "send_failed", "a", reason="silent"),
        end("a", "200:streamed", **late),
        line(1, "prompt_read", "b", cost_ms=800, **reading),
        end("b", "200:streamed", **late),
        line(1, "prompt_read", "c", cost_ms=90, queue_ms=400, **reading),
        end("c", "200:streamed", **late),
        end("d", "200:answered", objective_ms=120, first_ms=200),
        end("e", "200:streamed", objective_ms=500, first_ms=90, events=4,
            pause_ms=420, pause_limit_ms=300),
    )  # fmt: skip
    assert found == {
        LATE_AFTER_FAILURE: 1,
        LATE_TOO_LARGE: 1,
        LATE_QUEUE: 1,
        LATE_SERVICE: 1,
        LATE_TOKEN_GAP: 1,
    }


def test_the_most_frequent_cause_is_first_with_the_lines_of_its_example():
    found = find_losses(
        [
            end("a", "500:answered"),
            end("b", "504:timeout", waited_at="e-2"),
            end("c", "504:timeout", waited_at="e-2"),
            line(3, "send_failed", "b", reason="silent", step="prefill"),
        ]
    )
    assert [(loss.cause, loss.count) for loss in found] == [
        (QUEUED, 2),
        (ENDPOINT_FAILURE, 1),
    ]
    text = format_losses(found)
    assert text.index("reason=silent") < text.index("outcome=504:timeout")
