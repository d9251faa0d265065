"""Pool of HTTP/1.1 connections with a limited number of connections to each process.

A faulty endpoint may send a late, second response to an earlier request in place of the
next response. A request that must run at most once can't be sent again, so the
connection skips responses to other requests, told apart by their ids, and waits for the
right one. Common HTTP client libraries don't do so, which is why this module exists.
"""

import asyncio
from collections import deque

import httptools

from gypsumusher_http.errors import CallError, TunnelRefusedError
from gypsumusher_http.tunnels import (
    enable_tcp_keepalive,
    is_end_by_reset,
    open_tunnel,
)

__all__ = ["RESPONSE_MAX_BYTES", "ConnectionPool", "Response"]

# Time for which an idle connection is reused when the endpoint announces no time-out.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# Subtracted from a time-out that the endpoint announces. That time-out is in whole
# seconds from the endpoint's last byte, and a new request must arrive before its end.
IDLE_TIMEOUT_MARGIN_S = 0.6
# Responses to other requests that are skipped before the expected one. One is the usual
# fault; with more, the connection counts as unreliable and is closed.
MAX_SKIPPED_RESPONSES = 2
# Connections to one process that a host may always have, also when its share of the
# process's limit is lower.
MIN_CONNECTIONS = 4
# RFC 9110, section 15.
VALID_STATUSES = range(100, 600)
_STATUSES_WITHOUT_BODY = (204, 304)
# Largest body of one response. A host has 128 MB for all requests together.
RESPONSE_MAX_BYTES = 8 * 1024 * 1024
# Largest head of a response, and limit on all bytes beside its body: interim responses,
# sizes of chunks and trailers. Each byte of the body allows for some more, since it may
# come in a chunk of its own.
HEAD_MAX_BYTES, FRAMING_BYTES_PER_BODY_BYTE = 64 * 1024, 16
# Bytes of a body that wait to be read above which the connection isn't read.
UNREAD_MAX_BYTES = 256 * 1024
# Smallest body that is written apart from its head instead of copied behind it.
SEPARATE_BODY_BYTES = 64 * 1024


class Response:
    """The response to one request, available while it arrives.

    Parameters
    ----------
    connection : _Connection
        Connection on which the request was sent.
    request_id : str or None
        Id that the response must carry; with None, it must carry none.
    max_body_bytes : int
        Largest body, in bytes; a longer one fails the response as garbled.
    hold : callable or None
        ``hold(size_bytes)`` is called with the size of what arrives of the body.

    Attributes
    ----------
    ends_with_connection : bool
        Whether the response has neither a length nor chunks, so that the end of its
        connection ends it.
    """

    def __init__(self, connection, request_id, max_body_bytes, hold=None):
        self.request_id = request_id
        self.max_body_bytes = max_body_bytes
        self.is_complete = False
        self.ends_with_connection = False
        self._connection = connection
        # Name of the host through which the request was sent, None if directly.
        self.relay = connection.relay
        self._head = asyncio.get_running_loop().create_future()
        # Retrieves the exception, since no task may await the head when the connection
        # fails; asyncio would log it as never retrieved.
        self._head.add_done_callback(lambda future: future.exception())
        self._chunks = deque()
        self._unread_bytes = 0
        self._hold = hold
        self._error = None
        self._waiter = None

    async def head(self):
        """Wait for the head of the response and return it.

        Raises
        ------
        CallError
            When the connection fails before the head has arrived.
        """
        return await asyncio.shield(self._head)

    def add_head_callback(self, callback):
        """Call back once the head has arrived, or the connection was lost before.

        Parameters
        ----------
        callback : callable
            ``callback(head)``, with None for a lost connection. It isn't called after
            `close`.
        """
        self._head.add_done_callback(
            lambda head: callback(None if head.exception() else head.result())
        )

    async def read(self):
        """Return the next bytes of the body; empty bytes at the end of the body.

        Raises
        ------
        CallError
            When the connection fails before the end of the body.
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
        if self._unread_bytes > UNREAD_MAX_BYTES:
            self._connection.resume_reading()
        self._unread_bytes = 0
        return data

    async def body(self):
        """Read and return the whole body; raise the errors of `read`."""
        chunks = []
        try:
            while True:
                chunks.append(await self.read())
                if not chunks[-1]:
                    return b"".join(chunks)
        finally:
            # The traceback of an error would keep them as long as the error is kept.
            chunks.clear()

    def limit_body(self, max_body_bytes):
        """Lower the largest body; a longer one fails the response as garbled.

        Parameters
        ----------
        max_body_bytes : int
            Largest body, in bytes.
        """
        self.max_body_bytes = min(self.max_body_bytes, max_body_bytes)

    def close(self):
        """Release the connection; abort it if the response is incomplete."""
        self._connection.end_request(self)

    def on_head(self, head):
        """Set the head and wake the tasks that wait for it."""
        if not self._head.done():
            self._head.set_result(head)

    def on_data(self, data):
        """Append a chunk of the body."""
        self._chunks.append(data)
        self._unread_bytes += len(data)
        if self._unread_bytes > UNREAD_MAX_BYTES:
            self._connection.pause_reading()
        if self._hold is not None:
            self._hold(len(data))
        self._wake()

    def on_complete(self):
        """Mark the response as complete."""
        self.is_complete = True
        self._wake()

    def on_failed(self, error):
        """Fail all current and later waits with the first error."""
        if self._error is not None:
            return
        self._error = error
        if not self._head.done():
            self._head.set_exception(error)
        self._wake()

    def _wake(self):
        """Wake the task that waits in `read`."""
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class _Connection(asyncio.Protocol):
    """A client connection that carries one request at a time."""

    def __init__(self, pool, key, address, relay=None):
        self.key = key
        self.address = address
        # Name of the host through which the connection goes; None for a direct one.
        self.relay = relay
        self.idle_since_s = 0.0
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self._pool = pool
        self._transport = None
        self._parser = None
        self._response = None
        self._headers = []
        self._header_bytes = 0
        # Bytes received since the request was sent, and those of bodies among them.
        self._received_bytes = self._body_bytes = 0
        self._skipped_responses = 0
        self._is_skipping_response = False
        # Whether a request without an id was sent on this connection.
        self._has_sent_without_id = False
        self._ends_at_eof = False
        self._is_reset = False
        self._is_unusable = False
        # Why the connection isn't read: its response waits to be read, or all
        # connections have received much at once.
        self._is_unread = self._is_throttled = False

    @property
    def is_open(self):
        """Whether the connection can carry another request."""
        return (
            self._transport is not None
            and not self._is_unusable
            and not self._transport.is_closing()
        )

    def send(
        self, data, request_id, max_body_bytes=RESPONSE_MAX_BYTES, hold=None, body=b""
    ):
        """Write a request; return the `Response` to it.

        Parameters
        ----------
        data : bytes
            The encoded request, or its head alone.
        request_id : str or None
            Id that the response must carry, new on this connection; with None, the
            response must carry none.
        max_body_bytes : int
            Largest body of the response, in bytes.
        hold : callable or None
            See `Response`.
        body : bytes
            What is sent behind `data`, without a copy of a large one.

        Raises
        ------
        CallError
            When the connection was lost before; nothing was sent then.
        """
        if self._transport is None:
            raise CallError("connect", self.address, "connect", False)
        if request_id is None:
            self._has_sent_without_id = True
        self._response = Response(self, request_id, max_body_bytes, hold)
        self._received_bytes = self._body_bytes = 0
        self._skipped_responses = 0
        self._is_skipping_response = False
        if len(body) < SEPARATE_BODY_BYTES:
            self._transport.write(data + body)
        else:
            self._transport.write(data)
            self._transport.write(body)
        return self._response

    def end_request(self, response):
        """Return to the pool; abort if the request or the response is incomplete."""
        if response is not self._response:
            return
        self._response = None
        is_sent = self._transport is not None and (
            self._transport.get_write_buffer_size() == 0
        )
        if response.is_complete and is_sent and self.is_open:
            self.resume_reading()
            self._pool.release(self)
            return
        self.abort()

    def abort(self):
        """Close at once and discard unread data."""
        self._is_unusable = True
        if self._transport is not None:
            self._transport.abort()

    def pause_reading(self):
        """Stop to read until the response's body has been taken."""
        self._is_unread = True
        self._pause_or_resume()

    def resume_reading(self):
        """Read on."""
        self._is_unread = False
        self._pause_or_resume()

    def set_throttled(self, is_throttled):
        """Set whether the connection isn't read for the moment."""
        self._is_throttled = is_throttled
        self._pause_or_resume()

    def _pause_or_resume(self):
        if self._transport is None or self._transport.is_closing():
            return
        if self._is_unread or self._is_throttled:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    # Called by the transport

    def connection_made(self, transport):
        self._transport = transport
        self._parser = httptools.HttpResponseParser(self)
        sock = transport.get_extra_info("socket")
        if sock is not None:
            enable_tcp_keepalive(sock)

    def data_received(self, data):
        self._pool.on_received(len(data))
        if self._response is None or self._response.is_complete:
            # Data after a complete response belongs to no request.
            self.abort()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._fail_as_garbled()
            return
        if self._is_over_limits():
            self._fail_as_garbled()

    def eof_received(self):
        """Distinguish a reset from a regular end of the connection.

        When an endpoint crashes within a response whose end is the end of the
        connection, the event loop reports the reset as a regular end, and the caller
        would take half a response for a whole one.
        """
        if is_end_by_reset(self._transport):
            self._ends_at_eof = False
            self._is_reset = True

    def connection_lost(self, error):
        self._transport = None
        # It refers back to the connection, and would keep both until the next garbage
        # collection.
        self._parser = None
        self._is_reset = self._is_reset or error is not None
        self._pool.discard(self)
        if self._response is None or self._response.is_complete:
            return
        if error is None and self._ends_at_eof and not self._is_skipping_response:
            self._response.on_complete()
            return
        self._fail("broken")

    # Called by the parser

    def on_message_begin(self):
        self._headers = []
        self._header_bytes = 0
        if self._response is not None and self._response.is_complete:
            self._is_unusable = True

    def on_header(self, name, value):
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > HEAD_MAX_BYTES:
            raise ValueError("head of a response is too large")
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        if self._is_unusable:
            return
        status = self._parser.get_status_code()
        if status not in VALID_STATUSES:
            raise ValueError(f"status {status:03} doesn't exist")
        if status < 200:
            self._is_skipping_response = True
            return
        head = self._pool.decode_head(status, self._headers)
        if self._pool.on_head is not None:
            self._pool.on_head(self, head)
        self._is_skipping_response = self._is_for_other_request(head)
        if self._is_skipping_response:
            self._skipped_responses += 1
            if self._skipped_responses > MAX_SKIPPED_RESPONSES:
                self._is_unusable = True
                self._fail("garbled")
            return
        self._read_framing(status)
        self._response.on_head(head)

    def on_body(self, data):
        self._body_bytes += len(data)
        if self._is_skipping_response or self._is_unusable:
            return
        self._response.on_data(data)

    def on_message_complete(self):
        if self._is_unusable:
            return
        if self._is_skipping_response:
            self._is_skipping_response = False
            return
        if not self._parser.should_keep_alive():
            self._is_unusable = True
        if not self._ends_at_eof:
            self._response.on_complete()

    def _is_for_other_request(self, head):
        """Return whether a response is a late one to another request.

        Without an id, it may be one to a request that has none. While no such request
        has been sent on the connection, it can only be the one that is waited for.
        """
        expected, found = self._response.request_id, head.request_id or None
        if found is None and expected is not None:
            return self._has_sent_without_id
        return found != expected

    def _is_over_limits(self):
        """Return whether the endpoint has sent more than a response may have."""
        framing_bytes = self._received_bytes - self._body_bytes
        allowed_bytes = HEAD_MAX_BYTES + FRAMING_BYTES_PER_BODY_BYTE * self._body_bytes
        max_body_bytes = RESPONSE_MAX_BYTES
        if self._response is not None:
            max_body_bytes = self._response.max_body_bytes
        return framing_bytes > allowed_bytes or self._body_bytes > max_body_bytes

    def _fail_as_garbled(self):
        """Close the connection, since what comes on it is no response."""
        self._is_unusable = True
        if self._response is not None and not self._response.is_complete:
            self._fail("garbled")
        self.abort()

    def _read_framing(self, status):
        """Read from the headers how the body ends, and the announced idle time-out."""
        has_length = status in _STATUSES_WITHOUT_BODY
        for name, value in self._headers:
            key = name.lower()
            if key in ("content-length", "transfer-encoding"):
                has_length = True
            elif key == "keep-alive":
                self.idle_timeout_s = _parse_idle_timeout_s(value)
        self._ends_at_eof = not has_length
        self._response.ends_with_connection = self._ends_at_eof
        if self._ends_at_eof:
            self._is_unusable = False

    def _fail(self, reason):
        """Fail the current response; the endpoint may have run the request."""
        error = CallError("run", self.address, reason, True, self._is_reset)
        self._response.on_failed(error)


class ConnectionPool:
    """Pool of this host's connections to other processes.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    decode_head : callable
        ``decode_head(status, headers)`` returns the decoded head of a response. The
        head has an attribute ``request_id``, which is None for a response without id.
    connect_timeout_s : float
        Longest time to open a connection, in seconds.
    on_head : callable or None
        ``on_head(connection, head)`` is called with the head of each response, also of
        those to requests that nobody waits for any more.
    """

    def __init__(self, clock, decode_head, connect_timeout_s, on_head=None):
        self._clock = clock
        self.decode_head = decode_head
        self.on_head = on_head
        self._connect_timeout_s = connect_timeout_s
        self._idle = {}
        self._open = {}
        self.opened_count = 0
        self._budget = None

    def set_budget(self, budget):
        """Count what is received, and stop reading after too much at once.

        Parameters
        ----------
        budget : ConnectionBudget
            Limit on what all connections receive at once.
        """
        self._budget = budget
        budget.add_source(self._open_connections)

    def on_received(self, size_bytes):
        """Count bytes that a connection has received."""
        if self._budget is not None:
            self._budget.on_received(size_bytes)

    async def acquire(self, key, address, max_connections):
        """Return an idle or a new connection to a process.

        Parameters
        ----------
        key : hashable
            Key of the process; a later process at the same address has another key, so
            that it never gets a connection to its predecessor.
        address : str
            ``ip:port`` of the process.
        max_connections : int
            Limit on this host's connections to the process; at least
            ``MIN_CONNECTIONS`` are allowed.

        Returns
        -------
        _Connection

        Raises
        ------
        CallError
            When the limit is reached or the connection can't be opened. No request has
            been sent then.
        """
        connection = self.take_idle(key)
        if connection is not None:
            return connection
        self.check_limit(key, address, max_connections)
        return await self.connect(key, address)

    def take_idle(self, key, may_reuse=None):
        """Return an idle connection to a process, or None.

        Parameters
        ----------
        key : hashable
            Key of the process.
        may_reuse : callable or None
            ``may_reuse(connection)`` returns whether a connection may be used; others
            are closed.
        """
        idle = self._idle.get(key, [])
        while idle:
            connection = idle.pop()
            if not connection.is_open:
                continue
            is_refused = may_reuse is not None and not may_reuse(connection)
            if is_refused or self._has_expired(connection):
                # At once, so that it doesn't count against the limit any more.
                self.discard(connection)
                connection.abort()
                continue
            return connection
        return None

    def _open_connections(self):
        """Return all connections, also those that are being opened."""
        return [
            connection
            for connections in self._open.values()
            for connection in connections
        ]

    def check_limit(self, key, address, max_connections):
        """Raise CallError if this host has no connection to a process left to open."""
        if len(self._open.get(key, ())) >= max(MIN_CONNECTIONS, max_connections):
            raise CallError("connect", address, "no_connection", False)

    def close_idle(self, is_unwanted):
        """Close the idle connections for which ``is_unwanted(connection)`` is true."""
        for connections in list(self._idle.values()):
            for connection in list(connections):
                if is_unwanted(connection):
                    connections.remove(connection)
                    connection.abort()

    def release(self, connection):
        """Make a connection available again after a complete response."""
        connection.idle_since_s = self._clock()
        self._idle.setdefault(connection.key, []).append(connection)

    def discard(self, connection):
        """Remove a closed connection from the pool."""
        for connections_by_key in (self._idle, self._open):
            connections = connections_by_key.get(connection.key)
            if connections is None:
                continue
            if connection in connections:
                connections.remove(connection)
            if not connections:
                del connections_by_key[connection.key]

    def close_expired(self):
        """Close connections that have been idle for longer than their time-out."""
        self.close_idle(self._has_expired)

    def close(self):
        """Close all connections at once."""
        for connections in list(self._open.values()):
            for connection in list(connections):
                connection.abort()

    def _has_expired(self, connection):
        """Return whether a connection has been idle for longer than its time-out."""
        return self._clock() - connection.idle_since_s > connection.idle_timeout_s

    async def connect(self, key, address, relay=None, timeout_s=None):
        """Open a connection to a process.

        Parameters
        ----------
        key : hashable
            Key of the process.
        address : str
            ``ip:port`` of the process.
        relay : tuple of (str, str) or None
            Name and address of the host through which the connection goes; None opens
            it directly.
        timeout_s : float or None
            Longest time to open it, in seconds; by default that of the pool.

        Returns
        -------
        _Connection

        Raises
        ------
        CallError
            When it can't be opened in time.
        """
        name, relay_address = (None, None) if relay is None else relay
        connection = _Connection(self, key, address, name)
        self._open.setdefault(key, []).append(connection)
        self.opened_count += 1
        try:
            async with asyncio.timeout(timeout_s or self._connect_timeout_s):
                if relay is not None:
                    await open_tunnel(connection, relay_address, address)
                    return connection
                ip, _, port = address.rpartition(":")
                loop = asyncio.get_running_loop()
                await loop.create_connection(lambda: connection, ip, int(port))
        except (OSError, TimeoutError, TunnelRefusedError) as error:
            self.discard(connection)
            raise CallError("connect", address, "connect", False) from error
        except asyncio.CancelledError:
            self.discard(connection)
            connection.abort()
            raise
        return connection


def _parse_idle_timeout_s(value):
    """Return the time in seconds for which an idle connection may be reused.

    ``value`` is the content of a Keep-Alive header.
    """
    for token in value.split(","):
        name, _, number = token.strip().partition("=")
        if name.lower() == "timeout" and number.isdigit():
            return max(0.0, int(number) - IDLE_TIMEOUT_MARGIN_S)
    return DEFAULT_IDLE_TIMEOUT_S
