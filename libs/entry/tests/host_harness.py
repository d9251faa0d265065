"""Entry hosts with stand-ins of the store and of endpoints, for tests."""

import asyncio
import contextlib
from typing import NamedTuple

import aiohttp
from platform_samples import (
    BOUNDS,
    IDEMPOTENT_ROUTE,
    sample_configuration,
    sample_endpoint_entry,
)
from platform_samples import sample_host_settings as settings
from processes import free_ports
from proxies import Proxy
from scripted_endpoint import ScriptedEndpoint, encode_response, request_id_of

from gypsumusher_entry.host import EntryHost
from gypsumusher_entry.registration import HOSTS_KIND
from gypsumusher_standins.object_store_server import ObjectStoreServer

__all__ = [
    "IDEMPOTENT_ROUTE",
    "BOUNDS",
    "AT_MOST_ONCE_ROUTE",
    "RESUMABLE_ROUTE",
    "STREAM_ROUTE",
    "HostWithoutStore",
    "HostHarness",
    "ask",
    "make_engines",
    "sample_configuration",
    "sample_endpoint_entry",
    "not_run",
    "host_without_store",
    "run",
    "settings",
    "two_hosts",
    "until",
]

AT_MOST_ONCE_ROUTE = {"kind": "non_idempotent", "attempts": 1}
STREAM_ROUTE = {"kind": "stream", "attempts": 1, "sticky": True}
RESUMABLE_ROUTE = {"kind": "stream", "attempts": 2, "sticky": True, "resumable": True}


def run(coroutine):
    """Run a test's coroutine with a time limit of 30 s."""
    return asyncio.run(asyncio.wait_for(coroutine, 30))


class HostHarness:
    """A store, scripted endpoints, and one host that serves from them."""

    def __init__(self, *scripts, routes=(IDEMPOTENT_ROUTE,)):
        self.endpoints = [ScriptedEndpoint(script) for script in scripts]
        self.routes = routes
        self.log_lines = []
        self.store = ObjectStoreServer()

    def log(self, level, event, **fields):
        self.log_lines.append((event, fields))

    async def __aenter__(self):
        store_address = await self.store.start()
        self.store.put("config", "main", sample_configuration(1, *self.routes))
        # Without a record the host would have to join first, and made no retries.
        record = {"ip": "127.0.0.1", "zone": "zone-a"}
        self.store.put(HOSTS_KIND, "host-1", record)
        for number, endpoint in enumerate(self.endpoints):
            address = await endpoint.start()
            self.store.put("servers", f"e-{number}", sample_endpoint_entry(address))
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
        return await ask(self.session, path, method, request_id, **headers)

    def arrivals(self):
        """Return how many requests the endpoints have received."""
        return sum(len(endpoint.requests) for endpoint in self.endpoints)


async def make_engines(harness, *stages, route=STREAM_ROUTE, **fields):
    """Turn the endpoints into engines; other fields are the configuration's."""
    content = {**sample_configuration(2, route), **fields}
    content["services"][0].setdefault("engine", {"slots": 8})
    harness.store.put("config", "main", content)
    states = harness.host.context.endpoints.states
    for number, stage in enumerate(stages):
        address = states[f"e-{number}"].record.address
        fields = sample_endpoint_entry(address, stage=stage, sequence=9)
        harness.store.put("servers", f"e-{number}", fields)
    await until(lambda: harness.host.context.configuration_version == 2)
    wanted = list(stages)
    await until(lambda: [s.record.stage for s in states.values()] == wanted)


async def ask(session, path="/0/x", method="GET", request_id="r-1", **headers):
    """Send one request as a caller does; return status, headers and body."""
    headers = {
        "Host": "shop.example",
        "X-Gypsumusher-Request-Id": request_id,
        "X-Gypsumusher-Deadline-Ms": "1500",
        **headers,
    }
    async with session.request(method, path, headers=headers) as answer:
        return answer.status, dict(answer.headers), await answer.read()


async def not_run(number, head, body, writer):
    """Reject a request, as an endpoint without free capacity does."""
    extra = ("X-Gypsumusher-Not-Run: 1",)
    status = "503 Service Unavailable"
    writer.write(encode_response(request_id_of(head), b"", status, extra))


class HostWithoutStore(NamedTuple):
    """A store, a host that reads it, and a second host that relies on the first.

    Attributes
    ----------
    store : ObjectStoreServer
        Store of the first host.
    other_store : ObjectStoreServer
        Store of the second host: it refuses all calls until its fault is removed.
    link : Proxy
        Connection between the hosts.
    context : Context
        Context of the second host.
    session : aiohttp.ClientSession
        A caller of the second host.
    lines : list of (str, dict)
        Log lines of the second host.
    """

    store: ObjectStoreServer
    other_store: ObjectStoreServer
    link: Proxy
    context: object
    session: aiohttp.ClientSession
    lines: list


@contextlib.asynccontextmanager
async def host_without_store(*endpoint_addresses):
    """Start two hosts with some endpoints; only the first can read the store."""
    store, refusing_store = ObjectStoreServer(), ObjectStoreServer()
    refusing_store.fault = "refuse"
    address, refusing_address = await store.start(), await refusing_store.start()
    store.put("config", "main", sample_configuration(1, IDEMPOTENT_ROUTE))
    for number, endpoint_address in enumerate(endpoint_addresses or ["127.0.0.1:9"]):
        store.put("servers", f"e-{number}", sample_endpoint_entry(endpoint_address))
    port = free_ports("127.0.0.2", 1)[0]
    lines = []
    peer = EntryHost(
        settings(address, "127.0.0.2", "host-2", (), port), lambda *a, **f: None
    )
    listens = await peer.start()
    link = Proxy(listens["peers"])
    peer.context.settings = peer.context.settings._replace(
        peers_address=await link.start()
    )
    other = EntryHost(
        settings(refusing_address, "127.0.0.3", "host-3", ("127.0.0.2:0",), port),
        lambda level, event, **fields: lines.append((event, fields)),
    )
    listens = await other.start()
    session = aiohttp.ClientSession(base_url=f"http://{listens['callers']}")
    peer.context.hosts.on_record(0.0, "host-3", "127.0.0.3")
    await until(lambda: other.context.configuration_version == 1)
    try:
        yield HostWithoutStore(
            store, refusing_store, link, other.context, session, lines
        )
    finally:
        await session.close()
        for part in (other, peer, link, store, refusing_store):
            await part.close()


class TwoHosts:
    """Two hosts with a common store and common endpoints.

    Attributes
    ----------
    hosts : list of EntryHost
        The hosts.
    sessions : list of aiohttp.ClientSession
        A caller of each host.
    endpoints : list of ScriptedEndpoint
        The endpoints.
    """

    def __init__(self, hosts, sessions, endpoints):
        self.hosts = hosts
        self.sessions = sessions
        self.endpoints = endpoints
        self._count = 0

    def arrivals(self, path):
        """Return how many requests for a path the endpoints have received."""
        heads = [head for endpoint in self.endpoints for head, _ in endpoint.requests]
        return sum(path.encode() in head for head in heads)

    def address(self, number):
        """Return the address of an endpoint."""
        states = self.hosts[0].context.endpoints.states
        return states[f"e-{number}"].record.address

    async def ask(self, number, path="/0/x", method="GET"):
        """Send one attempt, with an id of its own, to a host."""
        self._count += 1
        return await ask(self.sessions[number], path, method, f"r-{self._count}")


@contextlib.asynccontextmanager
async def two_hosts(*scripts, route=IDEMPOTENT_ROUTE, endpoints=()):
    """Start two hosts that hear each other and may make retries."""
    store = ObjectStoreServer()
    address = await store.start()
    store.put("config", "main", sample_configuration(1, route))
    endpoints = [*endpoints, *map(ScriptedEndpoint, scripts)]
    for number, endpoint in enumerate(endpoints):
        entry = sample_endpoint_entry(await endpoint.start())
        store.put("servers", f"e-{number}", entry)
    ips = ["127.0.0.2", "127.0.0.3"]
    for number, ip in enumerate(ips):
        record = {"ip": ip, "zone": "zone-a"}
        store.put(HOSTS_KIND, f"host-{number}", record)
    port = free_ports(ips[0], 1)[0]
    hosts, sessions = [], []
    for number, ip in enumerate(ips):
        host = EntryHost(
            settings(address, ip, f"host-{number}", (), port), lambda *a, **f: None
        )
        listens = await host.start()
        # Hosts tell each other the port that was assigned.
        host.context.settings = host.context.settings._replace(
            peers_address=listens["peers"]
        )
        hosts.append(host)
        url = f"http://{listens['callers']}"
        sessions.append(aiohttp.ClientSession(base_url=url))
    await until(lambda: all(len(h.context.active_hosts()) == 2 for h in hosts))
    await until(lambda: all(_knows_ports(host) for host in hosts))
    for host in hosts:
        # The retry budget fills up from the start on.
        host.context.started_s -= 100.0
    try:
        yield TwoHosts(hosts, sessions, endpoints)
    finally:
        for session in sessions:
            await session.close()
        for part in (*hosts, *endpoints, store):
            await part.close()


def _knows_ports(host):
    """Return whether a host has heard at which ports all others listen for hosts."""
    others = host.context.hosts.live(host.context.clock())
    return all(not other.peers_address.endswith(":0") for other in others)


async def until(condition):
    """Wait for a condition; the time limit of the test ends a wait that fails."""
    while not condition():
        await asyncio.sleep(0.005)
