"""Runs the bench and writes build/bench.jsonl and the plots in build/plots.

``run_bench.py [--deciders a,b] [--scenarios a,b] [--users a,b] [--scale X]`` selects
what runs; without arguments everything runs.
"""

import argparse
import json
import pathlib
import sys
from concurrent.futures import ProcessPoolExecutor

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from decision_cost import measure_decision, run_two_years  # noqa: E402
from plots import plot_swing  # noqa: E402
from scenarios import BY_NAME, USERS, run_scenario  # noqa: E402
from simulation import DECIDERS  # noqa: E402

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build"
# Few worker processes, to leave most CPUs to other work on the machine.
PROCESSES = 3
# Result fields that are printed.
PRINTED_FIELDS = (
    "goodput_share",
    "role_changes",
    "refusals",
    "late",
    "failed",
    "urgent_p95_s",
    "urgent_on_time_share",
    "long_on_time_share",
    "comebacks_in",
    "comebacks",
    "engines_lost",
    "innocents_lost",
    "wasted_s",
    "least_serving",
)


def run_one(job):
    """Run one scenario in a worker process and return its result as a dict."""
    user, name, decider, scale, plots = job
    policy = None
    if decider == "policy_cheap":
        # The user with hanbit's role change price, to show what its own price costs.
        policy = USERS[user].policy._replace(
            role_change_price_s=USERS["hanbit"].policy.role_change_price_s
        )
        run, result = run_scenario(user, name, "policy", scale, policy)
        return result._replace(decider=decider)._asdict()
    run, result = run_scenario(user, name, decider, scale)
    if plots and run.scenario.plot and decider == "policy":
        plot_swing(run, result, BUILD / "plots")
    return result._asdict()


def main(argv=None):
    """Run the selected scenarios, and write and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deciders", default=",".join(DECIDERS))
    parser.add_argument("--scenarios", default=",".join(BY_NAME))
    parser.add_argument("--users", default=",".join(USERS))
    parser.add_argument("--scale", type=float, default=1.0)
    parser.add_argument("--no-plots", action="store_true")
    options = parser.parse_args(argv)
    jobs = []
    for user in options.users.split(","):
        for name in options.scenarios.split(","):
            for decider in options.deciders.split(","):
                plots = not options.no_plots
                jobs.append((user, name, decider, options.scale, plots))
    if options.deciders == ",".join(DECIDERS) and "khadra" in options.users:
        for name in options.scenarios.split(","):
            jobs.append(("khadra", name, "policy_cheap", options.scale, False))
    (BUILD / "plots").mkdir(parents=True, exist_ok=True)
    shares = {}
    with (
        ProcessPoolExecutor(PROCESSES) as pool,
        open(BUILD / "bench.jsonl", "w") as out,
    ):
        for result in pool.map(run_one, jobs):
            print(json.dumps(result), file=out, flush=True)
            _print_result(result)
            share = result["goodput_share"]
            shares.setdefault(result["decider"], []).append(share)
        if options.deciders == ",".join(DECIDERS):
            for measure in _measure_costs():
                print(json.dumps(measure), file=out, flush=True)
                print(" ".join(f"{name}={value}" for name, value in measure.items()))
    for decider, values in shares.items():
        mean = sum(values) / len(values)
        print(f"decider={decider} mean={mean:.4f} least={min(values):.4f}")


def _measure_costs():
    for replicas in (6, 25, 100, 400):
        yield measure_decision(replicas)
    yield run_two_years()


def _print_result(result):
    parts = [result["user"], result["scenario"], result["decider"]]
    parts += [f"{name}={result[name]}" for name in PRINTED_FIELDS]
    print(" ".join(parts), flush=True)


if __name__ == "__main__":
    main()
