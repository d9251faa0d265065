"""Entry hosts before stand-ins of the store and of endpoints, for tests."""

import asyncio

import aiohttp
from platform_samples import configuration, entry
from replies import ScriptedEndpoint

from gypsumusher_entry.host import EntryHost
from gypsumusher_ports import Bounds, HostSettings
from gypsumusher_standins.object_store import ObjectStore

__all__ = [
    "ANY",
    "BOUNDS",
    "ONCE",
    "RESUMABLE",
    "STREAM",
    "World",
    "configuration",
    "entry",
    "run",
    "settings",
    "until",
]

BOUNDS = Bounds(2.0, 2.0, 8.0, 3.0, 3.0, 0.3, 0.2, 54.0, 10.0, 5.0, False)
ANY = {"kind": "idempotent", "attempts": 2}
ONCE = {"kind": "non_idempotent", "attempts": 1}
STREAM = {"kind": "stream", "attempts": 1, "sticky": True}
RESUMABLE = {"kind": "stream", "attempts": 2, "sticky": True, "resumable": True}


def run(coroutine):
    return asyncio.run(asyncio.wait_for(coroutine, 30))


def settings(store_address, ip="127.0.0.1", name="host-1", seeds=(), port=0):
    return HostSettings(
        name, ip, "zone-a", "region", f"{ip}:0", f"{ip}:0", f"{ip}:0", f"{ip}:0", port,
        seeds, store_address, False, 1.0, 1000.0, BOUNDS,
    )  # fmt: skip


class World:
    """A store, scripted endpoints, and one host before them."""

    def __init__(self, *scripts, routes=(ANY,)):
        self.endpoints = [ScriptedEndpoint(script) for script in scripts]
        self.routes = routes
        self.log_lines = []
        self.store = ObjectStore()

    def log(self, level, event, **fields):
        self.log_lines.append((event, fields))

    async def __aenter__(self):
        store_address = await self.store.start()
        self.store.put("config", "main", configuration(1, *self.routes))
        for number, endpoint in enumerate(self.endpoints):
            address = await endpoint.start()
            self.store.put("servers", f"e-{number}", entry(address))
        self.host = EntryHost(settings(store_address), self.log)
        self.addresses = await self.host.start()
        await until(
            lambda: len(self.host.context.endpoints.states) == len(self.endpoints)
        )
        self.session = aiohttp.ClientSession(
            base_url=f"http://{self.addresses['callers']}"
        )
        return self

    async def __aexit__(self, *_):
        await self.session.close()
        await self.host.close()
        for endpoint in self.endpoints:
            await endpoint.close()
        await self.store.close()

    async def ask(self, path="/0/x", method="GET", request_id="r-1", **headers):
        headers = {
            "Host": "shop.example",
            "X-Gypsumusher-Request-Id": request_id,
            "X-Gypsumusher-Deadline-Ms": "1500",
            **headers,
        }
        async with self.session.request(method, path, headers=headers) as answer:
            return answer.status, dict(answer.headers), await answer.read()

    def arrivals(self):
        return sum(len(endpoint.requests) for endpoint in self.endpoints)


async def until(condition):
    """Wait for a condition; the test's own time limit ends a wait in vain."""
    while not condition():
        await asyncio.sleep(0.005)
