"""HTTP server of a stand-in process, and the connections that it has accepted."""

import asyncio
import signal

from aiohttp import web

MAX_BODY_BYTES = 8 * 1024 * 1024
# Number of tracked connections from which on a new one triggers a purge of closed ones.
# Without it, closed connections would stay in memory until the process ends.
PURGE_MIN_CONNECTIONS = 512
# Age below which a connection without a transport may still be in its set-up.
PURGE_MIN_AGE_S = 5.0


class ConnectionTracker:
    """Accept times and purposes of the open connections.

    Attributes
    ----------
    opened_at_s : dict
        Time at which each connection was accepted, on the event loop's clock, by
        aiohttp's protocol object.
    purposes : dict
        ``orders`` or ``other``, by protocol object: whether the newest call on the
        connection was a call of ``/orders``. Set by the handlers of an engine.
    on_open : callable or None
        Called with the protocol object of each new connection.
    """

    def __init__(self):
        self.opened_at_s = {}
        self.purposes = {}
        self.on_open = None

    def add(self, protocol):
        """Start to track a new connection, given as aiohttp's protocol object."""
        now_s = asyncio.get_running_loop().time()
        self._purge_closed(now_s)
        self.opened_at_s[protocol] = now_s
        if self.on_open is not None:
            self.on_open(protocol)

    def _purge_closed(self, now_s):
        # A protocol object has no transport after its connection was closed, but also
        # before the connection is made; the minimum age tells these cases apart. A
        # WeakKeyDictionary is not possible: aiohttp's protocol objects don't support
        # weak references.
        if len(self.opened_at_s) < PURGE_MIN_CONNECTIONS:
            return
        for protocol, opened_at_s in list(self.opened_at_s.items()):
            if protocol.transport is not None or now_s - opened_at_s < PURGE_MIN_AGE_S:
                continue
            del self.opened_at_s[protocol]
            self.purposes.pop(protocol, None)

    def age_s(self, request):
        """Return the age of the request's connection in seconds."""
        now_s = asyncio.get_running_loop().time()
        return now_s - self.opened_at_s[request.protocol]


def abort_connection(request):
    """Close a request's connection without a response.

    Parameters
    ----------
    request : aiohttp.web.Request
        The request whose connection is closed.

    Returns
    -------
    aiohttp.web.Response
        A response for the handler to return, as aiohttp requires; it is never sent.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


async def serve(app, connections, ip, port, on_ready, on_stop):
    """Serve an application until SIGTERM or SIGINT, then shut down gracefully.

    When the server accepts calls and `on_ready` has returned, it prints the line
    ``event=ready address=IP:PORT`` on standard output.

    Parameters
    ----------
    app : aiohttp.web.Application
        Application of the stand-in.
    connections : ConnectionTracker
        Tracker to which each accepted connection is added.
    ip : str
        Address to bind.
    port : int
        Port to bind; 0 selects a free one.
    on_ready : callable
        Coroutine function that is called with the bound address ``IP:PORT`` before the
        ready line is printed.
    on_stop : callable
        Coroutine function that is called at shutdown, while the server still accepts
        and processes requests.
    """
    loop = asyncio.get_running_loop()
    stop_requested = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()

    def create_protocol():
        protocol = runner.server()
        connections.add(protocol)
        return protocol

    server = await loop.create_server(create_protocol, ip, port, backlog=1024)
    bound_ip, bound_port = server.sockets[0].getsockname()[:2]
    address = f"{bound_ip}:{bound_port}"
    await on_ready(address)
    print(f"event=ready address={address}", flush=True)
    await stop_requested.wait()
    await on_stop()
    server.close()
    await runner.cleanup()
