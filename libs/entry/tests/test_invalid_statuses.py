"""Responses whose status the protocol doesn't have."""

import asyncio

import pytest
from host_harness import AT_MOST_ONCE_ROUTE, STREAM_ROUTE, HostHarness, run
from scripted_endpoint import encode_response, request_id_of

STATUSES = ("000", "001", "099", "600", "999", "20", "2000", "abc")


# Guards against a status outside of the protocol that is passed on or waited for.
@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("route", [AT_MOST_ONCE_ROUTE, STREAM_ROUTE])
def test_status_that_does_not_exist_is_no_answer(route, status):
    async def script(number, head, body, writer):
        writer.write(encode_response(request_id_of(head), b"x", f"{status} OK"))

    async def scenario():
        async with HostHarness(script, routes=(route,)) as harness:
            async with asyncio.timeout(1.0):
                found, _, _ = await harness.ask(method="POST")
            assert found == 502

    run(scenario())
