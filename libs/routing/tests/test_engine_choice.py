"""Tests of the choice of engines for prefill and decode under different loads."""

import pytest
from samples import LIMITS, NO_LIMIT_S, constant_draw, engine, prompt

from gypsumusher_routing import (
    HOPELESS,
    LATE,
    TIMELY,
    CostModel,
    EnginePool,
    FirstEventLimits,
    PrefillObservation,
    RoutingRequest,
    choose_decode,
    choose_prefill,
)
from gypsumusher_routing.endpoint_state import Load
from gypsumusher_routing.estimates import Slowdown


def slow_machine_costs():
    """Return a cost model trained for a large model on a slow machine.

    A prefill takes 90 ms plus 20 ms per thousand tokens, and 40 ms per thousand tokens
    at a decode engine.
    """
    cost_model = CostModel()
    for number in range(200):
        new_tokens = 500 + 97 * (number % 60)
        for stage, factor in (("prefill", 1.0), ("decode", 2.0)):
            took_s = 0.09 + factor * new_tokens * 20e-6
            observation = PrefillObservation(
                stage, LATE, new_tokens, 0, 0.0, took_s, 0.0, took_s
            )
            cost_model.on_prefill(0.0, Slowdown(), observation)
    return cost_model


COST_MODEL = slow_machine_costs()


def pool_of(states):
    return EnginePool(states, LIMITS, COST_MODEL, "a", 50)


def request_for(generation, objective_s=0.8, limit_s=NO_LIMIT_S, expected_events=1.0):
    limits = FirstEventLimits(limit_s, limit_s)
    return RoutingRequest(generation, objective_s, objective_s, limits, expected_events)


def choose(states, generation, objective_s=0.8, limit_s=NO_LIMIT_S, now_s=0.0):
    request = request_for(generation, objective_s, limit_s)
    return choose_prefill(now_s, pool_of(states), request, constant_draw)


def test_no_prefill_without_a_decode_engine():
    generation = prompt(1, 10_000, 3000)
    assert choose([engine("p")], generation) is None


def test_long_prompts_are_disaggregated_and_short_ones_are_not():
    # A long prefill between the decode steps of running streams delays all of them. A
    # short one finishes sooner than a queued prefill with a KV handover.
    decode = engine("d", "decode")
    decode.own_running = 8
    prefill = engine("p")
    long = prompt(1, 13_000, 3700)
    assert choose([prefill, decode], long).is_disaggregated
    prefill.begin_prefill(0.8, TIMELY)
    short = prompt(2, 350, 1100)
    assert not choose([prefill, decode], short).is_disaggregated


def test_prompt_goes_to_the_engine_that_caches_its_parts():
    first, second, decode = engine("p1"), engine("p2"), engine("d", "decode")
    generation = prompt(1, 13_000, 3700)
    first.prefixes.add_parts(generation.parts)
    again = prompt(1, 13_000, 3800)
    choice = choose([first, second, decode], again)
    assert choice.state is first
    assert choice.cached_tokens == 13_000


def test_cached_parts_are_fetched_from_a_busy_engine():
    # All prompts share a part, so the queue of the engine that caches it grows while
    # others are idle. Another prefill of the part takes 300 ms, a fetch takes 5 ms.
    first, second, decode = engine("p1"), engine("p2"), engine("d", "decode")
    generation = prompt(1, 13_000, 3700)
    first.prefixes.add_parts(generation.parts)
    first.begin_prefill(1.2, TIMELY)
    again = prompt(1, 13_000, 3800)
    choice = choose([first, second, decode], again)
    assert choice.state is second
    assert choice.fetch_from is first
    assert choice.cached_tokens == 13_000


def test_prompt_waits_for_a_pending_prefill_of_its_parts():
    # Two requests with the same new part arrive 50 ms apart. At an idle engine the
    # second one would prefill the part again.
    first, second, decode = engine("p1"), engine("p2"), engine("d", "decode")
    generation = prompt(1, 13_000, 1000)
    chain = [[generation.parts[0].part_id, 13_000]]
    first.prefixes.add_pending(chain, until_s=1.0)
    first.begin_prefill(0.14, TIMELY)
    choice = choose([first, second, decode], generation, now_s=0.5)
    assert choice.state is first
    assert choose([first, second, decode], generation, now_s=1.5).cached_tokens < (
        13_000
    )


def test_load_reported_by_peers_counts():
    # Seven hosts see the same idle engine. Without each other's loads all of them would
    # send a prompt there.
    first, second, decode = engine("p1"), engine("p2"), engine("d", "decode")
    generation = prompt(1, 300, 3000)
    first.on_peer_load(0.0, "host-2", Load(3, 3, (1.8, 0.0)))
    second.on_peer_load(0.0, "host-2", Load(0))
    states = [first, second, decode]
    assert choose(states, generation, now_s=0.1).state is second
    # The load of a peer that has gone silent expires.
    first.on_peer_load(0.0, "host-2", Load(3, 3, (1.8, 0.0)))
    second.begin_prefill(0.6, TIMELY)
    assert choose(states, generation, now_s=5.0).state is first


def test_priority_class_follows_from_the_queues():
    decode, prefill = engine("d", "decode"), engine("p")
    decode.own_running = 40
    generation = prompt(1, 13_000, 3700)
    states = [prefill, decode]
    assert choose(states, generation).lane == TIMELY
    prefill.begin_prefill(1.2, TIMELY)
    assert choose(states, generation, limit_s=10.0).lane == LATE
    # Late prompts in the queue do not make another prompt late.
    prefill.end_prefill(1.2, TIMELY)
    prefill.begin_prefill(4, LATE)
    assert choose(states, generation).lane == TIMELY
    # Behind all of these its caller would give up first.
    prefill.begin_prefill(1.2, TIMELY)
    decode.begin_prefill(4, LATE)
    assert choose(states, generation, limit_s=3.0).lane == HOPELESS


def test_failing_engine_is_avoided_while_there_are_others():
    # Nothing is fetched from it either: a fetch from a silent engine would hang.
    first, second, decode = engine("p1"), engine("p2"), engine("d", "decode")
    decode.own_running = 8
    generation = prompt(1, 13_000, 3700)
    first.prefixes.add_parts(generation.parts[:1])
    first.health.on_failure(0.0, "silent")
    states = [first, second, decode]
    choice = choose(states, generation)
    assert (choice.state, choice.fetch_from) == (second, None)
    assert choose(states, generation, now_s=20.0).state is first


def test_decode_engine_is_of_the_source_zone_unless_it_is_busy():
    here, there = engine("d1", "decode", "a"), engine("d2", "decode", "b")
    generation = prompt(1, 13_000, 3700)

    def chosen():
        pool = pool_of([engine("p"), here, there])._replace(own_zone="b")
        return choose_decode(0.0, pool, request_for(generation), "b", constant_draw)

    assert chosen() is there
    there.own_running = 40
    assert chosen() is here


def test_engine_of_the_own_zone_is_preferred_if_equally_idle():
    # Traffic between zones is paid for, and requests with long prompts are large. That
    # does not justify waiting for the engine of the own zone.
    near, far, decode = engine("p1"), engine("p2", zone="b"), engine("d", "decode")
    generation = prompt(1, 13_000, 3700)
    far.prefixes.add_parts(generation.parts[:1])
    near.prefixes.add_parts(generation.parts[:1])
    states = [far, near, decode]
    assert choose(states, generation).state is near
    near.begin_prefill(0.1, TIMELY)
    assert choose(states, generation).state is far


def test_short_prefills_avoid_streams_close_to_their_allowed_gaps():
    # Long answers are decoded while many short prompts are prefilled in between. None
    # of the prefills is long, but together they make the streams end too late.
    prefill, decode = engine("p"), engine("d", "decode")
    decode.own_running = 40
    prefill.begin_prefill(0.3, TIMELY)
    generation = prompt(1, 300, 1000)
    assert not choose([prefill, decode], generation).is_disaggregated
    for _ in range(200):
        decode.on_event_gap(0.11, 0.1)
    assert choose([prefill, decode], generation).is_disaggregated


def test_long_answers_go_to_the_engine_with_the_lower_gap_ratio():
    busy, calm = engine("d1", "decode"), engine("d2", "decode")
    calm.own_running = 12
    for _ in range(200):
        busy.on_event_gap(0.2, 0.1)
    generation = prompt(1, 100, 140)

    def chosen(events):
        request = request_for(generation, expected_events=events)
        return choose_prefill(0.0, pool_of([busy, calm]), request, constant_draw).state

    assert chosen(90.0) is calm


@pytest.mark.parametrize("queue_s", [0.0, 0.3])
def test_engine_with_a_slowdown_is_expected_to_be_slow(queue_s):
    slow, usual, decode = engine("p1"), engine("p2"), engine("d", "decode")
    decode.own_running = 40
    usual.begin_prefill(queue_s, TIMELY)
    for _ in range(10):
        slow.slowdown.learn(0.0, 1.0, 0.15)
    choice = choose([slow, usual, decode], prompt(1, 300, 3000))
    assert choice.state is usual


def test_prompt_is_not_refused_by_initial_costs_alone():
    # A host has just started and has no answers yet. By its conservative initial costs
    # a long prompt would be late at any engine, but these may be ten times as fast.
    generation = prompt(1, 13_000, 17_000)
    states = [engine("p"), engine("d", "decode")]
    request = request_for(generation, 0.1, 0.6)
    pool = pool_of(states)._replace(cost_model=CostModel())
    assert choose_prefill(0.0, pool, request, constant_draw).lane == LATE
    # With learned costs the prompt is refused.
    request = request_for(generation, 0.1, 0.4)
    assert choose_prefill(0.0, pool_of(states), request, constant_draw).lane == HOPELESS


def test_late_prompts_leave_slots_and_connections_to_timely_ones():
    # A burst of late prompts waits at engines of 48 slots, from hosts with few
    # connections to each. If late prompts held all of these, timely ones would be
    # refused although they would be prefilled at once.
    def lane_with(**fields):
        prefill, decode = engine("p", slots=48), engine("d", "decode")
        prefill.begin_prefill(0.7, TIMELY)
        prefill.begin_prefill(0.7, LATE)
        decode.begin_prefill(0.9, TIMELY)
        decode.own_running = 40
        for name, value in fields.items():
            setattr(prefill, name, value)
        return choose([prefill, decode], prompt(1, 300, 3000), limit_s=8.0).lane

    assert lane_with(own_running=2) == LATE
    # Half of the engine's slots, and of this host's connections to it.
    assert lane_with(own_running=24) == HOPELESS
    assert lane_with(own_running=25) == HOPELESS


def test_largest_prompts_are_not_refused_at_idle_engines():
    # A prompt takes two seconds to prefill, and its caller waits for three. If refusal
    # used the margin of timely prompts, all idle engines would refuse it. Then a third
    # of the largest tenth of the prompts was served, and three quarters of all prompts.
    prefill, decode = engine("p"), engine("d", "decode")
    decode.own_running = 40
    # Its id keeps it out of the share of large prompts that are queued as timely.
    huge = prompt(1, 300, 30_000, own_id=9000)

    def lane_with(limit_s):
        return choose([prefill, decode], huge, objective_s=0.3, limit_s=limit_s).lane

    wait_s = choose([prefill, decode], huge, objective_s=0.3).expected_s / 0.8
    assert lane_with(1.1 * wait_s) == LATE
    assert lane_with(0.9 * wait_s) == HOPELESS
