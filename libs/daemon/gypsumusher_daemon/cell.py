"""Talks to the other entry hosts: probes, gossip, and what they ask of this one."""

import asyncio
from typing import NamedTuple

from returns.result import Success

from gypsumusher_peers import Identity, PeerLink, PeerServer

__all__ = ["LEAVING", "LIVE", "SUSPECT", "Cell", "CellParts"]

# Probes in a row without an answer after which a host is suspected. Suspicion steers
# routing only, so a wrong one costs a detour and no promise.
FAILED_PROBES_MAX = 3
# A host that is suspected for this long was replaced without a planned stop; its
# record is deleted. If it lives all the same, it publishes itself again.
FORGET_AFTER_S = 600.0
LIVE = "live"
SUSPECT = "suspect"
LEAVING = "leaving"


class CellParts(NamedTuple):
    """What a cell needs of its host.

    Attributes
    ----------
    choose : callable
        ``choose()`` returns the names of the hosts to gossip with.
    tell : callable
        ``tell()`` returns what this host gossips.
    hear : callable
        ``hear(host, gossip)`` takes what another host gossips.
    lose : callable
        ``lose(host)`` is called when a host is suspected or gone: its word on
        anything is out of date.
    answer : coroutine function
        ``await answer(host, message)`` answers any other message.
    introduce : coroutine function
        ``await introduce(host)`` tells a host, which asked for it, of this one and
        the others.
    """

    choose: object
    tell: object
    hear: object
    lose: object
    answer: object
    introduce: object


class Cell:
    """This host's links to the other entry hosts.

    Parameters
    ----------
    settings : dict
        The daemon's settings.
    keys : KeyRing
        Shared secrets.
    directory : HostsDirectory
        Where the other hosts are.
    clock, log : callable
        Boot-time clock and structured log.
    parts : CellParts
        The host's side of it.

    Attributes
    ----------
    heard_s : dict
        When each host was last heard, on this host's clock: the time at which a
        probe that was answered went out, or a host's own probe came in.
    numbers : dict
        The configuration that each host last said to have in force.
    """

    def __init__(self, settings, keys, directory, clock, log, parts):
        self.heard_s = {}
        self.numbers = {}
        self._states = {}
        self._suspected_s = {}
        self._settings = settings
        self._keys = keys
        self._directory = directory
        self._clock = clock
        self._log = log
        self._parts = parts
        self._identity = None
        self._server = None
        self._links = {}
        self._failed = {}
        self._tasks = set()

    async def start(self, name, incarnation):
        """Listen, and begin to gossip; return the bound port."""
        self._identity = Identity(name, incarnation)
        self._server = PeerServer(
            self._identity, self._keys, self._on_request, self._on_error
        )
        address = self._settings["peers.address"]
        port = await self._server.start(address, self._settings["peers.port"])
        self._spawn(self._gossip_on())
        return port

    async def close(self):
        """End the links and the listener."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for _, link in self._links.values():
            await link.close()
        if self._server is not None:
            await self._server.close()

    def state(self, name):
        """Return live, suspect or leaving for a host."""
        return self._states.get(name, LIVE)

    @property
    def members(self):
        """Names of the hosts that this one gossips with."""
        return list(self._links)

    def live_hosts(self):
        """Return (name, zone) of the hosts that callers may be sent to."""
        live = []
        for name, record in self._directory.records.items():
            if self.state(name) == LIVE:
                live.append((name, record.zone))
        return live

    def follow_directory(self):
        """Open links to the hosts to gossip with, close the others."""
        wanted = {}
        for name in self._parts.choose():
            record = self._directory.records.get(name)
            if record is not None:
                wanted[name] = record.peers
        for name in list(self._links):
            if self._links[name][0] != wanted.get(name):
                _, link = self._links.pop(name)
                self._forget(name)
                self._spawn(link.close())
        for name, address in wanted.items():
            if name not in self._links:
                link = self._open_link(address, name)
                self._links[name] = (address, link)

    async def ask(self, name, message):
        """Ask one host something; None when it gives no answer in time."""
        if name not in self._links:
            return None
        return await self._ask(self._links[name][1], message)

    async def ask_any(self, message):
        """Ask the hosts in turn; return the first answer that isn't empty."""
        for name in list(self._links):
            if self.state(name) == SUSPECT:
                continue
            answer = await self.ask(name, message)
            if answer:
                return answer
        return None

    async def ask_seed(self, address, message):
        """Ask whoever listens at an address; None when it gives no answer."""
        link = self._open_link(address, None)
        try:
            return await self._ask(link, message)
        finally:
            await link.close()

    async def tell_all(self, message):
        """Send all hosts something that can't wait for the next gossip."""
        asked = [self.ask(name, message) for name in list(self._links)]
        await asyncio.gather(*asked)

    async def gossip_now(self):
        """Gossip with all hosts at once."""
        await asyncio.gather(*(self._gossip_with(name) for name in list(self._links)))

    def _spawn(self, coroutine):
        """Run something beside the rest."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _open_link(self, address, name):
        """Return a link to a host; it connects on its own."""
        ip, port = address.rsplit(":", 1)
        link = PeerLink(ip, int(port), self._identity, self._keys, expected_host=name)
        self._spawn(link.start())
        return link

    async def _ask(self, link, message):
        """Return the answer to a message, or None."""
        result = await link.request(message, self._settings["peers.timeout_s"])
        return result.unwrap() if isinstance(result, Success) else None

    async def _gossip_on(self):
        """Gossip with each host in every interval."""
        while True:
            await asyncio.sleep(self._settings["peers.gossip_s"])
            for name in list(self._links):
                if self._should_begin(name):
                    self._spawn(self._gossip_with(name))
            self._forget_dead()

    def _should_begin(self, name):
        """Return whether this host begins the gossip with another one.

        An exchange carries both hosts' news, so of each pair the first by name
        begins it: half the messages, which counts against 2 KB/s a node. The other
        one begins when it has heard nothing for two intervals.
        """
        if self._identity.host < name:
            return True
        heard_s = self.heard_s.get(name, float("-inf"))
        return self._clock() - heard_s > 2 * self._settings["peers.gossip_s"]

    async def _gossip_with(self, name):
        """Exchange news with one host; count whether it answers."""
        message = {"type": "gossip", **self._parts.tell()}
        sent_s = self._clock()
        answer = await self.ask(name, message)
        if answer is not None:
            self._take(name, answer, sent_s)
            if answer.get("stranger"):
                self._spawn(self._parts.introduce(name))
            return
        self._failed[name] = self._failed.get(name, 0) + 1
        if self._failed[name] == FAILED_PROBES_MAX:
            self._log("warning", "host_suspected", peer=name)
            self._states[name] = SUSPECT
            self._suspected_s[name] = sent_s
            self._parts.lose(name)

    def _take(self, name, gossip, heard_s):
        """Take another host's news, known to be no older than ``heard_s``."""
        self.heard_s[name] = heard_s
        self._failed[name] = 0
        if self._states.get(name) == SUSPECT:
            self._log("info", "host_back", peer=name)
        self._suspected_s.pop(name, None)
        self._states[name] = LEAVING if gossip.get("state") == LEAVING else LIVE
        self.numbers[name] = gossip.get("config", 0)
        self._parts.hear(name, gossip)

    def _forget_dead(self):
        """Have the records of hosts deleted that have been silent for long."""
        now_s = self._clock()
        for name, suspected_s in list(self._suspected_s.items()):
            if now_s - suspected_s < FORGET_AFTER_S:
                continue
            self._suspected_s[name] = now_s
            record = self._directory.records.get(name)
            if record is not None:
                self._log("warning", "host_forgotten", peer=name)
                self._spawn(self._directory.remove(record))

    async def _on_request(self, peer, message):
        """Answer another host."""
        if message.get("type") == "gossip":
            self._take(peer.host, message, self._clock())
            # A host that started while the platform is down knows nobody, but those
            # who knew it before gossip with it. It asks them who they are.
            stranger = peer.host not in self._directory.records
            return {**self._parts.tell(), "stranger": stranger}
        return await self._parts.answer(peer.host, message)

    def _on_error(self, error):
        """Log what went wrong with a peer."""
        self._log(
            "warning",
            "peer_error",
            kind=error.kind,
            step=error.step,
            peer=error.peer,
            detail=error.detail,
        )

    def _forget(self, name):
        """Drop what was known of a host that is no longer talked to."""
        for table in (
            self.heard_s,
            self.numbers,
            self._states,
            self._suspected_s,
            self._failed,
        ):
            table.pop(name, None)
        self._parts.lose(name)
