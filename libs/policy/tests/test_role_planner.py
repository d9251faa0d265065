"""When the planner changes the role of an engine, and when it does not."""

from gypsumusher_policy import (
    ClassPolicy,
    DeploymentPolicy,
    RoleChange,
    RoleChangePlanner,
)

CLASSES = {"standard": ClassPolicy("standard", 1, 5.0, 0.1, 60.0)}
ROLES = {f"e{n}": "prefill" if n < 3 else "decode" for n in range(6)}


def create_planner(price_s=2.0):
    policy = DeploymentPolicy(
        "d", CLASSES, "standard", {}, price_s, 5.0, 60.0, True, 0.1, 8, 2
    )
    return RoleChangePlanner(policy)


def demand(prefill, decode, prefill_s=0.0, decode_s=0.0, rank=1):
    return {"classes": [[rank, prefill, decode, prefill_s, decode_s]]}


def test_balanced_mix_changes_nothing():
    assert create_planner().plan(0.0, ROLES, [demand(2.5, 2.5)], set()) == []


def test_overload_that_queues_absorb_changes_nothing():
    planner = create_planner()
    assert planner.plan(0.0, ROLES, [demand(1.0, 3.5)], set()) == []


def test_lasting_overload_changes_one_engine_at_a_time():
    planner = create_planner()
    changes = planner.plan(0.0, ROLES, [demand(1.0, 4.5, 0.0, 120.0)], set())
    assert len(changes) == 1
    assert ROLES[changes[0].endpoint] == "prefill"
    assert planner.plan(1.0, ROLES, [demand(1.0, 4.5, 0.0, 120.0)], {"e0"}) == []


def test_engine_keeps_its_role_for_the_dwell_time():
    planner = create_planner()
    roles = {"e0": "prefill", "e1": "decode"}
    decode_heavy = [demand(0.1, 1.8, 0.0, 100.0)]
    change = planner.plan(0.0, roles, decode_heavy, set())[0]
    roles[change.endpoint] = change.role
    prefill_heavy = [demand(1.8, 0.1, 100.0, 0.0)]
    again = planner.plan(10.0, roles, prefill_heavy, set())
    assert change == RoleChange("e0", change.role)
    assert all(item.endpoint != "e0" for item in again)


def test_higher_cost_of_a_role_change_needs_more_late_work():
    overload = [demand(1.0, 4.5, 0.0, 60.0)]
    assert create_planner(2.0).plan(0.0, ROLES, overload, set())
    assert create_planner(60.0).plan(0.0, ROLES, overload, set()) == []


def test_backlog_of_the_last_class_takes_no_engine_from_the_first():
    urgent = [0, 2.0, 3.0, 0.0, 0.0]
    bulk = [2, 5.0, 0.1, 500.0, 5.0]
    demands = [{"classes": [urgent, bulk]}]
    for change in create_planner().plan(0.0, ROLES, demands, set()):
        assert change.role != "prefill" or ROLES[change.endpoint] != "decode"
