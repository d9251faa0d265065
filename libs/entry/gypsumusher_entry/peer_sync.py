"""Configuration and endpoints for hosts that don't read the store, from their peers.

A few hosts watch the store for all. The store may also refuse some hosts while it
serves others and the operators; without their peers those hosts would keep an outdated
configuration and send work to endpoints that have left.
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

# Path at which a host serves its configuration and endpoints to other hosts.
PEER_SYNC_PATH = "/v1/beliefs"
# How often a host without the store checks whether a peer has newer state.
CHECK_INTERVAL_S = 0.1
# Pause between two requests to peers.
SYNC_PAUSE_S = 0.2
# The same while the peer waits for entries that may return: each response contains all
# endpoints, and the missing ones follow only after the wait.
INCOMPLETE_PAUSE_S = 0.5
# The same after a configuration that this host can't decode: each response contains it
# again, while changed endpoints still have to arrive within the bounds.
UNDECODABLE_PAUSE_S = 1.0
# Longest wait for the start of a peer's response, and for its next bytes. A peer that
# is silent for longer has stalled, and another one is asked within the operator's bound
# of 2 s.
SILENCE_TIMEOUT_S = 0.8
# Time limit of a whole response. While a response is arriving, starting another over
# the same link gains nothing; `StalenessMonitor` triggers reads of the store once state
# is overdue.
TOTAL_TIMEOUT_S = 4.0
RESPONSE_LIMITS = CallLimits(
    SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_S, TOTAL_TIMEOUT_S, SYNC_RESPONSE_MAX_BYTES
)
# A peer whose last request failed isn't asked for this long, while another one has the
# same state.
FAILED_PEER_PAUSE_S = 2.0


class PeerSync:
    """Requests newer state from peers while the store doesn't answer.

    Parameters
    ----------
    context : Context
        Receives the configuration and the endpoints.
    """

    def __init__(self, context):
        self._context = context
        self._client = HttpClient(context.clock)
        self._task = None
        self._failed_s = {}

    async def start(self):
        """Start to check for newer state at peers."""
        self._task = self._context.keep_running(self._run)

    async def close(self):
        """Stop, and close the connections."""
        if self._task is not None:
            self._task.cancel()
        self._client.close()

    async def _run(self):
        """Sync from peers with newer state while the store is silent or late."""
        context = self._context
        while True:
            await context.wait_for_tick(CHECK_INTERVAL_S)
            # A host that watches the store may get changes late too, when its link is
            # full or the watch has gone silent. It then also asks its peers.
            if context.sees_store and not context.staleness.is_overdue(CONFIGURATION):
                continue
            newer_peers = context.hosts.hosts_ahead(
                context.clock(),
                context.configuration_version,
                context.endpoints.revision,
            )
            if not newer_peers:
                continue
            peer = self._choose(newer_peers)
            pause_s = await self._sync_from(peer)
            await asyncio.sleep(pause_s)

    def _choose(self, newer_peers):
        """Return which of the peers with newer state is asked next.

        A peer that stalls, or whose responses can't be decoded, keeps advertising newer
        state. A host that kept asking it would never get that state.
        """
        context = self._context
        since_s = context.clock() - FAILED_PEER_PAUSE_S
        answering = [
            peer
            for peer in newer_peers
            if self._failed_s.get(peer.name, since_s) <= since_s
        ]
        candidates = answering or newer_peers
        # A peer that doesn't see the store has its state from yet another host.
        with_store = [peer for peer in candidates if peer.sees_store] or candidates
        return with_store[int(context.draw_uniform() * len(with_store))]

    async def _sync_from(self, peer):
        """Sync from one peer; return the pause until the next request.

        The response says whether the peer's list of endpoints is complete. A store can
        return without the entries that expired while it was down, and a peer that has
        read it then lacks live endpoints. Taken as the complete list, its response
        would make all hosts drop these endpoints and refuse all work.
        """
        context = self._context
        began_s = context.clock()
        try:
            response = await self._fetch(peer)
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
        self._apply(peer, response)
        if response.configuration is not None:
            if context.configuration_version < peer.configuration_version:
                return UNDECODABLE_PAUSE_S
        return SYNC_PAUSE_S if response.is_complete else INCOMPLETE_PAUSE_S

    async def _fetch(self, peer):
        """Return the state that this host lacks from one peer."""
        context = self._context
        known = {
            "version": str(context.configuration_version),
            "revision": str(context.endpoints.revision),
            # This host accepts changes in place of the list of all endpoints.
            "changes": "1",
            # Without versions, streams could go on at endpoints of another version.
            "software": "1",
        }
        _, data = await self._client.call(
            "GET", peer.peers_address, PEER_SYNC_PATH, RESPONSE_LIMITS, known
        )
        return decode_sync_response(peer.name, data, requires_versions=True)

    def _apply(self, peer, response):
        """Apply the response of a peer."""
        context = self._context
        if response.configuration is not None:
            apply_stored_configuration(context, response.configuration, peer.name)
        if response.endpoints is None:
            return
        endpoints, revision = context.endpoints, response.revision
        if response.removed is not None:
            changed = endpoints.on_changes(
                context.clock(), response.endpoints, response.removed, revision
            )
        elif response.is_complete:
            changed = endpoints.on_full_list(
                context.clock(), response.endpoints, revision
            )
        else:
            changed = endpoints.on_partial_list(response.endpoints, revision)
        if changed:
            context.log(
                "info",
                "endpoints_from_peer",
                peer=peer.name,
                revision=revision,
                is_whole=response.is_complete,
                told=len(response.endpoints) + len(response.removed or ()),
                changed=",".join(changed),
            )
