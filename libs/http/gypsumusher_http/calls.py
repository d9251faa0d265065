"""Calls whose answers are read whole, for as long as their bytes keep coming."""

import asyncio
from typing import NamedTuple

from gypsumusher_http.connections import ConnectionPool
from gypsumusher_ports import DecodeError

__all__ = ["CallLimits", "HttpClient"]

# Connections to one address at once. A host has a few calls under way to one process.
MAX_CONNECTIONS = 8
# Longest time to open a connection, in seconds; the limit on the head holds besides.
CONNECT_TIMEOUT_S = 1.0


class CallLimits(NamedTuple):
    """How long an answer may take, and how large it may be.

    Attributes
    ----------
    head_timeout_s : float
        Longest wait for its head, in seconds.
    read_timeout_s : float
        Longest wait for its next bytes, in seconds.
    body_timeout_s : float
        Longest time from its head to its end, in seconds.
    max_body_bytes : int
        Largest body, in bytes.
    """

    head_timeout_s: float
    read_timeout_s: float
    body_timeout_s: float
    max_body_bytes: int


class _Head(NamedTuple):
    """The head of a call's answer."""

    status: int
    request_id: None = None


class HttpClient:
    """Makes calls on kept connections. No call is ever repeated.

    Parameters
    ----------
    clock : callable
        Steady clock in seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        self._pool = ConnectionPool(clock, _decode_head, CONNECT_TIMEOUT_S)

    def close(self):
        """Close all connections at once."""
        self._pool.close()

    async def call(self, method, address, path, limits, query=None, body=None):
        """Make a call; return the status and the whole body of its answer.

        Failures guarded against: one read returns what has come so far, and a reader
        that takes it for the whole can read no answer of more than a packet or two. And
        a limit on the whole time turns away whatever is large for a weak link, each
        time anew from the first byte: the host never hears it, and its tries fill the
        link for others. So the limit is on silence, which tells a dead peer from a slow
        link.

        Parameters
        ----------
        method, address, path : str
            The call; the address is ``ip:port``.
        limits : CallLimits
            Bounds of the answer.
        query : dict of str to str, or None
            The query.
        body : bytes or None
            A JSON body.

        Returns
        -------
        tuple of int and bytes
            Status and body.

        Raises
        ------
        TimeoutError
            When nothing came for too long, or the whole took too long.
        DecodeError
            When the body is too large; the rest is left unread.
        CallError
            When the connection failed.
        """
        data = _encode(method, address, path, query, body)
        answer = None
        try:
            async with asyncio.timeout(limits.head_timeout_s) as timeout:
                connection = await self._pool.acquire(address, address, MAX_CONNECTIONS)
                answer = connection.send(data, None)
                head = await answer.head()
                pieces = await self._read(answer, f"{address}{path}", limits, timeout)
                return head.status, b"".join(pieces)
        finally:
            if answer is not None:
                answer.close()

    async def _read(self, answer, name, limits, timeout):
        """Return the pieces of a body."""
        ends_s = self._clock() + limits.body_timeout_s
        pieces, size_bytes = [], 0
        while True:
            timeout.reschedule(min(self._clock() + limits.read_timeout_s, ends_s))
            piece = await answer.read()
            if not piece:
                return pieces
            size_bytes += len(piece)
            if size_bytes > limits.max_body_bytes:
                raise DecodeError(
                    "body", name, f"body over {limits.max_body_bytes} bytes"
                )
            pieces.append(piece)


def _decode_head(status, headers):
    return _Head(status)


def _encode(method, address, path, query, body):
    """Return the bytes of a call."""
    target = path
    if query:
        # Imported here, since a start waits for calls without a query alone.
        from urllib.parse import urlencode

        target = f"{path}?{urlencode(query)}"
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    if body is not None:
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + (body or b"")
