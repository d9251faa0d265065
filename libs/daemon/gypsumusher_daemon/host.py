"""One entry host: owns its parts, starts them in order, closes them in turn."""

import asyncio
import random
import socket

from returns.result import Success

from gypsumusher_daemon.abandoned import AbandonedStreams
from gypsumusher_daemon.callers import create_callers_app, is_busy
from gypsumusher_daemon.cell import LEAVING, LIVE, SUSPECT, Cell
from gypsumusher_daemon.cell_members import own_deployments
from gypsumusher_daemon.clock import boot_time_s
from gypsumusher_daemon.configuration import Configuration
from gypsumusher_daemon.crashing_requests import CrashingRequests
from gypsumusher_daemon.dispatch import Dispatcher
from gypsumusher_daemon.endpoints import EndpointTable
from gypsumusher_daemon.engine_sessions import EngineSessions
from gypsumusher_daemon.exchanges import ExchangeContext
from gypsumusher_daemon.forwarding import Forwarder
from gypsumusher_daemon.hosts_directory import HostRecord, HostsDirectory
from gypsumusher_daemon.journals import Journals, journal_policy, new_incarnation
from gypsumusher_daemon.keyed_flow import KeyedFlow
from gypsumusher_daemon.keyed_requests import KeyedRequests
from gypsumusher_daemon.metrics import Metrics
from gypsumusher_daemon.operators import create_operators_app
from gypsumusher_daemon.peer_news import PeerNews
from gypsumusher_daemon.readiness import STARTING, STOPPED, Readiness
from gypsumusher_daemon.reports import ReportPoller
from gypsumusher_daemon.request_flows import RequestFlows
from gypsumusher_daemon.requests_log import RequestsLog
from gypsumusher_daemon.service_flow import ServiceFlow
from gypsumusher_daemon.services import Services
from gypsumusher_daemon.stewards import Stewards
from gypsumusher_objects import BudgetLimits, CallBudget, PlatformClient
from gypsumusher_peers import KeyRing
from gypsumusher_policy import Quarantine
from gypsumusher_policy.quarantine import EVALUATION_DELAY_S

__all__ = ["EntryHost"]

STOP_POLL_S = 0.05
SEAL_TIMEOUT_S = 5.0
LISTEN_BACKLOG = 1024
RELOADED_SETTINGS = frozenset({"operators.token", "peers.keys"})


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
        self.quarantine = Quarantine(EVALUATION_DELAY_S)
        self.tasks = set()
        self.servers = []
        self._loops = []
        self._addresses = {}
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
        self.news = PeerNews(self)
        self.cell = Cell(
            settings,
            self.keys,
            self.directory,
            clock,
            log,
            self.news.parts(),
        )
        self.crashing = CrashingRequests(
            self.quarantine,
            self.client,
            clock,
            log,
            self.cell.tell_all,
            self.track,
            self.dispatcher.tick,
        )
        self.endpoints.crash_listeners.append(self.crashing.on_crash)
        self.configuration = Configuration(
            self.name,
            self.client,
            clock,
            log,
            settings["platform.watch_s"],
            self._on_adopted,
            self.news.section_from_peers,
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
        self.readiness = Readiness(self)
        self.flows = RequestFlows(self)

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
            self.context.keys,
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
        self.directory.publish(self.record())
        await self.directory.start()
        await self.configuration.start()
        self._loops.append(asyncio.ensure_future(self._follow_list()))
        self._loops.append(asyncio.ensure_future(self.news.find_seeds()))
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

    def record(self):
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
            self.directory.publish(self.record())

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
        self.dispatcher.set_hosts(self.cell.members)
        self._choose_deployments()
        self.endpoints.publish()

    def _on_hosts_changed(self):
        """Follow the hosts that have come or gone."""
        self.cell.follow_directory()
        self.dispatcher.set_hosts(self.cell.members)
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

    @property
    def number(self):
        """Number of the configuration in force."""
        return self.configuration.number

    @property
    def document(self):
        """The configuration in force, or None."""
        return self.configuration.document
