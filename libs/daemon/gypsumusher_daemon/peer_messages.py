"""What this host tells the other entry hosts, and what it does with their news."""

import asyncio

from gypsumusher_daemon.cell_members import gossip_hosts
from gypsumusher_daemon.hosts_directory import HostRecord
from gypsumusher_daemon.peer_network import CellParts

__all__ = ["PeerNews"]

SEED_PAUSE_S = 0.5


class PeerNews:
    """This host's side of the talk in its cells.

    Parameters
    ----------
    host : EntryHost
        Its parts are told what peers say.
    """

    def __init__(self, host):
        self._host = host

    def parts(self):
        """Return what the cell needs of its host."""
        return CellParts(
            self.choose_gossip,
            self.tell,
            self.tell_short,
            self.hear,
            self.lose,
            self.answer,
            self.introduce,
        )

    def choose_gossip(self):
        """Return the hosts to gossip with."""
        hosts = [(r.name, r.zone) for r in self._host.directory.records.values()]
        return gossip_hosts(self._host.document, hosts, self._host.name)

    async def find_seeds(self):
        """Ask the seeds for the other hosts while the platform doesn't tell."""
        while len(self._host.directory.records) < 2:
            for address in self._host.settings["peers.seeds"]:
                self._learn_hosts(
                    await self._host.cell.ask_seed(address, self._greeting())
                )
            await asyncio.sleep(SEED_PAUSE_S)

    async def introduce(self, peer):
        """Tell a host that doesn't know this one of all that are known here."""
        self._learn_hosts(await self._host.cell.ask(peer, self._greeting()))

    def _greeting(self):
        """Return the message by which hosts get to know each other."""
        records = [record._asdict() for record in self._host.directory.records.values()]
        return {
            "type": "introduce",
            "record": self._host.record()._asdict(),
            "records": records,
        }

    def _learn_hosts(self, message):
        """Take another host's record and those that it knows."""
        message = message or {}
        if message.get("record") is not None:
            self._host.directory.learn(HostRecord(**message["record"]), first_hand=True)
        for record in message.get("records", ()):
            if record["name"] != self._host.name:
                self._host.directory.learn(HostRecord(**record), first_hand=False)

    def tell(self):
        """Return this host's news for its peers."""
        loads, demands = {}, {}
        for name, scheduler in self._host.dispatcher.schedulers.items():
            load = scheduler.own_load()
            if load:
                loads[name] = load
            if name in self._host.reports.deployments:
                demands[name] = scheduler.demand()
        return {**self.tell_short(), "loads": loads, "demands": demands}

    def tell_short(self):
        """Return the numbers by which peers see that they missed something."""
        return {
            "config": self._host.number,
            "convicted": len(self._host.quarantine.convictions),
        }

    def hear(self, peer, gossip):
        """Take another host's news."""
        loads = gossip.get("loads")
        if loads is not None:
            for deployment in self._host.dispatcher.schedulers:
                self._host.dispatcher.apply(
                    deployment, "on_peer_load", peer, loads.get(deployment, {})
                )
        self._host.stewards.hear(peer, gossip.get("demands", {}))
        self._host.endpoints.publish()
        if gossip.get("convicted", 0) > len(self._host.quarantine.convictions):
            self._host.track(asyncio.ensure_future(self._convictions_from(peer)))
        if gossip.get("config", 0) > self._host.number:
            self._host.track(asyncio.ensure_future(self._head_from(peer)))

    def lose(self, peer):
        """Forget the load of a host that is suspected or gone."""
        for deployment in self._host.dispatcher.schedulers:
            self._host.dispatcher.apply(deployment, "on_peer_load", peer, {})

    async def _convictions_from(self, peer):
        """Ask a host that knows more convictions for them."""
        answer = await self._host.cell.ask(peer, {"type": "convictions"})
        if answer:
            self._host.crashing.hear_convictions(answer.get("convictions", {}))

    async def _head_from(self, peer):
        """Ask a host that has a newer configuration for its head."""
        answer = await self._host.cell.ask(peer, {"type": "head"})
        if answer and isinstance(answer.get("head"), dict):
            self._host.configuration.offer(answer["head"])

    async def section_from_peers(self, section_hash):
        """Return a section of the configuration from any peer that has it."""
        answer = await self._host.cell.ask_any(
            {"type": "section", "hash": section_hash}
        )
        return answer.get("value") if answer else None

    async def answer(self, peer, message):
        """Answer another host's question."""
        kind = message.get("type")
        if kind == "head":
            return {"head": self._host.configuration.replica.head}
        if kind == "section":
            value = self._host.configuration.section(message.get("hash"))
            return {} if value is None else {"value": value}
        if kind == "resumed":
            self._host.abandoned.taken_up(message.get("stream_id"))
            return {}
        if kind == "crash":
            self._host.crashing.hear_crash(
                message.get("suspicions", {}), message.get("past_prompt", [])
            )
            return {}
        if kind == "convictions":
            self._host.crashing.hear_convictions(message.get("convictions", {}))
            return {"convictions": dict(self._host.quarantine.convictions)}
        if kind == "introduce":
            self._learn_hosts(message)
            return self._greeting()
        self._host.log(
            "warning", "peer_message_unknown", peer=peer, kind=str(kind)[:40]
        )
        return {"error": "unknown message"}
