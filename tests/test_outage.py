"""A platform that is down, slow or silent for long stops no serving."""

import asyncio

import pytest
from testkit import Fleet, wait_until

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes

READS_PER_S = 20.0
WRITES_PER_S = 5.0
BUDGET = {"platform": {"reads_per_s": READS_PER_S, "writes_per_s": WRITES_PER_S}}
# The budget's burst, and calls that were counted on both sides of the measurement.
SLACK_CALLS = 2 * (READS_PER_S + WRITES_PER_S)


async def assert_served(hosts, count, tag):
    """Send requests through every host; each has to be answered whole."""
    prompts = [f"{tag} {number}" for number in range(count)]
    calls = [
        hosts[number % len(hosts)].complete(prompt, 8, stream=number % 2 == 0)
        for number, prompt in enumerate(prompts)
    ]
    for prompt, answer in zip(prompts, await asyncio.gather(*calls)):
        assert answer.status == 200, answer
        assert answer.text == expected_text(prompt, 8)


async def wait_for_platform_state(hosts, is_up):
    async def all_see_it():
        states = [(await host.status())["platform"]["state"] for host in hosts]
        return all((state == "up") == is_up for state in states)

    await wait_until(all_see_it, f"every host to see the platform up: {is_up}")


async def calls_of(fleet, host):
    """Return how many calls of a host have reached the platform."""
    counts = (await fleet.platform.counters())["calls"]
    return sum(counts[host.name].values())


async def serve_for(hosts, seconds, tag):
    """Serve rounds of requests for some time; return the time that it took."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    number = 0
    while loop.time() < start_s + seconds:
        number += 1
        await assert_served(hosts, 6, f"{tag} round {number}")
    return loop.time() - start_s


@pytest.mark.parametrize(
    "fault, mended",
    [
        ({"outage": True}, {"outage": False}),
        ({"hang": True}, {"hang": False}),
        ({"cut_clients": ["h1", "h2", "h3"]}, {"cut_clients": []}),
    ],
)
def test_serving_goes_on_and_calls_stay_in_budget(fault, mended):
    """A platform that comes back would be knocked down by all hosts at once.

    The platform is down for longer than every lease and watch; then it returns.
    Cause: hosts that retry at once, in step, and without a bound.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=3, engines=2, **BUDGET)
            await fleet.platform.control(**fault)
            await wait_for_platform_state(hosts, False)
            before = [await calls_of(fleet, host) for host in hosts]
            down_s = await serve_for(hosts, 3.0, "during the outage")
            during = [await calls_of(fleet, host) for host in hosts]
            allowed = (READS_PER_S + WRITES_PER_S) * down_s + SLACK_CALLS
            for earlier, later in zip(before, during):
                assert later - earlier <= allowed
            await fleet.platform.control(**mended)
            await wait_for_platform_state(hosts, True)
            back_s = await serve_for(hosts, 1.0, "after the return")
            after = [await calls_of(fleet, host) for host in hosts]
            allowed = (READS_PER_S + WRITES_PER_S) * back_s + SLACK_CALLS
            for earlier, later in zip(during, after):
                assert later - earlier <= allowed
            assert (await fleet.platform.counters())["throttled"] == 0

    asyncio.run(run())


def test_roles_stay_and_orders_wait():
    """Engines would be ordered about by hosts that hold no lease.

    The platform goes down with a new version just in force; nobody holds a lease,
    so nothing is ordered until it is back.
    Cause: a steward that goes on without its lease.
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

            await wait_until(no_steward, "the lease to lapse")
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


def test_a_slow_platform():
    """Every request would wait for the platform's slow answers.

    The platform takes most of the call time-out to answer anything.
    Cause: a platform call on the path of ordinary requests.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            await fleet.platform.control(latency_s=0.35)
            before = (await fleet.platform.counters())["calls"]["h1"]
            await assert_served(hosts, 20, "with a slow platform")
            key = await hosts[0].mint_key()
            headers = {"Idempotency-Key": key}
            answer = await hosts[0].complete("a booking", 8, headers)
            assert answer.text == expected_text("a booking", 8)
            assert await fleet.count_runs("a booking", engines) == 1
            patch = {"deployments": {"letter-models": {"retry_ratio": 0.2}}}
            answer = await hosts[0].patch(1, patch, "patch-a")
            assert answer.status == 200, answer

            async def is_everywhere():
                return [(await h.status())["config_number"] for h in hosts] == [2, 2]

            await wait_until(is_everywhere, "the patch to be in force")
            after = (await fleet.platform.counters())["calls"]["h1"]
            assert after["PUT"] - before["PUT"] < 40

    asyncio.run(run())


def test_an_outage_between_a_booking_and_its_repeat():
    """A repeat during an outage would book a second crew.

    A booking is answered; the platform goes down; the caller repeats it through
    both hosts, with a minted key and with one of its own.
    Cause: the record of what ran is out of reach.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            keys = [await hosts[0].mint_key(), "booking-123"]
            for key in keys:
                headers = {"Idempotency-Key": key}
                answer = await hosts[0].complete(f"booking {key}", 8, headers)
                assert answer.status == 200
            await fleet.platform.control(outage=True)
            await wait_for_platform_state(hosts, False)
            for key in keys:
                prompt = f"booking {key}"
                headers = {"Idempotency-Key": key}
                for host in hosts:
                    answer = await host.complete(prompt, 8, headers)
                    if answer.status == 200:
                        assert answer.text == expected_text(prompt, 8)
                        continue
                    assert answer.status in {409, 503}, answer
                    assert answer.error["run"] == "unknown", answer
                assert await fleet.count_runs(prompt, engines) == 1

    asyncio.run(run())
