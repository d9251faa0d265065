"""Endpoints that answer 503 with Retry-After, and want no requests until then."""

import asyncio

import pytest
from host_harness import (
    AT_MOST_ONCE_ROUTE,
    IDEMPOTENT_ROUTE,
    HostHarness,
    make_engines,
    run,
    two_hosts,
    until,
)
from notice_harness import (
    LONG_PROMPT,
    NOT_RUN,
    PROMPT_ROUTE,
    NoticeEndpoint,
    ask_many,
    healthy,
    slow,
)
from test_endpoint_paths import cut_links

from gypsumusher_entry.prefill import PrefilledPrompt
from gypsumusher_entry.sending_to_endpoints import call_engine
from gypsumusher_entry.stage_orders import StageOrders
from gypsumusher_http import CallError
from gypsumusher_platform import decode_response_head, encode_report_request
from gypsumusher_ports import PrefillResult

UNAVAILABLE = "503 Service Unavailable"
REQUESTS = 20
# What is under way when an endpoint answers is allowed to arrive.
GRACE_S = 0.5
# Requests that may reach an endpoint in the rest of its time.
ALLOWED = 2


def unavailable(retry_after, *extra):
    """Return the script of an endpoint that turns all requests away."""
    return NoticeEndpoint(UNAVAILABLE, (f"Retry-After: {retry_after}", *extra))


async def tell(harness, numbers, method="GET", **headers):
    """Ask until the endpoints with these numbers have turned a request away."""
    count = 0
    while not all(harness.endpoints[number].requests for number in numbers):
        count += 1
        await harness.ask(method=method, request_id=f"r-{count}", **headers)
    await asyncio.sleep(GRACE_S)
    return [len(harness.endpoints[number].requests) for number in numbers]


# Guards against requests to an endpoint that has asked for none for some seconds.
@pytest.mark.parametrize("route", [IDEMPOTENT_ROUTE, AT_MOST_ONCE_ROUTE])
@pytest.mark.parametrize("extra", [(), (NOT_RUN,)])
def test_endpoint_gets_no_requests_until_its_retry_after_has_passed(route, extra):
    async def scenario():
        scripts = (unavailable(2, *extra), slow())
        async with HostHarness(*scripts, routes=(route,)) as harness:
            (told,) = await tell(harness, [0], "POST")
            answers = await ask_many(harness, REQUESTS, "s", method="POST")
            assert len(harness.endpoints[0].requests) - told <= ALLOWED
            assert [status for status, _, _ in answers] == [200] * REQUESTS

    run(scenario())


# Guards against prompts, and runs after them, at engines that have asked for none.
def test_engines_of_both_stages_get_no_requests_until_then():
    async def scenario():
        away = [unavailable(3, NOT_RUN) for _ in range(2)]
        scripts = (*away, slow(), slow())
        async with HostHarness(*scripts, routes=(PROMPT_ROUTE,)) as harness:
            stages = ("prefill", "decode", "prefill", "decode")
            await make_engines(harness, *stages, route=PROMPT_ROUTE)
            told = await tell(harness, [0, 1], "POST", **LONG_PROMPT)
            answers = await ask_many(
                harness, REQUESTS, "s", method="POST", **LONG_PROMPT
            )
            for number in range(2):
                arrived = len(harness.endpoints[number].requests)
                assert arrived - told[number] <= ALLOWED
            assert [status for status, _, _ in answers] == [200] * REQUESTS

    run(scenario())


# Guards against a short Retry-After, of a request sent before, that ends a longer one.
def test_shorter_retry_after_does_not_end_a_longer_one():
    async def scenario():
        script = unavailable(3, NOT_RUN)
        async with HostHarness(script, slow()) as harness:
            context = harness.host.context
            record = context.endpoints.states["e-0"].record
            late = await context.acquire(record, 10)
            (told,) = await tell(harness, [0])
            script.extra = ("Retry-After: 0.1", NOT_RUN)
            response = late.send(b"GET /0/x HTTP/1.1\r\nHost: h\r\n\r\n", None)
            await response.head()
            response.close()
            await asyncio.sleep(0.3)
            await ask_many(harness, REQUESTS, "s")
            assert len(harness.endpoints[0].requests) == told + 1

    run(scenario())


# Guards against orders, reports and freed handles at an engine that wants nothing.
def test_calls_to_an_engine_wait_until_its_retry_after_has_passed():
    async def scenario():
        script = unavailable(1, NOT_RUN)
        async with HostHarness(script) as harness:
            context = harness.host.context
            state = context.endpoints.states["e-0"]
            await tell(harness, [0])
            with pytest.raises(CallError, match="paused"):
                call = encode_report_request(state.record.address)
                await call_engine(context, state.record, call, 1.0)
            script.status, script.extra = "200 OK", ()
            prompt = PrefilledPrompt(state, PrefillResult("h", 1))
            await prompt.free(context)
            assert context.endpoint_notices.pause_left_s(state.record) == 0.0
            heads = [head for head, _ in harness.endpoints[0].requests]
            assert [b"DELETE" in head for head in heads] == [False, True]

    run(scenario())


# Guards against requests that are sent late to an endpoint that was chosen before it
# asked for none.
def test_request_that_waits_for_a_connection_is_not_sent_during_a_pause():
    async def scenario():
        async with HostHarness(healthy()) as harness:
            context = harness.host.context
            pool = context.connection_pool
            connect = pool.connect

            async def connect_late(*args, **kwargs):
                connection = await connect(*args, **kwargs)
                head = decode_response_head(503, [("Retry-After", "3")])
                context.endpoint_notices.on_head(connection, head)
                return connection

            pool.connect = connect_late
            status, headers, _ = await harness.ask()
            assert (status, harness.arrivals()) == (503, 0)
            assert float(headers["Retry-After"]) > 2.0

    run(scenario())


# Guards against a stage order that waits for an engine that wants nothing, while other
# engines could carry it out.
def test_engine_gets_no_stage_order_during_its_pause():
    async def scenario():
        async with HostHarness(unavailable(3, NOT_RUN), routes=(PROMPT_ROUTE,)) as h:
            await make_engines(h, "decode", route=PROMPT_ROUTE)
            orders = StageOrders(h.host.context, None)
            (before,) = orders._views("svc")
            await tell(h, [0], "POST", **LONG_PROMPT)
            (after,) = orders._views("svc")
            assert (before.is_switching, after.is_switching) == (False, True)
            # It is back soon, so that no other engine has to take its stage.
            assert after.is_healthy

    run(scenario())


# Guards against endpoints that stay without requests after their Retry-After, and
# against all requests at once at one that has accepted none yet.
def test_endpoint_gets_one_request_and_then_all_after_its_retry_after():
    async def scenario():
        script = unavailable(0.6, NOT_RUN)
        routes = (AT_MOST_ONCE_ROUTE,)
        async with HostHarness(script, slow(), routes=routes) as harness:
            (told,) = await tell(harness, [0], "POST")
            script.status, script.extra, script.work_s = "200 OK", (), 0.5
            record = harness.host.context.endpoints.states["e-0"].record
            notices = harness.host.context.endpoint_notices
            await until(lambda: not notices.pause_left_s(record))
            await ask_many(harness, 10, "s", method="POST")
            assert len(harness.endpoints[0].requests) == told + 1
            script.work_s = 0.0
            await asyncio.sleep(0.3)
            # Its rejection still counts against it, so that both get about half.
            await ask_many(harness, 10, "t", method="POST")
            assert len(harness.endpoints[0].requests) >= told + 4

    run(scenario())


# Guards against a host that keeps from an endpoint what it has told another host.
def test_retry_after_concerns_the_host_that_was_told():
    async def scenario():
        script = unavailable(3, NOT_RUN)
        async with two_hosts(script, slow()) as system:
            while not system.endpoints[0].requests:
                await system.ask(0)
            notices = [host.context.endpoint_notices for host in system.hosts]
            record = system.hosts[0].context.endpoints.states["e-0"].record
            assert notices[0].pause_left_s(record) > 0.0
            assert notices[1].pause_left_s(record) == 0.0

    run(scenario())


# Guards against requests that reach a paused endpoint from another host in between: the
# one that sends is told for both, and either may be told first.
@pytest.mark.parametrize("told_through_relay", [True, False])
def test_endpoint_gets_nothing_through_a_host_that_it_wants_none_from(
    told_through_relay,
):
    async def scenario():
        script = healthy()
        async with two_hosts(script, route=AT_MOST_ONCE_ROUTE) as system:
            cut_links(system.hosts[0])
            assert (await system.ask(0, method="POST"))[0] == 200
            assert system.hosts[1]._tunnel_relay.has_tunnel_to(system.address(0))
            script.status, script.extra = UNAVAILABLE, ("Retry-After: 3", NOT_RUN)
            teller = 0 if told_through_relay else 1
            assert (await system.ask(teller, method="POST"))[0] == 503
            notices = system.hosts[teller ^ 1].context.endpoint_notices
            record = system.hosts[0].context.endpoints.states["e-0"].record
            relay = None if told_through_relay else "host-1"
            await until(lambda: notices.pause_left_s(record, relay) > 2.0)
            arrived = len(system.endpoints[0].requests)
            for number in (0, 1, 0, 1):
                assert (await system.ask(number, method="POST"))[0] == 503
            assert len(system.endpoints[0].requests) == arrived

    run(scenario())


# Guards against prompts that are prefilled although no engine may decode them.
def test_prompt_is_not_prefilled_while_no_engine_that_decodes_wants_requests():
    async def scenario():
        scripts = (healthy(), unavailable(3, NOT_RUN))
        async with HostHarness(*scripts, routes=(PROMPT_ROUTE,)) as harness:
            await make_engines(harness, "prefill", "decode", route=PROMPT_ROUTE)
            await tell(harness, [1], "POST", **LONG_PROMPT)
            arrived = harness.arrivals()
            answers = await ask_many(harness, 5, "s", method="POST", **LONG_PROMPT)
            assert harness.arrivals() == arrived
            assert {status for status, _, _ in answers} == {503}
            assert all(float(headers["Retry-After"]) > 1 for _, headers, _ in answers)

    run(scenario())


# Guards against an endpoint out of use for a Retry-After that no endpoint can mean.
def test_unreadable_retry_after_counts_as_none():
    async def scenario():
        async with HostHarness(unavailable("-3", NOT_RUN)) as harness:
            await harness.ask()
            notices = harness.host.context.endpoint_notices
            record = harness.host.context.endpoints.states["e-0"].record
            assert notices.pause_left_s(record) == 0.0
            events = [event for event, _ in harness.log_lines]
            assert "retry_after_unreadable" in events
            page = harness.host.context.metrics.render()[0].decode()
            counter = "gypsumusher_endpoint_notices_total"
            assert f'{counter}{{event="retry_after_unreadable"}} 1' in page

    run(scenario())


# Guards against callers that are told to come back while no endpoint wants them yet.
def test_callers_are_told_when_the_first_endpoint_wants_requests_again():
    async def scenario():
        scripts = (unavailable(3, NOT_RUN), unavailable(4, NOT_RUN))
        async with HostHarness(*scripts) as harness:
            told = await tell(harness, [0, 1])
            began_s = asyncio.get_running_loop().time()
            answers = await asyncio.gather(
                *(harness.ask(request_id=f"s-{number}") for number in range(REQUESTS))
            )
            assert asyncio.get_running_loop().time() - began_s < 0.5
            for number in range(2):
                assert len(harness.endpoints[number].requests) == told[number]
            waits_s = {float(headers["Retry-After"]) for _, headers, _ in answers}
            assert [status for status, _, _ in answers] == [503] * REQUESTS
            assert 1.5 <= min(waits_s) and max(waits_s) <= 5.0
            # Callers that are refused together don't all come back together.
            assert len(waits_s) > REQUESTS / 2

    run(scenario())
