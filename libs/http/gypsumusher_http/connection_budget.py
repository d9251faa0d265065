"""Limits on what the connections of all clients hold together."""

import asyncio
from collections import Counter

from gypsumusher_http.request_room import RequestRoom

__all__ = ["IN_USE", "SENT_AHEAD", "UNREAD", "UNUSED", "ConnectionBudget"]

# Uses of a connection; the lower ones are closed first. No request is under way, a
# response only waits for its caller to read, further requests wait behind the one that
# is handled, or a single request is handled.
UNUSED, UNREAD, SENT_AHEAD, IN_USE = range(4)

# Limits where no others are given.
DEFAULT_MAX_BYTES, DEFAULT_MAX_CONNECTIONS = 64 * 1024 * 1024, 1024
# Share of the limit down to which connections are closed once it is exceeded, so that
# not every further byte leads to another look at all connections.
LOW_WATER_SHARE = 7 / 8
# Share of the most connections that is closed at once when there are too many, for the
# same reason.
CLOSED_AT_ONCE_SHARE = 1 / 32
# Share of the most bytes that large requests may take. The rest is for small ones, for
# responses and for heads that are being received; it is more than what has to be given
# up at once, so that none of the large requests is.
LARGE_REQUESTS_SHARE = 3 / 4
# Share of the most bytes after which no connection is read until the event loop has
# passed. What closed connections held is freed only then.
READ_AT_ONCE_SHARE = 1 / 8


class ConnectionBudget:
    """Closes connections when they hold too much together, or are too many.

    A limit on each connection alone doesn't bound a process's memory, since there are
    many. Those that hold most are closed first, so that a client with an ordinary
    request doesn't pay for others; those whose request an endpoint may be running come
    after all others, since it would be lost. Of too many, those of the least use are
    closed, in the group with most connections.

    Parameters
    ----------
    log : callable
        ``log(level, event, **fields)``.
    max_bytes : int
        Most bytes that all connections may hold.
    max_connections : int
        Most connections that may be open.

    Attributes
    ----------
    room : RequestRoom
        Room for large requests.

    Notes
    -----
    A connection is any object with the methods ``held_bytes()``, which returns what it
    holds now, and ``give_up()``, which refuses its request or closes it, and with the
    attribute ``awaits_endpoint``: whether an endpoint may be running its request, and
    nothing of the response has come. It calls `update` when it holds more than before.
    One that is admitted also has the methods ``abort()`` and
    ``set_throttled(is_throttled)``, which stops or resumes reading, and the attributes
    ``group``, ``use`` and ``last_active_s``.
    """

    def __init__(
        self,
        log,
        max_bytes=DEFAULT_MAX_BYTES,
        max_connections=DEFAULT_MAX_CONNECTIONS,
    ):
        self._log = log
        self.room = RequestRoom(int(LARGE_REQUESTS_SHARE * max_bytes))
        self._max_bytes = max_bytes
        self._max_connections = max_connections
        # Bytes that each connection held at its last update, and their sum. What has
        # been sent since isn't subtracted, so that the sum may be too large.
        self._held_bytes = {}
        self._admitted = set()
        # Return further connections whose received bytes are counted.
        self._sources = []
        self._received_bytes = 0
        self._total_bytes = 0
        self._is_making_room = False

    def admit(self, connection):
        """Take a new connection in, and close others for it if there are too many.

        Returns
        -------
        bool
            Whether it may stay open; not if all others are in use.
        """
        if len(self._admitted) >= self._max_connections and not self._close_some():
            return False
        self._admitted.add(connection)
        self.update(connection)
        return True

    def _close_some(self):
        """Close connections of the least use; return whether there were any."""
        sizes = Counter(connection.group for connection in self._admitted)
        largest = max(sizes, key=sizes.get)
        found = [
            connection
            for connection in self._admitted
            if connection.group is largest and connection.use != IN_USE
        ]
        found.sort(key=lambda connection: (connection.use, connection.last_active_s))
        closed = found[: max(1, int(CLOSED_AT_ONCE_SHARE * self._max_connections))]
        self._log(
            "warning",
            "connections_full",
            connections=len(self._admitted),
            in_group=sizes[largest],
            closed=len(closed),
        )
        for connection in closed:
            self.discard(connection)
            connection.abort()
        return bool(closed)

    def update(self, connection):
        """Record what a connection holds, and make room if that is too much.

        Parameters
        ----------
        connection : object
            The connection; it may be given up before this method returns.
        """
        self._measure(connection)
        if self._total_bytes > self._max_bytes and not self._is_making_room:
            # A refusal that is written makes the connection call this again.
            self._is_making_room = True
            try:
                self._make_room()
            finally:
                self._is_making_room = False

    def add_source(self, connections):
        """Include further connections in the limit on what is received at once.

        Parameters
        ----------
        connections : callable
            ``connections()`` returns those that are open now. They have the method
            ``set_throttled``, and what they receive is passed to `on_received`.
        """
        self._sources.append(connections)

    def on_received(self, size_bytes):
        """Count bytes that have been received, and stop reading after too many.

        Parameters
        ----------
        size_bytes : int
            Number of the bytes.
        """
        self._received_bytes += size_bytes
        if self._received_bytes > READ_AT_ONCE_SHARE * self._max_bytes:
            self._received_bytes = 0
            throttled = list(self._admitted)
            for connections in self._sources:
                throttled += connections()
            for connection in throttled:
                connection.set_throttled(True)
            asyncio.get_running_loop().call_soon(_resume, throttled)

    def discard(self, connection):
        """Forget a connection that has ended."""
        self._admitted.discard(connection)
        self._total_bytes -= self._held_bytes.pop(connection, 0)

    def _measure(self, connection):
        held_bytes = connection.held_bytes()
        self._total_bytes += held_bytes - self._held_bytes.get(connection, 0)
        self._held_bytes[connection] = held_bytes

    def _make_room(self):
        """Give up connections, those that hold most first, until there is room."""
        for connection in list(self._held_bytes):
            self._measure(connection)
        in_order = sorted(
            self._held_bytes,
            key=lambda held: (held.awaits_endpoint, -self._held_bytes[held]),
        )
        for connection in in_order:
            if self._total_bytes <= LOW_WATER_SHARE * self._max_bytes:
                return
            self._log(
                "warning",
                "connection_given_up",
                held_bytes=self._held_bytes[connection],
                total_bytes=self._total_bytes,
                max_bytes=self._max_bytes,
                connections=len(self._held_bytes),
            )
            # It counts as a connection until it has ended.
            self._total_bytes -= self._held_bytes.pop(connection)
            connection.give_up()


def _resume(throttled):
    """Read connections again."""
    for connection in throttled:
        connection.set_throttled(False)
