"""gypsumusherd bears clients that ignore the protocol's limits."""

import asyncio
from typing import NamedTuple

import aiohttp
import pytest
from crowds import STALL_S, misbehave
from testkit import Fleet

pytestmark = pytest.mark.processes

MEMORY_MB, MAX_DESCRIPTORS = 160, 400
LIMITS = {"max_connections": 200, "max_buffer_bytes": 32_000_000}
UPLOAD = b"POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 4000001\r\n\r\n"


class Crowd(NamedTuple):
    """Clients that each send some bytes and read nothing."""

    clients: int
    opening: bytes = b""
    repeated: bytes = b""
    times: int = 0


CROWDS = {
    "bodies without end": Crowd(40, UPLOAD, b"x" * 40_000, 100),
    "idle connections": Crowd(450),
    "heads without end": Crowd(450, b"GET /v1/models HTTP/1.1\r\n"),
}


@pytest.mark.parametrize("name", CROWDS)
def test_crowd_takes_neither_memory_nor_descriptors_of_ordinary_callers(name):
    """Guards against clients that end a host, or keep it from serving others."""

    async def scenario():
        crowd = CROWDS[name]
        async with Fleet() as fleet:
            await fleet.start_platform()
            host = await fleet.start_host("h1", callers=LIMITS)
            ip, _, port = host.addresses["callers"].rpartition(":")
            sent = crowd.opening, crowd.repeated, crowd.times
            address = ip, int(port)
            clients = (misbehave(address, *sent) for _ in range(crowd.clients))
            sockets = await asyncio.gather(*clients)
            await asyncio.sleep(STALL_S)
            descriptors = host.count_descriptors()
            peak_mb = host.peak_memory_bytes() / 1e6
            print(f"peak {peak_mb:.0f} MB, {descriptors} descriptors")
            async with aiohttp.ClientSession() as session:
                async with session.get(f"http://{ip}:{port}/v1/models") as response:
                    assert response.status == 200
            assert host.exit_code() is None
            assert peak_mb < MEMORY_MB
            assert descriptors < MAX_DESCRIPTORS
            for sock in sockets:
                sock.close()

    asyncio.run(scenario())
