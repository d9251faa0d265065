"""The store's client when the store refuses calls, hangs or discards history."""

import asyncio
import json
import time

from platform_samples import sample_configuration, sample_routes
from proxies import Proxy
from scripted_endpoint import ScriptedEndpoint, encode_response

from gypsumusher_platform import StoreClient
from gypsumusher_standins.object_store_server import ObjectStoreServer


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 20))


class StoreFixture:
    """A stand-in for the platform's store, and a client connected to it."""

    async def __aenter__(self):
        self.store = ObjectStoreServer()
        self.client = StoreClient(await self.store.start(), 0.3, time.monotonic)
        return self

    async def __aexit__(self, *_):
        await self.client.close()
        await self.store.close()

    async def error_code(self, call):
        return (await call).failure().code


def test_replace_needs_the_current_revision():
    async def scenario():
        async with StoreFixture() as fixture:
            client = fixture.client
            created = (await client.create("locks", "one", {"x": 1})).unwrap()
            assert (
                await fixture.error_code(client.create("locks", "one", {}))
                == "conflict"
            )
            outdated = client.replace("locks", "one", {"x": 2}, created.revision - 1)
            assert await fixture.error_code(outdated) == "conflict"
            await client.replace("locks", "one", {"x": 2}, created.revision)
            assert (await client.get("locks", "one")).unwrap().content == {"x": 2}
            await client.delete("locks", "one")
            assert await fixture.error_code(client.get("locks", "one")) == "absent"

    run(scenario())


def test_watch_returns_changes_and_the_next_revision():
    async def scenario():
        async with StoreFixture() as fixture:
            fixture.store.put("servers", "e-1", {})
            listing = (await fixture.client.list("servers")).unwrap()
            watch = asyncio.ensure_future(
                fixture.client.watch("servers", listing.revision, 5.0)
            )
            await asyncio.sleep(0.02)
            fixture.store.remove("servers", "e-1")
            changes = (await watch).unwrap()
            assert [item.is_deleted for item in changes.changes] == [True]
            assert changes.revision > listing.revision
            fixture.store.drop_event_history()
            fixture.store.put("servers", "e-2", {})
            fixture.store.drop_event_history()
            expired_watch = fixture.client.watch("servers", listing.revision, 1.0)
            assert await fixture.error_code(expired_watch) == "history_gone"

    run(scenario())


def test_lost_response_is_unknown_and_503_is_refused():
    # Guards against taking a lost response to a write for a failure. The store may have
    # done the write, and repeating it could undo a later one. A 503 in contrast states
    # that the store did nothing.
    async def scenario():
        async with StoreFixture() as fixture:
            fixture.store.fault = "lost"
            lost_call = fixture.client.create("locks", "one", {})
            assert await fixture.error_code(lost_call) == "unknown"
            calls = len(fixture.store.calls)
            assert calls == 1
            fixture.store.fault = "refuse"
            assert (
                await fixture.error_code(fixture.client.get("locks", "one"))
                == "refused"
            )
            fixture.store.fault = "silent"
            assert (
                await fixture.error_code(fixture.client.get("locks", "one"))
                == "unknown"
            )

    run(scenario())


def test_large_configuration_is_read_over_a_slow_link():
    # Guards against a host that never gets its configuration. With thousands of routes
    # and a slow link, each read exceeded its total time limit and started again, so the
    # host refused all callers.
    async def scenario():
        store = ObjectStoreServer()
        link = Proxy(await store.start())
        client = StoreClient(await link.start(), 0.3, time.monotonic)
        content = sample_configuration(1, *sample_routes(1400, {"kind": "idempotent"}))
        store.put("config", "main", content)
        link.bytes_per_s = 400_000.0
        listing = (await client.list("config")).unwrap()
        assert listing.objects[0].content == content
        watch = asyncio.ensure_future(client.watch("config", listing.revision, 0.2))
        await asyncio.sleep(0.02)
        store.put("config", "main", {**content, "version": 2})
        (change,) = (await watch).unwrap().changes
        assert change.object.content["version"] == 2
        for resource in (client, link, store):
            await resource.close()

    run(scenario())


# Guards against a store whose listing never ends, and fills the memory.
def test_listing_without_end_fails():
    async def respond(number, head, body, writer):
        names = [f"{number}-{n}" for n in range(2000)]
        items = [{"metadata": {"name": name, "rev": 1}, "spec": {}} for name in names]
        page = json.dumps({"items": items, "has_more": True, "as_of": 1})
        writer.write(encode_response("", page.encode()))

    async def scenario():
        server = ScriptedEndpoint(respond)
        client = StoreClient(await server.start(), 2.0, time.monotonic)
        error = (await client.list("servers")).failure()
        assert (error.step, error.code) == ("list", "unknown")
        await client.close()
        await server.close()

    run(scenario())
