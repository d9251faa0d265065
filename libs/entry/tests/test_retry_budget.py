"""Sends beyond the first of each request stay within the operator's retry budget."""

import asyncio
from collections import Counter

import pytest
from host_harness import (
    AT_MOST_ONCE_ROUTE,
    BOUNDS,
    STREAM_ROUTE,
    HostHarness,
    make_engines,
    not_run,
    run,
    sample_configuration,
    settings,
    until,
)
from scripted_endpoint import encode_response, request_id_of

from gypsumusher_entry.context import Context
from gypsumusher_entry.exchange import Exchange
from gypsumusher_entry.metrics import Metrics
from gypsumusher_entry.sending_to_endpoints import silence_timeout, start_send
from gypsumusher_platform import decode_configuration
from gypsumusher_routing import HostStatus, RecordState, SendCounter

REQUESTS = 200
HOSTS = 7


def test_runs_after_rejected_prefills_count_as_retries():
    """Runs after rejected prefills exceeded the budget: they weren't counted."""

    async def scenario():
        async with HostHarness(*[not_run] * 4, routes=(STREAM_ROUTE,)) as harness:
            await make_engines(harness, "prefill", "prefill", "decode", "decode")
            harness.host.context.started_s -= 100.0
            for number in range(REQUESTS):
                await harness.ask(
                    method="POST",
                    request_id=f"r-{number}",
                    **{"X-Gypsumusher-Token-Count": "30000,4"},
                )
            arrivals = Counter()
            for endpoint in harness.endpoints:
                arrivals.update(request_id_of(head) for head, _ in endpoint.requests)
            repeats = sum(count - 1 for count in arrivals.values())
            allowed = BOUNDS.retry_ratio * REQUESTS + BOUNDS.retry_slack
            assert 0 < repeats <= allowed

    run(scenario())


def test_late_engine_is_kept_when_no_retry_is_left():
    """A prefill was abandoned without a retry left, and its request was refused."""

    async def prefills_late(number, head, body, writer):
        await asyncio.sleep(0.3)
        prefilled = b'{"handle": "h", "tokens": 30000, "version": 1}'
        writer.write(encode_response(request_id_of(head), prefilled))

    async def streams(number, head, body, writer):
        writer.write(encode_response(request_id_of(head), b"id: 0\ndata: x\n\n"))

    async def scenario():
        route = {**STREAM_ROUTE, "timeout_ms": 7000, "goal_ms": 1500}
        async with HostHarness(prefills_late, streams, routes=(route,)) as harness:
            await make_engines(harness, "prefill", "decode", route=route)
            context = harness.host.context
            # The host's share of the budget is empty, as after a start.
            context.started_s = context.clock()
            cost_model = context.cost_model("svc")
            cost_model.prefill_timeout_s = lambda stage, expected_s: 0.2
            status, _, _ = await harness.ask(
                method="POST",
                **{
                    "X-Gypsumusher-Token-Count": "30000,4",
                    "X-Gypsumusher-Deadline-Ms": "7000",
                },
            )
            assert status == 200
            events = [event for event, _ in harness.log_lines]
            assert "retry_withheld" in events and "send_failed" not in events

    run(scenario())


def test_wait_ending_at_its_limit_takes_no_retry():
    """A wait whose two limits ended at the same moment took a retry for nothing."""

    async def scenario():
        async with HostHarness(not_run, routes=(STREAM_ROUTE,)) as harness:
            exchange = Exchange(harness.host.context, None, None)
            exchange.route = harness.host.context.configuration.routes[0]
            reserved = []
            exchange.try_reserve_send = lambda: reserved.append(1)
            with pytest.raises(TimeoutError):
                async with silence_timeout(exchange, 0.05, 0.05):
                    await asyncio.sleep(1.0)
            await asyncio.sleep(0.1)
            assert not reserved

    run(scenario())


def test_refused_connection_takes_no_retry():
    """Refused connections to an endpoint that was down used up the retry budget."""

    async def scenario():
        async with HostHarness(
            not_run, not_run, routes=(AT_MOST_ONCE_ROUTE,)
        ) as harness:
            for endpoint in harness.endpoints:
                await endpoint.close()
            status, headers, _ = await harness.ask(method="POST")
            assert status == 503
            assert float(headers["Retry-After"]) > 0
            events = [event for event, _ in harness.log_lines]
            assert events.count("send_failed") == 2
            assert "retry_taken" not in events and "retry_withheld" not in events

    run(scenario())


def test_cancelled_connection_gives_its_place_in_the_budget_back():
    """Each hedge that was cancelled while it connected took a retry for ever."""

    async def scenario():
        async with HostHarness(not_run, routes=(AT_MOST_ONCE_ROUTE,)) as harness:
            context = harness.host.context
            exchange = Exchange(context, None, None)
            exchange.send_counter.retries = 1
            context.acquire = lambda *_: asyncio.Event().wait()
            send = start_send(exchange, context.endpoints.states["e-0"], None)
            task = asyncio.ensure_future(send)
            await asyncio.sleep(0)
            assert exchange.send_counter.retries_under_way(0.0, 30.0) == 1
            task.cancel()
            await asyncio.wait([task])
            assert exchange.send_counter.retries_under_way(0.0, 30.0) == 0

    run(scenario())


def test_later_retry_of_a_request_keeps_its_place_in_the_budget():
    """Only a request's first retry kept its place while its send was held back."""
    calls = []

    async def reject_twice(number, head, body, writer):
        calls.append(number)
        if len(calls) > 2:
            await asyncio.Event().wait()
        await not_run(number, head, body, writer)

    async def scenario():
        scripts = [reject_twice] * 3
        async with HostHarness(*scripts, routes=(AT_MOST_ONCE_ROUTE,)) as harness:
            context = harness.host.context
            context.started_s -= 100.0
            request = asyncio.ensure_future(harness.ask(method="POST"))
            await until(lambda: len(calls) == 3)
            assert context.take_retry("svc", SendCounter()).under_way == 1
            request.cancel()
            await asyncio.wait([request])
            # The caller has left; the send may still be on its way.
            assert context.take_retry("svc", SendCounter()).under_way == 1

    run(scenario())


class Host:
    """One of seven hosts, with a clock that the test sets."""

    def __init__(self, number, clock):
        self.context = Context(
            settings("127.0.0.1:1", f"127.0.0.{number + 1}", f"host-{number}"),
            clock,
            lambda *args, **fields: None,
            Metrics(),
        )

    def receive_update(self, now_s, number):
        """Receive the record and a status of another host."""
        self.context.hosts.on_record(now_s, f"host-{number}", f"127.0.0.{number + 1}")
        self.context.hosts.on_status(
            now_s,
            HostStatus(
                f"host-{number}", 1, 1, f"127.0.0.{number + 1}", "zone-a", "", "",
                True, 1, 1, 1.0, True, 1.0, 0.45, HOSTS, HOSTS,
                True,
            ),
        )  # fmt: skip


def create_hosts(received_s, now_s):
    """Return seven hosts, started at 0 s, that received all updates at `received_s`."""
    times_s = [0.0]
    hosts = [Host(number, lambda: times_s[0]) for number in range(HOSTS)]
    times_s[0] = now_s
    for host in hosts:
        for number in range(HOSTS):
            host.receive_update(received_s, number)
        host.context.membership.on_own_record(received_s, RecordState.MEMBER)
    return hosts


def retries_of(hosts):
    """Return how many retries the hosts take when each takes all that it may."""
    retries = 0
    for host in hosts:
        while host.context.take_retry("svc", SendCounter()).is_allowed:
            retries += 1
    return retries


def test_isolated_hosts_stay_within_common_budget():
    """Hosts that were cut off from each other each used the whole budget."""
    hosts = create_hosts(received_s=0.0, now_s=30.0)
    assert not any(host.context.active_hosts() for host in hosts)
    assert 0 < retries_of(hosts) <= BOUNDS.retry_slack


def test_partly_active_hosts_stay_within_common_budget():
    """Four of seven hosts were active, and each of the seven used a quarter."""
    hosts = create_hosts(received_s=30.0, now_s=30.0)
    assert {len(host.context.active_hosts()) for host in hosts} == {4}
    assert 0 < retries_of(hosts) <= BOUNDS.retry_slack


def test_isolated_hosts_share_endpoint_connections():
    """Each of four isolated hosts opened nearly all connections of an endpoint."""
    content = decode_configuration(sample_configuration(1, AT_MOST_ONCE_ROUTE))
    sums = []
    for received_s in (30.0, 0.0):
        hosts = create_hosts(received_s, now_s=30.0)[:4]
        for host in hosts:
            host.context.apply_configuration(content, None, "test")
        sums.append(sum(host.context.connection_limit("svc") for host in hosts))
    assert sums[0] == sums[1] <= content.services["svc"].max_connections
