"""Shared state of one entry host: settings, cluster state, connections and metrics."""

import asyncio
import random
import secrets
import time

from gypsumusher_entry.account_demand import AccountDemand
from gypsumusher_entry.begun_streams import BegunStreams
from gypsumusher_entry.crash_reports import CrashReports
from gypsumusher_entry.endpoint_connections import EndpointConnections, connection_key
from gypsumusher_entry.endpoint_entries import EndpointEntries
from gypsumusher_entry.endpoint_limit_sync import EndpointLimitSync
from gypsumusher_entry.endpoint_notices import EndpointNotices
from gypsumusher_entry.engine_estimates import EngineEstimates
from gypsumusher_entry.listening import CALLERS
from gypsumusher_entry.staleness_monitor import StalenessMonitor
from gypsumusher_entry.stall_monitor import StallMonitor
from gypsumusher_entry.version_records import VersionRecords
from gypsumusher_http import ConnectionPool
from gypsumusher_platform import decode_response_head
from gypsumusher_ports import STREAM, DecodeError
from gypsumusher_process import keep_running
from gypsumusher_routing import (
    ALL_ON,
    STREAM_LIFETIME_FACTOR,
    AccountTable,
    ConfigurationAge,
    CostModel,
    EndpointTable,
    EnginePool,
    HostStatus,
    HostTable,
    Membership,
    ResponseTimes,
    RetryBudget,
    RouteTable,
    TrueTime,
    active_host_count,
    check_access,
    choose_active_hosts,
    choose_watchers,
    host_capacity,
    key_lease_s,
)

__all__ = ["USAGE_DUTY", "Context"]

# Name of the duty to report usage, in the settings.
USAGE_DUTY = "usage"

# Time for which callers cache the list of hosts. A planned stop waits three times as
# long, and callers try a dead host for as long; each caller asks for the list once per
# TTL.
DIRECTORY_TTL_S = 1.0
# A connection within a region opens in a few milliseconds. A lost SYN is sent again
# after 1 s only, and another endpoint answers sooner than that.
CONNECT_TIMEOUT_S = 0.35
# Fraction of an endpoint's connection limit that all hosts together use. Hosts may
# disagree for a moment on how many they are, and the endpoint resets connections above
# its limit.
USED_CONNECTIONS_FRACTION = 0.9
# How long a choice of the active hosts is reused. Choosing sorts all hosts, and a host
# has to be silent for longer than this before it counts as dead.
ACTIVE_HOSTS_CACHE_S = 0.2
# Age of a peer's last contact with the store, as a share of the least bound, up to
# which a host relies on the peer. The rest has to suffice for reading the store.
CONTACT_AGE_FRACTION = 0.75
# Share of the bound for a new configuration up to which a key that the configuration
# lacks is rejected for good. Above it, a newer configuration may have added the key.
UNKNOWN_KEY_FRACTION = 0.5
# Limits on the placements of prompts' parts in one message to other hosts, and on those
# that wait. Callers choose how many parts a prompt has; a message that is too large
# isn't sent, and a host without messages counts as lost.
MAX_PLACEMENTS, MAX_PLACED_PARTS, MAX_UNSENT_PLACEMENTS = 64, 1024, 512


def read_boottime_s():
    """Return a time in seconds that also advances while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class Context:
    """State shared by the components of one entry host.

    Parameters
    ----------
    settings : HostSettings
        Settings of the process.
    clock : callable
        Monotonic clock in seconds.
    log : callable
        ``log(level, event, **fields)``.
    metrics : Metrics
        Counters and histograms.
    policy : Policy
        Routing mechanisms that are switched on.
    """

    def __init__(self, settings, clock, log, metrics, policy=ALL_ON):
        self.policy = policy
        self.settings = settings
        self.clock = clock
        self.boottime_s = read_boottime_s
        self.log = log
        self.metrics = metrics
        self.draw_uniform = random.random
        self.started_s = clock()
        self.configuration = None
        self.stored_configuration = None
        self.routes = None
        self.accounts = None
        # Counts on `boottime_s`.
        self.configuration_age = ConfigurationAge(secrets.randbits(48))
        # True time minus `boottime_s`, from the clocks of several hosts.
        self.true_time = TrueTime()
        # Confirms the configuration at once; set once the host has started.
        self.confirm_configuration = None
        # Requests that endpoints have begun to run and that aren't counted yet, by
        # account and time, a reading of `boottime_s`.
        self._begun_requests = []
        # Handlers of datagrams other than the state updates, by kind.
        self.datagram_handlers = {}
        self.endpoints = EndpointTable(policy.shared_speeds)
        self.hosts = HostTable(settings.name)
        # The requests of callers that are being served.
        self.exchanges = set()
        self.crash_reports = CrashReports(self)
        self.endpoint_entries = EndpointEntries(log)
        self.version_records = VersionRecords(self)
        self.begun_streams = BegunStreams(self)
        self.endpoint_limits = EndpointLimitSync(self)
        self.endpoint_notices = EndpointNotices(self)
        self.engine_estimates = EngineEstimates(self)
        self.staleness = StalenessMonitor(self)
        self.account_demand = AccountDemand(self)
        self.connection_pool = ConnectionPool(
            clock,
            decode_response_head,
            CONNECT_TIMEOUT_S,
            self.endpoint_notices.on_head,
        )
        self.endpoint_connections = EndpointConnections(self)
        self.stall_monitor = StallMonitor(clock, log, self.wait_for_tick)
        # Stage orders of this host that gossip announces to the other hosts.
        self.ordered_stages = []
        # `StageLease`, or None until the host has started to compete for the lease.
        self.stage_lease = None
        self.is_draining = False
        # When requests that are still served get their final response, because this
        # host stops; None until then.
        self.requests_end_at_s = None
        self.response_times = ResponseTimes()
        # Names of the listeners whose address is still in use.
        self.missing_listeners = set()
        self._store_reachable_since_s = None
        # When the newest call that the store has answered was sent, on `boottime_s`.
        self._store_contact_s = float("-inf")
        self.started_ms = int(time.time() * 1000)
        self._active_hosts = []
        self._active_hosts_chosen_s = float("-inf")
        self.configuration_listeners = []
        # Called right before a prompt is sent to an engine for prefill.
        self.prefill_listeners = []
        # Called with the service, the `PrefillChoice`, the time until the first event
        # is late and whether the prompt is sent, for prompts that are sent or refused.
        self.prompt_listeners = []
        # Called with the service and the shared parts of a prompt, whichever host
        # serves it.
        self.shared_part_listeners = []
        # Random offset: hosts that start together must not wake at the same moments.
        self._tick_offset_s = self.draw_uniform()
        self._retry_budgets = {}
        self._host_count = 0
        # Whether this host may use its part of what all hosts share.
        self.membership = Membership(settings.is_first_start)
        self._cost_models = {}
        self._unsent_placements = []
        self._background_tasks = set()

    @property
    def is_ready(self):
        """Whether this host accepts requests of callers."""
        if self.is_draining or CALLERS in self.missing_listeners:
            return False
        return self.configuration is not None

    @property
    def sees_store(self):
        """Whether the store answers this host."""
        return self._store_reachable_since_s is not None

    @sees_store.setter
    def sees_store(self, sees):
        if not sees:
            self._store_reachable_since_s = None
        elif self._store_reachable_since_s is None:
            self._store_reachable_since_s = self.clock()

    @property
    def store_reachable_s(self):
        """Time since the store last began to answer this host, in seconds."""
        since_s = self._store_reachable_since_s
        return 0.0 if since_s is None else self.clock() - since_s

    @property
    def store_contact_age_s(self):
        """Time since the newest call that the store answered was sent, in seconds."""
        return self.boottime_s() - self._store_contact_s

    @property
    def least_bound_s(self):
        """Time within which every change in the store has to be known, in seconds."""
        bounds = self.settings.bounds
        return min(bounds.drain_s, bounds.configuration_s)

    def on_store_answered(self, started_s):
        """Record that the store has answered a call.

        Parameters
        ----------
        started_s : float
            Reading of `boottime_s` before the call was sent.
        """
        self._store_contact_s = max(self._store_contact_s, started_s)

    @property
    def configuration_version(self):
        """Version of the configuration in force, 0 without one."""
        return 0 if self.configuration is None else self.configuration.version

    def own_status(self, sequence=0, period_s=0.0):
        """Return this host's status, as sent to the other hosts.

        Parameters
        ----------
        sequence : int
            Sequence number of the message.
        period_s : float
            Longest time until the next message, in seconds.
        """
        settings = self.settings
        return HostStatus(
            name=settings.name,
            started_ms=self.started_ms,
            sequence=sequence,
            ip=settings.ip,
            zone=settings.zone,
            callers_address=settings.callers_address,
            peers_address=settings.peers_address,
            is_ready=self.is_ready,
            configuration_version=self.configuration_version,
            endpoints_revision=self.endpoints.revision,
            capacity=host_capacity(settings.cores, settings.link_mbps),
            sees_store=self.sees_store,
            store_reachable_s=self.store_reachable_s,
            period_s=period_s,
            hosts_recorded=self.hosts.recorded_count(),
            hosts_counted=self.hosts.existing_count(),
            is_member=self.membership.is_member(self.clock()),
            store_contact_age_s=self.store_contact_age_s,
        )

    def active_hosts(self):
        """Return the hosts named by the directory, in an order common to all hosts."""
        now_s = self.clock()
        if now_s - self._active_hosts_chosen_s > ACTIVE_HOSTS_CACHE_S:
            hosts = [host for host in self.hosts.live(now_s) if host.is_ready]
            if self.is_ready:
                hosts.append(self.own_status())
            # This host itself isn't in the host table.
            self._active_hosts = choose_active_hosts(
                hosts, len(self.hosts.addresses()) + 1
            )
            self._active_hosts_chosen_s = now_s
        return self._active_hosts

    def is_active(self):
        """Return whether the directory names this host to callers."""
        name = self.settings.name
        return any(host.name == name for host in self.active_hosts())

    def is_watcher(self):
        """Return whether this host is one of the few that watch the store for all."""
        name = self.settings.name
        return any(host.name == name for host in choose_watchers(self.active_hosts()))

    def peers_see_store(self):
        """Return whether the store has answered a live peer a short while ago."""
        max_age_s = CONTACT_AGE_FRACTION * self.least_bound_s
        return self.hosts.peer_sees_store(self.clock(), max_age_s)

    def watches_store(self):
        """Return whether this host is one of the few that watch the store for all.

        A host also watches the store itself when it has answered no peer for a while.
        """
        return self.is_watcher() or not self.peers_see_store()

    def should_order_stages(self):
        """Return whether this host is the one that should hold the stage-order lease.

        Hosts that don't receive each other's updates may both be; the lease then
        decides.
        """
        for host in self.active_hosts():
            if host.sees_store:
                return host.name == self.settings.name
        return False

    def expected_host_count(self):
        """Return the number of hosts that share the load, this one included.

        Hosts that are on record but silent are counted, since they may still be
        serving.
        """
        expected = active_host_count(self.hosts.existing_count())
        return max(1, len(self.active_hosts()), expected)

    def apply_configuration(self, configuration, stored, source):
        """Put a configuration in force, unless it is older than the one in force.

        A late response of the store or a peer that lags would otherwise bring back
        removed routes, and services would run requests that they no longer accept.
        Versions only grow, so an older one is ignored.

        Parameters
        ----------
        configuration : Configuration
            The decoded configuration.
        stored : StoredObject
            The stored form, for peers that can't read the store.
        source : str
            Name of the peer that sent it, or ``store``.

        Returns
        -------
        bool
            Whether the configuration was put in force by this call.
        """
        if configuration.version <= self.configuration_version:
            if configuration.version == self.configuration_version:
                # The same content at another revision of the store.
                self.stored_configuration = stored
            return False
        previous_version = self.configuration_version
        self.configuration = configuration
        self.stored_configuration = stored
        self.metrics.set_configuration_version(configuration.version)
        self.routes = RouteTable(configuration)
        self.accounts = AccountTable(configuration)
        self.configuration_age.on_version_in_force(configuration.version)
        cache_capacity_tokens = {}
        for service in configuration.services.values():
            if service.engine is not None:
                cache_capacity_tokens[service.name] = service.engine.kv_tokens
        self.endpoints.set_cache_capacity(cache_capacity_tokens)
        for listener in self.configuration_listeners:
            listener(configuration)
        self.log(
            "info",
            "configuration_adopted",
            version=configuration.version,
            before=previous_version,
            source=source,
            routes=len(configuration.routes),
        )
        return True

    def on_configuration_read(self, started_s, version):
        """Record that a read of the store, not a stale one, returned a configuration.

        Parameters
        ----------
        started_s : float
            Reading of `boottime_s` before the read was sent.
        version : int or None
            Version of the configuration; None if it couldn't be decoded, which confirms
            nothing.
        """
        if version is not None:
            self.configuration_age.on_read(started_s, version)

    def are_keys_confirmed(self):
        """Return whether the configuration is young enough to use its accounts' keys.

        A request may run only if this was true after it was read: the caller sent it
        earlier, so that a pause of this process afterwards makes no difference.
        """
        bound_s = self.settings.bounds.key_withdrawal_s
        if bound_s is None or not self.accounts.has_accounts:
            return True
        return self.configuration_age_s() <= key_lease_s(bound_s)

    def check_access(self, route, key):
        """Return the `Access` of a request that has been read, by its caller's key."""
        bound_s = UNKNOWN_KEY_FRACTION * self.settings.bounds.configuration_s
        is_recent = self.configuration_age_s() <= bound_s
        return check_access(
            self.accounts, route, key, self.are_keys_confirmed(), is_recent
        )

    def configuration_age_s(self):
        """Return the age of the configuration in force, in seconds."""
        return self.configuration_age.age_s(self.boottime_s())

    def directory_ttl_s(self):
        """Return the time for which callers may cache the list of hosts, in seconds."""
        return min(DIRECTORY_TTL_S, self.settings.bounds.directory_ttl_max_s)

    def retry_budget(self, service):
        """Return this host's share of the retry budget of a service."""
        budget = self._retry_budgets.get(service)
        if budget is None:
            bounds = self.settings.bounds
            budget = self._retry_budgets[service] = RetryBudget(
                bounds.retry_ratio,
                bounds.retry_slack,
                bounds.retry_window_s,
                self.started_s,
            )
        return budget

    def cost_model(self, service):
        """Return the cost model that this host has fitted to a service's engines."""
        if service not in self._cost_models:
            self._cost_models[service] = CostModel(self.policy)
        return self._cost_models[service]

    def engine_pool(self, service, limits, states=None):
        """Return the engines of a service that a request may use now.

        Parameters
        ----------
        service : str
            Name of the service.
        limits : EngineLimits
            Limits that all engines of the service have in common.
        states : list of EndpointState or None
            Engines to choose from; by default all usable ones.
        """
        if states is None:
            states = self.sendable_endpoints(service)
        cost_model, zone = self.cost_model(service), self.settings.zone
        connections = self.connection_limit(service)
        return EnginePool(states, limits, cost_model, zone, connections, self.policy)

    def sendable_endpoints(self, service, is_allowed=None):
        """Return the endpoints of a service that this host may send a request to.

        Parameters
        ----------
        service : str
            Name of the service.
        is_allowed : callable or None
            Returns whether the request may use an endpoint; by default it may use all.
        """
        states = self.endpoints.of_service(service)
        if is_allowed is not None:
            states = [state for state in states if is_allowed(state)]
        return self.endpoint_limits.usable(self.endpoint_notices.usable(states))

    def longest_stream_s(self):
        """Return how long a stream may be taken up after its first event, in seconds.

        The longest time of all routes in the configuration.
        """
        if self.configuration is None:
            return 0.0
        limits_s = [r.timeout_s for r in self.configuration.routes if r.kind == STREAM]
        return STREAM_LIFETIME_FACTOR * max(limits_s, default=0.0)

    def take_retry(self, service, counter):
        """Take one retry from this host's share of a service's budget, if any is left.

        Parameters
        ----------
        service : str
            Name of the service.
        counter : SendCounter
            The request, which gets the retry.

        Returns
        -------
        RetryDecision
            Whether the retry is allowed.
        """
        return self.retry_budget(service).take(
            self.clock(), self.count_hosts(), counter
        )

    def record_request(self, service):
        """Count a request of a service; the retry budget grows with it."""
        self.retry_budget(service).on_first_send(self.clock(), self.count_hosts())

    def count_hosts(self):
        """Return the number of hosts that share the slack; log it when it changes.

        Returns
        -------
        int
            0 if it is unknown, or if this host may not use its part.
        """
        now_s = self.clock()
        is_member = self.membership.is_member(now_s)
        count = self.hosts.existing_count() if is_member else 0
        if count != self._host_count:
            self.log(
                "info",
                "host_count_changed",
                hosts=count,
                before=self._host_count,
                is_member=is_member,
                sees_store=self.sees_store,
                heard=len(self.hosts.live(now_s)) + 1,
                **self.hosts.counts()._asdict(),
            )
            self._host_count = count
        return count

    def connection_limit(self, service):
        """Return how many connections this host may open to one endpoint."""
        service_settings = self.configuration.services.get(service)
        if service_settings is None:
            # A newer configuration has removed the service. Requests that began under
            # the old one finish on the few connections that the pool grants every host.
            return 0
        return int(
            USED_CONNECTIONS_FRACTION
            * service_settings.max_connections
            / self.expected_host_count()
        )

    async def acquire(self, record, connection_limit):
        """Return a connection over this host's own link to an endpoint.

        An order has to come from the host that holds the lease, so calls that aren't
        requests of callers never go through another host. The other parameter is that
        of `ConnectionPool.acquire`.
        """
        return await self.connection_pool.acquire(
            connection_key(record), record.address, connection_limit
        )

    def notify_prefill_start(self):
        """Call the listeners: an engine is about to be sent a prompt for prefill."""
        self._notify(self.prefill_listeners)

    def notify_prompt(self, exchange, choice, is_begun):
        """Call the listeners: a prompt is sent to an engine for prefill, or refused."""
        left_s = exchange.objective_remaining_s
        self._notify(self.prompt_listeners, exchange.service, choice, left_s, is_begun)

    def notify_shared_parts(self, state, chain):
        """Call the listeners: an engine has or will have the shared parts of a prompt.

        Parameters
        ----------
        state : EndpointState
            The engine.
        chain : list
            Pairs of part id and tokens.
        """
        self._notify(self.shared_part_listeners, state.record.service, chain)

    def _notify(self, listeners, *arguments):
        """Call listeners; the failure of one is neither the others' nor the caller's.

        The callers serve requests, which go on without what a listener does.
        """
        for listener in listeners:
            try:
                listener(*arguments)
            except Exception as error:
                name = getattr(listener, "__qualname__", repr(listener))
                self.log("error", "listener_failed", listener=name, error=repr(error))

    def record_prefix_placement(self, state, parts, wait_s=0.0):
        """Record that an engine caches parts of a prompt, and queue that for gossip.

        Parameters
        ----------
        state : EndpointState
            The engine.
        parts : sequence of PromptPart
            The prompt's parts. The last one belongs to this request alone and isn't
            sent to other hosts: only later requests of its session could reuse it.
        wait_s : float
            Expected time until the parts are cached, in seconds; 0 when they already
            are.
        """
        chain = [[part.part_id, part.tokens] for part in parts]
        shared = chain[:-1][:MAX_PLACED_PARTS]
        if wait_s:
            state.prefixes.add_pending(shared, self.clock() + wait_s)
        else:
            state.prefixes.add_chain(chain)
        if shared:
            placement = [state.record.endpoint_id, shared, round(wait_s, 2)]
            self._unsent_placements.append(placement)
            del self._unsent_placements[:-MAX_UNSENT_PLACEMENTS]
            self.notify_shared_parts(state, shared)

    def record_usage(self, account, began_s):
        """Record that an endpoint began to run a request of an account.

        Parameters
        ----------
        account : str
            Name of the account.
        began_s : float
            Reading of `clock`, in seconds.
        """
        if USAGE_DUTY in self.settings.duties:
            passed_s = self.clock() - began_s
            self._begun_requests.append((account, self.boottime_s() - passed_s))

    def pop_begun_requests(self):
        """Return and remove the accounts and times that `record_usage` recorded."""
        begun, self._begun_requests = self._begun_requests, []
        return begun

    def pop_placements(self):
        """Return and remove the oldest unsent placements that fit into one message."""
        count = parts = 0
        for _, shared, _ in self._unsent_placements[:MAX_PLACEMENTS]:
            parts += len(shared)
            if parts > MAX_PLACED_PARTS:
                break
            count += 1
        placements = self._unsent_placements[:count]
        del self._unsent_placements[:count]
        return placements

    async def wait_for_tick(self, period_s):
        """Wait until the next multiple of a period, in seconds.

        With hundreds of mostly idle hosts, waking a process costs as much as the work
        done on waking. Periodic tasks on common ticks share the wake-ups.
        """
        passed_s = (self.clock() + self._tick_offset_s) % period_s
        await asyncio.sleep(period_s - passed_s)

    def keep_running(self, function, *arguments):
        """Run a loop in the background until `close`, also after an exception."""
        return self._track(keep_running(function, self.log, *arguments))

    def spawn(self, coroutine):
        """Run a coroutine in the background once; a failure is logged."""
        return self._track(asyncio.ensure_future(coroutine))

    def _track(self, task):
        """Hold a background task until it is done or `close` cancels it."""
        self._background_tasks.add(task)
        task.add_done_callback(self._on_background_done)
        return task

    async def close(self):
        """Cancel the background tasks and close all connections to endpoints."""
        await self.stall_monitor.close()
        for task in list(self._background_tasks):
            task.cancel()
        await asyncio.gather(*self._background_tasks, return_exceptions=True)
        self.connection_pool.close()

    def _on_background_done(self, task):
        """Log the failure of a background task."""
        self._background_tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        level = "warning" if isinstance(task.exception(), DecodeError) else "error"
        self.log(level, "background_failed", error=repr(task.exception()))
