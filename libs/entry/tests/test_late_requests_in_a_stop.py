"""Requests that arrive during a planned stop, or outlast it."""

import asyncio
from typing import NamedTuple

import aiohttp
import pytest
from host_harness import (
    AT_MOST_ONCE_ROUTE,
    IDEMPOTENT_ROUTE,
    STREAM_ROUTE,
    HostHarness,
    make_engines,
    run,
    until,
)
from scripted_endpoint import encode_chunk, encode_response, request_id_of

LONG = {"timeout_ms": 30000}
DEADLINE = {"X-Gypsumusher-Deadline-Ms": "30000"}
# A stop whose requests end after 1.2 s.
STOP_S = 2.0


class Work(NamedTuple):
    """Script of an endpoint that works for some time, longer on one path."""

    usual_s: float

    async def __call__(self, number, head, body, writer):
        await asyncio.sleep(60.0 if b"/forever " in head else self.usual_s)
        writer.write(encode_response(request_id_of(head), b"data: a\n\n"))


async def begin_stop(harness, stop_s=STOP_S):
    """Begin a stop of the host, and return its task."""
    context = harness.host.context
    bounds = context.settings.bounds._replace(stop_s=stop_s)
    context.settings = context.settings._replace(bounds=bounds)
    stopping = asyncio.ensure_future(harness.host.stop())
    await until(lambda: context.is_draining)
    return stopping


def deadlines_ms(harness):
    """Return the time limits that the endpoint was told, in ms."""
    heads = [head.decode().lower() for head, _ in harness.endpoints[0].requests]
    name = "x-gypsumusher-deadline-ms: "
    return [int(head.split(name)[1].split("\r\n")[0]) for head in heads]


@pytest.mark.parametrize("route", [IDEMPOTENT_ROUTE, AT_MOST_ONCE_ROUTE])
@pytest.mark.parametrize("is_first", [True, False])
def test_request_that_outlasts_the_stop_gets_a_final_response(route, is_first):
    """Guards against connections that are closed at the end without a response."""

    async def scenario():
        async with HostHarness(Work(0.0), routes=({**route, **LONG},)) as harness:
            # The route is known to be quick, so that late requests are passed on.
            assert (await harness.ask(method="POST", **DEADLINE))[0] == 200
            stopping = None if is_first else await begin_stop(harness)
            arrivals = harness.arrivals()
            asking = asyncio.ensure_future(
                harness.ask("/0/forever", "POST", "r-2", **DEADLINE)
            )
            await until(lambda: harness.arrivals() > arrivals)
            stopping = stopping or await begin_stop(harness)
            status, headers, _ = await asking
            assert status == 504
            assert "Retry-After" not in headers
            assert headers["Connection"] == "close"
            await stopping
            if not is_first:
                assert deadlines_ms(harness)[-1] < STOP_S * 1000

    run(scenario())


def test_late_request_that_would_outlast_the_stop_is_refused():
    """Guards against requests that are passed on although they can't end in time."""

    async def scenario():
        routes = [{**AT_MOST_ONCE_ROUTE, **LONG}, {**IDEMPOTENT_ROUTE, **LONG}]
        async with HostHarness(Work(0.9), routes=routes) as harness:
            for path in ("/0/x", "/1/x"):
                assert (await harness.ask(path, "POST", **DEADLINE))[0] == 200
            arrivals = harness.arrivals()
            stopping = await begin_stop(harness)
            # Both have 1.2 s left and take 0.9 s.
            asking = asyncio.ensure_future(
                harness.ask("/1/x", "POST", "r-2", **DEADLINE)
            )
            status, headers, _ = await harness.ask("/0/x", "POST", "r-3", **DEADLINE)
            assert status == 503
            assert 0.0 < float(headers["Retry-After"]) < 0.2
            assert (await asking)[0] == 200
            assert harness.arrivals() == arrivals + 1
            lines = [f for event, f in harness.log_lines if event == "request_refused"]
            assert [(line["id"], line["reason"]) for line in lines] == [
                ("r-3", "stopping")
            ]
            await stopping

    run(scenario())


def test_rejected_request_is_not_sent_again_when_it_would_outlast_the_stop():
    """Guards against retries that are begun too late to end before the host does."""

    async def rejecting(number, head, body, writer):
        await asyncio.sleep(1.0)
        extra = ("X-Gypsumusher-Not-Run: 1",)
        status = "503 Service Unavailable"
        writer.write(encode_response(request_id_of(head), b"", status, extra))

    async def scenario():
        route = {**IDEMPOTENT_ROUTE, **LONG, "goal_ms": 1000}
        async with HostHarness(rejecting, rejecting, routes=(route,)) as harness:
            harness.host.context.policy = harness.host.context.policy._replace(
                hedges=False
            )
            stopping = await begin_stop(harness)
            status, headers, _ = await harness.ask(**DEADLINE)
            assert status == 503
            assert float(headers["Retry-After"]) < 0.2
            assert harness.arrivals() == 1
            await stopping

    run(scenario())


def test_stream_that_outlasts_the_stop_is_broken_off():
    """Guards against a stream that looks complete when the host ends."""

    async def script(number, head, body, writer):
        framing = "Transfer-Encoding: chunked"
        kind = ("Content-Type: text/event-stream",)
        writer.write(encode_response(request_id_of(head), b"", "200 OK", kind, framing))
        for count in range(1000):
            writer.write(encode_chunk(b"id: %d\ndata: a\n\n" % count))
            await asyncio.sleep(0.05)

    async def scenario():
        async with HostHarness(script, routes=({**STREAM_ROUTE, **LONG},)) as harness:
            headers = {"Host": "shop.example", **DEADLINE}
            async with harness.session.get("/0/x", headers=headers) as answer:
                stopping = await begin_stop(harness)
                assert answer.status == 200
                with pytest.raises(aiohttp.ClientError):
                    await answer.read()
            await stopping

    run(scenario())


def test_late_generation_is_refused_by_the_time_that_its_events_take():
    """Guards against a judgement by other generations of the same route."""

    async def scenario():
        route = {**STREAM_ROUTE, **LONG}
        async with HostHarness(Work(0.0), routes=(route,)) as harness:
            await make_engines(harness, "decode", route=route)
            cost_model = harness.host.context.cost_model("svc")
            cost_model.tokens_per_event("r-0").restore(1.0)
            stopping = await begin_stop(harness)
            for request_id, tokens in (("long", "10,5000"), ("short", "10,1")):
                await harness.ask(
                    "/0/x",
                    "POST",
                    request_id,
                    **{"X-Gypsumusher-Token-Count": tokens, **DEADLINE},
                )
            outcomes = {
                fields["id"]: fields["outcome"]
                for event, fields in harness.log_lines
                if event == "request_ended"
            }
            assert outcomes["long"] == "503:stopping"
            assert outcomes["short"].startswith("200:")
            assert harness.arrivals() == 1
            await stopping

    run(scenario())
