"""Restores a new host's knowledge of the engines' prefix caches.

After a restart of one or all hosts the engines still hold their caches, but a new
process knows of no entry. Without this it would have cached prompts prefilled again on
whatever engine is idle, which costs as much as a loss of the caches.
"""

import asyncio

from gypsumusher_entry.sending_to_endpoints import call_engine
from gypsumusher_http import CallError
from gypsumusher_platform import decode_cached_parts, encode_cached_parts_request
from gypsumusher_ports import DecodeError

__all__ = ["PrefixCacheRecovery"]

# Engines whose records arrive within this time after the start are asked; a later one
# is new itself and its cache is empty.
ASK_PERIOD_S = 3.0
# Time after which hosts that start together have received each other's updates and know
# which few of them are active.
PEERS_KNOWN_AFTER_S = 0.7
POLL_S = 0.1
RESPONSE_TIMEOUT_S = 1.0


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

    async def start(self):
        """Start to ask, unless the engines are as new as this host."""
        if not self._context.settings.is_first_start:
            self._context.spawn(self._run())

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
                    if state.record.incarnation not in self._asked:
                        self._asked.add(state.record.incarnation)
                        context.spawn(self._ask(state))
            await asyncio.sleep(POLL_S)

    async def _ask(self, state):
        """Record what one engine has cached."""
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
            return
        state.prefixes.add_parts(parts)
        context.log("info", "kept_parts", endpoint=record.endpoint_id, parts=len(parts))
