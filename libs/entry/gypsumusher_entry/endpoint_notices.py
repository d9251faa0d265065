"""What endpoints state of themselves in the heads of their responses."""

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


class EndpointNotices:
    """Observes the heads of all responses of endpoints, and tells the other hosts.

    An endpoint that shuts down while the store is unavailable says so in its responses
    only, and those reach one host at a time.

    Parameters
    ----------
    context : Context
        Endpoints and hosts.
    """

    def __init__(self, context):
        self._context = context
        self._send_datagram = None

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
        if head.status != UNAVAILABLE_STATUS:
            return
        if head.has_unreadable_retry_after:
            self._log("retry_after_unreadable", connection, head)
        elif head.retry_after_s is not None:
            self._log("endpoint_paused", connection, head, for_s=head.retry_after_s)

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
