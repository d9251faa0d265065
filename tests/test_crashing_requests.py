"""A request that crashes engines is refused everywhere; its neighbours are served."""

import asyncio

import pytest
from testkit import Fleet, wait_until

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes

BAD = "a bundle with a MARK in it"


def test_a_request_that_crashes_each_engine():
    """One bad letter would take the whole fleet down, engine by engine.

    The request crashes the engine that runs it; its caller sends it again and again
    through every host.
    Cause: each retry brings it to the next healthy engine.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=3, engines=5)
            for engine in engines:
                await engine.control(crash_on="MARK", slow_factor=5)
            prompts = [f"an innocent letter {number}" for number in range(15)]
            neighbours = [
                asyncio.create_task(hosts[number % 3].complete(prompt, 60))
                for number, prompt in enumerate(prompts)
            ]
            for number in range(12):
                answer = await hosts[number % 3].complete(BAD, 8)
                assert answer.status != 200
            lost = [engine for engine in engines if engine.exit_code() is not None]
            assert 1 <= len(lost) <= 2
            for prompt, task in zip(prompts, neighbours):
                answer = await task
                assert answer.text == expected_text(prompt, 60), answer

            async def convicted_everywhere():
                for host in hosts:
                    answer = await host.complete(BAD, 8)
                    if answer.error.get("code") != "crashing_request":
                        return False
                return True

            await wait_until(convicted_everywhere, "a conviction on every host")
            for host in hosts:
                answer = await host.complete(BAD, 8)
                assert answer.status == 422
                assert len((await host.status())["convictions"]) == 1
            assert len([e for e in engines if e.exit_code() is not None]) == len(lost)

    asyncio.run(run())


def test_engines_that_die_on_their_own_convict_no_innocent_request():
    """A tenant's letter would never be answered again because of a power cut.

    Two engines are withdrawn without notice, one after the other, under load.
    Cause: whatever ran on a lost engine is taken for guilty.
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
                    answer = await hosts[0].complete(prompt, 60)
                    return answer.status == 200

                await wait_until(is_answered, f"an answer to {prompt}")

    asyncio.run(run())


def test_a_given_up_request_is_answered_at_once_with_when_to_come_back():
    """A caller would wait out its whole deadline for a refusal.

    A slow engine gets far more work than it can do by the deadlines; one short
    request before the others takes it some seconds.
    Cause: a queue that keeps what it can't serve.
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
            # The first answer of all is a refusal, before even the short work ends.
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
