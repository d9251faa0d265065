"""Clients and servers on loopback: responses, failures, rotation, bad peers."""

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
CLIENT = Identity("host-a", "incarnation-a")
SERVER = Identity("host-b", "incarnation-b")
OLD_KEY = ("old", "the old secret's bytes")
NEW_KEY = ("new", "the new secret's bytes")
TIMEOUT_S = 20.0


class Fixture:
    """One server with its reported errors, and clients of it; closes all at exit."""

    def __init__(self, **options):
        self.errors = []
        self.error_reported = asyncio.Event()
        self.keys = KeyRing([OLD_KEY])
        self.requests = []
        self.release_held = asyncio.Event()
        self.request_held = asyncio.Event()
        self.server = PeerServer(
            SERVER, self.keys, self.handle_request, self.record_error, **options
        )
        self.clients = []
        self.port = None

    async def handle_request(self, peer, message):
        self.requests.append((peer, message))
        if message.get("fail"):
            raise RuntimeError("on purpose")
        if message.get("hold"):
            self.request_held.set()
            await self.release_held.wait()
        if message.get("large"):
            return {"text": "x" * (FRAME_LIMIT_BYTES + 1)}
        return {"echo": message}

    def record_error(self, error):
        self.errors.append(error)
        self.error_reported.set()

    async def wait_for_error(self):
        async with asyncio.timeout(TIMEOUT_S):
            await self.error_reported.wait()
        return self.errors[-1]

    async def client(self, keys=None, **options):
        client = PeerClient(
            IP, self.port, CLIENT, keys or KeyRing([OLD_KEY]), **options
        )
        await client.start()
        self.clients.append(client)
        return client

    async def __aenter__(self):
        self.port = await self.server.start(IP, 0)
        return self

    async def __aexit__(self, *exc_info):
        for client in self.clients:
            await client.close()
        await self.server.close()


def test_requests_are_answered_between_authenticated_peers():
    async def run():
        async with Fixture() as fixture:
            client = await fixture.client(expected_host="host-b")
            responses = await asyncio.gather(
                *(client.request({"n": number}, TIMEOUT_S) for number in range(50))
            )
            assert [r.unwrap()["echo"]["n"] for r in responses] == list(range(50))
            assert fixture.requests[0][0] == CLIENT
            assert client.peer == SERVER
            assert fixture.errors == []

    asyncio.run(run())


def test_a_failing_handler_fails_its_own_request_only():
    async def run():
        async with Fixture() as fixture:
            client = await fixture.client()
            failed, answered = await asyncio.gather(
                client.request({"fail": True}, TIMEOUT_S), client.request({}, TIMEOUT_S)
            )
            assert failed.failure().kind == "remote"
            assert failed.failure().sent
            assert is_successful(answered)
            large = await client.request({"large": True}, TIMEOUT_S)
            assert large.failure().kind == "remote"
            assert is_successful(await client.request({}, TIMEOUT_S))

    asyncio.run(run())


def test_a_request_that_was_never_written_counts_as_not_sent():
    """A caller gets "outcome unknown" for a request that cannot have run.

    The peer is down, the message is too large or too many requests are outstanding.
    A failure before the first byte was written is reported as one after it.
    """

    async def run():
        async with Fixture() as fixture:
            client = await fixture.client(max_outstanding=1)
            large = await client.request({"x": "x" * FRAME_LIMIT_BYTES}, TIMEOUT_S)
            assert large.failure().kind == "too_large"
            held = asyncio.create_task(client.request({"hold": True}, TIMEOUT_S))
            await fixture.request_held.wait()
            refused = await client.request({}, TIMEOUT_S)
            assert refused.failure().kind == "overloaded"
            fixture.release_held.set()
            assert is_successful(await held)
            await fixture.server.close()
            unreachable = PeerClient(IP, fixture.port, CLIENT, KeyRing([OLD_KEY]))
            await unreachable.start()
            fixture.clients.append(unreachable)
            not_connected = await unreachable.request({}, 0.2)
            assert not_connected.failure().kind == "connect"
            assert not_connected.failure().step == "connect"
            results = [large, refused, not_connected]
            assert not any(result.failure().sent for result in results)

    asyncio.run(run())


def test_a_connection_lost_after_the_write_counts_as_sent_and_is_reopened():
    async def run():
        async with Fixture() as fixture:
            client = await fixture.client()
            held = asyncio.create_task(client.request({"hold": True}, TIMEOUT_S))
            await fixture.request_held.wait()
            await fixture.server.close()
            assert (await held).failure().sent
            await fixture.server.start(IP, fixture.port)
            assert is_successful(await client.request({}, TIMEOUT_S))

    asyncio.run(run())


def test_a_silent_peer_costs_one_timeout_and_then_a_new_connection():
    """Each request to an unreachable host runs into its own time-out in turn.

    The peer is paused or unreachable; its connection stays open and carries no
    response, because TCP detects a lost peer only after minutes.
    """

    async def run():
        # The server stops reading while its one request runs, like a paused peer.
        async with Fixture(max_concurrent_requests=1) as fixture:
            client = await fixture.client()
            timed_out = await client.request({"hold": True}, 0.2)
            assert timed_out.failure().kind == "timeout"
            assert timed_out.failure().sent
            first_requests = len(fixture.requests)
            assert is_successful(await client.request({}, 5.0))
            assert len(fixture.requests) == first_requests + 1

    asyncio.run(run())


def test_keys_rotate_without_a_restart():
    async def run():
        async with Fixture() as fixture:
            ring = KeyRing([OLD_KEY])
            client = await fixture.client(ring)
            assert is_successful(await client.request({"step": 0}, TIMEOUT_S))
            steps = ([OLD_KEY, NEW_KEY], [NEW_KEY, OLD_KEY], [NEW_KEY])
            for step, keys in enumerate(steps):
                fixture.keys.replace(keys)
                assert is_successful(await client.request({"step": step}, TIMEOUT_S))
                ring.replace(keys)
                assert is_successful(await client.request({"step": step}, TIMEOUT_S))
            assert fixture.errors == []

    asyncio.run(run())


def test_removing_a_key_ends_the_connections_opened_under_it():
    async def run():
        async with Fixture() as fixture:
            client = await fixture.client()
            assert is_successful(await client.request({}, TIMEOUT_S))
            fixture.keys.replace([NEW_KEY])
            refused = await client.request({}, 1.0)
            assert not is_successful(refused)
            assert len(fixture.requests) == 1
            error = await fixture.wait_for_error()
            assert error.kind == "handshake"

    asyncio.run(run())


def test_a_client_refuses_another_host_at_the_address():
    async def run():
        async with Fixture() as fixture:
            client = await fixture.client(expected_host="host-c")
            refused = await client.request({}, 0.3)
            assert refused.failure().kind == "handshake"
            assert not refused.failure().sent
            assert fixture.requests == []

    asyncio.run(run())


async def send_and_read_to_end(port, data):
    """Send bytes on a new connection and read until the server closes it."""
    reader, writer = await asyncio.open_connection(IP, port)
    writer.write(data)
    writer.write_eof()
    try:
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.transport.abort()


@FUZZ
@given(st.binary(min_size=1, max_size=300))
def test_a_server_serves_others_after_arbitrary_bytes(data):
    async def run():
        async with Fixture() as fixture:
            await send_and_read_to_end(fixture.port, data)
            await fixture.wait_for_error()
            client = await fixture.client()
            assert is_successful(await client.request({}, TIMEOUT_S))
            assert len(fixture.requests) == 1

    asyncio.run(run())


@FUZZ
@given(st.binary(max_size=100), st.booleans())
def test_a_server_serves_others_after_bad_frames_of_an_authenticated_peer(data, sealed):
    async def run():
        async with Fixture() as fixture:
            reader, writer = await asyncio.open_connection(IP, fixture.port)
            session = await open_session(
                reader, writer, CLIENT, KeyRing([OLD_KEY]), TIMEOUT_S
            )
            body = session.send_channel.seal(data) if sealed else b"m" * 16 + data
            writer.write(frame(body))
            error = await fixture.wait_for_error()
            assert error.kind == ("malformed" if sealed else "forged")
            assert error.peer == "host-a"
            writer.transport.abort()
            client = await fixture.client()
            assert is_successful(await client.request({}, TIMEOUT_S))

    asyncio.run(run())


def test_a_huge_length_closes_the_connection_at_once():
    async def run():
        async with Fixture() as fixture:
            await send_and_read_to_end(fixture.port, b"\xff\xff\xff\xff")
            assert (await fixture.wait_for_error()).kind == "too_large"

    asyncio.run(run())


def test_a_peer_of_another_version_is_told_the_servers_version():
    async def run():
        async with Fixture() as fixture:
            hello = unpack(make_hello("old", CLIENT, b"n" * 32))
            hello["version"] = 7
            reader, writer = await asyncio.open_connection(IP, fixture.port)
            writer.write(frame(pack(hello)))
            refusal = unpack(await read_payload(reader, 4096, TIMEOUT_S, TIMEOUT_S))
            assert refusal["refused"] == "version"
            assert refusal["version"] == 1
            assert (await fixture.wait_for_error()).kind == "version"
            writer.transport.abort()

    asyncio.run(run())


def test_slow_and_silent_unauthenticated_clients_are_disconnected():
    """Unauthenticated clients use up all connections, so that peers are refused.

    They connect and send nothing, or only a part of the handshake, while the server
    waits for the rest without a time-out.
    """

    async def run():
        async with Fixture(handshake_timeout_s=0.1) as fixture:
            for data in (b"", b"\x00", frame(make_hello("old", CLIENT, b"n" * 32))):
                fixture.error_reported.clear()
                reader, writer = await asyncio.open_connection(IP, fixture.port)
                writer.write(data)
                assert (await fixture.wait_for_error()).kind == "timeout"
                writer.transport.abort()

    asyncio.run(run())


def test_an_authenticated_peer_that_sends_a_frame_slowly_is_disconnected():
    async def run():
        async with Fixture(frame_timeout_s=0.1) as fixture:
            reader, writer = await asyncio.open_connection(IP, fixture.port)
            await open_session(reader, writer, CLIENT, KeyRing([OLD_KEY]), TIMEOUT_S)
            writer.write(b"\x00\x00")
            assert (await fixture.wait_for_error()).kind == "timeout"
            writer.transport.abort()

    asyncio.run(run())


def test_connections_are_limited():
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


def test_a_client_survives_a_server_that_answers_with_garbage():
    async def run():
        async def send_garbage(reader, writer):
            await reader.read(10)
            writer.write(b"\x00\x00\x00\x04oops")
            writer.close()

        server = await asyncio.start_server(send_garbage, IP, 0)
        port = server.sockets[0].getsockname()[1]
        errors = []
        client = PeerClient(
            IP, port, CLIENT, KeyRing([OLD_KEY]), on_error=errors.append
        )
        await client.start()
        refused = await client.request({}, 0.3)
        assert not refused.failure().sent
        assert errors[0].kind == "malformed"
        await client.close()
        server.close()

    asyncio.run(run())


def test_read_payload_reports_the_end_of_the_stream():
    async def run():
        reader = asyncio.StreamReader()
        reader.feed_data(b"\x00\x00\x00\x05ab")
        reader.feed_eof()
        with pytest.raises(ProtocolFault) as caught:
            await read_payload(reader, 100, TIMEOUT_S, TIMEOUT_S)
        assert caught.value.kind == "closed"

    asyncio.run(run())
