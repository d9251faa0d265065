"""Prompts of a size that no engine can hold, and failures between a send's counts."""

import pytest
from host_harness import run, two_hosts, until
from notice_harness import healthy


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
