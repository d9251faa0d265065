"""Runs a demo on loopback: stand-ins and three daemons under load, with a stop."""

import asyncio
import pathlib
import sys

from testkit import DEPLOYMENT, OPERATOR_TOKEN, Fleet, merge_nested

from gypsumusher_cli import (
    LoadOptions,
    format_report,
    mark_duplicate_runs,
    read_load_spec,
    run_load,
    summarize,
)
from gypsumusher_cli.access import Access
from gypsumusher_cli.client import OperatorsClient
from gypsumusher_cli.command_base import require_ok_body
from gypsumusher_cli.config_commands import send_patch
from gypsumusher_cli.load_commands import format_progress
from gypsumusher_standins import expected_text

MIX_PATH = pathlib.Path(__file__).with_name("demo_load.yaml")
# Factor on the default speed of engine stand-ins, so that the longest requests take
# seconds instead of a minute.
ENGINE_SPEED = 2
BULK = {"rank": 2, "first_token_s": 30.0, "between_tokens_s": 0.5, "deadline_s": 600}
LETTER_MODELS = merge_nested(DEPLOYMENT, {"classes": {"bulk": BULK}, "shifting": True})
# The engines of this deployment ignore fencing numbers; their own time limit on an open
# connection keeps stale orders out instead.
USHER_LLM = merge_nested(LETTER_MODELS, {"model": "usher-13b", "fencing": "ignores"})
DOCUMENT = {
    "deployments": {"letter-models": LETTER_MODELS, "usher-llm": USHER_LLM},
    "services": {"counter-api": {}},
    "hosts": {},
}
HOSTS = (("host-a", "suwon-a"), ("host-b", "suwon-a"), ("host-c", "suwon-b"))


class DemoProcesses:
    """The processes of the demo by kind."""

    def __init__(self, hosts, engines, services, platform):
        self.hosts = hosts
        self.engines = engines
        self.services = services
        self.platform = platform


def print_now(text):
    """Print a line and flush the output."""
    print(text, flush=True)


async def start_system(fleet):
    """Start all processes and submit the configuration.

    Parameters
    ----------
    fleet : Fleet
        A fleet without processes.

    Returns
    -------
    DemoProcesses
    """
    platform = await fleet.start_platform()
    engines = [
        await fleet.start_engine("engine-1", speed=ENGINE_SPEED),
        await fleet.start_engine("engine-2", speed=ENGINE_SPEED, zone="suwon-b"),
        await fleet.start_engine(
            "engine-3",
            speed=ENGINE_SPEED,
            deployment="usher-llm",
            model="usher-13b",
            fencing="ignores",
        ),
    ]
    services = [await fleet.start_service("counter-1")]
    hosts = [await fleet.start_host(name, zone=zone) for name, zone in HOSTS]
    await submit_configuration(hosts[0])
    await fleet.wait_until_served(hosts, len(engines))
    return DemoProcesses(hosts, engines, services, platform)


async def submit_configuration(host):
    """Submit the configuration as a patch on number 0, as an operator does."""
    access = Access((host.addresses["operators"],), OPERATOR_TOKEN, ())
    client = OperatorsClient(access)
    await client.start()
    try:
        response = await send_patch(client, 0, DOCUMENT, "demo", "first configuration")
        print_now(
            f"configuration number {require_ok_body(response)['number']} is accepted"
        )
    finally:
        await client.close()


async def count_runs(processes):
    """Return how often endpoints ran each prompt or body, and the role changes."""
    runs = {}
    role_changes = 0
    for engine in processes.engines:
        counters = await engine.counters()
        add_counts(runs, counters["prompts"])
        for order in counters["orders"]:
            role_changes += "role" in order["goal"]
    for service in processes.services:
        add_counts(runs, (await service.counters())["bodies"])
    return runs, role_changes


def add_counts(total, counts):
    """Add counts by name to a dict of totals."""
    for name, count in counts.items():
        total[name] = total.get(name, 0) + count


async def stop_under_load(host, wait_s):
    """Stop a host by SIGTERM while callers use it; return its exit code."""
    await asyncio.sleep(wait_s)
    print_now(f"stopping {host.name} under load (SIGTERM)")
    exit_code = await host.terminate_and_wait()
    print_now(f"{host.name} has stopped")
    return exit_code


async def stop_system(processes):
    """Stop all processes by SIGTERM; return those that failed, with exit codes."""
    failed = []
    for process in [
        *processes.hosts,
        *processes.engines,
        *processes.services,
        processes.platform,
    ]:
        # The host that was stopped under load has exited already.
        exit_code = process.exit_code()
        if exit_code is None:
            exit_code = await process.terminate_and_wait()
        if exit_code != 0:
            failed.append(f"{process.name} (exit code {exit_code})")
    return failed


async def run_demo(mix, expected):
    """Run the demo.

    Parameters
    ----------
    mix : LoadSpec
        The load to run.
    expected : callable
        Returns the expected text for a prompt and a number of output tokens.

    Returns
    -------
    int
        0 if every response was correct and every process exited with 0, else 1.
    """
    async with Fleet() as fleet:
        print_now(
            "starting the platform, three engines, a plain service and three daemons"
        )
        processes = await start_system(fleet)
        addresses = tuple(host.addresses["callers"] for host in processes.hosts)
        print_now(
            f"load: {mix.duration_s:g} s, seed {mix.seed}, hosts {', '.join(addresses)}"
        )
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        stopping = asyncio.ensure_future(
            stop_under_load(processes.hosts[-1], mix.duration_s / 2)
        )
        outcomes = await run_load(
            mix,
            LoadOptions(addresses, "suwon-a", expected),
            lambda progress: print_now("  " + format_progress(progress)),
        )
        elapsed_s = loop.time() - started_s
        await stopping
        runs, role_changes = await count_runs(processes)
        print_now("stopping all processes (SIGTERM)")
        failed = await stop_system(processes)
    report = summarize(
        mix, mark_duplicate_runs(outcomes, runs), elapsed_s, role_changes
    )
    print_now("")
    print_now(format_report(report))
    for name in failed:
        print_now(f"process failed to stop: {name}")
    return 1 if failed or report.fault_count() else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run_demo(read_load_spec(MIX_PATH), expected_text)))
