"""HTTP client that reads whole responses, with a limit on pauses between data."""

import asyncio
from typing import NamedTuple

from gypsumusher_http.connections import ConnectionPool
from gypsumusher_ports import DecodeError

__all__ = ["CallLimits", "HttpClient"]

# Connections to one address at once; a host makes few concurrent calls to one process.
MAX_CONNECTIONS = 8
# Limit on opening a connection. `CallLimits.head_timeout_s` includes this time.
CONNECT_TIMEOUT_S = 1.0


class CallLimits(NamedTuple):
    """Limits on the time and the size of a response.

    Attributes
    ----------
    head_timeout_s : float
        Longest time from the start of the call to the response's head, in seconds.
    read_timeout_s : float
        Longest wait for the next bytes of the body, in seconds.
    body_timeout_s : float
        Longest time from the head to the end of the response, in seconds.
    max_body_bytes : int
        Largest body of a response, in bytes.
    """

    head_timeout_s: float
    read_timeout_s: float
    body_timeout_s: float
    max_body_bytes: int


class _Head(NamedTuple):
    """Head of a response, whose id isn't read: these calls have none."""

    status: int
    request_id: None = None


class HttpClient:
    """Makes calls on pooled connections. The client never repeats a call.

    Parameters
    ----------
    clock : callable
        Monotonic clock in seconds.
    """

    def __init__(self, clock):
        self._clock = clock
        self._pool = ConnectionPool(clock, _decode_head, CONNECT_TIMEOUT_S)

    def close(self):
        """Close all connections at once."""
        self._pool.close()

    async def call(
        self, method, address, path, limits, query=None, body=None, headers=()
    ):
        """Make a call; return the status and the whole body of the response.

        The body is read until its end, since a single read returns only what has
        arrived so far.

        The main limit is on the pause between data, which distinguishes a dead peer
        from a slow link. With a short limit on the total time, a host on a slow link
        would never get a large response: each attempt would begin at the first byte
        again and take bandwidth from other calls.

        Parameters
        ----------
        method, address, path : str
            HTTP method, ``ip:port`` of the other process, and path without query.
        limits : CallLimits
            Limits on the response.
        query : dict of str to str, or None
            Parameters of the query.
        body : bytes or None
            Body in JSON.
        headers : iterable of (str, str)
            Headers beyond those of the framing.

        Returns
        -------
        tuple of (int, bytes)
            Status and body.

        Raises
        ------
        TimeoutError
            When a time of ``limits`` is exceeded.
        DecodeError
            When the body is too large; its rest isn't read.
        CallError
            When the connection failed.
        """
        request = _encode(method, address, path, query, body, headers)
        response = None
        try:
            async with asyncio.timeout(limits.head_timeout_s) as timeout:
                connection = await self._pool.acquire(address, address, MAX_CONNECTIONS)
                response = connection.send(request, None, limits.max_body_bytes)
                head = await response.head()
                body = await self._read(response, f"{address}{path}", limits, timeout)
                return head.status, body
        finally:
            if response is not None:
                response.close()

    async def _read(self, response, name, limits, timeout):
        """Read and return a body within the limits."""
        end_s = self._clock() + limits.body_timeout_s
        chunks, received_bytes = [], 0
        try:
            while True:
                timeout.reschedule(min(self._clock() + limits.read_timeout_s, end_s))
                chunks.append(await response.read())
                if not chunks[-1]:
                    return b"".join(chunks)
                received_bytes += len(chunks[-1])
                if received_bytes > limits.max_body_bytes:
                    raise DecodeError(
                        "body", name, f"body over {limits.max_body_bytes} bytes"
                    )
        finally:
            # The traceback of an error would keep them as long as the error is kept.
            chunks.clear()


def _decode_head(status, headers):
    return _Head(status)


def _encode(method, address, path, query, body, headers):
    """Encode a request in HTTP/1.1."""
    target = path
    if query:
        # Imported here, since the calls at the start of a process have no query and
        # needn't wait for the import.
        from urllib.parse import urlencode

        target = f"{path}?{urlencode(query)}"
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body is not None:
        lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + (body or b"")
