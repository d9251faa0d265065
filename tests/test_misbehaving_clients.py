"""An entry host bears clients that ignore the protocol's limits, or read no answers."""

import asyncio
import contextlib
from typing import NamedTuple

import pytest
from crowds import STALL_S, misbehave
from host_process import LISTENERS, running_host
from platform_samples import sample_configuration
from scripted_endpoint import ScriptedEndpoint, encode_response, request_id_of

pytestmark = pytest.mark.processes

MEMORY_MB, MAX_FDS = 128, 400
ROUTE = {"kind": "idempotent", "attempts": 1, "timeout_ms": 20_000}
HEAD = b"GET /0/%b HTTP/1.1\r\nHost: shop.example\r\n"
CHUNKED = b"POST /0/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWER_BYTES = 4_000_000
# Receive buffer of a client that reads nothing.
RECEIVE_BYTES = 8192


class Crowd(NamedTuple):
    """Clients that each send some bytes and read nothing."""

    clients: int
    opening: bytes
    repeated: bytes = b""
    times: int = 0
    listener: str = "callers"
    at_once: int = 450


FLOOD = b"x" * 65536
LEGAL_LINES = HEAD % b"slow" + b"a:\r\n" * 4000 + b"\r\n"
LEGAL_PARTS = (
    HEAD % b"slow"
    + b"X-Gypsumusher-Token-Count: 4000,4\r\nX-Gypsumusher-Prompt-Prefix: "
    + b"a:1," * 3900
    + b"b:1\r\n\r\n"
)
CROWDS = {
    "short header lines": Crowd(40, b"", LEGAL_LINES, 16),
    "short header lines at once": Crowd(130, b"", LEGAL_LINES, 1),
    "many parts of prompts at once": Crowd(130, b"", LEGAL_PARTS, 1),
    "header without end": Crowd(12, HEAD % b"x" + b"A: ", FLOOD, 256),
    "header name without end": Crowd(12, HEAD % b"x", FLOOD, 256),
    "trailer without end": Crowd(12, CHUNKED + b"0\r\nA: ", FLOOD, 256),
    "bodies without end": Crowd(
        40, HEAD % b"x" + b"Content-Length: 4000001\r\n\r\n", b"x" * 40_000, 100
    ),
    "bodies that hardly begin": Crowd(
        120, HEAD % b"x" + b"Content-Length: 4000000\r\n\r\n", b"x" * 1000, 2
    ),
    "whole bodies at a slow endpoint": Crowd(
        40, HEAD % b"slow" + b"Content-Length: 4000000\r\n\r\n", b"x" * 40_000, 100
    ),
    "unread answers on all descriptors": Crowd(
        450, b"", b"GET /none HTTP/1.1\r\n\r\n" * 1024, 16, "ready"
    ),
    "unread answers": Crowd(40, HEAD % b"large" + b"\r\n"),
    "unread answers on kept connections": Crowd(
        20, HEAD % b"large" + b"\r\n", LEGAL_LINES, 1
    ),
    **{
        f"requests sent ahead to {name}": Crowd(
            12, b"", b"GET /none HTTP/1.1\r\n\r\n" * 1024, 32, name
        )
        for name in LISTENERS
    },
    **{
        f"idle connections to {name}": Crowd(450, b"", listener=name)
        for name in LISTENERS
    },
    "tunnels with unread answers": Crowd(
        250,
        b"CONNECT ENDPOINT HTTP/1.1\r\n\r\n",
        HEAD % b"large" + b"\r\n",
        times=1,
        listener="peers",
        at_once=20,
    ),
    "blank lines": Crowd(450, b"\r\n" * 16),
    "heads without end": Crowd(450, HEAD % b"x"),
}


async def answer(number, head, body, writer):
    """Answer at once, with many bytes, or not at all, by the path."""
    if b"/slow" in head:
        return
    size = ANSWER_BYTES if b"/large" in head else 5
    writer.write(encode_response(request_id_of(head), b"x" * size))
    await writer.drain()


@contextlib.asynccontextmanager
async def host_with_endpoint(folder):
    """Start a host that serves one route from one endpoint; yield both."""
    endpoint = ScriptedEndpoint(answer)
    configuration = sample_configuration(1, ROUTE)
    async with running_host(
        folder, [endpoint], configuration, MEMORY_MB, MAX_FDS
    ) as host:
        yield host, endpoint


@pytest.mark.parametrize("name", CROWDS)
def test_clients_take_neither_memory_nor_descriptors_of_ordinary_ones(name, tmp_path):
    # Guards against clients that end a host, or keep it from serving others.
    async def scenario():
        crowd = CROWDS[name]
        async with host_with_endpoint(tmp_path) as (host, endpoint):
            address = host.addresses_by_name[crowd.listener]
            opening = crowd.opening.replace(b"ENDPOINT", endpoint.address.encode())
            sent = opening, crowd.repeated, crowd.times, RECEIVE_BYTES
            sockets = []
            while len(sockets) < crowd.clients:
                count = min(crowd.at_once, crowd.clients - len(sockets))
                clients = (misbehave(address, *sent) for _ in range(count))
                sockets += await asyncio.gather(*clients)
            try:
                await asyncio.sleep(STALL_S)
                descriptors = host.count_descriptors()
                status = await host.request("callers", "/0/x")
                peak_mb = host.peak_memory_bytes() / 1e6
                print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors, {status}")
                assert host.exit_code() is None
                assert peak_mb < MEMORY_MB
                assert descriptors < MAX_FDS
                assert status == 200
            finally:
                for sock in sockets:
                    sock.close()

    asyncio.run(scenario())
