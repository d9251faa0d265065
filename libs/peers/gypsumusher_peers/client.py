"""The opening side: one lasting connection to one peer, opened again as it breaks."""

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
# What a peer that reads slowly may leave unsent before requests are refused.
UNSENT_LIMIT_BYTES = 4 * FRAME_LIMIT_BYTES


class Connection:
    """One open connection: its streams, session and outstanding requests."""

    def __init__(self, reader, writer, session):
        self.reader = reader
        self.writer = writer
        self.session = session
        self.answers = {}
        self.frames_read = 0

    def is_usable(self):
        """Return whether a request may be written."""
        return not self.writer.is_closing()

    def unsent_bytes(self):
        """Return the bytes that were written but not yet taken by the socket."""
        return self.writer.transport.get_write_buffer_size()


class PeerClient:
    """Requests to one peer over one connection.

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
        Name that the peer has to prove; an address may since belong to another host.
    on_error : callable, optional
        Function of a `PeerError`, told of each connection that failed.
    connect_timeout_s, frame_timeout_s : float
        Longest connect and handshake, each, and longest time for one frame.
    max_outstanding : int
        Bound on unanswered requests; more are refused at once.
    initial_backoff_s, max_backoff_s : float
        Wait before the second try to connect, doubled up to the limit.
    max_message_bytes : int
        Largest message.
    random_float : callable
        Gives a number from [0, 1) for the back-off's jitter.
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
        self._last_id = 0
        self._last_detail = "not connected yet"
        self._last_kind = CONNECT

    @property
    def peer(self):
        """The peer's proven `Identity` while connected, else None."""
        if self._connection is None:
            return None
        return self._connection.session.peer

    async def start(self):
        """Begin to connect, and keep on until `close`."""
        self._task = asyncio.create_task(self._keep_connected())

    async def close(self):
        """End the connection; outstanding requests fail as sent."""
        if self._task is None:
            return
        self._task.cancel()
        await asyncio.wait([self._task])
        self._task = None

    async def request(self, message, timeout_s) -> Result[dict, PeerError]:
        """Send a request and wait for its answer.

        Parameters
        ----------
        message : dict
            What the peer's handler gets.
        timeout_s : float
            Longest wait in all, for the connection and for the answer.

        Returns
        -------
        Result[dict, PeerError]
            The answer. An error with ``sent`` false promises that no byte of the
            request was written.
        """
        if self._outstanding >= self._max_outstanding:
            return self._failure(OVERLOADED, "request", False, "too many outstanding")
        self._outstanding += 1
        try:
            return await self._request(message, timeout_s)
        finally:
            self._outstanding -= 1

    async def _request(self, message, timeout_s):
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        self._drop_old_key()
        try:
            async with asyncio.timeout_at(end_s):
                connection = await self._usable_connection()
        except TimeoutError:
            return self._failure(self._last_kind, "connect", False, self._last_detail)
        if connection.unsent_bytes() > UNSENT_LIMIT_BYTES:
            return self._failure(OVERLOADED, "request", False, "the peer reads slowly")
        self._last_id += 1
        request_id = self._last_id
        body = {"id": request_id, "request": message}
        try:
            write_message(
                connection.writer, connection.session, body, self._max_message_bytes
            )
        except ProtocolFault as fault:
            return self._failure(fault.kind, "request", False, fault.detail)
        return await self._answer(connection, request_id, end_s)

    async def _answer(self, connection, request_id, end_s):
        answered = asyncio.get_running_loop().create_future()
        connection.answers[request_id] = answered
        frames_read = connection.frames_read
        try:
            async with asyncio.timeout_at(end_s):
                return await answered
        except TimeoutError:
            # A peer that is cut off or paused leaves its connection open for minutes
            # and every request on it would run into its own time-out. If nothing at
            # all came since the request, the connection is given up and a new one
            # shows whether the peer is there.
            if connection.frames_read == frames_read:
                connection.writer.transport.abort()
            return self._failure(TIMEOUT, "request", True, "no answer in time")
        finally:
            connection.answers.pop(request_id, None)

    async def _usable_connection(self):
        while True:
            connection = self._connection
            if connection is not None and connection.is_usable():
                return connection
            self._connected.clear()
            await self._connected.wait()

    def _drop_old_key(self):
        # After a rotation the connection is opened again under the new key at a
        # moment when no request is on it, so that the old key can be taken away
        # without cutting one.
        connection = self._connection
        if connection is None or connection.answers:
            return
        if connection.session.key_id == self._keys.signing_key.key_id:
            return
        connection.writer.close()

    async def _keep_connected(self):
        backoff_s = self._initial_backoff_s
        while True:
            started = await self._connect()
            if started:
                backoff_s = self._initial_backoff_s
            # The jitter keeps a cell's hosts from coming back to a restarted peer
            # all at once.
            await asyncio.sleep(backoff_s * (0.5 + self._random_float() / 2))
            backoff_s = min(backoff_s * 2, self._max_backoff_s)

    async def _connect(self):
        """Connect once and read until the connection ends; return if it opened."""
        try:
            async with asyncio.timeout(self._connect_timeout_s):
                reader, writer = await asyncio.open_connection(self._ip, self._port)
        except (OSError, TimeoutError) as error:
            self._note_failure(CONNECT, "connect", f"{type(error).__name__}: {error}")
            return False
        try:
            return await self._use(reader, writer)
        finally:
            writer.transport.abort()

    async def _use(self, reader, writer):
        try:
            session = await open_session(
                reader, writer, self._identity, self._keys, self._connect_timeout_s
            )
            self._check_host(session)
        except ProtocolFault as fault:
            self._note_failure(fault.kind, "handshake", fault.detail)
            return False
        connection = Connection(reader, writer, session)
        self._connection = connection
        self._connected.set()
        try:
            await self._read_answers(connection)
        except ProtocolFault as fault:
            self._note_failure(fault.kind, "read", fault.detail)
        finally:
            self._connection = None
            self._fail_outstanding(connection)
        return True

    def _check_host(self, session):
        expected = self._expected_host
        if expected is None or session.peer.host == expected:
            return
        raise ProtocolFault(
            HANDSHAKE, f"expected host {expected!r}, found {session.peer.host!r}"
        )

    async def _read_answers(self, connection):
        while True:
            message = await read_message(
                connection.reader,
                connection.session,
                self._max_message_bytes,
                None,
                self._frame_timeout_s,
            )
            connection.frames_read += 1
            request_id = message.get("id")
            if not isinstance(request_id, int):
                raise ProtocolFault(MALFORMED, "an answer without an id")
            answered = connection.answers.get(request_id)
            if answered is None or answered.done():
                # The answer to a request whose time was over.
                continue
            answered.set_result(self._result(message))

    def _result(self, message):
        answer = message.get("answer")
        if isinstance(answer, dict):
            return Success(answer)
        if "error" in message:
            return self._failure(REMOTE, "request", True, str(message["error"])[:64])
        return self._failure(MALFORMED, "request", True, "no answer in the message")

    def _fail_outstanding(self, connection):
        for answered in connection.answers.values():
            if not answered.done():
                failure = self._failure(CLOSED, "request", True, "connection ended")
                answered.set_result(failure)

    def _note_failure(self, kind, step, detail):
        self._last_kind = kind
        self._last_detail = detail
        if self._on_error is not None:
            self._on_error(PeerError(kind, step, self._peer_name(), False, detail))

    def _failure(self, kind, step, sent, detail):
        return Failure(PeerError(kind, step, self._peer_name(), sent, detail))

    def _peer_name(self):
        if self.peer is not None:
            return self.peer.host
        return self._expected_host or f"{self._ip}:{self._port}"
