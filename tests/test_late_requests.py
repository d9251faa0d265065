"""A deployed entry host answers every request that it takes during a planned stop."""

import asyncio
import signal
from typing import NamedTuple

import pytest
from deployed_host import GRACE_S, DeployedHost
from platform_samples import sample_configuration, sample_endpoint_entry
from scripted_endpoint import (
    ScriptedEndpoint,
    encode_chunk,
    encode_response,
    request_id_of,
)

from gypsumusher_standins.object_store_server import ObjectStoreServer

pytestmark = pytest.mark.processes

WORKS_S = (0.1, 3.0, 6.0)
KINDS = (
    {"kind": "idempotent", "attempts": 2},
    {"kind": "non_idempotent", "attempts": 1},
    {"kind": "stream", "attempts": 1, "sticky": True},
)
ROUTES = [
    {**kind, "timeout_ms": 20000, "goal_ms": 1000 * work_s}
    for kind in KINDS
    for work_s in WORKS_S
]
IS_STREAM = [route["kind"] == "stream" for route in ROUTES]
# Moments after the signal at which requests are sent; later, the host stops listening.
MOMENTS_S = (0.1, 1.0, 2.0)
EVENTS = 10


class Answer(NamedTuple):
    """What a caller got: the status, 0 for none, and whether it is complete."""

    request_id: str
    route: int
    moment_s: float
    status: int
    is_complete: bool


async def work(number, head, body, writer):
    """Work as long as the route says, before the response or between events."""
    route = int(head.split(b" ")[1].split(b"/")[1])
    work_s = WORKS_S[route % len(WORKS_S)]
    if not IS_STREAM[route]:
        await asyncio.sleep(work_s)
        writer.write(encode_response(request_id_of(head)))
        return
    framing, kind = "Transfer-Encoding: chunked", "Content-Type: text/event-stream"
    writer.write(
        encode_response(request_id_of(head), b"", extra=(kind,), framing=framing)
    )
    for count in range(EVENTS):
        writer.write(encode_chunk(b"id: %d\ndata: a\n\n" % count))
        await asyncio.sleep(work_s / EVENTS)
    writer.write(b"0\r\n\r\n")


async def ask(connection, route, request_id, moment_s=0.0):
    """Send one request over a connection; return its `Answer`."""
    reader, writer = connection
    lines = [
        f"POST /{route}/x HTTP/1.1",
        "Host: shop.example",
        f"X-Gypsumusher-Request-Id: {request_id}",
        "X-Gypsumusher-Deadline-Ms: 20000",
        "Content-Length: 0",
    ]
    status, is_complete = 0, False
    try:
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        status = int(head.split(b" ")[1])
        if b"transfer-encoding: chunked" in head:
            await reader.readuntil(b"\r\n0\r\n\r\n")
        else:
            length = int(head.split(b"content-length: ")[1].split(b"\r\n")[0])
            await reader.readexactly(length)
        is_complete = True
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    return Answer(request_id, route, moment_s, status, is_complete)


async def ask_at(host, stopped_s, kept, route, moment_s):
    """Ask at a moment of the stop, over a kept connection or a new one."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(stopped_s + moment_s - loop.time())
    kind = "new" if kept is None else "kept"
    connection = kept or await asyncio.open_connection(host.ip, host.ports["front"])
    answer = await ask(connection, route, f"{kind}-{route}-{moment_s}", moment_s)
    connection[1].close()
    return answer


async def ask_during_a_stop(host):
    """Stop a host as planned while callers ask; return their answers."""
    front = host.ip, host.ports["front"]
    kept = []
    for route in range(len(ROUTES)):
        for moment_s in MOMENTS_S:
            connection = await asyncio.open_connection(*front)
            kept.append((route, moment_s, connection))
    # Each connection has served a request, from which the host learns the times.
    earlier = await asyncio.gather(
        *(
            ask(connection, route, f"earlier-{route}-{moment_s}")
            for route, moment_s, connection in kept
        )
    )
    assert all(answer.status == 200 and answer.is_complete for answer in earlier)
    stopped_s = asyncio.get_running_loop().time()
    host.send_signal(signal.SIGTERM)
    return await asyncio.gather(
        *(
            ask_at(host, stopped_s, connection, route, moment_s)
            for route, moment_s, kept_connection in kept
            for connection in (None, kept_connection)
        )
    )


def test_each_request_in_a_stop_is_served_or_truly_refused(tmp_path):
    """Guards against requests that are passed on and then closed without a response."""

    async def main():
        store, endpoint = ObjectStoreServer(), ScriptedEndpoint(work)
        store_address = await store.start()
        configuration = sample_configuration(1, *ROUTES)
        configuration["services"][0]["max_conns"] = 1000
        store.put("config", "main", configuration)
        entry = sample_endpoint_entry(await endpoint.start(), slots=1000)
        store.put("servers", "e-0", entry)
        host = DeployedHost(tmp_path, store_address)
        try:
            host.spawn()
            await host.until_listening("front")
            await host.until_logged("event=ready")
            answers = await ask_during_a_stop(host)
            assert await host.wait_for_exit() == 0
        finally:
            host.destroy()
            await endpoint.close()
            await store.close()
        arrived = {request_id_of(head) for head, _ in endpoint.requests}
        assert not [answer for answer in answers if not answer.is_complete]
        for answer in answers:
            assert answer.status in (200, 503), answer
            assert (answer.request_id in arrived) == (answer.status == 200), answer
        for answer in answers:
            work_s = WORKS_S[answer.route % len(WORKS_S)]
            if work_s == WORKS_S[0]:
                assert answer.status == 200, answer
            if answer.moment_s + work_s > GRACE_S:
                assert answer.status == 503, answer

    asyncio.run(asyncio.wait_for(main(), 60))
