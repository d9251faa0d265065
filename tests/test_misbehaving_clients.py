"""An entry host bears clients that ignore the protocol's limits, or read no answers."""

import asyncio
import contextlib
import pathlib
import socket
import sys
from typing import NamedTuple

import aiohttp
import pytest
from platform_samples import sample_configuration, sample_endpoint_entry
from processes import Process, free_ports
from scripted_endpoint import ScriptedEndpoint, encode_response, request_id_of
from testkit import wait_until

from gypsumusher_standins.object_store_server import ObjectStoreServer

pytestmark = pytest.mark.processes

MEMORY_MB, MAX_FDS = 128, 400
SETTINGS = """node = "host-1"
ip = "127.0.0.1"
zone = "zone-a"
port_range = [{datagrams}, {datagrams}]

[listen]
front = "127.0.0.1:{callers}"
ready = "127.0.0.1:{ready}"
directory = "127.0.0.1:{directory}"
control = "127.0.0.1:{peers}"

[platform_store]
addr = "{store}"

[limits]
memory_mb = {memory_mb}
max_fds = {max_fds}
"""
LISTENERS = ("callers", "ready", "directory", "peers", "metrics")
ROUTE = {"kind": "idempotent", "attempts": 1, "timeout_ms": 20_000}
HEAD = b"GET /0/%b HTTP/1.1\r\nHost: shop.example\r\n"
CHUNKED = b"POST /0/x HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
ANSWER_BYTES = 4_000_000
# A client stops to send when the host takes nothing for this long.
STALL_S = 1.0


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
CROWDS = {
    "short header lines": Crowd(40, b"", LEGAL_LINES, 16),
    "header without end": Crowd(12, HEAD % b"x" + b"A: ", FLOOD, 256),
    "header name without end": Crowd(12, HEAD % b"x", FLOOD, 256),
    "trailer without end": Crowd(12, CHUNKED + b"0\r\nA: ", FLOOD, 256),
    "bodies without end": Crowd(
        40, HEAD % b"x" + b"Content-Length: 4000001\r\n\r\n", b"x" * 40_000, 100
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


class HostProcess(Process):
    """The program of an entry host, with a store and an endpoint of its own."""

    def __init__(self, store, endpoint, folder):
        self.endpoint = endpoint.encode()
        names = (*LISTENERS, "datagrams")
        ports = dict(zip(names, free_ports("127.0.0.1", len(names))))
        self.addresses_by_name = {
            name: ("127.0.0.1", port) for name, port in ports.items()
        }
        path = folder / "host.toml"
        path.write_text(
            SETTINGS.format(store=store, memory_mb=MEMORY_MB, max_fds=MAX_FDS, **ports)
        )
        argv = ["/usr/bin/env", f"GYPSUMUSHER_SETTINGS={path}", sys.executable]
        argv += ["-m", "gypsumusher_entry", "--metrics-port", str(ports["metrics"])]
        super().__init__("host-1", argv, folder / "host.log")

    async def request(self, listener, path):
        """Return the status of one ordinary request on a connection of its own."""
        ip, port = self.addresses_by_name[listener]
        headers = {"Host": "shop.example", "X-Gypsumusher-Request-Id": "ordinary"}
        async with aiohttp.ClientSession(headers=headers) as session:
            async with session.get(f"http://{ip}:{port}{path}") as response:
                await response.read()
                return response.status

    async def serves(self):
        try:
            return await self.request("callers", "/0/x") == 200
        except aiohttp.ClientError:
            return False

    def peak_memory_bytes(self):
        status = pathlib.Path(f"/proc/{self.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * 1024

    def count_descriptors(self):
        return len(list(pathlib.Path(f"/proc/{self.pid}/fd").iterdir()))


@contextlib.asynccontextmanager
async def running_host(folder):
    """Start a host that serves one route from one endpoint."""
    store, endpoint = ObjectStoreServer(), ScriptedEndpoint(answer)
    address, endpoint_address = await store.start(), await endpoint.start()
    store.put("config", "main", sample_configuration(1, ROUTE))
    store.put("servers", "e-0", sample_endpoint_entry(endpoint_address))
    host = HostProcess(address, endpoint_address, folder)
    try:
        host.spawn()
        await wait_until(host.serves, "host serves")
        yield host
    finally:
        host.destroy()
        await endpoint.close()
        await store.close()


async def misbehave(crowd, host):
    """Connect one client and send its bytes; return its socket, which stays open."""
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8192)
    await loop.sock_connect(sock, host.addresses_by_name[crowd.listener])
    opening = crowd.opening.replace(b"ENDPOINT", host.endpoint)
    with contextlib.suppress(OSError, TimeoutError):
        await loop.sock_sendall(sock, opening)
        if opening.startswith(b"CONNECT"):
            async with asyncio.timeout(STALL_S):
                await loop.sock_recv(sock, 100)
        for data in [crowd.repeated] * crowd.times:
            async with asyncio.timeout(STALL_S):
                await loop.sock_sendall(sock, data)
    return sock


@pytest.mark.parametrize("name", CROWDS)
def test_clients_take_neither_memory_nor_descriptors_of_ordinary_ones(name, tmp_path):
    # Guards against clients that end a host, or keep it from serving others.
    async def scenario():
        crowd = CROWDS[name]
        async with running_host(tmp_path) as host:
            sockets = []
            while len(sockets) < crowd.clients:
                count = min(crowd.at_once, crowd.clients - len(sockets))
                clients = (misbehave(crowd, host) for _ in range(count))
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
