"""Restores a new host's knowledge of the engines' prefix caches.

After a restart of one or all hosts the engines still hold their caches, but a new
process knows of no entry. Without this it would have cached prompts prefilled again on
whatever engine is idle, which costs as much as a loss of the caches.

After a loss of all hosts, most waiting prompts arrive within the first second. The
hosts that the snapshot of learned state names therefore divide the engines, list their
caches at once, and send each other the results. What they haven't told is asked as soon
as the hosts know which of them are active.
"""

import asyncio

from gypsumusher_entry.sending_to_endpoints import call_engine
from gypsumusher_http import CallError
from gypsumusher_platform import decode_cached_parts, encode_cached_parts_request
from gypsumusher_ports import DecodeError
from gypsumusher_routing import is_restart_alone, lists_cache

__all__ = ["PrefixCacheRecovery"]

# Engines whose records arrive within this time after the start are asked; a later one
# is new itself and its cache is empty.
ASK_PERIOD_S = 3.0
# Time after which hosts that start together have received each other's updates and know
# which few of them are active.
PEERS_KNOWN_AFTER_S = 0.7
POLL_S = 0.1
# The same for the hosts that divide the engines, for which each moment counts.
DIVIDED_POLL_S = 0.02
RESPONSE_TIMEOUT_S = 1.0
# Kind of the datagrams, and most parts in one of them: some 6 kB.
CACHED_PARTS = "cached_parts"
MAX_DATAGRAM_PARTS = 400
# Bounds of ids and token counts in datagrams.
MAX_PART_ID, MAX_TOKENS = 2**64 - 1, 2**31 - 1
# Most datagrams that wait for the entry of their engine.
MAX_HELD = 1_000


class PrefixCacheRecovery:
    """Asks each engine once which prompt parts it has cached.

    Parameters
    ----------
    context : Context
        Receives the engines' responses.
    """

    def __init__(self, context):
        self._context = context
        self._asked = set()
        self._hosts_of = None
        self._send_datagram = None
        # When the engines' caches are no longer listed for others, on the host's clock.
        self._ends_s = None
        # Incarnations of the engines that have been divided among the hosts.
        self._divided = set()
        # Incarnations of the engines that another host has listed.
        self._received = set()
        self._received_parts = 0
        self._senders = set()
        # Decoded datagrams about engines that aren't known yet.
        self._held = []
        # Fields of the datagrams for hosts that weren't up when they were sent, by the
        # name of the host.
        self._unreached = {}

    def prepare(self, hosts_of, send_datagram):
        """Start to list the caches of this host's engines, and to receive the others'.

        Called before the host accepts callers.

        Parameters
        ----------
        hosts_of : callable
            Returns the hosts that the snapshot of a service names, by its name.
        send_datagram : callable
            ``send_datagram(kind, fields, ip)``.
        """
        context = self._context
        self._hosts_of, self._send_datagram = hosts_of, send_datagram
        context.datagram_handlers[CACHED_PARTS] = self._on_datagram
        if context.policy.kept_knowledge and not context.settings.is_first_start:
            self._ends_s = context.clock() + ASK_PERIOD_S
            context.spawn(self._divide())

    async def start(self):
        """Start to ask, unless the engines are as new as this host."""
        if not self._context.settings.is_first_start:
            self._context.keep_running(self._run)

    async def _run(self):
        """Ask each recorded engine once, while this host is active."""
        context = self._context
        # Each call delays an engine's work. Hosts that don't know of each other yet all
        # count as active, and hundreds of them would ask every engine at once.
        await asyncio.sleep(PEERS_KNOWN_AFTER_S)
        until_s = context.clock() + ASK_PERIOD_S
        while context.clock() < until_s:
            # The call delays an engine's work, so only hosts that use the response ask.
            if context.is_active():
                for state in list(context.endpoints.states.values()):
                    if state.record.stage is None:
                        continue
                    if self._is_unknown(state):
                        self._asked.add(state.record.incarnation)
                        context.spawn(self._ask(state))
            await asyncio.sleep(POLL_S)

    def _is_unknown(self, state):
        """Return whether an engine's cache has neither been asked for nor received.

        That of an engine that drains is of no use.
        """
        if state.record.is_draining:
            return False
        incarnation = state.record.incarnation
        return incarnation not in self._asked and incarnation not in self._received

    async def _divide(self):
        """List the engines that are this host's by the snapshot; exchange the lists."""
        context = self._context
        while context.clock() < self._ends_s:
            self._apply_held()
            self._send_to_returned()
            # The configuration limits the connections to engines.
            if context.configuration is not None and not self._is_served_by_others():
                for state in list(context.endpoints.states.values()):
                    self._list_if_own(state)
            await asyncio.sleep(DIVIDED_POLL_S)
        self._held.clear()
        self._unreached.clear()
        if self._received:
            context.log(
                "info",
                "cached_parts_received",
                engines=len(self._received),
                parts=self._received_parts,
                hosts=len(self._senders),
            )

    def _list_if_own(self, state):
        """Start to list an engine's cache if that is up to this host; only once."""
        context, record = self._context, state.record
        if record.stage is None or record.incarnation in self._divided:
            return
        hosts = self._hosts_of(record.service)
        if not hosts:
            # The snapshot hasn't been read yet, or there is none.
            return
        self._divided.add(record.incarnation)
        is_own = lists_cache(context.settings.name, hosts, record.endpoint_id)
        if is_own and self._is_unknown(state):
            self._asked.add(record.incarnation)
            context.spawn(self._ask_for_others(state, hosts))

    def _is_served_by_others(self):
        """Return whether other hosts have been up all the time.

        They know the caches, and this host alone asks as few engines as it needs to.
        """
        context = self._context
        now_s = context.clock()
        return is_restart_alone(now_s - context.started_s, context.hosts.live(now_s))

    async def _ask_for_others(self, state, hosts):
        """Record what one engine has cached, and send it to the other hosts."""
        parts = await self._ask(state)
        record = state.record
        if parts is None:
            # Asked once more if the second host has no answer either.
            self._asked.discard(record.incarnation)
            return
        pairs = [
            [part.part_id, part.tokens]
            for part in parts
            if 0 <= part.part_id <= MAX_PART_ID and 0 <= part.tokens <= MAX_TOKENS
        ]
        # An empty cache is told as well.
        for start in range(0, max(1, len(pairs)), MAX_DATAGRAM_PARTS):
            chain = pairs[start : start + MAX_DATAGRAM_PARTS]
            self._send(hosts, [record.endpoint_id, record.started_ms, chain])

    def _send(self, hosts, fields):
        """Send a list to the other hosts, and keep it for those that aren't up yet."""
        context = self._context
        live = {status.name for status in context.hosts.live(context.clock())}
        for host in hosts:
            if host.name == context.settings.name:
                continue
            self._send_datagram(CACHED_PARTS, fields, host.ip)
            if host.name not in live:
                self._unreached.setdefault(host.name, (host.ip, []))[1].append(fields)

    def _send_to_returned(self):
        """Send the lists again to hosts that have come up since."""
        if not self._unreached:
            return
        for status in self._context.hosts.live(self._context.clock()):
            ip, lists = self._unreached.pop(status.name, (None, ()))
            for fields in lists:
                self._send_datagram(CACHED_PARTS, fields, ip)

    def _on_datagram(self, fields, ip):
        """Record an engine's cache as listed by another host."""
        listed = _decode(fields)
        context = self._context
        if self._ends_s is None or context.clock() > self._ends_s:
            # This host knows the caches from its own prompts and its peers' updates.
            return
        if len(self._held) < MAX_HELD:
            self._held.append((*listed, ip))
        self._apply_held()

    def _apply_held(self):
        """Apply the received lists of engines whose entries are known."""
        waiting = []
        for endpoint_id, started_ms, chain, ip in self._held:
            state = self._context.endpoints.states.get(endpoint_id)
            if state is None:
                waiting.append((endpoint_id, started_ms, chain, ip))
                continue
            if state.record.started_ms != started_ms:
                continue
            state.prefixes.add_chain(chain)
            self._received.add(state.record.incarnation)
            self._received_parts += len(chain)
            self._senders.add(ip)
        self._held = waiting

    async def _ask(self, state):
        """Record what one engine has cached; return its parts, None if unknown."""
        context, record = self._context, state.record
        call = encode_cached_parts_request(record.address)
        try:
            reply = await call_engine(context, record, call, RESPONSE_TIMEOUT_S)
            parts = decode_cached_parts(record.endpoint_id, reply.body)
        except (CallError, DecodeError, TimeoutError) as error:
            # Without its list the engine is treated as if its cache were empty.
            context.log(
                "info",
                "kept_parts_unknown",
                endpoint=record.endpoint_id,
                error=str(error) or "timeout",
            )
            return None
        state.prefixes.add_parts(parts)
        context.log("info", "kept_parts", endpoint=record.endpoint_id, parts=len(parts))
        return parts


def _decode(fields):
    """Return the engine's id, start and parts; raise ValueError or TypeError."""
    endpoint_id, started_ms, chain = fields
    if not isinstance(endpoint_id, str) or type(started_ms) is not int:
        raise ValueError("cached_parts without an engine's id and start")
    if not isinstance(chain, list) or len(chain) > MAX_DATAGRAM_PARTS:
        raise ValueError("cached_parts without a list, or with a too long one")
    for part_id, tokens in chain:
        if type(part_id) is not int or type(tokens) is not int:
            raise ValueError("cached_parts with a part of another type")
        if not 0 <= part_id <= MAX_PART_ID or not 0 <= tokens <= MAX_TOKENS:
            raise ValueError("cached_parts with a part out of range")
    return endpoint_id, started_ms, chain
