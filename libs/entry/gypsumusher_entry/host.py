"""One entry host: starts its components in order, and stops without losing requests."""

import asyncio

from gypsumusher_entry.configuration_confirmation import ConfigurationConfirmation
from gypsumusher_entry.context import CONNECT_TIMEOUT_S, USAGE_DUTY, Context
from gypsumusher_entry.exchange import create_handler
from gypsumusher_entry.gossip import Gossip
from gypsumusher_entry.host_api import create_api_handler, create_peer_handler
from gypsumusher_entry.learned_state_records import LearnedStateRecords
from gypsumusher_entry.listening import CALLERS, listen
from gypsumusher_entry.metrics import Metrics
from gypsumusher_entry.peer_sync import PeerSync
from gypsumusher_entry.prefix_cache_recovery import PrefixCacheRecovery
from gypsumusher_entry.refusal_records import RefusalRecords
from gypsumusher_entry.registration import Registration
from gypsumusher_entry.store_watcher import StoreWatcher
from gypsumusher_http import ConnectionBudget, Listener, TunnelRelay
from gypsumusher_platform import (
    CloudClient,
    StoreClient,
    decode_request,
    encode_refusal,
)
from gypsumusher_routing import ALL_ON

__all__ = ["EntryHost"]

# Longest wait for a response of the store, which usually takes milliseconds. A store
# slower than this counts as unavailable, and peers may have newer state.
STORE_TIMEOUT_S = 1.0
# Longest call to the platform. A slow platform answers within 0.5 s, and the lease that
# covers the call is a few seconds long.
CLOUD_TIMEOUT_S = 0.9
# Callers cache the list of hosts for its TTL, some for three times as long; a stopping
# host accepts requests until then.
DIRECTORY_TTL_FACTOR = 3.0
# Time reserved at the end of the stop period, in which remaining requests are cut off.
STOP_RESERVE_S = 0.6
# Time reserved before that for the final responses to requests that haven't ended.
FINAL_RESPONSES_S = 0.2
# Longest wait of a starting host for its configuration before it accepts callers. A
# refused connection sends a caller to another host at once, whereas a 503 uses up one
# of its few attempts; but if the store is down for every host, one of them has to
# answer.
CONFIGURATION_WAIT_S = 3.0
POLL_S = 0.02
# Share of the process's memory that all connections of clients and hosts may take.
CLIENT_MEMORY_SHARE = 0.25
# Memory of one part of a prompt: what is decoded, and what handling derives from it.
PROMPT_PART_BYTES = 400
# Share of the process's sockets that they may take. A request needs up to two more, for
# connections to endpoints.
CLIENT_SOCKETS_SHARE = 1 / 3


class EntryHost:
    """One entry host, with all its listeners and background tasks.

    Parameters
    ----------
    settings : HostSettings
        Settings of the process.
    log : callable
        Structured log.
    metrics_port : int or None
        Port of the metrics page.
    policy : Policy
        Routing mechanisms that are switched on.
    """

    def __init__(self, settings, log, metrics_port=None, policy=ALL_ON):
        clock = asyncio.get_running_loop().time
        self.context = Context(settings, clock, log, Metrics(), policy)
        self.log = log
        self._metrics_port = metrics_port
        self._store = StoreClient(settings.store_address, STORE_TIMEOUT_S, clock)
        self._store_watcher = StoreWatcher(self.context, self._store)
        self._cloud = None
        self._registration = Registration(self.context, self._store)
        self._peer_sync = PeerSync(self.context)
        self._gossip = Gossip(self.context)
        self._refusal_records = RefusalRecords(self.context)
        self._confirmation = ConfigurationConfirmation(
            self.context, self._store, self._gossip
        )
        self._learned_state = LearnedStateRecords(self.context, self._store)
        self._prefix_cache_recovery = PrefixCacheRecovery(self.context)
        codecs = decode_request, encode_refusal
        api_handler = create_api_handler(self.context)
        client_bytes = int(CLIENT_MEMORY_SHARE * settings.memory_bytes)
        max_connections = max(1, int(CLIENT_SOCKETS_SHARE * settings.max_descriptors))
        budget = ConnectionBudget(log, client_bytes, max_connections)
        self.context.connection_pool.set_budget(budget)
        self._api = Listener(api_handler, *codecs, clock, log, budget=budget)
        self._tunnel_relay = TunnelRelay(CONNECT_TIMEOUT_S, budget)
        peer_handler = create_peer_handler(
            self.context, api_handler, self._tunnel_relay
        )
        self._peer_api = Listener(
            peer_handler, *codecs, clock, log, accepts_tunnels=True, budget=budget
        )
        self._listener = Listener(
            create_handler(self.context),
            *codecs,
            clock,
            log,
            budget=budget,
            measure=_parts_bytes,
        )

    async def start(self):
        """Start all components; accept callers as soon as there is a configuration.

        Returns
        -------
        dict of str to str
            Address of each listener: callers, ready, directory, peers. One that is in
            use is bound later.
        """
        context = self.context
        settings = context.settings
        context.configuration_listeners.append(
            lambda configuration: self._listener.set_limits(configuration.limits)
        )
        await self.context.stall_monitor.start()
        await self.context.staleness.start()
        await self._gossip.start()
        send_datagram = self._gossip.send_datagram
        self.context.crash_reports.start(send_datagram)
        self._refusal_records.start(self._store)
        self.context.version_records.start(self._store, send_datagram)
        self.context.begun_streams.start(send_datagram)
        self.context.endpoint_limits.start(self._gossip)
        self.context.endpoint_notices.start(
            send_datagram, self._tunnel_relay.has_tunnel_to
        )
        self._learned_state.start()
        self.context.engine_estimates.start(send_datagram)
        self.context.account_demand.start(send_datagram)
        await self._store_watcher.start()
        self._prefix_cache_recovery.prepare(self._learned_state.hosts, send_datagram)
        await self._registration.start()
        await self._peer_sync.start()
        await self._confirmation.start()
        # The peer and directory listeners open at once. The callers' listener waits for
        # a configuration.
        bound = await self._start_api()
        await self._wait_for_configuration(CONFIGURATION_WAIT_S)
        # Streams that begin unrecorded can't be taken up after the loss of their host.
        await context.version_records.prepare_all()
        callers = await self._listen(CALLERS, self._listener, settings.callers_address)
        self._gossip.send_now()
        await self._prefix_cache_recovery.start()
        await self._start_stage_orders()
        return {"callers": callers, **bound}

    async def _start_stage_orders(self):
        """Start to compete for the stage-order lease and to order stages under it."""
        # Imported only once callers are served: after a loss of all hosts, each 0.1 s
        # of start-up time costs callers their requests.
        from gypsumusher_entry.stage_lease import StageLease
        from gypsumusher_entry.stage_orders import StageOrders

        lease = StageLease(self.context, self._store, self.context.boottime_s)
        self.context.stage_lease = lease
        await lease.start()
        await StageOrders(self.context, lease).start()
        await self._start_duties(lease)

    async def _start_duties(self, lease):
        """Start the duties that the platform gives to the holder of the lease."""
        settings = self.context.settings
        if settings.cloud_address is None:
            return
        # Imported here for the same reason as the lease.
        from gypsumusher_entry.fleet_orders import SCALE_DUTY, FleetOrders
        from gypsumusher_entry.usage_reports import UsageReports
        from gypsumusher_entry.work_reports import WorkReports

        self._cloud = CloudClient(
            settings.cloud_address, settings.name, CLOUD_TIMEOUT_S, self.context.clock
        )
        context, store, cloud = self.context, self._store, self._cloud
        if USAGE_DUTY in settings.duties:
            await UsageReports(context, store, self._gossip, lease, cloud).start()
        if SCALE_DUTY in settings.duties:
            work_reports = WorkReports(context, self._gossip, lease)
            await work_reports.start()
            await FleetOrders(context, store, lease, cloud, work_reports).start()

    async def _start_api(self):
        """Start the other listeners; return their addresses by name."""
        settings = self.context.settings
        addresses = {
            "ready": settings.ready_address,
            "directory": settings.directory_address,
        }
        if self._metrics_port is not None:
            addresses["metrics"] = f"{settings.ip}:{self._metrics_port}"
        peers = await self._listen("peers", self._peer_api, settings.peers_address)
        bound = {"peers": peers}
        for name, address in addresses.items():
            bound[name] = await self._listen(name, self._api, address)
        return bound

    async def _listen(self, name, listener, address):
        """Listen on an address ``ip:port``; return it with the bound port."""
        ip, _, port = address.rpartition(":")

        async def open_listener():
            return f"{ip}:{await listener.start(ip, int(port))}"

        return await listen(self.context, name, open_listener) or address

    def reload(self, settings):
        """Apply new bounds and seeds; changed addresses take effect at the next start.

        Parameters
        ----------
        settings : HostSettings
            Settings as read again from the file.
        """
        previous = self.context.settings
        self.context.settings = previous._replace(
            bounds=settings.bounds, seeds=settings.seeds
        )
        changed = [
            name
            for name in previous._fields
            if getattr(previous, name) != getattr(settings, name)
        ]
        self.log("info", "settings_reloaded", changed=",".join(changed) or None)

    async def stop(self):
        """Stop as planned, without cutting off requests.

        Notes
        -----
        The host first disappears from the directory responses of all hosts and keeps
        serving requests that still arrive; each response closes its connection. When
        callers' cached lists have expired, the host stops listening and waits for
        running requests. Those that can't be expected to end in time are refused when
        they arrive, and those that haven't ended by then get a final response. A host
        that is stopped during its start may accept no callers yet, and then waits for
        tunnels alone.
        """
        context = self.context
        bounds = context.settings.bounds
        began_s = context.clock()
        deadline_at_s = began_s + bounds.stop_s - STOP_RESERVE_S
        context.is_draining = True
        context.requests_end_at_s = deadline_at_s - FINAL_RESPONSES_S
        for exchange in context.exchanges:
            exchange.on_stop()
        self._listener.is_draining = True
        self._announce_stop()
        self.log("info", "stop_began", busy=self._listener.count_active())
        if self._listener.is_listening:
            lists_expire_s = DIRECTORY_TTL_FACTOR * context.directory_ttl_s()
            await asyncio.sleep(min(lists_expire_s, bounds.stop_s / 2.0))
        self._listener.stop_accepting()
        while self._count_active() and context.clock() < deadline_at_s:
            await asyncio.sleep(POLL_S)
            self._announce_stop()
        self.log(
            "info",
            "stop_done",
            busy=self._count_active(),
            took_s=context.clock() - began_s,
        )
        await self.close()

    def _announce_stop(self):
        """Tell the other hosts that this one stops; it stops as planned without, too.

        Hosts that aren't told notice the end of its messages.
        """
        try:
            self._gossip.send_now()
        except Exception as error:
            self.log("error", "stop_not_announced", error=repr(error))

    def _count_active(self):
        """Return the number of busy callers, and of tunnels of other hosts."""
        return self._listener.count_active() + self._tunnel_relay.tunnel_count

    async def close(self):
        """Close all components at once."""
        await self._listener.close()
        await self._peer_sync.close()
        await self._gossip.close()
        await self._api.close()
        await self._peer_api.close()
        self._tunnel_relay.close()
        await self.context.close()
        await self._store.close()
        if self._cloud is not None:
            await self._cloud.close()

    async def _wait_for_configuration(self, timeout_s):
        """Wait for a configuration and an endpoint; return whether both came."""
        context = self.context
        until_s = context.clock() + timeout_s
        while context.clock() < until_s:
            if context.configuration is not None and context.endpoints.states:
                return True
            await asyncio.sleep(POLL_S)
        self.log(
            "warning",
            "configuration_missing",
            version=context.configuration_version,
            endpoints=len(context.endpoints.states),
            waited_s=timeout_s,
        )
        return False


def _parts_bytes(request):
    """Return the memory of the parts of a request's prompt, in bytes."""
    if request.generation is None:
        return 0
    return PROMPT_PART_BYTES * len(request.generation.parts)
