"""Endpoints' limits on requests, shared with the other hosts."""

from gypsumusher_routing import EndpointLimits, LentPart, LimitReport, LimitView

__all__ = ["EndpointLimitSync"]

# Kinds of the datagrams.
LIMITS, LOANS = "limits", "limit_loans"
# Pause between two reports, and between two loans of the same part.
REPORT_INTERVAL_S, LOAN_INTERVAL_S = 1.0, 2.0
# Pause between two reports of a limit that exists; its beginning and its end are
# reported at once.
REFRESH_INTERVAL_S = 4.0
# Reports and loans in one datagram.
MAX_ENTRIES = 64
# How long a view of the other hosts is reused. A host has to be silent for longer than
# this before it counts as dead.
VIEW_CACHE_S = 0.2
# Shortest time after which a refused caller is asked to return, in seconds.
MIN_RETRY_AFTER_S = 0.3


class EndpointLimitSync:
    """Applies endpoints' limits, and exchanges them with the other hosts.

    Nothing is sent, and no task runs, while no endpoint has a limit.

    Parameters
    ----------
    context : Context
        Hosts and endpoints.
    """

    def __init__(self, context):
        self._context = context
        self.limits = EndpointLimits(context.settings.name, context.boottime_s())
        self._gossip = None
        self._task = None
        self._view = None
        self._viewed_s = float("-inf")

    def start(self, gossip):
        """Start to exchange limits and loans.

        Parameters
        ----------
        gossip : Gossip
            Sends datagrams, and knows when this host's status messages were sent.
        """
        self._gossip = gossip
        handlers = self._context.datagram_handlers
        handlers[LIMITS] = self._on_limits
        handlers[LOANS] = self._on_loans

    def on_head(self, state, head):
        """Apply what the head of an endpoint's response says of its limit."""
        incarnation = state.record.incarnation
        if head.has_unreadable_limit:
            # The limit that was stated before stays in force.
            self._context.log(
                "warning",
                "endpoint_limit_unreadable",
                endpoint=state.record.endpoint_id,
                limit_per_s=self.limits.limit_of(incarnation),
            )
            return
        if head.limit_per_s is None and not self.limits.has_limits:
            return
        now_s = self._context.boottime_s()
        report = LimitReport(incarnation, head.limit_per_s, now_s)
        change = self.limits.on_response(now_s, report)
        self._on_change(now_s, report, change, "own")
        if change is not None and change.is_urgent:
            self._send_reports(now_s, [report])

    def usable(self, states):
        """Return the endpoints that this host may send a request to now.

        Endpoints with a limit are left to requests that no other endpoint of the same
        stage can serve, unless this host has saved up all that it may send them.
        """
        limits = self.limits
        if not limits.has_limits:
            return states
        now_s, view = self._context.boottime_s(), self._current_view()
        stages = {
            state.stage
            for state in states
            if limits.limit_of(state.record.incarnation) is None
        }
        return [
            state
            for state in states
            if limits.may_send(
                now_s, state.record.incarnation, view, state.stage not in stages
            )
        ]

    def are_limited(self, states):
        """Return whether all of these endpoints have a limit."""
        limits = self.limits
        return limits.has_limits and all(
            limits.limit_of(state.record.incarnation) is not None for state in states
        )

    def reserve(self, state):
        """Reserve a later send to an endpoint; return whether its limit has room.

        The reservation ends with `take` or `release`.
        """
        now_s, view = self._context.boottime_s(), self._current_view()
        is_allowed = self.limits.reserve(now_s, state.record.incarnation, view)
        self._log_use("limit_reserved" if is_allowed else "limit_reached", state)
        return is_allowed

    def release(self, state):
        """Give back a reservation that isn't used."""
        self.limits.release(state.record.incarnation)

    def take(self, state, is_reserved=False):
        """Use an endpoint's limit for a send; return whether it may be made."""
        if not self.limits.has_limits:
            return True
        now_s, view = self._context.boottime_s(), self._current_view()
        is_allowed = self.limits.take(
            now_s, state.record.incarnation, view, is_reserved
        )
        self._log_use("limit_used" if is_allowed else "limit_reached", state)
        return is_allowed

    def _log_use(self, event, state):
        """Log a decision on an endpoint's limit, if it has one."""
        incarnation = state.record.incarnation
        limit_per_s = self.limits.limit_of(incarnation)
        if limit_per_s is None:
            return
        now_s, view = self._context.boottime_s(), self._current_view()
        self._context.log(
            "info",
            event,
            endpoint=state.record.endpoint_id,
            limit_per_s=limit_per_s,
            part=round(self.limits.part_of(now_s, incarnation, view), 3),
            wait_s=round(self.limits.wait_s(now_s, incarnation, view), 2),
        )

    def give_back(self, state):
        """Give back what was taken for a send that wasn't made."""
        self.limits.give_back(state.record.incarnation)

    def retry_after_s(self, states):
        """Return when a request that no endpoint may get now should come back.

        Parameters
        ----------
        states : list of EndpointState
            The endpoints that may serve it.

        Returns
        -------
        float or None
            Time in seconds until one of these endpoints has room for this caller; None
            if limits keep the request from none or only some of them.
        """
        if not self.limits.has_limits:
            return None
        incarnations = [state.record.incarnation for state in states]
        now_s, view = self._context.boottime_s(), self._current_view()
        wait_s = self.limits.promise_return_s(now_s, incarnations, view)
        return None if wait_s is None else max(MIN_RETRY_AFTER_S, wait_s)

    def _current_view(self):
        """Return what is known of the hosts that share limits."""
        context = self._context
        now_s = context.clock()
        if now_s - self._viewed_s <= VIEW_CACHE_S:
            return self._view
        self._viewed_s = now_s
        heard = context.hosts.with_recent_status(now_s)
        live = frozenset(status.name for status in heard)
        active = {status.name for status in context.active_hosts()}
        candidates = tuple(sorted(active | context.hosts.unheard(now_s)))
        count = context.count_hosts()
        part = 1.0 / count if count else 0.0
        view = LimitView(part, candidates, live, context.policy.limit_loans)
        if view != self._view:
            self._view = view
        return self._view

    def _on_change(self, now_s, report, change, source):
        """Log a change of a limit, and start to report and lend."""
        if change is None:
            return
        self._context.log(
            "info",
            "endpoint_limit_changed",
            endpoint=report.incarnation[0],
            limit_per_s=change.limit_per_s,
            before_per_s=change.before_per_s,
            source=source,
            age_s=round(now_s - report.known_s, 2),
        )
        if self._gossip is not None and self._task is None:
            self._task = self._context.spawn(self._run())

    async def _run(self):
        """Report and lend while any endpoint has a limit, or has just ended one."""
        context = self._context
        refreshed_s = lent_s = float("-inf")
        try:
            while self.limits.has_reports:
                await context.wait_for_tick(REPORT_INTERVAL_S)
                now_s = context.boottime_s()
                self.limits.drop_gone(now_s, self._is_gone)
                if now_s - lent_s >= LOAN_INTERVAL_S:
                    lent_s = now_s
                    self._lend(now_s)
                reports = self.limits.end_reports()
                if now_s - refreshed_s >= REFRESH_INTERVAL_S:
                    refreshed_s = now_s
                    reports += self.limits.reports(self._current_view())
                self._send_reports(now_s, reports)
        finally:
            self._task = None

    def _is_gone(self, incarnation):
        """Return whether an endpoint's entry is gone or that of another incarnation."""
        state = self._context.endpoints.states.get(incarnation[0])
        return state is None or state.record.incarnation != incarnation

    def _send_reports(self, now_s, reports):
        """Send reports to all hosts."""
        if self._gossip is None:
            return
        ips = set(self._context.hosts.addresses().values())
        for index in range(0, len(reports), MAX_ENTRIES):
            entries = [
                [*report.incarnation, report.limit_per_s, now_s - report.known_s]
                for report in reports[index : index + MAX_ENTRIES]
            ]
            for ip in ips:
                self._gossip.send_datagram(LIMITS, [entries], ip)

    def _lend(self, now_s):
        """Lend the parts that this host doesn't use to the senders of each limit."""
        context = self._context
        clock_s = context.clock()
        messages = context.hosts.last_messages(clock_s)
        heard_s = {
            name: now_s - (clock_s - message.received_s)
            for name, message in messages.items()
        }
        lent = self.limits.lend(now_s, self._current_view(), heard_s)
        for borrower, parts in lent.items():
            message = messages[borrower]
            for index in range(0, len(parts), MAX_ENTRIES):
                entries = [
                    [*lent_part.incarnation, lent_part.part]
                    for lent_part in parts[index : index + MAX_ENTRIES]
                ]
                fields = [
                    context.settings.name,
                    message.started_ms,
                    message.sequence,
                    entries,
                ]
                self._gossip.send_datagram(LOANS, fields, message.ip)

    def _on_limits(self, fields, ip):
        """Apply another host's reports."""
        now_s = self._context.boottime_s()
        (entries,) = fields
        for endpoint_id, started_ms, limit_per_s, age_s in entries:
            incarnation = (str(endpoint_id), int(started_ms))
            if self._is_gone(incarnation):
                continue
            limit_per_s = None if limit_per_s is None else float(limit_per_s)
            report = LimitReport(incarnation, limit_per_s, now_s - float(age_s))
            change = self.limits.on_report(now_s, report)
            self._on_change(now_s, report, change, ip)

    def _on_loans(self, fields, ip):
        """Record what another host lends to this one."""
        lender, started_ms, sequence, entries = fields
        if started_ms != self._context.started_ms:
            # Lent to the previous process of this host.
            return
        asked_s = self._gossip.sent_s(sequence)
        if asked_s is None:
            return
        for endpoint_id, endpoint_started_ms, part in entries:
            lent = LentPart((str(endpoint_id), int(endpoint_started_ms)), float(part))
            self.limits.on_loan(str(lender), lent, asked_s)
