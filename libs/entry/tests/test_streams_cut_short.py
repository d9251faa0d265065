"""Streams of endpoints that break off, and what their callers see."""

import asyncio

import aiohttp
import pytest
from host_harness import RESUMABLE_ROUTE, STREAM_ROUTE, HostHarness, run
from proxies import reset_connection
from scripted_endpoint import encode_chunk, encode_response, request_id_of

STREAM_TYPE = ("Content-Type: text/event-stream",)
WITHOUT_LENGTH, CHUNKED = "Connection: close", "Transfer-Encoding: chunked"
FIRST, SECOND = b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n"


def stream_once(*pieces, framing=WITHOUT_LENGTH, resets=False):
    """Return a script that sends some pieces of a stream, then ends the connection.

    With chunks, the last chunk says that the response is complete.
    """

    async def script(number, head, body, writer):
        request_id = request_id_of(head)
        writer.write(encode_response(request_id, b"", "200 OK", STREAM_TYPE, framing))
        for piece in pieces:
            writer.write(piece if framing == WITHOUT_LENGTH else encode_chunk(piece))
            await writer.drain()
            await asyncio.sleep(0.02)
        if framing == CHUNKED:
            writer.write(b"0\r\n\r\n")
            return
        if resets:
            reset_connection(writer)
            return
        writer.close()

    return script


async def ask_stream(script, route=STREAM_ROUTE):
    """Ask one host for a stream from one endpoint; return status and body."""
    async with HostHarness(script, routes=(route,)) as harness:
        status, _, body = await harness.ask(method="POST")
        return status, body


# Guards against a stream without length that breaks off within an event by a regular
# end of its connection, and is passed on as complete without that event.
@pytest.mark.parametrize("rest", [b"id: 2\nda", b"i", b"id: 2\ndata: b\n", b": pa"])
@pytest.mark.parametrize("framing", [WITHOUT_LENGTH, CHUNKED])
def test_stream_that_ends_within_an_event_is_not_passed_on_as_complete(framing, rest):
    async def scenario():
        with pytest.raises(aiohttp.ClientPayloadError):
            await ask_stream(stream_once(FIRST, rest, framing=framing))

    run(scenario())


# Guards against the same before the first event, where the caller got an empty success.
@pytest.mark.parametrize("pieces", [(), (b"id: 1\nda",)])
def test_stream_that_ends_before_its_first_event_is_an_error(pieces):
    async def scenario():
        status, _ = await ask_stream(stream_once(*pieces))
        assert status == 502

    run(scenario())


# Guards against a resumable stream that ends within an event and isn't resumed.
def test_stream_that_ends_within_an_event_is_resumed_where_allowed():
    async def scenario():
        heads = []

        async def script(number, head, body, writer):
            heads.append(head)
            if len(heads) == 1:
                await stream_once(FIRST, b"id: 2\nda")(number, head, body, writer)
            else:
                await stream_once(SECOND, framing=CHUNKED)(number, head, body, writer)

        async with HostHarness(script, script, routes=(RESUMABLE_ROUTE,)) as harness:
            harness.host.context.started_s -= 100.0
            status, _, body = await harness.ask(method="POST")
        assert (status, body) == (200, FIRST + SECOND)
        assert b"Last-Event-Id: 1" in heads[1]

    run(scenario())


@pytest.mark.parametrize("pieces", [(FIRST,), (FIRST, b"id: 2\nda")])
def test_stream_that_is_reset_is_not_passed_on_as_complete(pieces):
    async def scenario():
        with pytest.raises(aiohttp.ClientPayloadError):
            await ask_stream(stream_once(*pieces, resets=True))

    run(scenario())


def test_stream_without_length_that_ends_after_an_event_is_complete():
    async def scenario():
        assert await ask_stream(stream_once(FIRST, SECOND)) == (200, FIRST + SECOND)

    run(scenario())


# Guards against events with other line ends, which were held back until the end of the
# stream and dropped there.
@pytest.mark.parametrize("line_end", [b"\r\n", b"\r"])
@pytest.mark.parametrize("framing", [WITHOUT_LENGTH, CHUNKED])
def test_stream_with_other_line_ends_is_passed_on_whole(framing, line_end):
    async def scenario():
        events = [event.replace(b"\n", line_end) for event in (FIRST, SECOND)]
        body = b"".join(events)
        # Two bytes at a time, so that line ends are split between reads.
        pieces = [body[at : at + 2] for at in range(0, len(body), 2)]
        assert await ask_stream(stream_once(*pieces, framing=framing)) == (200, body)

    run(scenario())


async def ask_over_http_1_0(address):
    """Ask a host over HTTP/1.0; return all bytes up to a regular end.

    Raises
    ------
    ConnectionResetError
        When the connection is reset.
    """
    reader, writer = await asyncio.open_connection(*address.split(":"))
    writer.write(
        b"POST /0/x HTTP/1.0\r\nHost: shop.example\r\nX-Gypsumusher-Request-Id: r-1\r\n"
        b"X-Gypsumusher-Deadline-Ms: 1500\r\nContent-Length: 0\r\n\r\n"
    )
    try:
        return await reader.read()
    finally:
        writer.close()


# Guards against chunks, which callers over HTTP/1.0 take for a part of the body.
def test_caller_over_http_1_0_gets_a_stream_without_chunks():
    async def scenario():
        script = stream_once(FIRST, SECOND, framing=CHUNKED)
        async with HostHarness(script, routes=(STREAM_ROUTE,)) as harness:
            received = await ask_over_http_1_0(harness.addresses["callers"])
        assert received.partition(b"\r\n\r\n")[2] == FIRST + SECOND

    run(scenario())


# Guards against a broken stream that looks complete to a caller over HTTP/1.0, where
# the end of the connection is the end of the response.
def test_broken_stream_is_reset_for_a_caller_over_http_1_0():
    async def scenario():
        script = stream_once(FIRST, b"id: 2\nda")
        async with HostHarness(script, routes=(STREAM_ROUTE,)) as harness:
            with pytest.raises(ConnectionResetError):
                await ask_over_http_1_0(harness.addresses["callers"])

    run(scenario())
