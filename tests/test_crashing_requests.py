"""Requests that crash engines are refused; other requests are served."""

import asyncio

import pytest
from testkit import Fleet, wait_until

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes

CRASHING_PROMPT = "a bundle with a MARK in it"


def test_crashing_request_is_refused_on_every_host():
    """Guards against one request that crashes all engines in turn.

    The request crashes any engine that runs it, and its caller repeats it through
    every host. Each retry would take it to the next healthy engine.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=3, engines=5)
            for engine in engines:
                await engine.control(crash_on="MARK", slow_factor=5)
            prompts = [f"an innocent letter {number}" for number in range(15)]
            other_calls = [
                asyncio.create_task(hosts[number % 3].complete(prompt, 60))
                for number, prompt in enumerate(prompts)
            ]
            for number in range(12):
                response = await hosts[number % 3].complete(CRASHING_PROMPT, 8)
                assert response.status != 200
            crashed = [engine for engine in engines if engine.exit_code() is not None]
            assert 1 <= len(crashed) <= 2
            for prompt, task in zip(prompts, other_calls):
                response = await task
                assert response.text == expected_text(prompt, 60), response

            async def all_convicted():
                for host in hosts:
                    response = await host.complete(CRASHING_PROMPT, 8)
                    if response.error.get("code") != "crashing_request":
                        return False
                return True

            await wait_until(all_convicted, "a conviction on every host")
            for host in hosts:
                response = await host.complete(CRASHING_PROMPT, 8)
                assert response.status == 422
                assert len((await host.status())["convictions"]) == 1
            assert len([e for e in engines if e.exit_code() is not None]) == len(
                crashed
            )

    asyncio.run(run())


def test_engine_failures_convict_no_harmless_request():
    """Guards against refusing harmless requests after engine failures.

    Two engines are killed under load. If every request on a failed engine counted as
    the cause, harmless requests would be refused from then on.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=4)
            for engine in engines:
                await engine.control(slow_factor=5)
            prompts = [f"an innocent letter {number}" for number in range(16)]
            calls = [
                asyncio.create_task(hosts[number % 2].complete(prompt, 60))
                for number, prompt in enumerate(prompts)
            ]

            async def all_busy():
                counters = [await engine.counters() for engine in engines[:2]]
                return all(c["running"] for c in counters)

            await wait_until(all_busy, "work on the engines")
            engines[0].kill()
            engines[1].kill()
            await asyncio.gather(*calls)
            for prompt in prompts:

                async def is_answered(prompt=prompt):
                    response = await hosts[0].complete(prompt, 60)
                    return response.status == 200

                await wait_until(is_answered, f"a response to {prompt}")

    asyncio.run(run())


def test_overload_is_refused_immediately_with_retry_after():
    """Guards against refusals that are delayed until the deadline.

    A slow engine gets far more requests than it can finish by their deadlines, after
    one short request that takes some seconds. A queue that keeps requests it cannot
    serve in time would refuse them only at their deadline.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=0)
            await fleet.start_engine("e1", speed=0.1)
            await fleet.wait_until_served(hosts, 1)
            short = asyncio.create_task(hosts[0].complete("a short letter", 20))
            calls = {
                asyncio.create_task(hosts[0].complete(f"a long letter {number}", 400))
                for number in range(120)
            }
            done, running = await asyncio.wait(
                {short, *calls}, return_when=asyncio.FIRST_COMPLETED
            )
            # The first response is a refusal, sent before the short request finishes.
            assert short not in done
            refusal = next(iter(done)).result()
            assert refusal.status == 429, refusal
            assert refusal.error["code"] == "overloaded"
            assert refusal.error["run"] == "no"
            assert refusal.error["retry_after_s"] > 0
            assert int(refusal.headers["Retry-After"]) >= 1
            for call in running:
                call.cancel()
            await asyncio.gather(*running, return_exceptions=True)

    asyncio.run(run())
