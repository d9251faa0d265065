"""The retries of several hosts, compared with the permitted number, from their logs."""

from gypsumusher_cli.retries import find_retries, format_retries


def line(second, host, event, **fields):
    words = [f"time=2026-02-05T01:28:{second:02d}.000000Z level=INFO event={event}"]
    pairs = {"host": host, "service": "models", **fields}
    return " ".join([*words, *(f"{key}={value}" for key, value in pairs.items())])


def test_the_window_closest_to_the_limit_is_found_over_all_hosts():
    lines = [
        *(line(second, "h-1", "request_ended") for second in range(20)),
        line(13, "h-1", "request_ended", repeats=2, retries=1),
        line(14, "h-2", "request_ended", repeats=1),
        line(13, "h-1", "retry_taken", hosts=3),
        line(14, "h-2", "retry_withheld", hosts=1),
        line(40, "h-1", "request_ended", repeats=1),
    ]
    (found,) = find_retries(reversed(lines), ratio=0.2, slack=5.0, window_s=10.0)
    assert (found.repeats, found.retries) == (3, 1)
    assert found.requests == 9
    assert found.allowed == 0.2 * found.requests + 5.0
    first, second = found.hosts
    assert (first.host, first.repeats, first.divided_by) == ("h-1", 2, "3-3")
    assert (second.withheld, second.divided_by) == (1, "1-1")
    assert "h-2" in format_retries([found])


def test_lines_without_a_service_are_ignored():
    lines = [
        "not a line of a host",
        "time=2026-02-05T01:28:00Z event=request_ended host=h",
    ]
    assert find_retries(lines, 0.2, 5.0, 10.0) == []
