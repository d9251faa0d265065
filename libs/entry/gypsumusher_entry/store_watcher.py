"""What this host believes of the configuration and the endpoints, from the store."""

import asyncio

from returns.result import Failure

from gypsumusher_entry.staleness_monitor import CONFIGURATION, ENDPOINTS
from gypsumusher_platform import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    ENDPOINTS_KIND,
    decode_configuration,
    decode_endpoint,
)
from gypsumusher_ports import DecodeError

__all__ = ["StoreWatcher", "apply_stored_configuration"]

# Kinds of objects that a host has to know of; it sees the store when it hears of all.
FOLLOWED = frozenset((CONFIGURATION_KIND, ENDPOINTS_KIND))
NEWS_OF_KIND = {CONFIGURATION_KIND: CONFIGURATION, ENDPOINTS_KIND: ENDPOINTS}
# A watch is renewed this long before a silent connection could break a bound, in
# seconds: the next call needs to be answered within it.
WATCH_RESERVE_S = 1.0
WATCH_MIN_S, WATCH_MAX_S = 1.0, 20.0
# Pauses between calls to a store that doesn't answer, in seconds: it is asked again
# soon, since bounds count from its return, and by all hosts, which its rates must bear.
FIRST_PAUSE_S, LAST_PAUSE_S = 0.1, 0.5
# A store that failed a call this long ago may have come back without the entries that
# lapsed meanwhile, in seconds: it is asked again within two of them while it is away. A
# host that left it to others since then finds all entries back.
JUST_BACK_S = 3.0
# Word of what the store has told the peers comes within this time, in seconds.
PEERS_WORD_S = 0.15
# How often a host that others watch for looks whether they still do, in seconds.
IDLE_POLL_S = 0.2
# Longest pause between two readings of its own while it is behind, in seconds.
LAST_OWN_PAUSE_S = 5.0
# Hosts that start together have heard of each other by then, in seconds, and know which
# of them watch the store.
HEARD_AFTER_S = 0.5
# Endpoints that are missing are dropped this often, in seconds.
DROP_S = 0.2


class StoreWatcher:
    """Keeps the configuration and the endpoints up to date from the store.

    Parameters
    ----------
    context : Context
        Takes what is learnt.
    store : StoreClient
        The store.
    """

    def __init__(self, context, store):
        self._context = context
        self._store = store
        self._lost = set()
        self._answered = set()
        self._listed = set()
        self._failed_s = self._failing_since_s = context.clock()
        bounds = context.settings.bounds
        least_s = min(bounds.drain_s, bounds.configuration_s)
        # A connection may go silent without a reset. After the stable window the
        # bounds hold again, so by the window and the bound the watch has to be over.
        wait_s = bounds.stable_window_s + least_s - WATCH_RESERVE_S
        self._watch_s = min(WATCH_MAX_S, max(WATCH_MIN_S, wait_s))

    async def start(self):
        """Begin to follow, until the context is closed."""
        self._lost = set(FOLLOWED)
        spawn = self._context.spawn
        spawn(self._follow(CONFIGURATION_KIND, self._on_configurations))
        spawn(self._follow(ENDPOINTS_KIND, self._on_endpoints))
        spawn(self._drop_missing())

    async def _follow(self, kind, take):
        """List a kind, then watch it; list again after each gap."""
        revision = None
        pause_s, own_pause_s = FIRST_PAUSE_S, IDLE_POLL_S
        while True:
            reads_for_itself = False
            if self._has_peers_that_watch(kind):
                revision = None
                # Peers whose links are full, or that can't be reached, leave this host
                # with old routes and with endpoints that have left, while the store
                # would answer it at once.
                reads_for_itself = self._context.lags.is_overdue(NEWS_OF_KIND[kind])
                if reads_for_itself:
                    await asyncio.sleep(own_pause_s)
                else:
                    await self._context.next_tick(IDLE_POLL_S)
                    own_pause_s = IDLE_POLL_S
                    self._answered.discard(kind)
                    continue
            if revision is None:
                result = await self._store.list(kind)
            else:
                result = await self._store.watch(kind, revision, self._watch_s)
            if isinstance(result, Failure):
                error = result.failure()
                revision = None
                if error.code == "history_gone":
                    self._context.log("info", "history_gone", kind=kind)
                    continue
                self._on_lost(kind, error)
                # Spread, so that hosts that lost the store don't come back in step.
                await asyncio.sleep(pause_s * (0.5 + self._context.draw()))
                pause_s = min(LAST_PAUSE_S, 2.0 * pause_s)
                continue
            pause_s = FIRST_PAUSE_S
            if kind in self._lost and self._context.endpoints.states:
                # What they have heard meanwhile tells whether it was away for all.
                await asyncio.sleep(PEERS_WORD_S)
            self._on_answered(kind, reads_for_itself)
            found = result.unwrap()
            take(found, revision is None)
            revision = found.revision
            if kind not in self._listed:
                self._listed.add(kind)
                await asyncio.sleep(HEARD_AFTER_S)
            if reads_for_itself:
                # What it can't read doesn't become readable by reading it again.
                own_pause_s = min(LAST_OWN_PAUSE_S, 2.0 * own_pause_s)

    def _has_peers_that_watch(self, kind):
        """Say whether others watch a kind for this host, which has learnt of it.

        At the first start of all hosts the list of endpoints is empty for seconds;
        that others watch it holds then too.
        """
        context = self._context
        knows_all = context.configuration is not None and context.endpoints.states
        if kind not in self._listed and not knows_all:
            return False
        if context.watches_store():
            return False
        context.sees_store = False
        return True

    def _on_configurations(self, found, is_listing):
        if is_listing:
            stored = found.objects
        else:
            stored = [change.object for change in found.changes]
        for item in stored:
            if item.name == CONFIGURATION_NAME:
                apply_stored_configuration(self._context, item, "store")

    def _on_endpoints(self, found, is_listing):
        if is_listing:
            _take_listing(self._context, found)
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
            record = _decode_entry(context, stored)
            if record is not None:
                if context.endpoints.on_record(record, found.revision):
                    _log_endpoint(context, record)
        context.endpoints.revision = max(context.endpoints.revision, found.revision)

    def _on_lost(self, kind, error):
        now_s = self._context.clock()
        if now_s - self._failed_s > JUST_BACK_S:
            self._failing_since_s = now_s
        self._failed_s = now_s
        self._answered.discard(kind)
        self._context.sees_store = False
        if kind in self._lost:
            return
        self._lost.add(kind)
        self._context.log(
            "warning",
            "dependency_lost",
            dependency="store",
            kind=kind,
            step=error.step,
            code=error.code,
            detail=error.detail,
        )

    def _on_answered(self, kind, reads_for_itself):
        context = self._context
        if kind in self._lost:
            self._lost.discard(kind)
            is_just_back = context.clock() - self._failed_s <= JUST_BACK_S
            # A host that reads for itself has peers that saw the store all the while:
            # what its list lacks has left, and must get no work for the grace besides.
            waits = is_just_back and not reads_for_itself and not self._failed_alone()
            if kind == ENDPOINTS_KIND and waits:
                context.endpoints.on_store_returned(context.clock())
            context.log("info", "dependency_regained", dependency="store", kind=kind)
        self._answered.add(kind)
        context.sees_store = self._answered == FOLLOWED

    def _failed_alone(self):
        """Say whether the store has answered peers while calls from here failed.

        Failure guarded against: a full link fails a call of a host, and the host keeps
        endpoints that have left meanwhile, as if the store had been away for all and
        their entries could come back.
        """
        context = self._context
        return context.hosts.peer_saw_store_since(
            context.clock(), self._failing_since_s
        )

    async def _drop_missing(self):
        """Drop endpoints whose entries have not come back."""
        context = self._context
        while True:
            await context.next_tick(DROP_S)
            if (
                context.endpoints.is_in_grace_period(context.clock())
                and self._failed_alone()
            ):
                context.endpoints.end_grace_period()
            for endpoint_id in context.endpoints.drop_missing(context.clock()):
                context.log("info", "endpoint_dropped", endpoint=endpoint_id)
            context.pool.close_expired()
            for state in context.endpoints.states.values():
                state.prefixes.drop_expired(context.clock())
                state.expire_ordered_stage(context.clock())


def apply_stored_configuration(context, stored, source):
    """Put a stored configuration in force; one that can't be read changes nothing.

    Parameters
    ----------
    context : Context
        Takes it.
    stored : StoredObject
        The configuration as stored.
    source : str
        Who told of it.
    """
    try:
        configuration = decode_configuration(stored.content)
    except DecodeError as error:
        context.log("error", "configuration_unreadable", error=error, source=source)
        return
    context.adopt(configuration, stored, source)


def _take_listing(context, listing):
    """Take over a whole list of endpoints."""
    records = []
    for stored in listing.objects:
        record = _decode_entry(context, stored)
        if record is not None:
            records.append(record)
    changed = context.endpoints.on_full_list(context.clock(), records, listing.revision)
    for record in records:
        if record.endpoint_id in changed:
            changed.remove(record.endpoint_id)
            _log_endpoint(context, record)
    for endpoint_id in changed:
        context.log("info", "endpoint_missing", endpoint=endpoint_id, source="store")


def _decode_entry(context, stored):
    """Return an endpoint's record, or None when the entry names none."""
    try:
        return decode_endpoint(stored)
    except DecodeError as error:
        context.log("warning", "endpoint_entry_unreadable", error=error)
        return None


def _log_endpoint(context, record):
    context.log(
        "info",
        "endpoint_changed",
        endpoint=record.endpoint_id,
        started_ms=record.started_ms,
        service=record.service,
        address=record.address,
        zone=record.zone,
        stage=record.stage,
        leaving=record.is_draining,
        beat=record.heartbeat_count,
        source="store",
    )
