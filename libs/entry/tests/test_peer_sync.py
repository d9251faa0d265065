"""What hosts that don't read the store hear from their peers."""

import asyncio
import contextlib

import pytest
from host_harness import (
    ANY,
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

# Routes of a large deployment's configuration after its growth, and the endpoints of
# the size that the project is designed for.
MANY_ROUTES, MANY_ENDPOINTS = 1400, 910
# Bytes that a link of 5 Mbit/s, the weakest seen, carries in a quarter of a second.
WEAK_LINK_BYTES = 150_000


def test_a_configuration_of_many_routes_reaches_hosts_that_others_watch_for():
    # An operator adds a thousand routes. The hosts that watch the store take them; at
    # the others callers of the new routes get 404 until the day ends. The answer of
    # a peer came in several pieces, and the first was taken for all of it.
    async def scenario():
        async with host_without_store() as two:
            store, context, lines = two.store, two.context, two.lines
            store.put(
                "config",
                "main",
                sample_configuration(2, *sample_routes(MANY_ROUTES, ANY)),
            )
            await until(lambda: context.configuration_version == 2)
            assert len(context.configuration.routes) == MANY_ROUTES
            assert "peer_not_heard" not in [event for event, _ in lines]

    run(scenario())


def test_a_peer_that_stalls_is_asked_again_and_nothing_of_it_is_used():
    # The link to the only peer that knows more holds back its answers for a while.
    # The host goes on by what it knows, and hears the news once the link is well.
    async def scenario():
        async with host_without_store() as two:
            store, link, context, lines = two.store, two.link, two.context, two.lines
            link.set_blocked(False, True)
            store.put(
                "config",
                "main",
                sample_configuration(2, *sample_routes(MANY_ROUTES, ANY)),
            )
            await until(lambda: "peer_not_heard" in [event for event, _ in lines])
            assert context.configuration_version == 1
            assert list(context.endpoints.states) == ["e-0"]
            link.set_blocked(False, False)
            link.reset()
            await until(lambda: context.configuration_version == 2)

    run(scenario())


def test_a_host_that_hears_nothing_newer_says_so_until_it_does():
    # Callers of one host are served by old routes while all others go by the new ones.
    # The host is well by all that its log and metrics tell, so nobody looks there.
    async def scenario():
        async with host_without_store() as two:
            two.link.set_blocked(False, True)
            two.store.put("config", "main", sample_configuration(2, ANY, ANY))
            await until(lambda: "news_overdue" in [event for event, _ in two.lines])
            fields = dict(two.lines)["news_overdue"]
            assert (fields["kind"], fields["known"]) == ("configuration", 1)
            assert fields["newest"] == 2
            page = two.context.metrics.render()[0].decode()
            assert "gypsumusher_configuration_version 1" in page
            two.link.set_blocked(False, False)
            two.link.reset()
            await until(lambda: "news_caught_up" in [event for event, _ in two.lines])
            assert two.context.configuration_version == 2

    run(scenario())


def test_the_log_names_endpoints_of_which_a_peer_says_no_more():
    async def scenario():
        async with host_without_store("127.0.0.1:9", "127.0.0.1:8") as two:
            two.store.remove("servers", "e-1")
            await until(lambda: "e-1" not in two.context.endpoints.states)
            told = [fields for event, fields in two.lines if "from_peer" in event]
            assert told[-1]["changed"] == "e-1"

    run(scenario())


def test_one_change_of_very_many_endpoints_is_told_alone():
    """Each change of an endpoint was told to all hosts as the list of all of them."""

    async def scenario():
        addresses = [f"127.0.0.1:{port}" for port in range(9, 9 + MANY_ENDPOINTS // 10)]
        async with host_without_store(*addresses) as two:
            context = two.context
            # Until then the peer waits for entries that may come back.
            await until(lambda: context.endpoints.revision > 0)
            heard = len(two.lines)
            changed = sample_endpoint_entry(addresses[0], "draining", sequence=2)
            two.store.put("servers", "e-0", changed)
            states = context.endpoints.states
            await until(lambda: states["e-0"].record.is_draining)
            two.store.remove("servers", "e-1")
            await until(lambda: "e-1" not in context.endpoints.states)
            told = [fields for event, fields in two.lines[heard:] if "peer" in event]
            assert {fields["told"] for fields in told} == {1}
            assert len(context.endpoints.states) == len(addresses) - 1

    run(scenario())


def test_a_change_is_encoded_with_what_is_gone():
    changed = beliefs()._replace(configuration=None, removed=("e-7", "e-8"))
    data = SyncResponseEncoder().encode(changed)
    assert len(data) < 300
    assert decode_sync_response("host-2", data) == changed


def test_ids_of_another_type_are_refused():
    changed = beliefs()._replace(removed=(7,))
    with pytest.raises(DecodeError):
        decode_sync_response("host-2", SyncResponseEncoder().encode(changed))


def records(count):
    return tuple(
        EndpointRecord(
            f"i-{number:08x}", 1700000000000 + number, "llm",
            f"10.{number % 9}.64.{number % 200}:8080", f"zone-{number % 4}", 48, False,
            0.0, "decode", number,
        )
        for number in range(count)
    )  # fmt: skip


def beliefs(routes=1, endpoints=1):
    content = sample_configuration(7, *sample_routes(routes, ANY))
    stored = StoredObject("main", 5, content, None)
    return SyncResponse(stored, records(endpoints), 9, True)


def test_beliefs_of_the_largest_size_fit_a_weak_link():
    # Sixty hosts ask within a second for a configuration of 1,400 routes, some over a
    # link of 5 Mbit/s that callers use too.
    told = beliefs(MANY_ROUTES, MANY_ENDPOINTS)
    data = SyncResponseEncoder().encode(told)
    assert len(data) < WEAK_LINK_BYTES
    assert decode_sync_response("host-2", data) == told


def test_what_was_packed_for_one_host_serves_the_next_and_no_other_version():
    encoder = SyncResponseEncoder()
    first = beliefs(2)
    assert decode_sync_response("a", encoder.encode(first)) == first
    assert decode_sync_response("a", encoder.encode(first)) == first
    newer = first.configuration._replace(
        revision=6, content=sample_configuration(8, ANY)
    )
    second = first._replace(configuration=newer)
    assert decode_sync_response("a", encoder.encode(second)) == second


@pytest.mark.parametrize("kept_part", [0.0, 0.3, 0.99])
def test_part_of_an_answer_is_refused_whole(kept_part):
    # A peer is killed in the middle of its answer, and the connection ends as a whole
    # one would. Half a list would drop the endpoints of its other half.
    data = SyncResponseEncoder().encode(beliefs(50, 50))
    with pytest.raises(DecodeError):
        decode_sync_response("host-2", data[: int(len(data) * kept_part)])


def test_few_bytes_that_unpack_to_very_many_are_refused():
    # A host of 200 MB that unpacks whatever it is sent is killed by one bad answer.
    content = {"version": 7, "padding": "0" * 50_000_000}
    told = beliefs()._replace(configuration=StoredObject("main", 5, content, None))
    with pytest.raises(DecodeError):
        decode_sync_response("host-2", SyncResponseEncoder().encode(told))


def test_a_body_over_the_limit_is_left_unread():
    # A peer of another release, or none of ours, answers without an end.
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
        async with host_without_store() as two:
            store, link, context, lines = two.store, two.link, two.context, two.lines
            link.target = f"127.0.0.1:{port}"
            link.reset()
            store.put("config", "main", sample_configuration(2, ANY))
            await until(lambda: "peer_not_heard" in [event for event, _ in lines])
            fields = dict(lines)["peer_not_heard"]
            assert "over" in fields["error"]
            assert context.configuration_version == 1
        server.close()

    run(scenario())
