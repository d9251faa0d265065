"""Injects the faults of a plan into a running system, from outside its processes."""

import asyncio
import random

from deployments import ENGINES
from entry_process import EntryProcess
from entry_program import LINK_MODES
from plan import Fault
from records import PROMPT, STREAM
from soak_endpoint import HANDLE_TTL_S, SoakEndpoint

__all__ = ["FAULTS", "inject"]

# Delay that a slow link adds to each read: long compared with an endpoint's 10 ms of
# work for a request, short compared with the callers' deadline.
LINK_DELAY_S = 0.15
# Bandwidth of a limited link: 10 Mbit/s, delivered packet by packet.
LIMITED_BYTES_PER_S = 1_250_000.0
# A twentieth of what an endpoint gets of the callers' requests.
ENDPOINT_LIMIT_PER_S = 5.0
# How long an endpoint wants no requests from a host that it turns away.
PAUSE_S = 3
# How many more requests come in a burst.
BURST_RATE = 1.8
# Shares of the callers that repeat at once what has failed, and of the requests that
# callers leave early.
REPEATING_SHARE, LEAVING_SHARE = 0.3, 0.3
# Share of the requests that one client account sends during a flood, and the factor on
# the work of engines that slow down for a while.
FLOODING_SHARE, SLOWDOWN = 0.7, 2.5
# Shares of the hosts and of the endpoints that a fault of many strikes at once.
HOSTS_KILLED_SHARE, HOSTS_CUT_SHARE, ENDPOINTS_SHARE = 0.55, 0.17, 0.17
PAUSING_SHARE = 0.5
RELEASED_SHARE, TRANSFERS_SHARE = 0.4, 0.35
# Pause between the steps of planned work, and of an endpoint that crashes repeatedly.
STEP_S, FLAP_S = 1.3, 1.4
# How long reloads go on over a start; a host is ready within half a second.
SIGNALS_AFTER_START_S = 0.7
# Hosts that are stopped at a time when all are stopped in turn.
STOPPED_AT_ONCE = 3
# A slow host runs for a fifth of each period.
SLOW_PERIOD_S, SLOW_RUNNING_S = 0.1, 0.02
# Share of the messages that hosts in a zone with a bad network lose.
LOSS_SHARE = 0.1
# Delay of each read from a slow store: sixty times its usual one.
STORE_DELAY_S = 0.24
# By then the watches have delivered a change that reads do not return yet.
WATCH_DELIVERY_S = 0.3
# From the store's return until endpoints write their next heartbeat.
HEARTBEAT_DELAY_S = 0.8


async def inject(system, plan):
    """Inject all faults of a plan, and return when the run ends.

    Parameters
    ----------
    system : SoakSystem
        The system under test.
    plan : Plan
        The faults, in order of their begin, and the end of the run.
    """
    for fault in plan.faults:
        await asyncio.sleep(max(0.0, fault.at_s - system.clock()))
        system.spawn(_inject_fault(system, fault))
    await asyncio.sleep(max(0.0, plan.ends_s - system.clock()))


async def _inject_fault(system, fault):
    """Inject one fault, and record its target and its time span."""
    list_name, apply = FAULTS[fault.kind]
    component = fault.target
    if list_name is not None:
        components = getattr(system, list_name)
        component = components[fault.target % len(components)]
    began_s = system.clock()
    try:
        await apply(system, component, fault.duration_s)
    finally:
        # A fault that the end of the run cancels also excuses the failures it caused.
        span = (fault.kind, _component_name(component), began_s, system.clock())
        system.records.spans.append(span)


def _component_name(component):
    """Return a host's or endpoint's name in the records; other components have none."""
    if isinstance(component, EntryProcess):
        return component.callers
    return component.name if isinstance(component, SoakEndpoint) else ""


async def _host_kill(system, host, duration_s):
    await system.kill_host(host, duration_s)


async def _host_pause(system, host, duration_s):
    host.pause()
    await asyncio.sleep(duration_s)
    host.resume()


async def _host_stop(system, host, duration_s):
    await system.stop_host(host, duration_s)


async def _host_reload(system, host, duration_s):
    await host.reload_settings()


async def _host_signals(system, host, duration_s):
    """Stop a host, also during its next start, amid reloads of rewritten settings.

    The second stop begins once the host has handled signals for the duration.
    """
    stop = Fault(0.0, 0.0, "host_stop", system.hosts.index(host))
    async with asyncio.TaskGroup() as group:
        reloads = group.create_task(host.reload_repeatedly())
        await _inject_fault(system, stop)
        await host.until_signals_handled()
        await asyncio.sleep(duration_s)
        await _inject_fault(system, stop)
        await host.until_signals_handled()
        await asyncio.sleep(SIGNALS_AFTER_START_S)
        reloads.cancel()


async def _endpoint_restart(system, endpoint, duration_s):
    await system.restart_endpoint(endpoint, duration_s)


async def _endpoint_leave(system, endpoint, duration_s):
    await system.drain_endpoint(endpoint)


async def _endpoint_leave_unlisted(system, endpoint, duration_s):
    await system.drain_endpoint(endpoint, is_listed=False)


async def _endpoint_pause(system, endpoint, duration_s):
    await _set_for(duration_s, [endpoint], "pause_s", PAUSE_S, None)


def _endpoint_mode(mode):
    """Return a fault that puts an endpoint into a failure mode."""

    async def apply(system, endpoint, duration_s):
        await _set_for(duration_s, [endpoint], "mode", mode, "well")

    return apply


def _for_all(list_name, apply):
    """Return a fault that applies another one to all components of a list at once."""

    async def apply_to_all(system, _, duration_s):
        components = getattr(system, list_name)
        await asyncio.gather(*(apply(system, c, duration_s) for c in components))

    return apply_to_all


async def _hosts_apart(system, host, duration_s):
    """Cut hosts off from each other: all of them, two halves, or one from the rest."""
    hosts = system.hosts
    number = hosts.index(host)
    if number % 3 == 0:
        groups = [[other] for other in hosts]
    elif number % 3 == 1:
        groups = [hosts[::2], hosts[1::2]]
    else:
        groups = [[host], [other for other in hosts if other is not host]]
    system.set_apart(groups)
    await asyncio.sleep(duration_s)
    system.set_apart([hosts])


def _hosts_to_cut(system, target):
    """Return one host, all hosts of a zone, or all but one, as the target says."""
    hosts = system.hosts
    if target % 3 == 0:
        return [hosts[target % len(hosts)]]
    if target % 3 == 1:
        return [hosts[number] for number in _in_zone(system, hosts, target)]
    spared = hosts[target % len(hosts)]
    return [host for host in hosts if host is not spared]


async def _host_links_cut(system, target, duration_s):
    """Cut hosts off from all endpoints, while callers, store and hosts reach them."""
    mode = LINK_MODES[target // 3 % len(LINK_MODES)]
    await system.cut_links(_hosts_to_cut(system, target), mode, duration_s)


async def _host_links_partly_cut(system, target, duration_s):
    """Cut hosts off from half of the endpoints."""
    mode = LINK_MODES[target // 3 % len(LINK_MODES)]
    await system.cut_links(_hosts_to_cut(system, target), mode, duration_s, 0.5)


async def _endpoint_limit(system, endpoint, duration_s):
    await system.limit_endpoint(endpoint, ENDPOINT_LIMIT_PER_S, duration_s)


async def _crashing_content(system, target, duration_s):
    await system.send_crashing_content(target, duration_s)


async def _crashing_part(system, target, duration_s):
    await system.send_crashing_part(target, duration_s)


def _choose(components, share, target):
    """Return a share of some components, at least one; the target seeds the draw."""
    count = max(1, round(share * len(components)))
    return random.Random(target).sample(range(len(components)), count)


def _in_zone(system, components, target):
    """Return the numbers of the components in one zone."""
    zones = system.deployment.zones
    return [n for n in range(len(components)) if n % zones == target % zones]


async def _set_for(duration_s, components, name, value, usual):
    """Set an attribute of components for some time."""
    for component in components:
        setattr(component, name, value)
    await asyncio.sleep(duration_s)
    for component in components:
        setattr(component, name, usual)


def _for_share(kind, list_name, share):
    """Return a fault that applies another kind to a share of a list's components."""

    async def apply(system, target, duration_s):
        chosen = _choose(getattr(system, list_name), share, target)
        await _inject_all(system, [Fault(0.0, duration_s, kind, n) for n in chosen])

    return apply


async def _inject_all(system, faults):
    await asyncio.gather(*(_inject_fault(system, fault) for fault in faults))


async def _in_turn(system, kind, numbers, pause_s):
    """Apply a fault without duration to components in turn; they may overlap."""
    running = []
    for number in numbers:
        fault = Fault(0.0, 0.0, kind, number)
        running.append(asyncio.ensure_future(_inject_fault(system, fault)))
        await asyncio.sleep(pause_s)
    await asyncio.gather(*running)


def _choose_released(system, target, duration_s):
    """Return the endpoints that are replaced within some time."""
    chosen = _choose(system.backends, RELEASED_SHARE, target)
    return chosen[: max(1, int(duration_s / STEP_S))]


async def _endpoints_released(system, target, duration_s):
    """Replace a share of the endpoints one after the other."""
    chosen = _choose_released(system, target, duration_s)
    await _in_turn(system, "endpoint_leave", chosen, STEP_S)


async def _release(system, target, duration_s):
    """Replace a share of the endpoints by a new software version, one by one."""
    chosen = _choose_released(system, target, duration_s)
    system.release_next_version([system.backends[number] for number in chosen])
    await _in_turn(system, "endpoint_leave", chosen, STEP_S)


async def _zone_reclaimed(system, target, duration_s):
    """Let all engines of a zone leave at once."""
    chosen = [
        number
        for number in _in_zone(system, system.backends, target)
        if system.backends[number].service == ENGINES
    ]
    faults = [Fault(0.0, duration_s, "endpoint_leave", n) for n in chosen]
    await _inject_all(system, faults)


async def _hosts_roll(system, target, duration_s):
    """Stop hosts in turn, several at a time."""
    count = STOPPED_AT_ONCE * max(1, int(duration_s / STEP_S))
    numbers = [target + step for step in range(min(count, len(system.hosts)))]
    await _in_turn(system, "host_stop", numbers, STEP_S / STOPPED_AT_ONCE)


async def _host_replace(system, host, duration_s):
    await system.replace_host(host, duration_s)


async def _host_slow(system, host, duration_s):
    until_s = system.clock() + duration_s
    while system.clock() < until_s:
        host.pause()
        await asyncio.sleep(SLOW_PERIOD_S - SLOW_RUNNING_S)
        host.resume()
        await asyncio.sleep(SLOW_RUNNING_S)


async def _zone_lossy(system, target, duration_s):
    """Lose messages of all hosts in a zone, and send again what they sent the store."""
    chosen = _in_zone(system, system.hosts, target)
    hosts = [system.hosts[number] for number in chosen]
    links = [system.store_links[number] for number in chosen]
    for host in hosts:
        host.set_loss(LOSS_SHARE)
    await _set_for(duration_s, links, "delay_s", LINK_DELAY_S, 0.0)
    for host in hosts:
        host.set_loss(0.0)


async def _store_slow(system, _, duration_s):
    links = list(system.store_links)
    await _set_for(duration_s, links, "delay_s", STORE_DELAY_S, 0.0)


async def _endpoint_flap(system, endpoint, duration_s):
    until_s = system.clock() + duration_s
    number = system.backends.index(endpoint)
    while system.clock() < until_s:
        fault = Fault(0.0, FLAP_S / 2.0, "endpoint_restart", number)
        await _inject_fault(system, fault)
        await asyncio.sleep(FLAP_S / 2.0)


async def _endpoint_dark(system, endpoint, duration_s):
    await system.silence_endpoint(endpoint, duration_s)


def _endpoint_attribute(name, value, usual):
    """Return a fault that sets an attribute of a share of the endpoints."""

    async def apply(system, target, duration_s):
        chosen = _choose(system.backends, TRANSFERS_SHARE, target)
        endpoints = [system.backends[number] for number in chosen]
        await _set_for(duration_s, endpoints, name, value, usual)

    return apply


def _demand(name, value, usual):
    """Return a fault that changes what callers ask for."""

    async def apply(system, _, duration_s):
        await _set_for(duration_s, [system.demand], name, value, usual)

    return apply


async def _traffic_shift(system, target, duration_s):
    kind = (PROMPT, STREAM)[target % 2]
    await _demand("favoured_kind", kind, None)(system, target, duration_s)


async def _odd_entries(system, _, duration_s):
    await system.write_odd_entries(duration_s)


async def _records_lost(system, _, duration_s):
    system.remove_host_records()


async def _link_delay(system, link, duration_s):
    await _set_for(duration_s, [link], "delay_s", LINK_DELAY_S, 0.0)


async def _host_store_weak(system, link, duration_s):
    await _set_for(duration_s, [link], "bytes_per_s", LIMITED_BYTES_PER_S, None)


async def _link_reset(system, link, duration_s):
    link.reset()


async def _link_half_reset(system, link, duration_s):
    """Reset the hosts' side of a link's connections, as a firewall does that restarts.

    The endpoint's side stays open, and gets what was on its way.
    """
    link.reset_clients()


def _link_block(upstream, downstream):
    """Return a fault that holds back one or both directions of a link."""

    async def apply(system, link, duration_s):
        link.set_blocked(upstream, downstream)
        await asyncio.sleep(duration_s)
        link.set_blocked(False, False)

    return apply


def _store_fault(name):
    """Return a fault that puts the store into one of its failure modes."""

    async def apply(system, _, duration_s):
        system.store.fault = name
        await asyncio.sleep(duration_s)
        system.store.fault = ""

    return apply


async def _store_forget(system, _, duration_s):
    system.store.drop_event_history()


async def _store_stale(system, _, duration_s):
    """Let reads of the store return old state while watches deliver changes."""
    system.store.start_stale_reads()
    # The change is what the frozen reads get wrong; the lost history makes hosts read.
    await asyncio.sleep(duration_s / 2.0)
    system.write_configuration()
    await asyncio.sleep(WATCH_DELIVERY_S)
    system.store.drop_event_history()
    await asyncio.sleep(duration_s / 2.0)
    system.store.fault = ""
    system.store.drop_event_history()


async def _store_lapse(system, _, duration_s):
    """Take the store down, and let the endpoints' entries expire meanwhile."""
    system.store.fault = "refuse"
    system.set_entries_lapsed(True)
    await asyncio.sleep(duration_s)
    system.store.fault = ""
    await asyncio.sleep(HEARTBEAT_DELAY_S)
    system.set_entries_lapsed(False)


async def _host_store_cut(system, link, duration_s):
    """Cut one host off the store."""
    await _link_block(True, True)(system, link, duration_s)
    link.reset()


async def _config_change(system, _, duration_s):
    system.write_configuration()


async def _config_large(system, _, duration_s):
    system.add_routes()


async def _key_change(system, target, _):
    system.change_key(target)


def _cloud_fault(name):
    """Return a function that sets a fault of the platform for some time."""

    async def apply(system, _, duration_s):
        system.cloud.fault = name
        await asyncio.sleep(duration_s)
        if system.cloud.fault == name:
            system.cloud.fault = ""

    return apply


# For each kind of fault: the attribute of `SoakSystem` that lists its possible targets
# (None if it has no single target), and the function that applies it.
FAULTS = {
    "host_kill": ("hosts", _host_kill),
    "host_pause": ("hosts", _host_pause),
    "host_stop": ("hosts", _host_stop),
    "host_reload": ("hosts", _host_reload),
    "host_signals": ("hosts", _host_signals),
    "all_hosts_kill": (None, _for_all("hosts", _host_kill)),
    "endpoint_restart": ("backends", _endpoint_restart),
    "endpoint_leave": ("backends", _endpoint_leave),
    "endpoint_leave_unlisted": ("backends", _endpoint_leave_unlisted),
    "endpoint_pause": ("backends", _endpoint_pause),
    "endpoints_pause": (None, _for_share("endpoint_pause", "backends", PAUSING_SHARE)),
    "all_endpoints_pause": (None, _for_all("backends", _endpoint_pause)),
    "endpoint_errors": ("backends", _endpoint_mode("errors")),
    "endpoint_hang": ("backends", _endpoint_mode("hang")),
    "endpoint_break": ("backends", _endpoint_mode("break")),
    "endpoint_full": ("backends", _endpoint_mode("full")),
    "endpoint_unframed": ("backends", _endpoint_mode("unframed")),
    "all_endpoints_full": (None, _for_all("backends", _endpoint_mode("full"))),
    "all_endpoints_busy": (None, _for_all("backends", _endpoint_mode("busy"))),
    "all_links_silent": (None, _for_all("links", _link_block(True, True))),
    "hosts_apart": ("hosts", _hosts_apart),
    "endpoint_limit": ("backends", _endpoint_limit),
    "crashing_content": (None, _crashing_content),
    "crashing_part": (None, _crashing_part),
    "records_lost": (None, _records_lost),
    "traffic_burst": (None, _demand("rate", BURST_RATE, 1.0)),
    "traffic_shift": (None, _traffic_shift),
    "callers_repeat": (None, _demand("repeating_share", REPEATING_SHARE, 0.0)),
    "account_flood": (None, _demand("flooding_share", FLOODING_SHARE, 0.0)),
    "engines_slow": (None, _endpoint_attribute("slowdown", SLOWDOWN, 1.0)),
    "odd_entries": (None, _odd_entries),
    "callers_leave": (None, _demand("leaving_share", LEAVING_SHARE, 0.0)),
    "endpoint_flap": ("backends", _endpoint_flap),
    "endpoint_dark": ("backends", _endpoint_dark),
    "endpoint_grey": ("backends", _endpoint_mode("grey")),
    "endpoint_lose": ("backends", _endpoint_mode("lose")),
    "endpoints_dark": (None, _for_share("endpoint_dark", "backends", ENDPOINTS_SHARE)),
    "endpoints_grey": (None, _for_share("endpoint_grey", "backends", ENDPOINTS_SHARE)),
    "endpoints_lose": (None, _for_share("endpoint_lose", "backends", ENDPOINTS_SHARE)),
    "endpoints_released": (None, _endpoints_released),
    "release": (None, _release),
    "zone_reclaimed": (None, _zone_reclaimed),
    "handles_lapse": (None, _endpoint_attribute("handle_ttl_s", 0.0, HANDLE_TTL_S)),
    "transfers_slow": (None, _endpoint_attribute("is_transfer_slow", True, False)),
    "orders_late": (None, _endpoint_attribute("is_order_late", True, False)),
    "host_replace": ("hosts", _host_replace),
    "host_slow": ("hosts", _host_slow),
    "half_hosts_kill": (None, _for_share("host_kill", "hosts", HOSTS_KILLED_SHARE)),
    "hosts_roll": (None, _hosts_roll),
    "hosts_store_cut": (
        None,
        _for_share("host_store_cut", "store_links", HOSTS_CUT_SHARE),
    ),
    "zone_lossy": (None, _zone_lossy),
    "store_slow": (None, _store_slow),
    "link_delay": ("links", _link_delay),
    "link_reset": ("links", _link_reset),
    "link_half_reset": ("links", _link_half_reset),
    "all_links_half_reset": (None, _for_all("links", _link_half_reset)),
    "link_silent": ("links", _link_block(True, True)),
    "link_one_way": ("links", _link_block(False, True)),
    "store_refuse": (None, _store_fault("refuse")),
    "store_silent": (None, _store_fault("silent")),
    "store_lost": (None, _store_fault("lost")),
    "store_forget": (None, _store_forget),
    "store_stale": (None, _store_stale),
    "store_lapse": (None, _store_lapse),
    "host_store_cut": ("store_links", _host_store_cut),
    "host_links_cut": (None, _host_links_cut),
    "host_links_partly_cut": (None, _host_links_partly_cut),
    "config_change": (None, _config_change),
    "config_large": (None, _config_large),
    "host_store_weak": ("store_links", _host_store_weak),
    "key_change": (None, _key_change),
    "cloud_refuse": (None, _cloud_fault("refuse")),
    "cloud_silent": (None, _cloud_fault("silent")),
    "cloud_lost": (None, _cloud_fault("lost")),
}
