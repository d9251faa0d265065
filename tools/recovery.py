"""Measures the effect of failures on callers under a steady load."""

import asyncio
import json
import pathlib
import sys

from demo import add_counts
from testkit import DEPLOYMENT, Fleet

from gypsumusher_cli import LoadOptions, mark_duplicate_runs, run_load
from gypsumusher_cli.load_spec import parse_load_spec
from gypsumusher_standins import expected_text

OUTPUT = pathlib.Path("build/recovery.jsonl")
# When a failure begins after the start of the load, and how long it lasts.
FAILURE_AT_S = 3.0
FAILURE_DURATION_S = 4.0
HOSTS = 3
ENGINES = 3
MIX = {
    "seed": 11,
    "duration_s": 12.0,
    "obey_retry_after": True,
    "classes": {
        "counter": {"first_token_s": 1.5, "deadline_s": 20},
        "standard": {"first_token_s": 5.0, "deadline_s": 60},
    },
    "streams": {
        "checks": {
            "deployment": "letter-models",
            "class": "counter",
            "rate_per_s": 10.0,
            "prompt_chars": [200, 800],
            "output_tokens": [4, 16],
            "tenants": {"branch-1": 1},
        },
        "demands": {
            "deployment": "letter-models",
            "class": "standard",
            "rate_per_s": 6.0,
            "prompt_chars": [500, 4000],
            "output_tokens": [16, 64],
            "non_idempotent_share": 1.0,
            "tenants": {"landlord": 1},
        },
    },
}


class RunProcesses:
    """The processes of one run."""

    def __init__(self, hosts, engines, platform):
        self.hosts = hosts
        self.engines = engines
        self.platform = platform


async def nothing(processes):
    """Inject no failure."""


async def host_killed(processes):
    """Kill one entry host."""
    processes.hosts[0].kill()


async def two_hosts_killed(processes):
    """Kill two of the three entry hosts, one after the other."""
    processes.hosts[0].kill()
    await asyncio.sleep(FAILURE_DURATION_S / 2)
    processes.hosts[1].kill()


async def host_paused(processes):
    """Pause one entry host, then resume it."""
    processes.hosts[0].pause()
    await asyncio.sleep(FAILURE_DURATION_S)
    processes.hosts[0].resume()


async def host_stopped(processes):
    """Stop one entry host by SIGTERM."""
    await processes.hosts[0].terminate_and_wait()


async def engine_killed(processes):
    """Kill one engine."""
    processes.engines[0].kill()


async def engine_paused(processes):
    """Pause one engine, then resume it."""
    processes.engines[0].pause()
    await asyncio.sleep(FAILURE_DURATION_S)
    processes.engines[0].resume()


async def platform_down(processes):
    """Take the platform store down for `FAILURE_DURATION_S`."""
    await processes.platform.control(outage=True)
    await asyncio.sleep(FAILURE_DURATION_S)
    await processes.platform.control(outage=False)


async def platform_slow(processes):
    """Add 0.3 s of latency to each call to the platform."""
    await processes.platform.control(latency_s=0.3)
    await asyncio.sleep(FAILURE_DURATION_S)
    await processes.platform.control(latency_s=0)


async def answers_lost(processes):
    """Lose the responses to 20 platform writes that took effect."""
    await processes.platform.control(lose_answers=20)


async def host_and_platform(processes):
    """Kill one entry host while the platform is down."""
    await processes.platform.control(outage=True)
    processes.hosts[0].kill()
    await asyncio.sleep(FAILURE_DURATION_S)
    await processes.platform.control(outage=False)


FAILURES = (
    nothing,
    host_killed,
    two_hosts_killed,
    host_paused,
    host_stopped,
    engine_killed,
    engine_paused,
    platform_down,
    platform_slow,
    answers_lost,
    host_and_platform,
)


async def run_one(failure):
    """Measure one failure under the load.

    Parameters
    ----------
    failure : coroutine function
        Injects the failure into the processes.

    Returns
    -------
    dict
        Counts of outcomes, the longest time to a first token, calls to the platform.
    """
    mix = parse_load_spec(MIX)
    async with Fleet() as fleet:
        platform = await fleet.start_platform()
        await fleet.put_config(
            {"deployments": {"letter-models": DEPLOYMENT}, "services": {}}
        )
        engines = [await fleet.start_engine(f"e{n}", speed=4) for n in range(ENGINES)]
        hosts = [await fleet.start_host(f"h{n}") for n in range(HOSTS)]
        await fleet.wait_until_served(hosts, ENGINES)
        processes = RunProcesses(hosts, engines, platform)

        async def inject_failure():
            await asyncio.sleep(FAILURE_AT_S)
            await failure(processes)

        injection = asyncio.ensure_future(inject_failure())
        addresses = tuple(host.addresses["callers"] for host in hosts)
        outcomes = await run_load(mix, LoadOptions(addresses, "", expected_text))
        await injection
        runs = {}
        for engine in engines:
            if engine.exit_code() is None:
                add_counts(runs, (await engine.counters())["prompts"])
        calls = (await platform.counters())["calls"]
    return summarize(failure, mark_duplicate_runs(outcomes, runs), calls)


def summarize(failure, outcomes, calls):
    """Return the result of one run as a dict."""
    results = {}
    reasons = {}
    for outcome in outcomes:
        add_counts(results, {outcome.result: 1})
        if outcome.result != "served":
            label = f"{outcome.result}:{outcome.reason}:{outcome.run}"
            add_counts(reasons, {label: 1})
    first_token_times_s = [
        o.first_token_s for o in outcomes if o.first_token_s is not None
    ]
    total_calls = {}
    for client, counts in calls.items():
        if client.startswith("h"):
            add_counts(total_calls, counts)
    return {
        "failure": failure.__name__,
        "sent": len(outcomes),
        **results,
        "on_time": sum(o.on_time for o in outcomes),
        "resumed": sum(o.resumes for o in outcomes),
        "reasons": reasons,
        "worst_first_token_s": round(max(first_token_times_s), 3),
        "platform_calls": total_calls,
    }


def main():
    """Run the failures named on the command line, or all; print a JSON line each."""
    names = set(sys.argv[1:])
    OUTPUT.parent.mkdir(exist_ok=True)
    with OUTPUT.open("w") as output:
        for failure in FAILURES:
            if names and failure.__name__ not in names:
                continue
            line = json.dumps(asyncio.run(run_one(failure)))
            print(line, flush=True)
            print(line, file=output, flush=True)


if __name__ == "__main__":
    main()
