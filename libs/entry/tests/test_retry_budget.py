"""Sends beyond the first of each request, against the operator's bound."""

import asyncio
from collections import Counter

import pytest
from host_harness import (
    BOUNDS,
    ONCE,
    STREAM,
    HostHarness,
    not_run,
    run,
    sample_configuration,
    sample_endpoint_entry,
    settings,
    until,
)
from scripted_endpoint import encode_response, request_id_of

from gypsumusher_entry.context import Context
from gypsumusher_entry.exchange import Exchange
from gypsumusher_entry.metrics import Metrics
from gypsumusher_entry.sending_to_endpoints import silence_timeout
from gypsumusher_platform import decode_configuration
from gypsumusher_routing import HostStatus

REQUESTS = 200
HOSTS = 7


async def make_engines(world, *stages, route=STREAM):
    """Have the endpoints be engines with these stages."""
    content = sample_configuration(2, route)
    content["services"][0]["engine"] = {"slots": 8}
    world.store.put("config", "main", content)
    states = world.host.context.endpoints.states
    for number, stage in enumerate(stages):
        address = states[f"e-{number}"].record.address
        fields = sample_endpoint_entry(address, stage=stage, sequence=9)
        world.store.put("servers", f"e-{number}", fields)
    await until(lambda: world.host.context.configuration_version == 2)
    wanted = list(stages)
    await until(lambda: [s.record.stage for s in states.values()] == wanted)


def test_runs_after_rejected_prefills_count_as_retries():
    """Engines rejected prefills, and each run after one came on top of the budget."""

    async def scenario():
        async with HostHarness(*[not_run] * 4, routes=(STREAM,)) as world:
            await make_engines(world, "prefill", "prefill", "decode", "decode")
            world.host.context.started_s -= 100.0
            for number in range(REQUESTS):
                await world.ask(
                    method="POST",
                    request_id=f"r-{number}",
                    **{"X-Gypsumusher-Token-Count": "30000,4"},
                )
            arrivals = Counter()
            for endpoint in world.endpoints:
                arrivals.update(request_id_of(head) for head, _ in endpoint.requests)
            repeats = sum(count - 1 for count in arrivals.values())
            allowed = BOUNDS.retry_ratio * REQUESTS + BOUNDS.retry_slack
            assert 0 < repeats <= allowed

    run(scenario())


def test_a_late_engine_is_not_left_without_a_retry_to_go_on_with():
    """A prompt was given up while it was read, and its request refused."""

    async def reads_late(number, head, body, writer):
        await asyncio.sleep(0.3)
        prefilled = b'{"handle": "h", "tokens": 30000, "version": 1}'
        writer.write(encode_response(request_id_of(head), prefilled))

    async def streams(number, head, body, writer):
        writer.write(encode_response(request_id_of(head), b"id: 0\ndata: x\n\n"))

    async def scenario():
        route = {**STREAM, "timeout_ms": 7000, "goal_ms": 1500}
        async with HostHarness(reads_late, streams, routes=(route,)) as world:
            await make_engines(world, "prefill", "decode", route=route)
            context = world.host.context
            # Its share of the retries is empty as after a start.
            context.started_s = context.clock()
            learnt = context.learnt("svc")
            learnt.prefill_timeout_s = lambda stage, expected_s: 0.2
            status, _, _ = await world.ask(
                method="POST",
                **{
                    "X-Gypsumusher-Token-Count": "30000,4",
                    "X-Gypsumusher-Deadline-Ms": "7000",
                },
            )
            assert status == 200
            events = [event for event, _ in world.log_lines]
            assert "retry_withheld" in events and "send_failed" not in events

    run(scenario())


def test_a_wait_that_ends_with_its_caller_takes_no_retry():
    """A wait was over and left its engine at the same moment, and a retry was lost."""

    async def scenario():
        async with HostHarness(not_run, routes=(STREAM,)) as world:
            exchange = Exchange(world.host.context, None, None)
            exchange.route = world.host.context.configuration.routes[0]
            reserved = []
            exchange.try_reserve_send = lambda: reserved.append(1)
            with pytest.raises(TimeoutError):
                async with silence_timeout(exchange, 0.05, 0.05):
                    await asyncio.sleep(1.0)
            await asyncio.sleep(0.1)
            assert not reserved

    run(scenario())


def test_a_connection_that_is_refused_takes_no_retry():
    """An endpoint was down, and its refused connections used up the retries."""

    async def scenario():
        async with HostHarness(not_run, not_run, routes=(ONCE,)) as world:
            for endpoint in world.endpoints:
                await endpoint.close()
            status, headers, _ = await world.ask(method="POST")
            assert status == 503
            assert float(headers["Retry-After"]) > 0
            events = [event for event, _ in world.log_lines]
            assert events.count("send_failed") == 2
            assert "retry_taken" not in events and "retry_withheld" not in events

    run(scenario())


class Host:
    """The state of one of seven hosts, on a clock that the test sets."""

    def __init__(self, number, clock):
        self.context = Context(
            settings("127.0.0.1:1", f"127.0.0.{number + 1}", f"host-{number}"),
            clock,
            lambda *args, **fields: None,
            Metrics(),
        )

    def hear(self, now_s, number):
        self.context.hosts.on_record(now_s, f"host-{number}", f"127.0.0.{number + 1}")
        self.context.hosts.on_status(
            now_s,
            HostStatus(
                f"host-{number}", 1, 1, f"127.0.0.{number + 1}", "zone-a", "", "",
                True, 1, 1, 1.0, True, 1.0, 0.45, HOSTS,
            ),
        )  # fmt: skip


def hosts_that_heard_each_other(heard_s, now_s):
    """Return seven hosts that started at 0 s and heard of each other at a time."""
    times_s = [0.0]
    hosts = [Host(number, lambda: times_s[0]) for number in range(HOSTS)]
    times_s[0] = now_s
    for host in hosts:
        for number in range(HOSTS):
            host.hear(heard_s, number)
    return hosts


def retries_of(hosts):
    """Return how many retries the hosts take when each takes all that it may."""
    retries = 0
    for host in hosts:
        while host.context.take_retry("svc").is_allowed:
            retries += 1
    return retries


def test_hosts_that_hear_nobody_keep_to_the_budget_together():
    """Hosts that were cut off from each other each took the retries of all."""
    hosts = hosts_that_heard_each_other(heard_s=0.0, now_s=30.0)
    assert not any(host.context.active_hosts() for host in hosts)
    assert 0 < retries_of(hosts) <= BOUNDS.retry_slack


def test_hosts_of_which_a_part_takes_callers_keep_to_the_budget_together():
    """Four of seven hosts were active, and each of the seven took a fourth."""
    hosts = hosts_that_heard_each_other(heard_s=30.0, now_s=30.0)
    assert {len(host.context.active_hosts()) for host in hosts} == {4}
    assert 0 < retries_of(hosts) <= BOUNDS.retry_slack


def test_hosts_that_hear_nobody_leave_connections_to_the_others():
    """Each of four hosts that were cut off opened nearly all that an endpoint takes."""
    content = decode_configuration(sample_configuration(1, ONCE))
    sums = []
    for heard_s in (30.0, 0.0):
        hosts = hosts_that_heard_each_other(heard_s, now_s=30.0)[:4]
        for host in hosts:
            host.context.adopt(content, None, "test")
        sums.append(sum(host.context.connections_max("svc") for host in hosts))
    assert sums[0] == sums[1] <= content.services["svc"].max_connections
