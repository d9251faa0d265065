"""Short messages between hosts: who lives, what is under way, what fails.

Each host tells the others what it has sent to each endpoint. Without that, seven hosts
that each see a seventh of the load send to the same idle engine at once.
"""

import asyncio
import socket
import time

import msgpack

from gypsumusher_routing import HostNews, Load

__all__ = ["Gossip"]

# Version of the message; others are passed over, so that hosts of two releases can
# serve side by side.
FORMAT = 1
# Least time between two messages while the load changes, in seconds. A prompt is read
# in a tenth of a second or more, so older counts still tell.
CHANGED_S = 0.05
# Time between two messages at rest, in seconds: three fit in the time after which a
# host counts as silent.
REST_S = 0.4
# Hosts told at once; where there are more, each message goes to some of them, drawn
# anew, which bounds the bytes a host sends.
FANOUT_MAX = 12
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
        self._started_ms = int(time.time() * 1000)
        self._told = None
        self._told_s = 0.0
        self._unreadable = 0

    async def start(self):
        """Open the socket and begin to tell."""
        settings = self._context.settings
        loop = asyncio.get_running_loop()
        address = (settings.ip, settings.first_peer_port)
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=address, family=socket.AF_INET
        )
        self._task = asyncio.ensure_future(self._run())

    async def close(self):
        """Stop to tell and close the socket."""
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self._transport.close()

    def tell_now(self):
        """Tell at once, as before a planned stop."""
        self._tell(self._context.clock())

    # Called by the transport

    def connection_made(self, transport):
        """Keep the transport."""
        self._transport = transport

    def datagram_received(self, data, address):
        """Take in one message; an unreadable one changes nothing."""
        try:
            news, loads, placements = _decode(data)
        except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
            self._unreadable += 1
            self._context.log("warning", "gossip_unreadable", error=repr(error))
            return
        self._take(news, loads, placements)

    def error_received(self, error):
        """Pass over a refused datagram."""
        # A host without a process refuses the datagram; its silence tells the same.
        return

    async def _run(self):
        while True:
            await asyncio.sleep(CHANGED_S)
            now_s = self._context.clock()
            if now_s - self._told_s >= REST_S or self._state(now_s) != self._told:
                self._tell(now_s)

    def _state(self, now_s):
        """Return what this host has to say now, but for the placements."""
        context = self._context
        loads = {}
        for endpoint_id, state in context.endpoints.states.items():
            penalty = round(state.health.own(now_s), 1)
            if state.own_running or penalty:
                loads[endpoint_id] = (
                    state.own_running,
                    round(state.own_timely_tokens),
                    round(state.own_late_tokens),
                    penalty,
                )
        return (context.is_ready, context.configuration_version, loads)

    def _tell(self, now_s):
        context, settings = self._context, self._context.settings
        state = self._state(now_s)
        self._told, self._told_s = state, now_s
        self._beat += 1
        news = HostNews(
            name=settings.name,
            started_ms=self._started_ms,
            beat=self._beat,
            ip=settings.ip,
            zone=settings.zone,
            callers_address=settings.callers_address,
            peers_address=settings.peers_address,
            is_ready=state[0],
            configuration_version=state[1],
            endpoints_revision=context.endpoints.revision,
        )
        placements = context.take_placements()[:MAX_PLACEMENTS]
        data = msgpack.packb([FORMAT, list(news), state[2], placements])
        if len(data) > MAX_DATAGRAM_BYTES:
            context.log("error", "gossip_too_large", bytes=len(data))
            return
        for ip in self._targets():
            self._transport.sendto(data, (ip, settings.first_peer_port))

    def _targets(self):
        """Return the IPs of the hosts to tell now."""
        context = self._context
        known = list(context.hosts.addresses().values())
        if not known:
            # Nobody is known yet: the store may be away. The seeds may live.
            known = [seed.rpartition(":")[0] for seed in context.settings.seeds]
        known = [ip for ip in known if ip != context.settings.ip]
        if len(known) <= FANOUT_MAX:
            return known
        known.sort(key=lambda _: context.draw())
        return known[:FANOUT_MAX]

    def _take(self, news, loads, placements):
        """Take in a peer's message."""
        context = self._context
        now_s = context.clock()
        if not context.hosts.on_news(now_s, news):
            return
        for endpoint_id, state in context.endpoints.states.items():
            *load, penalty = loads.get(endpoint_id, (0, 0, 0, 0.0))
            state.on_peer_load(now_s, news.name, Load(*load))
            state.health.on_peer(now_s, news.name, penalty)
        for endpoint_id, chain, wait_s in placements:
            state = context.endpoints.states.get(endpoint_id)
            if state is None:
                continue
            if wait_s:
                state.prefixes.note_coming(chain, now_s + wait_s)
            else:
                state.prefixes.note_chain(chain)


def _decode(data):
    """Return the parts of a message."""
    version, news, loads, placements = msgpack.unpackb(data)
    if version != FORMAT:
        raise ValueError(f"format {version}")
    return HostNews(*news), loads, placements
