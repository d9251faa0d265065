"""Which engine takes a stage that no other one has, and when none does."""

from gypsumusher_routing import EngineView, StagePlanner


def engine(name, stage, running=0, sound=True, leaving=False, away=False):
    return EngineView(name, stage, sound, leaving, away, running)


def fleet(readers, makers):
    found = [engine(f"p{n}", "prefill") for n in range(readers)]
    return found + [engine(f"d{n}", "decode") for n in range(makers)]


def plan(planner, engines, from_s=0.0, for_s=6.0):
    """Look five times a second; return what is planned first, and when."""
    for step in range(int(for_s * 5)):
        now_s = from_s + step / 5
        change = planner.next_change(now_s, engines)
        if change is not None:
            return change, now_s
    return None, None


def test_the_last_engine_that_makes_tokens_is_replaced_when_it_is_gone():
    # A release and two removals fall together, and all engines that are left only read
    # prompts. Every request of a model was refused for the rest of the day.
    change, at_s = plan(StagePlanner(), fleet(3, 0))
    assert change.stage == "decode"
    assert at_s <= 1.0


def test_an_engine_that_leaves_is_not_waited_for():
    leaving = engine("d0", "decode", sound=False, leaving=True)
    change, at_s = plan(StagePlanner(), [*fleet(2, 0), leaving])
    assert change.stage == "decode"
    assert at_s <= 0.5


def test_engines_that_failed_a_few_requests_are_waited_for():
    # The only maker of tokens resets three connections, and counts as failing for a
    # second. An order would take a reader away for nothing.
    planner = StagePlanner()
    failing = [*fleet(2, 0), engine("d0", "decode", sound=False)]
    assert plan(planner, failing, for_s=0.8) == (None, None)
    assert plan(planner, fleet(2, 1), from_s=0.8, for_s=2.0) == (None, None)
    change, at_s = plan(planner, failing, from_s=3.0)
    assert change.stage == "decode"
    assert 4.0 <= at_s <= 4.5


def test_an_engine_on_its_way_to_a_missing_stage_is_enough():
    engines = [engine("p0", "prefill"), engine("p1", "decode", away=True)]
    assert plan(StagePlanner(), engines, for_s=3.0) == (None, None)


def test_readers_are_restored_only_where_makers_of_tokens_can_spare_one():
    change, _ = plan(StagePlanner(), fleet(0, 3))
    assert change.stage == "prefill"
    assert plan(StagePlanner(), fleet(0, 2)) == (None, None)


def test_a_stage_that_is_only_short_of_engines_is_left_so():
    assert plan(StagePlanner(), fleet(4, 1)) == (None, None)
    assert plan(StagePlanner(), fleet(1, 4)) == (None, None)


def test_the_engine_with_the_least_under_way_is_changed():
    engines = [engine("p0", "prefill", 9), engine("p1", "prefill", 2)]
    change, _ = plan(StagePlanner(), engines)
    assert change.endpoint_id == "p1"
