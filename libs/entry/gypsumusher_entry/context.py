"""What the exchanges with callers share: beliefs, connections, counts, the log."""

import asyncio
import random
import time

from gypsumusher_entry.staleness_monitor import StalenessMonitor
from gypsumusher_entry.stall_monitor import StallMonitor
from gypsumusher_http import ConnectionPool
from gypsumusher_platform import decode_response_head
from gypsumusher_ports import DecodeError
from gypsumusher_routing import (
    ALL_ON,
    CostModel,
    EndpointTable,
    EnginePool,
    HostStatus,
    HostTable,
    RetryBudget,
    RouteTable,
    active_host_count,
    choose_active_hosts,
    choose_watchers,
    host_capacity,
)

__all__ = ["Context"]


# For how long callers keep the list of hosts, in seconds. A stop waits for three times
# as long, and a dead host is tried for that long; each caller asks once in this time.
DIRECTORY_TTL_S = 1.0
# A connection within a region opens in a few milliseconds; an opening packet that is
# lost is sent again after a second, and another endpoint answers sooner than that.
CONNECT_TIMEOUT_S = 0.35
# Part of an endpoint's connections that all hosts together use: they don't agree on
# their number at each moment, and a connection too many is reset.
USED_CONNECTIONS_PART = 0.9
# The active hosts are chosen anew this often, in seconds: a host is silent for longer
# before it counts as dead, and the choice costs a sort of all hosts.
ACTIVE_KEPT_S = 0.2


class Context:
    """The state that one entry host's parts work on.

    Parameters
    ----------
    settings : HostSettings
        Settings of the process.
    clock : callable
        Steady clock in seconds.
    log : callable
        ``log(level, event, **fields)``.
    metrics : Metrics
        Counters and histograms.
    policy : Policy
        Which mechanisms decide.
    """

    def __init__(self, settings, clock, log, metrics, policy=ALL_ON):
        self.policy = policy
        self.settings = settings
        self.clock = clock
        self.log = log
        self.metrics = metrics
        self.draw = random.random
        self.started_s = clock()
        self.configuration = None
        self.configuration_source = None
        self.routes = None
        self.endpoints = EndpointTable()
        self.hosts = HostTable(settings.name)
        self.lags = StalenessMonitor(self)
        self.pool = ConnectionPool(clock, decode_response_head, CONNECT_TIMEOUT_S)
        self.overdue = StallMonitor(clock, log, self.next_tick)
        # Engines that this host has ordered to change their stage, for the peers.
        self.ordered_stages = []
        # What is known of the lease for such orders; None until it is sought.
        self.stage_lease = None
        self.is_leaving = False
        self._store_seen_since_s = None
        self.started_ms = int(time.time() * 1000)
        self._active = []
        self._active_at_s = float("-inf")
        self.configuration_listeners = []
        # Called when a prompt is about to be sent to an engine.
        self.reading_listeners = []
        # So that hosts that start together don't all wake at the same moments.
        self._tick_offset_s = self.draw()
        self._retry_shares = {}
        self._learnt = {}
        self._placements = []
        self._background = set()

    @property
    def is_ready(self):
        """Whether this host takes callers."""
        return not self.is_leaving and self.configuration is not None

    @property
    def sees_store(self):
        """Whether the store answers this host."""
        return self._store_seen_since_s is not None

    @sees_store.setter
    def sees_store(self, sees):
        if not sees:
            self._store_seen_since_s = None
        elif self._store_seen_since_s is None:
            self._store_seen_since_s = self.clock()

    @property
    def store_seen_s(self):
        """For how long the store has answered this host, in seconds."""
        since_s = self._store_seen_since_s
        return 0.0 if since_s is None else self.clock() - since_s

    @property
    def configuration_version(self):
        """Version in force, 0 without one."""
        return 0 if self.configuration is None else self.configuration.version

    def own_news(self, beat=0, period_s=0.0):
        """Return what this host says of itself.

        Parameters
        ----------
        beat : int
            Number of the message.
        period_s : float
            After how long the next one comes at the latest, in seconds.
        """
        settings = self.settings
        return HostStatus(
            name=settings.name,
            started_ms=self.started_ms,
            sequence=beat,
            ip=settings.ip,
            zone=settings.zone,
            callers_address=settings.callers_address,
            peers_address=settings.peers_address,
            is_ready=self.is_ready,
            configuration_version=self.configuration_version,
            endpoints_revision=self.endpoints.revision,
            capacity=host_capacity(settings.cores, settings.link_mbps),
            sees_store=self.sees_store,
            store_reachable_s=self.store_seen_s,
            period_s=period_s,
            hosts_recorded=self.hosts.recorded_count(),
        )

    def active_hosts(self):
        """Return the hosts that callers are sent to, in their common order."""
        now_s = self.clock()
        if now_s - self._active_at_s > ACTIVE_KEPT_S:
            hosts = [news for news in self.hosts.live(now_s) if news.is_ready]
            if self.is_ready:
                hosts.append(self.own_news())
            # One more than those that it knows: itself.
            self._active = choose_active_hosts(hosts, len(self.hosts.addresses()) + 1)
            self._active_at_s = now_s
        return self._active

    def is_active(self):
        """Say whether callers are sent to this host."""
        name = self.settings.name
        return any(news.name == name for news in self.active_hosts())

    def watches_store(self):
        """Say whether this host is one that watches the store for all.

        A host that hears of none that sees the store looks for itself.
        """
        active = self.active_hosts()
        watchers = choose_watchers(active)
        if any(news.name == self.settings.name for news in watchers):
            return True
        now_s = self.clock()
        return not any(news.sees_store for news in self.hosts.live(now_s))

    def gives_orders(self):
        """Say whether this host is the one that orders engines' stages.

        Hosts that don't hear each other may both think so; the lease decides then.
        """
        for news in self.active_hosts():
            if news.sees_store:
                return news.name == self.settings.name
        return False

    def hosts_count(self):
        """Return the number of hosts that share the work, this one among them.

        Those that this host doesn't hear may be at work all the same.
        """
        expected = active_host_count(self.hosts.existing_count())
        return max(1, len(self.active_hosts()), expected)

    def adopt(self, configuration, stored, source):
        """Put a configuration in force, unless it is older than the one that is.

        Failure guarded against: a late answer or a peer that lags would bring back
        routes that are gone; it shows as requests run by a service that no longer
        takes them. Versions only grow, so the older one is passed over.

        Parameters
        ----------
        configuration : Configuration
            The decoded form.
        stored : StoredObject
            What it was decoded from, for peers that can't read the store.
        source : str
            Who told of it.

        Returns
        -------
        bool
            Whether it is in force now and wasn't before.
        """
        if configuration.version <= self.configuration_version:
            return False
        known = self.configuration_version
        self.configuration = configuration
        self.configuration_source = stored
        self.metrics.configured(configuration.version)
        self.routes = RouteTable(configuration)
        memory = {}
        for service in configuration.services.values():
            if service.engine is not None:
                memory[service.name] = service.engine.kv_tokens
        self.endpoints.set_cache_capacity(memory)
        for listener in self.configuration_listeners:
            listener(configuration)
        self.log(
            "info",
            "configuration_adopted",
            version=configuration.version,
            before=known,
            source=source,
            routes=len(configuration.routes),
        )
        return True

    def directory_ttl_s(self):
        """Return for how long callers may keep the list of hosts, in seconds."""
        return min(DIRECTORY_TTL_S, self.settings.bounds.directory_ttl_max_s)

    def retry_share(self, service):
        """Return this host's share of the retries of a service."""
        share = self._retry_shares.get(service)
        if share is None:
            bounds = self.settings.bounds
            share = self._retry_shares[service] = RetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
                self.started_s,
            )
        return share

    def learnt(self, service):
        """Return what the engines of a service have taught this host."""
        if service not in self._learnt:
            self._learnt[service] = CostModel(self.policy)
        return self._learnt[service]

    def fleet(self, service, limits, states=None):
        """Return the engines that a request may use now.

        Parameters
        ----------
        service : str
            The service.
        limits : EngineLimits
            What its engines have in common.
        states : list of EndpointState or None
            Engines to choose from; all usable ones by default.
        """
        if states is None:
            states = self.endpoints.of_service(service)
        learnt, zone = self.learnt(service), self.settings.zone
        connections = self.connections_max(service)
        return EnginePool(states, limits, learnt, zone, connections, self.policy)

    def take_retry(self, service):
        """Use one retry of a service, unless this host's share is spent.

        Returns
        -------
        RetryDecision
        """
        return self.retry_share(service).take(self.clock(), self.hosts.existing_count())

    def note_request(self, service):
        """Count a request of a service, for the retries that it allows."""
        self.retry_share(service).on_first_send(
            self.clock(), self.hosts.existing_count()
        )

    def connections_max(self, service):
        """Return how many connections this host may have to one endpoint."""
        known = self.configuration.services.get(service)
        if known is None:
            # A version that came meanwhile has dropped the service; what was begun
            # under the one before ends on the few connections that every host may have.
            return 0
        return int(USED_CONNECTIONS_PART * known.max_connections / self.hosts_count())

    async def acquire(self, record, connections_max, is_fresh=False):
        """Return a connection to one incarnation of an endpoint.

        The rest is as of `ConnectionPool.acquire`.
        """
        key = (*record.incarnation, record.address)
        return await self.pool.acquire(key, record.address, connections_max, is_fresh)

    def note_reading_begun(self):
        """Note that an engine is about to be sent a prompt to read."""
        for listener in self.reading_listeners:
            listener()

    def note_placement(self, state, parts, wait_s=0.0):
        """Note that an engine keeps parts of a prompt, here and for the peers.

        Parameters
        ----------
        state : EndpointState
            The engine.
        parts : sequence of PromptPart
            The prompt's parts. The last one is the request's own, and is told to
            nobody: only its session could ask for it again.
        wait_s : float
            Time until they are read, in seconds; 0 when they are.
        """
        chain = [[part.part_id, part.tokens] for part in parts]
        shared = chain[:-1]
        if wait_s:
            state.prefixes.add_pending(shared, self.clock() + wait_s)
        else:
            state.prefixes.add_chain(chain)
        if shared:
            placement = [state.record.endpoint_id, shared, round(wait_s, 2)]
            self._placements.append(placement)

    def take_placements(self, count):
        """Return what was noted and not told yet, the oldest first, up to a count."""
        placements = self._placements[:count]
        del self._placements[:count]
        return placements

    async def next_tick(self, period_s):
        """Wait until the next multiple of a period, in seconds.

        Made for hundreds of hosts that mostly wait. Each wake-up of a process costs as
        much as the work that is done in it; periodic work on common ticks shares them.
        """
        passed_s = (self.clock() + self._tick_offset_s) % period_s
        await asyncio.sleep(period_s - passed_s)

    def spawn(self, coroutine):
        """Run something that no caller waits for; its failure is logged."""
        task = asyncio.ensure_future(coroutine)
        self._background.add(task)
        task.add_done_callback(self._on_background_done)
        return task

    async def close(self):
        """End what runs in the background."""
        await self.overdue.close()
        for task in list(self._background):
            task.cancel()
        await asyncio.gather(*self._background, return_exceptions=True)
        self.pool.close()

    def _on_background_done(self, task):
        self._background.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        level = "warning" if isinstance(task.exception(), DecodeError) else "error"
        self.log(level, "background_failed", error=repr(task.exception()))
