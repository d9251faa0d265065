"""Brings a plan's faults about in a world, each from outside the programs."""

import asyncio

__all__ = ["inject"]

# A slow link holds each piece for so long, in seconds: long against the work of 10 ms,
# short against a caller's patience.
LINK_DELAY_S = 0.15
# The watches have told of a change by then, in seconds; reads still tell of the past.
STALE_AFTER_S = 0.3
# The endpoints' next beats come so long after the store is back, in seconds.
BEATS_AFTER_S = 0.8


async def inject(world, plan):
    """Bring all faults of a plan about, and return when the run ends.

    Parameters
    ----------
    world : World
        The system.
    plan : Plan
        Its faults.
    """
    for fault in plan.faults:
        await asyncio.sleep(max(0.0, fault.at_s - world.clock()))
        world.spawn(_bring_about(world, fault))
    await asyncio.sleep(max(0.0, plan.ends_s - world.clock()))


async def _bring_about(world, fault):
    began_s = world.clock()
    target = await _FAULTS[fault.kind](world, fault)
    world.records.spans.append((fault.kind, target or "", began_s, world.clock()))


def _of(parts, fault):
    return parts[fault.target % len(parts)]


async def _host_kill(world, fault):
    host = _of(world.hosts, fault)
    _announce(world, fault, host.callers)
    await world.kill_host(host, fault.for_s)
    return host.callers


async def _all_hosts_kill(world, fault):
    _announce(world, fault, "")
    await asyncio.gather(*(world.kill_host(host, fault.for_s) for host in world.hosts))


async def _host_pause(world, fault):
    host = _of(world.hosts, fault)
    _announce(world, fault, host.callers)
    host.pause()
    await asyncio.sleep(fault.for_s)
    host.resume()
    return host.callers


async def _host_stop(world, fault):
    host = _of(world.hosts, fault)
    await world.stop_host(host, fault.for_s)
    return host.callers


async def _host_reload(world, fault):
    host = _of(world.hosts, fault)
    host.hang_up()
    return host.callers


async def _endpoint_restart(world, fault):
    backend = _of(world.backends, fault)
    _announce(world, fault, backend.name)
    await world.restart_endpoint(backend, fault.for_s)
    return backend.name


async def _endpoint_leave(world, fault):
    backend = _of(world.backends, fault)
    await world.leave_endpoint(backend)
    return backend.name


def _endpoint_mode(mode):
    async def bring_about(world, fault):
        backend = _of(world.backends, fault)
        _announce(world, fault, backend.name)
        backend.mode = mode
        await asyncio.sleep(fault.for_s)
        backend.mode = "well"
        return backend.name

    return bring_about


async def _link_delay(world, fault):
    link = _of(world.links, fault)
    link.delay_s = LINK_DELAY_S
    await asyncio.sleep(fault.for_s)
    link.delay_s = 0.0


async def _link_reset(world, fault):
    _announce(world, fault, "")
    _of(world.links, fault).reset()


def _link_hold(there, back):
    async def bring_about(world, fault):
        link = _of(world.links, fault)
        _announce(world, fault, "")
        link.set_holds(there, back)
        await asyncio.sleep(fault.for_s)
        link.set_holds(False, False)

    return bring_about


def _store_fault(name):
    async def bring_about(world, fault):
        world.store.fault = name
        await asyncio.sleep(fault.for_s)
        world.store.fault = ""

    return bring_about


async def _store_forget(world, fault):
    world.store.forget_history()


async def _store_stale(world, fault):
    world.store.freeze()
    # Something to be wrong about, and a reason to read anew.
    await asyncio.sleep(fault.for_s / 2.0)
    world.write_configuration()
    await asyncio.sleep(STALE_AFTER_S)
    world.store.forget_history()
    await asyncio.sleep(fault.for_s / 2.0)
    world.store.fault = ""
    world.store.forget_history()


async def _store_lapse(world, fault):
    world.store.fault = "refuse"
    world.lapse(True)
    await asyncio.sleep(fault.for_s)
    world.store.fault = ""
    await asyncio.sleep(BEATS_AFTER_S)
    world.lapse(False)


async def _host_store_cut(world, fault):
    link = _of(world.store_links, fault)
    link.set_holds(True, True)
    await asyncio.sleep(fault.for_s)
    link.set_holds(False, False)
    link.reset()


async def _config_change(world, fault):
    world.write_configuration()


def _announce(world, fault, target):
    """Note a fault that is on before it is over, so that what it excuses is known."""
    ends_s = fault.at_s + fault.for_s
    world.records.spans.append((fault.kind, target, world.clock(), ends_s))


_FAULTS = {
    "host_kill": _host_kill,
    "host_pause": _host_pause,
    "host_stop": _host_stop,
    "host_reload": _host_reload,
    "all_hosts_kill": _all_hosts_kill,
    "endpoint_restart": _endpoint_restart,
    "endpoint_leave": _endpoint_leave,
    "endpoint_errors": _endpoint_mode("errors"),
    "endpoint_hang": _endpoint_mode("hang"),
    "endpoint_break": _endpoint_mode("break"),
    "link_delay": _link_delay,
    "link_reset": _link_reset,
    "link_silent": _link_hold(True, True),
    "link_one_way": _link_hold(False, True),
    "store_refuse": _store_fault("refuse"),
    "store_silent": _store_fault("silent"),
    "store_lost": _store_fault("lost"),
    "store_forget": _store_forget,
    "store_stale": _store_stale,
    "store_lapse": _store_lapse,
    "host_store_cut": _host_store_cut,
    "config_change": _config_change,
}
