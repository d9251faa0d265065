"""What engines keep, asked of them once by a host that has just started.

Guards against a loss of all hosts, or of one, that costs as much as a loss of the
engines' caches: the engines keep their parts, but a new process knows of none, and
would have them read again on whatever engine is idle.
"""

import asyncio

from gypsumusher_entry.sending_to_endpoints import call_engine
from gypsumusher_http import CallError
from gypsumusher_platform import decode_cached_parts, encode_cached_parts_request
from gypsumusher_ports import DecodeError

__all__ = ["PrefixCacheRecovery"]

# Engines that are on record this long after the start are asked, in seconds; one that
# comes later is new itself and keeps nothing.
ASKED_FOR_S = 3.0
# Hosts that start together have heard of each other by then, in seconds, and know to
# which few of them callers are sent.
HEARD_AFTER_S = 0.7
POLL_S = 0.1
ANSWER_TIMEOUT_S = 1.0


class PrefixCacheRecovery:
    """Asks each engine once for its list.

    Parameters
    ----------
    context : Context
        Takes what the engines say.
    """

    def __init__(self, context):
        self._context = context
        self._asked = set()

    async def start(self):
        """Begin to ask, unless the engines are as new as this host."""
        if not self._context.settings.is_first_start:
            self._context.spawn(self._run())

    async def _run(self):
        context = self._context
        # Each call delays an engine's work. Hosts that don't know of each other yet all
        # take callers, and hundreds of them would ask every engine at once.
        await asyncio.sleep(HEARD_AFTER_S)
        until_s = context.clock() + ASKED_FOR_S
        while context.clock() < until_s:
            # The call delays an engine's work, so only hosts that use it ask.
            if context.is_active():
                for state in list(context.endpoints.states.values()):
                    if state.record.stage is None:
                        continue
                    if state.record.incarnation not in self._asked:
                        self._asked.add(state.record.incarnation)
                        context.spawn(self._ask(state))
            await asyncio.sleep(POLL_S)

    async def _ask(self, state):
        """Take over what one engine keeps."""
        context, record = self._context, state.record
        call = encode_cached_parts_request(record.address)
        try:
            reply = await call_engine(context, record, call, ANSWER_TIMEOUT_S)
            parts = decode_cached_parts(record.endpoint_id, reply.body)
        except (CallError, DecodeError, TimeoutError) as error:
            # Without its list the engine is used as if it kept nothing.
            context.log(
                "info",
                "kept_parts_unknown",
                endpoint=record.endpoint_id,
                error=str(error) or "timeout",
            )
            return
        state.prefixes.add_parts(parts)
        context.log("info", "kept_parts", endpoint=record.endpoint_id, parts=len(parts))
