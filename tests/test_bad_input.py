"""Malformed, oversized, slow and unauthenticated input gets clear errors."""

import asyncio
import json
import pathlib
import random
import socket
import subprocess
import sys

import aiohttp
import pytest
from testkit import FAST_SETTINGS, Fleet, merge_nested, wait_until
from yaml import safe_dump

from gypsumusher_peers import Identity, KeyRing, PeerClient
from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes

FUZZ_SEED = 20261202
FUZZ_ROUNDS = 150
MEMORY_GROWTH_LIMIT_BYTES = 80 * 1024 * 1024
COMPLETIONS = "/v1/completions"
UNREAD_TOKENS = 40_000
# The host buffers 1 MiB for one response; the rest allows for libraries and the heap.
UNREAD_LIMIT_BYTES = 2 * 1024 * 1024


def memory_bytes(process):
    """Return the resident memory of a process."""
    status = pathlib.Path(f"/proc/{process.pid}/status").read_text()
    line = next(line for line in status.splitlines() if line.startswith("VmRSS"))
    return int(line.split()[1]) * 1024


async def assert_serves(host):
    response = await host.complete("a letter after all that", 8)
    assert response.text == expected_text("a letter after all that", 8)


async def send_raw(address, data):
    """Send bytes on a new connection, half-close it and return the response."""
    ip, port = address.split(":")
    reader, writer = await asyncio.open_connection(ip, int(port))
    try:
        writer.write(data)
        writer.write_eof()
        async with asyncio.timeout(10):
            return await reader.read()
    except (ConnectionError, OSError):
        return b""
    finally:
        writer.transport.abort()


BAD_BODIES = [
    (b"", 400, "malformed"),
    (b"{", 400, "malformed"),
    (b"\xff\xfe", 400, "malformed"),
    (b"[" * 100_000, 400, "malformed"),
    (b"[]", 400, "malformed"),
    ({"model": 3, "prompt": "x"}, 400, "malformed"),
    ({"model": "letter-models"}, 400, "malformed"),
    ({"model": "letter-models", "prompt": ["x"]}, 400, "malformed"),
    ({"model": "letter-models", "prompt": "x", "max_tokens": -1}, 400, "malformed"),
    ({"model": "letter-models", "prompt": "x", "max_tokens": 1e9}, 400, "malformed"),
    ({"model": "letter-models", "prompt": "x", "stream": "yes"}, 400, "malformed"),
    ({"model": "nobody", "prompt": "x"}, 404, "unknown_deployment"),
]
BAD_HEADERS = [
    ({"Gypsumusher-Class": "nothing"}, 400, "malformed"),
    ({"Gypsumusher-Deadline-S": "soon"}, 400, "malformed"),
    ({"Gypsumusher-Deadline-S": "nan"}, 400, "malformed"),
    ({"Gypsumusher-Deadline-S": "-1"}, 408, "deadline_passed"),
    ({"Gypsumusher-Idempotent": "maybe"}, 400, "malformed"),
    ({"Gypsumusher-Tenant": "x" * 300}, 400, "malformed"),
    ({"Idempotency-Key": "x" * 300}, 400, "malformed"),
    ({"Idempotency-Key": "gk1.made-up"}, None, None),
]


def test_invalid_requests_of_callers_get_error_codes():
    async def run():
        async with Fleet() as fleet:
            limits = {"max_body_bytes": 200_000, "body_timeout_s": 0.5}
            hosts, engines = await fleet.start_system(
                hosts=1, engines=1, callers=limits
            )
            host = hosts[0]
            for body, status, code in BAD_BODIES:
                response = await host.call("POST", COMPLETIONS, body)
                assert response.status == status, (body, response)
                assert response.error["code"] == code
                assert response.error["run"] == "no"
            for headers, status, code in BAD_HEADERS:
                response = await host.complete("x", 4, headers)
                if status is None:
                    assert response.status in {200, 400, 409}, response
                    continue
                assert response.status == status, (headers, response)
                assert response.error["code"] == code
            large = await host.complete("x" * 300_000, 4)
            assert large.status == 413
            assert large.error["code"] == "too_large"
            counters = await engines[0].counters()
            assert sum(counters["requests"].values()) <= 1
            await assert_serves(host)

    asyncio.run(run())


def test_arbitrary_bytes_on_every_listener():
    """Guards against uncaught errors and unbounded buffers on malformed input.

    Random bytes, truncated requests and huge declared lengths arrive on the callers',
    the operators' and the peers' listener.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=1)
            host = hosts[0]
            rng = random.Random(FUZZ_SEED)
            await assert_serves(host)
            before_bytes = memory_bytes(host)
            heads = [
                b"",
                b"POST /v1/completions HTTP/1.1\r\n",
                b"POST /v1/completions HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n",
                b"GET /v1/keys/%ff%00 HTTP/1.1\r\nHost: x\r\n\r\n",
                b"\x00\x00\x01\x00",
                b"\x7f\xff\xff\xff",
                b"\x00\x00\x00\x08\xdf\xff\xff\xff\xff",
            ]
            for number in range(FUZZ_ROUNDS):
                listener = ("callers", "operators", "peers")[number % 3]
                data = rng.choice(heads) + rng.randbytes(rng.randrange(400))
                await send_raw(host.addresses[listener], data)
            assert memory_bytes(host) - before_bytes < MEMORY_GROWTH_LIMIT_BYTES
            assert host.exit_code() is None
            assert "Traceback" not in host.log_text()
            await assert_serves(host)

    asyncio.run(run())


def test_slow_senders_block_no_other_caller():
    async def run():
        async with Fleet() as fleet:
            limits = {"body_timeout_s": 0.5}
            hosts, _ = await fleet.start_system(hosts=1, engines=1, callers=limits)
            ip, port = hosts[0].addresses["callers"].split(":")
            head = b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n"
            connections = []
            for number in range(200):
                connection = await asyncio.open_connection(ip, int(port))
                connection[1].write(head if number % 2 else head + b"\r\n{")
                connections.append(connection)
            await assert_serves(hosts[0])
            for reader, writer in connections:
                async with asyncio.timeout(10):
                    await reader.read()
                writer.transport.abort()
            await assert_serves(hosts[0])

    asyncio.run(run())


def test_callers_reach_neither_operators_nor_peers():
    """Guards against callers that change the configuration or act as a peer.

    A caller tries the operators' routes on the callers' listener, the operators'
    listener with a missing or wrong token, and the peers' listener without the key.
    Each listener must serve only its own routes.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=1)
            host = hosts[0]
            paths = ["/admin/status", "/admin/config", "/admin/config/history"]
            for path in paths:
                assert (await host.call("GET", path)).status == 404
                for headers in ({}, {"Authorization": "Bearer wrong"}):
                    response = await host.call("GET", path, None, headers, "operators")
                    assert response.status == 401, response
            body = {"base_number": 1, "patch": {}, "patch_id": "p"}
            response = await host.call(
                "POST", "/admin/config/patch", body, {}, "operators"
            )
            assert response.status == 401
            assert (await host.admin("GET", "/status")).status == 200
            assert (
                await host.call("GET", "/v1/entry", None, {}, "operators")
            ).status in {
                401,
                404,
            }
            http = b"GET /admin/status HTTP/1.1\r\nHost: x\r\n\r\n"
            assert await send_raw(host.addresses["peers"], http) == b""

    asyncio.run(run())


def test_peer_with_a_wrong_key_is_rejected():
    """Guards against accepting state from an unauthenticated process.

    The process uses the peers' protocol with another key. A host that accepted any
    connection could be given a foreign configuration.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=1)
            ip, port = hosts[0].addresses["peers"].split(":")
            keys = KeyRing([("k1", "not the secret of the test hosts")])
            identity = Identity("h2", "made-up")
            client = PeerClient(ip, int(port), identity, keys)
            await client.start()
            result = await client.request({"type": "gossip", "config": 99}, 0.5)
            error = result.failure()
            assert error.kind == "handshake"
            assert not error.sent
            await client.close()

            async def is_logged():
                return "event=peer_error" in hosts[0].log_text()

            await wait_until(is_logged, "the failed handshake to be logged")
            rows = (await hosts[0].status())["hosts"]
            assert [row["name"] for row in rows] == ["h1"]
            await assert_serves(hosts[0])

    asyncio.run(run())


def test_invalid_messages_of_peers_change_nothing():
    """Guards against a host that fails on messages from another version.

    A process with the right key sends messages with wrong types and shapes. Each
    message has to be validated before it is used.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=1)
            ip, port = hosts[0].addresses["peers"].split(":")
            key = FAST_SETTINGS["peers"]["keys"][0]
            client = PeerClient(
                ip,
                int(port),
                Identity("h9", "made-up"),
                KeyRing([(key["id"], key["secret"])]),
            )
            await client.start()
            wrong = [None, 3, "text", [], [1], {}, {"a": 1}, {"a": None}]
            fields = ["type", "state", "config", "loads", "demands", "leaving"]
            fields += ["suspicions", "convictions", "record", "hash", "stream_id"]
            for kind in ("gossip", "head", "section", "crash", "introduce", "x"):
                for field in fields:
                    for value in wrong:
                        message = {"type": kind, field: value}
                        await client.request(message, 2.0)
            await client.close()
            assert (await hosts[0].status())["config_number"] == 1
            assert await hosts[0].is_ready()
            await assert_serves(hosts[0])

    asyncio.run(run())


SETTINGS_FAULTS = [
    ({"callers": {"prot": 1}}, "callers.prot"),
    ({"callers": {"port": "http"}}, "callers.port"),
    ({"callers": {"port": 70000}}, "callers.port"),
    ({"peers": {"keys": []}}, "peers.keys"),
    ({"peers": {"keys": [{"id": "k1", "secret": "short"}]}}, "peers.keys"),
    ({"operators": {"token": "short"}}, "operators.token"),
    ({"stewards": {"lease": 5}}, "stewards.lease"),
    ({"platform": {"urls": "http://x"}}, "platform.urls"),
    ({"host": {"name": None}}, "host.name"),
]


@pytest.mark.parametrize("fault, key", SETTINGS_FAULTS)
def test_invalid_settings_report_their_key_and_exit_with_code_2(tmp_path, fault, key):
    good = {
        "host": {"name": "h1", "zone": "suwon-a"},
        "platform": {"urls": ["http://127.0.0.1:1"]},
    }
    path = tmp_path / "settings.yaml"
    path.write_text(safe_dump(merge_nested(merge_nested(FAST_SETTINGS, good), fault)))
    argv = [sys.executable, "-m", "gypsumusher_daemon", "--settings", str(path)]
    completed = subprocess.run([*argv, "--check"], capture_output=True, text=True)
    assert completed.returncode == 2, completed
    assert key in completed.stderr
    assert str(path) in completed.stderr
    assert "Traceback" not in completed.stderr


@pytest.mark.parametrize("text", ["", "[]", "{", "a: b: c", "\x00", "host: {"])
def test_malformed_settings_files_exit_with_code_2(tmp_path, text):
    path = tmp_path / "settings.yaml"
    path.write_text(text)
    argv = [sys.executable, "-m", "gypsumusher_daemon", "--settings", str(path)]
    completed = subprocess.run([*argv, "--check"], capture_output=True, text=True)
    assert completed.returncode == 2, completed
    assert "Traceback" not in completed.stderr


def test_address_in_use_exits_with_a_message():
    async def run():
        async with Fleet() as fleet:
            await fleet.start_platform()
            with socket.socket() as taken:
                taken.bind(("127.0.0.1", 0))
                taken.listen()
                port = taken.getsockname()[1]
                with pytest.raises(Exception, match="gypsumusherd: step=listen"):
                    await fleet.start_host("h1", callers={"port": port})
            log = fleet.processes[-1].log_text()
            assert fleet.processes[-1].exit_code() == 1
            assert "Traceback" not in log

    asyncio.run(run())


def test_callers_that_never_read_use_bounded_memory():
    """Guards against unbounded memory use for callers that do not read.

    Two callers request long streams and never read them, while the engine generates
    them to the end. Events that were kept until read would fill the host's memory.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=0)
            engine = await fleet.start_engine("e1", speed=1000)
            await fleet.wait_until_served(hosts, 1)
            full_response = await hosts[0].complete(
                "a letter", UNREAD_TOKENS, stream=True
            )
            unread_bytes = len(full_response.body)
            assert unread_bytes > 3 * UNREAD_LIMIT_BYTES
            before_bytes = memory_bytes(hosts[0])
            sockets = [send_unread(hosts[0], f"unread {n}") for n in range(2)]

            async def has_finished():
                counters = await engine.counters()
                return len(counters["prompts"]) == 3 and not counters["running"]

            await wait_until(has_finished, "the engine to finish")
            assert memory_bytes(hosts[0]) - before_bytes < 2 * UNREAD_LIMIT_BYTES
            await assert_serves(hosts[0])
            for unread in sockets:
                unread.close()

    asyncio.run(run())


def send_unread(host, prompt):
    """Request a long stream on a socket that is never read; return the socket."""
    ip, port = host.addresses["callers"].split(":")
    unread = socket.socket()
    # A small receive buffer keeps the kernel from buffering the whole stream.
    unread.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    unread.connect((ip, int(port)))
    body = json.dumps(
        {
            "model": "letter-models",
            "prompt": prompt,
            "max_tokens": UNREAD_TOKENS,
            "stream": True,
        }
    )
    head = f"POST {COMPLETIONS} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}"
    unread.sendall(f"{head}\r\n\r\n{body}".encode())
    return unread


def test_unknown_routes_are_refused_with_json_errors():
    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=1)
            for method, path in (
                ("GET", COMPLETIONS),
                ("POST", "/v1/nothing"),
                ("GET", "/v1/services/nobody/x"),
            ):
                response = await hosts[0].call(method, path)
                assert response.status in {404, 405}, response
                assert response.error["code"]
                assert response.error["message"]
            with pytest.raises(aiohttp.ClientError):
                await fleet.session.get(f"http://{hosts[0].addresses['peers']}/")

    asyncio.run(run())
