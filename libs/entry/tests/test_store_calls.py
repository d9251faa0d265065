"""Number of calls that many hosts together make to the store."""

import asyncio

from host_harness import (
    IDEMPOTENT_ROUTE,
    run,
    sample_configuration,
    sample_endpoint_entry,
    settings,
    until,
)
from processes import free_ports

from gypsumusher_entry import store_watcher
from gypsumusher_entry.host import EntryHost
from gypsumusher_standins.object_store_server import ObjectStoreServer

HOSTS, CHANGES = 8, 20
# Of eight hosts four are active, and three of these watch the store for all.
WATCHERS = 3
# Allowance for watches of the configuration that are renewed, and for a change that two
# responses report.
EXTRA_CALLS = 12
PEERS_KNOWN_ON_ONE_MACHINE_S = 2.5


class HostGroup:
    """Eight hosts in one process, with one store."""

    def __init__(self):
        self.store = ObjectStoreServer()
        self.hosts = []
        self.changes = 0

    async def __aenter__(self):
        self.store.put("servers", "e-0", sample_endpoint_entry("127.0.0.1:9"))
        await self.start()
        await self.until_watchers_agreed()
        return self

    async def start(self):
        """Start all hosts at once."""
        address = await self.store.start()
        self.store.put("config", "main", sample_configuration(1, IDEMPOTENT_ROUTE))
        port = free_ports("127.0.0.2", 1)[0]
        for number in range(HOSTS):
            ip = f"127.0.0.{2 + number}"
            host = EntryHost(
                settings(address, ip, f"host-{number}", (), port), lambda *a, **f: None
            )
            self.hosts.append(host)
        await asyncio.gather(*(host.start() for host in self.hosts))

    async def __aexit__(self, *_):
        await asyncio.gather(*(host.close() for host in self.hosts))
        await self.store.close()

    async def until_watchers_agreed(self):
        """Wait until the hosts agree on the watchers and no other host watches."""
        contexts = [host.context for host in self.hosts]

        def are_agreed():
            watching = [context for context in contexts if context.watches_store()]
            return len(watching) == WATCHERS and all(c.sees_store for c in watching)

        await until(are_agreed)
        # An open watch ends with the next change; a host that knows that others watch
        # doesn't open it again.
        while sum(context.sees_store for context in contexts) != WATCHERS:
            self.changes += 1
            self.store.put(
                "config",
                "main",
                sample_configuration(1 + self.changes, IDEMPOTENT_ROUTE),
            )
            address = "127.0.0.1:8"
            self.store.put(
                "servers", "e-1", sample_endpoint_entry(address, sequence=self.changes)
            )
            await asyncio.sleep(0.1)

    async def calls_for_changes(self):
        """Return how many calls for endpoints some changes of endpoints cause."""
        before = len(self.store.calls)
        for beat in range(CHANGES):
            self.store.put(
                "servers",
                "e-1",
                sample_endpoint_entry("127.0.0.1:8", sequence=beat + 1000),
            )
            await asyncio.sleep(0.05)
        calls = self.store.calls[before:]
        return sum(path.endswith("/servers") for _, path in calls)

    async def until_endpoints_known(self):
        """Wait until every host knows both endpoints."""
        await until(
            lambda: all(len(h.context.endpoints.states) == 2 for h in self.hosts)
        )


def test_few_hosts_watch_the_store_for_all():
    """Each change of an endpoint was read by every host, at the store's expense."""

    async def scenario():
        async with HostGroup() as group:
            calls = await group.calls_for_changes()
            assert calls <= WATCHERS * CHANGES + EXTRA_CALLS
            await group.until_endpoints_known()

    run(scenario())


def test_few_hosts_watch_the_store_before_there_are_endpoints(monkeypatch):
    """At the first start each of hundreds of hosts watched an empty list."""
    # Eight hosts on one busy machine may receive each other's updates later than hosts
    # on machines of their own, and a host without updates watches as intended.
    monkeypatch.setattr(
        store_watcher, "PEERS_KNOWN_AFTER_S", PEERS_KNOWN_ON_ONE_MACHINE_S
    )

    async def scenario():
        group = HostGroup()
        try:
            await group.start()
            # By now the other hosts have decided whether they watch.
            await asyncio.sleep(PEERS_KNOWN_ON_ONE_MACHINE_S)
            calls = [path for _, path in group.store.calls if path.endswith("/servers")]
            # Each host lists the endpoints once.
            assert len(calls) <= HOSTS + WATCHERS
            group.store.put("servers", "e-0", sample_endpoint_entry("127.0.0.1:9"))
            group.store.put("servers", "e-1", sample_endpoint_entry("127.0.0.1:8"))
            await group.until_endpoints_known()
        finally:
            await group.__aexit__()

    run(scenario())


def test_returning_store_is_watched_by_few_hosts():
    """After an outage all hosts read each entry that returned.

    Expired entries return one by one within 2 s. During that time no host knew all
    endpoints, so none reported that it saw the store, and all hosts watched it.
    """

    async def scenario():
        async with HostGroup() as group:
            group.store.fault = "refuse"
            group.store.drop_event_history()
            await until(lambda: not any(h.context.sees_store for h in group.hosts))
            group.store.fault = ""
            group.store.drop_event_history()
            await group.until_watchers_agreed()
            contexts = [host.context for host in group.hosts]
            assert any(c.endpoints.is_in_grace_period(c.clock()) for c in contexts)
            calls = await group.calls_for_changes()
            assert calls <= WATCHERS * CHANGES + EXTRA_CALLS
            await group.until_endpoints_known()

    run(scenario())
