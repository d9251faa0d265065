"""Callers of a host that hears of a large configuration from a peer."""

import contextlib

from host_harness import (
    ANY,
    ask,
    host_without_store,
    run,
    sample_configuration,
    sample_endpoint_entry,
    until,
)
from platform_samples import sample_routes
from scripted_endpoint import ScriptedEndpoint, encode_response, request_id_of

# Routes that an operator adds to a large deployment at once.
MANY_ROUTES = 1400
REQUESTS = 10
# A link of 10 Mbit/s, as small hosts have, in bytes a second.
LINK_BYTES_PER_S = 1_250_000.0
# What such a link has left beside callers' bodies: a large answer takes over a second.
CROWDED_BYTES_PER_S = 25_000.0


async def well(number, head, body, writer):
    writer.write(encode_response(request_id_of(head)))


@contextlib.asynccontextmanager
async def two_hosts_and_two_endpoints():
    """Give both endpoints and two hosts, one of which hears from the other alone."""
    endpoints = [ScriptedEndpoint(well), ScriptedEndpoint(well)]
    addresses = [await endpoint.start() for endpoint in endpoints]
    async with host_without_store(*addresses) as two:
        two.link.bytes_per_s = LINK_BYTES_PER_S
        yield endpoints, addresses, two
    for endpoint in endpoints:
        await endpoint.close()


def test_routes_that_were_added_by_the_thousand_are_served():
    # An operator adds a thousand routes, and the store takes them. Hosts that watch the
    # store serve them at once; at the others a caller of a new route gets 404 until the
    # day ends. All that a host hears from a peer comes in one answer, of which it took
    # the first piece for the whole, so that nothing of a longer one could be read.
    async def scenario():
        async with two_hosts_and_two_endpoints() as (_, _, two):
            routes = sample_routes(MANY_ROUTES, ANY)
            two.store.put("config", "main", sample_configuration(2, *routes))
            await until(lambda: two.context.configuration_version == 2)
            host, path = routes[-1]["host"], routes[-1]["path_prefix"]
            status, _, body = await ask(two.session, f"{path}x", Host=host)
            assert (status, body) == (200, b"whole")

    run(scenario())


def test_an_endpoint_that_leaves_beside_a_large_configuration_gets_no_new_work():
    # Under a configuration of a thousand routes an endpoint says that it leaves. A host
    # that hears from a peer goes on sending it requests until it is gone. The peer told
    # the endpoints and the whole configuration in one answer, and what could not be
    # read for the one's size was lost of the other too, although the list is short.
    async def scenario():
        async with two_hosts_and_two_endpoints() as (endpoints, addresses, two):
            routes = [ANY, *sample_routes(MANY_ROUTES, ANY)]
            two.store.put("config", "main", sample_configuration(2, *routes))
            two.store.put(
                "servers",
                "e-0",
                sample_endpoint_entry(addresses[0], "draining", sequence=2),
            )
            leaving = two.context.endpoints.states["e-0"]
            await until(lambda: not leaving.is_usable)
            for number in range(REQUESTS):
                status, _, _ = await ask(two.session, request_id=f"r-{number}")
                assert status == 200
            assert [len(e.requests) for e in endpoints] == [0, REQUESTS]

    run(scenario())


def test_a_host_that_peers_leave_waiting_reads_the_store_itself():
    # The links of the few hosts that watch the store for all are full of callers'
    # bodies, and what they tell takes seconds. A host beside them with an idle link
    # served old routes and sent work to endpoints that had left, though the store
    # would have answered it at once: it left that to the hosts that watch.
    async def scenario():
        async with host_without_store() as two:
            two.context.watches_store = lambda: False
            two.link.set_blocked(False, True)
            for store in (two.store, two.other_store):
                store.put("config", "main", sample_configuration(2, ANY, ANY))
                store.put(
                    "servers",
                    "e-0",
                    sample_endpoint_entry("127.0.0.1:9", "draining", sequence=2),
                )
            two.other_store.fault = ""
            leaving = two.context.endpoints.states["e-0"]
            await until(lambda: two.context.configuration_version == 2)
            await until(lambda: not leaving.is_usable)
            assert not two.context.watches_store()

    run(scenario())


async def let_one_leave_unheard(two):
    """Have one of two endpoints leave, and the second host hear nothing of it.

    Return the store that shows it to that host, newer than all that it knows.
    """
    await until(lambda: len(two.context.endpoints.states) == 2)
    two.link.set_blocked(False, True)
    two.store.remove("servers", "e-1")
    other = two.other_store
    while other.revision <= two.store.revision:
        other.put(
            "servers",
            "e-0",
            sample_endpoint_entry("127.0.0.1:9", sequence=other.revision),
        )
    return other


def test_an_endpoint_that_a_host_reads_is_gone_is_left_at_once():
    # A host with a full link is told late of an endpoint that has left. It reads the
    # store itself, which fails once and then shows that the entry is gone, and sends
    # the endpoint new work for two seconds more: after a failed call it waits for
    # entries that lapsed while the store was away. But its peers saw the store.
    async def scenario():
        async with host_without_store("127.0.0.1:9", "127.0.0.1:8") as two:
            two.context.watches_store = lambda: False
            other = await let_one_leave_unheard(two)
            await until(lambda: "news_overdue" in [event for event, _ in two.lines])
            other.fault = ""
            await until(lambda: two.context.endpoints.revision == other.revision)
            assert list(two.context.endpoints.states) == ["e-0"]

    run(scenario())


def test_an_endpoint_is_left_at_once_by_a_watching_host_that_alone_lost_the_store():
    # The same at a host that watches the store for others: a call of its own fails,
    # for its full link, while its peers see the store. It waits for entries that never
    # lapsed, and sends work to an endpoint that has left for two seconds more.
    async def scenario():
        async with host_without_store("127.0.0.1:9", "127.0.0.1:8") as two:
            other = await let_one_leave_unheard(two)
            other.fault = ""
            await until(lambda: two.context.endpoints.revision == other.revision)
            assert list(two.context.endpoints.states) == ["e-0"]

    run(scenario())


def test_a_configuration_that_a_host_cannot_read_is_not_read_over_and_over():
    # Hosts are replaced by a newer release one by one, and an operator writes what only
    # the newer one understands. Each older host would read a megabyte from the store
    # several times a second, and the store turn others away, until it is replaced.
    async def scenario():
        async with host_without_store() as two:
            two.context.watches_store = lambda: False
            two.link.set_blocked(False, True)
            two.other_store.put("config", "main", {"version": 2, "routes": "new"})
            two.other_store.fault = ""
            two.store.put("config", "main", sample_configuration(2, ANY, ANY))
            calls, reading = two.other_store.calls, ("GET", "/v1/objects/config")
            read_s = []
            while len(read_s) < 4:
                calls.clear()
                await until(lambda: reading in calls)
                read_s.append(two.context.clock())
            assert read_s[-1] - read_s[0] > 2.0

    run(scenario())


def test_a_configuration_that_a_weak_link_carries_slowly_is_heard():
    # All hosts have weak links, and callers fill those of the hosts that others ask. A
    # host's question for a large configuration took longer than it waits, was given up
    # and asked again from the first byte, and so without end, while each try took its
    # part of the link from the others. Its callers were served by the old routes.
    async def scenario():
        async with host_without_store() as two:
            two.link.bytes_per_s = CROWDED_BYTES_PER_S
            routes = sample_routes(MANY_ROUTES, ANY)
            two.store.put("config", "main", sample_configuration(2, *routes))
            await until(lambda: two.context.configuration_version == 2)

    run(scenario())
