"""Hosts keep serving while the platform is down, slow or unresponsive."""

import asyncio

import pytest
from testkit import Fleet, wait_until

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes

READS_PER_S = 20.0
WRITES_PER_S = 5.0
BUDGET = {"platform": {"reads_per_s": READS_PER_S, "writes_per_s": WRITES_PER_S}}
# Allows for the budget's burst and for calls in flight at the start and end.
SLACK_CALLS = 2 * (READS_PER_S + WRITES_PER_S)


async def assert_served(hosts, count, tag):
    """Send requests through every host and check that each response is complete."""
    prompts = [f"{tag} {number}" for number in range(count)]
    calls = [
        hosts[number % len(hosts)].complete(prompt, 8, stream=number % 2 == 0)
        for number, prompt in enumerate(prompts)
    ]
    for prompt, response in zip(prompts, await asyncio.gather(*calls)):
        assert response.status == 200, response
        assert response.text == expected_text(prompt, 8)


async def wait_for_platform_state(hosts, is_up):
    async def all_agree():
        states = [(await host.status())["platform"]["state"] for host in hosts]
        return all((state == "up") == is_up for state in states)

    await wait_until(all_agree, f"every host to see the platform up: {is_up}")


async def count_platform_calls(fleet, host):
    """Return how many calls from a host have reached the platform."""
    counts = (await fleet.platform.counters())["calls"]
    return sum(counts[host.name].values())


async def serve_for(hosts, seconds, tag):
    """Send rounds of requests for at least `seconds`; return the elapsed time."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    number = 0
    while loop.time() < start_s + seconds:
        number += 1
        await assert_served(hosts, 6, f"{tag} round {number}")
    return loop.time() - start_s


@pytest.mark.parametrize(
    "fault, repair",
    [
        ({"outage": True}, {"outage": False}),
        ({"hang": True}, {"hang": False}),
        ({"cut_clients": ["h1", "h2", "h3"]}, {"cut_clients": []}),
    ],
)
def test_outage_stops_no_serving_and_calls_stay_in_budget(fault, repair):
    """Guards against overloading the platform when it recovers.

    The platform is down for longer than every lease and watch, then recovers. Hosts
    that retry immediately, in step and without a bound would overload it.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=3, engines=2, **BUDGET)
            await fleet.platform.control(**fault)
            await wait_for_platform_state(hosts, False)
            before = [await count_platform_calls(fleet, host) for host in hosts]
            down_s = await serve_for(hosts, 3.0, "during the outage")
            during = [await count_platform_calls(fleet, host) for host in hosts]
            allowed = (READS_PER_S + WRITES_PER_S) * down_s + SLACK_CALLS
            for earlier, later in zip(before, during):
                assert later - earlier <= allowed
            await fleet.platform.control(**repair)
            await wait_for_platform_state(hosts, True)
            back_s = await serve_for(hosts, 1.0, "after the return")
            after = [await count_platform_calls(fleet, host) for host in hosts]
            allowed = (READS_PER_S + WRITES_PER_S) * back_s + SLACK_CALLS
            for earlier, later in zip(during, after):
                assert later - earlier <= allowed
            assert (await fleet.platform.counters())["throttled"] == 0

    asyncio.run(run())


def test_no_orders_are_sent_without_a_lease():
    """Guards against orders from a steward whose lease has expired.

    The platform goes down until no host holds a lease, so no orders are sent before
    it recovers. A rollout afterwards completes.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)

            async def some_steward():
                rows = [row for h in hosts for row in (await h.status())["stewards"]]
                return len(rows) == 1

            await wait_until(some_steward, "a steward")
            await fleet.platform.control(outage=True)

            async def no_steward():
                rows = [row for h in hosts for row in (await h.status())["stewards"]]
                return rows == []

            await wait_until(no_steward, "the lease to expire")
            await assert_served(hosts, 8, "without a steward")
            for engine in engines:
                assert (await engine.counters())["orders"] == []
            await fleet.platform.control(outage=False)
            await wait_until(some_steward, "a steward after the outage")
            patch = {"deployments": {"letter-models": {"version": "2"}}}
            assert (await hosts[0].patch(1, patch, "version-2")).status == 200

            async def all_loaded():
                for engine in engines:
                    orders = (await engine.counters())["orders"]
                    if not orders or orders[-1]["state"] != "done":
                        return False
                return True

            await wait_until(all_loaded, "the rollout after the outage")

    asyncio.run(run())


def test_slow_platform_stops_no_serving_and_writes_stay_bounded():
    """Guards against failed requests and excess writes while the platform is slow.

    Each platform call takes most of the call time-out. A host that treats slow calls as
    failed could refuse requests or a patch, or repeat its writes.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            await fleet.platform.control(latency_s=0.35)
            before = (await fleet.platform.counters())["calls"]["h1"]
            await assert_served(hosts, 20, "with a slow platform")
            key = await hosts[0].mint_key()
            headers = {"Idempotency-Key": key}
            response = await hosts[0].complete("a booking", 8, headers)
            assert response.text == expected_text("a booking", 8)
            assert await fleet.count_runs("a booking", engines) == 1
            patch = {"deployments": {"letter-models": {"retry_ratio": 0.2}}}
            response = await hosts[0].patch(1, patch, "patch-a")
            assert response.status == 200, response

            async def is_everywhere():
                return [(await h.status())["config_number"] for h in hosts] == [2, 2]

            await wait_until(is_everywhere, "the patch to be in force")
            after = (await fleet.platform.counters())["calls"]["h1"]
            assert after["PUT"] - before["PUT"] < 40

    asyncio.run(run())


def test_request_repeated_during_an_outage_runs_once():
    """Guards against running a non-idempotent request again during an outage.

    After the response, the platform goes down, and the caller repeats the request
    through both hosts, with a minted key and with its own. The record of what ran is
    unreachable.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            keys = [await hosts[0].mint_key(), "booking-123"]
            for key in keys:
                headers = {"Idempotency-Key": key}
                response = await hosts[0].complete(f"booking {key}", 8, headers)
                assert response.status == 200
            await fleet.platform.control(outage=True)
            await wait_for_platform_state(hosts, False)
            for key in keys:
                prompt = f"booking {key}"
                headers = {"Idempotency-Key": key}
                for host in hosts:
                    response = await host.complete(prompt, 8, headers)
                    if response.status == 200:
                        assert response.text == expected_text(prompt, 8)
                        continue
                    assert response.status in {409, 503}, response
                    assert response.error["run"] == "unknown", response
                assert await fleet.count_runs(prompt, engines) == 1

    asyncio.run(run())
