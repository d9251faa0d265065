"""Detects and reports that peers have newer state than this host."""

from gypsumusher_routing import VersionLag

__all__ = ["CONFIGURATION", "ENDPOINTS", "StalenessMonitor"]

# Kinds of state that are compared.
CONFIGURATION, ENDPOINTS = "configuration", "endpoints"
# How often this host's state is compared with that of its peers.
POLL_S = 0.1
# State is overdue after this fraction of the operator's bound: peers usually deliver it
# within a tenth of the bound, and the rest has to suffice for reading the store.
OVERDUE_FRACTION = 0.25


class StalenessMonitor:
    """Tracks the lag of each kind of state, for decisions, log and metrics.

    Parameters
    ----------
    context : Context
        State of this host, and the last updates of its peers.
    """

    def __init__(self, context):
        self._context = context
        self._lags = {CONFIGURATION: VersionLag(), ENDPOINTS: VersionLag()}
        self._overdue = set()

    async def start(self):
        """Start to compare, until the context is closed."""
        self._context.keep_running(self._run)

    def is_overdue(self, kind):
        """Return whether peers have had newer state of a kind for too long."""
        return kind in self._overdue

    async def _run(self):
        while True:
            await self._context.wait_for_tick(POLL_S)
            self._compare()

    def _compare(self):
        """Compare this host's versions with the newest of its peers."""
        context = self._context
        now_s, bounds = context.clock(), context.settings.bounds
        version, revision = context.hosts.newest_versions(now_s)
        known = context.configuration_version
        self._update(now_s, CONFIGURATION, known, version, bounds.configuration_s)
        if context.sees_store:
            # The store's responses count here; its revisions also grow with other kinds
            # of objects.
            revision = 0
        known = context.endpoints.newest_received_revision
        self._update(now_s, ENDPOINTS, known, revision, bounds.drain_s)

    def _update(self, now_s, kind, known, newest, bound_s):
        """Update one lag; log when the state becomes overdue or has caught up."""
        context = self._context
        before_s = self._lags[kind].lag_s
        lag_s = self._lags[kind].update(now_s, known, newest)
        context.metrics.set_lag(kind, lag_s)
        is_overdue = lag_s > OVERDUE_FRACTION * bound_s
        if is_overdue == (kind in self._overdue):
            return
        if is_overdue:
            self._overdue.add(kind)
            level, event = "warning", "news_overdue"
        else:
            self._overdue.discard(kind)
            level, event = "info", "news_caught_up"
        context.log(
            level,
            event,
            kind=kind,
            known=known,
            newest=newest,
            lag_s=max(lag_s, before_s),
            sees_store=context.sees_store,
        )
