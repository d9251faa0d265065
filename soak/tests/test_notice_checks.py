"""Each check of what endpoints say reports a violation in records that show it."""

import pytest
from checks import find_violations
from records import IDEMPOTENT, Arrival, Notice, Outcome, Records, RetryLimit

ENDS_S = 30.0
HOST = "127.0.0.1:1"


def records_of(sends_s, pause_s, at_s=10.0):
    """Return records of a notice, and of requests sent to the same process after it."""
    records = Records(RetryLimit(0.2, 300.0, 10.0))
    records.notices = [Notice("r-0", "e-1.1", at_s, pause_s)]
    for number, sent_s in enumerate((at_s, *sends_s)):
        request_id = f"r-{number}"
        records.sent[request_id] = ("svc", sent_s)
        records.hosts[request_id] = HOST
        arrival = Arrival(request_id, "e-1.1", sent_s)
        records.instance_arrivals.append(arrival)
        outcome = Outcome(
            request_id, IDEMPOTENT, HOST, sent_s, sent_s, 200, "", True, None
        )
        records.outcomes.append(outcome)
    return records


def violations(records):
    """Return the violations of what endpoints have said."""
    found = find_violations(records, ENDS_S)
    return [line for line in found if "it leaves" in line or "in a pause" in line]


@pytest.mark.parametrize(
    ("sends_s", "pause_s", "count"),
    [
        ((11.0, 11.9), None, 0),
        ((12.1, 13.0), None, 2),
        ((10.1, 10.2, 10.4), 3.0, 0),
        ((10.6, 12.0), 3.0, 0),
        ((10.6, 12.0, 12.9), 3.0, 1),
        ((10.6, 12.0, 13.1), 3.0, 0),
    ],
)
def test_requests_after_a_notice_are_reported(sends_s, pause_s, count):
    assert len(violations(records_of(sends_s, pause_s))) == count


def test_hosts_that_have_restarted_are_excused():
    for pause_s in (None, 3.0):
        records = records_of((12.1, 12.2, 12.3), pause_s)
        assert violations(records)
        records.spans = [("host_kill", HOST, 11.0, 11.5)]
        assert not violations(records)


def test_endpoint_that_was_not_the_one_to_respond_has_told_nobody():
    records = records_of((12.5,), None)
    records.instance_arrivals.append(Arrival("r-0", "e-2.1", 10.1))
    assert not violations(records)
