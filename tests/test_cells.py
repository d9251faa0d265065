"""Hosts outside a deployment's cell serve its callers all the same."""

import asyncio

import pytest
from testkit import Fleet

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes
PROMPT = "a contract bundle of many pages"


def test_a_caller_at_a_host_outside_the_cell_is_served():
    """A caller that keeps an old address would be turned away.

    The deployment's cell is one host of three; the caller comes to each of them,
    with work that may be repeated and with work that may run once.
    Cause: a host reads the engines' reports of its own cells only.
    """

    async def main():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(
                hosts=3, engines=2, deployment={"cell_hosts": 1}
            )
            answer = await hosts[0].call(
                "GET", "/v1/entry?deployment=letter-models&zone=suwon-a"
            )
            assert len(answer.json["hosts"]) == 1
            for host in hosts:
                answer = await host.complete(PROMPT, 8, stream=True)
                assert answer.text == expected_text(PROMPT, 8)
                key = await host.mint_key()
                prompt = f"{PROMPT} {host.name}"
                answer = await host.complete(prompt, 8, {"Idempotency-Key": key})
                assert answer.text == expected_text(prompt, 8)
                assert await fleet.count_runs(prompt, engines) == 1

    asyncio.run(main())
