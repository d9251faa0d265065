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

from gypsumusher_entry.sending_to_endpoints import call_engine
from gypsumusher_http import CallError
from gypsumusher_platform import encode_report_request

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


# Guards against requests that are sent late to an endpoint that was chosen before it
# said that it leaves.
def test_request_that_waits_for_a_connection_leaves_an_endpoint_that_leaves():
    async def scenario():
        async with HostHarness(healthy()) as harness:
            context = harness.host.context
            state = context.endpoints.states["e-0"]
            pool = context.connection_pool
            connect = pool.connect

            async def connect_late(*args, **kwargs):
                connection = await connect(*args, **kwargs)
                context.endpoints.on_draining(
                    state.record.incarnation, state.record.address
                )
                return connection

            pool.connect = connect_late
            status, _, _ = await harness.ask()
            assert (status, harness.arrivals()) == (503, 0)

    run(scenario())


# Guards against what engines say in responses to calls that aren't callers' requests.
def test_engine_that_says_it_leaves_in_its_report_gets_no_more_requests():
    async def scenario():
        async with HostHarness(NoticeEndpoint(extra=(LEAVING,))) as harness:
            context = harness.host.context
            record = context.endpoints.states["e-0"].record
            await call_engine(context, record, encode_report_request(record.address), 1)
            assert (await harness.ask())[0] == 503
            assert harness.arrivals() == 1

    run(scenario())


# Guards against what another process at the same address says of itself.
def test_wrong_endpoint_that_leaves_says_nothing_of_the_right_one():
    async def scenario():
        other = NoticeEndpoint("421 Misdirected Request", (LEAVING,))
        async with HostHarness(other) as harness:
            await harness.ask()
            state = harness.host.context.endpoints.states["e-0"]
            assert state.is_address_taken and not state.record.is_draining

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
            tunnel = system.hosts[1].context.settings.peers_address
            pool = system.hosts[0].context.connection_pool
            address = states["e-0"].record.address
            with pytest.raises(CallError):
                await pool.connect(("e-0", 0, address), address, ("host-1", tunnel))

    run(scenario())
