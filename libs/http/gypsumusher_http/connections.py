"""Connections to other processes: kept, bounded in number, one request at a time.

An endpoint may send an old answer where the next one is due, and only reading past it,
to the answer that bears the request's id, serves a request that must not be sent again.
No client library that we know of does so.
"""

import asyncio
import socket
from collections import deque

import httptools

from gypsumusher_http.errors import CallError

__all__ = ["Response", "ConnectionPool"]

# Without an announced limit an idle connection is used for this long, in seconds.
IDLE_LIMIT_S = 4.0
# An announced limit is in whole seconds and counts from the other side's last byte; the
# request has to arrive before it.
IDLE_MARGIN_S = 0.6
# Answers of other requests that are read past on one connection. One is the usual
# fault; more means that the connection can't be trusted.
MAX_STRANGE_ANSWERS = 2
# TCP probes on idle connections, in seconds: a connection that has gone silent without
# a reset is closed before a request is lost on it.
PROBE_IDLE_S, PROBE_INTERVAL_S, PROBE_COUNT = 1, 1, 2
# Connections to one process that a host may have in any case.
MIN_CONNECTIONS = 4
_NO_BODY_STATUS = (204, 304)


class Response:
    """One answer as it comes in.

    Parameters
    ----------
    connection : _Connection
        Where it comes from.
    request_id : str or None
        Id that it must bear; None takes any.
    """

    def __init__(self, connection, request_id):
        self.request_id = request_id
        self.is_complete = False
        self._connection = connection
        self._head = asyncio.get_running_loop().create_future()
        # Nobody may be waiting any more when a broken connection is noticed.
        self._head.add_done_callback(lambda future: future.exception())
        self._chunks = deque()
        self._error = None
        self._waiter = None

    async def head(self):
        """Return the answer's head.

        Raises
        ------
        CallError
            When the connection breaks before it.
        """
        return await asyncio.shield(self._head)

    async def read(self):
        """Return the next bytes of the body; empty at its complete end.

        Raises
        ------
        CallError
            When the answer ends before its end.
        """
        while not self._chunks:
            if self.is_complete:
                return b""
            if self._error is not None:
                raise self._error
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        data = b"".join(self._chunks)
        self._chunks.clear()
        return data

    async def body(self):
        """Return the whole body; raises as `read`."""
        pieces = []
        while True:
            data = await self.read()
            if not data:
                return b"".join(pieces)
            pieces.append(data)

    def close(self):
        """Keep the connection when the answer is complete, and drop it otherwise."""
        self._connection.end_use(self)

    def on_head(self, head):
        """Take in the head."""
        if not self._head.done():
            self._head.set_result(head)

    def on_data(self, data):
        """Take in a piece of the body."""
        self._chunks.append(data)
        self._wake()

    def on_complete(self):
        """Note that the answer is whole."""
        self.is_complete = True
        self._wake()

    def on_failed(self, error):
        """Note that no more will come."""
        self._error = error
        if not self._head.done():
            self._head.set_exception(error)
        self._wake()

    def _wake(self):
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class _Connection(asyncio.Protocol):
    """One connection; one request at a time."""

    def __init__(self, pool, key, address):
        self.key = key
        self.address = address
        self.idle_since_s = 0.0
        self.idle_limit_s = IDLE_LIMIT_S
        self._pool = pool
        self._transport = None
        self._parser = None
        self._answer = None
        self._headers = []
        self._strange_answers = 0
        self._is_skipping = False
        self._ends_with_connection = False
        self._is_spoilt = False

    @property
    def is_open(self):
        """Whether it can carry another request."""
        return (
            self._transport is not None
            and not self._is_spoilt
            and not self._transport.is_closing()
        )

    def send(self, data, request_id):
        """Write a request; return its answer."""
        self._answer = Response(self, request_id)
        self._strange_answers = 0
        self._is_skipping = False
        self._transport.write(data)
        return self._answer

    def end_use(self, answer):
        """Return to the pool, or close when the answer isn't whole."""
        if answer is not self._answer:
            return
        self._answer = None
        is_sent = self._transport is not None and (
            self._transport.get_write_buffer_size() == 0
        )
        if answer.is_complete and is_sent and self.is_open:
            self._pool.release(self)
            return
        self.abort()

    def abort(self):
        """Close at once: what was not read is of no use to anybody."""
        self._is_spoilt = True
        if self._transport is not None:
            self._transport.abort()

    # Called by the transport

    def connection_made(self, transport):
        self._transport = transport
        self._parser = httptools.HttpResponseParser(self)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            _set_probes(sock)

    def data_received(self, data):
        if self._answer is None or self._answer.is_complete:
            # Bytes behind a complete answer belong to no request.
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._is_spoilt = True
            if self._answer is not None and not self._answer.is_complete:
                self._fail("garbled")
            self.abort()

    def eof_received(self):
        """Tell a reset from an end, for answers that end with their connection.

        Failure guarded against: an endpoint crashes in the middle of an answer without
        a length. The reset shows to the loop as a plain end, and the caller would get
        half an answer as a whole one. The socket still knows of the reset.
        """
        sock = self._transport.get_extra_info("socket")
        if sock is not None and sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
            self._ends_with_connection = False

    def connection_lost(self, error):
        self._transport = None
        self._pool.discard(self)
        if self._answer is None or self._answer.is_complete:
            return
        if error is None and self._ends_with_connection and not self._is_skipping:
            self._answer.on_complete()
            return
        self._fail("broken")

    # Called by the parser

    def on_message_begin(self):
        self._headers = []
        if self._answer is not None and self._answer.is_complete:
            self._is_spoilt = True

    def on_header(self, name, value):
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        if self._is_spoilt:
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._is_skipping = True
            return
        head = self._pool.decode_head(status, self._headers)
        self._is_skipping = self._is_strange(head)
        if self._is_skipping:
            self._strange_answers += 1
            if self._strange_answers > MAX_STRANGE_ANSWERS:
                self._is_spoilt = True
                self._fail("garbled")
            return
        self._note_framing(status)
        self._answer.on_head(head)

    def on_body(self, data):
        if self._is_skipping or self._is_spoilt:
            return
        self._answer.on_data(data)

    def on_message_complete(self):
        if self._is_spoilt:
            return
        if self._is_skipping:
            self._is_skipping = False
            return
        if not self._parser.should_keep_alive():
            self._is_spoilt = True
        if not self._ends_with_connection:
            self._answer.on_complete()

    def _is_strange(self, head):
        """Say whether an answer is another request's."""
        expected = self._answer.request_id
        if expected is None or head.request_id is None:
            return False
        return head.request_id != expected

    def _note_framing(self, status):
        """Note how the body ends, and for how long the connection may idle."""
        has_length = status in _NO_BODY_STATUS
        for name, value in self._headers:
            key = name.lower()
            if key in ("content-length", "transfer-encoding"):
                has_length = True
            elif key == "keep-alive":
                self.idle_limit_s = _announced_limit_s(value)
        self._ends_with_connection = not has_length
        if self._ends_with_connection:
            self._is_spoilt = False

    def _fail(self, reason):
        error = CallError("run", self.address, reason, True)
        self._answer.on_failed(error)


class ConnectionPool:
    """The connections of this host to other processes.

    Parameters
    ----------
    clock : callable
        Steady clock in seconds.
    decode_head : callable
        ``decode_head(status, headers)`` returns the typed head of an answer; it has a
        ``request_id``, None where answers bear none.
    connect_timeout_s : float
        Longest time to open a connection, in seconds.
    """

    def __init__(self, clock, decode_head, connect_timeout_s):
        self._clock = clock
        self.decode_head = decode_head
        self._connect_timeout_s = connect_timeout_s
        self._idle = {}
        self._open = {}
        self.opened_count = 0

    async def acquire(self, key, address, max_connections, requires_new=False):
        """Return a connection to one process.

        Parameters
        ----------
        key : hashable
            The process; one that comes later at the same address has another key.
        address : str
            Its ``ip:port``.
        max_connections : int
            Connections that this host may have there.
        requires_new : bool
            Whether a kept connection won't do.

        Raises
        ------
        CallError
            When none can be had; nothing was sent then.
        """
        idle = self._idle.get(key, [])
        now_s = self._clock()
        while idle and not requires_new:
            connection = idle.pop()
            if not connection.is_open:
                continue
            if now_s - connection.idle_since_s > connection.idle_limit_s:
                connection.abort()
                continue
            return connection
        if len(self._open.get(key, ())) >= max(MIN_CONNECTIONS, max_connections):
            raise CallError("connect", address, "no_connection", False)
        return await self._connect(key, address)

    def release(self, connection):
        """Take back a connection whose answer was whole."""
        connection.idle_since_s = self._clock()
        self._idle.setdefault(connection.key, []).append(connection)

    def discard(self, connection):
        """Drop a connection that is closed."""
        for table in (self._idle, self._open):
            kept = table.get(connection.key)
            if kept is None:
                continue
            if connection in kept:
                kept.remove(connection)
            if not kept:
                del table[connection.key]

    def close_expired(self):
        """Close what has been idle too long."""
        now_s = self._clock()
        for kept in list(self._idle.values()):
            for connection in list(kept):
                if now_s - connection.idle_since_s > connection.idle_limit_s:
                    kept.remove(connection)
                    connection.abort()

    def close(self):
        """Close all connections at once."""
        for kept in list(self._open.values()):
            for connection in list(kept):
                connection.abort()

    async def _connect(self, key, address):
        ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        connection = _Connection(self, key, address)
        self._open.setdefault(key, []).append(connection)
        self.opened_count += 1
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                await loop.create_connection(lambda: connection, ip, int(port))
        except (OSError, TimeoutError) as error:
            self.discard(connection)
            raise CallError("connect", address, "connect", False) from error
        except asyncio.CancelledError:
            self.discard(connection)
            connection.abort()
            raise
        return connection


def _announced_limit_s(value):
    """Return for how long an idle connection is used, from a Keep-Alive header."""
    for token in value.split(","):
        name, _, number = token.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return max(0.0, int(number) - IDLE_MARGIN_S)
    return IDLE_LIMIT_S


def _set_probes(sock):
    """Have the system probe a connection that is idle."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)
    except OSError:
        # A transport without these options still works; silence then shows later.
        return
