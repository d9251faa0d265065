"""Each check of streams reports a violation in records that show it."""

from checks import find_violations
from records import Records, RetryLimit, ServingSpan, StreamTry, parse_events
from stream_checks import TAKEN_UP_MIN

ENDS_S = 30.0
MIXED = "stream r-0 is of several versions"


def records_of(tries):
    """Return records of a run with these attempts and two endpoints of each version."""
    records = Records(RetryLimit(0.2, 30.0, 10.0))
    records.stream_tries = tries
    records.serving = [
        ServingSpan(f"e-{version}-{number}", version, 0.0, None)
        for version in ("v1", "v2")
        for number in range(2)
    ]
    return records


def attempt(stream=0, number=0, at_s=10.0, had_events=0, versions=("v1",)):
    """Return an attempt at a stream."""
    request_id = f"r-{stream}-{number}"
    host = "h-1"
    return StreamTry(
        f"r-{stream}", request_id, host, at_s, at_s + 0.1, had_events, versions
    )


def violations(records):
    """Return the violations of streams without their details."""
    found = [line.partition(":")[0] for line in find_violations(records, ENDS_S)]
    return [line for line in found if "stream" in line]


def test_events_of_two_versions_are_reported():
    assert violations(records_of([attempt(versions=("v1", "v1"))])) == []
    assert violations(records_of([attempt(versions=("v1", "v2"))])) == [MIXED]
    tries = [attempt(), attempt(number=1, had_events=1, versions=())]
    tries.append(attempt(number=2, had_events=1, versions=("v1",)))
    assert violations(records_of(tries)) == []
    tries[-1] = attempt(number=2, had_events=1, versions=("v2",))
    assert violations(records_of(tries)) == [MIXED]


def taken_up(count, went_on):
    """Return new streams that all begin, and a number of them that go on."""
    tries = [attempt(stream) for stream in range(count)]
    for stream in range(count):
        versions = ("v1",) if stream < went_on else ()
        tries.append(attempt(stream, 1, 11.0, 1, versions))
    return tries


def test_streams_that_seldom_go_on_are_reported():
    half = TAKEN_UP_MIN // 2
    assert violations(records_of(taken_up(TAKEN_UP_MIN, half))) == []
    found = violations(records_of(taken_up(TAKEN_UP_MIN, half - 1)))
    assert len(found) == 1 and found[0].startswith("of 12 streams that were taken up 5")
    assert violations(records_of(taken_up(TAKEN_UP_MIN - 1, 0))) == []


def test_streams_without_hosts_or_endpoints_to_go_on_do_not_count():
    records = records_of(taken_up(TAKEN_UP_MIN, 0))
    records.spans = [("host_kill", "h-1", 7.0, 8.5)]
    assert violations(records) == []
    records.spans = [("host_kill", "h-2", 7.0, 8.5)]
    assert len(violations(records)) == 1
    records.serving[0] = records.serving[0]._replace(ended_s=10.9)
    assert violations(records) == []


def test_events_are_parsed_up_to_the_last_whole_one():
    data = b"id: 0\ndata: r-1-0 v1\n\nid: 1\ndata: r-1-1 v2\n\nid: 2\nda"
    assert parse_events("r-1", data) == [(0, "v1"), (1, "v2")]
    assert parse_events("r-2", data) is None
    assert parse_events("r-1", data.replace(b"r-1-1", b"r-1-2")) is None
