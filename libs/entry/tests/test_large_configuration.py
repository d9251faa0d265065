"""Callers of a host that gets a large configuration from a peer."""

import contextlib

from host_harness import (
    IDEMPOTENT_ROUTE,
    ask,
    host_without_store,
    run,
    sample_configuration,
    sample_endpoint_entry,
    until,
)
from platform_samples import sample_routes
from scripted_endpoint import ScriptedEndpoint, encode_response, request_id_of

# Number of routes that an operator adds to a large deployment at once.
MANY_ROUTES = 1400
REQUESTS = 10
# A link of 10 Mbit/s, as small hosts have.
LINK_BYTES_PER_S = 1_250_000.0
# Bandwidth that callers' request bodies leave on such a link: a large response takes
# over 1 s.
CONGESTED_BYTES_PER_S = 25_000.0


async def healthy(number, head, body, writer):
    writer.write(encode_response(request_id_of(head)))


@contextlib.asynccontextmanager
async def host_without_store_and_two_endpoints():
    """Start both endpoints and two hosts, one of which relies on the other."""
    endpoints = [ScriptedEndpoint(healthy), ScriptedEndpoint(healthy)]
    addresses = [await endpoint.start() for endpoint in endpoints]
    async with host_without_store(*addresses) as hosts:
        hosts.link.bytes_per_s = LINK_BYTES_PER_S
        yield endpoints, addresses, hosts
    for endpoint in endpoints:
        await endpoint.close()


def test_many_added_routes_are_served():
    # An operator adds a thousand routes. Hosts that watch the store served them; the
    # other hosts answered 404, because only the first chunk of a peer's response was
    # read and the rest was lost.
    async def scenario():
        async with host_without_store_and_two_endpoints() as (_, _, hosts):
            routes = sample_routes(MANY_ROUTES, IDEMPOTENT_ROUTE)
            hosts.store.put("config", "main", sample_configuration(2, *routes))
            await until(lambda: hosts.context.configuration_version == 2)
            host, path = routes[-1]["host"], routes[-1]["path_prefix"]
            status, _, body = await ask(hosts.session, f"{path}x", Host=host)
            assert (status, body) == (200, b"whole")

    run(scenario())


def test_endpoint_draining_under_large_configuration_gets_no_new_work():
    # An endpoint starts to drain under a configuration of a thousand routes. A host
    # without the store kept sending it requests: the peer's response with the endpoints
    # and the configuration was too large to be read, although the list of endpoints is
    # short.
    async def scenario():
        async with host_without_store_and_two_endpoints() as (
            endpoints,
            addresses,
            hosts,
        ):
            routes = [IDEMPOTENT_ROUTE, *sample_routes(MANY_ROUTES, IDEMPOTENT_ROUTE)]
            hosts.store.put("config", "main", sample_configuration(2, *routes))
            hosts.store.put(
                "servers",
                "e-0",
                sample_endpoint_entry(addresses[0], "draining", sequence=2),
            )
            leaving = hosts.context.endpoints.states["e-0"]
            await until(lambda: not leaving.is_usable)
            for number in range(REQUESTS):
                status, _, _ = await ask(hosts.session, request_id=f"r-{number}")
                assert status == 200
            assert [len(e.requests) for e in endpoints] == [0, REQUESTS]

    run(scenario())


def test_lagging_host_reads_store_itself():
    # The links of the few watching hosts are full, and their responses take seconds. A
    # host with an idle link kept outdated routes and sent work to endpoints that had
    # left, since it relied on the watching hosts instead of reading the store.
    async def scenario():
        async with host_without_store() as hosts:
            hosts.context.watches_store = lambda: False
            hosts.link.set_blocked(False, True)
            for store in (hosts.store, hosts.other_store):
                store.put(
                    "config",
                    "main",
                    sample_configuration(2, IDEMPOTENT_ROUTE, IDEMPOTENT_ROUTE),
                )
                store.put(
                    "servers",
                    "e-0",
                    sample_endpoint_entry("127.0.0.1:9", "draining", sequence=2),
                )
            hosts.other_store.fault = ""
            leaving = hosts.context.endpoints.states["e-0"]
            await until(lambda: hosts.context.configuration_version == 2)
            await until(lambda: not leaving.is_usable)
            assert not hosts.context.watches_store()

    run(scenario())


async def remove_endpoint_unnoticed(hosts):
    """Remove one of two endpoints without an update to the second host.

    Return the second host's store, which shows the removal at a newer revision than any
    that the host has seen.
    """
    await until(lambda: len(hosts.context.endpoints.states) == 2)
    hosts.link.set_blocked(False, True)
    hosts.store.remove("servers", "e-1")
    other = hosts.other_store
    while other.revision <= hosts.store.revision:
        other.put(
            "servers",
            "e-0",
            sample_endpoint_entry("127.0.0.1:9", sequence=other.revision),
        )
    return other


def test_lagging_host_drops_removed_endpoint_at_once():
    # A lagging host reads the store itself; the first call fails, and the next one
    # shows that an endpoint is gone. The host kept sending it work for 2 s, waiting for
    # entries that may have expired while the store was down. But its peers saw the
    # store all along.
    async def scenario():
        async with host_without_store("127.0.0.1:9", "127.0.0.1:8") as hosts:
            hosts.context.watches_store = lambda: False
            other = await remove_endpoint_unnoticed(hosts)
            await until(lambda: "news_overdue" in [event for event, _ in hosts.lines])
            other.fault = ""
            await until(lambda: hosts.context.endpoints.revision == other.revision)
            assert list(hosts.context.endpoints.states) == ["e-0"]

    run(scenario())


def test_watching_host_that_alone_lost_store_drops_removed_endpoint_at_once():
    # The same at a host that watches the store: only its own call fails, because of its
    # full link, while its peers see the store. It must not wait for expired entries and
    # send work to an endpoint that has left for another 2 s.
    async def scenario():
        async with host_without_store("127.0.0.1:9", "127.0.0.1:8") as hosts:
            other = await remove_endpoint_unnoticed(hosts)
            other.fault = ""
            await until(lambda: hosts.context.endpoints.revision == other.revision)
            assert list(hosts.context.endpoints.states) == ["e-0"]

    run(scenario())


def test_undecodable_configuration_is_read_with_backoff():
    # During a rolling upgrade an operator stores a configuration that only the newer
    # release can decode. Without a back-off each older host would read 1 MB from the
    # store several times a second, and the store would refuse other hosts.
    async def scenario():
        async with host_without_store() as hosts:
            hosts.context.watches_store = lambda: False
            hosts.link.set_blocked(False, True)
            hosts.other_store.put("config", "main", {"version": 2, "routes": "new"})
            hosts.other_store.fault = ""
            hosts.store.put(
                "config",
                "main",
                sample_configuration(2, IDEMPOTENT_ROUTE, IDEMPOTENT_ROUTE),
            )
            calls, list_call = hosts.other_store.calls, ("GET", "/v1/objects/config")
            read_s = []
            while len(read_s) < 4:
                calls.clear()
                await until(lambda: list_call in calls)
                read_s.append(hosts.context.clock())
            assert read_s[-1] - read_s[0] > 2.0

    run(scenario())


def test_large_configuration_arrives_over_congested_link():
    # Callers fill the slow links of the watching hosts. The transfer of a large
    # configuration exceeded its time limit and was restarted from the first byte again
    # and again, while each attempt used bandwidth. Callers were served by outdated
    # routes.
    async def scenario():
        async with host_without_store() as hosts:
            hosts.link.bytes_per_s = CONGESTED_BYTES_PER_S
            routes = sample_routes(MANY_ROUTES, IDEMPOTENT_ROUTE)
            hosts.store.put("config", "main", sample_configuration(2, *routes))
            await until(lambda: hosts.context.configuration_version == 2)

    run(scenario())
