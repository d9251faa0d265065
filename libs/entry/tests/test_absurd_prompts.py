"""Prompts of a size that no engine can hold, and failures between a send's counts."""

import asyncio

import pytest
from host_harness import HostHarness, make_engines, run, two_hosts, until
from notice_harness import LONG_PROMPT, PROMPT_ROUTE, healthy, slow

STAGES = [("decode",), ("prefill", "decode")]


def prompt(tokens):
    """Return the headers of a prompt with some tokens."""
    return {**LONG_PROMPT, "X-Gypsumusher-Token-Count": f"{tokens},4"}


def loads(host):
    """Return the load that a host counts for itself at each endpoint."""
    states = host.context.endpoints.states
    return {name: state.own_load() for name, state in states.items()}


# Guards against one prompt's cost keeping a host's status from all other hosts.
@pytest.mark.parametrize("prefill_s", [8e12, 1e300, float("inf")])
def test_status_reaches_other_hosts_whatever_a_prefill_takes(prefill_s):
    async def scenario():
        async with two_hosts(healthy()) as pair:
            first, second = pair.hosts
            state, seen = (host.context.endpoints.states["e-0"] for host in pair.hosts)
            state.own_running += 1
            state.begin_prefill(prefill_s, "late")
            first.context.notify_prefill_start()
            await until(lambda: seen.load(second.context.clock()).prefills)
            first._gossip.send_now()

    run(scenario())


# Guards against load that is never taken back, and prompts that are never answered.
@pytest.mark.parametrize("stages", STAGES)
@pytest.mark.parametrize("name", ["prefill_listeners", "prompt_listeners"])
def test_prompt_is_served_when_a_listener_fails(name, stages):
    def fail(*_):
        raise RuntimeError("unforeseen")

    async def scenario():
        scripts = [slow() for _ in stages]
        async with HostHarness(*scripts, routes=(PROMPT_ROUTE,)) as harness:
            await make_engines(harness, *stages, route=PROMPT_ROUTE)
            idle = loads(harness.host)
            getattr(harness.host.context, name).append(fail)
            status, _, _ = await harness.ask(method="POST", **LONG_PROMPT)
            assert status == 200
            assert loads(harness.host) == idle

    run(scenario())


# Guards against a planned stop that cuts requests off because a step of it failed.
def test_stop_waits_for_requests_when_its_messages_fail(monkeypatch):
    def fail():
        raise RuntimeError("unforeseen")

    async def scenario():
        async with HostHarness(slow()) as harness:
            monkeypatch.setattr(harness.host._gossip, "send_now", fail)
            asked = asyncio.ensure_future(harness.ask())
            await until(harness.arrivals)
            await harness.host.stop()
            assert (await asked)[0] == 200

    run(scenario())


# Guards against absurd sizes in estimates and loads, and against futile retries.
@pytest.mark.parametrize("stages", STAGES)
def test_prompt_above_the_memory_of_each_engine_is_refused_at_once(stages):
    async def scenario():
        scripts = [slow() for _ in stages]
        async with HostHarness(*scripts, routes=(PROMPT_ROUTE,)) as harness:
            services = [{"name": "svc", "engine": {"slots": 8, "kv_tokens": 50_000}}]
            fields = {"route": PROMPT_ROUTE, "services": services}
            await make_engines(harness, *stages, **fields)
            for tokens in (2**53 - 1, 50_001):
                status, headers, _ = await harness.ask(method="POST", **prompt(tokens))
                assert (status, headers.get("Retry-After")) == (413, None)
            assert harness.arrivals() == 0
            assert (await harness.ask(method="POST", **prompt(50_000)))[0] == 200

    run(scenario())
