"""What endpoints state of themselves in the heads of their responses."""

import asyncio

from gypsumusher_routing import EndpointPauses

__all__ = ["EndpointNotices"]

# Kinds of the datagrams: an endpoint drains; it wants nothing from the receiver,
# through which the sender was turned away; it wants nothing from the sender.
DRAINING = "endpoint_draining"
PAUSED_FOR_RECEIVER, PAUSED_FOR_SENDER = "paused_for_receiver", "paused_for_sender"
# How often each is sent, since datagrams may be lost, and the pause between two.
ANNOUNCEMENTS, ANNOUNCEMENT_INTERVAL_S = 3, 0.2
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
        self._has_tunnel_to = None
        self._pauses = EndpointPauses(context.draw_uniform)
        # Pauses towards other hosts, by the host's name and the endpoint.
        self._relay_pauses = EndpointPauses(context.draw_uniform)

    def start(self, send_datagram, has_tunnel_to):
        """Start to exchange notices with the other hosts.

        Parameters
        ----------
        send_datagram : callable
            ``send_datagram(kind, fields, ip)``.
        has_tunnel_to : callable
            ``has_tunnel_to(address)`` returns whether another host has a connection to
            an endpoint through this one.
        """
        self._send_datagram = send_datagram
        self._has_tunnel_to = has_tunnel_to
        handlers = self._context.datagram_handlers
        handlers[DRAINING] = self._on_draining
        handlers[PAUSED_FOR_RECEIVER] = self._on_paused_for_receiver
        handlers[PAUSED_FOR_SENDER] = self._on_paused_for_sender

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
        key = (connection.key[:2], connection.address)
        if head.is_leaving and self._context.endpoints.on_draining(*key):
            self._log("endpoint_leaving", connection, head)
            self._announce(DRAINING, _encode(key), self._other_hosts())
        self._apply_retry_after(connection, key, head)

    def pause_left_s(self, record, relay=None):
        """Return for how long an endpoint wants no requests from this host.

        Parameters
        ----------
        record : EndpointRecord
            The endpoint.
        relay : str or None
            Name of the host through which requests would go. They come from that host
            for the endpoint, which may want none from it.

        Returns
        -------
        float
            Time in seconds; 0 if requests may be sent.
        """
        left_s = 0.0
        if self._pauses.has_pauses:
            left_s = self._pauses.left_s(self._context.boottime_s(), record.process_key)
        if relay is not None and self._relay_pauses.has_pauses:
            now_s, key = self._context.boottime_s(), (relay, record.process_key)
            left_s = max(left_s, self._relay_pauses.left_s(now_s, key))
        return left_s

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
            key = state.record.process_key
            if pauses.left_s(now_s, key):
                continue
            (on_trial if pauses.is_on_trial(now_s, key) else willing).append(state)
        stages = {state.stage for state in willing}
        return willing + [state for state in on_trial if state.stage not in stages]

    def on_send(self, record):
        """Record that a request is sent to an endpoint."""
        if self._pauses.has_pauses:
            self._pauses.on_send(self._context.boottime_s(), record.process_key)

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
        if head.status != UNAVAILABLE_STATUS:
            if self._pauses.has_pauses:
                self._pauses.on_accepted(self._context.boottime_s(), key)
        elif head.has_unreadable_retry_after:
            self._log("retry_after_unreadable", connection, head)
        elif head.retry_after_s is not None:
            now_s = self._context.boottime_s()
            self._pauses.on_turned_away(now_s, key, head.retry_after_s)
            self._tell_pause(key, head.retry_after_s, connection.relay)
            self._log(
                "endpoint_paused",
                connection,
                head,
                for_s=head.retry_after_s,
                left_s=round(self._pauses.left_s(now_s, key), 2),
            )

    def _tell_pause(self, key, for_s, relay=None):
        """Tell the hosts that a pause concerns besides this one.

        Parameters
        ----------
        key : tuple
            The endpoint.
        for_s : float
            How long it wants nothing from this host, or from the one in between.
        relay : str or None
            Host through which the request went that was turned away.
        """
        if relay is not None:
            now_s = self._context.boottime_s()
            self._relay_pauses.on_turned_away(now_s, (relay, key), for_s)
            ip = self._context.hosts.addresses().get(relay)
            if ip is not None:
                fields = [*_encode(key), for_s]
                self._announce(PAUSED_FOR_RECEIVER, fields, [ip])
        if self._has_tunnel_to is not None and self._has_tunnel_to(key[1]):
            fields = [self._context.settings.name, *_encode(key), for_s]
            self._announce(PAUSED_FOR_SENDER, fields, self._other_hosts())

    def _other_hosts(self):
        """Return the IP addresses of the other hosts."""
        return set(self._context.hosts.addresses().values())

    def _announce(self, kind, fields, ips):
        """Send a datagram to some hosts, and repeat it."""
        if self._send_datagram is not None and ips:
            self._context.spawn(self._send_repeatedly(kind, fields, ips))

    async def _send_repeatedly(self, kind, fields, ips):
        for _ in range(ANNOUNCEMENTS):
            for ip in ips:
                self._send_datagram(kind, fields, ip)
            await asyncio.sleep(ANNOUNCEMENT_INTERVAL_S)

    def _on_draining(self, fields, ip):
        """Apply what an endpoint has told another host."""
        key = _decode(*fields)
        if self._context.endpoints.on_draining(*key):
            self._log_notice("endpoint_leaving", key[0][0], ip)

    def _on_paused_for_receiver(self, fields, ip):
        """Apply what an endpoint has told another host that sent through this one."""
        *key, for_s = fields
        key, for_s = _decode(*key), float(for_s)
        now_s = self._context.boottime_s()
        was_left_s = self._pauses.left_s(now_s, key)
        self._pauses.on_turned_away(now_s, key, for_s)
        if was_left_s < for_s / 2.0:
            # Not a repetition.
            self._log_notice("endpoint_paused", key[0][0], ip, for_s=for_s)
            self._tell_pause(key, for_s)

    def _on_paused_for_sender(self, fields, ip):
        """Apply that an endpoint wants nothing through another host."""
        name, *key, for_s = fields
        now_s, key = self._context.boottime_s(), (str(name), _decode(*key))
        self._relay_pauses.on_turned_away(now_s, key, float(for_s))

    def _log(self, event, connection, head, **fields):
        """Log and count a notice in a response to this host."""
        told = {"status": head.status, "relay": connection.relay, **fields}
        self._log_notice(event, connection.key[0], "response", **told)

    def _log_notice(self, event, endpoint_id, source, **fields):
        """Log and count a notice, from a response or from another host's IP."""
        self._context.metrics.on_endpoint_notice(event)
        self._context.log("info", event, endpoint=endpoint_id, source=source, **fields)


def _encode(key):
    """Return an endpoint's id, start time and address for a datagram."""
    (endpoint_id, started_ms), address = key
    return [endpoint_id, started_ms, address]


def _decode(endpoint_id, started_ms, address):
    """Return the incarnation and the address in a datagram.

    Raises
    ------
    ValueError
        When one of them has a wrong type.
    """
    if not isinstance(endpoint_id, str) or not isinstance(address, str):
        raise ValueError("notice without an endpoint's id or address")
    if type(started_ms) is not int:
        raise ValueError("notice without an endpoint's start time")
    return (endpoint_id, started_ms), address
