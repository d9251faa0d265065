"""Hosts outside a deployment's cell serve its callers too."""

import asyncio

import pytest
from testkit import Fleet

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes
PROMPT = "a contract bundle of many pages"


def test_host_outside_the_cell_serves_callers():
    """Guards against refusing callers that use an outdated address.

    The deployment's cell is one host of three. The caller sends idempotent and keyed
    requests to each host. A host reads engine load reports only for its own cells.
    """

    async def main():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(
                hosts=3, engines=2, deployment={"cell_hosts": 1}
            )
            response = await hosts[0].call(
                "GET", "/v1/entry?deployment=letter-models&zone=suwon-a"
            )
            assert len(response.json["hosts"]) == 1
            for host in hosts:
                response = await host.complete(PROMPT, 8, stream=True)
                assert response.text == expected_text(PROMPT, 8)
                key = await host.mint_key()
                prompt = f"{PROMPT} {host.name}"
                response = await host.complete(prompt, 8, {"Idempotency-Key": key})
                assert response.text == expected_text(prompt, 8)
                assert await fleet.count_runs(prompt, engines) == 1

    asyncio.run(main())
