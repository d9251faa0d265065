"""Wanted number of engines: waves, classes that swap, bursts, and missing reports."""

import math

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumusher_routing import (
    LATE,
    EngineDemand,
    EngineNeeds,
    EngineWork,
    EngineWorkWindow,
    PrefillChoice,
    WantedEngines,
    WorkMeter,
    engines_needed,
)

PROVISIONED, LEAST = 45, 15
HOSTS = ("10.0.0.1", "10.0.0.2", "10.0.0.3")


class Service:
    """Hosts that report the work of one service to the holder of the lease."""

    def __init__(self):
        self.window, self.now_s = EngineWorkWindow(), 0.0
        self.wanted = WantedEngines(PROVISIONED, PROVISIONED, 0.0)

    def run(self, duration_s, prefill, reporting=HOSTS, may_lower=True, **fields):
        """Report each second; `prefill` is the work of all hosts at a time."""
        counts = []
        for _ in range(duration_s):
            self.now_s += 1.0
            total = prefill(self.now_s) if callable(prefill) else prefill
            work = EngineWork(total / len(HOSTS), 0, 0, 0.0)._replace(**fields)
            for host in reporting:
                self.window.on_report(self.now_s, host, work)
            self.window.sample(self.now_s)
            demand = self.window.demand(self.now_s, HOSTS, 5.0)
            needs = engines_needed(demand.work, 64, 400_000)
            counts.append(self.wanted.update(self.now_s, demand, needs, may_lower))
        return counts


def wave(now_s):
    return 7.5 * (1.0 + 0.27 * math.sin(2.0 * math.pi * now_s / 11.0))


def swapping(now_s):
    return 9.0 if now_s % 5.6 < 2.8 else 5.0


@pytest.mark.parametrize("load", [wave, swapping])
def test_number_is_steady_and_enough_for_the_crest(load):
    """Guards against engines released in each trough and missing at each crest."""
    counts = Service().run(120, load)
    crest = max(load(second) for second in range(120)) / 0.4
    assert crest <= min(counts) <= 1.5 * crest < PROVISIONED
    assert len(set(counts[60:])) <= 2


def test_ramp_is_met_before_it_arrives():
    """Guards against engines that are ordered only when the load is there already."""
    service = Service()
    service.run(60, 6.0)
    counts = service.run(10, lambda now_s: 6.0 + 0.4 * (now_s - 60.0))
    assert counts[-1] * 0.4 >= 6.0 + 0.4 * 15.0


def test_burst_at_a_low_number_brings_the_provisioned_one_back_at_once():
    """Guards against a formula that sees only the work that few engines can begin."""
    service = Service()
    assert service.run(60, 3.0, late_share=0.08)[-1] == LEAST
    assert service.run(1, 6.0, late_share=0.5) == [PROVISIONED]
    assert service.run(10, 40.0)[-1] == PROVISIONED
    assert service.run(10, 40.0, late_share=0.5)[-1] == PROVISIONED
    assert service.run(60, 3.0)[-1] == LEAST


@pytest.mark.parametrize(
    "condition", [{"reporting": HOSTS[:2]}, {"may_lower": False}, {"prefill": 0.0}]
)
def test_nothing_is_released_without_a_host_or_a_zone_or_before_traffic(condition):
    """Guards against engines released for a load that isn't known or can't be moved."""
    counts = Service().run(60, **{"prefill": 3.0, **condition})
    assert set(counts) == {PROVISIONED}


def test_no_reports():
    """Guards against few engines for work that nobody reports any more."""
    service = Service()
    service.run(60, 3.0)
    counts = service.run(12, 3.0, reporting=())
    assert (counts[2], counts[-1]) == (LEAST, PROVISIONED)


def test_new_leaseholder_keeps_the_stored_number():
    """Guards against more engines, or fewer, each time the lease changes hands."""
    service = Service()
    service.run(60, 3.0)
    service.wanted = WantedEngines(PROVISIONED, 30, service.now_s)
    assert set(service.run(19, 3.0)) == {30}
    assert service.run(6, 3.0)[-1] == LEAST


def test_streams_and_shared_prefixes_need_engines():
    """Guards against a prefix counted at each host, and against batches too large."""
    assert Service().run(60, 3.0, shared_tokens=25 * 320_000)[-1] == 25
    assert Service().run(60, 3.0, shared_tokens=250 * 320_000)[-1] == PROVISIONED
    assert Service().run(60, 0.1, streams=120)[-1] == 22


def test_meter_counts_begun_work_late_prompts_and_distinct_prefixes():
    """Guards against more engines for prompts that no engine would serve in time."""
    meter = WorkMeter()
    meter.read(0.0, 0)
    for times_s, is_begun in (((0.8, 0.0, 0.8), True), ((0.2, 9.0, 9.2), False)):
        choice = PrefillChoice(None, True, 1, 0, *times_s, None, 0.0, LATE)
        meter.on_prompt(choice, 0.5, is_begun)
    meter.on_shared_parts(1.0, [[1, 1000], [2, 500]])
    meter.on_shared_parts(2.0, [[1, 1000]])
    assert meter.read(2.0, 7) == EngineWork(0.4, 7, 1500, 0.5)
    assert meter.read(21.5, 0) == EngineWork(0.0, 0, 1000, 0.0)
    assert meter.read(22.5, 0).shared_tokens == 0


@settings(max_examples=200, deadline=None)
@given(
    st.integers(1, 90),
    st.lists(
        st.tuples(st.integers(0, 80), st.floats(0, 1), st.booleans(), st.booleans()),
        min_size=25,
        max_size=60,
    ),
)
def test_number_keeps_to_its_bounds_and_falls_only_after_ten_seconds(stored, steps):
    wanted, needed, before = WantedEngines(PROVISIONED, stored, 0.0), [], stored
    for now_s, (need, late, is_complete, may_lower) in enumerate(steps):
        demand = EngineDemand(EngineWork(1.0, 0, 0, late), is_complete, True, True)
        count = wanted.update(now_s, demand, EngineNeeds(need, 0, 0), may_lower)
        needed.append(min(need, PROVISIONED))
        least = PROVISIONED if late > 0.1 else LEAST
        assert max(needed[-1], least) <= count <= max(before, PROVISIONED)
        if count < before:
            assert now_s >= 20 and may_lower and count >= max(needed[-11:])
            assert all(step[2] for step in steps[now_s - 10 : now_s + 1])
        before = count
