"""One entry host: starts its parts in order, and stops without cutting a request."""

import asyncio
import time

from gypsumusher_entry.context import Context
from gypsumusher_entry.exchange import create_handler
from gypsumusher_entry.gossip import Gossip
from gypsumusher_entry.host_api import create_api_handler
from gypsumusher_entry.metrics import Metrics
from gypsumusher_entry.peer_sync import PeerSync
from gypsumusher_entry.prefix_cache_recovery import PrefixCacheRecovery
from gypsumusher_entry.registration import Registration
from gypsumusher_entry.store_watcher import StoreWatcher
from gypsumusher_http import Listener
from gypsumusher_platform import StoreClient, decode_request, encode_refusal
from gypsumusher_routing import ALL_ON

__all__ = ["EntryHost"]

# Longest wait for an answer of the store, in seconds. It answers in milliseconds; one
# that takes longer than this is as good as away, and peers may know more.
STORE_TIMEOUT_S = 1.0
# Callers keep the list of hosts for its time, some for three times as long. A stopping
# host goes on taking requests until then.
DIRECTORY_KEPT_FACTOR = 3.0
# Left of the time to stop when the last answers are broken off, in seconds.
STOP_RESERVE_S = 0.6
# A starting host takes callers when it knows its configuration, or after this long, in
# seconds: a refused connection sends a caller on at once, while a refusal costs it one
# of its few tries; but with the store away everywhere, somebody has to answer.
START_PATIENCE_S = 3.0
POLL_S = 0.02


class EntryHost:
    """The daemon of one entry host.

    Parameters
    ----------
    settings : HostSettings
        Settings of the process.
    log : callable
        Structured log.
    metrics_port : int or None
        Port of the metrics page.
    policy : Policy
        Which mechanisms decide.
    """

    def __init__(self, settings, log, metrics_port=None, policy=ALL_ON):
        clock = asyncio.get_running_loop().time
        self.context = Context(settings, clock, log, Metrics(), policy)
        self.log = log
        self._metrics_port = metrics_port
        self._store = StoreClient(settings.store_address, STORE_TIMEOUT_S, clock)
        self._store_watcher = StoreWatcher(self.context, self._store)
        self._registration = Registration(self.context, self._store)
        self._peer_sync = PeerSync(self.context)
        self._gossip = Gossip(self.context)
        self._prefix_cache_recovery = PrefixCacheRecovery(self.context)
        codecs = decode_request, encode_refusal
        web_handler = create_api_handler(self.context)
        self._api = Listener(web_handler, *codecs, clock, log)
        self._listener = Listener(create_handler(self.context), *codecs, clock, log)

    async def start(self):
        """Start all parts; callers are taken once there is a configuration.

        Returns
        -------
        dict of str to str
            The real address of each listener: callers, ready, directory, peers.
        """
        context = self.context
        settings = context.settings
        context.configuration_listeners.append(
            lambda configuration: self._listener.set_limits(configuration.limits)
        )
        await self.context.overdue.start()
        await self.context.lags.start()
        await self._gossip.start()
        await self._store_watcher.start()
        await self._registration.start()
        await self._peer_sync.start()
        # Peers and callers that ask for hosts are answered meanwhile; the callers'
        # listener opens once there is a configuration.
        bound = await self._start_web()
        await self._wait_for_configuration(START_PATIENCE_S)
        callers = await _listen(self._listener, settings.callers_address)
        self._gossip.tell_now()
        await self._prefix_cache_recovery.start()
        await self._start_stage_orders()
        return {"callers": callers, **bound}

    async def _start_stage_orders(self):
        """Seek the lease for orders to engines, and give them while it is held."""
        # Imported here, when callers are served: after the loss of all hosts each
        # tenth of a second of a start costs them their requests.
        from gypsumusher_entry.stage_lease import StageLease
        from gypsumusher_entry.stage_orders import StageOrders

        lease = StageLease(self.context, self._store, _clock_with_sleep)
        self.context.stage_lease = lease
        await lease.start()
        await StageOrders(self.context, lease).start()

    async def _start_web(self):
        """Start the other listeners; return their addresses by name."""
        settings = self.context.settings
        addresses = {
            "ready": settings.ready_address,
            "directory": settings.directory_address,
            "peers": settings.peers_address,
        }
        if self._metrics_port is not None:
            addresses["metrics"] = f"{settings.ip}:{self._metrics_port}"
        bound = {}
        for name, address in addresses.items():
            bound[name] = await _listen(self._api, address)
        return bound

    def reload(self, settings):
        """Take over bounds and seeds; addresses stay until the next start.

        Parameters
        ----------
        settings : HostSettings
            Settings as read anew.
        """
        known = self.context.settings
        self.context.settings = known._replace(
            bounds=settings.bounds, seeds=settings.seeds
        )
        changed = [
            name
            for name in known._fields
            if getattr(known, name) != getattr(settings, name)
        ]
        self.log("info", "settings_reloaded", changed=",".join(changed) or None)

    async def stop(self):
        """Stop as planned: no request is cut.

        Notes
        -----
        The host first leaves the answers of the directory, its own and its peers', and
        goes on serving whoever still comes; each answer closes its connection. When
        callers have let go of the old list it stops listening, and waits for what runs.
        """
        context = self.context
        bounds = context.settings.bounds
        began_s = context.clock()
        ends_s = began_s + bounds.stop_s - STOP_RESERVE_S
        context.is_leaving = True
        self._listener.is_draining = True
        self._gossip.tell_now()
        self.log("info", "stop_began", busy=self._listener.count_active())
        kept_s = DIRECTORY_KEPT_FACTOR * context.directory_ttl_s()
        await asyncio.sleep(min(kept_s, bounds.stop_s / 2.0))
        self._listener.stop_accepting()
        while self._listener.count_active() and context.clock() < ends_s:
            await asyncio.sleep(POLL_S)
            self._gossip.tell_now()
        self.log(
            "info",
            "stop_done",
            busy=self._listener.count_active(),
            took_s=context.clock() - began_s,
        )
        await self.close()

    async def close(self):
        """Close all parts at once."""
        await self._listener.close()
        await self._peer_sync.close()
        await self._gossip.close()
        await self._api.close()
        await self.context.close()
        await self._store.close()

    async def _wait_for_configuration(self, patience_s):
        """Wait until this host knows what to do with a request; say whether it does."""
        context = self.context
        until_s = context.clock() + patience_s
        while context.clock() < until_s:
            if context.configuration is not None and context.endpoints.states:
                return True
            await asyncio.sleep(POLL_S)
        self.log(
            "warning",
            "configuration_missing",
            version=context.configuration_version,
            endpoints=len(context.endpoints.states),
            waited_s=patience_s,
        )
        return False


async def _listen(listener, address):
    """Listen on an address ``ip:port``; return it with the real port."""
    ip, _, port = address.rpartition(":")
    return f"{ip}:{await listener.start(ip, int(port))}"


def _clock_with_sleep():
    """Return a time that also counts while the host is suspended, in seconds."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
