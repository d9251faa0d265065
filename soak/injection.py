"""Brings a plan's faults about in a world, each from outside the programs."""

import asyncio

from backend import Backend
from entry_process import EntryProcess

__all__ = ["inject"]

# A slow link holds each piece for so long, in seconds: long against the work of 10 ms,
# short against a caller's patience.
LINK_DELAY_S = 0.15
# A weak link carries so many bytes a second, packet by packet: 10 Mbit/s.
WEAK_BYTES_PER_S = 1_250_000.0
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
    """Bring one fault about, and note what it befell and when."""
    parts_name, bring_about = _FAULTS[fault.kind]
    part = None
    if parts_name is not None:
        parts = getattr(world, parts_name)
        part = parts[fault.target % len(parts)]
    began_s = world.clock()
    try:
        await bring_about(world, part, fault.for_s)
    finally:
        # Also of a fault that the end of the run breaks off: it excuses what it did.
        span = (fault.kind, _name_of(part), began_s, world.clock())
        world.records.spans.append(span)


def _name_of(part):
    """Return what records call a host or an endpoint; nothing else has a name there."""
    if isinstance(part, EntryProcess):
        return part.callers
    return part.name if isinstance(part, Backend) else ""


async def _all_hosts_kill(world, _, for_s):
    await asyncio.gather(*(world.kill_host(host, for_s) for host in world.hosts))


async def _host_kill(world, host, for_s):
    await world.kill_host(host, for_s)


async def _host_pause(world, host, for_s):
    host.pause()
    await asyncio.sleep(for_s)
    host.resume()


async def _host_stop(world, host, for_s):
    await world.stop_host(host, for_s)


async def _host_reload(world, host, for_s):
    host.hang_up()


async def _endpoint_restart(world, backend, for_s):
    await world.restart_endpoint(backend, for_s)


async def _endpoint_leave(world, backend, for_s):
    await world.leave_endpoint(backend)


def _endpoint_mode(mode):
    async def bring_about(world, backend, for_s):
        backend.mode = mode
        await asyncio.sleep(for_s)
        backend.mode = "well"

    return bring_about


async def _all_endpoints_full(world, _, for_s):
    bring_about = _endpoint_mode("full")
    await asyncio.gather(*(bring_about(world, part, for_s) for part in world.backends))


async def _link_delay(world, link, for_s):
    link.delay_s = LINK_DELAY_S
    await asyncio.sleep(for_s)
    link.delay_s = 0.0


async def _host_store_weak(world, link, for_s):
    link.bytes_per_s = WEAK_BYTES_PER_S
    await asyncio.sleep(for_s)
    link.bytes_per_s = None


async def _link_reset(world, link, for_s):
    link.reset()


def _link_hold(there, back):
    async def bring_about(world, link, for_s):
        link.set_holds(there, back)
        await asyncio.sleep(for_s)
        link.set_holds(False, False)

    return bring_about


def _store_fault(name):
    async def bring_about(world, _, for_s):
        world.store.fault = name
        await asyncio.sleep(for_s)
        world.store.fault = ""

    return bring_about


async def _store_forget(world, _, for_s):
    world.store.drop_event_history()


async def _store_stale(world, _, for_s):
    world.store.start_stale_reads()
    # Something to be wrong about, and a reason to read anew.
    await asyncio.sleep(for_s / 2.0)
    world.write_configuration()
    await asyncio.sleep(STALE_AFTER_S)
    world.store.drop_event_history()
    await asyncio.sleep(for_s / 2.0)
    world.store.fault = ""
    world.store.drop_event_history()


async def _store_lapse(world, _, for_s):
    world.store.fault = "refuse"
    world.lapse(True)
    await asyncio.sleep(for_s)
    world.store.fault = ""
    await asyncio.sleep(BEATS_AFTER_S)
    world.lapse(False)


async def _host_store_cut(world, link, for_s):
    await _link_hold(True, True)(world, link, for_s)
    link.reset()


async def _config_change(world, _, for_s):
    world.write_configuration()


async def _config_large(world, _, for_s):
    world.grow_configuration()


# Which parts of the world a kind of fault befalls one of, and what brings it about.
_FAULTS = {
    "host_kill": ("hosts", _host_kill),
    "host_pause": ("hosts", _host_pause),
    "host_stop": ("hosts", _host_stop),
    "host_reload": ("hosts", _host_reload),
    "all_hosts_kill": (None, _all_hosts_kill),
    "endpoint_restart": ("backends", _endpoint_restart),
    "endpoint_leave": ("backends", _endpoint_leave),
    "endpoint_errors": ("backends", _endpoint_mode("errors")),
    "endpoint_hang": ("backends", _endpoint_mode("hang")),
    "endpoint_break": ("backends", _endpoint_mode("break")),
    "endpoint_full": ("backends", _endpoint_mode("full")),
    "all_endpoints_full": (None, _all_endpoints_full),
    "link_delay": ("links", _link_delay),
    "link_reset": ("links", _link_reset),
    "link_silent": ("links", _link_hold(True, True)),
    "link_one_way": ("links", _link_hold(False, True)),
    "store_refuse": (None, _store_fault("refuse")),
    "store_silent": (None, _store_fault("silent")),
    "store_lost": (None, _store_fault("lost")),
    "store_forget": (None, _store_forget),
    "store_stale": (None, _store_stale),
    "store_lapse": (None, _store_lapse),
    "host_store_cut": ("store_links", _host_store_cut),
    "config_change": (None, _config_change),
    "config_large": (None, _config_large),
    "host_store_weak": ("store_links", _host_store_weak),
}
