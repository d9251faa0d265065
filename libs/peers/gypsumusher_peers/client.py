"""Client side: one persistent connection to a peer, reopened whenever it breaks."""

import asyncio
import random

from returns.result import Failure, Result, Success

from gypsumusher_peers.errors import (
    CLOSED,
    CONNECT,
    HANDSHAKE,
    MALFORMED,
    OVERLOADED,
    REMOTE,
    TIMEOUT,
    PeerError,
    ProtocolFault,
)
from gypsumusher_peers.framing import FRAME_LIMIT_BYTES
from gypsumusher_peers.wire import open_session, read_message, write_message

CONNECT_TIMEOUT_S = 2.0
FRAME_TIMEOUT_S = 10.0
MAX_OUTSTANDING = 64
INITIAL_BACKOFF_S = 0.05
MAX_BACKOFF_S = 2.0
# Most bytes in the write buffer, which a slowly reading peer fills; beyond it new
# requests are refused.
WRITE_BUFFER_LIMIT_BYTES = 4 * FRAME_LIMIT_BYTES


class Connection:
    """One open connection: its streams, session and outstanding requests."""

    def __init__(self, reader, writer, session):
        self.reader = reader
        self.writer = writer
        self.session = session
        # Future of the response, by request id.
        self.outstanding = {}
        self.frames_received = 0

    def is_usable(self):
        """Return whether a request may be written."""
        return not self.writer.is_closing()

    def write_buffer_bytes(self):
        """Return the bytes that were written but not yet accepted by the socket."""
        return self.writer.transport.get_write_buffer_size()


class PeerClient:
    """Sends requests to one peer over one connection.

    Parameters
    ----------
    ip : str
        The peer's address.
    port : int
        The peer's port.
    identity : Identity
        This process.
    keys : KeyRing
        Its first key opens connections.
    expected_host : str, optional
        Host name that the peer has to authenticate as; the address may meanwhile
        belong to another host.
    on_error : callable, optional
        Function of a `PeerError`, called for each connection that failed.
    connect_timeout_s, frame_timeout_s : float
        Longest time for the connect and again for the handshake, and longest time to
        receive one frame.
    max_outstanding : int
        Limit of unanswered requests; further requests are refused at once.
    initial_backoff_s, max_backoff_s : float
        Wait before the second connection attempt, and the limit up to which the wait
        doubles with each further attempt.
    max_message_bytes : int
        Largest message, in either direction.
    random_float : callable
        Returns a number from [0, 1) for the jitter of the back-off.
    """

    def __init__(
        self,
        ip,
        port,
        identity,
        keys,
        *,
        expected_host=None,
        on_error=None,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        frame_timeout_s=FRAME_TIMEOUT_S,
        max_outstanding=MAX_OUTSTANDING,
        initial_backoff_s=INITIAL_BACKOFF_S,
        max_backoff_s=MAX_BACKOFF_S,
        max_message_bytes=FRAME_LIMIT_BYTES,
        random_float=random.random,
    ):
        self._ip = ip
        self._port = port
        self._identity = identity
        self._keys = keys
        self._expected_host = expected_host
        self._on_error = on_error
        self._connect_timeout_s = connect_timeout_s
        self._frame_timeout_s = frame_timeout_s
        self._max_outstanding = max_outstanding
        self._initial_backoff_s = initial_backoff_s
        self._max_backoff_s = max_backoff_s
        self._max_message_bytes = max_message_bytes
        self._random_float = random_float
        self._task = None
        self._connection = None
        self._connected = asyncio.Event()
        self._outstanding = 0
        self._last_request_id = 0
        self._last_error_detail = "not connected yet"
        self._last_error_kind = CONNECT

    @property
    def peer(self):
        """The peer's authenticated `Identity` while connected, else None."""
        if self._connection is None:
            return None
        return self._connection.session.peer

    async def start(self):
        """Start connecting in the background, and reconnect until `close`."""
        self._task = asyncio.create_task(self._keep_connected())

    async def close(self):
        """Close the connection; outstanding requests fail with ``sent`` true."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.wait([self._task])
        self._task = None

    async def request(self, message, timeout_s) -> Result[dict, PeerError]:
        """Send a request and wait for its response.

        Parameters
        ----------
        message : dict
            Passed to the peer's request handler.
        timeout_s : float
            Longest wait in total, for the connection and for the response.

        Returns
        -------
        Result[dict, PeerError]
            The response. An error with ``sent`` false guarantees that no byte of the
            request was written.
        """
        if self._outstanding >= self._max_outstanding:
            return self._failure(
                OVERLOADED, "request", False, "too many outstanding requests"
            )
        self._outstanding += 1
        try:
            return await self._send_request(message, timeout_s)
        finally:
            self._outstanding -= 1

    async def _send_request(self, message, timeout_s):
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + timeout_s
        self._close_if_key_replaced()
        try:
            async with asyncio.timeout_at(deadline_s):
                connection = await self._wait_for_connection()
        except TimeoutError:
            return self._failure(
                self._last_error_kind, "connect", False, self._last_error_detail
            )
        if connection.write_buffer_bytes() > WRITE_BUFFER_LIMIT_BYTES:
            return self._failure(
                OVERLOADED, "request", False, "write buffer is full: peer reads slowly"
            )
        self._last_request_id += 1
        request_id = self._last_request_id
        body = {"id": request_id, "request": message}
        try:
            write_message(
                connection.writer, connection.session, body, self._max_message_bytes
            )
        except ProtocolFault as fault:
            return self._failure(fault.kind, "request", False, fault.detail)
        return await self._wait_for_response(connection, request_id, deadline_s)

    async def _wait_for_response(self, connection, request_id, deadline_s):
        response = asyncio.get_running_loop().create_future()
        connection.outstanding[request_id] = response
        frames_received = connection.frames_received
        try:
            async with asyncio.timeout_at(deadline_s):
                return await response
        except TimeoutError:
            # The connection to an unreachable or paused peer stays open for minutes,
            # and every request on it would run into its own time-out. If no frame at
            # all arrived since the request, the connection is aborted; opening a new
            # one shows whether the peer is reachable.
            if connection.frames_received == frames_received:
                connection.writer.transport.abort()
            return self._failure(
                TIMEOUT, "request", True, "no response before the time-out"
            )
        finally:
            connection.outstanding.pop(request_id, None)

    async def _wait_for_connection(self):
        while True:
            connection = self._connection
            if connection is not None and connection.is_usable():
                return connection
            self._connected.clear()
            await self._connected.wait()

    def _close_if_key_replaced(self):
        # After a key rotation the connection is reopened under the new key while it
        # has no outstanding request, so that removing the old key later does not
        # interrupt one.
        connection = self._connection
        if connection is None or connection.outstanding:
            return
        if connection.session.key_id == self._keys.signing_key.key_id:
            return
        connection.writer.close()

    async def _keep_connected(self):
        backoff_s = self._initial_backoff_s
        while True:
            was_open = await self._connect()
            if was_open:
                backoff_s = self._initial_backoff_s
            # Without jitter all hosts of a cell would reconnect to a restarted peer
            # at the same moment.
            await asyncio.sleep(backoff_s * (0.5 + self._random_float() / 2))
            backoff_s = min(backoff_s * 2, self._max_backoff_s)

    async def _connect(self):
        """Connect once and read until the connection ends.

        Returns whether the handshake succeeded, so that the connection was usable.
        """
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                reader, writer = await asyncio.open_connection(self._ip, self._port)
        except (OSError, TimeoutError) as error:
            self._report_error(CONNECT, "connect", f"{type(error).__name__}: {error}")
            return False
        try:
            return await self._run_connection(reader, writer)
        finally:
            writer.transport.abort()

    async def _run_connection(self, reader, writer):
        try:
            session = await open_session(
                reader, writer, self._identity, self._keys, self._connect_timeout_s
            )
            self._check_host(session)
        except ProtocolFault as fault:
            self._report_error(fault.kind, "handshake", fault.detail)
            return False
        connection = Connection(reader, writer, session)
        self._connection = connection
        self._connected.set()
        try:
            await self._read_responses(connection)
        except ProtocolFault as fault:
            self._report_error(fault.kind, "read", fault.detail)
        finally:
            self._connection = None
            self._fail_outstanding(connection)
        return True

    def _check_host(self, session):
        expected = self._expected_host
        if expected is None or session.peer.host == expected:
            return
        raise ProtocolFault(
            HANDSHAKE,
            f"expected host {expected!r}, peer authenticated as {session.peer.host!r}",
        )

    async def _read_responses(self, connection):
        while True:
            message = await read_message(
                connection.reader,
                connection.session,
                self._max_message_bytes,
                None,
                self._frame_timeout_s,
            )
            connection.frames_received += 1
            request_id = message.get("id")
            if not isinstance(request_id, int):
                raise ProtocolFault(MALFORMED, "response without a request id")
            response = connection.outstanding.get(request_id)
            if response is None or response.done():
                # The request timed out before its response arrived.
                continue
            response.set_result(self._parse_response(message))

    def _parse_response(self, message):
        body = message.get("answer")
        if isinstance(body, dict):
            return Success(body)
        if "error" in message:
            return self._failure(REMOTE, "request", True, str(message["error"])[:64])
        return self._failure(
            MALFORMED, "request", True, "response has neither answer nor error"
        )

    def _fail_outstanding(self, connection):
        for response in connection.outstanding.values():
            if not response.done():
                failure = self._failure(
                    CLOSED, "request", True, "connection ended before the response"
                )
                response.set_result(failure)

    def _report_error(self, kind, step, detail):
        self._last_error_kind = kind
        self._last_error_detail = detail
        if self._on_error is not None:
            self._on_error(PeerError(kind, step, self._peer_name(), False, detail))

    def _failure(self, kind, step, sent, detail):
        return Failure(PeerError(kind, step, self._peer_name(), sent, detail))

    def _peer_name(self):
        if self.peer is not None:
            return self.peer.host
        return self._expected_host or f"{self._ip}:{self._port}"
