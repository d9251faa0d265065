"""Injects random faults into real processes and checks what callers observe.

``run_soak.py [--seed N | --seeds FIRST:LAST | --kept] [--seconds S] [--jobs N]`` runs
one seed, a range of seeds, or the kept plans that once failed; without a seed it draws
one. ``--deployment`` chooses what is started, and ``--source DIR`` runs the entry hosts
of another checkout. ``--show`` prints the faults instead, in the format of
``seeds.yaml``. The exit code is 1 if a guarantee was violated.
"""

import argparse
import asyncio
import functools
import pathlib
import random
import sys
from concurrent.futures import ProcessPoolExecutor

import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tools"), str(ROOT / "soak")]

from checks import find_violations, peak_retry_usage  # noqa: E402
from deployments import DEPLOYMENTS, SMALL  # noqa: E402
from injection import inject  # noqa: E402
from plan import Fault, Plan, draw_plan  # noqa: E402
from soak_system import SoakSystem  # noqa: E402

KEPT_SEEDS = ROOT / "soak" / "seeds.yaml"
# Default time span in which faults begin.
FAULTY_S = 6.0
# Violations printed of one run; the first ones usually show the cause.
MAX_PRINTED = 6


def run_seed(seed, plan=None, deployment=SMALL, source=None):
    """Run one seed.

    Parameters
    ----------
    seed : int
        The seed, from which callers draw as well.
    plan : Plan or None
        The faults; None draws them from the seed.
    deployment : Deployment
        What to start.
    source : pathlib.Path or None
        Checkout whose entry hosts are run; None runs the installed ones.

    Returns
    -------
    (list of str, dict)
        Violations, and the counts of faults and of requests.
    """
    if plan is None:
        plan = draw_plan(seed, FAULTY_S, deployment.fault_kinds, deployment.fault_rate)
    return asyncio.run(_run_seed(SoakSystem(seed, deployment, source), plan))


async def _run_seed(system, plan):
    violations = []
    try:
        await system.start()
        await inject(system, plan)
        ends_s = system.clock()
        violations += [
            f"a task of the soak itself failed: {e!r}" for e in system.failures()
        ]
    finally:
        outcomes = system.records.outcomes
        await system.close()
    violations += find_violations(system.records, ends_s)
    if violations:
        violations.append(f"logs: {system.folder}")
    else:
        system.remove_logs()
    counts = {
        "faults": len(plan.faults),
        "requests": len(outcomes),
        "served": sum(o.status == 200 and not o.problem for o in outcomes),
        "retry_usage": round(peak_retry_usage(system.records), 2),
        "stalled_s": round(sum(to - from_ for from_, to in system.records.stalls), 1),
    }
    return violations, counts


def load_kept_plans():
    """Return the plans that once failed and their causes, by seed.

    Returns
    -------
    dict of int to (Plan, str)
        Whole plans are kept, because a seed draws other faults once a kind is added.
    """
    kept = {}
    for item in yaml.safe_load(KEPT_SEEDS.read_text()) or ():
        faults = tuple(Fault(*fields) for fields in item["faults"])
        kept[item["seed"]] = (Plan(faults, item["ends_s"]), item["cause"])
    return kept


def _print_plan(seed, plan):
    """Print a plan in the format of ``seeds.yaml``."""
    faults = [list(fault) for fault in plan.faults]
    item = {"seed": seed, "cause": "", "ends_s": plan.ends_s, "faults": faults}
    print(yaml.safe_dump([item], sort_keys=False, default_flow_style=None))


def _select_plans(options):
    """Return the plans that the command line selects, by seed."""
    if options.kept:
        return {seed: plan for seed, (plan, _) in load_kept_plans().items()}
    if options.seeds:
        first, _, last = options.seeds.partition(":")
        seeds = range(int(first), int(last or first) + 1)
    else:
        seeds = [options.seed or random.SystemRandom().randrange(10**6)]
    deployment = DEPLOYMENTS[options.deployment]
    kinds, rate = deployment.fault_kinds, deployment.fault_rate
    return {seed: draw_plan(seed, options.seconds, kinds, rate) for seed in seeds}


def main():
    """Run the seeds of the command line and return the exit code."""
    parser = argparse.ArgumentParser(description="Soak the entry hosts with faults.")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", help="FIRST:LAST, inclusive")
    parser.add_argument("--kept", action="store_true", help="the seeds that failed")
    parser.add_argument("--show", action="store_true", help="print the plan only")
    parser.add_argument("--seconds", type=float, default=FAULTY_S)
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--deployment", choices=DEPLOYMENTS, default="small")
    parser.add_argument("--source", type=pathlib.Path, help="another checkout")
    options = parser.parse_args()
    plans = _select_plans(options)
    if options.show:
        for seed, plan in plans.items():
            _print_plan(seed, plan)
        return 0
    failed = []
    with ProcessPoolExecutor(options.jobs) as pool:
        run = functools.partial(
            run_seed,
            deployment=DEPLOYMENTS[options.deployment],
            source=options.source,
        )
        results = pool.map(run, plans.keys(), plans.values())
        for seed, (violations, counts) in zip(plans, results, strict=True):
            totals = " ".join(f"{name}={value}" for name, value in counts.items())
            print(f"seed={seed} broken={len(violations)} {totals}", flush=True)
            for line in violations[:MAX_PRINTED] + violations[MAX_PRINTED:][-1:]:
                print(f"  {line}", flush=True)
            if violations:
                failed.append(seed)
    print(f"seeds={len(plans)} failed={','.join(map(str, failed)) or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
