"""Rollouts keep as many engines in service as the demand needs."""

from gypsumusher_policy import ClassPolicy, DeploymentPolicy, RolloutPlanner
from gypsumusher_policy.rollout import engines_needed

POLICY = DeploymentPolicy(
    "d",
    {"c": ClassPolicy("c", 0, 1.0, 0.1, 10.0)},
    "c",
    {},
    2.0,
    5.0,
    60.0,
    True,
    0.1,
    8,
    2,
)
TARGET = ("model", "2")


def test_rollout_covers_all_engines_and_keeps_enough_in_service():
    planner = RolloutPlanner(POLICY)
    engines = {f"e{n}": ("model", "1", n) for n in range(6)}
    busy = set()
    for step in range(20):
        orders = planner.plan(float(step), engines, TARGET, 4, busy)
        busy |= {order.endpoint for order in orders}
        assert len(busy) <= POLICY.loads_at_once
        assert len(engines) - len(busy) >= 4
        done = sorted(busy)[:1]
        for name in done:
            engines[name] = ("model", "2", 0)
            busy.discard(name)
    assert all(engine[1] == "2" for engine in engines.values())


def test_engine_without_a_model_loads_before_a_serving_engine():
    planner = RolloutPlanner(POLICY)
    engines = {"old": ("model", "1", 0), "new": ("", "", 0)}
    orders = planner.plan(0.0, engines, TARGET, 1, set())
    assert [order.endpoint for order in orders] == ["new"]


def test_engines_needed_includes_spare_capacity():
    demands = [{"prefill_rate": 1.0, "decode_rate": 1.0}] * 2
    assert engines_needed(demands) == 5
