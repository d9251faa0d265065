"""An entry host bears endpoints that answer many requests with bytes without end."""

import asyncio
from collections import Counter
from typing import NamedTuple

import aiohttp
import pytest
from host_process import running_host
from platform_samples import sample_configuration
from scripted_endpoint import (
    ScriptedEndpoint,
    encode_chunk,
    encode_response,
    request_id_of,
)

pytestmark = pytest.mark.processes

MEMORY_MB, MAX_FDS = 128, 1600
# Ordinary clients, and how often each of them sends a request.
CLIENTS, ROUNDS = 200, 2
# The faulty endpoint begins once it has the requests of all clients, or after this
# time, so that its responses come together.
GATHER_S = 2.0
ENDED_WITHIN_S = 60.0
SENT_MAX_BYTES = 32 * 1024 * 1024
SOUND = {"kind": "idempotent", "attempts": 1, "timeout_ms": 20_000}
FAULTY = {**SOUND, "service": "svc-1", "goal_ms": 8000}
STREAM = {**FAULTY, "kind": "stream"}
FLOOD = b"x" * 65536
CHUNKED = "Transfer-Encoding: chunked"
EVENT_STREAM = ("Content-Type: text/event-stream",)
ERROR = "500 Internal Server Error"


class Flood(NamedTuple):
    """A response whose last bytes are repeated without end."""

    route: dict
    repeated: bytes
    opening: bytes = b""
    status: str = "200 OK"
    extra: tuple = ()
    framing: str | None = None


FLOODS = {
    "value of a header": Flood(FAULTY, FLOOD, framing="X: ", opening=b"cut"),
    "interim responses": Flood(
        FAULTY, b"HTTP/1.1 100 Continue\r\n\r\n" * 2048, framing="cut", opening=b"cut"
    ),
    "body in chunks": Flood(FAULTY, encode_chunk(FLOOD), framing=CHUNKED),
    "body with length": Flood(FAULTY, FLOOD, framing="Content-Length: 9000000000"),
    "body without length": Flood(FAULTY, FLOOD, framing="X-Name: value"),
    "one event in chunks": Flood(
        STREAM,
        encode_chunk(FLOOD),
        opening=encode_chunk(b"id: 1\ndata: x\n\nid: 2\ndata: "),
        extra=EVENT_STREAM,
        framing=CHUNKED,
    ),
    "one event in small chunks": Flood(
        STREAM,
        encode_chunk(b"x" * 64) * 900,
        opening=encode_chunk(b"id: 1\ndata: x\n\nid: 2\ndata: "),
        extra=EVENT_STREAM,
        framing=CHUNKED,
    ),
    "error of a stream": Flood(
        STREAM, encode_chunk(FLOOD), status=ERROR, framing=CHUNKED
    ),
}


def opening_of(flood, request_id):
    """Return the bytes before those that are repeated."""
    head = encode_response(request_id, b"", flood.status, flood.extra, flood.framing)
    if flood.opening == b"cut":
        # The head has no end.
        head = head.removesuffix(b"\r\n\r\n").removesuffix(b"cut")
        return b"" if flood.framing == "cut" else head
    return head + flood.opening


def floods(flood, counts):
    """Return the script of an endpoint that sends a flood to all requests at once."""
    waiting = []

    async def respond(number, head, body, writer):
        released = asyncio.Event()
        waiting.append(released)
        if len(waiting) < CLIENTS:
            try:
                await asyncio.wait_for(released.wait(), GATHER_S)
            except TimeoutError:
                pass
        counts["together"] = max(counts["together"], len(waiting))
        for event in waiting:
            event.set()
        waiting.clear()
        counts["requests"] += 1
        writer.write(opening_of(flood, request_id_of(head)))
        for _ in range(SENT_MAX_BYTES // len(flood.repeated)):
            writer.write(flood.repeated)
            await writer.drain()
            counts["bytes"] += len(flood.repeated)
        await asyncio.Event().wait()

    return respond


async def answer(number, head, body, writer):
    writer.write(encode_response(request_id_of(head)))
    await writer.drain()


async def send_ordinary(session, url, number, outcomes):
    """Send requests one after the other; count how they end."""
    for round_number in range(ROUNDS):
        headers = {
            "Host": "shop.example",
            "X-Gypsumusher-Request-Id": f"r-{number}-{round_number}",
        }
        try:
            async with session.get(url, headers=headers) as response:
                async for _ in response.content.iter_any():
                    pass
                outcomes[response.status] += 1
        except aiohttp.ClientError as error:
            outcomes[type(error).__name__] += 1


@pytest.mark.parametrize("name", FLOODS)
def test_endpoint_that_sends_without_end_takes_no_memory_of_others(name, tmp_path):
    # Guards against endpoints whose responses end a host by their sum.
    async def scenario():
        flood, counts, outcomes = FLOODS[name], Counter(), Counter()
        configuration = sample_configuration(1, SOUND, flood.route)
        configuration["services"] = [
            {"name": name, "health_path": "/healthz", "max_conns": 400}
            for name in ("svc", "svc-1")
        ]
        endpoints = [ScriptedEndpoint(answer), ScriptedEndpoint(floods(flood, counts))]
        async with (
            running_host(
                tmp_path, endpoints, configuration, MEMORY_MB, MAX_FDS
            ) as host,
            aiohttp.ClientSession(
                connector=aiohttp.TCPConnector(limit=0),
                timeout=aiohttp.ClientTimeout(ENDED_WITHIN_S),
            ) as session,
        ):
            base_mb = host.peak_memory_bytes() / 1e6
            ip, port = host.addresses_by_name["callers"]
            url = f"http://{ip}:{port}/1/x"
            async with asyncio.timeout(ENDED_WITHIN_S):
                await asyncio.gather(
                    *(
                        send_ordinary(session, url, number, outcomes)
                        for number in range(CLIENTS)
                    )
                )
            assert host.exit_code() is None
            status = await host.request("callers", "/0/x")
            peak_mb = host.peak_memory_bytes() / 1e6
            print(f"peak {peak_mb:.0f} MB of {base_mb:.0f}, {status}, {counts}")
            print(outcomes)
            assert host.exit_code() is None
            assert peak_mb < MEMORY_MB
            assert status == 200

    asyncio.run(scenario())
