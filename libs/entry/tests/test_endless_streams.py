"""Streams and errors without end fail, and are counted while they are kept."""

import asyncio

import aiohttp
import pytest
from host_harness import RESUMABLE_ROUTE, STREAM_ROUTE, HostHarness, run, until
from scripted_endpoint import encode_chunk, encode_response, request_id_of

from gypsumusher_entry.sending_to_endpoints import SMALL_BODY_MAX_BYTES, call_engine
from gypsumusher_http import CallError

STREAM_TYPE = ("Content-Type: text/event-stream",)
CHUNKED = "Transfer-Encoding: chunked"
FIRST, SECOND = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"
PIECE = b"x" * 65536
SENT_MAX_BYTES = 16 * 1024 * 1024


def endless(opening=b"", status="200 OK", sent_bytes=SENT_MAX_BYTES):
    """Return a script that sends a body without end, and the count of its bytes."""
    count = [0]

    async def script(number, head, body, writer):
        request_id = request_id_of(head)
        writer.write(encode_response(request_id, b"", status, STREAM_TYPE, CHUNKED))
        writer.write(opening and encode_chunk(opening))
        while count[0] < sent_bytes:
            writer.write(encode_chunk(PIECE))
            await writer.drain()
            count[0] += len(PIECE)
        await asyncio.Event().wait()

    return script, count


async def finish(number, head, body, writer):
    """Send the second event and the end of a stream."""
    request_id = request_id_of(head)
    writer.write(encode_response(request_id, b"", "200 OK", STREAM_TYPE, CHUNKED))
    writer.write(encode_chunk(SECOND) + b"0\r\n\r\n")


# Guards against an event without end that ends a resumable stream, which another
# endpoint could finish.
def test_stream_with_an_endless_event_is_resumed_where_allowed():
    async def scenario():
        heads = []

        async def script(number, head, body, writer):
            heads.append(head)
            respond = endless(FIRST + b"data: ")[0] if len(heads) == 1 else finish
            await respond(number, head, body, writer)

        async with HostHarness(script, script, routes=(RESUMABLE_ROUTE,)) as harness:
            harness.host.context.started_s -= 100.0
            status, _, body = await harness.ask(method="POST")
            failed = [f for name, f in harness.log_lines if name == "send_failed"]
        assert (status, body) == (200, FIRST + SECOND)
        assert b"Last-Event-Id: 1" in heads[1]
        assert [fields["reason"] for fields in failed] == ["garbled"]

    run(scenario())


def test_stream_with_an_endless_event_is_not_passed_on_as_complete():
    async def scenario():
        script, _ = endless(FIRST + b"data: ")
        async with HostHarness(script, routes=(STREAM_ROUTE,)) as harness:
            with pytest.raises(aiohttp.ClientPayloadError):
                await harness.ask(method="POST")
            events = [name for name, _ in harness.log_lines]
            assert "handler_failed" not in events

    run(scenario())


# Guards against incomplete events that nothing counts.
def test_incomplete_event_counts_as_memory_of_its_caller():
    async def scenario():
        sent_bytes = 8 * len(PIECE)
        script, count = endless(FIRST + b"data: ", sent_bytes=sent_bytes)
        async with HostHarness(script, routes=(STREAM_ROUTE,)) as harness:
            caller = asyncio.ensure_future(harness.ask(method="POST"))
            await until(lambda: count[0] == sent_bytes)
            (connection,) = harness.host._listener.connections
            await until(lambda: connection.held_bytes() > sent_bytes)
            caller.cancel()

    run(scenario())


# Guards against an error response of some MB for each of many streams.
@pytest.mark.parametrize("status", ("400 Bad Request", "500 Internal Server Error"))
@pytest.mark.parametrize("is_endless", (False, True))
def test_error_of_a_stream_without_end_is_ended_early(status, is_endless):
    async def scenario():
        async def large(number, head, body, writer):
            error = b"x" * (4 * SMALL_BODY_MAX_BYTES)
            writer.write(encode_response(request_id_of(head), error, status))
            await writer.drain()

        script = endless(status=status)[0] if is_endless else large
        async with HostHarness(script, routes=(STREAM_ROUTE,)) as harness:
            received, _, _ = await harness.ask(method="POST")
            assert received == 502
            failed = [f for name, f in harness.log_lines if name == "send_failed"]
            assert [fields["reason"] for fields in failed] == ["garbled"]

    run(scenario())


# Guards against the same for calls to engines.
def test_endless_response_to_a_call_is_ended_early():
    async def scenario():
        async def script(number, head, body, writer):
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            while True:
                writer.write(encode_chunk(PIECE))
                await writer.drain()

        async with HostHarness(script) as harness:
            context = harness.host.context
            record = context.endpoints.states["e-0"].record
            call = b"GET /v1/x HTTP/1.1\r\nHost: h\r\n\r\n"
            with pytest.raises(CallError) as caught:
                await call_engine(context, record, call, 5.0, SMALL_BODY_MAX_BYTES)
            assert caught.value.reason == "garbled"

    run(scenario())
