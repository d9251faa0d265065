"""State that hosts without access to the store get from their peers."""

import asyncio
import contextlib

import pytest
from host_harness import (
    IDEMPOTENT_ROUTE,
    host_without_store,
    run,
    sample_configuration,
    sample_endpoint_entry,
    until,
)
from platform_samples import sample_routes

from gypsumusher_entry.sync_messages import (
    SyncResponse,
    SyncResponseEncoder,
    decode_sync_response,
)
from gypsumusher_ports import DecodeError, EndpointRecord, StoredObject

# Routes of a large deployment after it has grown, and the largest number of endpoints
# that the project is designed for.
MANY_ROUTES, MANY_ENDPOINTS = 1400, 910
# Bytes that the slowest known link, 5 Mbit/s, carries in 0.25 s.
SLOW_LINK_BYTES = 150_000


def test_large_configuration_reaches_host_without_store():
    # An operator adds a thousand routes. Hosts that don't watch the store answered 404
    # for them: a peer's response arrives in several chunks, and the first was taken for
    # all.
    async def scenario():
        async with host_without_store() as hosts:
            store, context, lines = hosts.store, hosts.context, hosts.lines
            store.put(
                "config",
                "main",
                sample_configuration(2, *sample_routes(MANY_ROUTES, IDEMPOTENT_ROUTE)),
            )
            await until(lambda: context.configuration_version == 2)
            assert len(context.configuration.routes) == MANY_ROUTES
            assert "peer_not_heard" not in [event for event, _ in lines]

    run(scenario())


def test_stalled_peer_is_asked_again_and_its_response_discarded():
    # The link to the only peer with newer state stalls for a while. The host has to
    # keep its state, and to catch up once the link works again.
    async def scenario():
        async with host_without_store() as hosts:
            store, link, context, lines = (
                hosts.store,
                hosts.link,
                hosts.context,
                hosts.lines,
            )
            link.set_blocked(False, True)
            store.put(
                "config",
                "main",
                sample_configuration(2, *sample_routes(MANY_ROUTES, IDEMPOTENT_ROUTE)),
            )
            await until(lambda: "peer_not_heard" in [event for event, _ in lines])
            assert context.configuration_version == 1
            assert list(context.endpoints.states) == ["e-0"]
            link.set_blocked(False, False)
            link.reset()
            await until(lambda: context.configuration_version == 2)

    run(scenario())


def test_host_reports_stale_configuration_until_it_catches_up():
    # One host serves outdated routes while all others use the new ones. Its log and
    # metrics have to show it; otherwise the host looks healthy to operators.
    async def scenario():
        async with host_without_store() as hosts:
            hosts.link.set_blocked(False, True)
            hosts.store.put(
                "config",
                "main",
                sample_configuration(2, IDEMPOTENT_ROUTE, IDEMPOTENT_ROUTE),
            )
            await until(lambda: "news_overdue" in [event for event, _ in hosts.lines])
            fields = dict(hosts.lines)["news_overdue"]
            assert (fields["kind"], fields["known"]) == ("configuration", 1)
            assert fields["newest"] == 2
            page = hosts.context.metrics.render()[0].decode()
            assert "gypsumusher_configuration_version 1" in page
            hosts.link.set_blocked(False, False)
            hosts.link.reset()
            await until(lambda: "news_caught_up" in [event for event, _ in hosts.lines])
            assert hosts.context.configuration_version == 2

    run(scenario())


def test_log_names_endpoints_removed_by_peer():
    async def scenario():
        async with host_without_store("127.0.0.1:9", "127.0.0.1:8") as hosts:
            hosts.store.remove("servers", "e-1")
            await until(lambda: "e-1" not in hosts.context.endpoints.states)
            logged = [fields for event, fields in hosts.lines if "from_peer" in event]
            assert logged[-1]["changed"] == "e-1"

    run(scenario())


def test_single_endpoint_change_is_sent_alone():
    """Each change of one endpoint was sent as the list of all endpoints."""

    async def scenario():
        addresses = [f"127.0.0.1:{port}" for port in range(9, 9 + MANY_ENDPOINTS // 10)]
        async with host_without_store(*addresses) as hosts:
            context = hosts.context
            # Before that the peer waits for entries that may return.
            await until(lambda: context.endpoints.revision > 0)
            line_count = len(hosts.lines)
            changed = sample_endpoint_entry(addresses[0], "draining", sequence=2)
            hosts.store.put("servers", "e-0", changed)
            states = context.endpoints.states
            await until(lambda: states["e-0"].record.is_draining)
            hosts.store.remove("servers", "e-1")
            await until(lambda: "e-1" not in context.endpoints.states)
            logged = [
                fields for event, fields in hosts.lines[line_count:] if "peer" in event
            ]
            assert {fields["told"] for fields in logged} == {1}
            assert len(context.endpoints.states) == len(addresses) - 1

    run(scenario())


def test_changes_include_removed_ids():
    changed = sync_response()._replace(configuration=None, removed=("e-7", "e-8"))
    data = SyncResponseEncoder().encode(changed)
    assert len(data) < 300
    assert decode_sync_response("host-2", data) == changed


def test_removed_ids_of_wrong_type_are_rejected():
    changed = sync_response()._replace(removed=(7,))
    with pytest.raises(DecodeError):
        decode_sync_response("host-2", SyncResponseEncoder().encode(changed))


def records(count):
    """Return the records of some endpoints."""
    return tuple(
        EndpointRecord(
            f"i-{number:08x}", 1700000000000 + number, "llm",
            f"10.{number % 9}.64.{number % 200}:8080", f"zone-{number % 4}", 48, False,
            0.0, "decode", number,
        )
        for number in range(count)
    )  # fmt: skip


def sync_response(routes=1, endpoints=1):
    """Return a response with a number of routes and endpoints."""
    content = sample_configuration(7, *sample_routes(routes, IDEMPOTENT_ROUTE))
    stored = StoredObject("main", 5, content, None)
    return SyncResponse(stored, records(endpoints), 9, True)


def test_largest_response_fits_slow_link():
    # Sixty hosts ask for a configuration of 1,400 routes within a second, some over a
    # link of 5 Mbit/s that callers use too.
    response = sync_response(MANY_ROUTES, MANY_ENDPOINTS)
    data = SyncResponseEncoder().encode(response)
    assert len(data) < SLOW_LINK_BYTES
    assert decode_sync_response("host-2", data) == response


def test_compressed_configuration_is_cached_per_version():
    encoder = SyncResponseEncoder()
    first = sync_response(2)
    assert decode_sync_response("a", encoder.encode(first)) == first
    assert decode_sync_response("a", encoder.encode(first)) == first
    # The same object in all responses: many hosts ask at once.
    assert encoder.encode_parts(first)[1] is encoder.encode_parts(first)[1]
    newer = first.configuration._replace(
        revision=6, content=sample_configuration(8, IDEMPOTENT_ROUTE)
    )
    second = first._replace(configuration=newer)
    assert decode_sync_response("a", encoder.encode(second)) == second


@pytest.mark.parametrize("kept_fraction", [0.0, 0.3, 0.99])
def test_truncated_response_is_rejected(kept_fraction):
    # A peer is killed in the middle of its response, and the connection ends like that
    # of a complete one. Half a list would drop the endpoints of its other half.
    data = SyncResponseEncoder().encode(sync_response(50, 50))
    with pytest.raises(DecodeError):
        decode_sync_response("host-2", data[: int(len(data) * kept_fraction)])


def test_decompression_bomb_is_rejected():
    # A host with 200 MB of memory that decompresses without limit is killed by one
    # malformed response.
    content = {"version": 7, "padding": "0" * 50_000_000}
    response = sync_response()._replace(
        configuration=StoredObject("main", 5, content, None)
    )
    with pytest.raises(DecodeError):
        decode_sync_response("host-2", SyncResponseEncoder().encode(response))


def test_body_over_limit_is_not_read():
    # A peer of another release, or an unrelated server, sends an endless response.
    async def endless(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            while True:
                writer.write(b"0" * 65_536)
                await writer.drain()

    async def scenario():
        server = await asyncio.start_server(endless, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with host_without_store() as hosts:
            store, link, context, lines = (
                hosts.store,
                hosts.link,
                hosts.context,
                hosts.lines,
            )
            link.target = f"127.0.0.1:{port}"
            link.reset()
            store.put("config", "main", sample_configuration(2, IDEMPOTENT_ROUTE))
            await until(lambda: "peer_not_heard" in [event for event, _ in lines])
            fields = dict(lines)["peer_not_heard"]
            assert "over" in fields["error"]
            assert context.configuration_version == 1
        server.close()

    run(scenario())


# Guards against hosts of two releases that can't read each other's endpoints, and
# against endpoints that seem to have no software version.
def test_versions_of_endpoints_are_left_out_for_hosts_that_do_not_expect_them():
    response = sync_response(0, 3)
    data = SyncResponseEncoder().encode(response, has_versions=False)
    decoded = decode_sync_response("host-2", data)
    assert {record.software_version for record in decoded.endpoints} == {""}
    with pytest.raises(DecodeError, match="software versions"):
        decode_sync_response("host-2", data, requires_versions=True)
