"""Unit tests of routes, retries, health, host tables, priorities and caches."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st
from samples import constant_draw, engine, prompt

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
    SendCounter,
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


def status(
    name,
    sequence=1,
    started_ms=1,
    ready=True,
    version=1,
    zone="a",
    capacity=1.0,
    revision=1,
    store_reachable_s=0.0,
):
    return HostStatus(
        name, started_ms, sequence, "10.0.0.1", zone, f"{name}:1", f"{name}:2", ready,
        version, revision, capacity, True, store_reachable_s, 0.4, 0, 0, True,
    )  # fmt: skip


def ready_names(table, now_s):
    return [host.name for host in table.live(now_s) if host.is_ready]


def test_active_hosts_are_strong_ones_in_all_zones():
    # Sixty small hosts serve the same engines, and ten requests a second fill the links
    # of some. If all hosts were active, callers would reach the weak ones as often as
    # the strong ones, and no host would know the load of the engines.
    hosts = []
    for number in range(60):
        capacity = 0.0 if number % 4 == 0 else 1.0
        hosts.append(status(f"h{number}", zone="abc"[number % 3], capacity=capacity))
    active = choose_active_hosts(hosts)
    assert {host.zone for host in active} == {"a", "b", "c"}
    assert all(host.capacity for host in active)
    assert 9 <= len(active) <= 12
    # The choice does not depend on the order in which a host heard from the others.
    assert choose_active_hosts(hosts[::-1]) == active
    # A host that falls silent is replaced, and the others stay active.
    remaining = [host for host in hosts if host != active[0]]
    assert len(set(active) & set(choose_active_hosts(remaining))) == len(active) - 1
    assert len(choose_watchers(active)) == 3


def test_few_hosts_include_active_ones_of_each_zone():
    # If all active hosts are lost, the others must replace them.
    hosts = [status(f"h{number}", zone="abcd"[number % 4]) for number in range(8)]
    active = choose_active_hosts(hosts)
    assert sorted(host.zone for host in active) == ["a", "b", "c", "d"]
    remaining = [host for host in hosts if host not in active]
    assert (
        choose_active_hosts(remaining) == remaining
        or len(choose_active_hosts(remaining)) == 4
    )


def test_longest_prefix_matches_and_the_query_is_ignored():
    configuration = Configuration(
        1, (route("short", "/a/"), route("long", "/a/b/")), {}, LIMITS
    )
    table = RouteTable(configuration)
    assert table.find("h", "/a/b/c").name == "long"
    assert table.find("h", "/a/x?y=/a/b/").name == "short"
    assert table.find("h", "/other") is None
    assert table.find("other", "/a/") is None


def test_requests_are_split_by_weight():
    shares = (ServiceShare("one", 90.0), ServiceShare("two", 10.0))
    draws = (number / 100 for number in range(100))
    counts = Counter(
        pick_service(route("r", "/", shares), lambda: next(draws)) for _ in range(100)
    )
    assert counts == {"one": 90, "two": 10}


def test_all_hosts_together_stay_within_the_retry_bound():
    # An endpoint fails all requests under full load, and eight hosts retry each one.
    # Without a common bound the retries alone would saturate the endpoints.
    hosts = 8
    budgets = [RetryBudget(0.2, 54, 10.0, started_s=-100.0) for _ in range(hosts)]
    retries = requests = 0
    for step in range(1000):
        now_s = step * 0.01
        for budget in budgets:
            budget.on_first_send(now_s, hosts)
            requests += 1
            retries += budget.take(now_s, hosts, SendCounter()).is_allowed
    assert 0 < retries <= 0.2 * requests + 54


def test_restarted_host_has_no_slack_at_once():
    # Hosts are killed repeatedly. If each start added the host's slack again, the
    # retries within a window would exceed the bound.
    budget = RetryBudget(0.2, 54, 10.0, started_s=100.0)
    assert not budget.take(100.0, 1, SendCounter()).is_allowed
    assert budget.take(105.0, 1, SendCounter()).is_allowed


def test_penalty_decays_and_answers_reduce_it():
    health = Health()
    health.on_failure(0.0, "silent")
    assert health.is_avoided(0.1)
    assert not health.is_avoided(3.0)
    health.on_failure(3.0, "silent")
    for _ in range(5):
        health.on_success(3.0)
    assert not health.is_avoided(3.0)


def test_penalty_of_a_peer_counts_here():
    health = Health()
    health.on_peer_penalty(0.0, "host-2", 1.0)
    assert health.is_avoided(0.1)
    assert health.own_penalty(0.1) == 0.0
    health.on_peer_penalty(0.2, "host-2", 0.0)
    assert not health.is_avoided(0.2)


def test_silent_host_is_not_live():
    table = HostTable("host-1")
    table.on_status(0.0, status("host-2"))
    table.on_status(0.0, status("host-3", ready=False))
    assert ready_names(table, 1.0) == ["host-2"]
    assert ready_names(table, 5.0) == []


def test_overtaken_message_is_ignored():
    table = HostTable("host-1")
    table.on_status(0.0, status("host-2", sequence=7, ready=False))
    assert not table.on_status(0.1, status("host-2", sequence=6))
    assert ready_names(table, 0.2) == []


def test_restarted_host_whose_clock_was_set_back_is_accepted():
    # A host restarts after its clock was set back, so its messages look older than
    # those of its previous process. It must not stay out of the list for ever.
    table = HostTable("host-1")
    table.on_status(0.0, status("host-2", sequence=70, started_ms=9000))
    assert not table.on_status(0.5, status("host-2", sequence=1, started_ms=5000))
    assert table.on_status(2.0, status("host-2", sequence=4, started_ms=5000))
    assert ready_names(table, 2.1) == ["host-2"]


def test_store_that_answered_a_peer_throughout_was_not_down():
    """Guards against keeping endpoints that left because only the own call failed."""
    table = HostTable("me")
    table.on_status(9.0, status("h1", store_reachable_s=5.0))
    table.on_status(11.0, status("h1", sequence=2, store_reachable_s=7.0, revision=2))
    assert table.peer_saw_store_since(11.1, since_s=10.0)
    # No new revision since then: the peer's call may hang at a store that is down.
    assert not table.peer_saw_store_since(11.1, since_s=11.05)


def test_store_that_failed_for_a_peer_too_was_down():
    """Guards against dropping endpoints whose entries expired during an outage."""
    table = HostTable("me")
    table.on_status(9.0, status("h1", store_reachable_s=5.0))
    table.on_status(11.0, status("h1", sequence=2, store_reachable_s=0.3, revision=2))
    assert not table.peer_saw_store_since(11.1, since_s=10.0)


def test_host_that_is_gone_is_dropped():
    # Hosts are replaced repeatedly. Each one that stayed in the table would cost a
    # message a second from every other host for ever.
    table = HostTable("host-1")
    table.on_record(0.0, "host-2", "10.0.0.2")
    table.on_record(0.0, "host-3", "10.0.0.3")
    table.on_status(50.0, status("host-3"))
    assert table.drop_silent(59.0, 0.0) == []
    assert table.drop_silent(61.0, 0.0) == ["host-2"]
    assert list(table.addresses()) == ["host-3"]
    assert table.drop_silent(111.0, 0.0) == ["host-3"]
    assert not table.addresses()


WITHIN_3_S = FirstEventLimits(3.0, 3.75)


def lane_of(idle_s, *waits_s, limits=WITHIN_3_S, chance=0.9):
    """Return the priority class for an objective of 0.8 s and a wait per class."""
    lanes_s = [idle_s + wait_s for wait_s in waits_s]
    return choose_lane(lanes_s, idle_s, 0.8, limits, chance)


def test_late_prompts_do_not_delay_timely_ones():
    # A burst of twice what the engines can prefill lasts for four seconds. In a single
    # queue all later prompts would be late too. Behind the timely ones alone the next
    # prompt is on time, however many late ones wait.
    assert lane_of(0.2, 0.3, 9.0) == TIMELY
    assert lane_of(0.2, 0.8, 2.0) == LATE
    lanes = [urgency_of(rank, TIMELY) for rank in range(9)]
    assert max(lanes) < urgency_of(0, LATE) <= 9


def test_share_of_prompts_too_large_to_be_on_time_is_queued_as_timely():
    # Some prompts take over a second to prefill, with an objective of 0.8 s. Under full
    # load timely prompts keep arriving, and no large prompt would ever be prefilled.
    lanes = [lane_of(1.2, 0.7, 9.0, chance=n / 100) for n in range(100)]
    assert lanes.count(TIMELY) == 45
    assert lanes.count(HOPELESS) == 55
    # A prompt that would come too late anyway is not queued as timely.
    assert lane_of(1.2, 2.0, 9.0, chance=0.0) == HOPELESS


def test_prompt_that_no_engine_would_prefill_in_time_is_hopeless():
    # A burst occupies all engines for five seconds; callers give up after three. A
    # request that waits that long is lost, and so is its prefill. If it is refused at
    # once, the caller repeats it when the backlog is gone.
    assert lane_of(0.2, 4.8, 8.8, chance=1.0) == HOPELESS


def test_longer_answer_needs_an_earlier_first_event():
    short = prompt(1, 100, 100)
    long = short._replace(max_output_tokens=600, expected_output_tokens=None)
    abandoned_s = abandoned_after_s(0.8, 0.3)
    assert abandoned_s == 3.2
    assert first_event_limit_s(abandoned_s, short, 6.0) > first_event_limit_s(
        abandoned_s, long, 6.0
    )


def test_estimated_output_is_no_reason_to_refuse():
    # A caller repeats a request with two seconds left and an estimate of 300 tokens,
    # which would take three. Half of the estimates are too high, so it is not refused.
    limits = FirstEventLimits(target_s=-1.0, abandoned_s=2.0)
    assert lane_of(0.2, 0.7, 1.2, limits=limits) == LATE


def test_request_goes_to_the_least_loaded_untried_endpoint():
    busy, free, far = engine("s1"), engine("s2"), engine("s3", zone="b")
    busy.own_running = 20
    states = [busy, free, far]
    assert choose_endpoint(0.0, states, set(), "a", constant_draw) is free
    assert choose_endpoint(0.0, states, {"s2"}, "a", constant_draw) is far
    assert choose_endpoint(0.0, states, {"s1", "s2", "s3"}, "a", constant_draw) is None


PARTS = st.lists(
    st.builds(PromptPart, st.integers(0, 5), st.integers(1, 400)), max_size=4
)


@given(st.lists(PARTS, max_size=40), PARTS)
def test_cache_estimate_stays_within_its_limit_and_counts_only_prefixes(
    prompts, requested
):
    cache = PrefixCacheEstimate(1000)
    for parts in prompts:
        cache.add_parts(parts)
        assert cache._tokens <= 800
        assert cache._tokens == sum(cache._tokens_by_part.values())
    cached_tokens = cache.cached_tokens(requested)
    prefix_tokens = [sum(part.tokens for part in requested[:end]) for end in range(5)]
    assert cached_tokens in prefix_tokens


def test_cache_estimate_keeps_few_parts_of_a_single_token():
    # Guards against memory of a host that grows with what callers' prompts name.
    cache = PrefixCacheEstimate(400_000)
    cache.add_chain([number, 1] for number in range(400_000))
    assert len(cache) <= 5000


def test_mechanisms_are_turned_off_by_name_and_unknown_names_are_rejected():
    assert policy_without("") == ALL_ON
    policy = policy_without("lanes, margin")
    assert (policy.lanes, policy.margin, policy.pace) == (False, False, True)
    with pytest.raises(ValueError, match="lanes"):
        policy_without("lane")
