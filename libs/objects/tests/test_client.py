"""The platform client reports what may have taken effect, and never retries."""

import asyncio
import json
import random
from contextlib import asynccontextmanager

import pytest
from aiohttp import web
from returns.result import Success

from gypsumusher_objects import (
    BudgetLimits,
    CallBudget,
    ListedHost,
    Listing,
    PlatformClient,
    PlatformObject,
    VersionedValue,
    WatchResult,
)

HIGH_LIMITS = BudgetLimits(
    writes_per_s=1e4, reads_per_s=1e4, initial_backoff_s=0.0, max_backoff_s=0.0
)


@asynccontextmanager
async def running_client(*ports, timeout_s=5.0, limits=HIGH_LIMITS):
    urls = [f"http://127.0.0.1:{port}" for port in ports]
    budget = CallBudget(random.Random(1).random, limits)
    client = PlatformClient(urls, "secret", "host-1", timeout_s, budget)
    await client.start()
    try:
        yield client
    finally:
        await client.close()


@asynccontextmanager
async def web_server(handler):
    runner = web.ServerRunner(web.Server(handler))
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    try:
        yield runner.addresses[0][1]
    finally:
        await runner.cleanup()


class RawServer:
    """Sends the next of its replies to each request; None closes the connection."""

    def __init__(self, replies):
        self.replies = list(replies)
        self.requests = []
        self.connections = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return self.server.sockets[0].getsockname()[1]

    async def close(self):
        self.server.close()
        await self.server.wait_closed()

    async def serve(self, reader, writer):
        self.connections += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        await reader.readexactly(int(line.split(b":")[1]))
                self.requests.append(head.split(b" ", 1)[0].decode())
                reply = self.replies.pop(0) if self.replies else None
                if reply is None:
                    return
                writer.write(reply)
                await writer.drain()
                if not self.replies:
                    return
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()


def http_reply(status, body, length=None):
    payload = json.dumps(body).encode() if not isinstance(body, bytes) else body
    size = len(payload) if length is None else length
    head = f"HTTP/1.1 {status} X\r\nContent-Length: {size}\r\nRetry-After: 3\r\n\r\n"
    return head.encode() + payload


def run_against(replies, scenario, **options):
    async def run():
        server = RawServer(replies)
        port = await server.start()
        async with running_client(port, **options) as client:
            await scenario(client, server)
        await server.close()

    asyncio.run(run())


def test_calls_and_their_results():
    seen = []

    async def handler(request):
        body = await request.json() if request.can_read_body else None
        seen.append((request.method, request.raw_path, body))
        assert request.headers["Authorization"] == "Bearer secret"
        assert request.headers["X-Client-Name"] == "host-1"
        item = {"kind": "k", "name": "a/b", "version": 4, "value": {"x": 1}}
        host = {"name": "e", "kind": "engine", "group": "d", "address": "h:1"}
        host |= {"zone": "z", "region": "r", "state": "live"}
        if request.path.startswith("/v1/watch"):
            return web.json_response({"revision": 9, "items": [item], "deleted": ["c"]})
        if request.path == "/v1/hosts":
            return web.json_response({"items": [host]})
        if request.path == "/v1/objects/k":
            return web.json_response({"revision": 8, "items": [item]})
        return web.json_response(item)

    async def run():
        async with web_server(handler) as port, running_client(port) as client:
            item = PlatformObject("k", "a/b", 4, {"x": 1})
            assert await client.read("k", "a/b") == Success(VersionedValue(4, {"x": 1}))
            assert await client.write("k", "a/b", [1], 3) == Success(4)
            assert await client.delete("k", "a/b", 3) == Success(4)
            assert await client.list("k") == Success(Listing(8, [item]))
            change = await client.watch("k", 7, 0.5, name="n")
            assert change == Success(WatchResult(9, [item], ["c"]))
            host = ListedHost("e", "engine", "d", "h:1", "z", "r", "live")
            assert await client.list_hosts() == Success([host])
            assert client.calls == {"GET": 3, "PUT": 1, "DELETE": 1, "WATCH": 1}

    asyncio.run(run())
    assert seen == [
        ("GET", "/v1/objects/k/a%2Fb", None),
        ("PUT", "/v1/objects/k/a%2Fb", {"value": [1], "if_version": 3}),
        ("DELETE", "/v1/objects/k/a%2Fb?if_version=3", None),
        ("GET", "/v1/objects/k", None),
        ("GET", "/v1/watch/k?after=7&timeout_s=0.5&name=n", None),
        ("GET", "/v1/hosts", None),
    ]


def test_broken_connection_does_not_retry_a_write():
    """A host gives up a lease that it holds after a renewal lost its response.

    The keep-alive connection closes after the platform has read the PUT. The HTTP
    library retries the PUT by itself, and the retry fails with a conflict because the
    first PUT has changed the version.
    """

    async def scenario(client, server):
        assert await client.write("leases", "d", {}, 0) == Success(1)
        error = (await client.write("leases", "d", {}, 1)).failure()
        assert (error.kind, error.sent) == ("unavailable", True)
        assert server.requests == ["PUT", "PUT"]
        assert server.connections == 1

    run_against([http_reply(200, {"version": 1}), None], scenario)


@pytest.mark.parametrize(
    "reply, kind, sent",
    [
        (http_reply(409, {"version": 7, "value": {"a": 1}}), "conflict", False),
        (http_reply(413, {}), "invalid", False),
        (http_reply(400, {}), "invalid", False),
        (http_reply(429, {}), "throttled", False),
        (http_reply(503, {}), "unavailable", True),
        (http_reply(500, {}), "unavailable", True),
        (http_reply(302, {}), "unavailable", True),
        (http_reply(200, {"version": 7}, length=400), "unavailable", True),
        (http_reply(200, b"not json"), "unavailable", True),
        (http_reply(200, {"revision": 7}), "unavailable", True),
        (http_reply(200, {"version": True}), "unavailable", True),
        (http_reply(409, {"version": 7}), "unavailable", True),
        (None, "unavailable", True),
    ],
)
def test_a_write_says_whether_it_may_have_taken_effect(reply, kind, sent):
    async def scenario(client, server):
        error = (await client.write("k", "n", {}, 1)).failure()
        assert (error.kind, error.sent) == (kind, sent)
        assert error.step == "PUT /v1/objects/k/n"
        assert error.peer == client.urls[0]
        assert (error.stored == VersionedValue(7, {"a": 1})) == (kind == "conflict")
        assert (error.retry_after_s == 3.0) == (kind == "throttled")
        assert server.requests == ["PUT"]

    run_against([reply], scenario)


def test_absent_objects():
    async def scenario(client, server):
        assert await client.read("k", "n") == Success(None)
        error = (await client.delete("k", "n", 3)).failure()
        assert (error.kind, error.sent, error.stored) == ("conflict", False, None)
        error = (await client.write("k", "n", {}, 3)).failure()
        assert (error.kind, error.stored) == ("conflict", None)
        assert client.is_up()

    absent = http_reply(409, {"version": 0, "value": None})
    run_against([http_reply(404, {}), http_reply(404, {}), absent], scenario)


def test_hanging_platform_is_an_unknown_outcome():
    async def run():
        release = asyncio.Event()

        async def hang(request):
            await release.wait()
            return web.json_response({"version": 1})

        async with web_server(hang) as port:
            async with running_client(port, timeout_s=0.2) as client:
                error = (await client.write("k", "n", {}, 0)).failure()
                assert (error.kind, error.sent) == ("unavailable", True)
            release.set()

    asyncio.run(run())


def test_refused_connect_is_not_sent_and_the_next_address_is_used():
    async def run():
        closed = await asyncio.start_server(lambda r, w: None, "127.0.0.1", 0)
        closed_port = closed.sockets[0].getsockname()[1]
        closed.close()
        await closed.wait_closed()
        server = RawServer([http_reply(200, {"version": 1})])
        port = await server.start()
        async with running_client(closed_port, port) as client:
            error = (await client.write("k", "n", {}, 0)).failure()
            assert (error.kind, error.sent) == ("unavailable", False)
            assert not client.is_up()
            # The failure discarded the unused tokens, but not the urgent reserve.
            written = await client.write("k", "n", {}, 0, urgent=True)
            assert written == Success(1)
        await server.close()

    asyncio.run(run())


def test_call_beyond_the_budget_is_refused_with_the_time_to_wait():
    async def scenario(client, server):
        for _ in range(2):
            await client.write("k", "n", {}, 0, urgent=True)
        error = (await client.write("k", "n", {}, 0, urgent=True)).failure()
        assert (error.kind, error.sent) == ("budget", False)
        assert error.retry_after_s > 0.0
        assert len(server.requests) == 2

    limits = HIGH_LIMITS._replace(writes_per_s=1e-3)
    run_against([http_reply(200, {"version": 1})] * 3, scenario, limits=limits)


# Guards against one value of another writer that hides all others of its page.
@pytest.mark.parametrize("odd", ["[" * 5000 + "]" * 5000, "7" * 5000])
def test_value_that_cannot_be_decoded_is_left_out_of_its_page(odd):
    item = {"kind": "k", "name": "a", "version": 4, "value": {"x": 1}}
    host = {"name": "e", "kind": "engine", "group": "d", "address": "h:1"}
    host |= {"zone": "z", "region": "r", "state": "live"}

    async def handler(request):
        is_hosts = request.path == "/v1/hosts"
        items = [host, "ODD"] if is_hosts else [{**item, "value": "ODD"}, item]
        body = {"revision": 9, "items": items, "deleted": ["c"]}
        text = json.dumps(body).replace('"ODD"', odd)
        return web.Response(text=text, content_type="application/json")

    async def run():
        async with web_server(handler) as port, running_client(port) as client:
            objects = [PlatformObject("k", "a", 4, {"x": 1})]
            assert await client.list("k") == Success(Listing(9, objects))
            change = await client.watch("k", 7, 0.5)
            assert change == Success(WatchResult(9, objects, ["c"]))
            listed = ListedHost("e", "engine", "d", "h:1", "z", "r", "live")
            assert await client.list_hosts() == Success([listed])

    asyncio.run(run())
