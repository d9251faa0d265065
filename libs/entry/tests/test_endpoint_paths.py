"""Hosts that have lost their own links to endpoints, and send through other hosts."""

import asyncio

import aiohttp
import pytest
from host_harness import (
    AT_MOST_ONCE_ROUTE,
    IDEMPOTENT_ROUTE,
    STREAM_ROUTE,
    ask,
    run,
    two_hosts,
    until,
)
from scripted_endpoint import encode_response, request_id_of
from test_streams_cut_short import FIRST, SECOND, stream_once

from gypsumusher_http import CallError


async def healthy(number, head, body, writer):
    writer.write(encode_response(request_id_of(head)))


def cut_links(host, hangs=False):
    """Cut a host off from all endpoints; return a function that mends its links.

    New direct connections hang or are refused, and open ones are closed.
    """
    pool = host.context.connection_pool
    connect = pool.connect

    async def connect_or_fail(key, address, relay=None, timeout_s=None):
        if relay is not None:
            return await connect(key, address, relay, timeout_s)
        if hangs:
            await asyncio.sleep(0.35)
        raise CallError("connect", address, "connect", False)

    async def forward_or_fail(reply, address):
        raise ConnectionRefusedError(address)

    relay = host._tunnel_relay
    forward = relay.forward
    pool.connect, relay.forward = connect_or_fail, forward_or_fail
    pool.close_idle(lambda connection: connection.relay is None)

    def mend():
        pool.connect, relay.forward = connect, forward

    return mend


def states_of(host):
    return list(host.context.endpoints.states.values())


# Guards against a host that is cut off from all endpoints and refuses its callers.
@pytest.mark.parametrize("hangs", [True, False])
@pytest.mark.parametrize("route", [IDEMPOTENT_ROUTE, AT_MOST_ONCE_ROUTE])
def test_host_without_links_serves_through_another_host(route, hangs):
    async def scenario():
        async with two_hosts(healthy, healthy, healthy, route=route) as system:
            cut_links(system.hosts[0], hangs)
            for number in range(20):
                status, _, _ = await system.ask(0, f"/0/{number}", "POST")
                assert status == 200
                assert system.arrivals(f"/0/{number} ") == 1
            tunnels = system.hosts[1]._tunnel_relay.tunnel_count
            assert 0 < tunnels <= 3

    run(scenario())


# Guards against peers that avoid sound endpoints, as a cut host told them its failures.
def test_failures_of_own_links_are_not_told_to_other_hosts():
    async def scenario():
        async with two_hosts(healthy, healthy) as system:
            cut_links(system.hosts[0])
            # Endpoints are drawn, so that some requests may all go to the same one.
            count = 0
            while count < 6 or not all(
                state.path.is_down for state in states_of(system.hosts[0])
            ):
                await system.ask(0, f"/0/{count}")
                count += 1
            await asyncio.sleep(0.5)
            context = system.hosts[1].context
            for state in states_of(system.hosts[1]):
                assert state.health.penalty(context.clock()) == 0.0
                assert not state.path.is_down

    run(scenario())


def test_endpoint_that_no_host_reaches_counts_as_failed():
    async def scenario():
        async with two_hosts(healthy) as system:
            for host in system.hosts:
                cut_links(host)
            status, headers, _ = await system.ask(0)
            assert (status, "Retry-After" in headers) == (503, True)
            state = states_of(system.hosts[0])[0]
            assert state.health.is_avoided(system.hosts[0].context.clock())
            assert not state.path.is_down

    run(scenario())


# Guards against requests that go round between hosts that are all cut off.
def test_host_without_links_forwards_for_no_other_host():
    async def scenario():
        async with two_hosts(healthy) as system:
            cut_links(system.hosts[0])
            await system.ask(0)
            assert states_of(system.hosts[0])[0].path.is_down
            cut_links(system.hosts[1])
            status, _, _ = await system.ask(1)
            assert status == 503
            assert system.arrivals("/0/x") == 1

    run(scenario())


def test_host_whose_links_work_again_sends_directly():
    async def scenario():
        async with two_hosts(healthy) as system:
            mend = cut_links(system.hosts[0])
            await system.ask(0)
            mend()
            state = states_of(system.hosts[0])[0]

            async def ask_until_direct():
                while state.path.is_down:
                    assert (await system.ask(0))[0] == 200
                    await asyncio.sleep(0.05)

            await asyncio.wait_for(ask_until_direct(), 3.0)
            pool = system.hosts[0].context.connection_pool
            assert (await system.ask(0))[0] == 200
            assert any(c.relay is None for cs in pool._idle.values() for c in cs)

    run(scenario())


# Guards against orders that reach an engine from a host that doesn't hold the lease.
def test_calls_to_engines_never_go_through_another_host():
    async def scenario():
        async with two_hosts(healthy) as system:
            cut_links(system.hosts[0])
            assert (await system.ask(0))[0] == 200
            context = system.hosts[0].context
            with pytest.raises(CallError):
                await context.acquire(states_of(system.hosts[0])[0].record, 10)

    run(scenario())


@pytest.mark.parametrize("resets", [True, False])
def test_end_of_a_stream_is_the_same_through_another_host(resets):
    async def scenario():
        script = stream_once(FIRST, SECOND, resets=resets)
        async with two_hosts(script, route=STREAM_ROUTE) as system:
            cut_links(system.hosts[0])
            if resets:
                with pytest.raises(aiohttp.ClientPayloadError):
                    await system.ask(0, method="POST")
                return
            status, _, body = await system.ask(0, method="POST")
            assert (status, body) == (200, FIRST + SECOND)

    run(scenario())


def test_long_response_without_length_is_whole_through_another_host():
    async def scenario():
        whole = bytes(range(256)) * 20_000
        failures = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: failures.append(context))

        async def long(number, head, body, writer):
            framing = "Connection: close"
            writer.write(encode_response(request_id_of(head), whole, framing=framing))
            writer.close()

        async with two_hosts(long) as system:
            cut_links(system.hosts[0])
            pool = system.hosts[0].context.connection_pool
            process = ("e-0", states_of(system.hosts[0])[0].record.address)
            relay = ("host-1", system.hosts[1].context.settings.peers_address)
            connection = await pool.connect(*process, relay)
            response = connection.send(b"GET /0/x HTTP/1.1\r\nHost: h\r\n\r\n", None)
            connection._transport.pause_reading()
            await asyncio.sleep(0.3)
            connection._transport.resume_reading()
            assert await response.body() == whole
            assert not failures

    run(scenario())


# Guards against a stream without length that looks complete since the host in between
# has ended.
def test_end_of_the_host_in_between_completes_no_stream():
    async def scenario():
        async def endless(number, head, body, writer):
            await stream_once(FIRST, framing="Connection: close")(
                number, head, body, _WithoutEnd(writer)
            )
            await asyncio.Event().wait()

        async with two_hosts(endless, route=STREAM_ROUTE) as system:
            cut_links(system.hosts[0])
            asked = asyncio.ensure_future(system.ask(0, method="POST"))
            relay = system.hosts[1]._tunnel_relay
            await until(lambda: relay.tunnel_count == 1)
            await asyncio.sleep(0.1)
            relay.close()
            with pytest.raises(aiohttp.ClientPayloadError):
                await asked

    run(scenario())


class _WithoutEnd:
    """A writer whose connection stays open."""

    def __init__(self, writer):
        self._writer = writer

    def __getattr__(self, name):
        return getattr(self._writer, name)

    def close(self):
        return None


def test_caller_that_leaves_ends_its_request_through_another_host():
    async def scenario():
        async def silent(number, head, body, writer):
            await asyncio.Event().wait()

        async with two_hosts(silent) as system:
            cut_links(system.hosts[0])
            asked = asyncio.ensure_future(ask(system.sessions[0]))
            relay = system.hosts[1]._tunnel_relay
            await until(lambda: relay.tunnel_count == 1)
            asked.cancel()
            await asyncio.wait_for(until(lambda: relay.tunnel_count == 0), 0.5)

    run(scenario())


def test_host_that_stops_is_asked_for_no_more_tunnels():
    async def scenario():
        async with two_hosts(healthy) as system:
            cut_links(system.hosts[0])
            assert (await system.ask(0))[0] == 200
            stopping = system.hosts[1]
            stopping.context.is_draining = True
            stopping._gossip.send_now()
            await until(lambda: stopping._tunnel_relay.tunnel_count == 0)
            assert (await system.ask(0))[0] == 503
            assert system.arrivals("/0/x") == 1

    run(scenario())


@pytest.mark.parametrize("target", ["127.0.0.1:9", "shop.example:80"])
def test_tunnels_lead_to_known_endpoints_only(target):
    async def scenario():
        async with two_hosts(healthy) as system:
            address = system.hosts[1].context.settings.peers_address
            reader, writer = await asyncio.open_connection(*address.split(":"))
            writer.write(
                f"CONNECT {target} HTTP/1.1\r\nHost: {target}\r\n\r\n".encode()
            )
            assert b" 503 " in await reader.readline()
            writer.close()

    run(scenario())


# Guards against a host that refuses requests to an endpoint that others had penalized:
# its idle connections weren't reused, and counted against the limit.
def test_connections_that_are_not_reused_leave_room_for_new_ones():
    async def scenario():
        async with two_hosts(healthy) as system:
            host = system.hosts[0]
            state = states_of(host)[0]
            host.context.connection_limit = lambda service: 0
            asked = [system.ask(0, f"/0/{number}") for number in range(4)]
            assert {status for status, _, _ in await asyncio.gather(*asked)} == {200}
            state.health.on_peer_penalty(host.context.clock(), "host-1", 5.0)
            assert (await system.ask(0, "/0/last"))[0] == 200

    run(scenario())


# Guards against prompts that wait behind a link that is down, while all hosts count
# them as load of an engine that never got them.
@pytest.mark.parametrize("endpoints", [1, 2])
def test_call_that_may_be_made_elsewhere_fails_with_its_link(endpoints):
    async def scenario():
        async def silent(number, head, body, writer):
            await asyncio.Event().wait()

        async with two_hosts(*[silent] * endpoints) as system:
            host = system.hosts[0]
            states, connections = states_of(host), host.context.endpoint_connections
            connection = await connections.acquire(states[0], 10, False)
            response = connection.send(b"GET /0/x HTTP/1.1\r\nHost: h\r\n\r\n", None)
            with connections.fails_with_link(states[0], response):
                cut_links(host)
                await connections.acquire(states[0], 10, False)
                await asyncio.sleep(0.0)
                # One connection that doesn't open may be a lost packet.
                assert states[0].path.is_down and response._error is None
                if endpoints == 2:
                    await connections.acquire(states[1], 10, False)
                else:
                    await asyncio.sleep(1.1)
                    await connections.acquire(states[0], 10, False)
                with pytest.raises(CallError, match="link_down"):
                    await asyncio.wait_for(response.head(), 1.0)
            assert not connections._waiting

    run(scenario())
