"""The accepting side: authenticated peers' requests, answered one by one."""

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

# A cell has about eight hosts and a region's gossip reaches a few more; the bound is
# far above both and keeps descriptors for callers when peers misbehave.
MAX_CONNECTIONS = 256
# Unauthenticated connections hold a buffer of a few kilobytes each; the bound keeps a
# stranger from taking the peers' share.
MAX_PENDING_HANDSHAKES = 64
MAX_CONCURRENT_REQUESTS = 64
HANDSHAKE_TIMEOUT_S = 3.0
FRAME_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 300.0
CLOSE_TIMEOUT_S = 1.0


class PeerServer:
    """Listens for peers and runs their requests.

    Parameters
    ----------
    identity : Identity
        This process.
    keys : KeyRing
        The keys that are accepted.
    on_request : callable
        Coroutine function ``(peer: Identity, message: dict) -> dict``.
    on_error : callable
        Function of a `PeerError`, for the log.
    handshake_timeout_s, frame_timeout_s, idle_timeout_s : float
        Longest handshake, longest time for one frame once begun, and longest silence
        of an authenticated peer.
    max_connections, max_pending_handshakes, max_concurrent_requests : int
        Bounds on open connections, on those not yet authenticated, and on the
        requests of one connection that run at once.
    max_message_bytes : int
        Largest message.
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
        self._connections = set()
        self._handshakes = 0

    async def start(self, ip, port):
        """Listen; return the bound port (a free one for port 0)."""
        self._server = await asyncio.start_server(self._serve, ip, port)
        return self._server.sockets[0].getsockname()[1]

    async def close(self):
        """Stop listening and end every connection and running request."""
        if self._server is None:
            return
        self._server.close()
        for task in list(self._connections):
            task.cancel()
        if self._connections:
            await asyncio.wait(list(self._connections), timeout=CLOSE_TIMEOUT_S)
        await self._server.wait_closed()
        self._server = None

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        address = writer.get_extra_info("peername") or ("unknown", 0)
        peer = f"{address[0]}:{address[1]}"
        if self._is_full():
            self._report(OVERLOADED, "accept", peer, "too many connections")
            writer.transport.abort()
            return
        self._connections.add(task)
        try:
            await self._serve_peer(reader, writer, peer)
        except asyncio.CancelledError:
            # Only close() cancels; asyncio would log the task as a failure.
            pass
        finally:
            self._connections.discard(task)
            writer.close()

    def _is_full(self):
        if len(self._connections) >= self._max_connections:
            return True
        return self._handshakes >= self._max_pending_handshakes

    async def _serve_peer(self, reader, writer, peer):
        self._handshakes += 1
        try:
            session = await accept_session(
                reader, writer, self._identity, self._keys, self._handshake_timeout_s
            )
        except ProtocolFault as fault:
            self._report(fault.kind, "handshake", peer, fault.detail)
            return
        finally:
            self._handshakes -= 1
        try:
            await self._serve_session(reader, writer, session)
        except ProtocolFault as fault:
            # A peer that goes away between two frames is an ordinary event.
            if fault.kind != CLOSED or fault.detail.startswith("connection lost"):
                self._report(fault.kind, "read", session.peer.host, fault.detail)

    async def _serve_session(self, reader, writer, session):
        running = set()
        free = asyncio.Semaphore(self._max_concurrent_requests)
        try:
            while True:
                # Not reading is the backpressure on a peer that asks too fast.
                await free.acquire()
                message = await self._read(reader, session)
                request_id, request = checked_request(message)
                task = asyncio.create_task(
                    self._run(writer, session, request_id, request)
                )
                running.add(task)
                task.add_done_callback(running.discard)
                task.add_done_callback(lambda _: free.release())
        finally:
            for task in list(running):
                task.cancel()

    async def _read(self, reader, session):
        message = await read_message(
            reader,
            session,
            self._max_message_bytes,
            self._idle_timeout_s,
            self._frame_timeout_s,
        )
        # A key that was taken out of force may be in a stranger's hands: connections
        # that were opened under it end at their next frame, and honest peers open
        # new ones under the present key.
        if self._keys.find(session.key_id) is None:
            raise ProtocolFault(HANDSHAKE, "the connection's key is no longer in force")
        return message

    async def _run(self, writer, session, request_id, request):
        try:
            answer = {"id": request_id, "answer": await self._answer(session, request)}
        except Exception as error:
            # Whatever the handler raises is this request's failure, not the
            # connection's: the other requests on it go on.
            detail = f"{type(error).__name__}: {error}"
            self._report(REMOTE, "request", session.peer.host, detail)
            answer = {"id": request_id, "error": type(error).__name__}
        if writer.is_closing():
            return
        try:
            self._write(writer, session, answer)
            async with asyncio.timeout(self._frame_timeout_s):
                await writer.drain()
        except (TimeoutError, OSError) as error:
            self._report(TIMEOUT, "write", session.peer.host, type(error).__name__)
            writer.transport.abort()

    async def _answer(self, session, request):
        answer = await self._on_request(session.peer, request)
        if not isinstance(answer, dict):
            raise TypeError(f"expected a dict, got {type(answer).__name__}")
        return answer

    def _write(self, writer, session, answer):
        try:
            write_message(writer, session, answer, self._max_message_bytes)
        except ProtocolFault as fault:
            self._report(fault.kind, "write", session.peer.host, fault.detail)
            error = {"id": answer["id"], "error": fault.kind}
            write_message(writer, session, error, self._max_message_bytes)

    def _report(self, kind, step, peer, detail):
        self._on_error(PeerError(kind, step, peer, False, detail))


def checked_request(message):
    """Return the id and body of a request; raises ProtocolFault on anything else."""
    request_id = message.get("id")
    request = message.get("request")
    if not isinstance(request_id, int) or not isinstance(request, dict):
        raise ProtocolFault(MALFORMED, "expected an id and a request")
    return request_id, request
