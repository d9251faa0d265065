"""Reports between hosts of content that crashes endpoints."""

import asyncio
import contextlib

from gypsumusher_routing import (
    REPORTED_FOR_S,
    ContentKeys,
    CrashedRun,
    CrashingContent,
    CrashReport,
    RefusedContent,
    choose_hosts,
)

__all__ = ["CrashReports"]

# Kind of the datagrams; hosts of earlier releases exchange others of their own.
LOSSES = "content_losses"
# Pause between two reports; several fit into `REPORTED_FOR_S`.
REPORT_INTERVAL_S = REPORTED_FOR_S / 5.0
# Hosts that count all losses. When one of them ends, the others know what it knew.
COUNTING_HOSTS = 3
# What these hosts are chosen for, by rendezvous hashing.
COUNTING_KEY = b"losses"
# Pause between two reports that only repeat refusals, for hosts that start later.
REPEAT_INTERVAL_S = 1.0
# Keys of the losses in one datagram, of some 10 bytes each; one run may have more.
DATAGRAM_KEYS = 100
# Pause between two hosts that may try refused content again.
TRIAL_PAUSE_S = 5.0


class CrashReports:
    """Records lost runs of this host, and exchanges them with the other hosts.

    Losses go to the few hosts that count them, so that their cost does not grow with
    the number of hosts; what is refused, and which parts hosts should tell answers
    of, goes to all hosts. Nothing is sent, and no task runs, while there is nothing to
    report.

    Parameters
    ----------
    context : Context
        Hosts and endpoints.
    """

    def __init__(self, context):
        self.content = CrashingContent(self._has_survived)
        self._context = context
        self._send_datagram = None
        self._task = None
        # Set when the next report shouldn't wait.
        self._has_news = asyncio.Event()
        # Called when content is refused from now on, or not any more.
        self.listeners = []

    def start(self, send_datagram):
        """Start to exchange reports.

        Parameters
        ----------
        send_datagram : callable
            ``send_datagram(kind, fields, ip)``.
        """
        self._send_datagram = send_datagram
        self._context.datagram_handlers[LOSSES] = self._on_datagram

    def on_lost(self, exchange, state):
        """Record that a run was lost with its connection to an endpoint."""
        now_s = self._context.clock()
        keys = exchange.content_keys
        if exchange.has_run_survived:
            keys = keys._replace(parts=frozenset())
        exchange.trial_keys = None
        endpoint_id, started_ms = state.record.incarnation
        crash = CrashedRun(keys, endpoint_id, started_ms, now_s)
        self._on_refused(self.content.on_lost(now_s, crash), "own")
        self._report_soon()

    def on_answered(self, exchange):
        """Record that an endpoint has completed a response to a run."""
        self._on_keys_answered(exchange, exchange.content_keys.all_keys)

    def on_parts_answered(self, exchange):
        """Record that a run has gone on for a while after its first event."""
        self._on_keys_answered(exchange, exchange.content_keys.parts)

    def on_recorded(self, keys, for_s):
        """Apply a refusal that was recorded before this host started."""
        now_s = self._context.clock()
        refused = RefusedContent(frozenset(keys), now_s, for_s)
        self._on_refused(self.content.on_refused(now_s, refused), "store")
        self._report_soon()

    def refused_for_s(self, exchange, may_try=False):
        """Return how long a request's content is refused, in seconds; 0 if it isn't.

        Parameters
        ----------
        exchange : Exchange
            The request.
        may_try : bool
            Whether the request may be the one that shows if a refusal is still needed
            when its time is over.
        """
        if not self.content.has_refused:
            return 0.0
        now_s = self._context.clock()
        refused = self.content.find_refusal(now_s, exchange.content_keys.all_keys)
        if refused is None or refused.keys == exchange.trial_keys:
            return 0.0
        trial_s = refused.until_s
        if may_try:
            trial_s += TRIAL_PAUSE_S * self._rank()
            if now_s >= trial_s:
                self._begin_trial(now_s, exchange, refused)
                return 0.0
        return max(TRIAL_PAUSE_S, trial_s - now_s)

    def _begin_trial(self, now_s, exchange, refused):
        """Let one request through; all hosts refuse the others until it is answered."""
        renewed = self.content.begin_trial(now_s, refused)
        exchange.trial_keys = renewed.keys
        exchange.log(
            "warning",
            "content_tried",
            content=_describe(renewed.keys),
            for_s=round(renewed.for_s),
        )
        self._report_at_once()

    def _rank(self):
        """Return the place of this host among those that may try refused content."""
        names = [host.name for host in self._context.active_hosts()]
        name = self._context.settings.name
        return names.index(name) if name in names else len(names)

    def _on_keys_answered(self, exchange, keys):
        """Record that what some keys stand for was answered."""
        suspected = self.content.on_answered(self._context.clock(), keys)
        if not suspected:
            return
        exchange.log("info", "content_cleared", content=_describe(suspected))
        self._report_at_once()
        for listener in self.listeners:
            listener()

    def _has_survived(self, crash):
        """Return whether an endpoint has answered what was sent after a lost run."""
        state = self._context.endpoints.states.get(crash.endpoint_id)
        if state is None or state.record.started_ms != crash.started_ms:
            return False
        if state.is_address_taken:
            # What answers there now is another endpoint.
            return False
        return state.delivery.has_answered_after(crash.lost_s)

    def _report_soon(self):
        """Start the reports unless they are being sent."""
        if self._send_datagram is not None and self._task is None:
            self._task = self._context.spawn(self._run())

    def _report_at_once(self):
        """Send a report without waiting for the next one that is due."""
        self._has_news.set()
        self._report_soon()

    async def _wait(self, pause_s):
        """Wait until the next report is due."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(pause_s):
                await self._has_news.wait()
        self._has_news.clear()

    async def _run(self):
        """Send reports until there is nothing left to tell."""
        context = self._context
        try:
            while True:
                now_s = context.clock()
                self._on_refused(self.content.due_refusals(now_s), "own")
                report = self.content.report(now_s, context.is_watcher())
                is_asking = self.content.is_asking(now_s)
                if not any(report) and not self.content.has_refused and not is_asking:
                    return
                self._send(now_s, report)
                is_new = any(report._replace(refused=())) or is_asking
                await self._wait(REPORT_INTERVAL_S if is_new else REPEAT_INTERVAL_S)
        finally:
            self._task = None

    def _send(self, now_s, report):
        """Send losses and answers to the hosts that count them, the rest to all."""
        hosts = self._context.hosts
        for_all = report._replace(crashes=(), answered=())
        if any(for_all):
            fields = _encode(now_s, for_all)
            for ip in set(hosts.addresses().values()):
                self._send_datagram(LOSSES, fields, ip)
        counting = choose_hosts(
            hosts.live(self._context.clock()), COUNTING_KEY, COUNTING_HOSTS
        )
        for part in _split(report):
            fields = _encode(now_s, part)
            for host in counting:
                self._send_datagram(LOSSES, fields, host.ip)

    def _on_datagram(self, fields, ip):
        """Apply another host's report."""
        now_s = self._context.clock()
        self._on_refused(self.content.on_report(now_s, _decode(now_s, fields)), ip)
        for listener in self.listeners:
            listener()
        # There may be an answer to tell of, and a watcher repeats refusals for hosts
        # that start later.
        self._report_soon()

    def _on_refused(self, added, source):
        """End the requests whose content is refused from now on."""
        for refused in added:
            self._context.log(
                "warning",
                "content_refused",
                content=_describe(refused.keys),
                for_s=round(refused.for_s),
                source=source,
            )
            for exchange in list(self._context.exchanges):
                if exchange.should_end_for(refused.keys):
                    exchange.end_as_refused(refused.for_s)
        if added:
            self._report_at_once()
            for listener in self.listeners:
                listener()


def _describe(keys):
    """Return keys as they are logged."""
    return ",".join(sorted(key.hex() for key in keys))


def _split(report):
    """Return the losses and answers of a report, divided to fit into datagrams."""
    parts, crashes, key_count = [], [], 0
    for crash in report.crashes:
        count = len(crash.keys.all_keys)
        if crashes and key_count + count > DATAGRAM_KEYS:
            parts.append(CrashReport(tuple(crashes)))
            crashes, key_count = [], 0
        crashes.append(crash)
        key_count += count
    last = CrashReport(tuple(crashes), report.answered)
    return [*parts, last] if any(last) else parts


def _encode(now_s, report):
    """Return a report's fields, with ages in place of times."""
    return [
        [
            [
                crash.keys.whole,
                sorted(crash.keys.parts),
                crash.endpoint_id,
                crash.started_ms,
                now_s - crash.lost_s,
            ]
            for crash in report.crashes
        ],
        [[key, now_s - at_s] for key, at_s in report.answered],
        [[key, now_s - at_s] for key, at_s in report.cleared],
        [
            [sorted(content.keys), now_s - content.from_s, content.for_s]
            for content in report.refused
        ],
        list(report.asked),
    ]


def _decode(now_s, fields):
    """Return the report of another host.

    Raises
    ------
    ValueError, TypeError
        When it can't be decoded.
    """
    crashes, answered, cleared, refused, asked = fields
    return CrashReport(
        tuple(
            CrashedRun(
                ContentKeys(bytes(whole), frozenset(map(bytes, parts))),
                str(endpoint_id),
                int(started_ms),
                now_s - float(age_s),
            )
            for whole, parts, endpoint_id, started_ms, age_s in crashes
        ),
        *(
            tuple((bytes(key), now_s - float(age_s)) for key, age_s in answers)
            for answers in (answered, cleared)
        ),
        tuple(
            RefusedContent(
                frozenset(map(bytes, keys)), now_s - float(age_s), float(for_s)
            )
            for keys, age_s, for_s in refused
        ),
        tuple(map(bytes, asked)),
    )
