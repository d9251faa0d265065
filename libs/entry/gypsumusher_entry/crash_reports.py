"""Reports between hosts of content that crashes endpoints."""

import asyncio

from gypsumusher_routing import (
    REPORTED_FOR_S,
    CrashedRun,
    CrashingContent,
    CrashReport,
    RefusedContent,
    choose_hosts,
)

__all__ = ["CrashReports"]

# Kind of the datagrams.
CRASHES = "crashes"
# Pause between two reports; several fit into `REPORTED_FOR_S`.
REPORT_INTERVAL_S = REPORTED_FOR_S / 3.0
# Hosts that count the losses of one content for all. When one of them ends, the others
# know what it knew.
COUNTING_HOSTS = 3
# Pause between two reports that only repeat refusals, for hosts that start later.
REPEAT_INTERVAL_S = 1.0


class CrashReports:
    """Records lost runs of this host, and exchanges them with the other hosts.

    Losses go to the few hosts that count them for this content, so that their cost does
    not grow with the number of hosts; what is refused goes to all hosts. Nothing is
    sent, and no task runs, while there is nothing to report.

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

    def start(self, send_datagram):
        """Start to exchange reports.

        Parameters
        ----------
        send_datagram : callable
            ``send_datagram(kind, fields, ip)``.
        """
        self._send_datagram = send_datagram
        self._context.datagram_handlers[CRASHES] = self._on_datagram

    def on_lost(self, exchange, state):
        """Record that a run was lost with its connection to an endpoint."""
        now_s = self._context.clock()
        endpoint_id, started_ms = state.record.incarnation
        crash = CrashedRun(exchange.fingerprint, endpoint_id, started_ms, now_s)
        self._log_refused(self.content.on_lost(now_s, crash), "own")
        self._report_soon()

    def on_answered(self, exchange):
        """Record that an endpoint has completed a response to a run."""
        if self.content.on_answered(self._context.clock(), exchange.fingerprint):
            exchange.log("info", "content_cleared", content=exchange.fingerprint.hex())
            self._report_soon()

    def refused_for_s(self, exchange):
        """Return how long a request's content is refused, in seconds; 0 if it isn't."""
        if not self.content.has_suspects:
            return 0.0
        now_s = self._context.clock()
        return self.content.refused_for_s(now_s, exchange.fingerprint)

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

    async def _run(self):
        """Send reports until there is nothing left to tell."""
        context = self._context
        try:
            while True:
                now_s = context.clock()
                report = self.content.report(now_s, context.is_watcher())
                if not any(report) and not self.content.has_refused:
                    return
                self._send(now_s, report)
                is_new = report.crashes or report.answered or report.cleared
                await asyncio.sleep(REPORT_INTERVAL_S if is_new else REPEAT_INTERVAL_S)
        finally:
            self._task = None

    def _send(self, now_s, report):
        """Send what is refused to all hosts, and the rest to those that count."""
        for_all = CrashReport(cleared=report.cleared, refused=report.refused)
        if any(for_all):
            fields = _encode(now_s, for_all)
            for ip in set(self._context.hosts.addresses().values()):
                self._send_datagram(CRASHES, fields, ip)
        live = self._context.hosts.live(self._context.clock())
        parts = {}
        for crash in report.crashes:
            for host in choose_hosts(live, crash.fingerprint, COUNTING_HOSTS):
                parts.setdefault(host.ip, ([], []))[0].append(crash)
        for answer in report.answered:
            for host in choose_hosts(live, answer[0], COUNTING_HOSTS):
                parts.setdefault(host.ip, ([], []))[1].append(answer)
        for ip, (crashes, answered) in parts.items():
            part = CrashReport(tuple(crashes), tuple(answered))
            self._send_datagram(CRASHES, _encode(now_s, part), ip)

    def _on_datagram(self, fields, ip):
        """Apply another host's report."""
        now_s = self._context.clock()
        for refused in self.content.on_report(now_s, _decode(now_s, fields)):
            self._log_refused(refused, ip)
        # There may be an answer to tell of, and a watcher repeats refusals for hosts
        # that start later.
        self._report_soon()

    def _log_refused(self, refused, source):
        """Log that content is refused from now on; None logs nothing."""
        if refused is None:
            return
        self._context.log(
            "warning",
            "content_refused",
            content=refused.fingerprint.hex(),
            for_s=round(refused.for_s),
            source=source,
        )


def _encode(now_s, report):
    """Return a report's fields, with ages in place of times."""
    return [
        [
            [
                crash.fingerprint,
                crash.endpoint_id,
                crash.started_ms,
                now_s - crash.lost_s,
            ]
            for crash in report.crashes
        ],
        [[fingerprint, now_s - at_s] for fingerprint, at_s in report.answered],
        [[fingerprint, now_s - at_s] for fingerprint, at_s in report.cleared],
        [
            [content.fingerprint, now_s - content.from_s, content.for_s]
            for content in report.refused
        ],
    ]


def _decode(now_s, fields):
    """Return the report of another host.

    Raises
    ------
    ValueError, TypeError
        When it can't be decoded.
    """
    crashes, answered, cleared, refused = fields
    return CrashReport(
        tuple(
            CrashedRun(
                bytes(fingerprint),
                str(endpoint_id),
                int(started_ms),
                now_s - float(age_s),
            )
            for fingerprint, endpoint_id, started_ms, age_s in crashes
        ),
        *(
            tuple(
                (bytes(fingerprint), now_s - float(age_s))
                for fingerprint, age_s in answers
            )
            for answers in (answered, cleared)
        ),
        tuple(
            RefusedContent(bytes(fingerprint), now_s - float(age_s), float(for_s))
            for fingerprint, age_s, for_s in refused
        ),
    )
