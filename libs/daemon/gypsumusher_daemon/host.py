"""The entry host: creates its components, starts them and stops them in order."""

import asyncio
import random
import socket

from returns.result import Success

from gypsumusher_daemon.abandoned_streams import AbandonedStreams
from gypsumusher_daemon.caller_routes import create_callers_app, is_busy
from gypsumusher_daemon.cell_members import own_deployments
from gypsumusher_daemon.clock import boot_time_s
from gypsumusher_daemon.configuration import Configuration
from gypsumusher_daemon.crashing_requests import CrashingRequests
from gypsumusher_daemon.dispatch import Dispatcher
from gypsumusher_daemon.endpoints import EndpointTable
from gypsumusher_daemon.engine_sessions import EngineSessions
from gypsumusher_daemon.forwarding import Forwarder
from gypsumusher_daemon.hosts_directory import HostRecord, HostsDirectory
from gypsumusher_daemon.journals import Journals, journal_policy, new_incarnation
from gypsumusher_daemon.keyed_requests import KeyedRequests
from gypsumusher_daemon.keyed_routing import KeyedRouter
from gypsumusher_daemon.limited_protocol import limited_protocol
from gypsumusher_daemon.metrics import Metrics
from gypsumusher_daemon.operator_routes import create_operators_app
from gypsumusher_daemon.peer_messages import PeerMessages
from gypsumusher_daemon.peer_network import LEAVING, LIVE, SUSPECT, PeerNetwork
from gypsumusher_daemon.readiness import STARTING, STOPPED, Readiness
from gypsumusher_daemon.report_poller import ReportPoller
from gypsumusher_daemon.request_execution import ExecutionContext
from gypsumusher_daemon.request_history import RequestHistory
from gypsumusher_daemon.request_runner import RequestRunner
from gypsumusher_daemon.service_requests import ServiceRequests
from gypsumusher_daemon.services import Services
from gypsumusher_daemon.stewards import Stewards
from gypsumusher_http import ConnectionBudget
from gypsumusher_objects import BudgetLimits, CallBudget, PlatformClient
from gypsumusher_peers import KeyRing
from gypsumusher_policy import Quarantine
from gypsumusher_policy.quarantine import EVALUATION_DELAY_S
from gypsumusher_process import keep_running

__all__ = ["EntryHost"]

# Interval at which a planned stop checks whether it can continue.
STOP_POLL_S = 0.05
# A planned stop waits this long for its journal to be sealed. Without a seal the
# next host that needs one of its keys seals the journal.
SEAL_TIMEOUT_S = 5.0
LISTEN_BACKLOG = 1024
# Settings that a reload changes; any other needs a restart.
RELOADED_SETTINGS = frozenset({"operators.token", "peers.keys"})


class EntryHost:
    """The daemon of one entry host.

    Parameters
    ----------
    settings : dict
        Validated settings.
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
        self.history = RequestHistory()
        self.quarantine = Quarantine(EVALUATION_DELAY_S)
        self.tasks = set()
        self.servers = []
        self._loops = []
        self._addresses = {}
        self._connection_budget = ConnectionBudget(
            log,
            settings["callers.max_buffer_bytes"],
            settings["callers.max_connections"],
        )
        self._create_components()

    def _create_components(self):
        """Create the components without starting any."""
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
        self.report_poller = ReportPoller(
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
        self.peer_messages = PeerMessages(self)
        self.peer_network = PeerNetwork(
            settings,
            self.keys,
            self.directory,
            clock,
            log,
            self.peer_messages.handlers(),
        )
        self.crashing_requests = CrashingRequests(
            self.quarantine,
            self.client,
            clock,
            log,
            self.peer_network.broadcast,
            self.track,
            self.dispatcher.tick,
        )
        self.endpoints.crash_listeners.append(self.crashing_requests.on_crash)
        self.configuration = Configuration(
            self.name,
            self.client,
            clock,
            log,
            settings["platform.watch_s"],
            self._on_adopted,
            self.peer_messages.fetch_section,
        )
        self.abandoned_streams = AbandonedStreams(self.sessions, log)
        self.context = ExecutionContext(
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
        self._create_keyed_components()
        self.services = Services(self.sessions, self.endpoints, self.zone, clock, log)
        self.service_requests = ServiceRequests(self.name, self.services, self.track)
        self.stewards = Stewards(self)
        self.readiness = Readiness(self)
        self.request_runner = RequestRunner(self)

    def _create_keyed_components(self):
        """Create the components that serve keyed requests."""
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
        self.keyed_requests = KeyedRequests(
            self.journals,
            self.clock,
            settings["journal.retention_s"],
            settings["journal.answers_bytes"],
        )
        self.keyed_router = KeyedRouter(
            self.name,
            self.journals,
            self.keyed_requests,
            self.directory,
            Forwarder(self.name, self.sessions),
            self.sessions,
            lambda name: self.peer_network.state(name) == SUSPECT,
            self.log,
        )

    # Start, reload and stop

    def reload(self, settings):
        """Apply the settings that can change while the host runs.

        Parameters
        ----------
        settings : dict
            Validated settings from the reloaded file.

        Notes
        -----
        Secrets must be replaceable without a stop, so the peers' keys and the
        operators' token change at once. Any other changed setting needs a restart and
        is logged, so that operators do not take it for applied.
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
        """Start all components; return the bound address of each listener."""
        settings = self.settings
        await self.client.start()
        await self.sessions.start()
        await self.journals.start()
        peers_port = await self.peer_network.start(self.name, self.incarnation)
        self.endpoints.set_membership(self.peer_network.membership)
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
        loops = (
            self._poll_endpoint_list,
            self.peer_messages.contact_seeds,
            self.crashing_requests.load,
        )
        for function in loops:
            self._loops.append(keep_running(function, self.log))
        self._on_hosts_changed()
        await self.stewards.start()
        self.state = LIVE
        return dict(self._addresses)

    async def stop(self):
        """Stop as planned, without aborting running requests.

        Notes
        -----
        Callers cache an answer of ``/v1/entry`` for its ``max_age_s``. So this host
        is first removed from those answers, here and on its peers, then keeps serving
        for that time, and only then refuses new requests and waits for running ones,
        for at most the setting ``stop.grace_s``.
        """
        if self.state in (LEAVING, STOPPED):
            return
        self.state = LEAVING
        self.peer_network.set_leaving()
        self.log("info", "stop_began", running=len(self.tasks))
        await self._try_to("release_leases", self.stewards.release)
        await self._try_to("tell_peers", self.peer_network.gossip_now)
        await self._try_to("withdraw", self.directory.withdraw)
        await self._serve_while_cached(self.settings["callers.entry_max_age_s"])
        self.state = STOPPED
        end_s = self.clock() + self.settings["stop.grace_s"]
        while self._running() and self.clock() < end_s:
            await asyncio.sleep(STOP_POLL_S)
        self.keyed_requests.finish_unsent()
        sealed = await self._try_to("seal", self.journals.seal_own, SEAL_TIMEOUT_S)
        self.log("info", "stop_done", running=self._running(), sealed=sealed)
        await self.close()

    async def _try_to(self, step, function, *arguments):
        """Return the result of a step of a stop, which goes on if the step fails."""
        try:
            return await function(*arguments)
        except Exception as error:
            self.log("error", "stop_step_failed", step=step, error=repr(error))
            return None

    async def close(self):
        """Cancel all tasks and close all components."""
        self.state = STOPPED
        for task in [*self._loops, *self.tasks]:
            task.cancel()
        await asyncio.gather(*self._loops, *self.tasks, return_exceptions=True)
        await self.stewards.close()
        await self.abandoned_streams.close()
        await self.report_poller.close()
        await self.configuration.close()
        await self.directory.close()
        await self.peer_network.close()
        for server in self.servers:
            await server.close()
        await self.journals.close()
        self.dispatcher.close()
        await self.sessions.close()
        await self.client.close()

    async def _listen(self, app, listener):
        """Serve an app in this process; return the bound address."""
        address = self.settings[f"{listener}.address"]
        # Sanic takes port 0 for "no port given" and uses 8000, so it gets a socket
        # that is already bound.
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((address, self.settings[f"{listener}.port"]))
        server = await app.create_server(
            sock=sock,
            backlog=LISTEN_BACKLOG,
            return_asyncio_server=True,
            access_log=False,
            protocol=limited_protocol(self._connection_budget),
        )
        await server.startup()
        self.servers.append(server)
        return f"{address}:{sock.getsockname()[1]}"

    async def _serve_while_cached(self, wait_s):
        """Wait while callers with a cached ``/v1/entry`` answer are still served."""
        end_s = self.clock() + wait_s
        while self.clock() < end_s:
            await asyncio.sleep(min(STOP_POLL_S, wait_s))

    def _running(self):
        """Return the number of unfinished requests and unsent answers."""
        sending = 0
        for connection in self.servers[0].connections:
            if is_busy(connection):
                sending += 1
        return len(self.tasks) + sending

    def track(self, task):
        """Hold a reference to a task until it is done; return the task."""
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
        """Publish the new incarnation, which owns the keys minted from now on."""
        self.incarnation = incarnation
        if self.state == LIVE:
            self.directory.publish(self.record())

    # Updates from the platform and from peers

    async def _poll_endpoint_list(self):
        """Poll the platform's list of endpoints, until cancelled."""
        while True:
            result = await self.client.list_hosts()
            if isinstance(result, Success):
                self.endpoints.set_listed(result.unwrap())
                self.report_poller.update_tasks()
            # Jitter: hosts that lost the platform together must not retry together.
            await asyncio.sleep(
                self.settings["platform.poll_s"] * random.uniform(0.8, 1.2)
            )

    def _on_adopted(self, number, document):
        """Apply an adopted configuration to all components."""
        self.metrics.config.set({}, number)
        self.dispatcher.set_document(document)
        self.endpoints.set_drained(document)
        self.peer_network.update_links()
        self.dispatcher.set_hosts(self.peer_network.members)
        self._update_polled_deployments()
        self.endpoints.publish()

    def _on_hosts_changed(self):
        """Update links, schedulers and polling after a change of the host records."""
        self.peer_network.update_links()
        self.dispatcher.set_hosts(self.peer_network.members)
        self._update_polled_deployments()

    def _update_polled_deployments(self):
        """Poll the engines of the deployments whose cell this host belongs to."""
        if self.document is None:
            return
        hosts = self.hosts_with_self()
        own = own_deployments(self.document, hosts, self.name)
        self.report_poller.set_deployments(own)

    def hosts_with_self(self):
        """Return (name, zone) of the live hosts, including this one."""
        hosts = dict(self.peer_network.live_hosts())
        hosts[self.name] = self.zone
        return list(hosts.items())

    @property
    def config_number(self):
        """Number of the configuration in force."""
        return self.configuration.number

    @property
    def document(self):
        """The configuration in force, or None."""
        return self.configuration.document
