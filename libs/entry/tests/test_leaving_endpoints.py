"""Endpoints that say in their responses that they leave."""

import pytest
from host_harness import IDEMPOTENT_ROUTE, HostHarness, make_engines, run, two_hosts
from notice_harness import (
    LEAVING,
    LONG_PROMPT,
    NOT_RUN,
    PROMPT_ROUTE,
    NoticeEndpoint,
    ask_many,
    healthy,
    slow,
)

REQUESTS = 20


# Guards against requests to an endpoint that leaves while the store can't say so.
@pytest.mark.parametrize("store_fault", ["", "refuse"])
@pytest.mark.parametrize(
    ("status", "extra"),
    [
        ("200 OK", ()),
        ("404 Not Found", ()),
        ("500 Internal Server Error", ()),
        ("503 Service Unavailable", (NOT_RUN,)),
    ],
)
def test_endpoint_that_says_it_leaves_gets_no_more_requests(status, extra, store_fault):
    async def scenario():
        leaving = NoticeEndpoint(status, (LEAVING, *extra))
        async with HostHarness(leaving, slow()) as harness:
            harness.store.fault = store_fault
            while not harness.endpoints[0].requests:
                await harness.ask()
            told = len(harness.endpoints[0].requests)
            answers = await ask_many(harness, REQUESTS, "s")
            assert len(harness.endpoints[0].requests) == told
            assert [status for status, _, _ in answers] == [200] * REQUESTS

    run(scenario())


# Guards against prompts, and runs after them, at engines that have said they leave.
def test_engines_of_both_stages_that_say_they_leave_get_no_more_requests():
    async def scenario():
        leaving = [NoticeEndpoint(extra=(LEAVING,)) for _ in range(2)]
        scripts = (*leaving, slow(), slow())
        async with HostHarness(*scripts, routes=(PROMPT_ROUTE,)) as harness:
            stages = ("prefill", "decode", "prefill", "decode")
            await make_engines(harness, *stages, route=PROMPT_ROUTE)
            engines = harness.endpoints[:2]
            number = 0
            while not all(engine.requests for engine in engines):
                number += 1
                await harness.ask(
                    method="POST", request_id=f"r-{number}", **LONG_PROMPT
                )
            told = [len(engine.requests) for engine in engines]
            answers = await ask_many(
                harness, REQUESTS, "s", method="POST", **LONG_PROMPT
            )
            assert [len(engine.requests) for engine in engines] == told
            assert [status for status, _, _ in answers] == [200] * REQUESTS

    run(scenario())


# Guards against callers that wait for an endpoint that leaves, the last one left.
def test_request_is_refused_at_once_when_the_only_endpoint_leaves():
    async def scenario():
        async with HostHarness(NoticeEndpoint(extra=(LEAVING,))) as harness:
            assert (await harness.ask())[0] == 200
            status, headers, _ = await harness.ask(request_id="r-2")
            assert status == 503
            assert 0.0 < float(headers["Retry-After"]) <= 5.0
            assert harness.arrivals() == 1

    run(scenario())


# Guards against other hosts, and paths through them, that go on to use the endpoint.
def test_other_hosts_are_told_of_an_endpoint_that_leaves():
    async def scenario():
        leaving = NoticeEndpoint(extra=(LEAVING,))
        async with two_hosts(leaving, healthy(), route=IDEMPOTENT_ROUTE) as system:
            while not system.endpoints[0].requests:
                await system.ask(0)
            states = system.hosts[1].context.endpoints.states

            async def told():
                while states["e-0"].is_usable:
                    await system.ask(0)

            await told()
            arrived = len(system.endpoints[0].requests)
            for _ in range(REQUESTS):
                assert (await system.ask(1))[0] == 200
            assert len(system.endpoints[0].requests) == arrived

    run(scenario())
