"""Whole calls against servers that fail, stall and send too much."""

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


def answer(body, length=None):
    size = len(body) if length is None else length
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (size, body)


async def call(script, calls=1, **options):
    """Make calls one after the other; return the last answer and the server."""
    server = ScriptedEndpoint(script)
    address = await server.start()
    client = HttpClient(asyncio.get_running_loop().time)
    try:
        for _ in range(calls):
            found = await client.call("GET", address, "/x", LIMITS, **options)
        return found, server
    finally:
        client.close()
        await server.close()


def test_a_body_in_pieces_is_read_whole():
    """The first piece of a long answer was taken for all of it."""

    async def script(number, head, body, writer):
        writer.write(answer(b"one ", length=11))
        await asyncio.sleep(0.05)
        writer.write(b"and two")

    found, _ = run(call(script))
    assert found == (200, b"one and two")


def test_a_query_and_a_body_arrive_as_given():
    seen = []

    async def script(number, head, body, writer):
        seen.append((head, body))
        writer.write(answer(b""))

    run(call(script, query={"after": "a b&c"}, body=b"{}"))
    ((head, body),) = seen
    assert "GET /x?after=a+b%26c HTTP/1.1" in str(head)
    assert body == b"{}"


def test_calls_use_one_connection_after_the_other():
    async def script(number, head, body, writer):
        writer.write(answer(b"ok"))

    _, server = run(call(script, calls=3))
    assert server.connections == 1


def test_an_answer_that_stalls_is_given_up_and_not_asked_for_again():
    """A write that is sent a second time by itself may undo one made in between."""
    arrived = []

    async def script(number, head, body, writer):
        arrived.append(number)
        writer.write(answer(b"half", length=8))
        await asyncio.sleep(5.0)

    with pytest.raises(TimeoutError):
        run(call(script))
    assert len(arrived) == 1


def test_a_connection_that_breaks_is_an_error_and_not_a_second_call():
    arrived = []

    async def script(number, head, body, writer):
        arrived.append(number)
        writer.transport.abort()

    with pytest.raises(CallError):
        run(call(script))
    assert len(arrived) == 1


def test_a_body_that_is_too_large_is_an_error():
    async def script(number, head, body, writer):
        writer.write(answer(b"x" * 2000))

    with pytest.raises(DecodeError):
        run(call(script))


def test_an_address_without_a_listener_is_an_error():
    async def scenario():
        client = HttpClient(asyncio.get_running_loop().time)
        await client.call("GET", "127.0.0.1:1", "/x", LIMITS)

    with pytest.raises(CallError):
        run(scenario())
