"""How often many hosts together call the store."""

import asyncio

from host_harness import (
    ANY,
    run,
    sample_configuration,
    sample_endpoint_entry,
    settings,
    until,
)
from processes import free_ports

from gypsumusher_entry import store_watcher
from gypsumusher_entry.host import EntryHost
from gypsumusher_standins.object_store import ObjectStore

HOSTS, CHANGES = 8, 20
# Of eight hosts four are active, and three of those watch the store for all.
WATCHERS = 3
# Watches of the configuration that are renewed meanwhile, and a change that two
# answers tell of.
SPARE_CALLS = 12
HEARD_ON_ONE_MACHINE_S = 2.5


class Fleet:
    """Eight hosts in one process, before one store."""

    def __init__(self):
        self.store = ObjectStore()
        self.hosts = []
        self.changes = 0

    async def __aenter__(self):
        self.store.put("servers", "e-0", sample_endpoint_entry("127.0.0.1:9"))
        await self.start()
        await self.until_few_watch()
        return self

    async def start(self):
        """Start all hosts at once."""
        address = await self.store.start()
        self.store.put("config", "main", sample_configuration(1, ANY))
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

    async def until_few_watch(self):
        """Wait until the hosts agree on who watches, and the others have stopped."""
        contexts = [host.context for host in self.hosts]

        def are_agreed():
            watching = [context for context in contexts if context.watches_store()]
            return len(watching) == WATCHERS and all(c.sees_store for c in watching)

        await until(are_agreed)
        # An open watch ends with the next change, and isn't opened again by a host
        # that has heard that others watch.
        while sum(context.sees_store for context in contexts) != WATCHERS:
            self.changes += 1
            self.store.put(
                "config", "main", sample_configuration(1 + self.changes, ANY)
            )
            address = "127.0.0.1:8"
            self.store.put(
                "servers", "e-1", sample_endpoint_entry(address, sequence=self.changes)
            )
            await asyncio.sleep(0.1)

    async def calls_for_changes(self):
        """Return how many calls for endpoints some changes of theirs bring about."""
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

    async def until_heard(self):
        """Wait until every host knows of both endpoints."""
        await until(
            lambda: all(len(h.context.endpoints.states) == 2 for h in self.hosts)
        )


def test_few_hosts_watch_the_store_for_all():
    """Each change of an endpoint is read by every host, at the store's expense."""

    async def scenario():
        async with Fleet() as fleet:
            calls = await fleet.calls_for_changes()
            assert calls <= WATCHERS * CHANGES + SPARE_CALLS
            await fleet.until_heard()

    run(scenario())


def test_few_hosts_watch_the_store_before_there_are_endpoints(monkeypatch):
    """At the first start each of hundreds of hosts watched an empty list."""
    # Eight hosts on one busy machine may hear of each other later than hosts of their
    # own do, and one that has heard of none rightly watches.
    monkeypatch.setattr(store_watcher, "HEARD_AFTER_S", HEARD_ON_ONE_MACHINE_S)

    async def scenario():
        fleet = Fleet()
        try:
            await fleet.start()
            # The others have decided by now whether they watch.
            await asyncio.sleep(HEARD_ON_ONE_MACHINE_S)
            calls = [path for _, path in fleet.store.calls if path.endswith("/servers")]
            # Each lists them once.
            assert len(calls) <= HOSTS + WATCHERS
            fleet.store.put("servers", "e-0", sample_endpoint_entry("127.0.0.1:9"))
            fleet.store.put("servers", "e-1", sample_endpoint_entry("127.0.0.1:8"))
            await fleet.until_heard()
        finally:
            await fleet.__aexit__()

    run(scenario())


def test_a_store_that_returns_is_watched_by_few_hosts_at_once():
    """After an outage all hosts read each entry that comes back.

    Entries that lapsed come back one by one within two seconds. For that long no host
    knew all endpoints; none said that it saw the store, and so all watched it.
    """

    async def scenario():
        async with Fleet() as fleet:
            fleet.store.fault = "refuse"
            fleet.store.forget_history()
            await until(lambda: not any(h.context.sees_store for h in fleet.hosts))
            fleet.store.fault = ""
            fleet.store.forget_history()
            await fleet.until_few_watch()
            contexts = [host.context for host in fleet.hosts]
            assert any(c.endpoints.is_in_grace_period(c.clock()) for c in contexts)
            calls = await fleet.calls_for_changes()
            assert calls <= WATCHERS * CHANGES + SPARE_CALLS
            await fleet.until_heard()

    run(scenario())
