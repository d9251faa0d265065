"""HTTP client sessions for calls to endpoints."""

import asyncio

import aiohttp

from gypsumusher_objects import disable_retries

__all__ = ["EngineSessions"]

# Time limit of a probe and of a request to cancel a stream.
PROBE_TIMEOUT_S = 2.0
# Probes of an engine that drops the connection without an answer, and the pause
# after the first, which doubles: 0.6 s in all. A dying process closes its listener
# some milliseconds after its connections, 20 ms or more on a busy machine.
CRASH_PROBES_MAX = 5
CRASH_PROBE_PAUSE_S = 0.02
READ_BUFFER_BYTES = 65_536
# An idle connection of the shared session is closed after this.
KEEPALIVE_S = 30.0


class EngineSessions:
    """The HTTP sessions of this host for calls to endpoints and to other hosts.

    Parameters
    ----------
    connect_timeout_s : float
        Longest wait for a connection.
    silence_s : float
        Longest time between two reads of an answer.

    Attributes
    ----------
    shared : aiohttp.ClientSession
        Reuses connections; for requests that may be repeated.
    fresh : aiohttp.ClientSession
        Opens a connection for each request. A kept-alive connection may be closed
        before the endpoint reads the request, which can't be told from a request
        that ran: the outcome of a request that must run at most once would be
        unknown.
    """

    def __init__(self, connect_timeout_s, silence_s):
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout_s, sock_read=silence_s
        )
        self.shared = None
        self.fresh = None

    async def start(self):
        """Open the sessions."""
        self.shared = self._create_session(force_close=False)
        self.fresh = self._create_session(force_close=True)

    async def close(self):
        """Close the sessions and their connections."""
        for session in (self.shared, self.fresh):
            if session is not None:
                await session.close()

    def _create_session(self, force_close):
        """Return a session without the library's limits on time and connections."""
        extra = {} if force_close else {"keepalive_timeout": KEEPALIVE_S}
        connector = aiohttp.TCPConnector(limit=0, force_close=force_close, **extra)
        session = aiohttp.ClientSession(
            connector=connector,
            timeout=self._timeout,
            cookie_jar=aiohttp.DummyCookieJar(),
            read_bufsize=READ_BUFFER_BYTES,
            auto_decompress=False,
            trust_env=False,
        )
        disable_retries(session)
        return session

    async def accepts_connections(self, address):
        """Return whether an engine still accepts connections.

        Parameters
        ----------
        address : str
            ``IP:PORT``.

        Notes
        -----
        Distinguishes a crash from a lost connection. Only a refused connection counts
        as a crash; a slow answer does not prove one.

        A dropped connection is probed again: when the process of an engine ends, its
        listener closes last and may still accept a probe. Taking that for a sign of
        life would leave a request that crashes engine after engine unconvicted.
        """
        pause_s = CRASH_PROBE_PAUSE_S
        for _ in range(CRASH_PROBES_MAX):
            try:
                await self._probe(address)
            except TimeoutError:
                return True
            except aiohttp.ClientConnectorError:
                return False
            except (aiohttp.ClientConnectionError, OSError):
                await asyncio.sleep(pause_s)
                pause_s *= 2
                continue
            except aiohttp.ClientError:
                return True
            return True
        return True

    async def responds(self, address):
        """Return whether an engine answers a load request now.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        """
        try:
            await self._probe(address)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False
        return True

    async def _probe(self, address):
        """Request an engine's load over a new connection."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        async with self.fresh.get(
            f"http://{address}/load", timeout=timeout
        ) as response:
            await response.read()

    async def cancel(self, address, stream_id):
        """Cancel a stream on an engine; failures are ignored.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        stream_id : str
            The stream; nothing is done when it is empty.
        """
        if not stream_id:
            return
        try:
            timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
            url = f"http://{address}/v1/streams/{stream_id}"
            async with self.fresh.delete(url, timeout=timeout) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The engine drops the stream after its own retention time.
            return
