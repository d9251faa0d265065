"""Talks to the other entry hosts: probes, gossip, and what they ask of this one."""

import asyncio
from typing import NamedTuple

from returns.result import Success

from gypsumusher_coordination import Membership, MembershipPolicy
from gypsumusher_coordination.membership import LEAVING, LIVE, SUSPECT
from gypsumusher_peers import Identity, PeerLink, PeerServer

__all__ = ["LEAVING", "LIVE", "SUSPECT", "Cell", "CellParts"]

# The members are looked at this many times in one gossip interval, so that news go
# out soon after they come.
TICKS_AN_INTERVAL = 4
NEWS_INTERVAL_S = 0.25
# A host that is suspected for this long was replaced without a planned stop; its
# record is deleted. If it lives all the same, it publishes itself again.
FORGET_AFTER_S = 600.0


class CellParts(NamedTuple):
    """What a cell needs of its host.

    Attributes
    ----------
    choose : callable
        ``choose()`` returns the names of the hosts to gossip with.
    tell : callable
        ``tell()`` returns what this host gossips with its own probes.
    tell_short : callable
        ``tell_short()`` returns what goes into answers: the rest comes with the
        other host's next probe, and 2 KB/s a node is little.
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
    tell_short: object
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
    membership : Membership
        Who answers, and which endpoints are leaving; there from `start` on.
    """

    def __init__(self, settings, keys, directory, clock, log, parts):
        self.heard_s = {}
        self.numbers = {}
        self.membership = None
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
        self._tasks = set()

    async def start(self, name, incarnation):
        """Listen, and begin to gossip; return the bound port."""
        self._identity = Identity(name, incarnation)
        interval_s = self._settings["peers.gossip_s"]
        policy = MembershipPolicy(
            probe_interval_s=interval_s,
            probe_timeout_s=2 * self._settings["peers.timeout_s"],
            update_interval_s=min(interval_s, NEWS_INTERVAL_S),
        )
        self.membership = Membership(name, incarnation, policy)
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
        """Return live, suspect or leaving for a host; others' hosts count as live."""
        if name not in self._links:
            return LIVE
        return self.membership.host_state(name)

    def set_leaving(self):
        """Tell the other hosts from now on that this one is leaving."""
        self.membership.set_leaving()

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
        incarnations = {}
        for name in wanted:
            incarnations[name] = self._directory.records[name].incarnation
        self.membership.set_hosts(self._clock(), incarnations)

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
        """Gossip with all hosts at once, beside the ordinary probes."""
        message = {**self._parts.tell(), "type": "gossip"}
        await self.tell_all(message)

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
        """Probe the members as they are due."""
        while True:
            await asyncio.sleep(self._settings["peers.gossip_s"] / TICKS_AN_INTERVAL)
            for probe in self.membership.tick(self._clock()):
                self._spawn(self._probe(probe))
            self._note_suspects()
            self._forget_dead()

    async def _probe(self, probe):
        """Send one probe with this host's news, and take the answer."""
        name = probe.host
        message = {**self._parts.tell(), "type": "gossip", "member": probe.message}
        sent_s = self._clock()
        answer = await self.ask(name, message)
        if answer is None:
            self.membership.on_probe_failed(self._clock(), name)
            return
        self.membership.on_probe_answer(self._clock(), name, answer["member"])
        self._hear(name, answer, sent_s)
        if answer.get("stranger"):
            self._spawn(self._parts.introduce(name))

    def _note_suspects(self):
        """Log who has become suspect or is back, and drop a suspect's word."""
        for name in self._links:
            suspect = self.state(name) == SUSPECT
            known = name in self._suspected_s
            if suspect and not known:
                self._log("warning", "host_suspected", peer=name)
                self._suspected_s[name] = self._clock()
                self._parts.lose(name)
            if known and not suspect:
                self._log("info", "host_back", peer=name)
                del self._suspected_s[name]

    def _hear(self, name, gossip, heard_s):
        """Take another host's news, known to be no older than ``heard_s``."""
        self.heard_s[name] = heard_s
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
        if message.get("type") != "gossip":
            return await self._parts.answer(peer.host, message)
        answer = {}
        if "member" in message:
            answer["member"] = self.membership.on_probe(
                self._clock(), peer.host, message["member"]
            )
        self._hear(peer.host, message, self._clock())
        # A host that started while the platform is down knows nobody, but those who
        # knew it before gossip with it. It asks them who they are.
        stranger = peer.host not in self._directory.records
        return {**answer, **self._parts.tell_short(), "stranger": stranger}

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
            self._suspected_s,
        ):
            table.pop(name, None)
        self._parts.lose(name)
