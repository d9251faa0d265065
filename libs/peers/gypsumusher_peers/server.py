"""Server side: accepts authenticated peers and answers their requests."""

import asyncio

from gypsumusher_peers.errors import (
    CLOSED,
    HANDSHAKE,
    MALFORMED,
    OVERLOADED,
    REMOTE,
    TIMEOUT,
    PeerError,
    ProtocolFault,
)
from gypsumusher_peers.framing import FRAME_LIMIT_BYTES
from gypsumusher_peers.wire import accept_session, read_message, write_message

# A cell has about eight hosts, and gossip within a region adds a few more peers. The
# limit is far above both, and leaves file descriptors for callers when peers open too
# many connections.
MAX_CONNECTIONS = 256
# An unauthenticated connection holds a buffer of a few kilobytes. The limit keeps
# unauthenticated clients from using up the connections meant for peers.
MAX_PENDING_HANDSHAKES = 64
# Requests of one connection that run at once; beyond it the server stops reading.
MAX_CONCURRENT_REQUESTS = 64
HANDSHAKE_TIMEOUT_S = 3.0
FRAME_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 300.0
# Longest wait in close() until the cancelled connection tasks have ended.
CLOSE_TIMEOUT_S = 1.0


class PeerServer:
    """Listens for peers and runs a handler for each of their requests.

    Parameters
    ----------
    identity : Identity
        This process.
    keys : KeyRing
        The keys that are accepted.
    on_request : callable
        Coroutine function ``(peer: Identity, message: dict) -> dict``, the handler.
    on_error : callable
        Function of a `PeerError`, for the log.
    handshake_timeout_s, frame_timeout_s, idle_timeout_s : float
        Longest handshake, longest time from the first byte of a frame to its last,
        and longest time that an authenticated peer may send nothing.
    max_connections, max_pending_handshakes, max_concurrent_requests : int
        Limits of open connections, of those not yet authenticated, and of the
        requests of one connection that run at once.
    max_message_bytes : int
        Largest message, in either direction.
    """

    def __init__(
        self,
        identity,
        keys,
        on_request,
        on_error,
        *,
        handshake_timeout_s=HANDSHAKE_TIMEOUT_S,
        frame_timeout_s=FRAME_TIMEOUT_S,
        idle_timeout_s=IDLE_TIMEOUT_S,
        max_connections=MAX_CONNECTIONS,
        max_pending_handshakes=MAX_PENDING_HANDSHAKES,
        max_concurrent_requests=MAX_CONCURRENT_REQUESTS,
        max_message_bytes=FRAME_LIMIT_BYTES,
    ):
        self._identity = identity
        self._keys = keys
        self._on_request = on_request
        self._on_error = on_error
        self._handshake_timeout_s = handshake_timeout_s
        self._frame_timeout_s = frame_timeout_s
        self._idle_timeout_s = idle_timeout_s
        self._max_connections = max_connections
        self._max_pending_handshakes = max_pending_handshakes
        self._max_concurrent_requests = max_concurrent_requests
        self._max_message_bytes = max_message_bytes
        self._server = None
        self._connection_tasks = set()
        self._pending_handshakes = 0

    async def start(self, ip, port):
        """Listen; return the bound port (port 0 binds a free one)."""
        self._server = await asyncio.start_server(self._on_connection, ip, port)
        return self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop listening, close every connection and cancel running requests."""
        if self._server is None:
            return
        self._server.close()
        for task in list(self._connection_tasks):
            task.cancel()
        if self._connection_tasks:
            await asyncio.wait(list(self._connection_tasks), timeout=CLOSE_TIMEOUT_S)
        await self._server.wait_closed()
        self._server = None

    async def _on_connection(self, reader, writer):
        task = asyncio.current_task()
        address = writer.get_extra_info("peername") or ("unknown", 0)
        peer = f"{address[0]}:{address[1]}"
        if self._is_full():
            self._report_error(OVERLOADED, "accept", peer, "too many connections")
            writer.transport.abort()
            return
        self._connection_tasks.add(task)
        try:
            await self._serve_connection(reader, writer, peer)
        except asyncio.CancelledError:
            # Only close() cancels this task; asyncio would log it as failed.
            pass
        finally:
            self._connection_tasks.discard(task)
            writer.close()

    def _is_full(self):
        if len(self._connection_tasks) >= self._max_connections:
            return True
        return self._pending_handshakes >= self._max_pending_handshakes

    async def _serve_connection(self, reader, writer, peer):
        self._pending_handshakes += 1
        try:
            session = await accept_session(
                reader, writer, self._identity, self._keys, self._handshake_timeout_s
            )
        except ProtocolFault as fault:
            self._report_error(fault.kind, "handshake", peer, fault.detail)
            return
        finally:
            self._pending_handshakes -= 1
        try:
            await self._serve_session(reader, writer, session)
        except ProtocolFault as fault:
            # A peer that closes its connection is normal and not reported.
            if fault.kind != CLOSED or fault.detail.startswith("connection lost"):
                self._report_error(fault.kind, "read", session.peer.host, fault.detail)

    async def _serve_session(self, reader, writer, session):
        running = set()
        request_slots = asyncio.Semaphore(self._max_concurrent_requests)
        try:
            while True:
                # Not reading applies backpressure to a peer that sends requests
                # faster than they are answered.
                await request_slots.acquire()
                message = await self._read_message(reader, session)
                request_id, request = parse_request(message)
                task = asyncio.create_task(
                    self._run_request(writer, session, request_id, request)
                )
                running.add(task)
                task.add_done_callback(running.discard)
                task.add_done_callback(lambda _: request_slots.release())
        finally:
            for task in list(running):
                task.cancel()

    async def _read_message(self, reader, session):
        message = await read_message(
            reader,
            session,
            self._max_message_bytes,
            self._idle_timeout_s,
            self._frame_timeout_s,
        )
        # A key may have been removed because it was compromised. Connections opened
        # under a removed key therefore end at their next frame; legitimate peers
        # reconnect under a current key.
        if self._keys.find(session.key_id) is None:
            raise ProtocolFault(HANDSHAKE, "the connection's key was removed")
        return message

    async def _run_request(self, writer, session, request_id, request):
        try:
            response = {
                "id": request_id,
                "answer": await self._call_handler(session, request),
            }
        except Exception as error:
            # An exception of the handler fails this request only; the other requests
            # of the connection continue.
            detail = f"{type(error).__name__}: {error}"
            self._report_error(REMOTE, "request", session.peer.host, detail)
            response = {"id": request_id, "error": type(error).__name__}
        if writer.is_closing():
            return
        try:
            self._write_response(writer, session, response)
            async with asyncio.timeout(self._frame_timeout_s):
                await writer.drain()
        except (TimeoutError, OSError) as error:
            self._report_error(
                TIMEOUT, "write", session.peer.host, type(error).__name__
            )
            writer.transport.abort()

    async def _call_handler(self, session, request):
        body = await self._on_request(session.peer, request)
        if not isinstance(body, dict):
            raise TypeError(
                f"expected the handler to return a dict, got {type(body).__name__}"
            )
        return body

    def _write_response(self, writer, session, response):
        try:
            write_message(writer, session, response, self._max_message_bytes)
        except ProtocolFault as fault:
            self._report_error(fault.kind, "write", session.peer.host, fault.detail)
            error = {"id": response["id"], "error": fault.kind}
            write_message(writer, session, error, self._max_message_bytes)

    def _report_error(self, kind, step, peer, detail):
        self._on_error(PeerError(kind, step, peer, False, detail))


def parse_request(message):
    """Return the id and body of a request; raises ProtocolFault if it is invalid."""
    request_id = message.get("id")
    request = message.get("request")
    if not isinstance(request_id, int) or not isinstance(request, dict):
        raise ProtocolFault(MALFORMED, "request without a valid id or body")
    return request_id, request
