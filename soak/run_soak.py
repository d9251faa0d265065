"""Runs the soak: random faults against real processes, and what callers saw of them.

``run_soak.py [--seed N | --seeds FIRST:LAST | --kept] [--seconds S] [--jobs N]`` plays
one seed, a range of them, or the kept ones that once failed; without a seed it draws
one. ``--show`` prints the faults instead, as ``seeds.yaml`` keeps them. The exit code
is 1 when a promise was broken.
"""

import argparse
import asyncio
import pathlib
import random
import sys
from concurrent.futures import ProcessPoolExecutor

import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tools"), str(ROOT / "soak")]

from checks import find_broken_promises  # noqa: E402
from injection import inject  # noqa: E402
from plan import Fault, Plan, draw_plan  # noqa: E402
from world import World  # noqa: E402

KEPT_SEEDS = ROOT / "soak" / "seeds.yaml"
FAULTY_S = 6.0
# Broken promises that are shown of one run: the first ones tell most.
SHOWN = 6


def play(seed, plan=None):
    """Play one seed.

    Parameters
    ----------
    seed : int
        The seed; callers draw from it too.
    plan : Plan or None
        The faults; None draws those of the seed.

    Returns
    -------
    (list of str, dict)
        Broken promises, and what the run counted.
    """
    return asyncio.run(_play(seed, plan or draw_plan(seed, FAULTY_S)))


async def _play(seed, plan):
    world = World(seed)
    broken = []
    try:
        await world.start()
        await inject(world, plan)
        ends_s = world.clock()
        broken += [f"the soak itself failed: {e!r}" for e in world.failures()]
    finally:
        outcomes = world.records.outcomes
        await world.close()
    broken += find_broken_promises(world.records, ends_s)
    if broken:
        broken.append(f"logs: {world.folder}")
    else:
        world.drop_logs()
    counts = {
        "faults": len(plan.faults),
        "requests": len(outcomes),
        "served": sum(o.status == 200 and not o.problem for o in outcomes),
    }
    return broken, counts


def kept_plans():
    """Return the plans that once failed, by seed, and the cause of each.

    Returns
    -------
    dict of int to (Plan, str)
        Plans are kept whole, since a seed draws others once a kind of fault is added.
    """
    kept = {}
    for item in yaml.safe_load(KEPT_SEEDS.read_text()) or ():
        faults = tuple(Fault(*fields) for fields in item["faults"])
        kept[item["seed"]] = (Plan(faults, item["ends_s"]), item["cause"])
    return kept


def _show_plan(seed, plan):
    """Print a plan in the form in which it is kept."""
    faults = [list(fault) for fault in plan.faults]
    item = {"seed": seed, "cause": "", "ends_s": plan.ends_s, "faults": faults}
    print(yaml.safe_dump([item], sort_keys=False, default_flow_style=None))


def _plans_of(options):
    """Return the plans that the command line asks for, by seed."""
    if options.kept:
        return {seed: plan for seed, (plan, _) in kept_plans().items()}
    if options.seeds:
        first, _, last = options.seeds.partition(":")
        seeds = range(int(first), int(last or first) + 1)
    else:
        seeds = [options.seed or random.SystemRandom().randrange(10**6)]
    return {seed: draw_plan(seed, options.seconds) for seed in seeds}


def main():
    """Play the seeds of the command line; return the exit code."""
    parser = argparse.ArgumentParser(description="Soak the entry hosts with faults.")
    parser.add_argument("--seed", type=int)
    parser.add_argument("--seeds", help="FIRST:LAST, both played")
    parser.add_argument("--kept", action="store_true", help="the seeds that failed")
    parser.add_argument("--show", action="store_true", help="print the plan only")
    parser.add_argument("--seconds", type=float, default=FAULTY_S)
    parser.add_argument("--jobs", type=int, default=1)
    options = parser.parse_args()
    plans = _plans_of(options)
    if options.show:
        for seed, plan in plans.items():
            _show_plan(seed, plan)
        return 0
    failed = []
    with ProcessPoolExecutor(options.jobs) as pool:
        results = pool.map(play, plans.keys(), plans.values())
        for seed, (broken, counts) in zip(plans, results, strict=True):
            shown = " ".join(f"{name}={value}" for name, value in counts.items())
            print(f"seed={seed} broken={len(broken)} {shown}", flush=True)
            for line in broken[:SHOWN] + broken[SHOWN:][-1:]:
                print(f"  {line}", flush=True)
            if broken:
                failed.append(seed)
    print(f"seeds={len(plans)} failed={','.join(map(str, failed)) or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
