"""Short messages between hosts: who lives, what is under way, what fails.

Each host tells the others what it has sent to each endpoint. Without that, seven hosts
that each see a seventh of the load send to the same idle engine at once.
"""

import asyncio
import socket
from typing import NamedTuple

import msgpack

from gypsumusher_routing import LANES, GossipRateLimiter, HostStatus, Load, OrderedStage

__all__ = ["Gossip"]

# Version of the message; others are passed over, so that hosts of two releases can
# serve side by side.
FORMAT = 4
# Least time between two messages while the load changes, in seconds. A prompt is read
# in a tenth of a second or more, so older counts still tell. Four hosts served 0.02 to
# 0.04 less of the worth at 0.2 s, 0.01 to 0.02 less at 0.1 s, and no more at 0.02 s.
CHANGED_S = 0.05
# Least time between two messages when a prompt is sent to be read, in seconds. What a
# host hears of it later than this it learns too late: several hosts send a prompt to
# the engine that was idle, and all but one of them wait.
URGENT_S = 0.01
# The same for hosts that callers aren't sent to, which have little to tell, in seconds.
QUIET_S = 0.2
# Time between two messages at rest among the active hosts, and from and to the others,
# in seconds. Sixty hosts that told each other all of it twice a second would spend a
# hundredth of a core and ten times the bytes that control may take.
REST_S = 0.45
FAR_S = 1.0
# What a peer says of an engine's stage holds for this long, in seconds: it is said
# again with each message, and the engine's own entry tells soon after.
STAGE_NEWS_KEPT_S = 2.0
MAX_DATAGRAM_BYTES = 60_000
# Placements told in one message; more wait for the next.
MAX_PLACEMENTS = 64


class Gossip(asyncio.DatagramProtocol):
    """Tells the other hosts, and takes in what they tell.

    Parameters
    ----------
    context : Context
        What is told, and what takes in the news.
    """

    def __init__(self, context):
        self._context = context
        self._transport = None
        self._task = None
        self._beat = 0
        self._told = None
        self._told_active_s = 0.0
        self._told_all_s = 0.0
        self._link_share = GossipRateLimiter(context.settings.link_mbps)

    async def start(self):
        """Open the socket and begin to tell."""
        settings = self._context.settings
        loop = asyncio.get_running_loop()
        address = (settings.ip, settings.datagram_port)
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=address, family=socket.AF_INET
        )
        self._context.reading_listeners.append(self.on_reading_begun)
        self._task = self._context.spawn(self._run())

    async def close(self):
        """Stop to tell and close the socket."""
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self._transport.close()

    def tell_now(self):
        """Tell all hosts at once, as before a planned stop."""
        now_s = self._context.clock()
        self._tell(now_s, self._state(now_s), is_for_all=True)

    # Called by the transport

    def connection_made(self, transport):
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data, address):
        """Take in one message; an unreadable one changes nothing."""
        try:
            message = _decode(data)
        except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
            self._context.log("warning", "gossip_unreadable", error=repr(error))
            return
        self._take(message)

    def error_received(self, error):
        """Pass over a refused datagram."""
        # A host without a process refuses the datagram; its silence tells the same.
        return

    async def _run(self):
        while True:
            context = self._context
            await context.next_tick(CHANGED_S if context.is_active() else QUIET_S)
            now_s = context.clock()
            state = self._state(now_s)
            if now_s - self._told_all_s >= FAR_S or self._is_news(state):
                self._tell(now_s, state, is_for_all=True)
            elif now_s - self._told_active_s >= REST_S:
                self._tell(now_s, state, is_for_all=False)
            elif state != self._told and self._link_share.may_send(now_s):
                self._tell(now_s, state, is_for_all=False)

    def _told_lease(self):
        """Return what this host knows of the lease for orders; None for nothing."""
        lease = self._context.stage_lease
        return None if lease is None else lease.told()

    def on_reading_begun(self):
        """Tell the other active hosts at once what an engine has to read."""
        now_s = self._context.clock()
        if now_s - self._told_active_s < URGENT_S or not self._context.is_active():
            return
        if self._link_share.may_send(now_s):
            self._tell(now_s, self._state(now_s), is_for_all=False)

    def _is_news(self, state):
        """Say whether there is what all hosts have to hear at once."""
        return self._told is None or state[:-2] != self._told[:-2]

    def _state(self, now_s):
        """Return what this host has to say now, but for the placements."""
        context = self._context
        loads = {}
        shares_loads = context.policy.shared_loads
        for endpoint_id, state in context.endpoints.states.items():
            penalty = round(state.health.own_penalty(now_s), 1)
            if state.own_running or penalty:
                load = state.own_load() if shares_loads else Load(0)
                lane_ms = [round(work_s * 1000) for work_s in load.prefill_s_by_lane]
                loads[endpoint_id] = (*load[:2], lane_ms, penalty)
        return (
            context.is_ready,
            context.configuration_version,
            context.sees_store,
            context.ordered_stages,
            context.endpoints.revision,
            loads,
        )

    def _tell(self, now_s, state, is_for_all):
        """Tell the active hosts, and from time to time the others."""
        context = self._context
        active, others = self._targets()
        self._told = state
        self._told_active_s = now_s
        self._beat += 1
        is_active = context.is_active()
        period_s = REST_S if is_active else FAR_S
        if is_active or is_for_all:
            placements = context.take_placements(MAX_PLACEMENTS)
            lease = self._told_lease() if is_for_all else None
            self._send(active, period_s, state, (placements, lease))
        if is_for_all:
            self._told_all_s = now_s
            # What the engines have under way is of use to the active hosts only.
            quiet = (*state[:-1], {})
            self._send(others if is_active else (), FAR_S, quiet, ([], None))

    def _send(self, ips, period_s, state, rest):
        """Send one message to some hosts."""
        if not ips:
            return
        context = self._context
        news = context.own_news(self._beat, period_s)
        *_, stages, _, loads = state
        fields = [FORMAT, list(news), stages, loads, *rest]
        data = msgpack.packb(fields)
        if len(data) > MAX_DATAGRAM_BYTES:
            context.log("error", "gossip_too_large", bytes=len(data))
            return
        for ip in ips:
            self._transport.sendto(data, (ip, context.settings.datagram_port))
        self._link_share.on_sent(context.clock(), len(ips) * len(data))

    def _targets(self):
        """Return the IPs of the active hosts, and of the others."""
        context = self._context
        own_ip = context.settings.ip
        known = set(context.hosts.addresses().values())
        if not known:
            # Nobody is known yet: the store may be away. The seeds may live.
            known = {seed.rpartition(":")[0] for seed in context.settings.seeds}
        known.discard(own_ip)
        active = {news.ip for news in context.active_hosts()} & known
        if not active:
            return known, set()
        return active, known - active

    def _take(self, message):
        """Take in a peer's message."""
        context = self._context
        now_s = context.clock()
        peer = message.news.name
        if not context.hosts.on_status(now_s, message.news):
            return
        if message.lease is not None and context.stage_lease is not None:
            context.stage_lease.on_told(message.lease)
        context.endpoints.on_peer_loads(now_s, peer, message.loads)
        for endpoint_id, started_ms, stage, is_switching in message.stages:
            state = context.endpoints.states.get(endpoint_id)
            if state is not None and state.record.started_ms == started_ms:
                told = OrderedStage(stage, is_switching)
                state.on_stage_ordered(now_s, told, STAGE_NEWS_KEPT_S)
        for endpoint_id, chain, wait_s in message.placements:
            state = context.endpoints.states.get(endpoint_id)
            if state is None:
                continue
            if wait_s:
                state.prefixes.add_pending(chain, now_s + wait_s)
            else:
                state.prefixes.add_chain(chain)


class _Message(NamedTuple):
    """What one host tells another.

    Attributes
    ----------
    news : HostStatus
        The host itself.
    stages : list
        Engines that it has ordered to change their stage: id, start of their life,
        stage, and whether they are on their way there.
    loads : dict
        For each endpoint its load, and its penalty.
    placements : list
        Engines with the parts of prompts that they keep, or will in some seconds.
    lease : list or None
        What it knows of the lease for orders, from time to time.
    """

    news: HostStatus
    stages: list
    loads: dict
    placements: list
    lease: list | None


def _decode(data):
    """Return the parts of a message."""
    version, *fields = msgpack.unpackb(data)
    if version != FORMAT:
        raise ValueError(f"format {version}")
    news, stages, loads, placements, lease = fields
    decoded = {}
    for endpoint_id, (running, readings, lane_ms, penalty) in loads.items():
        if len(lane_ms) != len(LANES):
            raise ValueError(f"{len(lane_ms)} lanes")
        lane_s = tuple(work_ms / 1000.0 for work_ms in lane_ms)
        load = Load(running, readings, lane_s)
        decoded[endpoint_id] = (load, penalty)
    news = HostStatus(*news)
    return _Message(news, stages, decoded, placements, lease)
