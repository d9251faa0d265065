"""Wanted number of engines: waves, classes that swap, bursts, and missing reports."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumusher_routing import (
    LATE,
    TIMELY,
    EngineDemand,
    EngineNeeds,
    EngineWork,
    EngineWorkWindow,
    PrefillChoice,
    WantedEngines,
    WorkMeter,
    engines_needed,
)

PROVISIONED, SLOTS, KV_TOKENS = 45, 64, 400_000
HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


class Service:
    """Hosts that report the work of one service to the holder of the lease."""

    def __init__(self, wanted=PROVISIONED):
        self.window = EngineWorkWindow()
        self.now_s = 0.0
        self.counts = []
        self.begin_term(wanted)

    def begin_term(self, wanted):
        self.wanted = WantedEngines(PROVISIONED, wanted, self.now_s)

    def run(
        self, duration_s, prefill, late=0.0, reporting=HOSTS, streams=0, tokens=0,
        may_lower=True,
    ):  # fmt: skip
        """Report each second; `prefill` is the work of all hosts, or a function."""
        began = len(self.counts)
        for _ in range(duration_s):
            self.now_s += 1.0
            total = prefill(self.now_s) if callable(prefill) else prefill
            share = total / len(HOSTS)
            for host in reporting:
                work = EngineWork(share, streams // len(HOSTS), tokens, late)
                self.window.on_report(self.now_s, host, work)
            self.window.sample(self.now_s)
            demand = self.window.demand(self.now_s, HOSTS, 5.0)
            needs = engines_needed(demand.work, SLOTS, KV_TOKENS)
            self.counts.append(self.wanted.update(self.now_s, demand, needs, may_lower))
        return self.counts[began:]


def wave(now_s):
    """Return 7.5 engine seconds per second that swing by 27% in 11 s."""
    return 7.5 * (1.0 + 0.27 * math.sin(2.0 * math.pi * now_s / 11.0))


def swapping(now_s):
    """Return the work of two classes, one dearer, whose rates swap each 2.8 s."""
    return 9.0 if now_s % 5.6 < 2.8 else 5.0


@pytest.mark.parametrize("load", [wave, swapping])
def test_number_is_steady_and_enough_for_the_crest(load):
    """Guards against engines released in each trough and missing at each crest."""
    service = Service()
    counts = service.run(120, load)
    crest = max(load(second) for second in range(120)) / 0.4
    assert min(counts) >= crest
    assert counts[-1] <= 1.5 * crest < PROVISIONED
    assert len(set(counts[60:])) <= 2


def test_ramp_is_met_before_it_arrives():
    """Guards against engines that are ordered only when the load is there already."""
    service = Service()
    service.run(60, 6.0)
    counts = service.run(20, lambda now_s: 6.0 + 0.4 * (now_s - 60.0))
    assert counts[9] * 0.4 >= 6.0 + 0.4 * 15.0


def test_idle_time_before_traffic_releases_nothing():
    """Guards against a third of the engines when the first clients come."""
    assert set(Service().run(60, 0.0)) == {PROVISIONED}


def test_burst_at_a_low_number_brings_the_provisioned_one_back_at_once():
    """Guards against a formula that sees only the work that few engines can begin."""
    service = Service()
    assert service.run(60, 3.0)[-1] == PROVISIONED / 3
    assert service.run(1, 6.0, late=0.5)[-1] == PROVISIONED
    assert max(service.run(10, 40.0, late=0.0)) == PROVISIONED
    assert max(service.run(10, 40.0, late=0.5)) == math.ceil(1.5 * PROVISIONED)
    assert service.run(60, 3.0)[-1] == PROVISIONED / 3


def test_some_late_prompts_are_no_burst():
    """Guards against more engines for the few prompts that are late on any day."""
    service = Service()
    assert service.run(60, 3.0, late=0.08)[-1] == PROVISIONED / 3


@pytest.mark.parametrize("condition", [{"reporting": HOSTS[:2]}, {"may_lower": False}])
def test_nothing_is_released_without_a_host_or_while_a_zone_is_short(condition):
    """Guards against engines released for work that isn't known or can't be moved."""
    service = Service()
    assert set(service.run(60, 6.0, **condition)) == {PROVISIONED}
    assert service.run(30, 6.0)[-1] < PROVISIONED


def test_no_reports():
    """Guards against few engines for work that nobody reports any more."""
    service = Service()
    low = service.run(60, 3.0)[-1]
    counts = service.run(12, 3.0, reporting=())
    assert counts[2] == low
    assert counts[-1] == PROVISIONED


def test_new_leaseholder_keeps_the_stored_number():
    """Guards against more engines, or fewer, each time the lease changes hands."""
    service = Service()
    service.run(60, 6.0)
    stored = service.counts[-1]
    service.begin_term(stored)
    assert set(service.run(40, 6.0)) == {stored}
    service.begin_term(30)
    counts = service.run(25, 3.0)
    assert set(counts[:19]) == {30}
    assert counts[-1] < 30


def test_shared_prefixes_count_once_and_up_to_the_provisioned_number():
    """Guards against the same prefix counted at each host, and against no bound."""
    service = Service()
    tokens = 25 * 320_000
    assert service.run(60, 3.0, tokens=tokens)[-1] == 25
    assert service.run(60, 3.0, tokens=10 * tokens)[-1] == PROVISIONED


def test_streams_alone_need_engines():
    """Guards against batches too large where streams are long and prompts short."""
    assert Service().run(60, 0.1, streams=360)[-1] == math.ceil(360 * 1.15 / 19.2)


def choice(lane, cost_s=0.2, queue_s=0.0):
    """Return a prompt's engine, at the usual speed."""
    expected_s = cost_s + queue_s
    return PrefillChoice(
        None, True, 1, 0, cost_s, queue_s, expected_s, None, 0.0, lane
    )  # fmt: skip


def test_meter_counts_begun_work_late_prompts_and_distinct_prefixes():
    """Guards against more engines for prompts that no engine would serve in time."""
    meter = WorkMeter()
    meter.read(0.0, 0)
    meter.on_prompt(choice(TIMELY), 0.5, True)
    meter.on_prompt(choice(LATE, cost_s=0.8), 0.5, True)
    meter.on_prompt(choice(LATE, queue_s=0.6), 0.5, True)
    meter.on_prompt(choice("hopeless", queue_s=9.0), 0.5, False)
    meter.on_shared_parts(1.0, [[1, 1000], [2, 500]])
    meter.on_shared_parts(2.0, [[1, 1000]])
    assert meter.read(2.0, 7) == EngineWork(pytest.approx(0.6), 7, 1500, 0.5)
    assert meter.read(21.5, 0) == EngineWork(0.0, 0, 1000, 0.0)
    assert meter.read(22.5, 0).shared_tokens == 0


@settings(max_examples=200, deadline=None)
@given(
    stored=st.integers(1, 90),
    steps=st.lists(
        st.tuples(st.integers(0, 200), st.floats(0, 1), st.booleans(), st.booleans()),
        min_size=1,
        max_size=60,
    ),
)
def test_number_keeps_to_its_bounds_and_falls_only_after_ten_seconds(stored, steps):
    wanted = WantedEngines(PROVISIONED, stored, 0.0)
    needed, before = [], stored
    for now_s, (need, late, is_complete, may_lower) in enumerate(steps):
        demand = EngineDemand(EngineWork(1.0, 0, 0, late), is_complete, True, True)
        count = wanted.update(now_s, demand, EngineNeeds(need, 0, 0), may_lower)
        most = 68 if late > 0.1 else PROVISIONED
        needed.append(min(need, most))
        assert count >= max(needed[-1], PROVISIONED / 3)
        assert count <= max(before, most)
        if count < before:
            assert now_s >= 20 and may_lower
            assert all(step[2] for step in steps[now_s - 10 : now_s + 1])
            assert count >= max(needed[-11:])
        before = count
