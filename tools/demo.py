"""Run the whole path on loopback: stand-ins, three daemons, a load, a planned stop."""

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
# Times the stand-ins' own speed: long bundles then take seconds, not a minute.
ENGINE_SPEED = 2
BULK = {"rank": 2, "first_token_s": 30.0, "between_tokens_s": 0.5, "deadline_s": 600}
LETTER_MODELS = merge_nested(DEPLOYMENT, {"classes": {"bulk": BULK}, "shifting": True})
# Its engines take an order with any fencing number; their own limit on an open
# connection is what keeps a stale order out.
USHER_LLM = merge_nested(LETTER_MODELS, {"model": "usher-13b", "fencing": "ignores"})
DOCUMENT = {
    "deployments": {"letter-models": LETTER_MODELS, "usher-llm": USHER_LLM},
    "services": {"counter-api": {}},
    "hosts": {},
}
HOSTS = (("host-a", "suwon-a"), ("host-b", "suwon-a"), ("host-c", "suwon-b"))


class System:
    """The demo's processes, by kind."""

    def __init__(self, hosts, engines, services, platform):
        self.hosts = hosts
        self.engines = engines
        self.services = services
        self.platform = platform


def say(text):
    """Print a line at once."""
    print(text, flush=True)


async def start_system(fleet):
    """Start everything and put the configuration in force.

    Parameters
    ----------
    fleet : Fleet
        Empty.

    Returns
    -------
    System
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
    await put_configuration(hosts[0])
    await fleet.wait_until_served(hosts, len(engines))
    return System(hosts, engines, services, platform)


async def put_configuration(host):
    """Put the document in force by a patch against number 0, as an operator does."""
    access = Access((host.addresses["operators"],), OPERATOR_TOKEN, ())
    client = OperatorsClient(access)
    await client.start()
    try:
        answer = await send_patch(client, 0, DOCUMENT, "demo", "first configuration")
        say(f"configuration number {require_ok_body(answer)['number']} is accepted")
    finally:
        await client.close()


async def count_runs(system):
    """Return how often endpoints ran each content, and the engines' role changes."""
    runs = {}
    role_changes = 0
    for engine in system.engines:
        counters = await engine.counters()
        add_counts(runs, counters["prompts"])
        for order in counters["orders"]:
            role_changes += "role" in order["goal"]
    for service in system.services:
        add_counts(runs, (await service.counters())["bodies"])
    return runs, role_changes


def add_counts(total, counts):
    """Add counts to a total."""
    for name, count in counts.items():
        total[name] = total.get(name, 0) + count


async def stop_in_mid_load(host, wait_s):
    """Stop one host in a planned way while callers use it; return its exit code."""
    await asyncio.sleep(wait_s)
    say(f"stopping {host.name} in a planned way, under load")
    exit_code = await host.terminate_and_wait()
    say(f"{host.name} has stopped")
    return exit_code


async def stop_system(system):
    """Stop everything in a planned way; return the names of what did not end well."""
    failed = []
    for process in [
        *system.hosts,
        *system.engines,
        *system.services,
        system.platform,
    ]:
        # The host that stopped under load has an exit code already.
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
        The load.
    expected : callable
        The one right text of a prompt and a number of output tokens.

    Returns
    -------
    int
        0 when every answer was whole and every process ended well, else 1.
    """
    async with Fleet() as fleet:
        say("starting the platform, three engines, a plain service and three daemons")
        system = await start_system(fleet)
        addresses = tuple(host.addresses["callers"] for host in system.hosts)
        say(
            f"load: {mix.duration_s:g} s, seed {mix.seed}, hosts {', '.join(addresses)}"
        )
        loop = asyncio.get_running_loop()
        started_s = loop.time()
        stopping = asyncio.ensure_future(
            stop_in_mid_load(system.hosts[-1], mix.duration_s / 2)
        )
        outcomes = await run_load(
            mix,
            LoadOptions(addresses, "suwon-a", expected),
            lambda progress: say("  " + format_progress(progress)),
        )
        elapsed_s = loop.time() - started_s
        await stopping
        runs, role_changes = await count_runs(system)
        say("stopping every process in a planned way")
        failed = await stop_system(system)
    report = summarize(
        mix, mark_duplicate_runs(outcomes, runs), elapsed_s, role_changes
    )
    say("")
    say(format_report(report))
    for name in failed:
        say(f"did not stop in a planned way: {name}")
    return 1 if failed or report.fault_count() else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run_demo(read_load_spec(MIX_PATH), expected_text)))
