"""Each promise's breach is found in records that show it, and only there."""

from checks import find_broken_promises
from records import ANY_TIMES, ONCE, STREAM, Arrival, Outcome, Records

ENDS_S = 20.0


def outcome(request_id="r-1", kind=ANY_TIMES, sent_s=1.0, took_s=0.1, **changes):
    """Return how a request ended that was served well."""
    usual = Outcome(
        request_id, kind, "h-1", sent_s, sent_s + took_s, 200, "", True, None
    )
    return usual._replace(**changes)


def records_of(*outcomes):
    """Return records of a run with these requests and a calm end."""
    records = Records()
    records.outcomes = [*outcomes, outcome("last", sent_s=ENDS_S - 1.0)]
    return records


def broken(records):
    return [line.partition(":")[0] for line in find_broken_promises(records, ENDS_S)]


def test_a_run_in_which_all_are_served_breaks_nothing():
    assert broken(records_of(outcome())) == []


def test_a_request_that_may_run_once_is_found_to_have_run_twice():
    records = records_of(outcome(kind=ONCE))
    records.arrivals = [Arrival("r-1", "e-0", 1.0), Arrival("r-1", "e-1", 1.1)]
    assert broken(records) == ["ran 2 times"]
    records.outcomes[0] = outcome(kind=STREAM)
    assert broken(records) == []


def test_a_false_not_run_is_found():
    refused = outcome(kind=ONCE, status=503, is_sealed=False, retry_after="1.0")
    records = records_of(refused)
    assert broken(records) == []
    records.arrivals = [Arrival("r-1", "e-0", 1.0)]
    assert broken(records) == ["said not to have run, and has run"]


def test_more_repeats_than_the_operator_allows_are_found():
    """Endpoints rejected what they were sent, and hosts sent it on and on."""
    served = [outcome(f"r-{number}") for number in range(10)]
    records = records_of(*served)
    for number in range(10):
        for _ in range(4):
            records.rejections.append(Arrival(f"r-{number}", "e-0", 1.0))
    # 11 requests allow 2.2 and 30 on top, of which 2 in another window.
    assert broken(records) == []
    records.rejections += [Arrival(f"r-{number}", "e-1", 1.5) for number in range(2)]
    assert broken(records) == []
    records.rejections.append(Arrival("r-0", "e-1", 1.5))
    assert broken(records) == ["33 repeats from 1.00 s, 32 allowed"]


def test_a_refusal_without_a_time_to_come_back_is_found():
    refused = outcome(status=503, is_sealed=False)
    assert broken(records_of(refused)) == ["given up without a time to come back"]


def test_somebody_elses_answer_and_an_invented_success_are_found():
    assert broken(records_of(outcome(problem="wrong_id"))) == [
        "not the answer to this request"
    ]
    assert broken(records_of(outcome(is_sealed=False))) == [
        "a success that no endpoint gave"
    ]


def test_an_answer_that_never_comes_is_found_unless_its_host_stood_still():
    late = outcome(took_s=3.0, status=0, problem="late", is_sealed=False)
    records = records_of(late)
    assert broken(records) == ["no answer after 3.00 s"]
    records.spans = [("host_pause", "h-1", 1.5, 3.5)]
    assert broken(records) == []
    records.spans = [("host_pause", "h-2", 1.5, 3.5)]
    assert broken(records) == ["no answer after 3.00 s"]


def test_a_cut_by_a_planned_stop_is_found():
    cut = outcome(status=0, problem="cut", is_sealed=False)
    records = records_of(cut)
    # Nothing had been passed on, and it crossed the close of its connection.
    assert broken(records) == []
    records.arrivals = [Arrival("r-1", "e-0", 1.0)]
    records.spans = [("host_stop", "h-1", 0.5, 2.0)]
    assert broken(records) == ["cut without an answer"]
    records.spans = [("host_kill", "h-1", 0.5, 2.0)]
    assert broken(records) == []


def test_an_answer_that_breaks_off_without_cause_is_found():
    records = records_of(outcome(problem="broken"))
    assert broken(records) == ["broke off without a fault that does so"]
    records.spans = [("link_reset", "", 1.0, 1.0)]
    assert broken(records) == []


def test_work_for_a_leaving_endpoint_is_found_after_its_bound():
    records = records_of(outcome())
    records.leaves = [("e-0", 5.0, 12.0)]
    records.arrivals = [Arrival("r-1", "e-0", 8.9)]
    assert broken(records) == []
    records.arrivals = [Arrival("r-1", "e-0", 9.1)]
    assert broken(records) == ["work for a leaving endpoint"]
    # The store was away when it was to learn of it.
    records.spans = [("store_silent", "", 4.0, 7.0)]
    assert broken(records) == []


def test_a_configuration_that_reverts_or_is_late_is_found():
    records = records_of(outcome())
    records.written = [(4.0, 2)]
    records.versions = [("h-1/1", 5.0, 2), ("h-1/1", 19.9, 1)]
    found = find_broken_promises(records, ENDS_S)
    assert found == [
        "h-1/1 went back to version 1 at 19.90 s",
        "h-1/1 has version 1, not 2, at the end",
    ]
    # A restarted host begins anew, and has the newest one in the end.
    records.versions = [("h-1/1", 5.0, 2), ("h-1/2", 6.0, 1), ("h-1/2", 19.9, 2)]
    assert broken(records) == []


def test_a_system_that_does_not_recover_is_found():
    records = records_of(outcome())
    records.outcomes[-1] = outcome("last", sent_s=ENDS_S - 1.0, status=502)
    assert broken(records) == [
        "not served after all faults",
        "nobody was served after all faults",
    ]
