"""What endpoints said of themselves, and what they got after it, from hosts' logs."""

from gypsumusher_cli.notices import find_notices, format_notices


def line(second, host, event, **fields):
    words = [f"time=2026-02-05T01:28:{second:09.6f}Z level=INFO event={event}"]
    pairs = {"host": host, "endpoint": "e-1", **fields}
    return " ".join([*words, *(f"{key}={value}" for key, value in pairs.items())])


def test_requests_to_an_endpoint_that_leaves_are_found_by_host():
    lines = [
        line(10, "h-1", "endpoint_leaving"),
        line(10.2, "h-2", "endpoint_leaving"),
        line(11.5, "h-1", "endpoint_leaving"),
        line(12.9, "h-1", "request_ended", id="in-time", took_ms=1000),
        line(12.9, "h-1", "request_ended", id="late", took_ms=100),
        line(12.9, "h-3", "request_ended", id="not-told", took_ms=100),
        line(12.9, "h-1", "request_ended", id="other", took_ms=100, endpoint="e-2"),
    ]
    (found,) = find_notices(reversed(lines), drain_s=2.0, grace_s=0.5)
    assert (found.endpoint, found.hosts, found.notices) == ("e-1", 2, 3)
    assert round(found.spread_s, 3) == 0.2
    assert (found.sends, found.most, found.example) == (1, 1, "late")
    assert "late" in format_notices([found])


def test_requests_in_a_pause_are_counted_by_the_time_of_their_send():
    lines = [
        line(10, "h-1", "endpoint_paused", for_s=3),
        line(10.3, "h-1", "send_failed", id="a", step="run", since_send_ms=10),
        line(11, "h-1", "repeat_sent", id="b", step="run"),
        line(12.9, "h-1", "prompt_read", id="c", took_ms=500),
        # Prefilled elsewhere, and sent after that.
        line(12.5, "h-1", "prompt_read", id="d", took_ms=2400, endpoint="e-2"),
        line(14, "h-1", "request_ended", id="d", took_ms=5000),
        line(14, "h-1", "request_ended", id="e", took_ms=500),
    ]
    (found,) = find_notices(lines, drain_s=2.0, grace_s=0.5)
    assert (found.sends, found.most) == (3, 3)


def test_lines_without_notices_give_no_entry():
    lines = ["not a line of a host", line(1, "h-1", "request_ended", id="a")]
    assert find_notices(lines, 2.0, 0.5) == []
