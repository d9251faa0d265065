"""Talks to the other entry hosts: probes, gossip, and what they ask of this one."""

import asyncio

from returns.result import Success

from gypsumusher_daemon.hosts_directory import HostRecord
from gypsumusher_peers import Identity, PeerLink, PeerServer

__all__ = ["Cell"]

# Probes in a row without an answer after which a host is suspected. Suspicion steers
# routing only, so a wrong one costs a detour and no promise.
FAILED_PROBES_MAX = 3
LIVE = "live"
SUSPECT = "suspect"
LEAVING = "leaving"


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
    tell : callable
        ``tell()`` returns what this host gossips.
    hear : callable
        ``hear(host, gossip)`` takes what another host gossips.
    answer : coroutine function
        ``await answer(message)`` answers any other message.
    """

    def __init__(self, settings, keys, directory, clock, log, tell, hear, answer):
        self.heard_s = {}
        self.states = {}
        self.numbers = {}
        self._settings = settings
        self._keys = keys
        self._directory = directory
        self._clock = clock
        self._log = log
        self._tell = tell
        self._hear = hear
        self._answer = answer
        self._identity = None
        self._server = None
        self._links = {}
        self._failed = {}
        self._tasks = []

    async def start(self, name, incarnation):
        """Listen, and begin to gossip; return the bound port."""
        self._identity = Identity(name, incarnation)
        self._server = PeerServer(
            self._identity, self._keys, self._on_request, self._on_error
        )
        address = self._settings["peers.address"]
        port = await self._server.start(address, self._settings["peers.port"])
        self._tasks.append(asyncio.ensure_future(self._gossip_on()))
        return port

    async def close(self):
        """End the links and the listener."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for _, link in self._links.values():
            await link.close()
        if self._server is not None:
            await self._server.close()

    def state(self, name):
        """Return live, suspect or leaving for a host."""
        return self.states.get(name, LIVE)

    def live_hosts(self):
        """Return (name, zone) of the hosts that callers may be sent to."""
        live = []
        for name, record in self._directory.records.items():
            if self.state(name) == LIVE:
                live.append((name, record.zone))
        return live

    def follow_directory(self):
        """Open links to new hosts, close those of hosts that are gone."""
        wanted = {}
        for name, record in self._directory.records.items():
            if name != self._identity.host:
                wanted[name] = record.peers
        for name in list(self._links):
            if self._links[name][0] != wanted.get(name):
                _, link = self._links.pop(name)
                self._forget(name)
                self._tasks.append(asyncio.ensure_future(link.close()))
        for name, address in wanted.items():
            if name not in self._links:
                self._links[name] = (address, self._open_link(name, address))
        self._tasks = [task for task in self._tasks if not task.done()]

    async def ask(self, name, message):
        """Ask one host something; None when it gives no answer in time."""
        if name not in self._links:
            return None
        _, link = self._links[name]
        result = await link.request(message, self._settings["peers.timeout_s"])
        return result.unwrap() if isinstance(result, Success) else None

    async def ask_any(self, message):
        """Ask the hosts in turn; return the first answer that isn't empty."""
        for name in list(self._links):
            if self.state(name) == SUSPECT:
                continue
            answer = await self.ask(name, message)
            if answer:
                return answer
        return None

    async def gossip_now(self):
        """Tell all hosts at once, for news that can't wait."""
        await asyncio.gather(*(self._gossip_with(name) for name in list(self._links)))

    def _open_link(self, name, address):
        """Return a started link to a host."""
        ip, port = address.rsplit(":", 1)
        link = PeerLink(ip, int(port), self._identity, self._keys, expected_host=name)
        self._tasks.append(asyncio.ensure_future(link.start()))
        return link

    async def _gossip_on(self):
        """Gossip with each host in every interval."""
        while True:
            await asyncio.sleep(self._settings["peers.gossip_s"])
            for name in list(self._links):
                if self._should_begin(name):
                    self._tasks.append(asyncio.ensure_future(self._gossip_with(name)))
            self._tasks = [task for task in self._tasks if not task.done()]

    def _should_begin(self, name):
        """Return whether this host begins the gossip with another one.

        An exchange carries both hosts' news, so of each pair the first by name
        begins it: half the messages, which counts against 2 KB/s a node. The other
        one begins when it has heard nothing for two intervals.
        """
        if self._identity.host < name:
            return True
        heard_s = self.heard_s.get(name, 0.0)
        return self._clock() - heard_s > 2 * self._settings["peers.gossip_s"]

    async def _gossip_with(self, name):
        """Exchange news with one host; count whether it answers."""
        message = {"type": "gossip", **self._tell()}
        sent_s = self._clock()
        answer = await self.ask(name, message)
        if answer is None:
            self._failed[name] = self._failed.get(name, 0) + 1
            if self._failed[name] == FAILED_PROBES_MAX:
                self._log("warning", "host_suspected", peer=name)
                self.states[name] = SUSPECT
            return
        self._take(name, answer, sent_s)

    def _take(self, name, gossip, heard_s):
        """Take another host's news, known to be no older than ``heard_s``."""
        self.heard_s[name] = heard_s
        self._failed[name] = 0
        if self.states.get(name) == SUSPECT:
            self._log("info", "host_back", peer=name)
        self.states[name] = LEAVING if gossip.get("state") == LEAVING else LIVE
        self.numbers[name] = gossip.get("config", 0)
        self._hear(name, gossip)

    async def _on_request(self, peer, message):
        """Answer another host."""
        if message.get("type") == "gossip":
            record = message.get("record")
            if isinstance(record, dict):
                self._directory.learn(HostRecord(**record))
            self._take(peer.host, message, self._clock())
            return self._tell()
        return await self._answer(message)

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
        """Drop what was known of a host that is gone."""
        for table in (self.heard_s, self.states, self.numbers, self._failed):
            table.pop(name, None)
