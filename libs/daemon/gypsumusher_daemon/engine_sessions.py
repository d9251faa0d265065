"""HTTP sessions to engines, with every limit of the library set on purpose."""

import asyncio

import aiohttp

from gypsumusher_objects import disable_retries

__all__ = ["EngineSessions"]

PROBE_TIMEOUT_S = 2.0
# Questions to an engine that drops the connection without an answer, and the pause
# before the first repeat, which doubles: 0.6 s in all. A process that dies closes its
# listener some milliseconds after its connections, 20 ms and more on a busy machine.
DYING_PROBES = 5
DYING_PAUSE_S = 0.02
READ_BUFFER_BYTES = 65_536
KEEPALIVE_S = 30.0


class EngineSessions:
    """The sessions by which this host talks to endpoints.

    Parameters
    ----------
    connect_timeout_s : float
        Longest wait for a connection.
    silence_s : float
        Longest silence within an answer.

    Attributes
    ----------
    shared : aiohttp.ClientSession
        Keeps connections alive, for work that may be repeated.
    fresh : aiohttp.ClientSession
        A new connection for each request. A kept-alive one may have been closed
        before the endpoint read our request, which can't be told from a request
        that ran; where a request may run once only, its outcome would be unknown.
    """

    def __init__(self, connect_timeout_s, silence_s):
        self._timeout = aiohttp.ClientTimeout(
            total=None, sock_connect=connect_timeout_s, sock_read=silence_s
        )
        self.shared = None
        self.fresh = None

    async def start(self):
        """Open the sessions."""
        self.shared = self._session(force_close=False)
        self.fresh = self._session(force_close=True)

    async def close(self):
        """Close the sessions and their connections."""
        for session in (self.shared, self.fresh):
            if session is not None:
                await session.close()

    def _session(self, force_close):
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

    async def answers(self, address):
        """Return whether an engine still takes connections.

        Parameters
        ----------
        address : str
            ``IP:PORT``.

        Notes
        -----
        Tells a crash from a broken connection. Only a refused connection counts as
        a crash: an engine that is slow to answer is no proof that it has gone.

        Failure guarded against: the engine is asked in the moment in which its
        process ends, and its listener, which goes last, still takes the connection.
        It shows as a request that crashes engine after engine and is never
        convicted. Asked again, the engine refuses.
        """
        pause_s = DYING_PAUSE_S
        for _ in range(DYING_PROBES):
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
        """Return whether an engine answers a question now.

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
        """Ask an engine for its load on a new connection."""
        timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        async with self.fresh.get(
            f"http://{address}/load", timeout=timeout
        ) as response:
            await response.read()

    async def cancel(self, address, stream_id):
        """Ask an engine to stop a stream that nobody will read.

        Parameters
        ----------
        address : str
            ``IP:PORT``.
        stream_id : str
            The stream.
        """
        if not stream_id:
            return
        try:
            timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
            url = f"http://{address}/v1/streams/{stream_id}"
            async with self.fresh.delete(url, timeout=timeout) as response:
                await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # The engine's own retention ends the stream.
            return
