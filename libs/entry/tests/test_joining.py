"""Hosts that start one after the other all join the others."""

import asyncio

from host_harness import run, sample_configuration, settings, until
from processes import free_ports

from gypsumusher_entry.host import EntryHost
from gypsumusher_standins.object_store_server import ObjectStoreServer

# More than are active, so that some hosts hear only some of the others.
HOSTS = 7
# Longer than a host takes to read all records again.
JOINED_WITHIN_S = 25.0


def test_hosts_that_start_one_after_the_other_all_join():
    """Hosts that aren't active heard too few others to join, and made no retries."""

    async def scenario():
        store = ObjectStoreServer()
        address = await store.start()
        store.put("config", "main", sample_configuration(1))
        port = free_ports("127.0.0.2", 1)[0]
        hosts = []
        for number in range(HOSTS):
            ip = f"127.0.0.{2 + number}"
            first = settings(address, ip, f"host-{number}", (), port)
            first = first._replace(is_first_start=True)
            hosts.append(EntryHost(first, lambda *args, **fields: None))
            await hosts[-1].start()
            await asyncio.sleep(0.3)
        memberships = [host.context.membership for host in hosts]
        try:
            async with asyncio.timeout(JOINED_WITHIN_S):
                await until(lambda: all(m.has_joined() for m in memberships))
        finally:
            for part in (*hosts, store):
                await part.close()

    run(scenario())
