"""What a host that doesn't read the store learns from its peers.

A few hosts watch the store for all. And a store may turn some hosts away while it
serves the others and the operators: those hosts would go on by an old configuration,
and send work to endpoints that have left.
"""

import asyncio

import aiohttp
import msgpack

from gypsumusher_entry.following import take_configuration
from gypsumusher_ports import EndpointRecord, StoredObject

__all__ = ["BELIEFS_PATH", "PeerBeliefs"]

# Where one host tells another what it believes.
BELIEFS_PATH = "/v1/beliefs"
# How often a host without the store looks whether a peer knows more, in seconds.
ASK_S = 0.1
# Least time between two questions to peers, in seconds.
PAUSE_S = 0.2
# The same while the peer waits for entries that may come back, in seconds: each answer
# holds all endpoints again, and what it lacks isn't told until the wait is over.
PARTIAL_PAUSE_S = 0.5
ANSWER_TIMEOUT_S = 0.5
MAX_BYTES = 4 * 1024 * 1024


class PeerBeliefs:
    """Asks peers while the store doesn't answer.

    Parameters
    ----------
    context : Context
        Takes what is learnt.
    """

    def __init__(self, context):
        self._context = context
        self._session = None
        self._task = None

    async def start(self):
        """Begin to look after the store's silence."""
        self._session = aiohttp.ClientSession(cookie_jar=aiohttp.DummyCookieJar())
        self._task = self._context.spawn(self._run())

    async def close(self):
        """Stop, and close the connections."""
        if self._task is not None:
            self._task.cancel()
        if self._session is not None:
            await self._session.close()

    async def _run(self):
        context = self._context
        while True:
            await asyncio.sleep(ASK_S)
            if context.sees_store:
                continue
            ahead = context.hosts.ahead(
                context.clock(),
                context.configuration_version,
                context.endpoints.revision,
            )
            if not ahead:
                continue
            # A peer that doesn't see the store has its beliefs from another one.
            seeing = [news for news in ahead if news.sees_store] or ahead
            peer = seeing[int(context.draw() * len(seeing))]
            is_whole = await self._ask(peer)
            await asyncio.sleep(PAUSE_S if is_whole else PARTIAL_PAUSE_S)

    async def _ask(self, peer):
        """Take over what one peer believes; say whether it knows all endpoints.

        Failure guarded against: the store returns without the entries that lapsed
        meanwhile. A host that reads it then lacks endpoints that live; as the whole
        list its word would have every other host drop them, and refuse all work.
        """
        context = self._context
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                async with self._session.get(
                    f"http://{peer.peers_address}{BELIEFS_PATH}"
                ) as answer:
                    data = await answer.content.read(MAX_BYTES)
            news = msgpack.unpackb(data, strict_map_key=False)
            stored, revision = news["configuration"], news["revision"]
            records = [EndpointRecord(*fields) for fields in news["endpoints"]]
            is_whole = news["is_whole"]
            if stored is not None:
                stored = StoredObject(*stored)
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            ValueError,
            KeyError,
            TypeError,
        ) as error:
            context.log("warning", "peer_not_heard", peer=peer.name, error=repr(error))
            return True
        if stored is not None:
            take_configuration(context, stored, peer.name)
        endpoints = context.endpoints
        if is_whole:
            changed = endpoints.on_listing(context.clock(), records, revision)
        else:
            changed = endpoints.on_part(records, revision)
        if changed:
            context.log(
                "info",
                "endpoints_from_peer",
                peer=peer.name,
                revision=revision,
                is_whole=is_whole,
                changed=",".join(changed),
            )
        return is_whole
