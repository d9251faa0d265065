"""Connections of clients within common limits on their memory and number."""

import functools

from sanic.http.constants import Stage
from sanic.server.protocols.http_protocol import HttpProtocol

from gypsumusher_http import IN_USE, UNREAD, UNUSED

__all__ = ["LimitedProtocol", "limited_protocol"]

# Memory of a connection beside what was received and isn't sent yet, and copies of a
# body while its request is handled.
CONNECTION_BYTES, BODY_COPIES = 16 * 1024, 2


class LimitedProtocol(HttpProtocol):
    """Connection of a client that counts in a `ConnectionBudget`.

    Parameters
    ----------
    budget : ConnectionBudget
        Common to all connections.
    **options
        Options of the library's protocol.
    """

    __slots__ = ("_budget", "_received_bytes")
    group = "clients"

    def __init__(self, *, budget, **options):
        super().__init__(**options)
        self._budget = budget
        self._received_bytes = 0

    @property
    def use(self):
        """What the connection is used for; see `ConnectionBudget`."""
        if self._stage in (Stage.HANDLER, Stage.RESPONSE):
            return IN_USE
        return UNREAD if self._unsent_bytes else UNUSED

    @property
    def awaits_endpoint(self):
        """Whether an endpoint may be running the request, without a response so far."""
        return self._stage is Stage.HANDLER

    @property
    def last_active_s(self):
        """When bytes were last received or sent, in seconds."""
        return self._time

    @property
    def _stage(self):
        # The library sets its attribute only once the connection's task runs.
        http = getattr(self, "_http", None)
        return Stage.IDLE if http is None else http.stage

    @property
    def _unsent_bytes(self):
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size()

    def held_bytes(self):
        """Return the memory that the connection takes, in bytes."""
        received_bytes = BODY_COPIES * self._received_bytes
        return CONNECTION_BYTES + received_bytes + self._unsent_bytes

    def give_up(self):
        """Close the connection at once."""
        self.abort()

    def set_throttled(self, is_throttled):
        """Reading isn't throttled: the library pauses it by itself."""

    def connection_made(self, transport):
        """Take the connection in, unless all others are in use."""
        super().connection_made(transport)
        if not self._budget.admit(self):
            transport.abort()

    def data_received(self, data):
        """Count what is received until the request has ended."""
        if self._stage is Stage.IDLE:
            self._received_bytes = 0
        self._received_bytes += len(data)
        super().data_received(data)
        if self.transport is not None and not self.transport.is_closing():
            self._budget.update(self)

    async def send(self, data):
        """Write a part of a response, and count what isn't sent at once."""
        await super().send(data)
        if self.transport is not None and not self.transport.is_closing():
            self._budget.update(self)

    def connection_lost(self, error):
        """Forget the connection."""
        self._budget.discard(self)
        super().connection_lost(error)


def limited_protocol(budget):
    """Return what creates a connection, for sanic's ``protocol``."""
    return functools.partial(LimitedProtocol, budget=budget)
