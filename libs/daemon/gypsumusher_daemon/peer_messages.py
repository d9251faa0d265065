"""Builds this host's state updates and handles the messages of its peers."""

import asyncio

from gypsumusher_daemon.cell_members import gossip_hosts
from gypsumusher_daemon.hosts_directory import HostRecord
from gypsumusher_daemon.peer_network import PeerHandlers

__all__ = ["PeerMessages"]

# Pause between rounds of requests to the seeds while no other host is known.
SEED_RETRY_S = 0.5


class PeerMessages:
    """Builds and handles the messages that a host exchanges with its peers.

    Parameters
    ----------
    host : EntryHost
        Its components supply the state and receive what peers send.
    """

    def __init__(self, host):
        self._host = host

    def handlers(self):
        """Return the callbacks for the peer network."""
        return PeerHandlers(
            self.choose_hosts,
            self.build_gossip,
            self.build_summary,
            self.on_gossip,
            self.on_peer_lost,
            self.answer_request,
            self.introduce,
        )

    def choose_hosts(self):
        """Return the names of the hosts to gossip with."""
        hosts = [(r.name, r.zone) for r in self._host.directory.records.values()]
        return gossip_hosts(self._host.document, hosts, self._host.name)

    async def contact_seeds(self):
        """Request host records from the seeds until another host is known."""
        while len(self._host.directory.records) < 2:
            for address in self._host.settings["peers.seeds"]:
                self._add_records(
                    await self._host.peer_network.request_address(
                        address, self._introduction()
                    )
                )
            await asyncio.sleep(SEED_RETRY_S)

    async def introduce(self, peer):
        """Exchange host records with a peer."""
        self._add_records(
            await self._host.peer_network.request(peer, self._introduction())
        )

    def _introduction(self):
        """Return the message with this host's record and all records known here."""
        records = [record._asdict() for record in self._host.directory.records.values()]
        return {
            "type": "introduce",
            "record": self._host.record()._asdict(),
            "records": records,
        }

    def _add_records(self, message):
        """Add the records of an introduction to the directory."""
        message = message or {}
        if message.get("record") is not None:
            self._host.directory.add_from_peer(
                HostRecord(**message["record"]), is_own=True
            )
        for record in message.get("records", ()):
            if record["name"] != self._host.name:
                self._host.directory.add_from_peer(HostRecord(**record), is_own=False)

    def build_gossip(self):
        """Return this host's full state update for its peers."""
        loads, demands = {}, {}
        for name, scheduler in self._host.dispatcher.schedulers.items():
            load = scheduler.own_load()
            if load:
                loads[name] = load
            if name in self._host.report_poller.deployments:
                demands[name] = scheduler.demand()
        return {**self.build_summary(), "loads": loads, "demands": demands}

    def build_summary(self):
        """Return the counts by which peers detect that they missed something."""
        return {
            "config": self._host.config_number,
            "convicted": len(self._host.quarantine.convictions),
        }

    def on_gossip(self, peer, gossip):
        """Handle a state update from a peer; fetch what this host has missed."""
        loads = gossip.get("loads")
        if loads is not None:
            for deployment in self._host.dispatcher.schedulers:
                self._host.dispatcher.call_scheduler(
                    deployment, "on_peer_load", peer, loads.get(deployment, {})
                )
        self._host.stewards.on_peer_demands(peer, gossip.get("demands", {}))
        self._host.endpoints.publish()
        if gossip.get("convicted", 0) > len(self._host.quarantine.convictions):
            self._host.track(asyncio.ensure_future(self._fetch_convictions(peer)))
        if gossip.get("config", 0) > self._host.config_number:
            self._host.track(asyncio.ensure_future(self._fetch_head(peer)))

    def on_peer_lost(self, peer):
        """Drop the load received from a host that is suspected or removed."""
        for deployment in self._host.dispatcher.schedulers:
            self._host.dispatcher.call_scheduler(deployment, "on_peer_load", peer, {})

    async def _fetch_convictions(self, peer):
        """Fetch the convictions of a peer that has more of them than this host."""
        answer = await self._host.peer_network.request(peer, {"type": "convictions"})
        if answer:
            self._host.crashing_requests.on_peer_convictions(
                answer.get("convictions", {})
            )

    async def _fetch_head(self, peer):
        """Fetch the configuration head of a peer that has a newer one."""
        answer = await self._host.peer_network.request(peer, {"type": "head"})
        if answer and isinstance(answer.get("head"), dict):
            self._host.configuration.receive_head(answer["head"])

    async def fetch_section(self, section_hash):
        """Return a configuration section from the first peer that has it, or None."""
        answer = await self._host.peer_network.request_any(
            {"type": "section", "hash": section_hash}
        )
        return answer.get("value") if answer else None

    async def answer_request(self, peer, message):
        """Answer a peer's message other than gossip."""
        kind = message.get("type")
        if kind == "head":
            return {"head": self._host.configuration.replica.head}
        if kind == "section":
            value = self._host.configuration.section(message.get("hash"))
            return {} if value is None else {"value": value}
        if kind == "resumed":
            self._host.abandoned_streams.on_resumed(message.get("stream_id"))
            return {}
        if kind == "crash":
            self._host.crashing_requests.on_peer_crash(
                message.get("suspicions", {}), message.get("past_prompt", [])
            )
            return {}
        if kind == "convictions":
            self._host.crashing_requests.on_peer_convictions(
                message.get("convictions", {})
            )
            return {"convictions": dict(self._host.quarantine.convictions)}
        if kind == "introduce":
            self._add_records(message)
            return self._introduction()
        self._host.log(
            "warning", "peer_message_unknown", peer=peer, kind=str(kind)[:40]
        )
        return {"error": "unknown message"}
