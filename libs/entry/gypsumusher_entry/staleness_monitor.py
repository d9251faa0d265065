"""Watches whether this host goes by older news than its peers, and says so."""

from gypsumusher_routing import VersionLag

__all__ = ["CONFIGURATION", "ENDPOINTS", "StalenessMonitor"]

# Kinds of news.
CONFIGURATION, ENDPOINTS = "configuration", "endpoints"
# How often the peers' words are compared with what is known, in seconds.
POLL_S = 0.1
# News is overdue after this part of the operator's bound: peers bring it within a tenth
# of the bound as a rule, and what is left has to be enough for reading the store.
OVERDUE_PART = 0.25


class StalenessMonitor:
    """Keeps the lag of each kind of news up to date, for decisions, log and metrics.

    Parameters
    ----------
    context : Context
        What is known here, and what the peers say.
    """

    def __init__(self, context):
        self._context = context
        self._lags = {CONFIGURATION: VersionLag(), ENDPOINTS: VersionLag()}
        self._overdue = set()

    async def start(self):
        """Begin to compare, until the context is closed."""
        self._context.spawn(self._run())

    def is_overdue(self, kind):
        """Say whether peers have known more of a kind of news for too long."""
        return kind in self._overdue

    async def _run(self):
        while True:
            await self._context.next_tick(POLL_S)
            self._compare()

    def _compare(self):
        """Compare what is known here with what the peers say."""
        context = self._context
        now_s, bounds = context.clock(), context.settings.bounds
        version, revision = context.hosts.newest_versions(now_s)
        known = context.configuration_version
        self._note(now_s, CONFIGURATION, known, version, bounds.configuration_s)
        if context.sees_store:
            # The store's own word; its revisions also grow by what isn't an endpoint.
            revision = 0
        known = context.endpoints.newest_received_revision
        self._note(now_s, ENDPOINTS, known, revision, bounds.drain_s)

    def _note(self, now_s, kind, known, newest, bound_s):
        """Take in one comparison; log when news becomes overdue, and when it came."""
        context = self._context
        before_s = self._lags[kind].lag_s
        lag_s = self._lags[kind].update(now_s, known, newest)
        context.metrics.lagged(kind, lag_s)
        is_overdue = lag_s > OVERDUE_PART * bound_s
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
