"""The scenarios of the bench, with fixed seeds, for both users' fleets."""

from engine_model import EngineSettings
from simulation import Run, Scenario
from workload import HANBIT, KHADRA, Phase, make_arrivals

USERS = {"hanbit": HANBIT, "khadra": KHADRA}
SEEDS = {"hanbit": 11, "khadra": 23}
# Values of `Phase.prefill_share`.
PREFILL_HEAVY, DECODE_HEAVY, BALANCED = 0.75, 0.15, 0.45
# Usual load of a phase, as a share of the fleet's engine seconds.
LOAD = 0.85


def _oscillation():
    """Return phases that alternate between the two extreme mixes."""
    phases = []
    for turn in range(8):
        # Half a period equals the dwell time in the policies of both users.
        phases.append(Phase(60.0, LOAD, PREFILL_HEAVY if turn % 2 else DECODE_HEAVY))
    return tuple(phases)


def _bursts():
    """Return short overloads between longer periods of low load."""
    phases = []
    for _ in range(8):
        phases.append(Phase(25.0, 0.5, BALANCED))
        phases.append(Phase(5.0, 2.2, BALANCED))
    return tuple(phases)


def _swing(first, second):
    """Return phases whose prefill share moves to another value and back."""
    middle = (first + second) / 2
    return (
        Phase(120.0, LOAD, first),
        Phase(30.0, LOAD, middle),
        Phase(150.0, LOAD, second),
        Phase(30.0, LOAD, middle),
        Phase(90.0, LOAD, first),
    )


STEADY = (Phase(240.0, LOAD, BALANCED),)
SCENARIOS = (
    Scenario("steady", STEADY),
    Scenario("swing_to_reading", _swing(DECODE_HEAVY, PREFILL_HEAVY), plot=True),
    Scenario("swing_to_writing", _swing(PREFILL_HEAVY, DECODE_HEAVY), plot=True),
    Scenario("oscillation", _oscillation(), plot=True),
    Scenario("bursts", _bursts()),
    Scenario("skew", STEADY, skew=2.0),
    Scenario("slow_endpoint", STEADY, faults=((40.0, "slow", 4),)),
    Scenario("long_and_short", (Phase(120.0, 0.9, 0.75), Phase(120.0, 0.9, 0.4))),
    Scenario("saturation", (Phase(300.0, 1.5, BALANCED),)),
    Scenario("refused_callers", (Phase(240.0, 1.2, BALANCED),), obey_retry_after=True),
    Scenario("withdrawn", STEADY, faults=((60.0, "withdraw", 5),)),
    Scenario("rollout", (Phase(300.0, 0.6, BALANCED),), faults=((30.0, "rollout", 0),)),
    Scenario("late_reports", STEADY, report_lag_s=5.0),
    Scenario(
        "crashing_request",
        STEADY,
        faults=((0.0, "poison", "poison"),),
        resend_failed=True,
    ),
    Scenario(
        "black_hole", STEADY, faults=((40.0, "black_hole", 1), (160.0, "heal", 1))
    ),
)
BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


def run_scenario(user_name, name, decider, time_scale=1.0, policy=None):
    """Run one scenario and return the `Run` and its `Result`.

    Parameters
    ----------
    user_name : str
        ``hanbit`` or ``khadra``.
    name : str
        Name of the scenario.
    decider : str
        One of ``simulation.DECIDERS``.
    time_scale : float
        Factor on the durations of the phases and the times of the faults.
    policy : DeploymentPolicy, optional
        Replaces the user's own policy.
    """
    user = USERS[user_name]
    if policy is not None:
        user = user._replace(policy=policy)
    scenario = BY_NAME[name]
    phases = []
    for phase in scenario.phases:
        phases.append(phase._replace(seconds=phase.seconds * time_scale))
    scenario = scenario._replace(phases=tuple(phases))
    settings = EngineSettings()
    seed = SEEDS[user_name]
    arrivals = make_arrivals(user, scenario.phases, seed, settings, scenario.skew)
    if scenario.resend_failed:
        arrivals = _add_crashing_request(arrivals, time_scale)
    run = Run(user, scenario, decider, seed, settings, time_scale)
    return run, run.run(arrivals)


def _add_crashing_request(arrivals, time_scale):
    """Make the first request after 40 s crash every engine that runs it."""
    changed = []
    done = False
    for arrival in arrivals:
        request = arrival.request
        if not done and request.arrived_s >= 40.0 * time_scale and request.idempotent:
            done = True
            arrival = arrival._replace(request=request._replace(fingerprint="poison"))
        changed.append(arrival)
    return changed
