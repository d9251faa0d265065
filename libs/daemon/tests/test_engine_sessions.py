"""An engine that dropped a connection is told from one that has crashed."""

import asyncio

import pytest

from gypsumusher_daemon.engine_sessions import CRASH_PROBES_MAX, EngineSessions


async def probe_listener(on_connection):
    """Return the result and number of probes of a listener with this handler."""
    count = 0
    server = None

    async def accept(reader, writer):
        nonlocal count
        count += 1
        await reader.readuntil(b"\r\n\r\n")
        await on_connection(count, server, writer)
        writer.close()

    server = await asyncio.start_server(accept, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    sessions = EngineSessions(connect_timeout_s=2.0, silence_s=2.0)
    await sessions.start()
    try:
        return await sessions.accepts_connections(f"{host}:{port}"), count
    finally:
        await sessions.close()
        server.close()


def test_an_engine_that_accepts_connections_while_it_dies_has_crashed():
    """A request that crashes engine after engine must be convicted.

    When an engine's process ends, its listener still accepts the probe for some
    milliseconds and drops it. Counting an accepted connection as a sign of life would
    hide the crash.
    """

    async def drop_twice_then_go(count, server, writer):
        if count == 2:
            server.close()

    answers, count = asyncio.run(probe_listener(drop_twice_then_go))
    assert answers is False
    assert count == 2


def test_an_engine_that_goes_on_dropping_connections_has_not_crashed():
    """A healthy engine behind a faulty link must not make its requests suspect."""

    async def drop(count, server, writer):
        pass

    assert asyncio.run(probe_listener(drop)) == (True, CRASH_PROBES_MAX)


@pytest.mark.parametrize("status", [b"200 OK", b"500 Internal Server Error"])
def test_any_answer_is_a_sign_of_life(status):
    """A single probe is enough for an engine that answers it."""

    async def answer(count, server, writer):
        writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
        await writer.drain()

    assert asyncio.run(probe_listener(answer)) == (True, 1)
