"""Endpoints that answer while the request is still being sent to them."""

import asyncio

import aiohttp
import pytest
import uvloop
from host_harness import (
    AT_MOST_ONCE_ROUTE,
    STREAM_ROUTE,
    HostHarness,
    two_hosts,
)
from proxies import reset_connection
from scripted_endpoint import encode_response, request_id_of
from test_endpoint_paths import cut_links

UPLOAD = b"u" * 3_000_000
EVENT = b"id: 1\ndata: a\n\n"
ENDS = {
    "reset at once": (0.0, False),
    "reset later": (0.05, False),
    "end of its side, then reset": (0.05, True),
}


class EarlyEndpoint:
    """Reads a head alone, sends a response without a length, and breaks off."""

    def __init__(self, after_s, ends_its_side):
        self._after_s, self._ends_its_side = after_s, ends_its_side

    async def start(self):
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"127.0.0.1:{self._server.sockets[0].getsockname()[1]}"

    async def close(self):
        self._server.close()

    async def _serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        writer.transport.pause_reading()
        response = encode_response(
            request_id_of(head),
            EVENT,
            extra=("Content-Type: text/event-stream",),
            framing="Connection: close",
        )
        writer.write(response)
        await asyncio.sleep(self._after_s)
        if self._ends_its_side:
            writer.write_eof()
            await asyncio.sleep(self._after_s)
        reset_connection(writer)


async def upload(session):
    """Send some large requests, of which none may get a success."""
    for number in range(12):
        headers = {
            "Host": "shop.example",
            "X-Gypsumusher-Request-Id": f"r-{number}",
            "X-Gypsumusher-Deadline-Ms": "5000",
        }
        request = session.post("/0/x", headers=headers, data=UPLOAD)
        try:
            async with request as answer:
                body = await answer.read()
        except aiohttp.ClientError:
            continue
        assert answer.status != 200, body


# Guards against a part of an answer that its caller gets as a whole one, because a
# failed write of the upload has taken the reset's error from the socket.
@pytest.mark.parametrize("run_loop", [asyncio.run, uvloop.run])
@pytest.mark.parametrize("name", ENDS)
@pytest.mark.parametrize("route", [AT_MOST_ONCE_ROUTE, STREAM_ROUTE])
def test_answer_reset_during_the_upload_is_not_whole(route, name, run_loop):
    async def scenario():
        harness = HostHarness(routes=(route,))
        harness.endpoints = [EarlyEndpoint(*ENDS[name])]
        async with harness:
            await upload(harness.session)

    run_loop(asyncio.wait_for(scenario(), 30))


# Guards against the same where another host forwards the request.
@pytest.mark.parametrize("name", ENDS)
def test_answer_reset_during_the_upload_through_another_host_is_not_whole(name):
    async def scenario():
        endpoint = EarlyEndpoint(*ENDS[name])
        async with two_hosts(endpoints=[endpoint], route=STREAM_ROUTE) as system:
            cut_links(system.hosts[0])
            await upload(system.sessions[0])

    uvloop.run(asyncio.wait_for(scenario(), 30))
