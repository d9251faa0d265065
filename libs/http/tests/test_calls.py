"""HttpClient against servers that fail, stall or send too much."""

import asyncio

import pytest
from scripted_endpoint import ScriptedEndpoint

from gypsumusher_http import CallError, CallLimits, HttpClient
from gypsumusher_ports import DecodeError

LIMITS = CallLimits(
    head_timeout_s=0.3, read_timeout_s=0.2, body_timeout_s=1.0, max_body_bytes=1000
)


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 20))


def encode_response(body, length=None):
    size = len(body) if length is None else length
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (size, body)


async def call(script, calls=1, **options):
    """Make calls one after the other; return the last response and the server."""
    server = ScriptedEndpoint(script)
    address = await server.start()
    client = HttpClient(asyncio.get_running_loop().time)
    try:
        for _ in range(calls):
            result = await client.call("GET", address, "/x", LIMITS, **options)
        return result, server
    finally:
        client.close()
        await server.close()


def test_body_that_arrives_in_chunks_is_read_whole():
    """Guards against taking the first chunk of a long body for the whole body."""

    async def script(number, head, body, writer):
        writer.write(encode_response(b"one ", length=11))
        await asyncio.sleep(0.05)
        writer.write(b"and two")

    result, _ = run(call(script))
    assert result == (200, b"one and two")


def test_query_and_body_are_sent():
    received = []

    async def script(number, head, body, writer):
        received.append((head, body))
        writer.write(encode_response(b""))

    run(call(script, query={"after": "a b&c"}, body=b"{}"))
    ((head, body),) = received
    assert "GET /x?after=a+b%26c HTTP/1.1" in str(head)
    assert body == b"{}"


def test_successive_calls_reuse_the_connection():
    async def script(number, head, body, writer):
        writer.write(encode_response(b"ok"))

    _, server = run(call(script, calls=3))
    assert server.connections == 1


def test_stalled_response_times_out_without_a_second_call():
    """Guards against repeated writes, which could undo a write made in between."""
    arrived = []

    async def script(number, head, body, writer):
        arrived.append(number)
        writer.write(encode_response(b"half", length=8))
        await asyncio.sleep(5.0)

    with pytest.raises(TimeoutError):
        run(call(script))
    assert len(arrived) == 1


def test_broken_connection_raises_without_a_second_call():
    arrived = []

    async def script(number, head, body, writer):
        arrived.append(number)
        writer.transport.abort()

    with pytest.raises(CallError):
        run(call(script))
    assert len(arrived) == 1


def test_too_large_body_raises():
    async def script(number, head, body, writer):
        writer.write(encode_response(b"x" * 2000))

    with pytest.raises(DecodeError):
        run(call(script))


def test_address_without_listener_raises():
    async def scenario():
        client = HttpClient(asyncio.get_running_loop().time)
        await client.call("GET", "127.0.0.1:1", "/x", LIMITS)

    with pytest.raises(CallError):
        run(scenario())
