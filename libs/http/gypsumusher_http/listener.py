"""Listeners: HTTP/1.1 connections, one request after the other.

sanic takes ``Content-Length : 5`` for no length and the body behind it for another
request, which would run a request that no caller sent (`test_listener.py` shows both).
llhttp, by way of httptools, refuses such a header.
"""

import asyncio
from collections import deque

import httptools

from gypsumusher_ports import Refusal

__all__ = ["Listener", "Reply"]

# Requests that a caller may send ahead on one connection. Reading stops behind them,
# and with it the notice of the caller's leaving, so it is more than clients use.
MAX_AHEAD = 16
# Idle connections are looked through this often, in seconds.
SWEEP_S = 1.0
# Idle connections are kept for longer than callers use them, in seconds: one that
# closes just as the caller sends costs it a try.
IDLE_MARGIN_S = 1.0
# Used until a configuration says more.
FIRST_IDLE_S, FIRST_HEADER_S = 15.0, 3.0
FIRST_HEADER_BYTES, FIRST_BODY_BYTES = 16 * 1024, 4 * 1024 * 1024
BACKLOG = 1024
WRITE_HIGH_BYTES = 256 * 1024
_REASONS = {
    200: b"OK",
    204: b"No Content",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    413: b"Content Too Large",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class Reply:
    """The answer to one request, written piece by piece.

    Parameters
    ----------
    connection : _Connection
        Where it goes.
    keeps_alive : bool
        Whether the caller wants to use the connection again.
    is_head : bool
        Whether the answer has no body, whatever its length.
    """

    def __init__(self, connection, keeps_alive, is_head):
        self.is_started = False
        self.is_ended = False
        self._connection = connection
        self._keeps_alive = keeps_alive
        self._is_head = is_head
        self._is_chunked = False

    def send(self, status, headers, body):
        """Write a whole answer.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : iterable of (str, str)
            Headers other than those of the framing.
        body : bytes
            The body.
        """
        head = self._head(status, headers, f"Content-Length: {len(body)}")
        self._connection.write(head if self._is_head else head + body)
        self.is_started = self.is_ended = True

    def start(self, status, headers):
        """Write the head of an answer whose body comes in pieces."""
        self._is_chunked = True
        head = self._head(status, headers, "Transfer-Encoding: chunked")
        self._connection.write(head)
        self.is_started = True

    def write(self, data):
        """Write a piece of the body."""
        if data and not self._is_head:
            self._connection.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def drain(self):
        """Wait until the caller has taken most of what was written."""
        await self._connection.drain()

    def end(self):
        """Write the end of the body; only after all of it was written."""
        if self._is_chunked and not self._is_head:
            self._connection.write(b"0\r\n\r\n")
        self.is_ended = True

    def abort(self):
        """Break the connection off, so that an answer can't look complete."""
        self._connection.abort()

    @property
    def keeps_alive(self):
        """Whether the connection stays open after this answer."""
        return self._keeps_alive and not self._connection.is_closing_soon

    def _head(self, status, headers, framing):
        self._keeps_alive = self.keeps_alive
        reason = _REASONS.get(status, b"-").decode()
        lines = [f"HTTP/1.1 {status} {reason}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(framing)
        if not self._keeps_alive:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class _Connection(asyncio.Protocol):
    """One connection of a caller."""

    def __init__(self, listener):
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._transport = None
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()
        self._ahead = deque()
        self._task = None
        self._is_reading = False
        self._is_refused = False
        self._can_write = asyncio.Event()
        self._can_write.set()
        self.active_s = listener.clock()

    @property
    def is_idle(self):
        """Whether nothing of a request is under way."""
        return self._task is None and not self._is_reading and not self._ahead

    @property
    def is_reading(self):
        """Whether a request has begun to come in, and has not come in whole."""
        return self._is_reading

    @property
    def is_closing_soon(self):
        """Whether the host takes no further request on this connection."""
        return self._listener.is_draining

    # Called by the transport

    def connection_made(self, transport):
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_HIGH_BYTES)
        self._listener.connections.add(self)

    def data_received(self, data):
        self.active_s = self._listener.clock()
        if self._is_refused:
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            # The framing is lost: whatever follows could be part of a body.
            self._refuse(Refusal(400, "malformed_request", None), str(error))

    def connection_lost(self, error):
        self._listener.connections.discard(self)
        self._transport = None
        self._ahead.clear()
        self._can_write.set()
        if self._task is not None:
            # The caller is gone: whatever is done for it ends at once.
            self._task.cancel()

    def pause_writing(self):
        self._can_write.clear()

    def resume_writing(self):
        self._can_write.set()

    # Called by the parser

    def on_message_begin(self):
        self._is_reading = True
        self._target = b""
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()

    def on_url(self, data):
        self._target += data
        self._count_header(len(data))

    def on_header(self, name, value):
        self._count_header(len(name) + len(value))
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        for name, value in self._headers:
            if name.lower() == "expect" and value.lower() == "100-continue":
                self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data):
        self._body += data
        if len(self._body) > self._listener.max_body_bytes:
            self._refuse(Refusal(413, "body_too_large", None), "")

    def on_message_complete(self):
        self._is_reading = False
        if self._is_refused:
            return
        method = self._parser.get_method().decode("latin-1")
        target = self._target.decode("latin-1")
        decode = self._listener.decode_request
        request = decode(method, target, self._headers, bytes(self._body))
        reply = Reply(self, self._parser.should_keep_alive(), method == "HEAD")
        self._body = bytearray()
        self._ahead.append((request, reply))
        if self._task is None:
            self._begin_next()
        elif len(self._ahead) >= MAX_AHEAD:
            self._transport.pause_reading()

    # Called by the reply

    def write(self, data):
        if self._transport is not None:
            self._transport.write(data)

    async def drain(self):
        await self._can_write.wait()

    def abort(self):
        if self._transport is not None:
            self._transport.abort()

    def close(self):
        if self._transport is not None:
            self._transport.close()

    def _count_header(self, size):
        """Refuse a request whose header grows past the limit."""
        self._header_bytes += size
        if self._header_bytes > self._listener.max_header_bytes:
            self._refuse(Refusal(431, "header_too_large", None), "")

    def _begin_next(self):
        """Serve the oldest request that was read."""
        request, reply = self._ahead.popleft()
        self._task = asyncio.ensure_future(self._listener.handle(request, reply))
        self._task.add_done_callback(lambda task: self._on_served(task, reply))

    def _on_served(self, task, reply):
        """Go on after an answer, or break off when there was none."""
        self._task = None
        self.active_s = self._listener.clock()
        if not task.cancelled() and task.exception() is not None:
            self._listener.log("error", "handler_failed", error=repr(task.exception()))
        if self._transport is None:
            return
        if not reply.is_ended:
            self.abort()
            return
        if not reply.keeps_alive or self._is_refused:
            self.close()
            return
        if self._ahead:
            self._transport.resume_reading()
            self._begin_next()

    def _refuse(self, refusal, detail):
        """Answer a request that can't be read, and close the connection."""
        if self._is_refused:
            return
        self._is_refused = True
        self._listener.log(
            "warning",
            "request_unreadable",
            status=refusal.status,
            reason=refusal.reason,
            detail=detail,
        )
        if self._task is not None:
            # An answer is under way; it is finished, then the connection closes.
            return
        headers, body = self._listener.encode_refusal(refusal, "")
        Reply(self, False, False).send(refusal.status, headers, body)
        self.close()


class Listener:
    """Listens for callers, on one or more addresses.

    Parameters
    ----------
    handle : callable
        Coroutine ``handle(request, reply)``; cancelled when the caller leaves.
    decode_request : callable
        ``decode_request(method, target, headers, body)`` returns the typed request.
    encode_refusal : callable
        ``encode_refusal(refusal, request_id)`` returns headers and body of a refusal.
    clock, log : callable
        Steady clock in seconds, and structured log.
    """

    def __init__(self, handle, decode_request, encode_refusal, clock, log):
        self.handle = handle
        self.decode_request = decode_request
        self.encode_refusal = encode_refusal
        self.clock = clock
        self.log = log
        self.connections = set()
        self.is_draining = False
        self.max_header_bytes = FIRST_HEADER_BYTES
        self.max_body_bytes = FIRST_BODY_BYTES
        self._idle_s = FIRST_IDLE_S
        self._header_s = FIRST_HEADER_S
        self._servers = []
        self._sweeper = None

    async def start(self, ip, port):
        """Listen; port 0 takes a free one.

        Returns
        -------
        int
            The port.
        """
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _Connection(self), ip, port, backlog=BACKLOG
        )
        self._servers.append(server)
        if self._sweeper is None:
            self._sweeper = asyncio.ensure_future(self._sweep())
        return server.sockets[0].getsockname()[1]

    def set_limits(self, limits):
        """Take over the operator's limits."""
        self.max_header_bytes = limits.header_bytes
        self.max_body_bytes = limits.body_bytes
        self._idle_s = limits.idle_timeout_s
        self._header_s = limits.header_timeout_s

    def stop_accepting(self):
        """Take no new connection, and close those that are idle."""
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def count_active(self):
        """Return the number of connections with a request under way."""
        return sum(1 for connection in self.connections if not connection.is_idle)

    async def close(self):
        """Close all connections at once."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        self.stop_accepting()
        for connection in list(self.connections):
            connection.abort()

    async def _sweep(self):
        """Close connections that have been idle, or have sent half a head, too long."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now_s = self.clock()
            for connection in list(self.connections):
                quiet_s = now_s - connection.active_s
                if connection.is_idle and quiet_s > self._idle_s + IDLE_MARGIN_S:
                    connection.close()
                elif connection.is_reading and quiet_s > self._header_s:
                    connection.close()
