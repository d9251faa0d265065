"""Links to the other entry hosts: probes, gossip and requests between peers."""

import asyncio
from typing import NamedTuple

from returns.result import Success

from gypsumusher_coordination import Membership, MembershipPolicy
from gypsumusher_coordination.membership import LEAVING, LIVE, SUSPECT
from gypsumusher_peers import Identity, PeerClient, PeerServer
from gypsumusher_process import keep_running

__all__ = ["LEAVING", "LIVE", "SUSPECT", "PeerNetwork", "PeerHandlers"]

# Membership ticks per gossip interval, so that a state update leaves soon after the
# change it reports.
TICKS_PER_INTERVAL = 4
# Longest interval of probes to a host that has not acknowledged a state update.
UPDATE_INTERVAL_MAX_S = 0.25
# A host suspected for this long is taken to be replaced without a planned stop; its
# record is deleted. If it is alive after all, it publishes its record again.
DEAD_HOST_TIMEOUT_S = 600.0


class PeerHandlers(NamedTuple):
    """Callbacks through which the peer network builds and handles messages.

    Attributes
    ----------
    choose_hosts : callable
        ``choose_hosts()`` returns the names of the hosts to gossip with.
    build_gossip : callable
        ``build_gossip()`` returns the state update that goes out with a probe.
    build_summary : callable
        ``build_summary()`` returns the short state update that goes into the answer
        to a probe. The full one follows with this host's own next probe, which keeps
        gossip traffic near 2 KB/s per host.
    on_gossip : callable
        ``on_gossip(host, gossip)`` handles a state update from a host.
    on_peer_lost : callable
        ``on_peer_lost(host)`` is called when a host is suspected or removed, to drop
        the state received from it.
    answer_request : coroutine function
        ``await answer_request(host, message)`` answers a message other than gossip.
    introduce : coroutine function
        ``await introduce(host)`` sends the known host records to a host that does not
        have this one's record.
    """

    choose_hosts: object
    build_gossip: object
    build_summary: object
    on_gossip: object
    on_peer_lost: object
    answer_request: object
    introduce: object


class PeerNetwork:
    """Membership of the entry hosts and this host's links to them.

    Parameters
    ----------
    settings : dict
        The daemon's settings.
    keys : KeyRing
        Shared secrets.
    directory : HostsDirectory
        Addresses of the other hosts.
    clock, log : callable
        Boot-time clock and structured log.
    handlers : PeerHandlers
        Callbacks that build and handle messages.

    Attributes
    ----------
    last_received_s : dict
        By host, the time on this host's clock as of which its last update is known
        to be current: when the probe that it answered was sent, or when its own
        probe arrived.
    config_numbers : dict
        By host, number of the configuration that it last reported to be in force.
    membership : Membership or None
        Which hosts answer and which endpoints are leaving; set by `start`.
    """

    def __init__(self, settings, keys, directory, clock, log, handlers):
        self.last_received_s = {}
        self.config_numbers = {}
        self.membership = None
        self._suspected_since_s = {}
        self._settings = settings
        self._keys = keys
        self._directory = directory
        self._clock = clock
        self._log = log
        self._handlers = handlers
        self._identity = None
        self._server = None
        self._links = {}
        self._tasks = set()

    async def start(self, name, incarnation):
        """Open the peers' listener and start gossiping; return the bound port."""
        self._identity = Identity(name, incarnation)
        interval_s = self._settings["peers.gossip_s"]
        policy = MembershipPolicy(
            probe_interval_s=interval_s,
            probe_timeout_s=2 * self._settings["peers.timeout_s"],
            update_interval_s=min(interval_s, UPDATE_INTERVAL_MAX_S),
        )
        self.membership = Membership(name, incarnation, policy)
        self._server = PeerServer(
            self._identity, self._keys, self._on_request, self._on_error
        )
        address = self._settings["peers.address"]
        port = await self._server.start(address, self._settings["peers.port"])
        self._track(keep_running(self._gossip_loop, self._log))
        return port

    async def close(self):
        """Close the links and the listener."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for _, link in self._links.values():
            await link.close()
        if self._server is not None:
            await self._server.close()

    def state(self, name):
        """Return live, suspect or leaving; a host without a link counts as live."""
        if name not in self._links:
            return LIVE
        return self.membership.host_state(name)

    def set_leaving(self):
        """Report this host as leaving in every state update from now on."""
        self.membership.set_leaving()

    @property
    def members(self):
        """Names of the hosts that this host gossips with."""
        return list(self._links)

    def live_hosts(self):
        """Return (name, zone) of the hosts with a record that are live."""
        live = []
        for name, record in self._directory.records.items():
            if self.state(name) == LIVE:
                live.append((name, record.zone))
        return live

    def update_links(self):
        """Open links to the hosts to gossip with and close all others."""
        wanted = {}
        for name in self._handlers.choose_hosts():
            record = self._directory.records.get(name)
            if record is not None:
                wanted[name] = record.peers
        for name in list(self._links):
            if self._links[name][0] != wanted.get(name):
                _, link = self._links.pop(name)
                self._drop_peer_state(name)
                self._spawn(link.close())
        for name, address in wanted.items():
            if name not in self._links:
                link = self._open_link(address, name)
                self._links[name] = (address, link)
        incarnations = {}
        for name in wanted:
            incarnations[name] = self._directory.records[name].incarnation
        self.membership.set_hosts(self._clock(), incarnations)

    async def request(self, name, message):
        """Send a request to a host; return its answer, or None without one in time."""
        if name not in self._links:
            return None
        return await self._request(self._links[name][1], message)

    async def request_any(self, message):
        """Send a request to the hosts in turn; return the first non-empty answer."""
        for name in list(self._links):
            if self.state(name) == SUSPECT:
                continue
            answer = await self.request(name, message)
            if answer:
                return answer
        return None

    async def request_address(self, address, message):
        """Send a request to the host at an address; return its answer or None."""
        link = self._open_link(address, None)
        try:
            return await self._request(link, message)
        finally:
            await link.close()

    async def broadcast(self, message):
        """Send a message to all linked hosts at once, outside the gossip schedule."""
        asked = [self.request(name, message) for name in list(self._links)]
        await asyncio.gather(*asked)

    async def gossip_now(self):
        """Send a state update to all linked hosts at once."""
        message = {**self._handlers.build_gossip(), "type": "gossip"}
        await self.broadcast(message)

    def _spawn(self, coroutine):
        """Run a coroutine as a task that `close` cancels."""
        self._track(asyncio.ensure_future(coroutine))

    def _track(self, task):
        """Hold a task until it is done or `close` cancels it."""
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _open_link(self, address, name):
        """Return a link to a host; a background task connects it."""
        ip, port = address.rsplit(":", 1)
        link = PeerClient(ip, int(port), self._identity, self._keys, expected_host=name)
        self._spawn(link.start())
        return link

    async def _request(self, link, message):
        """Send a message over a link; return the answer, or None on a failure."""
        result = await link.request(message, self._settings["peers.timeout_s"])
        return result.unwrap() if isinstance(result, Success) else None

    async def _gossip_loop(self):
        """Send due probes and update the state of silent hosts, until cancelled."""
        while True:
            await asyncio.sleep(self._settings["peers.gossip_s"] / TICKS_PER_INTERVAL)
            for probe in self.membership.tick(self._clock()):
                self._spawn(self._probe(probe))
            self._update_suspects()
            self._delete_dead_records()

    async def _probe(self, probe):
        """Send a probe with this host's state update and handle its answer."""
        name = probe.host
        message = {
            **self._handlers.build_gossip(),
            "type": "gossip",
            "member": probe.message,
        }
        sent_s = self._clock()
        answer = await self.request(name, message)
        if answer is None:
            self.membership.on_probe_failed(self._clock(), name)
            return
        self.membership.on_probe_answer(self._clock(), name, answer["member"])
        self._on_gossip(name, answer, sent_s)
        if answer.get("stranger"):
            self._spawn(self._handlers.introduce(name))

    def _update_suspects(self):
        """Log hosts that became suspect or recovered; drop the state of suspects."""
        for name in self._links:
            is_suspect = self.state(name) == SUSPECT
            was_suspect = name in self._suspected_since_s
            if is_suspect and not was_suspect:
                self._log("warning", "host_suspected", peer=name)
                self._suspected_since_s[name] = self._clock()
                self._handlers.on_peer_lost(name)
            if was_suspect and not is_suspect:
                self._log("info", "host_back", peer=name)
                del self._suspected_since_s[name]

    def _on_gossip(self, name, gossip, received_s):
        """Handle a host's state update that was current at ``received_s``."""
        self.last_received_s[name] = received_s
        self.config_numbers[name] = gossip.get("config", 0)
        self._handlers.on_gossip(name, gossip)

    def _delete_dead_records(self):
        """Delete the records of hosts suspected for over `DEAD_HOST_TIMEOUT_S`."""
        now_s = self._clock()
        for name, suspected_since_s in list(self._suspected_since_s.items()):
            if now_s - suspected_since_s < DEAD_HOST_TIMEOUT_S:
                continue
            self._suspected_since_s[name] = now_s
            record = self._directory.records.get(name)
            if record is not None:
                self._log("warning", "host_forgotten", peer=name)
                self._spawn(self._directory.remove(record))

    async def _on_request(self, peer, message):
        """Answer a message from a host."""
        if message.get("type") != "gossip":
            return await self._handlers.answer_request(peer.host, message)
        answer = {}
        if "member" in message:
            answer["member"] = self.membership.on_probe(
                self._clock(), peer.host, message["member"]
            )
        self._on_gossip(peer.host, message, self._clock())
        # A host that starts while the platform is down has no records, but hosts
        # that have its record gossip with it. It asks them to introduce themselves.
        unknown_sender = peer.host not in self._directory.records
        return {**answer, **self._handlers.build_summary(), "stranger": unknown_sender}

    def _on_error(self, error):
        """Log an error of a peer connection."""
        self._log(
            "warning",
            "peer_error",
            kind=error.kind,
            step=error.step,
            peer=error.peer,
            detail=error.detail,
        )

    def _drop_peer_state(self, name):
        """Drop the state received from a host that this host has no link to now."""
        for table in (
            self.last_received_s,
            self.config_numbers,
            self._suspected_since_s,
        ):
            table.pop(name, None)
        self._handlers.on_peer_lost(name)
