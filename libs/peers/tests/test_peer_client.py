"""Links and servers over loopback: answers, failures, rotation and bad peers."""

import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from returns.pipeline import is_successful

from gypsumusher_peers import Identity, KeyRing, PeerClient, PeerServer
from gypsumusher_peers.errors import ProtocolFault
from gypsumusher_peers.framing import FRAME_LIMIT_BYTES, frame, pack, unpack
from gypsumusher_peers.handshake import make_hello
from gypsumusher_peers.wire import open_session, read_payload

FUZZ = settings(derandomize=True, deadline=None, database=None, max_examples=25)

IP = "127.0.0.1"
HERE = Identity("host-a", "incarnation-a")
THERE = Identity("host-b", "incarnation-b")
OLD = ("old", "the old secret's bytes")
NEW = ("new", "the new secret's bytes")
LONG_S = 20.0


class Fixture:
    """One server with its errors, and links to it, all closed at the end."""

    def __init__(self, **options):
        self.errors = []
        self.error_came = asyncio.Event()
        self.keys = KeyRing([OLD])
        self.runs = []
        self.hold = asyncio.Event()
        self.held = asyncio.Event()
        self.server = PeerServer(THERE, self.keys, self.run, self.note_error, **options)
        self.links = []
        self.port = None

    async def run(self, peer, message):
        self.runs.append((peer, message))
        if message.get("fail"):
            raise RuntimeError("on purpose")
        if message.get("hold"):
            self.held.set()
            await self.hold.wait()
        if message.get("large"):
            return {"text": "x" * (FRAME_LIMIT_BYTES + 1)}
        return {"echo": message}

    def note_error(self, error):
        self.errors.append(error)
        self.error_came.set()

    async def wait_for_error(self):
        async with asyncio.timeout(LONG_S):
            await self.error_came.wait()
        return self.errors[-1]

    async def link(self, keys=None, **options):
        link = PeerClient(IP, self.port, HERE, keys or KeyRing([OLD]), **options)
        await link.start()
        self.links.append(link)
        return link

    async def __aenter__(self):
        self.port = await self.server.start(IP, 0)
        return self

    async def __aexit__(self, *exc_info):
        for link in self.links:
            await link.close()
        await self.server.close()


def test_requests_are_answered_with_the_peers_proven_identity():
    async def run():
        async with Fixture() as fixture:
            link = await fixture.link(expected_host="host-b")
            answers = await asyncio.gather(
                *(link.request({"n": number}, LONG_S) for number in range(50))
            )
            assert [a.unwrap()["echo"]["n"] for a in answers] == list(range(50))
            assert fixture.runs[0][0] == HERE
            assert link.peer == THERE
            assert fixture.errors == []

    asyncio.run(run())


def test_a_failing_handler_fails_its_own_request_only():
    async def run():
        async with Fixture() as fixture:
            link = await fixture.link()
            failed, answered = await asyncio.gather(
                link.request({"fail": True}, LONG_S), link.request({}, LONG_S)
            )
            assert failed.failure().kind == "remote"
            assert failed.failure().sent
            assert is_successful(answered)
            large = await link.request({"large": True}, LONG_S)
            assert large.failure().kind == "remote"
            assert is_successful(await link.request({}, LONG_S))

    asyncio.run(run())


def test_a_request_that_was_never_written_says_so():
    """A caller would be told "outcome unknown" where nothing can have run.

    The peer is down, the message too large or too many requests wait already.
    Cause: a failure before the first byte told as one after it.
    """

    async def run():
        async with Fixture() as fixture:
            link = await fixture.link(max_outstanding=1)
            large = await link.request({"x": "x" * FRAME_LIMIT_BYTES}, LONG_S)
            assert large.failure().kind == "too_large"
            held = asyncio.create_task(link.request({"hold": True}, LONG_S))
            await fixture.held.wait()
            refused = await link.request({}, LONG_S)
            assert refused.failure().kind == "overloaded"
            fixture.hold.set()
            assert is_successful(await held)
            await fixture.server.close()
            unreachable = PeerClient(IP, fixture.port, HERE, KeyRing([OLD]))
            await unreachable.start()
            fixture.links.append(unreachable)
            down = await unreachable.request({}, 0.2)
            assert down.failure().kind == "connect"
            assert down.failure().step == "connect"
            results = [large, refused, down]
            assert not any(result.failure().sent for result in results)

    asyncio.run(run())


def test_a_connection_lost_after_the_write_counts_as_sent_and_the_link_returns():
    async def run():
        async with Fixture() as fixture:
            link = await fixture.link()
            held = asyncio.create_task(link.request({"hold": True}, LONG_S))
            await fixture.held.wait()
            await fixture.server.close()
            assert (await held).failure().sent
            await fixture.server.start(IP, fixture.port)
            assert is_successful(await link.request({}, LONG_S))

    asyncio.run(run())


def test_a_silent_peer_costs_one_timeout_and_then_a_new_connection():
    """Each request to a cut-off host would wait for its whole time-out in turn.

    The peer is paused or cut off; its connection stays open and answers nothing.
    Cause: TCP notices a lost peer only after minutes.
    """

    async def run():
        # With one request running the server reads no more, as if it were paused.
        async with Fixture(max_concurrent_requests=1) as fixture:
            link = await fixture.link()
            lost = await link.request({"hold": True}, 0.2)
            assert lost.failure().kind == "timeout"
            assert lost.failure().sent
            first_runs = len(fixture.runs)
            assert is_successful(await link.request({}, 5.0))
            assert len(fixture.runs) == first_runs + 1

    asyncio.run(run())


def test_keys_rotate_without_a_stop():
    async def run():
        async with Fixture() as fixture:
            ring = KeyRing([OLD])
            link = await fixture.link(ring)
            assert is_successful(await link.request({"step": 0}, LONG_S))
            steps = ([OLD, NEW], [NEW, OLD], [NEW])
            for step, keys in enumerate(steps):
                fixture.keys.replace(keys)
                assert is_successful(await link.request({"step": step}, LONG_S))
                ring.replace(keys)
                assert is_successful(await link.request({"step": step}, LONG_S))
            assert fixture.errors == []

    asyncio.run(run())


def test_a_key_taken_away_ends_the_connections_opened_under_it():
    async def run():
        async with Fixture() as fixture:
            link = await fixture.link()
            assert is_successful(await link.request({}, LONG_S))
            fixture.keys.replace([NEW])
            refused = await link.request({}, 1.0)
            assert not is_successful(refused)
            assert len(fixture.runs) == 1
            error = await fixture.wait_for_error()
            assert error.kind == "handshake"

    asyncio.run(run())


def test_a_link_refuses_another_host_at_the_address():
    async def run():
        async with Fixture() as fixture:
            link = await fixture.link(expected_host="host-c")
            refused = await link.request({}, 0.3)
            assert refused.failure().kind == "handshake"
            assert not refused.failure().sent
            assert fixture.runs == []

    asyncio.run(run())


async def send_and_read_end(port, data):
    """Send bytes on a fresh connection and read until the server closes it."""
    reader, writer = await asyncio.open_connection(IP, port)
    writer.write(data)
    writer.write_eof()
    try:
        async with asyncio.timeout(LONG_S):
            return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.transport.abort()


@FUZZ
@given(st.binary(min_size=1, max_size=300))
def test_a_server_goes_on_after_arbitrary_bytes(data):
    async def run():
        async with Fixture() as fixture:
            await send_and_read_end(fixture.port, data)
            await fixture.wait_for_error()
            link = await fixture.link()
            assert is_successful(await link.request({}, LONG_S))
            assert len(fixture.runs) == 1

    asyncio.run(run())


@FUZZ
@given(st.binary(max_size=100), st.booleans())
def test_a_server_goes_on_after_bad_frames_of_an_authenticated_peer(data, sealed):
    async def run():
        async with Fixture() as fixture:
            reader, writer = await asyncio.open_connection(IP, fixture.port)
            session = await open_session(reader, writer, HERE, KeyRing([OLD]), LONG_S)
            body = session.sending.seal(data) if sealed else b"m" * 16 + data
            writer.write(frame(body))
            error = await fixture.wait_for_error()
            assert error.kind == ("malformed" if sealed else "forged")
            assert error.peer == "host-a"
            writer.transport.abort()
            link = await fixture.link()
            assert is_successful(await link.request({}, LONG_S))

    asyncio.run(run())


def test_a_huge_length_closes_the_connection_at_once():
    async def run():
        async with Fixture() as fixture:
            await send_and_read_end(fixture.port, b"\xff\xff\xff\xff")
            assert (await fixture.wait_for_error()).kind == "too_large"

    asyncio.run(run())


def test_another_version_is_told_which_one_is_spoken():
    async def run():
        async with Fixture() as fixture:
            hello = unpack(make_hello("old", HERE, b"n" * 32))
            hello["version"] = 7
            reader, writer = await asyncio.open_connection(IP, fixture.port)
            writer.write(frame(pack(hello)))
            answer = unpack(await read_payload(reader, 4096, LONG_S, LONG_S))
            assert answer["refused"] == "version"
            assert answer["version"] == 1
            assert (await fixture.wait_for_error()).kind == "version"
            writer.transport.abort()

    asyncio.run(run())


def test_slow_and_silent_strangers_are_dropped():
    """Strangers would hold all connections open and shut the peers out.

    They connect and send nothing, or one byte of a frame, and wait.
    Cause: a server that waits for ever for a handshake.
    """

    async def run():
        async with Fixture(handshake_timeout_s=0.1) as fixture:
            for data in (b"", b"\x00", frame(make_hello("old", HERE, b"n" * 32))):
                fixture.error_came.clear()
                reader, writer = await asyncio.open_connection(IP, fixture.port)
                writer.write(data)
                assert (await fixture.wait_for_error()).kind == "timeout"
                writer.transport.abort()

    asyncio.run(run())


def test_a_slow_frame_of_an_authenticated_peer_is_dropped():
    async def run():
        async with Fixture(frame_timeout_s=0.1) as fixture:
            reader, writer = await asyncio.open_connection(IP, fixture.port)
            await open_session(reader, writer, HERE, KeyRing([OLD]), LONG_S)
            writer.write(b"\x00\x00")
            assert (await fixture.wait_for_error()).kind == "timeout"
            writer.transport.abort()

    asyncio.run(run())


def test_connections_are_bounded():
    async def run():
        async with Fixture(max_connections=2) as fixture:
            writers = []
            for _ in range(3):
                _, writer = await asyncio.open_connection(IP, fixture.port)
                writers.append(writer)
            error = await fixture.wait_for_error()
            assert error.kind == "overloaded"
            for writer in writers:
                writer.transport.abort()

    asyncio.run(run())


def test_a_link_survives_a_server_that_answers_with_garbage():
    async def run():
        async def answer(reader, writer):
            await reader.read(10)
            writer.write(b"\x00\x00\x00\x04oops")
            writer.close()

        server = await asyncio.start_server(answer, IP, 0)
        port = server.sockets[0].getsockname()[1]
        errors = []
        link = PeerClient(IP, port, HERE, KeyRing([OLD]), on_error=errors.append)
        await link.start()
        refused = await link.request({}, 0.3)
        assert not refused.failure().sent
        assert errors[0].kind == "malformed"
        await link.close()
        server.close()

    asyncio.run(run())


def test_a_payload_reader_reports_the_end_of_the_stream():
    async def run():
        reader = asyncio.StreamReader()
        reader.feed_data(b"\x00\x00\x00\x05ab")
        reader.feed_eof()
        with pytest.raises(ProtocolFault) as caught:
            await read_payload(reader, 100, LONG_S, LONG_S)
        assert caught.value.kind == "closed"

    asyncio.run(run())
