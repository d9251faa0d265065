"""HTTP/1.1 listener that handles the requests of a connection one after the other.

It parses requests with llhttp, through httptools, because llhttp rejects a header like
``Content-Length : 5``. sanic ignores such a header and takes the body for another
request, so that it would run a request that no caller sent; `test_listener.py` shows
both.
"""

import asyncio
from collections import deque
from typing import NamedTuple

import httptools

from gypsumusher_http.connection_budget import (
    IN_USE,
    SENT_AHEAD,
    UNREAD,
    UNUSED,
    ConnectionBudget,
)
from gypsumusher_http.request_room import (
    SMALL_REQUEST_BYTES,
    Reservation,
    RoomAnswer,
)
from gypsumusher_http.tunnels import reset_on_close
from gypsumusher_ports import Refusal

__all__ = ["Listener", "Reply", "SharedBytes"]

# The parser gets a connection's data in pieces of this size, and the next piece only
# when no earlier request is left. A decoded request takes far more memory than its
# bytes, so requests that are sent ahead wait undecoded.
PARSED_AT_ONCE_BYTES = 4096
# Undecoded bytes of one connection above which reading pauses. While reading is paused,
# the caller's disconnect isn't noticed, so the limit is above what clients send ahead.
MAX_UNPARSED_BYTES = 64 * 1024
# Bytes between the parts of a body, sizes of chunks above all, that each of its bytes
# allows for. A chunk may have a single byte.
FRAMING_BYTES_PER_BODY_BYTE = 16
# Interval of the check for connections that are idle or stuck within a request.
CLEANUP_INTERVAL_S = 1.0
# Idle connections stay open for this much longer than the time-out known to callers. A
# connection that closes while the caller sends a request costs the caller a retry.
IDLE_TIMEOUT_MARGIN_S = 1.0
# Longest time for which a connection is read after a refusal. Closed with unread bytes
# it would be reset, and the caller would lose the refusal.
LINGER_S = 2.0
# Limits that apply until the first configuration is known.
DEFAULT_IDLE_TIMEOUT_S, DEFAULT_HEADER_TIMEOUT_S = 15.0, 3.0
DEFAULT_MAX_HEADER_BYTES, DEFAULT_MAX_BODY_BYTES = 16 * 1024, 4 * 1024 * 1024
# Connections that the system queues until the listener accepts them.
LISTEN_BACKLOG = 1024
# `Reply.drain` waits, and no further request of the connection is handled, while more
# than this is buffered for one caller.
MAX_WRITE_BUFFER_BYTES = 256 * 1024
# Smallest body that is written apart from its head instead of copied behind it.
SEPARATE_BODY_BYTES = 64 * 1024
# Memory of a connection, of a request beside its body, and of a line of its head beside
# its characters.
CONNECTION_BYTES, REQUEST_BYTES, HEADER_LINE_BYTES = 8 * 1024, 2 * 1024, 200
# Steps in which a body of unknown length takes room.
BODY_STEP_BYTES = 256 * 1024
_REASON_PHRASES = {
    200: b"OK",
    204: b"No Content",
    400: b"Bad Request",
    401: b"Unauthorized",
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


class SharedBytes(bytes):
    """Bytes that many responses have in common, so that none holds them for itself."""


class Reply:
    """Writes the response to one request, at once or in chunks.

    Parameters
    ----------
    connection : _Connection
        Connection of the caller.
    keeps_alive : bool
        Whether the caller asks to keep the connection open.
    is_head : bool
        Whether the request's method is HEAD, so that the response has no body.
    accepts_chunks : bool
        Whether the caller understands chunks, which HTTP/1.0 lacks. Otherwise the end
        of the connection ends a response that is written in chunks, and a reset shows
        that it is incomplete.

    Attributes
    ----------
    awaits_endpoint : bool
        Whether an endpoint may be running the request, set by the handler.
    """

    def __init__(self, connection, keeps_alive, is_head, accepts_chunks=True):
        self.is_started = False
        self.is_ended = False
        self.awaits_endpoint = False
        self._connection = connection
        self._keeps_alive = keeps_alive
        self._is_head = is_head
        self._accepts_chunks = accepts_chunks
        self._is_chunked = False

    def send(self, status, headers, *parts):
        """Write a whole response.

        Parameters
        ----------
        status : int
            HTTP status.
        headers : iterable of (str, str)
            Headers, without Content-Length, Transfer-Encoding and Connection.
        *parts : bytes
            Body of the response, whole or in parts.
        """
        size_bytes = sum(map(len, parts))
        head = self._head(status, headers, f"Content-Length: {size_bytes}")
        if self._is_head:
            self._connection.write(head)
        elif size_bytes < SEPARATE_BODY_BYTES:
            self._connection.write(b"".join((head, *parts)))
        else:
            for part in (head, *parts):
                self._connection.write(part)
        self.is_started = self.is_ended = True

    def start(self, status, headers):
        """Write the head of a response whose body is written in chunks."""
        self._is_chunked = self._accepts_chunks
        if self._is_chunked:
            framing = "Transfer-Encoding: chunked"
        else:
            # Set before the first byte: the connection is also closed when this process
            # is killed.
            self._connection.close_by_reset(True)
            self._keeps_alive = False
            framing = None
        self._connection.write(self._head(status, headers, framing))
        self.is_started = True

    def write(self, data):
        """Write a chunk of the body."""
        if not data or self._is_head:
            return
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)

    def hold(self, size_bytes):
        """Count memory that the handler uses for the response until it has ended.

        Parameters
        ----------
        size_bytes : int
            Bytes that come to those counted before, or are freed if below 0. The
            connection may be closed for them, which cancels the handler.
        """
        self._connection.hold(size_bytes)

    async def drain(self):
        """Wait until the write buffer has room again."""
        await self._connection.drain()

    def end(self):
        """Write the end of the body, after all of its chunks."""
        if self._is_chunked and not self._is_head:
            self._connection.write(b"0\r\n\r\n")
        if not self._is_chunked:
            self._connection.close_by_reset(False)
        self.is_ended = True

    def abort(self):
        """Abort the connection, so that the caller sees the response as incomplete."""
        self._connection.abort()

    def hand_over(self):
        """Accept a CONNECT request, and return the transport for other use.

        Returns
        -------
        asyncio.Transport or None
            None when the caller has left.
        """
        self._connection.write(b"HTTP/1.1 200 Connection Established\r\n\r\n")
        self.is_started = self.is_ended = True
        return self._connection.hand_over()

    @property
    def keeps_alive(self):
        """Whether the connection stays open after this response."""
        return self._keeps_alive and not self._connection.closes_after_response

    def _head(self, status, headers, framing):
        """Encode the head; decide whether the connection stays open."""
        self._keeps_alive = self.keeps_alive
        reason = _REASON_PHRASES.get(status, b"-").decode()
        lines = [f"HTTP/1.1 {status} {reason}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if framing is not None:
            lines.append(framing)
        if not self._keeps_alive:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class _Handled(NamedTuple):
    """A request that waits or is handled, with its memory and the room for it."""

    request: object
    reply: Reply
    size_bytes: int
    reservation: Reservation | None

    @property
    def is_begun(self):
        """Whether the request may run at an endpoint, or has a part of a response."""
        return self.reply.awaits_endpoint or self.reply.is_started

    def release(self):
        """Give the room of the request back."""
        if self.reservation is not None:
            self.reservation.release()


class _Connection(asyncio.Protocol):
    """A caller's connection; handles its requests in order."""

    def __init__(self, listener):
        self._listener = listener
        self._parser = httptools.HttpRequestParser(self)
        self._transport = None
        self._target = b""
        self._headers = []
        self._has_all_headers = False
        # Whether the caller sends the body only once it is told to.
        self._awaits_continue = False
        self._header_bytes = 0
        # Bytes parsed since the last request, of a head or between the parts of a body.
        self._framing_bytes = 0
        self._body = bytearray()
        self._unparsed = bytearray()
        # Requests that wait, each with its reply, its memory and its reservation.
        self._queued = deque()
        self._task = None
        # The request that is handled, its memory, and that of its response before it
        # is sent.
        self._handled = None
        self._response_bytes = 0
        # Room of the request that is being received if it is a large one, what it may
        # take without asking again, and whether it isn't read before it has room.
        self._reservation = None
        self._room_bytes = SMALL_REQUEST_BYTES
        self._awaits_room = False
        # Size of large bodies that are being sent, and of what others hold, too. The
        # transport frees a body when all of it has been sent.
        self._written_whole_bytes = self._shared_bytes = 0
        self._is_reading = False
        self._is_paused = self._is_throttled = False
        self._is_rejected = False
        self._lingers_until_s = None
        # When the head that is being received began; None between heads.
        self._head_began_s = None
        self._written_bytes = 0
        # Bytes that the caller had taken when that was last found to be more, and when.
        self._taken_bytes = 0
        self._last_taken_s = listener.clock()
        self._can_write = asyncio.Event()
        self._can_write.set()
        self.last_active_s = listener.clock()

    @property
    def is_idle(self):
        """Whether no request is received or handled, and no response is unsent."""
        if self._task is not None or self._is_reading or self._queued or self._unparsed:
            return False
        return not self._unsent_bytes

    def end_if_overdue(self, now_s):
        """End the connection if its caller takes longer than it may.

        Parameters
        ----------
        now_s : float
            The time, on the listener's clock.
        """
        idle_s, head_s = self._listener.idle_timeout_s, self._listener.header_timeout_s
        is_lingering = self._lingers_until_s is not None
        if is_lingering and now_s > self._lingers_until_s:
            self.abort()
        elif self._unsent_for_s(now_s) > idle_s + IDLE_TIMEOUT_MARGIN_S:
            self._listener.log("warning", "caller_reads_nothing", after_s=idle_s)
            self.abort()
        elif self._task is not None:
            # What has come behind the request that is handled waits to be parsed.
            return
        elif self._head_began_s is not None and now_s - self._head_began_s > head_s:
            self.close()
        elif self._is_reading and now_s - self.last_active_s > head_s:
            self.close()
        elif (
            self.is_idle and now_s - self.last_active_s > idle_s + IDLE_TIMEOUT_MARGIN_S
        ):
            self.close()

    def _unsent_for_s(self, now_s):
        """Return for how long the caller has taken nothing of what is written."""
        taken_bytes = self._written_bytes - self._unsent_bytes
        if not self._unsent_bytes or taken_bytes > self._taken_bytes:
            self._taken_bytes = taken_bytes
            self._last_taken_s = now_s
        return now_s - self._last_taken_s

    @property
    def closes_after_response(self):
        """Whether the connection closes after the current response.

        Requests that have been received behind the current one are answered first.
        """
        has_received_more = bool(self._queued or self._unparsed)
        return self._listener.is_draining and not has_received_more

    # Read and called by the budget

    @property
    def group(self):
        """The listener, whose connections count together."""
        return self._listener

    @property
    def use(self):
        """What the connection is used for."""
        is_unsent = self._is_open and self._unsent_bytes
        if is_unsent and (self._task is None or not self._can_write.is_set()):
            return UNREAD
        if self._task is None:
            return UNUSED
        return SENT_AHEAD if self._queued or self._unparsed else IN_USE

    def held_bytes(self):
        """Return the memory that the connection takes, in bytes."""
        unsent_bytes = self._unsent_bytes
        if not unsent_bytes:
            self._written_whole_bytes = self._shared_bytes = 0
        own_bytes = max(unsent_bytes, self._written_whole_bytes) - self._shared_bytes
        return (
            CONNECTION_BYTES
            + len(self._unparsed)
            + len(self._body)
            + self._header_bytes
            + HEADER_LINE_BYTES * len(self._headers)
            + sum(queued.size_bytes for queued in self._queued)
            + (0 if self._handled is None else self._handled.size_bytes)
            + self._response_bytes
            + max(0, own_bytes)
        )

    @property
    def awaits_endpoint(self):
        """Whether an endpoint may be running the request, without a response so far."""
        if self.use != IN_USE or self._response_bytes > 0:
            return False
        return self._handled.reply.awaits_endpoint

    def set_throttled(self, is_throttled):
        """Set whether the connection isn't read for the moment."""
        self._is_throttled = is_throttled
        self._pause_or_resume_reading()

    def give_up(self):
        """Refuse the request if nothing can have run, or abort the connection."""
        if self._is_reading and self.use == UNUSED and not self._queued:
            self._refuse_as_overloaded()
            return
        if self.use == IN_USE and not self._handled.is_begun:
            self._end_as_overloaded()
            return
        self._drop_received()
        self._unparsed.clear()
        self._drop_queued()
        self.abort()

    # Called by the transport

    def connection_made(self, transport):
        self._transport = transport
        transport.set_write_buffer_limits(high=MAX_WRITE_BUFFER_BYTES)
        self._listener.connections.add(self)
        if not self._listener.budget.admit(self):
            self.abort()

    def data_received(self, data):
        self._listener.budget.on_received(len(data))
        if self._is_rejected:
            return
        self._unparsed += data
        self._advance()
        if not self.is_idle:
            # Blank lines belong to no request.
            self.last_active_s = self._listener.clock()
        self._update_budget()

    def connection_lost(self, error):
        self._listener.connections.discard(self)
        self._listener.budget.discard(self)
        self._transport = None
        self._drop_queued()
        self._unparsed.clear()
        self._release_room()
        self._can_write.set()
        if self._task is not None:
            # The caller has disconnected: stop working on its request.
            self._task.cancel()

    def pause_writing(self):
        self._can_write.clear()

    def resume_writing(self):
        self._can_write.set()
        self._advance()

    # Called by the parser

    def on_message_begin(self):
        self._is_reading = True
        self._head_began_s = self._listener.clock()
        self._target = b""
        self._has_all_headers = False
        self._drop_received()
        self._release_room()

    def on_url(self, data):
        self._target += data
        self._count_header(len(data))

    def on_header(self, name, value):
        self._count_header(len(name) + len(value))
        if self._has_all_headers:
            # A trailer. Merged into the header it could replace what the header says.
            return
        self._headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self):
        self._has_all_headers = True
        self._head_began_s = None
        self._framing_bytes = 0
        self._awaits_continue = any(
            name.lower() == "expect" and value.lower() == "100-continue"
            for name, value in self._headers
        )
        body_bytes = self._stated_body_bytes()
        if body_bytes > self._listener.max_body_bytes:
            self._reject(Refusal(413, "body_too_large", None), "")
            return
        self._take_room(self._received_size_bytes() + body_bytes)

    def on_body(self, data):
        if self._is_rejected:
            return
        self._body += data
        self._framing_bytes -= (1 + FRAMING_BYTES_PER_BODY_BYTE) * len(data)
        if self._reservation is not None:
            self._reservation.received_bytes += len(data)
        if len(self._body) > self._listener.max_body_bytes:
            self._reject(Refusal(413, "body_too_large", None), "")
            return
        size_bytes = self._received_size_bytes()
        if size_bytes > self._room_bytes:
            self._take_room(size_bytes + BODY_STEP_BYTES)

    def on_message_complete(self):
        self._is_reading = self._awaits_continue = False
        self._framing_bytes = 0
        if self._is_rejected:
            return
        method = self._parser.get_method().decode("latin-1")
        target = self._target.decode("latin-1")
        decode = self._listener.decode_request
        request = decode(method, target, self._headers, bytes(self._body))
        reply = Reply(
            self,
            self._parser.should_keep_alive(),
            method == "HEAD",
            self._parser.get_http_version() != "1.0",
        )
        size_bytes = self._received_size_bytes() + self._listener.measure(request)
        # What is complete takes its memory already, so that it doesn't wait.
        if not self._take_room(size_bytes, may_wait=False):
            return
        reservation, self._reservation = self._reservation, None
        if reservation is not None:
            reservation.has_arrived = True
        self._drop_received()
        self._queued.append(_Handled(request, reply, size_bytes, reservation))

    # Called by `Reply`

    def write(self, data):
        if not self._is_open:
            return
        self._transport.write(data)
        self._written_bytes += len(data)
        if isinstance(data, SharedBytes):
            self._shared_bytes += len(data)
        if len(data) >= SEPARATE_BODY_BYTES:
            self._written_whole_bytes += len(data)
        self._update_budget()

    def hold(self, size_bytes):
        self._response_bytes += size_bytes
        if size_bytes > 0:
            self._update_budget()

    async def drain(self):
        await self._can_write.wait()

    def abort(self):
        if self._transport is not None:
            self._transport.abort()

    def close(self):
        if self._transport is not None:
            self._transport.close()

    def close_by_reset(self, is_reset):
        """Set whether the connection ends by a reset or regularly."""
        if self._transport is not None:
            reset_on_close(self._transport, is_reset)

    def hand_over(self):
        """Return the transport, which another protocol uses from now on."""
        self._unparsed.clear()
        self.set_throttled(False)
        transport, self._transport = self._transport, None
        self._listener.connections.discard(self)
        self._listener.budget.discard(self)
        return transport

    @property
    def _is_open(self):
        """Whether the connection still takes requests and responses."""
        return self._transport is not None and not self._transport.is_closing()

    @property
    def _unsent_bytes(self):
        """Bytes of responses that the system hasn't taken yet."""
        return 0 if self._transport is None else self._transport.get_write_buffer_size()

    def _update_budget(self):
        if self._is_open:
            self._listener.budget.update(self)

    def _drop_received(self):
        """Free what was received of the current request."""
        self._headers = []
        self._header_bytes = 0
        self._body = bytearray()

    def _accepts_tunnel(self):
        """Return whether the current request asks for a tunnel and may get one."""
        is_connect = self._parser.get_method() == b"CONNECT"
        return is_connect and self._listener.accepts_tunnels

    def _count_header(self, size):
        """Reject the request when its header exceeds the limit."""
        self._header_bytes += size
        if self._header_bytes > self._listener.max_header_bytes:
            self._reject(Refusal(431, "header_too_large", None), "")

    def _advance(self):
        """Handle the oldest request, or parse on if none is left.

        Nothing is done while a request is handled, or its caller doesn't read what was
        answered before.
        """
        while self._task is None and self._can_write.is_set() and self._is_open:
            if self._queued:
                self._start_next()
            elif self._awaits_room:
                break
            elif self._unparsed and not self._is_rejected:
                self._parse()
            else:
                self._send_continue()
                break
        self._pause_or_resume_reading()

    def _parse(self):
        """Parse the next piece of the data that has been received."""
        data = self._unparsed[:PARSED_AT_ONCE_BYTES]
        del self._unparsed[:PARSED_AT_ONCE_BYTES]
        self._framing_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            # The request is complete. Its caller waits for a tunnel, or what follows
            # is in a protocol that this listener doesn't speak.
            if not self._accepts_tunnel():
                self._reject(Refusal(400, "upgrade", None), "")
        except httptools.HttpParserError as error:
            # The end of the request is unknown; later data could be part of its body.
            self._reject(Refusal(400, "malformed_request", None), str(error))
        # The parser reports a name or a value only at its end, and skips blank lines,
        # spaces and extensions of chunks.
        limit_bytes = self._listener.max_header_bytes + PARSED_AT_ONCE_BYTES
        if self._framing_bytes > limit_bytes:
            self._reject(Refusal(431, "header_too_large", None), "")

    def _send_continue(self):
        """Tell a caller that waits for it to send the body of its request."""
        if self._awaits_continue and not self._is_rejected:
            self._awaits_continue = False
            self.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def _pause_or_resume_reading(self):
        """Read on only while little of what was read is left."""
        is_paused = self._is_throttled or len(self._unparsed) > MAX_UNPARSED_BYTES
        is_paused = is_paused or self._awaits_room
        if not self._is_open or is_paused == self._is_paused:
            return
        self._is_paused = is_paused
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def _start_next(self):
        """Start the handler of the oldest queued request."""
        self._handled = handled = self._queued.popleft()
        handling = self._listener.handle(handled.request, handled.reply)
        self._task = asyncio.ensure_future(handling)
        self._task.add_done_callback(lambda task: self._on_handler_done(task, handled))

    def _on_handler_done(self, task, handled):
        """Start the next request, or close the connection.

        A handler that ended without a complete response aborts the connection.
        """
        self._task = self._handled = None
        self._response_bytes = 0
        handled.release()
        reply = handled.reply
        self.last_active_s = self._listener.clock()
        if self._head_began_s is not None:
            self._head_began_s = self.last_active_s
        if not task.cancelled() and task.exception() is not None:
            self._listener.log("error", "handler_failed", error=repr(task.exception()))
        if self._transport is None:
            return
        if not reply.is_ended:
            self.abort()
            return
        is_last = self._is_rejected and not self._queued
        if not reply.keeps_alive or is_last:
            self.close()
            return
        self._advance()

    def _reject(self, refusal, detail):
        """Refuse the request that is being received, and take no further ones."""
        if self._is_rejected:
            return
        self._is_rejected = True
        self._is_reading = False
        self._head_began_s = None
        request_id = self._received_id()
        self._unparsed.clear()
        self._drop_received()
        self._release_room()
        self._listener.log(
            "warning",
            "request_unreadable",
            status=refusal.status,
            reason=refusal.reason,
            detail=detail,
        )
        if self._task is not None or self._queued:
            # Earlier requests are handled first; `_on_handler_done` closes the
            # connection after the last response.
            return
        headers, body = self._listener.encode_refusal(refusal, request_id)
        Reply(self, False, False).send(refusal.status, headers, body)
        self._linger()

    def _refuse_as_overloaded(self):
        """Refuse the request that is being received for the memory of all."""
        retry_after_s = self._listener.budget.room.retry_after_s
        refusal = Refusal(503, "overloaded", retry_after_s)
        self._reject(refusal, "memory of all connections")

    def _end_as_overloaded(self):
        """Refuse the request that is handled, before anything is sent for it."""
        self._is_rejected = True
        handled = self._handled
        retry_after_s = self._listener.budget.room.retry_after_s
        refusal = Refusal(503, "overloaded", retry_after_s)
        request_id = handled.request.request_id
        headers, body = self._listener.encode_refusal(refusal, request_id)
        handled.reply.send(refusal.status, headers, body)
        self._task.cancel()

    def _stated_body_bytes(self):
        """Return the length that the head states for the body, or 0."""
        for name, value in self._headers:
            # The parser accepts digits alone, and one such header.
            if name.lower() == "content-length":
                return int(value)
        return 0

    def _received_size_bytes(self):
        """Return the memory of what was received of the current request."""
        return (
            REQUEST_BYTES
            + len(self._body)
            + self._header_bytes
            + HEADER_LINE_BYTES * len(self._headers)
        )

    def _take_room(self, size_bytes, may_wait=True):
        """Take room for the current request; return False if it is refused."""
        if size_bytes <= self._room_bytes and not self._awaits_room:
            return True
        if self._reservation is None:
            room = self._listener.budget.room
            self._reservation = room.open(self._on_room, self._refuse_as_overloaded)
        answer = self._reservation.ask(size_bytes, may_wait)
        if answer is RoomAnswer.REFUSED:
            self._refuse_as_overloaded()
            return False
        self._room_bytes = size_bytes
        self._awaits_room = answer is RoomAnswer.WAITING
        return True

    def _on_room(self):
        """Read on: there is room for the request."""
        self._awaits_room = False
        self._advance()

    def _release_room(self):
        """Give back the room of the request that is being received."""
        reservation, self._reservation = self._reservation, None
        self._room_bytes = SMALL_REQUEST_BYTES
        self._awaits_room = False
        if reservation is not None:
            reservation.release()

    def _drop_queued(self):
        """Free the requests that wait."""
        while self._queued:
            self._queued.popleft().release()

    def _linger(self):
        """End the connection to the caller, and read on until it ends its side."""
        if not self._is_open:
            return
        self._lingers_until_s = self._listener.clock() + LINGER_S
        self._transport.write_eof()
        self._pause_or_resume_reading()

    def _received_id(self):
        """Return the id of the request that is being received, if it has come."""
        if not self._has_all_headers:
            return ""
        return self._listener.decode_request("", "", self._headers, b"").request_id


class Listener:
    """Accepts connections of callers on one or more addresses.

    Parameters
    ----------
    handle : callable
        Coroutine function ``handle(request, reply)``; the listener cancels it when the
        caller disconnects.
    decode_request : callable
        ``decode_request(method, target, headers, body)`` returns the decoded request.
    encode_refusal : callable
        ``encode_refusal(refusal, request_id)`` returns headers and body of an error
        response.
    clock, log : callable
        Monotonic clock in seconds, and function ``log(level, event, **fields)``.
    accepts_tunnels : bool
        Whether a CONNECT request may be answered by `Reply.hand_over`. Otherwise the
        connection closes after the response to it.
    budget : ConnectionBudget or None
        Limit on the memory of all connections, which listeners of one process share;
        None creates one for this listener.
    measure : callable
        ``measure(request)`` returns the memory of a decoded request beside its head and
        body, in bytes.
    """

    def __init__(
        self,
        handle,
        decode_request,
        encode_refusal,
        clock,
        log,
        accepts_tunnels=False,
        budget=None,
        measure=lambda request: 0,
    ):
        self.accepts_tunnels = accepts_tunnels
        self.budget = budget or ConnectionBudget(log)
        self.measure = measure
        self.handle = handle
        self.decode_request = decode_request
        self.encode_refusal = encode_refusal
        self.clock = clock
        self.log = log
        self.connections = set()
        self.is_draining = False
        self.max_header_bytes = DEFAULT_MAX_HEADER_BYTES
        self.max_body_bytes = DEFAULT_MAX_BODY_BYTES
        self.idle_timeout_s = DEFAULT_IDLE_TIMEOUT_S
        self.header_timeout_s = DEFAULT_HEADER_TIMEOUT_S
        self._servers = []
        self._cleanup_task = None

    async def start(self, ip, port):
        """Listen on an address; port 0 takes a free port.

        Returns
        -------
        int
            Port of the listener.
        """
        loop = asyncio.get_running_loop()
        server = await loop.create_server(
            lambda: _Connection(self), ip, port, backlog=LISTEN_BACKLOG
        )
        self._servers.append(server)
        if self._cleanup_task is None:
            self._cleanup_task = asyncio.ensure_future(self._close_inactive())
        return server.sockets[0].getsockname()[1]

    @property
    def is_listening(self):
        """Whether the listener has been started."""
        return bool(self._servers)

    def set_limits(self, limits):
        """Apply the operator's limits to current and later connections."""
        self.max_header_bytes = limits.header_bytes
        self.max_body_bytes = limits.body_bytes
        self.idle_timeout_s = limits.idle_timeout_s
        self.header_timeout_s = limits.header_timeout_s

    def stop_accepting(self):
        """Accept no new connections, and close the idle ones."""
        for server in self._servers:
            server.close()
        for connection in list(self.connections):
            if connection.is_idle:
                connection.close()

    def count_active(self):
        """Return the number of connections with a request or a response under way."""
        return sum(1 for connection in self.connections if not connection.is_idle)

    async def close(self):
        """Stop listening and abort all connections."""
        if self._cleanup_task is not None:
            self._cleanup_task.cancel()
        self.stop_accepting()
        for connection in list(self.connections):
            connection.abort()

    async def _close_inactive(self):
        """End connections whose callers take longer than they may."""
        while True:
            await asyncio.sleep(CLEANUP_INTERVAL_S)
            now_s = self.clock()
            for connection in list(self.connections):
                connection.end_if_overdue(now_s)
