"""Short state updates between hosts: liveness, load and failures.

Each host sends the others what it has under way at each endpoint. Without that, seven
hosts that each see a seventh of the load send to the same idle engine at once.
"""

import asyncio
from typing import NamedTuple

import msgpack

from gypsumusher_entry.listening import bind_datagram_socket, listen
from gypsumusher_entry.load_changes import LOAD_CHANGES, LoadChangeSync
from gypsumusher_routing import (
    GossipRateLimiter,
    HostStatus,
    Load,
    OrderedStage,
    decode_loads,
)

__all__ = ["Gossip"]

# Version of the message format. Messages of other versions are ignored, so that hosts
# of two releases can serve side by side.
MESSAGE_VERSION = 5
# Name of whole messages in the metrics.
STATUS = "status"
# Least time between two messages while the load changes. A prefill takes 0.1 s or more,
# so counts of this age are still useful. Four hosts lost 0.02 to 0.04 of their score at
# 0.2 s, 0.01 to 0.02 at 0.1 s, and gained nothing at 0.02 s.
MIN_INTERVAL_S = 0.05
# Least time between two messages when a prompt is sent for prefill. If peers learn of
# it later, several hosts send a prompt to the engine that was idle, and all but one of
# the prompts wait.
MIN_PREFILL_INTERVAL_S = 0.01
# The same for hosts that aren't active; they have little to send.
INACTIVE_MIN_INTERVAL_S = 0.2
# Longest time between two whole messages: among active hosts, and from and to all
# others. Sixty hosts that sent each other everything twice a second would use 0.01 of a
# core and ten times the traffic that control messages are allowed.
ACTIVE_MAX_INTERVAL_S = 0.45
MAX_INTERVAL_S = 1.0
# Time for which a peer's announcement of an engine's stage is valid. Each message
# repeats it, and the engine's own entry soon replaces it.
ORDERED_STAGE_TTL_S = 2.0
MAX_DATAGRAM_BYTES = 60_000
# Number of own messages whose times are remembered: those of some seconds, also when
# every change of the load is sent.
REMEMBERED_MESSAGES = 512


class Gossip(asyncio.DatagramProtocol):
    """Sends this host's state updates and applies those of the other hosts.

    Parameters
    ----------
    context : Context
        Source of this host's state, and destination of the received updates.
    """

    def __init__(self, context):
        self._context = context
        self._transport = None
        self._task = None
        self._sequence = 0
        # When each of the newest whole messages was sent, by its number.
        self._sent_s = {}
        self._last_state = None
        # When the active hosts were last sent anything, and a whole message.
        self._sent_to_active_s = 0.0
        self._sent_whole_s = 0.0
        self._sent_to_all_s = 0.0
        self._rate_limiter = GossipRateLimiter(context.settings.link_mbps)
        self._load_changes = LoadChangeSync(context, self._apply_placements)

    async def start(self):
        """Open the socket and start to send."""
        await listen(self._context, "datagrams", self._open_socket)
        self._context.prefill_listeners.append(self.on_prefill_start)
        self._task = self._context.keep_running(self._run)

    async def _open_socket(self):
        settings = self._context.settings
        sock = bind_datagram_socket(settings.ip, settings.datagram_port)
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=sock)

    async def close(self):
        """Stop sending and close the socket."""
        if self._task is not None:
            self._task.cancel()
        if self._transport is not None:
            self._transport.close()

    def send_now(self):
        """Send an update to all hosts at once, as before a planned stop."""
        now_s = self._context.clock()
        self._broadcast(now_s, self._state(now_s), is_for_all=True)

    # Callbacks of `asyncio.DatagramProtocol`

    def connection_made(self, transport):
        """Keep the transport for sending."""
        self._transport = transport

    def datagram_received(self, data, address):
        """Apply one message; a message that can't be decoded changes nothing."""
        try:
            fields = msgpack.unpackb(data)
            handler = self._find_handler(fields)
            if handler is not None:
                handler(fields[1:], address[0])
                return
            message = _decode(fields)
        except (ValueError, TypeError, KeyError, msgpack.UnpackException) as error:
            self._context.log("warning", "gossip_unreadable", error=repr(error))
            return
        self._apply(message)

    def _find_handler(self, fields):
        """Return the handler of another kind of datagram, or None for an update."""
        kind = fields[0] if isinstance(fields, list) and fields else None
        if not isinstance(kind, str):
            return None
        return self._context.datagram_handlers[kind]

    def send_datagram(self, kind, fields, ip):
        """Send a datagram to the handler for its kind at one host."""
        data = self._encode(kind, [kind, *fields])
        if data is not None:
            self._send_data(kind, data, (ip,))

    def _encode(self, kind, fields):
        """Return an encoded datagram; None if one of its fields can't be encoded.

        Requests, the periodic updates and the planned stop go on without a datagram.
        """
        try:
            return msgpack.packb(fields)
        except (OverflowError, RecursionError, TypeError, ValueError) as error:
            self._context.log(
                "error", "datagram_not_encoded", kind=kind, error=repr(error)
            )
            return None

    def _send_data(self, kind, data, ips):
        """Send an encoded datagram to some hosts, and count its bytes by kind."""
        if self._transport is None:
            return
        port = self._context.settings.datagram_port
        for ip in ips:
            try:
                self._transport.sendto(data, (ip, port))
            except (TypeError, ValueError) as error:
                # Addresses come from settings, records and other hosts.
                self._context.log("warning", "datagram_not_sent", error=repr(error))
        size_bytes = len(ips) * len(data)
        self._rate_limiter.on_sent(self._context.clock(), size_bytes)
        self._context.metrics.on_datagrams_sent(kind, size_bytes)

    def sent_s(self, sequence):
        """Return when a status message was sent; None if that was too long ago.

        Parameters
        ----------
        sequence : int
            Number of the message.

        Returns
        -------
        float or None
            A reading of ``Context.boottime_s``, in seconds.
        """
        return self._sent_s.get(sequence)

    def error_received(self, error):
        """Ignore a refused datagram."""
        # The datagram of a host whose process is down is refused; its silence shows the
        # same.
        return

    async def _run(self):
        """Send updates when the state changes and at the longest intervals."""
        while True:
            context = self._context
            await context.wait_for_tick(
                MIN_INTERVAL_S if context.is_active() else INACTIVE_MIN_INTERVAL_S
            )
            self._on_tick(context.clock())

    def _on_tick(self, now_s):
        """Send what is due."""
        state = self._state(now_s)
        if now_s - self._sent_to_all_s >= MAX_INTERVAL_S or self._is_urgent(state):
            self._broadcast(now_s, state, is_for_all=True)
        elif now_s - self._sent_whole_s >= ACTIVE_MAX_INTERVAL_S:
            self._broadcast(now_s, state, is_for_all=False)
        elif state != self._last_state and self._rate_limiter.may_send(now_s):
            self._send_update(now_s, state)

    def _lease_state(self):
        """Return the last known state of the stage-order lease, or None."""
        lease = self._context.stage_lease
        return None if lease is None else lease.known_state()

    def on_prefill_start(self):
        """Tell the other active hosts at once of a prefill that is about to start."""
        now_s = self._context.clock()
        if (
            now_s - self._sent_to_active_s < MIN_PREFILL_INTERVAL_S
            or not self._context.is_active()
        ):
            return
        if self._rate_limiter.may_send(now_s):
            self._send_update(now_s, self._state(now_s))

    def _is_urgent(self, state):
        """Return whether a change in the state has to reach all hosts at once."""
        return self._last_state is None or state[:-2] != self._last_state[:-2]

    def _state(self, now_s):
        """Return what this host has to send now, apart from the placements."""
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

    def _send_update(self, now_s, state):
        """Send the active hosts a changed state, as changes where these suffice."""
        context = self._context
        active, _ = self._targets()
        loads = state[-1]
        changes = self._load_changes.changes(loads, active)
        if changes is None or self._is_urgent(state):
            self._broadcast(now_s, state, is_for_all=False)
            return
        placements = context.pop_placements()
        if not placements and loads == self._last_state[-1]:
            # Endpoints renewed their entries; the next whole message has the revision.
            self._last_state = state
            return
        fields = self._load_changes.fields(self._sequence + 1, changes, placements)
        data = self._encode(LOAD_CHANGES, [LOAD_CHANGES, *fields])
        if data is None or not self._load_changes.is_compact(len(data)):
            self._broadcast(now_s, state, is_for_all=False, placements=placements)
            return
        self._on_message(now_s, state)
        self._send_data(LOAD_CHANGES, data, active)

    def _on_message(self, now_s, state):
        """Record that a message with the next number goes to the active hosts."""
        self._last_state = state
        self._sent_to_active_s = now_s
        self._sequence += 1
        self._sent_s.pop(self._sequence - REMEMBERED_MESSAGES, None)

    def _broadcast(self, now_s, state, is_for_all, placements=None):
        """Send the state to the active hosts, and if wanted to the others.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        state : tuple
            The state.
        is_for_all : bool
            Whether the other hosts are to have it, too.
        placements : list or None
            Placements that were taken from the unsent ones; by default the oldest.
        """
        context = self._context
        active, others = self._targets()
        self._on_message(now_s, state)
        self._sent_whole_s = now_s
        # Loans count from whole messages, which only these numbers may refer to.
        self._sent_s[self._sequence] = context.boottime_s()
        is_active = context.is_active()
        period_s = ACTIVE_MAX_INTERVAL_S if is_active else MAX_INTERVAL_S
        if is_active or is_for_all:
            if placements is None:
                placements = context.pop_placements()
            lease = self._lease_state() if is_for_all else None
            loads = self._load_changes.with_announcement(state[-1])
            whole = (*state[:-1], loads)
            size_bytes = self._send(active, period_s, whole, (placements, lease))
            self._load_changes.on_whole_message_sent(
                self._sequence, state[-1], active, size_bytes
            )
        if is_for_all:
            self._sent_to_all_s = now_s
            # Loads of the engines are of use to active hosts only.
            without_loads = (*state[:-1], {})
            self._send(
                others if is_active else (), MAX_INTERVAL_S, without_loads, ([], None)
            )

    def _send(self, ips, period_s, state, other_fields):
        """Send one message to some hosts; return its size, 0 if it wasn't sent."""
        if not ips:
            return 0
        context = self._context
        status = context.own_status(self._sequence, period_s)
        *_, stages, _, loads = state
        fields = [MESSAGE_VERSION, _encode_status(status), stages, loads, *other_fields]
        data = self._encode(STATUS, fields)
        if data is None:
            return 0
        if len(data) > MAX_DATAGRAM_BYTES:
            context.log("error", "gossip_too_large", bytes=len(data))
            return 0
        self._send_data(STATUS, data, ips)
        return len(data)

    def _targets(self):
        """Return the IP addresses of the active hosts, and of the others."""
        context = self._context
        own_ip = context.settings.ip
        known = set(context.hosts.addresses().values())
        if not known:
            # No host is known yet, as when the store is down. The seeds may be up.
            known = {seed.rpartition(":")[0] for seed in context.settings.seeds}
        known.discard(own_ip)
        active = {status.ip for status in context.active_hosts()} & known
        if not active:
            return known, set()
        return active, known - active

    def _apply(self, message):
        """Apply a peer's message to the state of this host."""
        context = self._context
        now_s = context.clock()
        peer = message.status.name
        if not context.hosts.on_status(now_s, message.status):
            return
        if not message.status.is_ready:
            context.endpoint_connections.close_idle_through(peer)
        if message.lease is not None and context.stage_lease is not None:
            context.stage_lease.on_peer_state(message.lease)
        self._load_changes.on_status(message.status, message.loads)
        context.endpoints.on_peer_loads(now_s, peer, message.loads)
        for endpoint_id, started_ms, stage, is_switching in message.stages:
            state = context.endpoints.states.get(endpoint_id)
            if state is not None and state.record.started_ms == started_ms:
                ordered = OrderedStage(stage, is_switching)
                state.on_stage_ordered(now_s, ordered, ORDERED_STAGE_TTL_S)
        self._apply_placements(now_s, message.placements)

    def _apply_placements(self, now_s, placements):
        """Record the prompt parts that engines cache or will cache."""
        for endpoint_id, chain, wait_s in placements:
            state = self._context.endpoints.states.get(endpoint_id)
            if state is None:
                continue
            if wait_s:
                state.prefixes.add_pending(chain, now_s + wait_s)
            else:
                state.prefixes.add_chain(chain)
            self._context.notify_shared_parts(state, chain)


class _Message(NamedTuple):
    """Decoded message of one host to another.

    Attributes
    ----------
    status : HostStatus
        Status of the sending host.
    stages : list
        Stage orders of the sender: engine id, start time of the engine's incarnation,
        stage, and whether the change is still in progress.
    loads : dict
        Load and penalty by endpoint id.
    placements : list
        Engines with the prompt parts that they cache or will cache in some seconds.
    lease : list or None
        The sender's last known state of the stage-order lease; not in every message.
    """

    status: HostStatus
    stages: list
    loads: dict
    placements: list
    lease: list | None


def _encode_status(status):
    """Return the fields of a status.

    The age of the last contact with the store goes into the flag that tells whether the
    host sees the store, as 1 plus the age. Earlier releases read that as true, and send
    true, which counts as 1.
    """
    *fields, _ = status._replace(
        sees_store=status.sees_store and 1.0 + status.store_contact_age_s
    )
    return fields


def _decode_status(fields):
    """Return the status with these fields."""
    status = HostStatus(*fields)
    if not status.sees_store:
        return status
    age_s = max(0.0, status.sees_store - 1.0)
    return status._replace(sees_store=True, store_contact_age_s=age_s)


def _decode(fields):
    """Return the decoded message."""
    version, *fields = fields
    if version != MESSAGE_VERSION:
        raise ValueError(f"unsupported message version {version}")
    status, stages, loads, placements, lease = fields
    status = _decode_status(status)
    return _Message(status, stages, decode_loads(loads), placements, lease)
