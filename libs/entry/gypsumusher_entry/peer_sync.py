"""What a host that doesn't read the store learns from its peers.

A few hosts watch the store for all. And a store may turn some hosts away while it
serves the others and the operators: those hosts would go on by an old configuration,
and send work to endpoints that have left.
"""

import asyncio

from gypsumusher_entry.staleness_monitor import CONFIGURATION
from gypsumusher_entry.store_watcher import apply_stored_configuration
from gypsumusher_entry.sync_messages import (
    SYNC_RESPONSE_MAX_BYTES,
    decode_sync_response,
)
from gypsumusher_http import CallError, CallLimits, HttpClient
from gypsumusher_ports import DecodeError

__all__ = ["PEER_SYNC_PATH", "PeerSync"]

# Where one host tells another what it believes.
PEER_SYNC_PATH = "/v1/beliefs"
# How often a host without the store looks whether a peer knows more, in seconds.
ASK_S = 0.1
# Least time between two questions to peers, in seconds.
PAUSE_S = 0.2
# The same while the peer waits for entries that may come back, in seconds: each answer
# holds all endpoints again, and what it lacks isn't told until the wait is over.
PARTIAL_PAUSE_S = 0.5
# The same after a configuration that this host can't read, in seconds: each answer
# holds it again, and the endpoints beside it still have to come within the bounds.
UNREADABLE_PAUSE_S = 1.0
# Longest wait for a peer's answer to begin, and for its next bytes, in seconds: a peer
# that is silent for longer has stalled, and another one is asked within the operator's
# bound of 2 s.
SILENCE_S = 0.8
# Longest time for the whole of it, in seconds. While an answer keeps coming nothing is
# won by beginning another one over the same link; see `StalenessMonitor` for
# what is done besides once it is overdue.
WHOLE_S = 4.0
ANSWER_LIMITS = CallLimits(SILENCE_S, SILENCE_S, WHOLE_S, SYNC_RESPONSE_MAX_BYTES)
# A peer that gave no answer isn't asked again for so long, in seconds, while another
# one knows as much.
FAILED_PAUSE_S = 2.0


class PeerSync:
    """Asks peers while the store doesn't answer.

    Parameters
    ----------
    context : Context
        Takes what is learnt.
    """

    def __init__(self, context):
        self._context = context
        self._client = HttpClient(context.clock)
        self._task = None
        self._failed_s = {}

    async def start(self):
        """Begin to look after the store's silence."""
        self._task = self._context.spawn(self._run())

    async def close(self):
        """Stop, and close the connections."""
        if self._task is not None:
            self._task.cancel()
        self._client.close()

    async def _run(self):
        context = self._context
        while True:
            await context.next_tick(ASK_S)
            # A host that watches the store may be told late: its link is full, or the
            # watch has gone silent. Then what peers know counts for it too.
            if context.sees_store and not context.lags.is_overdue(CONFIGURATION):
                continue
            ahead = context.hosts.hosts_ahead(
                context.clock(),
                context.configuration_version,
                context.endpoints.revision,
            )
            if not ahead:
                continue
            peer = self._choose(ahead)
            pause_s = await self._ask(peer)
            await asyncio.sleep(pause_s)

    def _choose(self, ahead):
        """Return which of the peers that know more is asked next.

        Failure guarded against: a peer that stalls, or whose answers can't be read,
        knows more for ever, and a host that keeps asking it never hears the news.
        """
        context = self._context
        since_s = context.clock() - FAILED_PAUSE_S
        answering = [
            news for news in ahead if self._failed_s.get(news.name, since_s) <= since_s
        ]
        candidates = answering or ahead
        # A peer that doesn't see the store has its beliefs from another one.
        seeing = [news for news in candidates if news.sees_store] or candidates
        return seeing[int(context.draw() * len(seeing))]

    async def _ask(self, peer):
        """Take over what one peer believes; return the pause until the next question.

        Failure guarded against: the store returns without the entries that lapsed
        meanwhile. A host that reads it then lacks endpoints that live; as the whole
        list its word would have every other host drop them, and refuse all work.
        """
        context = self._context
        began_s = context.clock()
        try:
            beliefs = await self._fetch(peer)
        except (CallError, DecodeError, TimeoutError) as error:
            context.log(
                "warning",
                "peer_not_heard",
                peer=peer.name,
                error=repr(error),
                waited_s=round(context.clock() - began_s, 3),
                version=peer.configuration_version,
                revision=peer.endpoints_revision,
            )
            self._failed_s[peer.name] = context.clock()
            # Another peer is asked at once: the bounds count from the change.
            return 0.0
        self._failed_s.pop(peer.name, None)
        self._take(peer, beliefs)
        if beliefs.configuration is not None:
            if context.configuration_version < peer.configuration_version:
                return UNREADABLE_PAUSE_S
        return PAUSE_S if beliefs.is_whole else PARTIAL_PAUSE_S

    async def _fetch(self, peer):
        """Return the beliefs of one peer that this host lacks."""
        context = self._context
        known = {
            "version": str(context.configuration_version),
            "revision": str(context.endpoints.revision),
            # It takes what differs in place of all endpoints.
            "changes": "1",
        }
        _, data = await self._client.call(
            "GET", peer.peers_address, PEER_SYNC_PATH, ANSWER_LIMITS, known
        )
        return decode_sync_response(peer.name, data)

    def _take(self, peer, beliefs):
        """Take over what a peer told."""
        context = self._context
        if beliefs.configuration is not None:
            apply_stored_configuration(context, beliefs.configuration, peer.name)
        if beliefs.endpoints is None:
            return
        endpoints, revision = context.endpoints, beliefs.revision
        if beliefs.removed is not None:
            changed = endpoints.on_changes(
                context.clock(), beliefs.endpoints, beliefs.removed, revision
            )
        elif beliefs.is_whole:
            changed = endpoints.on_full_list(
                context.clock(), beliefs.endpoints, revision
            )
        else:
            changed = endpoints.on_partial_list(beliefs.endpoints, revision)
        if changed:
            context.log(
                "info",
                "endpoints_from_peer",
                peer=peer.name,
                revision=revision,
                is_whole=beliefs.is_whole,
                told=len(beliefs.endpoints) + len(beliefs.removed or ()),
                changed=",".join(changed),
            )
