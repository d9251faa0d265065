"""Answers of endpoints that fail, cross or end in odd ways."""

import asyncio
from typing import NamedTuple

import pytest
from scripted_endpoint import ScriptedEndpoint, encode_response, request_id_of

from gypsumusher_http import CallError, ConnectionPool
from gypsumusher_platform import decode_response_head


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 20))


CONNECT_TIMEOUT_S = 0.35


class Process(NamedTuple):
    """One life of a process that is called."""

    key: str
    address: str


def create_pool():
    clock = asyncio.get_running_loop().time
    return ConnectionPool(clock, decode_response_head, CONNECT_TIMEOUT_S)


def request_bytes(request_id):
    return (
        f"GET /x HTTP/1.1\r\nHost: h\r\nX-Gypsumusher-Request-Id: {request_id}\r\n\r\n"
    ).encode()


async def ask(pool, process, request_id):
    connection = await pool.acquire(*process, 10)
    answer = connection.send(request_bytes(request_id), request_id)
    try:
        head = await answer.head()
        return head, await answer.body()
    finally:
        answer.close()


class Setting:
    """A pool and one scripted endpoint."""

    def __init__(self, script):
        self.endpoint = ScriptedEndpoint(script)
        self.pool = create_pool()

    async def __aenter__(self):
        self.process = Process("e-1", await self.endpoint.start())
        return self

    async def __aexit__(self, *_):
        self.pool.close()
        await self.endpoint.close()


def test_an_old_answer_is_read_past_to_the_request_s_own():
    # An endpoint sends a second answer to an earlier request late, where the next
    # answer on the connection is due. Taking it would give a caller another's answer;
    # closing the connection would lose a booking that may have run.
    async def script(number, head, body, writer):
        request_id = request_id_of(head)
        if number == 1:
            writer.write(encode_response("first", b"of the first request"))
        writer.write(encode_response(request_id, request_id.encode()))

    async def scenario():
        async with Setting(script) as setting:
            assert (await ask(setting.pool, setting.process, "first"))[1] == b"first"
            assert (await ask(setting.pool, setting.process, "second"))[1] == b"second"
            assert setting.endpoint.connections == 1

    run(scenario())


def test_bytes_behind_a_whole_answer_end_the_connection():
    # Whatever follows a complete answer belongs to no request; the next request on the
    # same connection would find it where its own answer should begin.
    async def script(number, head, body, writer):
        request_id = request_id_of(head)
        writer.write(encode_response(request_id) + b"rubbish")

    async def scenario():
        async with Setting(script) as setting:
            for name in ("first", "second"):
                head, body = await ask(setting.pool, setting.process, name)
                assert (head.request_id, body) == (name, b"whole")
            assert setting.endpoint.connections == 2

    run(scenario())


@pytest.mark.parametrize(
    "framing", ["Content-Length: 10", "Transfer-Encoding: chunked"]
)
def test_an_answer_that_ends_early_is_broken(framing):
    async def script(number, head, body, writer):
        part = b"5\r\nwhole\r\n" if "chunked" in framing else b"whole"
        writer.write(encode_response(request_id_of(head), part, framing=framing))
        writer.close()

    async def scenario():
        async with Setting(script) as setting:
            with pytest.raises(CallError) as caught:
                await ask(setting.pool, setting.process, "r")
            assert (caught.value.reason, caught.value.may_have_run) == ("broken", True)

    run(scenario())


def test_an_answer_without_a_length_ends_with_its_connection():
    async def script(number, head, body, writer):
        writer.write(encode_response(request_id_of(head), framing="Connection: close"))
        writer.close()

    async def scenario():
        async with Setting(script) as setting:
            assert (await ask(setting.pool, setting.process, "r"))[1] == b"whole"

    run(scenario())


class ResetTransport:
    """A transport whose peer has reset the connection, read as a plain end.

    The loop asks the socket for data, gets none, and reports an end; the error of the
    reset is still pending at the socket.
    """

    def get_extra_info(self, name):
        return self if name == "socket" else None

    def setsockopt(self, *_):
        return None

    def getsockopt(self, level, option):
        return 104

    def write(self, data):
        return None

    def get_write_buffer_size(self):
        return 0

    def is_closing(self):
        return False

    def abort(self):
        return None


def test_half_an_answer_without_a_length_is_not_whole_after_a_reset():
    # An endpoint crashes in the middle of an answer without a length. Its reset shows
    # to the loop as a plain end, as for an answer that is complete, and the caller got
    # half an answer as a whole one. The socket's pending error tells the two apart.
    async def scenario():
        loop = asyncio.get_running_loop()
        pool = create_pool()

        async def no_connection(factory, ip, port):
            connection = factory()
            connection.connection_made(ResetTransport())
            return None, connection

        loop.create_connection = no_connection
        connection = await pool.acquire("e-1", "127.0.0.1:1", 10)
        answer = connection.send(b"", "r")
        connection.data_received(
            encode_response("r", b"ha", framing="Connection: close")
        )
        connection.eof_received()
        connection.connection_lost(None)
        with pytest.raises(CallError):
            await answer.body()

    run(scenario())


def test_a_connection_is_not_used_past_the_time_that_the_endpoint_gave():
    # An endpoint closes idle connections after a second. A request sent just then would
    # be reset, and one that runs at most once would be lost.
    async def script(number, head, body, writer):
        keep = ("Keep-Alive: timeout=1",)
        writer.write(encode_response(request_id_of(head), extra=keep))

    async def scenario():
        async with Setting(script) as setting:
            await ask(setting.pool, setting.process, "first")
            await asyncio.sleep(0.6)
            await ask(setting.pool, setting.process, "second")
            assert setting.endpoint.connections == 2

    run(scenario())


def test_a_restarted_endpoint_gets_no_connection_of_its_past():
    # An endpoint restarts under its id at its old address. A connection that was opened
    # to its past may hang, and counts of its past don't hold.
    async def script(number, head, body, writer):
        writer.write(encode_response(request_id_of(head)))

    async def scenario():
        async with Setting(script) as setting:
            await ask(setting.pool, setting.process, "first")
            again = setting.process._replace(key="e-1 again")
            await ask(setting.pool, again, "second")
            assert setting.endpoint.connections == 2

    run(scenario())


def test_a_refused_connection_is_told_as_not_sent():
    async def scenario():
        pool = create_pool()
        with pytest.raises(CallError) as caught:
            await pool.acquire("e-1", "127.0.0.1:1", 10)
        assert (caught.value.reason, caught.value.may_have_run) == ("connect", False)

    run(scenario())


def test_a_host_keeps_to_its_part_of_an_endpoint_s_connections():
    async def script(number, head, body, writer):
        await asyncio.Event().wait()

    async def scenario():
        async with Setting(script) as setting:
            for number in range(5):
                connection = await setting.pool.acquire(*setting.process, 5)
                connection.send(request_bytes(str(number)), str(number))
            with pytest.raises(CallError) as caught:
                await setting.pool.acquire(*setting.process, 5)
            assert caught.value.reason == "no_connection"

    run(scenario())
