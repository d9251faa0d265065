"""Tests of the choice of an engine for a stage that no other engine has."""

from gypsumusher_routing import EngineView, StagePlanner


def engine(name, stage, running=0, healthy=True, draining=False, switching=False):
    return EngineView(name, stage, healthy, draining, switching, running)


def engines_of(prefills, decodes):
    found = [engine(f"p{n}", "prefill") for n in range(prefills)]
    return found + [engine(f"d{n}", "decode") for n in range(decodes)]


def plan(planner, engines, from_s=0.0, for_s=6.0):
    """Plan five times a second; return the first change and its time in seconds."""
    for step in range(int(for_s * 5)):
        now_s = from_s + step / 5
        change = planner.next_change(now_s, engines)
        if change is not None:
            return change, now_s
    return None, None


def test_last_decode_engine_is_replaced_when_it_is_gone():
    # After a release and two simultaneous removals only prefill engines remain. Without
    # a change, every request of the model is refused from then on.
    change, at_s = plan(StagePlanner(), engines_of(3, 0))
    assert change.stage == "decode"
    assert at_s <= 1.0


def test_draining_engine_is_replaced_without_the_longer_wait():
    draining = engine("d0", "decode", healthy=False, draining=True)
    change, at_s = plan(StagePlanner(), [*engines_of(2, 0), draining])
    assert change.stage == "decode"
    assert at_s <= 0.5


def test_engine_that_failed_a_few_requests_is_given_time_to_recover():
    # The only decode engine resets three connections and counts as unhealthy for a
    # second. A stage change would take a prefill engine out of service for nothing.
    planner = StagePlanner()
    failing = [*engines_of(2, 0), engine("d0", "decode", healthy=False)]
    assert plan(planner, failing, for_s=0.8) == (None, None)
    assert plan(planner, engines_of(2, 1), from_s=0.8, for_s=2.0) == (None, None)
    change, at_s = plan(planner, failing, from_s=3.0)
    assert change.stage == "decode"
    assert 4.0 <= at_s <= 4.5


def test_engine_that_is_switching_to_the_missing_stage_is_enough():
    engines = [engine("p0", "prefill"), engine("p1", "decode", switching=True)]
    assert plan(StagePlanner(), engines, for_s=3.0) == (None, None)


def test_prefill_stage_is_restored_only_if_two_decode_engines_remain():
    change, _ = plan(StagePlanner(), engines_of(0, 3))
    assert change.stage == "prefill"
    assert plan(StagePlanner(), engines_of(0, 2)) == (None, None)


def test_stage_with_too_few_engines_is_left_alone():
    assert plan(StagePlanner(), engines_of(4, 1)) == (None, None)
    assert plan(StagePlanner(), engines_of(1, 4)) == (None, None)


def test_engine_with_the_fewest_running_requests_is_changed():
    engines = [engine("p0", "prefill", 9), engine("p1", "prefill", 2)]
    change, _ = plan(StagePlanner(), engines)
    assert change.endpoint_id == "p1"
