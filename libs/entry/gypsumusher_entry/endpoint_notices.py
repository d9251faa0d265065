"""What endpoints state of themselves in the heads of their responses."""

from gypsumusher_routing import EndpointPauses

__all__ = ["EndpointNotices"]

# Kind of the datagrams, and how often a notice is sent to each host, since datagrams
# may be lost.
DRAINING, ANNOUNCEMENTS = "endpoints_draining", 3
ANNOUNCEMENT_INTERVAL_S = 1.0
# Endpoints that one datagram may name.
MAX_ENTRIES = 64
# Only with this status does Retry-After speak for the endpoint. With 429, it concerns
# the client account or the kind of call.
UNAVAILABLE_STATUS = 503
# Share of the time that a refused caller is told, and longest time in seconds, by which
# it is prolonged at random: callers that were refused during the same pause would all
# return at its end.
RETURN_SPREAD_SHARE, MAX_RETURN_SPREAD_S = 0.5, 1.0
MIN_RETRY_AFTER_S = 0.1


class EndpointNotices:
    """Observes the heads of all responses of endpoints, and tells the other hosts.

    An endpoint that shuts down while the store is unavailable says so in its responses
    only, and those reach one host at a time. How long it wants no requests concerns the
    host that it tells; every send of this host to an endpoint asks here first.

    Parameters
    ----------
    context : Context
        Endpoints and hosts.
    """

    def __init__(self, context):
        self._context = context
        self._send_datagram = None
        self._pauses = EndpointPauses(context.draw_uniform)

    def start(self, send_datagram):
        """Start to exchange notices with the other hosts.

        Parameters
        ----------
        send_datagram : callable
            ``send_datagram(kind, fields, ip)``.
        """
        self._send_datagram = send_datagram
        self._context.datagram_handlers[DRAINING] = self._on_draining

    def on_head(self, connection, head):
        """Apply what the head of a response says of its endpoint.

        Parameters
        ----------
        connection : _Connection
            Connection to the endpoint; its key begins with the incarnation.
        head : ResponseHead
            The head.
        """
        if head.is_wrong_endpoint:
            # The process that responded isn't the one that the request named.
            return
        incarnation, address = connection.key[:2], connection.address
        if head.is_leaving and self._context.endpoints.on_draining(
            incarnation, address
        ):
            self._log("endpoint_leaving", connection, head)
            if self._send_datagram is not None:
                self._context.spawn(self._announce([*incarnation, address]))
        self._apply_retry_after(connection, (incarnation, address), head)

    def pause_left_s(self, record):
        """Return for how long an endpoint wants no requests from this host.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint.

        Returns
        -------
        float
            Time in seconds; 0 if requests may be sent.
        """
        if not self._pauses.has_pauses:
            return 0.0
        return self._pauses.left_s(self._context.boottime_s(), _key(record))

    def usable(self, states):
        """Return the endpoints that this host may send a request to now.

        One that has accepted nothing since its pause is left out while a request to it
        is under way, unless there is no other of the same stage.
        """
        pauses = self._pauses
        if not pauses.has_pauses:
            return states
        now_s = self._context.boottime_s()
        willing, on_trial = [], []
        for state in states:
            key = _key(state.record)
            if pauses.left_s(now_s, key):
                continue
            (on_trial if pauses.is_on_trial(now_s, key) else willing).append(state)
        stages = {state.stage for state in willing}
        return willing + [state for state in on_trial if state.stage not in stages]

    def on_send(self, record):
        """Record that a request is sent to an endpoint."""
        if self._pauses.has_pauses:
            self._pauses.on_send(self._context.boottime_s(), _key(record))

    def retry_after_s(self, states):
        """Return when a request that all of these endpoints pause for should come back.

        Parameters
        ----------
        states : list of EndpointState
            The endpoints that may serve the request.

        Returns
        -------
        float or None
            Time in seconds, another one for each caller; None if not all of them pause.
        """
        shortest_s = min(
            (self.pause_left_s(state.record) for state in states), default=0.0
        )
        if not shortest_s:
            return None
        spread_s = min(MAX_RETURN_SPREAD_S, RETURN_SPREAD_SHARE * shortest_s)
        spread_s *= self._context.draw_uniform()
        return max(MIN_RETRY_AFTER_S, shortest_s + spread_s)

    def _apply_retry_after(self, connection, key, head):
        """Apply how long an endpoint wants no requests, if it says so."""
        now_s = self._context.boottime_s()
        if head.status != UNAVAILABLE_STATUS:
            self._pauses.on_accepted(now_s, key)
        elif head.has_unreadable_retry_after:
            self._log("retry_after_unreadable", connection, head)
        elif head.retry_after_s is not None:
            self._pauses.on_turned_away(now_s, key, head.retry_after_s)
            self._log(
                "endpoint_paused",
                connection,
                head,
                for_s=head.retry_after_s,
                left_s=round(self._pauses.left_s(now_s, key), 2),
            )

    async def _announce(self, entry):
        """Tell all other hosts several times that an endpoint drains."""
        context = self._context
        for _ in range(ANNOUNCEMENTS):
            for ip in set(context.hosts.addresses().values()):
                self._send_datagram(DRAINING, [[entry]], ip)
            await context.wait_for_tick(ANNOUNCEMENT_INTERVAL_S)

    def _on_draining(self, fields, ip):
        """Apply what an endpoint has told another host."""
        (entries,) = fields
        if not isinstance(entries, list) or len(entries) > MAX_ENTRIES:
            raise ValueError("not a list of endpoints")
        for endpoint_id, started_ms, address in entries:
            if not isinstance(endpoint_id, str) or type(started_ms) is not int:
                raise ValueError(f"no endpoint: {endpoint_id!r}, {started_ms!r}"[:100])
            incarnation = (endpoint_id, started_ms)
            if self._context.endpoints.on_draining(incarnation, str(address)):
                self._context.log(
                    "info", "endpoint_leaving", endpoint=endpoint_id, source=ip
                )

    def _log(self, event, connection, head, **fields):
        self._context.log(
            "info",
            event,
            endpoint=connection.key[0],
            source="response",
            status=head.status,
            relay=connection.relay,
            **fields,
        )


def _key(record):
    """Return the incarnation and the address of an endpoint."""
    return (record.incarnation, record.address)
