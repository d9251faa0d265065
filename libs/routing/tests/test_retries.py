"""Tests of the operator's bound on retries, per request and per host."""

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumusher_routing import (
    ABSENT_FOR_S,
    HostStatus,
    HostTable,
    RetryBudget,
    SendCounter,
)

HOSTS, RATIO, SLACK, WINDOW_S = 5, 0.2, 30.0, 10.0

# Outcomes of sends: not sent, rejected by an endpoint, or accepted as a prefill call.
OUTCOMES = st.lists(st.sampled_from(["unsent", "rejected", "prefilled"]), max_size=8)


@settings(derandomize=True, deadline=None)
@given(OUTCOMES)
def test_each_arrival_beyond_the_first_takes_a_retry(outcomes):
    """Guards against a decode call after a rejected prefill that takes no retry."""
    counter = SendCounter()
    is_prefilled = False
    for outcome in outcomes:
        counter.retries += counter.needs_retry()
        assert not counter.needs_retry()
        counter.begin()
        if outcome == "unsent":
            counter.cancel()
            continue
        counter.on_sent()
        if outcome == "prefilled" and not is_prefilled:
            is_prefilled = True
            counter.on_prompt_accepted()
        assert counter.repeats <= counter.retries
    assert counter.retries <= len(outcomes)


def test_decode_call_after_an_accepted_prefill_takes_no_retry():
    counter = SendCounter()
    for _ in range(2):
        assert not counter.needs_retry()
        counter.begin()
        counter.on_sent()
        counter.on_prompt_accepted()
    assert (counter.arrivals, counter.repeats) == (2, 0)
    assert counter.needs_retry()


def test_two_simultaneous_sends_take_one_retry():
    """A second attempt may begin while the connection of the first is opening."""
    counter = SendCounter()
    counter.begin()
    assert counter.needs_retry()
    counter.cancel()
    assert not counter.needs_retry()


# Steps: pause in seconds, number of the host, and action. A killed host restarts at
# once.
STEPS = st.lists(
    st.tuples(
        st.floats(0.0, 3.0),
        st.integers(0, HOSTS - 1),
        st.sampled_from(["requests", "retries", "retries", "kill"]),
    ),
    max_size=60,
)


@settings(derandomize=True, deadline=None)
@given(STEPS)
def test_all_hosts_together_stay_within_the_bound_in_every_window(steps):
    budgets = [RetryBudget(RATIO, SLACK, WINDOW_S, -100.0) for _ in range(HOSTS)]
    now_s, requests_s, retries_s = 0.0, [], []
    for pause_s, number, action in steps:
        now_s += pause_s
        if action == "kill":
            budgets[number] = RetryBudget(RATIO, SLACK, WINDOW_S, now_s)
        for _ in range(40):
            if action == "requests":
                budgets[number].on_first_send(now_s, HOSTS)
                requests_s.append(now_s)
            if action == "retries" and budgets[number].take(now_s, HOSTS).is_allowed:
                retries_s.append(now_s)
    for window_start_s in retries_s:
        window_end_s = window_start_s + WINDOW_S
        retries = sum(window_start_s <= at_s < window_end_s for at_s in retries_s)
        requests = sum(window_start_s <= at_s < window_end_s for at_s in requests_s)
        assert retries <= RATIO * requests + SLACK


def test_restarted_hosts_get_their_budget_only_once_in_a_window():
    """Guards against restarted hosts that start with a full budget again."""
    retries = 0
    for started_s, now_s in ((-100.0, 0.0), (0.1, 9.9)):
        for _ in range(HOSTS):
            budget = RetryBudget(RATIO, SLACK, WINDOW_S, started_s)
            while budget.take(now_s, HOSTS).is_allowed:
                retries += 1
    assert 0 < retries <= SLACK


def test_host_that_does_not_know_the_number_of_hosts_gets_no_slack():
    """Guards against a host that starts without the store and takes all the slack."""
    budget = RetryBudget(RATIO, SLACK, WINDOW_S, 0.0)
    assert not budget.take(50.0, 0).is_allowed
    assert budget.take(60.0, HOSTS).is_allowed


def status(name, hosts_recorded):
    return HostStatus(
        name, 1, 1, "10.0.0.1", "a", "", "", True, 1, 1, 1.0, True, 1.0, 0.4,
        hosts_recorded, hosts_recorded, True,
    )  # fmt: skip


def test_number_of_hosts_does_not_shrink_when_hosts_fall_silent():
    """Guards against a host that hears from few others and takes too large a share."""
    table = HostTable("own")
    assert table.existing_count() == 0
    table.on_status(0.0, status("other", 0))
    assert table.existing_count() == 0
    table.on_status(0.1, status("other", 0)._replace(sequence=2, hosts_recorded=7))
    assert table.existing_count() == 7
    # Silence alone does not reduce the number.
    assert table.live(50.0) == [] and table.existing_count() == 7
    for number in range(9):
        table.on_record(60.0, f"h-{number}", "10.0.0.2")
    assert table.existing_count() == 11
    table.on_records_read()
    assert table.recorded_count() == table.existing_count() == 11
    recorded = [f"h-{n}" for n in range(9)]
    assert "other" in table.drop_unrecorded(70.0, recorded)
    # A host without a record may still use its share until its lease has ended.
    table.drop_unrecorded(70.0 + ABSENT_FOR_S, recorded)
    assert table.existing_count() == 11
    table.drop_unrecorded(71.0 + ABSENT_FOR_S, recorded)
    assert table.existing_count() == 10
