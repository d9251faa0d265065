"""Short seeded soak runs: real processes, injected faults, no violations.

A failure names its seed; `python soak/run_soak.py --seed N` runs it again.
"""

import asyncio
import time

import aiohttp
import entry_process
import pytest
from deployments import DEPLOYMENTS, SMALL
from entry_process import EntryProcess
from entry_program import LINK_MODES
from injection import FAULTS
from plan import CALM_AFTER_S, KINDS, Fault, Plan, draw_plan
from proxies import Proxy
from records import Records
from run_soak import load_kept_plans, run_seed
from soak_endpoint import SoakEndpoint

# Time span in which faults begin; half of the default of `run_soak.py`.
FAULTY_S = 3.0
# Combinations that these seeds cover: planned stops during the draining of an endpoint,
# loss of all hosts during configuration changes, a store that loses its history.
SEEDS = (7, 19, 31)
# The kinds that `SEEDS` draw from; a further kind would change their faults.
LATER_KINDS = {
    "all_endpoints_full",
    "crashing_content",
    "config_large",
    "endpoint_full",
    "endpoint_limit",
    "endpoint_unframed",
    "host_links_cut",
    "host_links_partly_cut",
    "host_signals",
    "host_store_weak",
}
SEEDED_KINDS = {kind: KINDS[kind] for kind in KINDS if kind not in LATER_KINDS}
# Large configurations reach hosts over links of limited bandwidth, while one host is
# cut off from the store, an endpoint drains and a host restarts.
LARGE_CONFIGURATION_PLAN = Plan(
    (
        Fault(0.7, 4.0, "host_store_weak", 0),
        Fault(0.7, 4.0, "host_store_weak", 1),
        Fault(0.8, 4.0, "host_store_cut", 2),
        Fault(1.0, 0.0, "config_large", 0),
        Fault(1.5, 2.0, "endpoint_leave", 1),
        Fault(2.5, 0.5, "host_kill", 1),
        Fault(3.0, 0.0, "config_large", 0),
    ),
    4.8 + CALM_AFTER_S,
)


# Responses without length, most of which end early, while a host is stopped.
UNFRAMED_PLAN = Plan(
    (
        *[Fault(0.7, 4.0, "endpoint_unframed", number) for number in range(4)],
        Fault(2.0, 0.3, "host_stop", 1),
    ),
    5.0 + CALM_AFTER_S,
)


# Hosts lose their links to all endpoints, once one of them and once all but one, while
# another one is stopped. A target chooses the hosts and what happens to connections.
LINK_CUT_PLANS = {
    mode: Plan(
        (
            Fault(0.7, 6.0, "host_links_cut", 3 * number),
            Fault(3.0, 0.3, "host_stop", 3 * number + 1),
            Fault(9.0, 6.0, "host_links_cut", 3 * number + 2),
        ),
        15.0 + CALM_AFTER_S,
    )
    for number, mode in enumerate(LINK_MODES)
}


# Attempts at one request crash endpoints while hosts are killed and stopped.
CRASHING_CONTENT_PLAN = Plan(
    (
        Fault(0.7, 8.0, "crashing_content", 0),
        Fault(2.0, 0.5, "host_kill", 0),
        Fault(3.5, 0.5, "host_stop", 1),
    ),
    9.0 + CALM_AFTER_S,
)


# Content crashes all endpoints while the store is silent, so that hosts don't hear of
# the restarted ones.
UNHEARD_RESTARTS_PLAN = Plan(
    (
        Fault(0.7, 1.0, "store_silent", 0),
        Fault(0.75, 6.7, "crashing_content", 14),
        Fault(2.2, 3.35, "store_silent", 0),
        Fault(3.9, 5.7, "crashing_content", 46),
        Fault(5.7, 1.0, "store_silent", 0),
    ),
    9.6 + CALM_AFTER_S,
)


# Endpoints state limits, two at a time, while hosts are killed, stopped and cut off.
ENDPOINT_LIMIT_PLAN = Plan(
    (
        Fault(0.7, 9.0, "endpoint_limit", 0),
        Fault(2.0, 9.0, "endpoint_limit", 1),
        Fault(4.0, 3.0, "hosts_apart", 2),
        Fault(5.0, 0.5, "host_kill", 0),
        Fault(8.0, 0.5, "host_stop", 1),
    ),
    11.5 + CALM_AFTER_S,
)


# Releases in series, while one host and then all hosts are killed, and endpoints crash.
RELEASES_PLAN = Plan(
    (
        Fault(0.7, 4.0, "release", 0),
        Fault(1.5, 0.5, "host_kill", 1),
        Fault(2.5, 0.5, "endpoint_restart", 2),
        Fault(3.0, 0.0, "link_reset", 5),
        Fault(3.5, 0.5, "host_kill", 3),
        Fault(5.0, 4.0, "release", 1),
        Fault(6.5, 0.3, "all_hosts_kill", 0),
        Fault(8.0, 0.3, "host_stop", 0),
        Fault(8.5, 1.0, "store_refuse", 0),
        Fault(8.8, 0.5, "host_kill", 2),
    ),
    12.0 + CALM_AFTER_S,
)


@pytest.mark.processes
@pytest.mark.parametrize("seed", SEEDS)
def test_seed_causes_no_violation(seed):
    violations, counts = run_seed(seed, draw_plan(seed, FAULTY_S, SEEDED_KINDS))
    assert not violations, violations
    assert counts["served"] > 0.5 * counts["requests"] > 100


@pytest.mark.processes
def test_endpoints_get_no_more_than_they_state():
    """Hosts together sent endpoints in need as much as before."""
    violations, counts = run_seed(1, ENDPOINT_LIMIT_PLAN)
    assert not violations, violations
    assert counts["served"] > 0.5 * counts["requests"] > 100


@pytest.mark.processes
def test_responses_without_length_that_end_early_never_look_complete():
    """Guards against streams that break off and reach their callers as complete."""
    violations, counts = run_seed(1, UNFRAMED_PLAN)
    assert not violations, violations
    assert counts["served"] > 0.3 * counts["requests"] > 100


@pytest.mark.processes
@pytest.mark.parametrize("mode", LINK_MODES)
def test_hosts_without_links_to_endpoints_serve_like_the_others(mode):
    """Guards against hosts cut off from all endpoints that refuse what others serve."""
    violations, counts = run_seed(1, LINK_CUT_PLANS[mode])
    assert not violations, violations
    assert counts["served"] > 0.8 * counts["requests"] > 100


@pytest.mark.processes
def test_crashing_content_is_refused_on_all_hosts():
    """Attempts at a request that crashes endpoints crashed them on and on."""
    violations, counts = run_seed(1, CRASHING_CONTENT_PLAN)
    assert not violations, violations
    assert counts["served"] > 0.5 * counts["requests"] > 100


# Guards against content that crashes endpoints and isn't refused, since answers of the
# restarted endpoints count as answers of the crashed ones.
@pytest.mark.processes
def test_answer_of_restarted_endpoint_does_not_speak_for_crashing_content():
    violations, counts = run_seed(1, UNHEARD_RESTARTS_PLAN)
    assert not violations, violations
    assert counts["served"] > 0.3 * counts["requests"] > 100


# Guards against a soak endpoint that keeps its id and runs what was sent to the process
# before it.
def test_restarted_endpoint_has_a_new_id_and_rejects_the_former_one():
    async def scenario():
        endpoint = SoakEndpoint("e-0", time.monotonic, Records(SMALL.retry_limit))
        statuses, ids = [], []
        async with aiohttp.ClientSession() as session:
            for _ in range(2):
                address = await endpoint.start()
                ids.append(endpoint.instance_id)
                for instance_id in ids:
                    headers = {
                        "X-Gypsumusher-Request-Id": "r",
                        "X-Gypsumusher-Expect-Instance": instance_id,
                    }
                    url = f"http://{address}/any_times/x"
                    async with session.post(url, headers=headers) as response:
                        statuses.append(response.status)
                await endpoint.close()
        assert statuses == [200, 421, 200]

    asyncio.run(scenario())


@pytest.mark.processes
def test_large_configurations_over_limited_links_cause_no_violation():
    violations, counts = run_seed(1, LARGE_CONFIGURATION_PLAN)
    assert not violations, violations
    assert counts["served"] > 0.5 * counts["requests"] > 100


@pytest.mark.processes
def test_host_has_a_port_of_its_own_for_each_listener(tmp_path, monkeypatch):
    """A host got the peers' port for its directory too, and couldn't start."""

    def free_ports(ip, count, excluded=()):
        return [port for port in (1, 9, 2, 3) if port not in excluded][:count]

    monkeypatch.setattr(entry_process, "free_ports", free_ports)
    limit = SMALL.retry_limit
    host = EntryProcess("h", "127.0.0.9", "a", "127.0.0.1:1", 9, tmp_path, limit)
    listeners = {host.callers, host.ready, host.directory, host.peers}
    assert len(listeners) == 4


def test_host_restarted_by_two_faults_is_one_process(tmp_path):
    """A stop and a kill of one host overlap, and each restarts it.

    The first process would be leaked, and take CPU time from all later runs.
    """

    async def scenario():
        host = EntryProcess(
            "h", "127.0.0.9", "a", "127.0.0.1:1", 1, tmp_path, SMALL.retry_limit
        )
        await host.start()
        first = host.pid
        await host.start()
        assert (host.pid, host.start_count) == (first, 1)
        host.destroy()
        await host.start()
        assert host.pid != first and host.start_count == 2
        host.destroy()

    asyncio.run(scenario())


def test_seed_gives_the_same_plan_each_time():
    assert draw_plan(4, 6.0) == draw_plan(4, 6.0)
    assert draw_plan(4, 6.0) != draw_plan(5, 6.0)


def test_fifty_seeds_cover_every_kind_and_end_without_faults():
    found = set()
    for seed in range(50):
        plan = draw_plan(seed, 6.0)
        found.update(fault.kind for fault in plan.faults)
        last_s = max(fault.at_s + fault.duration_s for fault in plan.faults)
        assert plan.ends_s - last_s == pytest.approx(CALM_AFTER_S, abs=0.01)
    assert found == set(KINDS)


def test_every_kind_of_fault_of_a_deployment_can_be_injected():
    for deployment in DEPLOYMENTS.values():
        assert set(deployment.fault_kinds) <= set(FAULTS)
        assert set(deployment.fault_rate.always) <= set(deployment.fault_kinds)


def test_every_kept_plan_is_valid_and_names_its_cause():
    for plan, cause in load_kept_plans().values():
        assert {fault.kind for fault in plan.faults} <= set(KINDS)
        assert plan.ends_s > plan.faults[-1].at_s and len(cause) > 20


def test_proxy_blocks_one_direction_and_loses_nothing():
    async def scenario():
        async def echo(reader, writer):
            while data := await reader.read(100):
                writer.write(data)

        server = await asyncio.start_server(echo, "127.0.0.1", 0)
        ip, port = server.sockets[0].getsockname()
        proxy = Proxy(f"{ip}:{port}")
        await proxy.start()
        ip, _, port = proxy.address.rpartition(":")
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(b"one")
        assert await reader.readexactly(3) == b"one"
        proxy.set_blocked(False, True)
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            await asyncio.wait_for(reader.readexactly(3), 0.1)
        began_s = time.monotonic()
        proxy.set_blocked(False, False)
        assert await reader.readexactly(3) == b"two"
        assert time.monotonic() - began_s < 5.0
        proxy.reset()
        with pytest.raises(ConnectionResetError):
            await reader.readexactly(1)
        writer.close()
        await proxy.close()
        server.close()

    asyncio.run(scenario())


# All hosts start at the same time without records, and can't reach each other; then all
# endpoints reject for longer than a retry window.
ISOLATED_STARTS_PLAN = Plan(
    (
        Fault(0.5, 20.0, "hosts_apart", 0),
        Fault(0.6, 0.0, "records_lost", 0),
        Fault(0.7, 0.1, "all_hosts_kill", 0),
        Fault(7.0, 12.0, "all_endpoints_full", 0),
    ),
    20.5 + CALM_AFTER_S,
)


@pytest.mark.processes
@pytest.mark.parametrize("name", ["seven-hosts", "eight-hosts"])
def test_hosts_that_start_isolated_stay_within_common_retry_budget(name):
    """Each host divided the slack by the few records that it found when it started."""
    violations, counts = run_seed(1, ISOLATED_STARTS_PLAN, DEPLOYMENTS[name])
    assert not violations, violations
    assert counts["served"] > 0.3 * counts["requests"] > 100


# Hosts that are cut off from each other all take callers; links hold all sends back for
# more than three retry windows, and deliver them while endpoints reject.
HELD_SENDS_PLAN = Plan(
    (
        Fault(3.0, 18.0, "hosts_apart", 0),
        Fault(5.0, 10.0, "all_links_silent", 0),
        Fault(14.5, 5.0, "all_endpoints_busy", 0),
    ),
    21.0 + CALM_AFTER_S,
)


@pytest.mark.processes
def test_sends_held_back_by_links_stay_within_retry_budget():
    """Repeats that were sent into silent links for long all arrived in one window."""
    deployment = DEPLOYMENTS["eight-hosts"]
    limit = deployment.retry_limit._replace(window_s=3.0)
    deployment = deployment._replace(retry_limit=limit)
    violations, counts = run_seed(2, HELD_SENDS_PLAN, deployment)
    assert not violations, violations
    assert counts["served"] > 0.3 * counts["requests"] > 100


# Two of three hosts reach neither the store nor each other while keys are taken away,
# and one of them is paused meanwhile.
KEYS_WITHDRAWN_PLAN = Plan(
    (
        Fault(0.7, 7.0, "host_store_cut", 1),
        Fault(0.7, 7.0, "host_store_cut", 2),
        Fault(0.7, 7.0, "hosts_apart", 1),
        Fault(0.8, 7.0, "hosts_apart", 2),
        Fault(1.2, 0.0, "key_change", 0),
        Fault(1.3, 0.0, "key_change", 3),
        Fault(2.0, 2.0, "host_pause", 2),
        Fault(2.5, 0.0, "key_change", 1),
        Fault(3.0, 2.0, "cloud_lost", 0),
        Fault(4.0, 0.5, "host_kill", 0),
    ),
    7.8 + CALM_AFTER_S,
)


@pytest.mark.processes
def test_keys_withdrawn_while_hosts_are_cut_off_start_no_request():
    """Guards against withdrawn keys at hosts that hear of nothing, and double usage."""
    violations, counts = run_seed(3, KEYS_WITHDRAWN_PLAN, DEPLOYMENTS["accounts"])
    assert not violations, violations
    assert counts["served"] > 100


@pytest.mark.processes
@pytest.mark.parametrize("seed", (5, 11))
def test_seed_with_accounts_causes_no_violation(seed):
    deployment = DEPLOYMENTS["accounts"]
    plan = draw_plan(seed, FAULTY_S, deployment.fault_kinds, deployment.fault_rate)
    violations, counts = run_seed(seed, plan, deployment)
    assert not violations, violations
    assert counts["served"] > 100


# All hosts are lost while one account floods uneven engines of which some slow down, a
# zone's engines leave, and entries of another writer lie in the store.
UNEVEN_PLAN = Plan(
    (
        Fault(0.7, 7.0, "account_flood", 0),
        Fault(1.0, 8.0, "odd_entries", 0),
        Fault(1.5, 2.0, "engines_slow", 1),
        Fault(3.0, 0.4, "all_hosts_kill", 0),
        Fault(4.5, 2.0, "engines_slow", 0),
        Fault(6.0, 3.0, "zone_reclaimed", 1),
        Fault(8.0, 0.5, "host_kill", 1),
    ),
    9.5 + CALM_AFTER_S,
)


@pytest.mark.processes
def test_uneven_engines_are_shared_over_the_loss_of_all_hosts():
    """Guards against accounts that are pushed out, and hosts that return blind."""
    violations, counts = run_seed(1, UNEVEN_PLAN, DEPLOYMENTS["uneven"])
    assert not violations, violations
    assert counts["served"] > 0.5 * counts["requests"] > 100


@pytest.mark.processes
def test_sixty_nine_hosts_with_all_kinds_of_trouble_cause_no_violation():
    """Guards against bounds over all hosts that hold only where hosts are few."""
    deployment = DEPLOYMENTS["sixty-nine-hosts"]
    plan = draw_plan(13, 8.0, deployment.fault_kinds, deployment.fault_rate)
    violations, counts = run_seed(13, plan, deployment)
    assert not violations, violations
    assert counts["served"] > 0.3 * counts["requests"] > 100


# Guards against streams that go on at another software version than began them, and
# against ones that are refused although hosts know theirs.
@pytest.mark.processes
def test_streams_keep_to_their_versions_over_releases():
    violations, counts = run_seed(1, RELEASES_PLAN, DEPLOYMENTS["versions"])
    assert not violations, violations
    assert counts["served"] > 0.5 * counts["requests"] > 100


# Endpoints leave without an entry that says so, and half of them, then all, want no
# requests for a while, beside hosts that are cut off, killed and stopped.
NOTICES_PLAN = Plan(
    (
        Fault(0.7, 0.0, "endpoint_leave_unlisted", 5),
        Fault(0.8, 4.0, "endpoints_pause", 3),
        Fault(1.0, 3.0, "store_silent", 0),
        Fault(2.0, 0.5, "host_kill", 1),
        Fault(3.0, 0.0, "endpoint_leave_unlisted", 0),
        Fault(6.0, 1.0, "all_endpoints_pause", 0),
        Fault(8.0, 0.3, "host_stop", 2),
        Fault(8.5, 3.0, "endpoints_pause", 8),
    ),
    11.5 + CALM_AFTER_S,
)


# Guards against endpoints that go on to get requests after they have said that they
# leave, or want none for a while.
@pytest.mark.processes
def test_endpoints_get_nothing_that_they_say_they_do_not_want():
    violations, counts = run_seed(1, NOTICES_PLAN, DEPLOYMENTS["notices"])
    assert not violations, violations
    assert counts["served"] > 0.5 * counts["requests"] > 100


# Prompts with a part that crashes engines come at all hosts while one host is killed,
# another one is stopped, and then all are killed.
CRASHING_PART_PLAN = Plan(
    (
        Fault(0.7, 11.0, "crashing_part", 0),
        Fault(1.5, 0.5, "host_kill", 0),
        Fault(3.0, 0.5, "host_stop", 1),
        Fault(6.5, 0.3, "all_hosts_kill", 0),
    ),
    11.8 + CALM_AFTER_S,
)


# Guards against a part of prompts that crashes one engine after the other, and sound
# prompts that are refused for what they share with it.
@pytest.mark.processes
def test_part_that_crashes_engines_is_refused_on_all_hosts():
    violations, counts = run_seed(1, CRASHING_PART_PLAN, DEPLOYMENTS["parts"])
    assert not violations, violations
    assert counts["served"] > 0.5 * counts["requests"] > 100
