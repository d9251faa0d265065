"""Routes, retries, health, hosts and caches, each by itself."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from samples import engine, first_of_all, prompt

from gypsumusher_ports import (
    Configuration,
    Limits,
    PromptPart,
    Route,
    ServiceShare,
)
from gypsumusher_routing import (
    ALL_ON,
    HOPELESS,
    LATE,
    TIMELY,
    FirstEventLimits,
    Health,
    HostStatus,
    HostTable,
    PrefixCacheEstimate,
    RetryBudget,
    RouteTable,
    abandoned_after_s,
    choose_active_hosts,
    choose_endpoint,
    choose_lane,
    choose_watchers,
    first_event_limit_s,
    pick_service,
    policy_without,
    urgency_of,
)

LIMITS = Limits(16_384, 4_194_304, 3.0, 15.0)


ONE_SERVICE = (ServiceShare("svc", 1.0),)


def route(name, prefix, shares=ONE_SERVICE):
    return Route(
        name, "h", prefix, "any_times", 1.0, 0.1, 0, tuple(shares), 1, False, None
    )


def news(
    name,
    beat=1,
    started_ms=1,
    ready=True,
    version=1,
    zone="a",
    capacity=1.0,
    revision=1,
    store_seen_s=0.0,
):
    return HostStatus(
        name, started_ms, beat, "10.0.0.1", zone, f"{name}:1", f"{name}:2", ready,
        version, revision, capacity, True, store_seen_s, 0.4, 0,
    )  # fmt: skip


def names(table, now_s):
    return [host.name for host in table.live(now_s) if host.is_ready]


def test_callers_are_sent_to_a_strong_part_of_many_hosts_in_all_zones():
    # Sixty small hosts stand before one fleet, some with a link that ten requests a
    # second fill. Sent to all alike, callers meet the weak ones as often as the strong,
    # and no host knows what the engines have under way.
    hosts = []
    for number in range(60):
        capacity = 0.0 if number % 4 == 0 else 1.0
        hosts.append(news(f"h{number}", zone="abc"[number % 3], capacity=capacity))
    active = choose_active_hosts(hosts)
    assert {host.zone for host in active} == {"a", "b", "c"}
    assert all(host.capacity for host in active)
    assert 9 <= len(active) <= 12
    # All hosts come to the same choice, whatever order they heard the others in.
    assert choose_active_hosts(hosts[::-1]) == active
    # One that falls silent is replaced, and the others stay.
    left = [host for host in hosts if host != active[0]]
    assert len(set(active) & set(choose_active_hosts(left))) == len(active) - 1
    assert len(choose_watchers(active)) == 3


def test_of_a_few_hosts_some_of_each_zone_are_active():
    # Losing any number of them must leave some; the others take their places.
    hosts = [news(f"h{number}", zone="abcd"[number % 4]) for number in range(8)]
    active = choose_active_hosts(hosts)
    assert sorted(host.zone for host in active) == ["a", "b", "c", "d"]
    left = [host for host in hosts if host not in active]
    assert choose_active_hosts(left) == left or len(choose_active_hosts(left)) == 4


def test_the_longest_prefix_wins_and_a_query_does_not_count():
    configuration = Configuration(
        1, (route("short", "/a/"), route("long", "/a/b/")), {}, LIMITS
    )
    table = RouteTable(configuration)
    assert table.find("h", "/a/b/c").name == "long"
    assert table.find("h", "/a/x?y=/a/b/").name == "short"
    assert table.find("h", "/other") is None
    assert table.find("other", "/a/") is None


def test_a_split_follows_its_weights():
    shares = (ServiceShare("one", 90.0), ServiceShare("two", 10.0))
    draws = (number / 100 for number in range(100))
    counts = Counter(
        pick_service(route("r", "/", shares), lambda: next(draws)) for _ in range(100)
    )
    assert counts == {"one": 90, "two": 10}


def test_all_hosts_together_keep_to_the_retry_bound():
    # An endpoint fails everything under full load. Eight hosts retry each failure;
    # without a common bound the retries alone would fill the endpoints.
    hosts = 8
    shares = [RetryBudget(0.2, 54, 10.0, started_s=-100.0) for _ in range(hosts)]
    retries = requests = 0
    for step in range(1000):
        now_s = step * 0.01
        for share in shares:
            share.on_first_send(now_s, hosts)
            requests += 1
            retries += share.take(now_s, hosts).is_allowed
    assert 0 < retries <= 0.2 * requests + 54


def test_a_host_that_starts_anew_brings_no_fresh_slack():
    # Hosts are killed again and again. Each start would bring its part of the slack
    # anew, and the sum over a window would pass the bound.
    share = RetryBudget(0.2, 54, 10.0, started_s=100.0)
    assert not share.take(100.0, 1).is_allowed
    assert share.take(105.0, 1).is_allowed


def test_a_penalty_fades_and_answers_shorten_it():
    health = Health()
    health.on_failure(0.0, "silent")
    assert health.is_avoided(0.1)
    assert not health.is_avoided(3.0)
    health.on_failure(3.0, "silent")
    for _ in range(5):
        health.on_success(3.0)
    assert not health.is_avoided(3.0)


def test_what_a_peer_saw_of_an_endpoint_counts_here():
    health = Health()
    health.on_peer_penalty(0.0, "host-2", 1.0)
    assert health.is_avoided(0.1)
    assert health.own_penalty(0.1) == 0.0
    health.on_peer_penalty(0.2, "host-2", 0.0)
    assert not health.is_avoided(0.2)


def test_a_silent_host_is_not_named_to_callers():
    table = HostTable("host-1")
    table.on_status(0.0, news("host-2"))
    table.on_status(0.0, news("host-3", ready=False))
    assert names(table, 1.0) == ["host-2"]
    assert names(table, 5.0) == []


def test_a_message_that_was_overtaken_changes_nothing():
    table = HostTable("host-1")
    table.on_status(0.0, news("host-2", beat=7, ready=False))
    assert not table.on_status(0.1, news("host-2", beat=6))
    assert names(table, 0.2) == []


def test_a_restarted_host_whose_clock_went_back_is_heard_again():
    # A host restarts after its clock has jumped back: its messages look older than
    # those of its past. It would stay out of the directory for good.
    table = HostTable("host-1")
    table.on_status(0.0, news("host-2", beat=70, started_ms=9000))
    assert not table.on_status(0.5, news("host-2", beat=1, started_ms=5000))
    assert table.on_status(2.0, news("host-2", beat=4, started_ms=5000))
    assert names(table, 2.1) == ["host-2"]


def test_a_store_that_answers_a_peer_all_the_while_was_not_away():
    """A host whose own call failed kept endpoints that had left meanwhile."""
    table = HostTable("me")
    table.on_status(9.0, news("h1", store_seen_s=5.0))
    table.on_status(11.0, news("h1", beat=2, store_seen_s=7.0, revision=2))
    assert table.peer_saw_store_since(11.1, since_s=10.0)
    # It has heard nothing since: its own call may hang at a store that is away.
    assert not table.peer_saw_store_since(11.1, since_s=11.05)


def test_a_store_that_came_back_for_a_peer_too_was_away():
    """Endpoints whose entries had lapsed were dropped at the store's return."""
    table = HostTable("me")
    table.on_status(9.0, news("h1", store_seen_s=5.0))
    table.on_status(11.0, news("h1", beat=2, store_seen_s=0.3, revision=2))
    assert not table.peer_saw_store_since(11.1, since_s=10.0)


def test_a_host_that_is_gone_for_good_is_forgotten():
    # Hosts are replaced again and again. Each that has gone would cost a message a
    # second from every other one for as long as the fleet lives.
    table = HostTable("host-1")
    table.on_record(0.0, "host-2", "10.0.0.2")
    table.on_record(0.0, "host-3", "10.0.0.3")
    table.on_status(50.0, news("host-3"))
    assert table.drop_silent(59.0, 0.0) == []
    assert table.drop_silent(61.0, 0.0) == ["host-2"]
    assert list(table.addresses()) == ["host-3"]
    assert table.drop_silent(111.0, 0.0) == ["host-3"]
    assert not table.addresses()


WITHIN_3_S = FirstEventLimits(3.0, 3.75)


def lane_of(own_s, *waits_s, limits=WITHIN_3_S, chance=0.9):
    """Return the lane with an objective of 0.8 s and the waits of the two lanes."""
    lanes_s = [own_s + wait_s for wait_s in waits_s]
    return choose_lane(lanes_s, own_s, 0.8, limits, chance)


def test_what_is_late_makes_no_other_prompt_late():
    # A burst of twice what the engines read lasts for four seconds. In one line all
    # that come later are late too, and each engine works only on what is late already.
    # Behind the timely ones alone the next prompt is on time, however many wait.
    assert lane_of(0.2, 0.3, 9.0) == TIMELY
    assert lane_of(0.2, 0.8, 2.0) == LATE
    lanes = [urgency_of(rank, TIMELY) for rank in range(9)]
    assert max(lanes) < urgency_of(0, LATE) <= 9


def test_some_prompts_too_large_to_be_on_time_are_read_under_full_load():
    # Long site reviews take over a second to read, with an objective of 0.8 s. At full
    # load timely prompts never stop coming, and not one long review would be read.
    lanes = [lane_of(1.2, 0.7, 9.0, chance=n / 100) for n in range(100)]
    assert lanes.count(TIMELY) == 45
    assert lanes.count(HOPELESS) == 55
    # One that would come too late all the same passes nobody.
    assert lane_of(1.2, 2.0, 9.0, chance=0.0) == HOPELESS


def test_a_prompt_that_no_engine_reads_in_time_is_hopeless():
    # A burst fills all engines for five seconds; callers leave after three. Held until
    # then, a request is lost, and what was read of it was read in vain; refused at
    # once, it comes back when the backlog is gone.
    assert lane_of(0.2, 4.8, 8.8, chance=1.0) == HOPELESS


def test_a_long_answer_has_to_begin_sooner():
    short = prompt(1, 100, 100)
    long = short._replace(max_output_tokens=600, expected_output_tokens=None)
    abandoned_s = abandoned_after_s(0.8, 0.3)
    assert abandoned_s == 3.2
    assert first_event_limit_s(abandoned_s, short, 6.0) > first_event_limit_s(
        abandoned_s, long, 6.0
    )


def test_an_estimate_of_the_output_is_no_reason_to_refuse():
    # A caller comes back with two seconds left and an estimate of 300 tokens, which
    # would take three. Half of the estimates are too high: it is served, and not
    # refused for what it may turn out to be.
    limits = FirstEventLimits(target_s=-1.0, abandoned_s=2.0)
    assert lane_of(0.2, 0.7, 1.2, limits=limits) == LATE


def test_work_goes_to_the_endpoint_with_the_most_room():
    busy, free, far = engine("s1"), engine("s2"), engine("s3", zone="b")
    busy.own_running = 20
    states = [busy, free, far]
    assert choose_endpoint(0.0, states, set(), "a", first_of_all) is free
    assert choose_endpoint(0.0, states, {"s2"}, "a", first_of_all) is far
    assert choose_endpoint(0.0, states, {"s1", "s2", "s3"}, "a", first_of_all) is None


PARTS = st.lists(
    st.builds(PromptPart, st.integers(0, 5), st.integers(1, 400)), max_size=4
)


@given(st.lists(PARTS, max_size=40), PARTS)
def test_a_cache_never_counts_more_than_its_memory_nor_a_part_without_its_prefix(
    prompts, asked
):
    table = PrefixCacheEstimate(1000)
    for parts in prompts:
        table.add_parts(parts)
        assert table._tokens <= 800
        assert table._tokens == sum(table._tokens_by_part.values())
    kept = table.cached_tokens(asked)
    starts = [sum(part.tokens for part in asked[:end]) for end in range(5)]
    assert kept in starts


def test_a_mechanism_is_taken_out_by_its_name_and_no_other_name_is_taken():
    assert policy_without("") == ALL_ON
    policy = policy_without("lanes, margin")
    assert (policy.lanes, policy.margin, policy.pace) == (False, False, True)
    with pytest.raises(ValueError, match="lanes"):
        policy_without("lane")
