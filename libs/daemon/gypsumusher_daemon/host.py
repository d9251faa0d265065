"""One entry host: owns its parts, starts them in order, closes them in turn."""

import asyncio
import random
import secrets
import socket
import time

from returns.result import Success

from gypsumusher_coordination import heard_s, may_serve
from gypsumusher_daemon.abandoned import AbandonedStreams
from gypsumusher_daemon.callers import create_callers_app, is_busy
from gypsumusher_daemon.cell import LEAVING, LIVE, SUSPECT, Cell, CellParts
from gypsumusher_daemon.cell_members import cell_of, gossip_hosts, own_deployments
from gypsumusher_daemon.clock import boot_time_s
from gypsumusher_daemon.configuration import Configuration
from gypsumusher_daemon.crashing_requests import CrashingRequests
from gypsumusher_daemon.delivery import Delivery
from gypsumusher_daemon.dispatch import Dispatcher
from gypsumusher_daemon.endpoints import EndpointTable
from gypsumusher_daemon.engine_sessions import EngineSessions
from gypsumusher_daemon.exchanges import Exchange, ExchangeContext
from gypsumusher_daemon.forwarding import Forwarder
from gypsumusher_daemon.hosts_directory import HostRecord, HostsDirectory
from gypsumusher_daemon.journals import Journals, journal_policy, new_incarnation
from gypsumusher_daemon.keyed_flow import KeyedFlow
from gypsumusher_daemon.keyed_requests import KeyedRequests
from gypsumusher_daemon.metrics import Metrics
from gypsumusher_daemon.operators import create_operators_app
from gypsumusher_daemon.refusals import Refusal
from gypsumusher_daemon.reports import ReportPoller
from gypsumusher_daemon.requests_log import RequestsLog
from gypsumusher_daemon.resuming import begin_resume
from gypsumusher_daemon.service_flow import (
    ServiceFlow,
    read_service_call,
    service_fingerprint,
)
from gypsumusher_daemon.services import Services
from gypsumusher_daemon.stewards import Stewards
from gypsumusher_peers import KeyRing
from gypsumusher_platform import BudgetLimits, CallBudget, PlatformClient
from gypsumusher_policy import Quarantine, choose_cell, choose_entry

__all__ = ["EntryHost", "Running"]

STARTING = "starting"
STOPPED = "stopped"
RETRY_STARTING_S = 1.0
RETRY_BUSY_S = 1.0
STOP_POLL_S = 0.05
SEAL_TIMEOUT_S = 5.0
LISTEN_BACKLOG = 1024
RELOADED_SETTINGS = frozenset({"operators.token", "peers.keys"})
SEED_PAUSE_S = 0.5
# Hosts that are told to callers who name no deployment.
ENTRY_CELL_HOSTS = 8
# The first report of an engine comes within one interval and a round trip.
FIRST_REPORT_S = 2.0


class Running:
    """A request in this host, for those who may have to end it.

    Attributes
    ----------
    delivery : Delivery
        Its answer.
    task : asyncio.Task
        Sees it through.
    exchange : Exchange
        Knows where its stream is.
    """

    def __init__(self, delivery, exchange):
        self.delivery = delivery
        self.exchange = exchange
        self.task = None

    @property
    def place(self):
        """Where its stream is, or None."""
        return self.exchange.place


class EntryHost:
    """The daemon of one entry host.

    Parameters
    ----------
    settings : dict
        Checked settings.
    log : callable
        Structured log.

    Attributes
    ----------
    state : str
        starting, live, leaving or stopped.
    """

    def __init__(self, settings, log):
        self.settings = settings
        self.log = log
        self.clock = boot_time_s
        self.name = settings["host.name"]
        self.zone = settings["host.zone"]
        self.incarnation = new_incarnation()
        self.state = STARTING
        self.metrics = Metrics()
        self.history = RequestsLog()
        self.quarantine = Quarantine()
        self.tasks = set()
        self.servers = []
        self._loops = []
        self._addresses = {}
        self._cut_off_logged = False
        self._create_parts()

    def _create_parts(self):
        """Create the parts, none of which does anything yet."""
        settings, log, clock = self.settings, self.log, self.clock
        limits = BudgetLimits(
            writes_per_s=settings["platform.writes_per_s"],
            reads_per_s=settings["platform.reads_per_s"],
        )
        self.client = PlatformClient(
            settings["platform.urls"],
            settings["platform.token"],
            self.name,
            settings["platform.timeout_s"],
            CallBudget(random.random, limits),
            clock,
        )
        self.sessions = EngineSessions(
            settings["engines.connect_timeout_s"], settings["engines.silence_s"]
        )
        self.dispatcher = Dispatcher(self.name, self.zone, clock, self.quarantine)
        self.endpoints = EndpointTable(self.dispatcher, clock, log)
        self.reports = ReportPoller(
            self.sessions,
            self.endpoints,
            self.dispatcher,
            settings["engines.report_s"],
            settings["engines.cache_events_s"],
            clock,
        )
        self.keys = KeyRing([(key.id, key.secret) for key in settings["peers.keys"]])
        self.directory = HostsDirectory(
            self.client, log, settings["platform.watch_s"], self._on_hosts_changed
        )
        self.cell = Cell(
            settings,
            self.keys,
            self.directory,
            clock,
            log,
            CellParts(
                self._choose_gossip,
                self._tell,
                self._tell_short,
                self._hear,
                self._lose,
                self._answer_peer,
                self._introduce,
            ),
        )
        self.crashing = CrashingRequests(
            self.quarantine, self.client, clock, log, self.cell.tell_all, self.track
        )
        self.endpoints.crash_listeners.append(self.crashing.on_crash)
        self.configuration = Configuration(
            self.name,
            self.client,
            clock,
            log,
            settings["platform.watch_s"],
            self._on_adopted,
            self._section_from_peers,
        )
        self.abandoned = AbandonedStreams(self.sessions, log)
        self.context = ExchangeContext(
            host=self.name,
            keys=list(settings["peers.keys"]),
            clock=clock,
            log=log,
            sessions=self.sessions,
            dispatcher=self.dispatcher,
            endpoints=self.endpoints,
            metrics=self.metrics,
            history=self.history,
            quarantine=self.quarantine,
        )
        self._create_keyed_parts()
        self.services = Services(self.sessions, self.endpoints, self.zone, clock, log)
        self.service_flow = ServiceFlow(self.name, self.services, self.track)
        self.stewards = Stewards(self)

    def _create_keyed_parts(self):
        """Create what serves requests that run at most once."""
        settings = self.settings
        self.journals = Journals(
            self.name,
            self.incarnation,
            self.client,
            self.clock,
            self.log,
            journal_policy(settings),
            self._on_new_incarnation,
        )
        self.keyed = KeyedRequests(
            self.journals,
            self.clock,
            settings["journal.retention_s"],
            settings["journal.answers_bytes"],
        )
        self.keyed_flow = KeyedFlow(
            self.name,
            self.journals,
            self.keyed,
            self.directory,
            Forwarder(self.name, self.sessions),
            self.sessions,
            lambda name: self.cell.state(name) == SUSPECT,
            self.log,
        )

    # Life

    def reload(self, settings):
        """Take over the settings that can change while the host runs.

        Parameters
        ----------
        settings : dict
            Checked settings, read anew.

        Notes
        -----
        Secrets must be replaceable without a stop, so the peers' keys and the
        operators' token change at once. Everything else needs a restart and is named
        in the log, so that nobody takes it for changed.
        """
        ignored = []
        for key, value in settings.items():
            if value == self.settings[key]:
                continue
            if key not in RELOADED_SETTINGS:
                ignored.append(key)
                continue
            self.settings[key] = value
        keys = self.settings["peers.keys"]
        self.keys.replace([(key.id, key.secret) for key in keys])
        self.context.keys[:] = keys
        self.log("info", "settings_reloaded", needs_restart=",".join(ignored) or None)

    async def start(self):
        """Start all parts; return the bound addresses by listener."""
        settings = self.settings
        await self.client.start()
        await self.sessions.start()
        await self.journals.start()
        peers_port = await self.cell.start(self.name, self.incarnation)
        self.endpoints.set_membership(self.cell.membership)
        callers = await self._listen(create_callers_app(self), "callers")
        operators = await self._listen(create_operators_app(self), "operators")
        self._addresses = {
            "callers": callers,
            "operators": operators,
            "peers": f"{settings['peers.address']}:{peers_port}",
        }
        self.directory.publish(self._record())
        await self.directory.start()
        await self.configuration.start()
        self._loops.append(asyncio.ensure_future(self._follow_list()))
        self._loops.append(asyncio.ensure_future(self._find_seeds()))
        self._loops.append(asyncio.ensure_future(self.crashing.load()))
        self._on_hosts_changed()
        await self.stewards.start()
        self.state = LIVE
        return dict(self._addresses)

    async def stop(self):
        """Stop as planned: nothing that runs is cut.

        Notes
        -----
        Callers keep an answer of ``/v1/entry`` for its ``max_age_s``. So this host
        first leaves those answers, here and on its peers, then serves on for that
        time, and only then refuses new work and waits for what runs.
        """
        if self.state in (LEAVING, STOPPED):
            return
        self.state = LEAVING
        self.cell.set_leaving()
        self.log("info", "stop_began", running=len(self.tasks))
        await self.stewards.release()
        await self.cell.gossip_now()
        await self.directory.withdraw()
        await self._wait_out(self.settings["callers.entry_max_age_s"])
        self.state = STOPPED
        end_s = self.clock() + self.settings["stop.grace_s"]
        while self._running() and self.clock() < end_s:
            await asyncio.sleep(STOP_POLL_S)
        self.keyed.give_up_unsent()
        sealed = await self.journals.seal_own(SEAL_TIMEOUT_S)
        self.log("info", "stop_done", running=self._running(), sealed=sealed)
        await self.close()

    async def close(self):
        """Close all parts at once."""
        self.state = STOPPED
        for task in [*self._loops, *self.tasks]:
            task.cancel()
        await asyncio.gather(*self._loops, *self.tasks, return_exceptions=True)
        await self.stewards.close()
        await self.abandoned.close()
        await self.reports.close()
        await self.configuration.close()
        await self.directory.close()
        await self.cell.close()
        for server in self.servers:
            await server.close()
        await self.journals.close()
        self.dispatcher.close()
        await self.sessions.close()
        await self.client.close()

    async def _listen(self, app, listener):
        """Serve an app without worker processes; return its address."""
        address = self.settings[f"{listener}.address"]
        # The library reads port 0 as "no port given" and takes 8000 instead, so it
        # gets a bound socket.
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address, self.settings[f"{listener}.port"]))
        server = await app.create_server(
            sock=sock,
            backlog=LISTEN_BACKLOG,
            return_asyncio_server=True,
            access_log=False,
        )
        await server.startup()
        self.servers.append(server)
        return f"{address}:{sock.getsockname()[1]}"

    async def _wait_out(self, wait_s):
        """Wait on, so that callers who know this host still get in."""
        end_s = self.clock() + wait_s
        while self.clock() < end_s:
            await asyncio.sleep(min(STOP_POLL_S, wait_s))

    def _running(self):
        """Number of requests and answers that are not finished."""
        sending = 0
        for connection in self.servers[0].connections:
            if is_busy(connection):
                sending += 1
        return len(self.tasks) + sending

    def track(self, task):
        """Keep a task until it is done."""
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def _record(self):
        """Return this host's record for the directory."""
        return HostRecord(
            name=self.name,
            incarnation=self.journals.incarnation,
            zone=self.zone,
            region=self.settings["host.region"],
            **self._addresses,
        )

    def _on_new_incarnation(self, incarnation):
        """Publish the home that new keys name."""
        self.incarnation = incarnation
        if self.state == LIVE:
            self.directory.publish(self._record())

    # What comes from the platform and from peers

    async def _follow_list(self):
        """Read the platform's list of endpoints again and again."""
        while True:
            result = await self.client.hosts()
            if isinstance(result, Success):
                self.endpoints.set_listed(result.unwrap())
                self.reports.follow_list()
            # Spread, so that hosts which lost the platform don't come back in step.
            await asyncio.sleep(
                self.settings["platform.poll_s"] * random.uniform(0.8, 1.2)
            )

    def _on_adopted(self, number, document):
        """Put a configuration in force."""
        self.metrics.config.set({}, number)
        self.dispatcher.set_document(document)
        self.endpoints.set_drained(document)
        self.cell.follow_directory()
        self._choose_deployments()
        self.endpoints.publish()

    def _on_hosts_changed(self):
        """Follow the hosts that have come or gone."""
        self.cell.follow_directory()
        self._choose_deployments()

    def _choose_deployments(self):
        """Follow the engines of the deployments that this host serves."""
        if self.document is None:
            return
        hosts = self.hosts_with_self()
        own = own_deployments(self.document, hosts, self.name)
        self.reports.set_deployments(own)

    def hosts_with_self(self):
        """Return (name, zone) of the live hosts, this one among them."""
        hosts = dict(self.cell.live_hosts())
        hosts[self.name] = self.zone
        return list(hosts.items())

    def _choose_gossip(self):
        """Return the hosts to gossip with."""
        hosts = [(r.name, r.zone) for r in self.directory.records.values()]
        return gossip_hosts(self.document, hosts, self.name)

    async def _find_seeds(self):
        """Ask the seeds for the other hosts while the platform doesn't tell."""
        while len(self.directory.records) < 2:
            for address in self.settings["peers.seeds"]:
                self._learn_hosts(await self.cell.ask_seed(address, self._greeting()))
            await asyncio.sleep(SEED_PAUSE_S)

    async def _introduce(self, peer):
        """Tell a host that doesn't know this one of all that are known here."""
        self._learn_hosts(await self.cell.ask(peer, self._greeting()))

    def _greeting(self):
        """Return the message by which hosts get to know each other."""
        records = [record._asdict() for record in self.directory.records.values()]
        return {
            "type": "introduce",
            "record": self._record()._asdict(),
            "records": records,
        }

    def _learn_hosts(self, message):
        """Take another host's record and those that it knows."""
        message = message or {}
        if message.get("record") is not None:
            self.directory.learn(HostRecord(**message["record"]), first_hand=True)
        for record in message.get("records", ()):
            if record["name"] != self.name:
                self.directory.learn(HostRecord(**record), first_hand=False)

    def _tell(self):
        """Return this host's news for its peers."""
        loads, demands = {}, {}
        for name, scheduler in self.dispatcher.schedulers.items():
            load = scheduler.own_load()
            if load:
                loads[name] = load
            if name in self.reports.deployments:
                demands[name] = scheduler.demand()
        return {**self._tell_short(), "loads": loads, "demands": demands}

    def _tell_short(self):
        """Return the numbers by which peers see that they missed something."""
        return {
            "config": self.number,
            "convicted": len(self.quarantine.convictions),
        }

    def _hear(self, peer, gossip):
        """Take another host's news."""
        loads = gossip.get("loads")
        if loads is not None:
            for deployment in self.dispatcher.schedulers:
                self.dispatcher.apply(
                    deployment, "on_peer_load", peer, loads.get(deployment, {})
                )
        self.stewards.hear(peer, gossip.get("demands", {}))
        self.endpoints.publish()
        if gossip.get("convicted", 0) > len(self.quarantine.convictions):
            self.track(asyncio.ensure_future(self._convictions_from(peer)))
        if gossip.get("config", 0) > self.number:
            self.track(asyncio.ensure_future(self._head_from(peer)))

    def _lose(self, peer):
        """Forget the load of a host that is suspected or gone."""
        for deployment in self.dispatcher.schedulers:
            self.dispatcher.apply(deployment, "on_peer_load", peer, {})

    async def _convictions_from(self, peer):
        """Ask a host that knows more convictions for them."""
        answer = await self.cell.ask(peer, {"type": "convictions"})
        if answer:
            self.crashing.hear_convictions(answer.get("convictions", {}))

    async def _head_from(self, peer):
        """Ask a host that has a newer configuration for its head."""
        answer = await self.cell.ask(peer, {"type": "head"})
        if answer and isinstance(answer.get("head"), dict):
            self.configuration.offer(answer["head"])

    async def _section_from_peers(self, section_hash):
        """Return a section of the configuration from any peer that has it."""
        answer = await self.cell.ask_any({"type": "section", "hash": section_hash})
        return answer.get("value") if answer else None

    async def _answer_peer(self, peer, message):
        """Answer another host's question."""
        kind = message.get("type")
        if kind == "head":
            return {"head": self.configuration.replica.head}
        if kind == "section":
            value = self.configuration.section(message.get("hash"))
            return {} if value is None else {"value": value}
        if kind == "resumed":
            self.abandoned.taken_up(message.get("stream_id"))
            return {}
        if kind == "crash":
            self.crashing.hear_crash(message.get("suspicions", {}))
            return {}
        if kind == "convictions":
            self.crashing.hear_convictions(message.get("convictions", {}))
            return {"convictions": dict(self.quarantine.convictions)}
        if kind == "introduce":
            self._learn_hosts(message)
            return self._greeting()
        self.log("warning", "peer_message_unknown", peer=peer, kind=str(kind)[:40])
        return {"error": "unknown message"}

    # What callers and operators ask for

    @property
    def number(self):
        """Number of the configuration in force."""
        return self.configuration.number

    @property
    def document(self):
        """The configuration in force, or None."""
        return self.configuration.document

    def is_ready(self):
        """Return whether callers may be sent here."""
        return self.state == LIVE and self.refusal_of_state() is None

    def refusal_of_state(self):
        """Return why this host serves nothing now, or None."""
        if self.state == STOPPED:
            return Refusal(
                "stopping",
                "this host is stopping; ask /v1/entry for another one",
                step="state",
                peer=self.name,
                retry_after_s=RETRY_BUSY_S,
            )
        if self.document is None:
            return Refusal(
                "not_ready",
                "this host has no configuration yet",
                step="state",
                peer=self.name,
                retry_after_s=RETRY_STARTING_S,
            )
        if self._is_cut_off():
            return Refusal(
                "not_ready",
                "this host can't know which configuration is in force",
                step="state",
                peer=self.name,
                retry_after_s=RETRY_STARTING_S,
            )
        if len(self.tasks) >= self.settings["callers.max_requests"]:
            return Refusal(
                "overloaded",
                "this host has too many requests",
                step="state",
                peer=self.name,
                retry_after_s=RETRY_BUSY_S,
            )
        return None

    def _is_cut_off(self):
        """Return whether this host can't know which configuration is in force.

        See `gypsumusher_coordination.may_serve` for the decision and its reasons.
        """
        settings = self.document["hosts"]
        now_s = self.clock()
        last_s = heard_s(
            now_s,
            self.configuration.heard_platform_s,
            self.cell.heard_s,
            self.name,
            [self.name, *self.cell.members],
        )
        cut_off = not may_serve(
            now_s, last_s, settings["stale_config"], settings["stale_limit_s"]
        )
        if cut_off != self._cut_off_logged:
            self._cut_off_logged = cut_off
            self.log("warning" if cut_off else "info", "cut_off", cut_off=cut_off)
        return cut_off

    def new_request_id(self):
        """Return an id for a request, unique over hosts and restarts."""
        return f"{self.name}-{secrets.token_hex(8)}"

    async def follow_deployment(self, deployment):
        """Follow the engines of a deployment whose cell this host isn't in.

        A caller may come to any host. It is served directly: the host reads the
        engines' reports for a while, as the members of the cell do.
        """
        if deployment in self.reports.deployments:
            return
        self.reports.visit(deployment)
        end_s = self.clock() + FIRST_REPORT_S
        while self.clock() < end_s:
            entries = self.endpoints.group("engine", deployment)
            if any(entry.name in self.endpoints.roles for entry in entries):
                return
            await asyncio.sleep(STOP_POLL_S)

    def begin_model(self, call):
        """Begin idempotent model work; return it as `Running`."""
        delivery = Delivery()
        exchange = Exchange(self.context, call, self.new_request_id(), delivery)
        running = Running(delivery, exchange)
        running.task = self.track(asyncio.ensure_future(exchange.run()))
        return running

    def model_runner(self, call, key):
        """Return the coroutine function that runs keyed model work."""

        async def run(entry, claim):
            exchange = Exchange(
                self.context,
                call,
                self.new_request_id(),
                entry.delivery,
                claim,
                {"Idempotency-Key": key},
            )
            try:
                await exchange.run()
            finally:
                entry.sent = entry.sent or exchange.sent

        return run

    def service_call(self, request, name, path):
        """Return the service call that a request means, or the refusal."""
        return read_service_call(
            request, name, path, self.new_request_id(), self.document
        )

    def service_fingerprint(self, call):
        """Return a hash of what decides a call's effect."""
        return service_fingerprint(call)

    def begin_service(self, call):
        """Begin a service call; return the delivery of its answer."""
        return self.service_flow.begin(call)

    def service_runner(self, call, key):
        """Return the coroutine function that runs a keyed service call."""
        return self.service_flow.runner(call, key)

    async def serve_keyed(self, key, fingerprint, run, request, forwarded):
        """Serve a keyed request where it belongs; return a delivery or a refusal."""
        answer = await self.keyed_flow.serve(key, fingerprint, run, request, forwarded)
        entry = self.keyed.find(key)
        if entry is not None and not entry.task.done():
            self.track(entry.task)
        return answer

    async def key_outcome(self, key, forwarded=False):
        """Return what became of a key."""
        return await self.keyed_flow.outcome(key, forwarded)

    def mint_key(self, deployment):
        """Return a new key that names this host as its home."""
        section = (self.document or {}).get("deployments", {}).get(deployment, {})
        unjournaled = section.get("platform_down", "refuse") == "run_unjournaled"
        return self.journals.mint(unjournaled)

    def abandon(self, running):
        """Note that the caller of a stream has gone."""
        self.abandoned.leave(running.task, lambda: running.place)

    async def begin_resume(self, token, after):
        """Take up a stream; return it or a refusal."""
        resumed = begin_resume(
            token,
            after,
            self.context.keys,
            self.name,
            self.endpoints,
            self.sessions,
        )
        if isinstance(resumed, Refusal):
            return resumed
        self.track(resumed.task)
        place = resumed.place
        self.abandoned.taken_up(place.stream_id)
        if place.host != self.name:
            message = {"type": "resumed", "stream_id": place.stream_id}
            self.track(asyncio.ensure_future(self.cell.ask(place.host, message)))
        return resumed

    def entry_answer(self, arguments):
        """Return the hosts that a caller should use."""
        hosts = self._entry_hosts()
        deployment = arguments.get("deployment") or ""
        cell = cell_of(self.document or {}, hosts, deployment)
        if not cell:
            cell = choose_cell(hosts, deployment, ENTRY_CELL_HOSTS)
        zone = arguments.get("zone") or self.zone
        count = self.settings["callers.entry_count"]
        chosen = []
        for name in choose_entry(hosts, cell, zone, count):
            record = self.directory.records[name]
            chosen.append(
                {"name": name, "address": record.callers, "zone": record.zone}
            )
        return {"hosts": chosen, "max_age_s": self.settings["callers.entry_max_age_s"]}

    def _entry_hosts(self):
        """Return (name, zone) of the hosts that take new callers."""
        drained = (self.document or {}).get("hosts", {}).get("drain", ())
        hosts = []
        for name, zone in self.cell.live_hosts():
            if name in drained:
                continue
            if name == self.name and self.state != LIVE:
                continue
            hosts.append((name, zone))
        return hosts

    def models_answer(self):
        """Return the deployments in the form of a list of models."""
        created = int(time.time())
        data = []
        for name in sorted((self.document or {}).get("deployments", {})):
            data.append(
                {
                    "id": name,
                    "object": "model",
                    "created": created,
                    "owned_by": "gypsumusher",
                }
            )
        return {"object": "list", "data": data}

    def explain(self, request_id):
        """Return what became of a request here, or None."""
        events = self.history.find(request_id)
        if events is None:
            return None
        decisions = []
        for scheduler in self.dispatcher.schedulers.values():
            decisions.extend(scheduler.explain(request_id))
        return sorted([*events, *decisions], key=lambda event: event.get("at_s", 0.0))

    def status(self):
        """Return this host's view of the fleet, for operators."""
        hosts = []
        for name, record in sorted(self.directory.records.items()):
            own = name == self.name
            hosts.append(
                {
                    "name": name,
                    "zone": record.zone,
                    "incarnation": record.incarnation,
                    "state": self._shown_state() if own else self.cell.state(name),
                    "config_number": self.number
                    if own
                    else self.cell.numbers.get(name, 0),
                }
            )
        return {
            "host": self.name,
            "state": self._shown_state(),
            "config_number": self.number,
            "platform": {
                "state": "up" if self.client.is_up() else "down",
                "calls": dict(self.client.calls),
            },
            "hosts": hosts,
            "endpoints": self._endpoint_rows(),
            "stewards": self.stewards.rows(),
            "convictions": sorted(self.quarantine.convictions),
        }

    def _shown_state(self):
        """Return this host's state as operators know it."""
        return LEAVING if self.state == STOPPED else self.state

    def _endpoint_rows(self):
        """Return the endpoints as operators see them."""
        loads = {}
        for scheduler in self.dispatcher.schedulers.values():
            loads.update(scheduler.own_load())
        rows = []
        for name, entry in sorted(self.endpoints.entries.items()):
            report = self.endpoints.reports.get(name)
            if self.endpoints.is_leaving(entry):
                state = LEAVING
            elif self.endpoints.is_silent(name):
                state = "silent"
            else:
                state = LIVE
            rows.append(
                {
                    "name": name,
                    "kind": entry.kind,
                    "group": entry.group,
                    "zone": entry.zone,
                    "role": self.endpoints.roles.get(name),
                    "state": state,
                    "running": report.running if report else None,
                    "waiting": report.waiting if report else None,
                    "report_age_s": report.age_s if report else None,
                    "in_flight": loads.get(name, (0, 0))[0],
                }
            )
        return rows
