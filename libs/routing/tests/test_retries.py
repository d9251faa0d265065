"""Retries of a request and of a host, against the operator's bound."""

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumusher_routing import HostStatus, HostTable, RetryBudget, SendCounter

HOSTS, RATIO, SLACK, WINDOW_S = 5, 0.2, 30.0, 10.0

# What becomes of a send: it doesn't leave, an endpoint rejects it, or it reads the
# prompt that it was only to read.
ENDS = st.lists(st.sampled_from(["unsent", "rejected", "read"]), max_size=8)


@settings(derandomize=True, deadline=None)
@given(ENDS)
def test_no_send_repeats_an_arrival_without_a_retry(ends):
    """A run after a rejected prefill reached a second engine and took no retry."""
    account = SendCounter()
    prompt_is_read = False
    for end in ends:
        account.retries += account.needs_retry()
        assert not account.needs_retry()
        account.begin()
        if end == "unsent":
            account.cancel()
            continue
        account.on_sent()
        if end == "read" and not prompt_is_read:
            prompt_is_read = True
            account.on_prompt_accepted()
        assert account.repeats <= account.retries
    assert account.retries <= len(ends)


def test_the_run_after_a_prompt_that_was_read_takes_no_retry():
    account = SendCounter()
    for _ in range(2):
        assert not account.needs_retry()
        account.begin()
        account.on_sent()
        account.on_prompt_accepted()
    assert (account.arrivals, account.repeats) == (2, 0)
    assert account.needs_retry()


def test_two_sends_under_way_at_once_take_one_retry():
    """A second try was begun while the first one's connection was still opening."""
    account = SendCounter()
    account.begin()
    assert account.needs_retry()
    account.cancel()
    assert not account.needs_retry()


# What happens next: after how long, at which host, and what. A host that is killed
# starts again at once.
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
def test_all_hosts_together_keep_to_the_bound_in_every_window(steps):
    shares = [RetryBudget(RATIO, SLACK, WINDOW_S, -100.0) for _ in range(HOSTS)]
    now_s, requests_s, retries_s = 0.0, [], []
    for pause_s, number, what in steps:
        now_s += pause_s
        if what == "kill":
            shares[number] = RetryBudget(RATIO, SLACK, WINDOW_S, now_s)
        for _ in range(40):
            if what == "requests":
                shares[number].on_first_send(now_s, HOSTS)
                requests_s.append(now_s)
            if what == "retries" and shares[number].take(now_s, HOSTS).is_allowed:
                retries_s.append(now_s)
    for begin_s in retries_s:
        ends_s = begin_s + WINDOW_S
        retries = sum(begin_s <= at_s < ends_s for at_s in retries_s)
        requests = sum(begin_s <= at_s < ends_s for at_s in requests_s)
        assert retries <= RATIO * requests + SLACK


def test_hosts_that_were_killed_take_their_shares_once_in_a_window():
    """Hosts that were killed took their shares again, beside the retries before."""
    retries = 0
    for started_s, now_s in ((-100.0, 0.0), (0.1, 9.9)):
        for _ in range(HOSTS):
            share = RetryBudget(RATIO, SLACK, WINDOW_S, started_s)
            while share.take(now_s, HOSTS).is_allowed:
                retries += 1
    assert 0 < retries <= SLACK


def test_a_host_that_knows_no_number_of_hosts_has_no_slack():
    """A host that started while the store was away took the retries of all."""
    share = RetryBudget(RATIO, SLACK, WINDOW_S, 0.0)
    assert not share.take(50.0, 0).is_allowed
    assert share.take(60.0, HOSTS).is_allowed


def told(name, hosts_recorded):
    return HostStatus(
        name, 1, 1, "10.0.0.1", "a", "", "", True, 1, 1, 1.0, True, 1.0, 0.4,
        hosts_recorded,
    )  # fmt: skip


def test_the_number_of_hosts_does_not_shrink_with_sight():
    """A host that heard of few divided what all share by few."""
    table = HostTable("own")
    assert table.existing_count() == 0
    table.on_status(0.0, told("other", 0))
    assert table.existing_count() == 0
    table.on_status(0.1, told("other", 0)._replace(sequence=2, hosts_recorded=7))
    assert table.existing_count() == 7
    # Silence alone changes nothing.
    assert table.live(50.0) == [] and table.existing_count() == 7
    for number in range(9):
        table.on_record(60.0, f"h-{number}", "10.0.0.2")
    assert table.existing_count() == 11
    table.on_records_read()
    assert table.recorded_count() == table.existing_count() == 11
    assert "other" in table.drop_unrecorded(70.0, [f"h-{n}" for n in range(9)])
    assert table.existing_count() == 10
