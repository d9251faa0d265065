"""Whether an engine that dropped a connection has crashed."""

import asyncio

import pytest

from gypsumusher_daemon.engine_sessions import DYING_PROBES, EngineSessions


async def ask_of(on_connection):
    """Return what the sessions say of a listener that handles connections so."""
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
        return await sessions.answers(f"{host}:{port}"), count
    finally:
        await sessions.close()
        server.close()


def test_an_engine_that_accepts_connections_while_it_dies_has_crashed():
    """One bad letter takes down engine after engine, and nobody is convicted.

    The engine's process ends; for some milliseconds its listener still takes the
    connection that asks whether it lives, and drops it.
    Cause: a connection that was taken counted as a sign of life.
    """

    async def drop_twice_then_go(count, server, writer):
        if count == 2:
            server.close()

    answers, count = asyncio.run(ask_of(drop_twice_then_go))
    assert answers is False
    assert count == 2


def test_an_engine_that_goes_on_dropping_connections_has_not_crashed():
    """A healthy engine behind a bad link is taken for crashed, its requests for bad."""

    async def drop(count, server, writer):
        pass

    assert asyncio.run(ask_of(drop)) == (True, DYING_PROBES)


@pytest.mark.parametrize("status", [b"200 OK", b"500 Internal Server Error"])
def test_any_answer_is_a_sign_of_life(status):
    """One question is enough for an engine that answers it."""

    async def answer(count, server, writer):
        writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
        await writer.drain()

    assert asyncio.run(ask_of(answer)) == (True, 1)
