"""Follows the configuration and the endpoints in the store."""

import asyncio

from returns.result import Failure, Success

from gypsumusher_entry.registration import HOSTS_KIND
from gypsumusher_entry.staleness_monitor import CONFIGURATION, ENDPOINTS
from gypsumusher_platform import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ENDPOINTS_KIND,
    decode_configuration,
)
from gypsumusher_ports import DecodeError, PlatformError
from gypsumusher_routing import max_store_pause_s

__all__ = ["StoreWatcher", "apply_stored_configuration"]

# Kinds of objects that a host follows; it sees the store while both are answered.
FOLLOWED_KINDS = frozenset((CONFIGURATION_KIND, ENDPOINTS_KIND))
STATE_OF_KIND = {CONFIGURATION_KIND: CONFIGURATION, ENDPOINTS_KIND: ENDPOINTS}
# Margin by which a watch ends before a silent connection could violate a bound: the
# next call has to be answered within it.
WATCH_MARGIN_S = 1.0
WATCH_MIN_S, WATCH_MAX_S = 1.0, 20.0
# First pause between calls to a store that doesn't answer; see `max_store_pause_s`.
MIN_PAUSE_S = 0.1
# A store whose last call failed within this time may have returned without the entries
# that expired while it was down. While it is down, a following host calls it again
# within 2 s; after an older failure the host had left watching to others, and finds all
# entries there again.
RECENT_FAILURE_S = 3.0
# Time within which peers that see the store report it.
PEER_UPDATE_DELAY_S = 0.15
# How often a host that leaves watching to others checks whether they still watch.
WATCHED_BY_PEERS_POLL_S = 0.2
# Limits the back-off between a lagging host's own reads of the store.
MAX_OWN_READ_PAUSE_S = 5.0
# Time after which hosts that start together have received each other's updates and
# agree on which of them watch the store.
PEERS_KNOWN_AFTER_S = 0.5
# Entries that all hosts may list at the same moment, about 12 MB. With more, hosts that
# relied on peers continue a watch, and list later, one host in this time.
MAX_ENTRIES_AT_ONCE, LIST_SPREAD_S = 50_000, 0.05
# A host on which others rely checks its path to the store after this share of the least
# bound without an answer. A store that is slow takes up to 0.5 s.
CHECK_FRACTION, CHECK_TIMEOUT_S = 0.125, 0.6
CHECK_POLL_S = 0.1
# How often endpoints with missing entries are dropped.
DROP_INTERVAL_S = 0.2


class StoreWatcher:
    """Keeps the configuration and the endpoints up to date from the store.

    Parameters
    ----------
    context : Context
        Receives the configuration and the endpoints.
    store : StoreClient
        The store.
    """

    def __init__(self, context, store):
        self._context = context
        self._store = store
        self._lost_kinds = set()
        self._answered_kinds = set()
        self._listed_kinds = set()
        self._last_failure_s = self._failing_since_s = context.clock()
        # Watches that the store has not answered yet.
        self._watches = set()
        # A connection may go silent without a reset. The bounds apply again after the
        # stable window, so the watch has to end within the window plus the shorter
        # bound.
        window_s = context.settings.bounds.stable_window_s
        wait_s = window_s + context.least_bound_s - WATCH_MARGIN_S
        self._watch_s = min(WATCH_MAX_S, max(WATCH_MIN_S, wait_s))

    async def start(self):
        """Start to follow the store, until the context is closed."""
        self._lost_kinds = set(FOLLOWED_KINDS)
        run = self._context.keep_running
        run(self._follow, CONFIGURATION_KIND, self._on_configurations)
        run(self._follow, ENDPOINTS_KIND, self._on_endpoints)
        run(self._check_path)
        run(self._drop_missing)

    async def _follow(self, kind, apply):
        """List the objects of a kind, then watch it; list again after each gap.

        In a large fleet, a host that relied on peers continues where they left off.
        """
        revision = list_at_s = None
        relied_on_peers = False
        pause_s, own_pause_s = MIN_PAUSE_S, WATCHED_BY_PEERS_POLL_S
        while True:
            reads_directly = False
            wait_s = self._watch_s
            if self._is_watched_by_peers(kind):
                revision = None
                relied_on_peers = True
                # Peers with full or broken links would leave this host with outdated
                # routes and endpoints, while the store could answer it at once.
                reads_directly = self._context.staleness.is_overdue(STATE_OF_KIND[kind])
                if reads_directly:
                    await asyncio.sleep(own_pause_s)
                else:
                    await self._context.wait_for_tick(WATCHED_BY_PEERS_POLL_S)
                    own_pause_s = WATCHED_BY_PEERS_POLL_S
                    self._answered_kinds.discard(kind)
                    continue
            elif relied_on_peers:
                relied_on_peers = False
                revision = self._revision_of_peers(kind)
                if revision is not None:
                    # What has changed is needed at once, also that nothing has.
                    wait_s = 0.0
                    list_at_s = self._context.clock() + self._draw_list_delay_s()
            elif list_at_s is not None:
                wait_s = min(wait_s, list_at_s - self._context.clock())
                if wait_s <= 0.0:
                    revision = None
            started_s = self._context.boottime_s()
            if revision is None:
                list_at_s = None
                result = await self._store.list(kind)
            else:
                result = await self._watch(kind, revision, wait_s)
            if isinstance(result, Failure):
                error = result.failure()
                revision = None
                if error.code == "history_gone":
                    self._context.log("info", "history_gone", kind=kind)
                    continue
                self._on_failure(kind, error)
                # Random, so that hosts that lost the store don't return to it
                # simultaneously.
                await asyncio.sleep(pause_s * (0.5 + self._context.draw_uniform()))
                pause_s = min(self._max_pause_s(), 2.0 * pause_s)
                continue
            pause_s = MIN_PAUSE_S
            self._context.on_store_answered(started_s)
            if kind in self._lost_kinds and self._context.endpoints.states:
                # The peers' updates tell whether the store was down for all hosts.
                await asyncio.sleep(PEER_UPDATE_DELAY_S)
            self._on_answered(kind, reads_directly)
            found = result.unwrap()
            apply(found, revision is None)
            if kind == CONFIGURATION_KIND and revision is None:
                # A watch confirms nothing: it may miss changes for a while.
                self._confirm(started_s, found)
            revision = found.revision
            if kind not in self._listed_kinds:
                self._listed_kinds.add(kind)
                await asyncio.sleep(PEERS_KNOWN_AFTER_S)
            if reads_directly:
                # Reading an object again doesn't help if its content can't be decoded.
                own_pause_s = min(MAX_OWN_READ_PAUSE_S, 2.0 * own_pause_s)

    def _revision_of_peers(self, kind):
        """Return the revision up to which peers have told all changes, or None.

        None also when all hosts may list the objects at once.
        """
        endpoints = self._context.endpoints
        listed = self._context.hosts.existing_count() * len(endpoints.states)
        if kind != ENDPOINTS_KIND or listed <= MAX_ENTRIES_AT_ONCE:
            return None
        return endpoints.revision or None

    def _draw_list_delay_s(self):
        """Return when this host lists the endpoints after it has continued a watch.

        Entries that expired while the store was down are missing without a change.
        """
        context = self._context
        spread_s = LIST_SPREAD_S * context.hosts.existing_count()
        return spread_s * context.draw_uniform()

    async def _watch(self, kind, revision, wait_s):
        """Watch a kind of objects; fail early if the path to the store is lost."""
        watch = asyncio.ensure_future(self._store.watch(kind, revision, wait_s))
        self._watches.add(watch)
        try:
            await asyncio.wait((watch,))
        finally:
            self._watches.discard(watch)
            watch.cancel()
        if watch.cancelled():
            return Failure(
                PlatformError("watch", self._store.address, "unknown", "path lost")
            )
        return watch.result()

    async def _check_path(self):
        """Check the path to the store while others rely on this host's watches.

        A path may be lost without a reset. A waiting watch shows that only after
        seconds, in which the other hosts would miss changes.
        """
        context = self._context
        while True:
            await context.wait_for_tick(CHECK_POLL_S)
            if not context.sees_store or not context.is_watcher():
                continue
            interval_s = CHECK_FRACTION * context.least_bound_s
            if context.store_contact_age_s < interval_s:
                continue
            started_s = context.boottime_s()
            if await self._is_answered():
                context.on_store_answered(started_s)
            else:
                # These connections may stay silent after the path has returned.
                context.log("warning", "store_path_lost", watches=len(self._watches))
                for watch in self._watches:
                    watch.cancel()
            await asyncio.sleep(max(0.0, interval_s - CHECK_POLL_S))

    async def _is_answered(self):
        """Return whether the store answers a small call, which may return old data."""
        name = self._context.settings.name
        try:
            async with asyncio.timeout(CHECK_TIMEOUT_S):
                result = await self._store.get(HOSTS_KIND, name, allow_stale=True)
        except TimeoutError:
            return False
        return isinstance(result, Success) or result.failure().code == "absent"

    def _max_pause_s(self):
        """Return the longest pause between two calls to a store that doesn't answer."""
        context = self._context
        return max_store_pause_s(context.is_watcher(), context.hosts.existing_count())

    def _is_watched_by_peers(self, kind):
        """Return whether peers watch a kind that this host has already received.

        At the first start of all hosts the list of endpoints is empty for seconds;
        peers may watch it for this host then too.
        """
        context = self._context
        has_state = context.configuration is not None and context.endpoints.states
        if kind not in self._listed_kinds and not has_state:
            return False
        if context.watches_store():
            return False
        context.sees_store = False
        return True

    def _on_configurations(self, found, is_listing):
        """Apply the configuration from a list or from changes of the store."""
        if is_listing:
            stored = found.objects
        else:
            stored = [change.object for change in found.changes]
        for item in stored:
            if item.name == CONFIGURATION_NAME:
                apply_stored_configuration(self._context, item, "store")

    def _confirm(self, started_s, listing):
        """Record that a complete list has the newest configuration."""
        for item in listing.objects:
            if item.name == CONFIGURATION_NAME:
                version = apply_stored_configuration(self._context, item, "store")
                self._context.on_configuration_read(started_s, version)

    def _on_endpoints(self, found, is_listing):
        """Apply the endpoints from a list or from changes of the store."""
        if is_listing:
            self._apply_endpoint_list(found)
            return
        context = self._context
        for change in found.changes:
            stored = change.object
            if change.is_deleted:
                context.endpoints.on_deleted(
                    context.clock(), stored.name, found.revision
                )
                context.log("info", "endpoint_deleted", endpoint=stored.name)
                continue
            record = context.endpoint_entries.decode(stored)
            if record is not None:
                if context.endpoints.on_record(record, found.revision):
                    _log_endpoint(context, record)
        context.endpoints.revision = max(context.endpoints.revision, found.revision)

    def _apply_endpoint_list(self, listing):
        """Replace all known endpoints by a complete list of the store."""
        context = self._context
        records = []
        for stored in listing.objects:
            record = context.endpoint_entries.decode(stored)
            if record is not None:
                records.append(record)
        changed = context.endpoints.on_full_list(
            context.clock(), records, listing.revision
        )
        for record in records:
            if record.endpoint_id in changed:
                changed.remove(record.endpoint_id)
                _log_endpoint(context, record)
        for endpoint_id in changed:
            context.log(
                "info", "endpoint_missing", endpoint=endpoint_id, source="store"
            )

    def _on_failure(self, kind, error):
        """Record a failed call to the store; log the first one of an outage."""
        now_s = self._context.clock()
        if now_s - self._last_failure_s > RECENT_FAILURE_S:
            self._failing_since_s = now_s
        self._last_failure_s = now_s
        self._answered_kinds.discard(kind)
        self._context.sees_store = False
        if kind in self._lost_kinds:
            return
        self._lost_kinds.add(kind)
        self._context.log(
            "warning",
            "dependency_lost",
            dependency="store",
            kind=kind,
            step=error.step,
            code=error.code,
            detail=error.detail,
        )

    def _on_answered(self, kind, reads_directly):
        """Record an answered call; start a grace period after an outage."""
        context = self._context
        if kind in self._lost_kinds:
            self._lost_kinds.discard(kind)
            failed_recently = context.clock() - self._last_failure_s <= RECENT_FAILURE_S
            # A lagging host that reads the store itself has peers that saw the store
            # all the time. Endpoints missing in its list have left and must not get
            # work for another grace period.
            starts_grace = (
                failed_recently and not reads_directly and not self._failed_alone()
            )
            if kind == ENDPOINTS_KIND and starts_grace:
                context.endpoints.on_store_returned(context.clock())
            context.log("info", "dependency_regained", dependency="store", kind=kind)
        self._answered_kinds.add(kind)
        context.sees_store = self._answered_kinds == FOLLOWED_KINDS

    def _failed_alone(self):
        """Return whether the store answered peers while this host's calls failed.

        A full link can fail a host's calls. Without this check the host would keep
        endpoints that have left meanwhile, as if the store had been down for all and
        their entries could return.
        """
        context = self._context
        return context.hosts.peer_saw_store_since(
            context.clock(), self._failing_since_s
        )

    async def _drop_missing(self):
        """Drop endpoints whose entries didn't return, and other expired state."""
        context = self._context
        while True:
            await context.wait_for_tick(DROP_INTERVAL_S)
            if (
                context.endpoints.is_in_grace_period(context.clock())
                and self._failed_alone()
            ):
                context.endpoints.end_grace_period()
            for endpoint_id in context.endpoints.drop_missing(context.clock()):
                context.log("info", "endpoint_dropped", endpoint=endpoint_id)
            context.connection_pool.close_expired()
            for state in context.endpoints.states.values():
                state.prefixes.drop_expired(context.clock())
                state.expire_ordered_stage(context.clock())


def apply_stored_configuration(context, stored, source):
    """Put a stored configuration in force; one that can't be decoded changes nothing.

    Parameters
    ----------
    context : Context
        Receives the configuration.
    stored : StoredObject
        The configuration as stored.
    source : str
        Name of the peer that sent it, or ``store``.

    Returns
    -------
    int or None
        Its version; None if it can't be decoded.
    """
    known = context.stored_configuration
    if known == stored:
        return context.configuration_version
    try:
        configuration = decode_configuration(stored.content)
    except DecodeError as error:
        context.log("error", "configuration_unreadable", error=error, source=source)
        return None
    context.apply_configuration(configuration, stored, source)
    return configuration.version


def _log_endpoint(context, record):
    """Log a new or changed endpoint."""
    context.log(
        "info",
        "endpoint_changed",
        endpoint=record.endpoint_id,
        started_ms=record.started_ms,
        service=record.service,
        address=record.address,
        zone=record.zone,
        stage=record.stage,
        software=record.software_version,
        leaving=record.is_draining,
        beat=record.heartbeat_count,
        source="store",
    )
