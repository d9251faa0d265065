"""Each check reports a violation in records that show it, and in no others."""

from checks import find_violations
from records import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    PROMPT,
    STREAM,
    AccountKey,
    Arrival,
    HostEnd,
    LinkCut,
    Outcome,
    Records,
    RetryLimit,
    StatedLimit,
)

ENDS_S = 20.0


def outcome(request_id="r-1", kind=IDEMPOTENT, sent_s=1.0, took_s=0.1, **changes):
    """Return the outcome of a successful request, with some fields changed."""
    success = Outcome(
        request_id, kind, "h-1", sent_s, sent_s + took_s, 200, "", True, None
    )
    return success._replace(**changes)


def records_of(*outcomes):
    """Return records of a run with these outcomes and a success at the end."""
    records = Records(RetryLimit(0.2, 30.0, 10.0))
    records.outcomes = [*outcomes, outcome("last", sent_s=ENDS_S - 1.0)]
    for item in records.outcomes:
        records.sent[item.request_id] = ("svc", item.sent_s)
    return records


def violations(records):
    """Return the violations without their details."""
    return [line.partition(":")[0] for line in find_violations(records, ENDS_S)]


def test_run_with_only_successes_has_no_violations():
    assert violations(records_of(outcome())) == []


def test_late_response_is_reported_unless_its_caller_stood_still():
    records = records_of(outcome(took_s=2.6))
    assert violations(records) == ["no response within 2.60 s"]
    records.stalls = [(1.5, 1.55)]
    assert violations(records) == ["no response within 2.60 s"]
    records.stalls.append((2.0, 2.1))
    assert violations(records) == []


def test_second_run_of_non_idempotent_request_is_reported():
    records = records_of(outcome(kind=NON_IDEMPOTENT))
    records.arrivals = [Arrival("r-1", "e-0", 1.0), Arrival("r-1", "e-1", 1.1)]
    assert violations(records) == ["ran 2 times"]
    records.outcomes[0] = outcome(kind=STREAM)
    assert violations(records) == []


def test_wrong_report_of_not_run_is_reported():
    refused = outcome(
        kind=NON_IDEMPOTENT, status=503, is_sealed=False, retry_after="1.0"
    )
    records = records_of(refused)
    assert violations(records) == []
    records.arrivals = [Arrival("r-1", "e-0", 1.0)]
    assert violations(records) == ["reported as not run, but an endpoint ran it"]


def test_more_requests_than_an_endpoint_states_are_reported():
    outcomes = [outcome(f"r-{number}", sent_s=1.0) for number in range(40)]
    records = records_of(*outcomes)
    records.hosts = {item.request_id: "h-1" for item in outcomes}
    records.limits = [StatedLimit("e-0", 2.0, 1.0, 10.0)]
    records.arrivals = [
        Arrival(item.request_id, "e-0", 1.05 if number == 0 else 5.0)
        for number, item in enumerate(outcomes[:18])
    ]
    # The first one tells the host; 17 are allowed.
    assert violations(records) == []
    records.arrivals.append(Arrival("r-18", "e-0", 6.0))
    assert violations(records) == ["e-0 got 18 requests in 4 s, 17 allowed"]
    records.hosts["r-18"] = "h-2"
    assert violations(records) == []


def records_of_link_cut(failed):
    """Return records of 30 requests to a cut host, some of which failed, and 40 others.

    The cut lasts from 2 s to 9 s.
    """
    outcomes = [
        outcome(
            f"c-{number}",
            sent_s=6.0,
            status=503 if number < failed else 200,
            is_sealed=number >= failed,
            retry_after="1.0",
        )
        for number in range(30)
    ]
    others = [outcome(f"o-{n}", sent_s=6.0, host="h-2") for n in range(40)]
    records = records_of(*outcomes, *others)
    records.link_cuts = [LinkCut(frozenset({"h-1"}), "hang", 2.0, 9.0)]
    return records


def test_hosts_without_links_that_serve_far_worse_are_reported():
    # Slack of 10 and a fiftieth of 70; two thirds of 30.
    assert violations(records_of_link_cut(11)) == []
    records = records_of_link_cut(12)
    found = find_violations(records, ENDS_S)
    assert len(found) == 1 and "served 18 of 30" in found[0]
    # They had not lost their links for long enough.
    records.link_cuts = [records.link_cuts[0]._replace(began_s=3.5)]
    assert violations(records) == []


def test_hosts_without_links_that_were_killed_too_are_not_reported():
    records = records_of_link_cut(30)
    records.spans = [("host_kill", "h-1", 5.0, 5.5)]
    assert violations(records) == []


def test_content_that_crashes_endpoints_on_and_on_is_reported():
    records = records_of(outcome())
    for number in range(6):
        records.crashing_sent[f"c-{number}"] = ("/any_times/crash-0", "h-1")
        records.crashes.append(Arrival(f"c-{number}", "e-0", 1.0 + 2.0 * number))
    # The third crash is at 5.0 s, and hosts have to know it at 8.0 s.
    assert violations(records) == []
    records.crashing_sent |= dict.fromkeys(
        ("c-6", "c-7"), ("/any_times/crash-0", "h-1")
    )
    records.crashes += [Arrival("c-6", "e-1", 13.0), Arrival("c-7", "e-1", 14.0)]
    assert violations(records) == [
        "content of /any_times/crash-0 reached endpoints 4 times from 9.00 s, though"
        " hosts had to know it"
    ]
    records.spans.append(("all_hosts_kill", "", 9.5, 10.0))
    assert violations(records) == []


def test_repeats_above_the_retry_limit_are_reported():
    """Hosts send rejected requests to further endpoints without end."""
    served = [outcome(f"r-{number}") for number in range(10)]
    records = records_of(*served)
    for number in range(10):
        for _ in range(4):
            records.rejections.append(Arrival(f"r-{number}", "e-0", 1.0))
    # The window has 10 of the 11 requests, which allow 2 repeats plus the slack of 30.
    assert violations(records) == []
    records.rejections += [Arrival(f"r-{number}", "e-1", 1.5) for number in range(2)]
    assert violations(records) == []
    records.rejections.append(Arrival("r-0", "e-1", 1.5))
    assert find_violations(records, ENDS_S) == [
        "svc: 33 repeats from 1.00 s, 32 allowed (30 windows)"
    ]


def test_only_the_first_accepted_prefill_is_no_repeat():
    """Prefill calls beyond the accepted one, and rejected ones, went uncounted."""
    served = [outcome(f"r-{number}", kind=PROMPT) for number in range(33)]
    records = records_of(*served)
    for number in range(33):
        records.prefills.append(Arrival(f"r-{number}", "e-0", 1.0))
        records.arrivals.append(Arrival(f"r-{number}", "e-1", 1.1))
    assert violations(records) == []
    records.prefills += [Arrival(f"r-{number}", "e-2", 1.05) for number in range(33)]
    # 33 requests in the window allow 6.6 repeats plus the slack of 30.
    assert violations(records) == []
    records.rejections += [Arrival(f"r-{number}", "e-3", 1.05) for number in range(4)]
    assert find_violations(records, ENDS_S) == [
        "svc: 37 repeats from 1.05 s, 37 allowed (4 windows)"
    ]


def test_refusal_without_retry_after_is_reported():
    refused = outcome(status=503, is_sealed=False)
    assert violations(records_of(refused)) == ["refused without Retry-After"]


def test_foreign_response_and_unsealed_success_are_reported():
    assert violations(records_of(outcome(problem="wrong_id"))) == [
        "response belongs to another request"
    ]
    assert violations(records_of(outcome(is_sealed=False))) == [
        "status 200 without an endpoint's seal"
    ]


def test_missing_response_is_reported_unless_its_host_was_paused():
    late = outcome(took_s=3.0, status=0, problem="late", is_sealed=False)
    records = records_of(late)
    assert violations(records) == ["no response within 3.00 s"]
    records.spans = [("host_pause", "h-1", 1.5, 3.5)]
    assert violations(records) == []
    records.spans = [("host_pause", "h-2", 1.5, 3.5)]
    assert violations(records) == ["no response within 3.00 s"]


def test_connection_cut_by_a_planned_stop_is_reported():
    cut = outcome(status=0, problem="cut", is_sealed=False)
    records = records_of(cut)
    # No endpoint got the request; it was sent while the idle connection was closed.
    assert violations(records) == []
    records.arrivals = [Arrival("r-1", "e-0", 1.0)]
    records.spans = [("host_stop", "h-1", 0.5, 2.0)]
    assert violations(records) == ["connection closed without a response"]
    records.spans = [("host_kill", "h-1", 0.5, 2.0)]
    assert violations(records) == []


def test_request_held_back_until_the_end_of_a_stop_is_no_violation():
    cut = outcome(kind=PROMPT, status=0, problem="cut", took_s=2.7, is_sealed=False)
    records = records_of(cut)
    for spans in (
        [("host_stop", "h-1", 0.5, 3.6)],
        [("all_links_silent", "", 0.8, 9.0)],
        [("host_stop", "h-2", 0.5, 3.6), ("all_links_silent", "", 0.8, 9.0)],
        [("host_stop", "h-1", 0.5, 3.6), ("all_links_silent", "", 3.8, 9.0)],
    ):
        records.spans = spans
        assert violations(records) == ["connection closed without a response"]
    records.spans = [
        ("host_stop", "h-1", 0.5, 3.8),
        ("all_links_silent", "", 0.8, 9.0),
    ]
    assert violations(records) == []


def test_response_cut_off_without_cause_is_reported():
    records = records_of(outcome(problem="broken"))
    assert violations(records) == ["response cut off without a fault that explains it"]
    records.spans = [("link_reset", "", 1.0, 1.0)]
    assert violations(records) == []


def test_response_cut_off_at_its_deadline_is_no_violation():
    records = records_of(outcome(problem="broken", took_s=1.49))
    assert violations(records) == ["response cut off without a fault that explains it"]
    records.outcomes[0] = outcome(problem="broken", took_s=1.51)
    assert violations(records) == []


def test_request_to_draining_endpoint_is_reported_after_its_bound():
    records = records_of(outcome())
    records.leaves = [("e-0", 5.0, 12.0)]
    records.arrivals = [Arrival("r-1", "e-0", 8.9)]
    assert violations(records) == []
    records.arrivals = [Arrival("r-1", "e-0", 9.1)]
    assert violations(records) == ["request sent to a draining endpoint"]
    # The store was silent, so that hosts learned of the draining later.
    records.spans = [("store_silent", "", 4.0, 7.0)]
    assert violations(records) == []


def test_reverted_or_late_configuration_is_reported():
    records = records_of(outcome())
    records.written = [(4.0, 2)]
    records.versions = [("h-1/1", 5.0, 2), ("h-1/1", 19.9, 1)]
    found = find_violations(records, ENDS_S)
    assert found == [
        "h-1/1 went back to version 1 at 19.90 s",
        "h-1/1 has version 1, not 2, at the end",
    ]
    # A restarted process may begin with an older one if it has the newest at the end.
    records.versions = [("h-1/1", 5.0, 2), ("h-1/2", 6.0, 1), ("h-1/2", 19.9, 2)]
    assert violations(records) == []


def test_account_that_is_hardly_served_is_reported():
    """Guards against a check that overlooks small accounts beside a large one."""
    refused = {"status": 503, "retry_after": "1"}
    large = [outcome(f"l-{number}") for number in range(100)]
    small = [outcome(f"s-{number}", **refused) for number in range(40)]
    records = records_of(*large, *small)
    records.keys = {name: AccountKey(name, 0.0, None) for name in "ls"}
    for item in records.outcomes:
        records.keys_sent[item.request_id] = (item.request_id[0], item.sent_s)
    expected = "0 of 40 requests of s were served, and 101 of 141 of all accounts"
    assert expected in violations(records)
    records.outcomes[100:120] = [outcome(f"s-{number}") for number in range(20)]
    assert not [line for line in violations(records) if "of all accounts" in line]


def test_host_that_ends_by_itself_or_with_another_status_is_reported():
    """Guards against processes that end by themselves unnoticed."""
    records = records_of(outcome())
    planned = {(0, True, False), (-9, False, True), (0, True, True), (-9, True, True)}
    for status in (0, 1, 2, -1, -6, -9, -15):
        for was_stopped in (False, True):
            for was_killed in (False, True):
                end = HostEnd("host-0/1", 5.0, status, was_stopped, was_killed)
                records.host_ends = [end]
                is_planned = (status, was_stopped, was_killed) in planned
                reported = [] if is_planned else [f"host ended with status {status}"]
                assert violations(records) == reported, end


def test_missing_recovery_is_reported():
    records = records_of(outcome())
    records.outcomes[-1] = outcome("last", sent_s=ENDS_S - 1.0, status=502)
    assert violations(records) == [
        "request failed after the last fault",
        "no request succeeded after the last fault",
    ]
