"""Tests of engine speeds that all hosts estimate together, under uneven engines."""

import math
import random

import pytest
from samples import LIMITS, NO_LIMIT_S, constant_draw, engine, prompt

from gypsumusher_routing import (
    ALL_ON,
    TIMELY,
    CostModel,
    EnginePool,
    EngineSpeed,
    FirstEventLimits,
    GapReport,
    OrderedStage,
    PrefillObservation,
    RoutingRequest,
    SpeedReport,
    center_speeds,
    choose_decode,
    choose_prefill,
    compare_gap_ratios,
)

HOSTS, UNEVEN = 6, [0.7, 0.7, 1.7] * 10


def deployment_after(speeds, prompts, delayed_share=0.08, every=12):
    """Return the speeds at each host, and each host's cost of a long prompt.

    Hosts prefill at random engines, and share what they observe after `every` prompts.
    A share of the prompts takes 2.5 times as long, for a cause that no host knows.
    """
    draws = random.Random(1)
    models = [CostModel() for _ in range(HOSTS)]
    tables = [[EngineSpeed() for _ in speeds] for _ in range(HOSTS)]
    for number in range(prompts):
        host, index = draws.randrange(HOSTS), draws.randrange(len(speeds))
        tokens, cached = draws.choice([1110, 3720, 10_000]), draws.choice([0, 6300])
        took_s = (0.009 + tokens * 4e-6) * speeds[index]
        took_s *= math.exp(draws.gauss(0.0, 0.1))
        took_s *= 2.5 if draws.random() < delayed_share else 1.0
        cost_s = models[host].prefill_cost("prefill").expected_s(tokens, cached)
        seen = PrefillObservation(
            "prefill", TIMELY, tokens, cached, 0.0, cost_s, 0.0, took_s
        )
        models[host].on_prefill(0.04 * number, tables[host][index], seen)
        for receiver in range(HOSTS) if number % every == 0 else ():
            for sender in set(range(HOSTS)) - {receiver}:
                for speed, other in zip(tables[receiver], tables[sender], strict=True):
                    speed.on_report(0.0, f"host-{sender}", other.own_report)
            center_speeds(tables[receiver])
    costs_s = [model.prefill_cost("prefill").expected_s(3720, 0) for model in models]
    return tables, costs_s


def learned_speed(ratio):
    speed = EngineSpeed()
    for _ in range(40):
        speed.learn(0.0, ratio, 1.0)
    return speed


def test_hosts_together_tell_slow_engines_within_a_minute():
    """Guards against loads that slow engines, or noise at equal ones, unbalance."""
    for speeds in deployment_after(UNEVEN, 1500)[0]:
        factors = [speed.lasting_factor for speed in speeds]
        assert min(factors[2::3]) > 1.5 * max(factors[0::3] + factors[1::3])
    for speeds in deployment_after([1.0] * 30, 1500)[0]:
        assert all(0.8 < speed.lasting_factor < 1.25 for speed in speeds)


def test_costs_and_speeds_do_not_drift_apart():
    """Guards against a common factor that moves from the costs to all the speeds."""
    tables, costs_s = deployment_after(UNEVEN, 8000, delayed_share=0.4, every=100)
    usual = math.exp(sum(map(math.log, UNEVEN)) / len(UNEVEN))
    for speeds, cost_s in zip(tables, costs_s, strict=True):
        mean_log = sum(speed.lasting_log for speed in speeds) / len(speeds)
        assert abs(mean_log) < 0.1
        assert 0.8 < cost_s / ((0.009 + 3720 * 4e-6) * usual) < 1.4


def test_temporary_slowdown_is_over_after_seconds():
    """Guards against engines that are avoided long after they have recovered."""
    speed = learned_speed(1.0)
    for _ in range(10):
        speed.learn_transient(0.0, 2.5, 1.0)
    assert speed.factor(0.0) > 2.0
    assert speed.factor(8.0) < 1.01
    assert speed.lasting_factor == pytest.approx(1.0)


def test_host_that_reports_nonsense_has_a_bounded_effect():
    """Guards against one faulty host that makes an engine useless for all others."""
    speed = EngineSpeed()
    speed.on_report(0.0, "faulty", SpeedReport(1e300, 10**18))
    for number in range(3):
        speed.on_report(0.0, f"host-{number}", SpeedReport(0.0, 50))
    assert speed.factor(0.0) < 1.8


def test_reports_end_with_the_silence_of_their_host_or_a_change_of_stage():
    """Guards against estimates of hosts that have left, or of another stage."""
    state = engine("d", "decode")
    for stage, now_s in (("decode", 61.0), ("prefill", 2.0)):
        state.on_event_gap(0.0, 0.3, 50.0)
        own = state.gap_ratio.own_report(50.0).ratio
        state.slowdown.on_report(0.0, "host-2", SpeedReport(0.5, 20))
        state.gap_ratio.on_report(0.0, "host-2", GapReport(0.9, 3))
        for at_s in (50.0, 59.0):
            state.gap_ratio.expire_reports(at_s)
            state.slowdown.expire_reports(at_s)
        # The mean of the gaps of both hosts.
        assert state.event_gap_ratio == pytest.approx((own + 3 * 0.9) / 4)
        assert state.slowdown.lasting_factor > 1.4
        state.on_stage_ordered(now_s, OrderedStage(stage, False), 2.0)
        state.gap_ratio.expire_reports(now_s)
        state.slowdown.expire_reports(now_s)
        assert (state.slowdown.lasting_factor, state.event_gap_ratio) == (1.0, own)


def test_restored_speed_is_not_counted_beside_new_observations():
    """Guards against observations that a snapshot and the hosts' reports both hold."""
    before, speed = learned_speed(1.7), EngineSpeed()
    speed.restore(*before.snapshot())
    assert speed.lasting_factor == pytest.approx(before.lasting_factor)
    speed.on_report(0.0, "host-2", SpeedReport(0.0, 30))
    assert speed.mean_report.observations == before.mean_report.observations
    speed.on_report(0.0, "host-3", SpeedReport(0.0, 30))
    assert speed.lasting_factor == 1.0


def decode_pool(*ratios):
    """Return a pool of decode engines of these speeds, and a request for it.

    The usual gap between events is 0.1 s, and 0.3 s are allowed.
    """
    model = CostModel()
    for _ in range(300):
        model.on_event_gap(0.1, 0.3, 1.0)
    states = [engine(f"d{number}", "decode") for number in range(len(ratios))]
    for state, ratio in zip(states, ratios, strict=True):
        state.slowdown = learned_speed(ratio)
        state.own_running = 20
    states[0].own_running = 10
    limits = FirstEventLimits(NO_LIMIT_S, NO_LIMIT_S)
    request = RoutingRequest(prompt(1, 350, 1110), 0.8, 0.8, limits, 4.0)
    return EnginePool(states, LIMITS, model, "a", 50), request


@pytest.mark.parametrize(
    "ratio, own_gaps, other_gaps, is_chosen",
    [
        (1.7, 0.5, 0.5, False),
        # Without prefills in place only the gaps show a straggler.
        (1.0, 0.75, 0.5, False),
        # Engines that are equal, or strained alike, share the streams as before.
        (1.1, 0.5, 0.5, True),
        (1.0, 0.75, 0.75, True),
    ],
)
def test_slow_decode_engine_gets_fewer_streams(ratio, own_gaps, other_gaps, is_chosen):
    """Guards against an engine whose gaps make a third of its streams late."""
    pool, request = decode_pool(ratio, 1.0, 1.0)
    gap_ratios = [state.gap_ratio for state in pool.states]
    for gaps, value in zip(gap_ratios, (own_gaps, other_gaps, other_gaps), strict=True):
        gaps.on_report(9.0, "host-2", GapReport(value, 100))
    compare_gap_ratios(gap_ratios)
    chosen = choose_decode(9.0, pool, request, "a", constant_draw)
    assert (chosen is pool.states[0]) == is_chosen
    off = pool._replace(policy=ALL_ON._replace(shared_speeds=False, pace=False))
    assert choose_decode(9.0, off, request, "a", constant_draw) is pool.states[0]


@pytest.mark.parametrize("streams, is_chosen", [(20, False), (0, True)])
def test_prefill_in_place_avoids_slow_engines_with_streams(streams, is_chosen):
    """Guards against chunks between tokens that stretch gaps over the allowed ones."""
    pool, request = decode_pool(1.7, 1.0)
    pool.states[0].own_running = streams
    # The prompt would wait for longer here than the slower prefill takes there.
    cost_s = pool.cost_model.prefill_cost("decode").expected_s(1460, 0)
    pool.states[1].begin_prefill(3.5 * cost_s, TIMELY)
    choice = choose_prefill(9.0, pool, request, constant_draw)
    assert (choice.state is pool.states[0]) == is_chosen


@pytest.mark.parametrize("queue_share, is_chosen", [(0.0, True), (0.6, False)])
def test_fast_engine_is_not_preferred_behind_a_queue(queue_share, is_chosen):
    """Guards against hosts that all send to the few fastest engines at once."""
    pool, request = decode_pool(0.6, 1.0)
    for state in pool.states:
        state.own_running = 0
    cost_s = pool.cost_model.prefill_cost("decode").expected_s(1460, 0)
    pool.states[0].begin_prefill(queue_share * cost_s, TIMELY)
    choice = choose_prefill(9.0, pool, request, constant_draw)
    assert (choice.state is pool.states[0]) == is_chosen
