"""Usage by client account: counted here, sent to the holder, and reported by it."""

import secrets

from returns.result import Success

from gypsumusher_coordination.usage_report import (
    SendUsage,
    UsageMissed,
    UsageReporter,
    UsageSent,
    UsageTimes,
)
from gypsumusher_entry.store_calls import perform_store_call
from gypsumusher_routing import UsageCollector, UsageCounter, choose_watchers

__all__ = ["UsageReports"]

# Kinds of the datagrams.
COUNTS, ACKNOWLEDGEMENT = "usage", "usage_ack"
# How often counts are sent. A host that dies takes what it hasn't sent with it: a tenth
# of a window of its own requests.
SEND_INTERVAL_S = 0.5
# Share of the time until a report is due that counts may take to arrive. The rest is
# for an outage of the store or of the platform.
SETTLE_FRACTION = 0.35
# Least remaining time of the lease when a report is sent: the report may be in transit
# for as long as its response is waited for.
MIN_LEASE_S = 1.0
# Calls in one tick, so that a window is fixed and sent at once.
MAX_CALLS = 4


class UsageReports:
    """Counts usage, and reports it while this host holds the lease.

    Parameters
    ----------
    context : Context
        Settings, hosts and true time.
    store : StoreClient
        Holds the fixed reports.
    gossip : Gossip
        Sends and receives the counts.
    lease : StageLease
        Authority to report.
    cloud : CloudClient
        Accepts the reports.
    """

    def __init__(self, context, store, gossip, lease, cloud):
        bounds = context.settings.bounds
        window_s, late_s = bounds.usage_window_s, bounds.usage_late_s
        self._context = context
        self._store = store
        self._gossip = gossip
        self._lease = lease
        self._cloud = cloud
        self._process = secrets.randbits(48)
        kept_s = late_s + window_s
        self._counter = UsageCounter(window_s, kept_s)
        self._collector = UsageCollector(window_s, kept_s)
        times = UsageTimes(window_s, SETTLE_FRACTION * late_s, late_s)
        self._reporter = UsageReporter(times, lambda: secrets.token_hex(8))

    async def start(self):
        """Start to count, to send and to report, until the context is closed."""
        context = self._context
        context.datagram_handlers[COUNTS] = self._on_counts
        context.datagram_handlers[ACKNOWLEDGEMENT] = self._on_acknowledgement
        context.keep_running(self._run)

    async def _run(self):
        """Send and report at each tick."""
        context = self._context
        while True:
            await context.wait_for_tick(SEND_INTERVAL_S)
            if context.accounts is None or not context.accounts.has_accounts:
                continue
            now_s = context.boottime_s()
            offset_s = context.true_time.offset_s(now_s)
            if offset_s is None:
                continue
            for account, began_s in context.pop_begun_requests():
                self._counter.count(began_s + offset_s, account)
            self._send_counts(now_s + offset_s)
            await self._report(offset_s)

    def _receivers(self):
        """Return the hosts that may have to report, by process."""
        context = self._context
        watchers = choose_watchers(context.active_hosts())
        names = {host.name for host in watchers} | {self._lease.known_holder}
        names.discard(context.settings.name)
        return {
            (host.name, host.started_ms): host.ip
            for host in context.hosts.live(context.clock())
            if host.name in names
        }

    def _send_counts(self, true_s):
        """Send each receiver what it lacks."""
        receivers = self._receivers()
        self._counter.drop_old(true_s, receivers)
        self._collector.drop_old(true_s)
        for receiver, ip in receivers.items():
            changes = self._counter.changes_for(receiver)
            if changes is None:
                continue
            fields = [self._process, *changes]
            self._gossip.send_datagram(COUNTS, fields, ip)

    def _on_counts(self, fields, ip):
        """Record and acknowledge the counts of another host."""
        process, position, counts = fields
        for window, account, number in counts:
            if type(window) is not int or type(number) is not int:
                raise ValueError(f"count of {account!r} has a wrong format")
        self._collector.on_counts(process, counts)
        context = self._context
        receiver = [context.settings.name, context.started_ms]
        fields = [process, position, *receiver]
        self._gossip.send_datagram(ACKNOWLEDGEMENT, fields, ip)

    def _on_acknowledgement(self, fields, _):
        """Record what a receiver has."""
        process, position, *receiver = fields
        if process == self._process:
            self._counter.on_acknowledged(tuple(receiver), position)

    def _totals(self, window):
        """Return the counts of a window over all hosts."""
        totals = self._collector.totals(window)
        for account, number in self._counter.totals(window).items():
            totals[account] = totals.get(account, 0) + number
        return totals

    async def _report(self, offset_s):
        """Fix and send the reports that are due, while this host may."""
        for _ in range(MAX_CALLS):
            if not self._lease.is_held_for(MIN_LEASE_S):
                self._reporter.on_authority_lost()
                return
            now_s = self._context.boottime_s()
            effects = self._reporter.tick(now_s, now_s + offset_s, self._totals)
            if not effects:
                return
            for effect in effects:
                await self._perform(effect)

    async def _perform(self, effect):
        """Perform one effect of the reporter."""
        context = self._context
        if isinstance(effect, UsageMissed):
            context.log("error", "usage_missed", first=effect.first, last=effect.last)
            return
        if isinstance(effect, SendUsage):
            event = await self._send_report(effect)
        else:
            event = await perform_store_call(self._store, effect)
        self._reporter.handle(context.boottime_s(), event)

    async def _send_report(self, effect):
        """Send one report; return the event that tells how that ended."""
        term = self._lease.term
        if not self._lease.is_held_for(MIN_LEASE_S):
            return UsageSent(effect.tag, False)
        result = await self._cloud.report_usage(term, effect.window, effect.counts)
        error = None if isinstance(result, Success) else result.failure()
        # A report that was rejected would be rejected again.
        is_done = error is None or error.code == "rejected"
        self._context.log(
            "info" if error is None else "warning",
            "usage_reported" if error is None else "usage_not_reported",
            window=effect.window,
            accounts=len(effect.counts),
            requests=sum(effect.counts.values()),
            term=term,
            code=None if error is None else error.code,
            detail=None if error is None else error.detail,
        )
        return UsageSent(effect.tag, is_done)
