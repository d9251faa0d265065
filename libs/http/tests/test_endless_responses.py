"""Bytes without end are no response: they end the connection soon, and stay few."""

import asyncio
import contextlib
import gc
import tracemalloc

import pytest
from scripted_endpoint import ScriptedEndpoint, encode_response

from gypsumusher_http import (
    RESPONSE_MAX_BYTES,
    CallError,
    CallLimits,
    ConnectionBudget,
    ConnectionPool,
    HttpClient,
)
from gypsumusher_http.errors import TunnelRefusedError
from gypsumusher_http.tunnels import open_tunnel
from gypsumusher_platform import decode_response_head
from gypsumusher_ports import DecodeError

# Far below the deadline of a request, and the share of a host's memory that one
# response may take.
ENDED_WITHIN_S, MEMORY_MAX_BYTES = 2.0, 40 * 1024 * 1024
# What four failed responses may leave.
KEPT_MAX_BYTES = 1024 * 1024
# What an endpoint sends at most, as fast as it is read.
SENT_MAX_BYTES = 200 * 1024 * 1024
HEAD = b"HTTP/1.1 200 OK\r\nX-Gypsumusher-Request-Id: r\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
# What comes first, and then again and again.
ENDLESS = {
    "value of a header": (HEAD + b"X: ", b"x" * 65536),
    "headers": (HEAD, b"X-Name: value\r\n" * 4096),
    "reason of the status line": (b"HTTP/1.1 200 ", b"x" * 65536),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2048),
    "size of a chunk": (CHUNKED, b"0" * 65536),
    "extension of a chunk": (CHUNKED + b"1;", b"x" * 65536),
    "trailers": (CHUNKED + b"1\r\nx\r\n0\r\n", b"X-Name: value\r\n" * 4096),
    "body without length": (HEAD + b"\r\n", b"x" * 65536),
    "body in chunks": (CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n"),
    "body of another request": (
        b"HTTP/1.1 200 OK\r\nX-Gypsumusher-Request-Id: other\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n",
        b"10000\r\n" + b"x" * 65536 + b"\r\n",
    ),
    "bytes that are no response": (b"", b"\x00\xff" * 32768),
    "bytes after a response": (encode_response("r"), b"x" * 65536),
}


def sends(first, again):
    """Return the script of an endpoint that sends some bytes without end."""

    async def respond(number, head, body, writer):
        writer.write(first)
        for _ in range(SENT_MAX_BYTES // len(again)):
            writer.write(again)
            await writer.drain()
        await asyncio.Event().wait()

    return respond


@contextlib.asynccontextmanager
async def endless_endpoint(first, again):
    """Run an endpoint that sends some bytes without end; yield it, and a pool to it."""
    endpoint = ScriptedEndpoint(sends(first, again))
    await endpoint.start()
    clock = asyncio.get_running_loop().time
    pool = ConnectionPool(clock, decode_response_head, 0.35)
    try:
        yield endpoint, pool
    finally:
        pool.close()
        await endpoint.close()


async def measure(call):
    """Return how long a call took in seconds, its error, and the memory it took."""
    clock = asyncio.get_running_loop().time
    tracemalloc.start()
    began_s, error = clock(), None
    try:
        await call
    except (
        CallError,
        DecodeError,
        TimeoutError,
        OSError,
        TunnelRefusedError,
    ) as caught:
        error = caught
    took_s = clock() - began_s
    _, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return took_s, error, peak_bytes


async def read_whole(pool, address):
    """Send a request and read the whole response."""
    connection = await pool.acquire(address, address, 10)
    request = b"GET /x HTTP/1.1\r\nHost: h\r\nX-Gypsumusher-Request-Id: r\r\n\r\n"
    response = connection.send(request, "r")
    try:
        await response.head()
        return await response.body()
    finally:
        response.close()


# Guards against endpoints whose endless bytes hold a request until its deadline, and
# fill the host's memory.
@pytest.mark.parametrize("what", ENDLESS)
def test_endless_bytes_of_an_endpoint_are_ended_at_once(what):
    async def scenario():
        async with endless_endpoint(*ENDLESS[what]) as (endpoint, pool):
            took_s, error, peak_bytes = await measure(
                read_whole(pool, endpoint.address)
            )
            assert took_s < ENDED_WITHIN_S
            assert peak_bytes < MEMORY_MAX_BYTES
            is_answered = what == "bytes after a response"
            assert is_answered or error.reason == "garbled"
            # The endpoint's connection is closed, not only left.
            while endpoint.tasks:
                await asyncio.sleep(0.005)
            assert not pool._open

    asyncio.run(asyncio.wait_for(scenario(), 30))


# Guards against callers that read slowly, and a host that holds all that they don't.
def test_body_that_is_not_read_is_not_received():
    async def scenario():
        async with endless_endpoint(HEAD + b"\r\n", b"x" * 65536) as (endpoint, pool):
            connection = await pool.acquire(endpoint.address, endpoint.address, 10)
            response = connection.send(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n", "r")
            await response.head()
            await asyncio.sleep(0.2)
            assert 0 < response._unread_bytes <= 1024 * 1024
            received_bytes = 0
            while received_bytes < 2 * 1024 * 1024:
                received_bytes += len(await response.read())
            response.close()

    asyncio.run(asyncio.wait_for(scenario(), 30))


# Guards against a store, or another host, whose endless response fills the memory.
@pytest.mark.parametrize("what", ENDLESS)
def test_endless_bytes_of_a_call_are_ended_at_once(what):
    async def scenario():
        endpoint = ScriptedEndpoint(sends(*ENDLESS[what]))
        address = await endpoint.start()
        client = HttpClient(asyncio.get_running_loop().time)
        limits = CallLimits(5.0, 5.0, 5.0, 1024 * 1024)
        call = client.call("GET", address, "/v1/objects/x", limits)
        took_s, error, peak_bytes = await measure(call)
        assert took_s < ENDED_WITHIN_S
        assert peak_bytes < MEMORY_MAX_BYTES
        assert error is not None or what == "bytes after a response"
        client.close()
        await endpoint.close()

    asyncio.run(asyncio.wait_for(scenario(), 30))


# Guards against a host in between whose endless response to CONNECT is read on.
@pytest.mark.parametrize(
    "what", ("value of a header", "headers", "interim responses", "body in chunks")
)
def test_endless_response_to_a_tunnel_is_ended_at_once(what):
    async def scenario():
        first, again = ENDLESS[what]
        first = first.replace(b"200 OK", b"503 Service Unavailable")
        endpoint = ScriptedEndpoint(sends(first, again))
        address = await endpoint.start()
        call = open_tunnel(asyncio.Protocol(), address, "127.0.0.1:9")
        took_s, error, peak_bytes = await measure(asyncio.wait_for(call, 5.0))
        assert took_s < ENDED_WITHIN_S
        assert peak_bytes < MEMORY_MAX_BYTES
        assert isinstance(error, TunnelRefusedError)
        await endpoint.close()

    asyncio.run(asyncio.wait_for(scenario(), 30))


# Guards against errors that keep all that was received until the next garbage
# collection.
@pytest.mark.parametrize("what", ("body in chunks", "value of a header"))
@pytest.mark.parametrize("is_call", (False, True))
def test_failed_response_is_freed_while_its_error_is_kept(what, is_call):
    async def scenario():
        endpoint = ScriptedEndpoint(sends(*ENDLESS[what]))
        address = await endpoint.start()
        clock = asyncio.get_running_loop().time
        pool = ConnectionPool(clock, decode_response_head, 0.35)
        client = HttpClient(clock)
        limits = CallLimits(5.0, 5.0, 5.0, RESPONSE_MAX_BYTES)
        errors = []
        gc.collect()
        gc.disable()
        tracemalloc.start()
        try:
            for _ in range(4):
                try:
                    if is_call:
                        await client.call("GET", address, "/v1/objects/x", limits)
                    else:
                        await read_whole(pool, address)
                except (CallError, DecodeError) as error:
                    errors.append(error)
                while endpoint.tasks:
                    await asyncio.sleep(0.005)
            kept_bytes, _ = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
            gc.enable()
        client.close()
        assert len(errors) == 4
        assert kept_bytes < KEPT_MAX_BYTES
        await endpoint.close()

    asyncio.run(asyncio.wait_for(scenario(), 30))


def test_body_above_a_lowered_limit_is_garbled():
    async def scenario():
        async with endless_endpoint(*ENDLESS["body in chunks"]) as (endpoint, pool):
            connection = await pool.acquire(endpoint.address, endpoint.address, 10)
            response = connection.send(b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n", "r")
            await response.head()
            response.limit_body(300_000)
            with pytest.raises(CallError) as caught:
                received_bytes = 0
                while data := await response.read():
                    received_bytes += len(data)
            assert caught.value.reason == "garbled"
            assert received_bytes < RESPONSE_MAX_BYTES / 4
            response.close()

    asyncio.run(asyncio.wait_for(scenario(), 30))


# Guards against many responses that together fill the memory in one turn of the event
# loop, before any of them can be given up.
def test_connections_to_endpoints_count_for_what_is_received_at_once():
    async def scenario():
        async with endless_endpoint(*ENDLESS["body in chunks"]) as (endpoint, pool):
            pool.set_budget(ConnectionBudget(lambda *_, **__: None, 8 * 65536))
            address = endpoint.address
            connections = [await pool.acquire(address, address, 10) for _ in range(3)]
            # More than the 65,536 bytes that may be received in one turn.
            pool.on_received(65537)
            assert not any(c._transport.is_reading() for c in connections)
            await asyncio.sleep(0)
            assert all(c._transport.is_reading() for c in connections)
            # What waits to be read keeps its connection paused.
            connections[0].pause_reading()
            pool.on_received(65537)
            await asyncio.sleep(0)
            assert not connections[0]._transport.is_reading()
            assert connections[1]._transport.is_reading()

    asyncio.run(asyncio.wait_for(scenario(), 30))
