"""Tests of the operator's bound on retries, per request and per host."""

from hypothesis import example, given, settings
from hypothesis import strategies as st
from samples import engine

from gypsumusher_routing import (
    ABSENT_FOR_S,
    DeliveryRecord,
    EndpointTable,
    HostStatus,
    HostTable,
    RetryBudget,
    SendCounter,
    SendFate,
    SentRequest,
)
from gypsumusher_routing.retry_budget import UNDER_WAY_WINDOWS

HOSTS, RATIO, SLACK, WINDOW_S = 5, 0.2, 30.0, 10.0


def sent(at_s=0.0):
    """Return a send to an endpoint of its own."""
    return SentRequest(DeliveryRecord(), at_s)


def is_retry_left(budget, now_s, hosts):
    """Take a retry for another request; return whether one was left."""
    return budget.take(now_s, hosts, SendCounter()).is_allowed


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
        counter.on_sent(sent())
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
        counter.on_sent(sent())
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
            if action == "retries" and is_retry_left(budgets[number], now_s, HOSTS):
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
            while is_retry_left(budget, now_s, HOSTS):
                retries += 1
    assert 0 < retries <= SLACK


def test_host_that_does_not_know_the_number_of_hosts_gets_no_slack():
    """Guards against a host that starts without the store and takes all the slack."""
    budget = RetryBudget(RATIO, SLACK, WINDOW_S, 0.0)
    assert not is_retry_left(budget, 50.0, 0)
    assert is_retry_left(budget, 60.0, HOSTS)


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


def request_with_retry(budget, *sends):
    """Take a retry at 0 s for a request that has ended with these sends."""
    counter = SendCounter()
    assert budget.take(0.0, 1, counter).is_allowed
    for send in sends:
        counter.begin()
        counter.on_sent(send)
    counter.has_ended = True
    return counter


def full_budget():
    """Return the full budget of one host, for 18 retries at 0 s."""
    return RetryBudget(RATIO, SLACK, WINDOW_S, -100.0)


def take_all(budget, now_s, hosts=1):
    """Take retries until none is left; return how many were taken."""
    retries = 0
    while is_retry_left(budget, now_s, hosts):
        retries += 1
    return retries


def test_retries_that_links_hold_back_keep_their_places():
    """Retries sent into silent links arrived with those of the next window."""
    assert take_all(full_budget(), 1.0) == 18
    for now_s in (1.0, 20.0):
        budget = full_budget()
        for _ in range(10):
            request_with_retry(budget, sent(), sent())
        # The requests are over, but their sends may still arrive.
        assert take_all(budget, now_s) == 8


def test_first_send_that_is_held_back_keeps_the_place_of_its_retry():
    """A held first send arrives after its retry, and is the repeat then."""
    first, second = sent(), sent()
    second.on_head_or_lost(True)
    counter = request_with_retry(full_budget(), first, second)
    assert counter.retries_under_way(1.0, 30.0) == 1
    first.on_head_or_lost(True)
    assert counter.retries_under_way(1.0, 30.0) == 0


def test_send_whose_connection_was_lost_keeps_its_place_while_its_endpoint_lives():
    """Retries were forgotten when a link reset the hosts' side of connections."""
    table = EndpointTable()
    table.on_record(engine("e-1").record, 1)
    delivery = table.states["e-1"].delivery
    sends = [SentRequest(delivery, at_s) for at_s in (5.0, 6.0)]
    for send in sends:
        send.on_head_or_lost(False)
    assert [s.fate(7.0, 30.0) for s in sends] == [SendFate.UNDER_WAY] * 2
    SentRequest(delivery, 5.5).on_head_or_lost(True)
    assert sends[0].fate(7.0, 30.0) is SendFate.OVERTAKEN
    assert sends[1].fate(7.0, 30.0) is SendFate.UNDER_WAY
    # An endpoint that has crashed loses its connections and then its entry.
    table.on_deleted(8.0, "e-1", 2)
    assert sends[1].fate(8.0, 30.0) is SendFate.LOST


def test_send_is_no_longer_under_way_when_it_has_arrived_or_cannot():
    """Requests to an endpoint that had answered since kept back all retries."""
    slow, ended, held = (DeliveryRecord() for _ in range(3))
    sends = [SentRequest(delivery, 5.0) for delivery in (slow, ended, held)]
    SentRequest(slow, 5.1).on_head_or_lost(True)
    ended.has_ended = True
    # An answer to an earlier send tells nothing of a later one.
    SentRequest(held, 4.9).on_head_or_lost(True)
    under_way = SendFate.UNDER_WAY
    assert [s.fate(6.0, 30.0) is under_way for s in sends] == [False, False, True]
    assert [s.fate(35.1, 30.0) is under_way for s in sends] == [False, False, False]


def test_send_to_an_endpoint_whose_entry_lapsed_keeps_its_place():
    """Retries sent to paused endpoints were forgotten when the entries lapsed."""
    table = EndpointTable()
    record = engine("e-1").record
    table.on_record(record, 1)
    send = SentRequest(table.states["e-1"].delivery, 5.0)
    table.on_deleted(6.0, "e-1", 2)
    assert not table.states
    assert send.fate(7.0, 30.0) is SendFate.UNDER_WAY
    # The endpoint goes on, and has read its connections when it answers again.
    table.on_record(record, 3)
    SentRequest(table.states["e-1"].delivery, 8.0).on_head_or_lost(True)
    assert send.fate(9.0, 30.0) is SendFate.OVERTAKEN


HELD_STEPS = st.lists(
    st.tuples(st.floats(0.0, 2.0), st.sampled_from(["requests", "retries", "deliver"])),
    max_size=60,
)


@settings(derandomize=True, deadline=None)
@given(HELD_STEPS)
@example([(2.0, "retries")] * 12 + [(0.0, "deliver")])
def test_arrivals_stay_within_the_bound_when_links_hold_sends_back(steps):
    """A window got its own retries and those that a link had held back before."""
    budget = RetryBudget(RATIO, SLACK, WINDOW_S, -100.0)
    now_s, requests_s, held, arrivals_s = 0.0, [], [], []
    for pause_s, action in steps:
        now_s += pause_s
        for _ in range(20):
            if action == "requests":
                budget.on_first_send(now_s, 1)
                requests_s.append(now_s)
            counter = SendCounter()
            if action == "retries" and budget.take(now_s, 1, counter).is_allowed:
                send = sent(now_s)
                answered = sent(now_s)
                answered.on_head_or_lost(True)
                for each in (answered, send):
                    counter.begin()
                    counter.on_sent(each)
                held.append((now_s, send))
        while action == "deliver" and held:
            sent_s, send = held.pop()
            send.on_head_or_lost(True)
            if now_s - sent_s <= UNDER_WAY_WINDOWS * WINDOW_S:
                arrivals_s.append(now_s)
    for begin_s in arrivals_s:
        end_s = begin_s + WINDOW_S
        arrivals = sum(begin_s <= at_s < end_s for at_s in arrivals_s)
        requests = sum(begin_s - WINDOW_S <= at_s < end_s for at_s in requests_s)
        assert arrivals <= RATIO * requests + SLACK


# Guards against sends held back by this host's own link that count as arrived since the
# endpoint has answered through another host.
def test_answer_over_another_link_shows_nothing_of_earlier_sends():
    delivery = DeliveryRecord()
    held = SentRequest(delivery, 1.0)
    SentRequest(delivery, 2.0, "host-2").on_head_or_lost(True)
    assert held.fate(3.0, 10.0) == SendFate.UNDER_WAY
    assert delivery.has_answered_after(1.0) and not delivery.has_answered_after(2.0)
    SentRequest(delivery, 2.0).on_head_or_lost(True)
    assert held.fate(3.0, 10.0) == SendFate.OVERTAKEN
