"""Limit on what the connections of all clients hold together."""

__all__ = ["ConnectionBudget"]

# Limit where no other is given.
DEFAULT_MAX_BYTES = 64 * 1024 * 1024
# Share of the limit down to which connections are closed once it is exceeded, so that
# not every further byte leads to another look at all connections.
LOW_WATER_SHARE = 7 / 8


class ConnectionBudget:
    """Closes the connections that hold most when all together hold too much.

    A limit on each connection alone doesn't bound a process's memory, since there are
    many. Those that hold most are closed first, so that a client with an ordinary
    request doesn't pay for others.

    Parameters
    ----------
    log : callable
        ``log(level, event, **fields)``.
    max_bytes : int
        Most bytes that all connections may hold.

    Notes
    -----
    A connection is any object with two methods: ``held_bytes()`` returns what it holds
    now, and ``give_up()`` refuses its request or closes it. It calls `update` when it
    holds more than before.
    """

    def __init__(self, log, max_bytes=DEFAULT_MAX_BYTES):
        self._log = log
        self._max_bytes = max_bytes
        # Bytes that each connection held at its last update, and their sum. What has
        # been sent since isn't subtracted, so that the sum may be too large.
        self._held_bytes = {}
        self._total_bytes = 0

    def update(self, connection):
        """Record what a connection holds, and make room if that is too much.

        Parameters
        ----------
        connection : object
            The connection; it may be given up before this method returns.
        """
        self._measure(connection)
        if self._total_bytes > self._max_bytes:
            self._make_room()

    def discard(self, connection):
        """Forget a connection that has ended."""
        self._total_bytes -= self._held_bytes.pop(connection, 0)

    def _measure(self, connection):
        held_bytes = connection.held_bytes()
        self._total_bytes += held_bytes - self._held_bytes.get(connection, 0)
        self._held_bytes[connection] = held_bytes

    def _make_room(self):
        """Give up connections, those that hold most first, until there is room."""
        for connection in list(self._held_bytes):
            self._measure(connection)
        by_size = sorted(self._held_bytes, key=self._held_bytes.get, reverse=True)
        for connection in by_size:
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
            self.discard(connection)
            connection.give_up()
