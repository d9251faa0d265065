"""The store's client against a stand-in that refuses, falls silent and forgets."""

import asyncio
import time

from platform_samples import sample_configuration, sample_routes
from proxies import Proxy

from gypsumusher_platform import StoreClient
from gypsumusher_standins.object_store import ObjectStore


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 20))


class Setting:
    """A stand-in of the store and a client of it."""

    async def __aenter__(self):
        self.store = ObjectStore()
        self.client = StoreClient(await self.store.start(), 0.3, time.monotonic)
        return self

    async def __aexit__(self, *_):
        await self.client.close()
        await self.store.close()

    async def code(self, call):
        return (await call).failure().code


def test_objects_change_only_at_the_revision_they_were_read_at():
    async def scenario():
        async with Setting() as setting:
            client = setting.client
            made = (await client.create("locks", "one", {"x": 1})).unwrap()
            assert await setting.code(client.create("locks", "one", {})) == "conflict"
            late = client.replace("locks", "one", {"x": 2}, made.revision - 1)
            assert await setting.code(late) == "conflict"
            await client.replace("locks", "one", {"x": 2}, made.revision)
            assert (await client.get("locks", "one")).unwrap().content == {"x": 2}
            await client.delete("locks", "one")
            assert await setting.code(client.get("locks", "one")) == "absent"

    run(scenario())


def test_a_watch_tells_what_changed_and_where_to_go_on():
    async def scenario():
        async with Setting() as setting:
            setting.store.put("servers", "e-1", {})
            listing = (await setting.client.list("servers")).unwrap()
            watch = asyncio.ensure_future(
                setting.client.watch("servers", listing.revision, 5.0)
            )
            await asyncio.sleep(0.02)
            setting.store.remove("servers", "e-1")
            changes = (await watch).unwrap()
            assert [item.is_deleted for item in changes.changes] == [True]
            assert changes.revision > listing.revision
            setting.store.forget_history()
            setting.store.put("servers", "e-2", {})
            setting.store.forget_history()
            gone = setting.client.watch("servers", listing.revision, 1.0)
            assert await setting.code(gone) == "history_gone"

    run(scenario())


def test_what_a_lost_answer_means_is_left_open_and_a_refusal_is_not():
    # A write's answer is lost: it may have been done, and repeating it blindly could
    # undo a later one. A 503 says that nothing was done.
    async def scenario():
        async with Setting() as setting:
            setting.store.fault = "lost"
            lost = setting.client.create("locks", "one", {})
            assert await setting.code(lost) == "unknown"
            calls = len(setting.store.calls)
            assert calls == 1
            setting.store.fault = "refuse"
            assert await setting.code(setting.client.get("locks", "one")) == "refused"
            setting.store.fault = "silent"
            assert await setting.code(setting.client.get("locks", "one")) == "unknown"

    run(scenario())


def test_a_large_configuration_is_read_over_a_weak_link():
    # A host with a weak link starts under a configuration of thousands of routes. Each
    # read of it took longer than a read may, and was given up and begun again, so that
    # the host never knew a configuration, and refused all its callers.
    async def scenario():
        store = ObjectStore()
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
        for part in (client, link, store):
            await part.close()

    run(scenario())
