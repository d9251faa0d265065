"""Shortened scenarios of the bench against the bounds of bounds.yaml."""

import pathlib

import pytest
import yaml
from scenarios import run_scenario

HERE = pathlib.Path(__file__).resolve().parent
BOUNDS = yaml.safe_load((HERE.parent / "bounds.yaml").read_text())
CASES = [(user, name) for name, users in BOUNDS["scenarios"].items() for user in users]


@pytest.mark.parametrize(("user", "name"), CASES)
def test_scenario_stays_within_its_bounds(user, name):
    """No measure is worse than the bound, which was measured when it was set."""
    bounds = BOUNDS["scenarios"][name][user]
    _, result = run_scenario(user, name, "policy", BOUNDS["time_scale"])
    seen = result._asdict()
    for field, least in bounds.get("least", {}).items():
        assert seen[field] >= least, f"{field} {seen[field]} is below {least}"
    for field, most in bounds.get("most", {}).items():
        assert seen[field] <= most, f"{field} {seen[field]} is above {most}"


def test_same_seed_gives_the_same_run():
    """Guards against bounds that fail by chance because a run isn't deterministic."""
    first = run_scenario("hanbit", "bursts", "policy", 0.1)[1]
    again = run_scenario("hanbit", "bursts", "policy", 0.1)[1]
    assert first == again


def test_no_decider_beats_the_clairvoyant_bound():
    """Guards against an upper bound that a decider exceeds."""
    for decider in ("policy", "static", "least_loaded", "eager"):
        result = run_scenario("khadra", "saturation", decider, 0.1)[1]
        assert result.goodput_s <= result.bound_s
