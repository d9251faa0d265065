"""Where prompts are read and tokens made, under the loads that decide it."""

import pytest
from samples import ENDLESS_S, LIMITS, engine, first_of_all, prompt

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


def learnt_machine():
    """Return what answers have taught of a large model on a slow machine.

    A prompt takes 90 ms and 20 ms for each thousand tokens, at an engine that makes
    tokens twice as long.
    """
    learnt = CostModel()
    for number in range(200):
        new_tokens = 500 + 97 * (number % 60)
        for stage, factor in (("prefill", 1.0), ("decode", 2.0)):
            took_s = 0.09 + factor * new_tokens * 20e-6
            seen = PrefillObservation(
                stage, LATE, new_tokens, 0, 0.0, took_s, 0.0, took_s
            )
            learnt.on_prefill(0.0, Slowdown(), seen)
    return learnt


LEARNT = learnt_machine()


def fleet_of(states):
    return EnginePool(states, LIMITS, LEARNT, "a", 50)


def wish_for(generation, objective_s=0.8, limit_s=ENDLESS_S, events=1.0):
    limits = FirstEventLimits(limit_s, limit_s)
    return RoutingRequest(generation, objective_s, objective_s, limits, events)


def choose(states, generation, objective_s=0.8, limit_s=ENDLESS_S, now_s=0.0):
    wish = wish_for(generation, objective_s, limit_s)
    return choose_prefill(now_s, fleet_of(states), wish, first_of_all)


def test_nothing_is_read_where_nothing_can_make_tokens():
    generation = prompt(1, 10_000, 3000)
    assert choose([engine("p")], generation) is None


def test_a_long_prompt_is_read_apart_and_a_short_one_where_its_tokens_are_made():
    # Long bundles alternate with short checks. A long reading between the tokens of
    # running streams makes all of them late; a short one is done sooner than a
    # hand-over through a queue.
    decode = engine("d", "decode")
    decode.own_running = 8
    prefill = engine("p")
    long = prompt(1, 13_000, 3700)
    assert choose([prefill, decode], long).is_disaggregated
    prefill.begin_prefill(0.8, TIMELY)
    short = prompt(2, 350, 1100)
    assert not choose([prefill, decode], short).is_disaggregated


def test_a_prompt_goes_where_its_parts_are_kept():
    first, second, decode = engine("p1"), engine("p2"), engine("d", "decode")
    generation = prompt(1, 13_000, 3700)
    first.prefixes.add_parts(generation.parts)
    again = prompt(1, 13_000, 3800)
    reading = choose([first, second, decode], again)
    assert reading.state is first
    assert reading.cached_tokens == 13_000


def test_kept_parts_are_fetched_when_their_engine_is_behind():
    # One part is asked for by everybody: its engine's queue grows while others are
    # idle. Reading it again elsewhere takes 300 ms, fetching it 5.
    first, second, decode = engine("p1"), engine("p2"), engine("d", "decode")
    generation = prompt(1, 13_000, 3700)
    first.prefixes.add_parts(generation.parts)
    first.begin_prefill(1.2, TIMELY)
    again = prompt(1, 13_000, 3800)
    reading = choose([first, second, decode], again)
    assert reading.state is second
    assert reading.fetch_from is first
    assert reading.cached_tokens == 13_000


def test_a_part_that_is_being_read_is_waited_for_there():
    # Two requests with the same new part come 50 ms apart. The second would have it
    # read a second time on an idle engine.
    first, second, decode = engine("p1"), engine("p2"), engine("d", "decode")
    generation = prompt(1, 13_000, 1000)
    chain = [[generation.parts[0].part_id, 13_000]]
    first.prefixes.add_pending(chain, until_s=1.0)
    first.begin_prefill(0.14, TIMELY)
    reading = choose([first, second, decode], generation, now_s=0.5)
    assert reading.state is first
    assert choose([first, second, decode], generation, now_s=1.5).cached_tokens < (
        13_000
    )


def test_the_load_that_peers_told_counts():
    # Seven hosts see an idle engine at once. Without each other's counts all of them
    # send there.
    first, second, decode = engine("p1"), engine("p2"), engine("d", "decode")
    generation = prompt(1, 300, 3000)
    first.on_peer_load(0.0, "host-2", Load(3, 3, (1.8, 0.0)))
    second.on_peer_load(0.0, "host-2", Load(0))
    states = [first, second, decode]
    assert choose(states, generation, now_s=0.1).state is second
    # A peer that has gone silent has nothing under way any more.
    first.on_peer_load(0.0, "host-2", Load(3, 3, (1.8, 0.0)))
    second.begin_prefill(0.6, TIMELY)
    assert choose(states, generation, now_s=5.0).state is first


def test_a_prompt_that_cannot_be_on_time_stands_back():
    decode, prefill = engine("d", "decode"), engine("p")
    decode.own_running = 40
    generation = prompt(1, 13_000, 3700)
    states = [prefill, decode]
    assert choose(states, generation).lane == TIMELY
    prefill.begin_prefill(1.2, TIMELY)
    assert choose(states, generation, limit_s=10.0).lane == LATE
    # What is late already is no reason for another prompt to be late.
    prefill.end_prefill(1.2, TIMELY)
    prefill.begin_prefill(4, LATE)
    assert choose(states, generation).lane == TIMELY
    # Behind all of these its caller would have left: it is refused now.
    prefill.begin_prefill(1.2, TIMELY)
    decode.begin_prefill(4, LATE)
    assert choose(states, generation, limit_s=3.0).lane == HOPELESS


def test_a_failing_engine_is_left_while_there_are_others():
    # Its cache doesn't count either: a fetch from a silent engine would hang.
    first, second, decode = engine("p1"), engine("p2"), engine("d", "decode")
    decode.own_running = 8
    generation = prompt(1, 13_000, 3700)
    first.prefixes.add_parts(generation.parts[:1])
    first.health.on_failure(0.0, "silent")
    states = [first, second, decode]
    reading = choose(states, generation)
    assert (reading.state, reading.fetch_from) == (second, None)
    assert choose(states, generation, now_s=20.0).state is first


def test_tokens_are_made_by_the_least_busy_engine_of_the_zone():
    here, there = engine("d1", "decode", "a"), engine("d2", "decode", "b")
    generation = prompt(1, 13_000, 3700)

    def chosen():
        fleet = fleet_of([engine("p"), here, there])._replace(own_zone="b")
        return choose_decode(0.0, fleet, wish_for(generation), "b", first_of_all)

    assert chosen() is there
    there.own_running = 40
    assert chosen() is here


def test_an_engine_of_the_own_zone_goes_before_one_as_idle_elsewhere():
    # Each byte between zones is paid for, and the bodies of long prompts are large.
    # Waiting for the own zone's engine is not worth it.
    near, far, decode = engine("p1"), engine("p2", zone="b"), engine("d", "decode")
    generation = prompt(1, 13_000, 3700)
    far.prefixes.add_parts(generation.parts[:1])
    near.prefixes.add_parts(generation.parts[:1])
    states = [far, near, decode]
    assert choose(states, generation).state is near
    near.begin_prefill(0.1, TIMELY)
    assert choose(states, generation).state is far


def test_many_short_readings_leave_streams_that_bear_no_more_of_them():
    # Long answers of shoppers are made where prompts of two tokens are read between. No
    # reading is long, but together they slow the streams until they miss their ends.
    prefill, decode = engine("p"), engine("d", "decode")
    decode.own_running = 40
    prefill.begin_prefill(0.3, TIMELY)
    generation = prompt(1, 300, 1000)
    assert not choose([prefill, decode], generation).is_disaggregated
    for _ in range(200):
        decode.on_event_gap(0.11, 0.1)
    assert choose([prefill, decode], generation).is_disaggregated


def test_long_answers_go_where_streams_are_under_less_strain():
    busy, calm = engine("d1", "decode"), engine("d2", "decode")
    calm.own_running = 12
    for _ in range(200):
        busy.on_event_gap(0.2, 0.1)
    generation = prompt(1, 100, 140)

    def chosen(events):
        wish = wish_for(generation, events=events)
        return choose_prefill(0.0, fleet_of([busy, calm]), wish, first_of_all).state

    assert chosen(90.0) is calm


@pytest.mark.parametrize("queue_s", [0.0, 0.3])
def test_an_engine_that_was_slow_of_late_is_expected_to_be_slow(queue_s):
    slow, usual, decode = engine("p1"), engine("p2"), engine("d", "decode")
    decode.own_running = 40
    usual.begin_prefill(queue_s, TIMELY)
    for _ in range(10):
        slow.slowdown.learn(0.0, 1.0, 0.15)
    reading = choose([slow, usual, decode], prompt(1, 300, 3000))
    assert reading.state is usual


def test_a_guess_is_no_reason_to_refuse_what_an_idle_engine_may_read():
    # A host starts anew and knows nothing of the engines. By its careful guess a long
    # prompt would come too late on any of them; they may be ten times as fast.
    generation = prompt(1, 13_000, 17_000)
    states = [engine("p"), engine("d", "decode")]
    wish = wish_for(generation, 0.1, 0.6)
    fleet = fleet_of(states)._replace(cost_model=CostModel())
    assert choose_prefill(0.0, fleet, wish, first_of_all).lane == LATE
    # What is known to come too late is refused at once.
    wish = wish_for(generation, 0.1, 0.4)
    assert choose_prefill(0.0, fleet_of(states), wish, first_of_all).lane == HOPELESS


def test_late_prompts_leave_places_and_connections_to_timely_ones():
    # A burst of late prompts waits at engines of 48 slots, from hosts with a few
    # connections to each. All of these were held by what waited, and prompts that would
    # have been read at once were refused for want of one.
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


def test_the_largest_prompts_are_not_refused_at_idle_engines():
    # A whole job history takes two seconds to read, and its caller waits for three. By
    # the margin that makes timely prompts sure it was refused on each engine, however
    # idle; of the largest tenth a third was served, of all prompts three quarters.
    prefill, decode = engine("p"), engine("d", "decode")
    decode.own_running = 40
    # One that isn't among those that go in line with the timely ones all the same.
    huge = prompt(1, 300, 30_000, own_id=9000)

    def lane_with(limit_s):
        return choose([prefill, decode], huge, objective_s=0.3, limit_s=limit_s).lane

    wait_s = choose([prefill, decode], huge, objective_s=0.3).expected_s / 0.8
    assert lane_with(1.1 * wait_s) == LATE
    assert lane_with(0.9 * wait_s) == HOPELESS
