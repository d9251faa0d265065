"""Run one stand-in's web application until SIGTERM, with its ready line."""

import asyncio
import signal

from aiohttp import web

MAX_BODY_BYTES = 8 * 1024 * 1024
FORGET_ABOVE = 512
FORGET_AFTER_S = 5.0


class Connections:
    """When each open connection was accepted, in seconds of the loop's clock."""

    def __init__(self):
        self.opened_s = {}
        self.used_for = {}
        self.on_open = None

    def opened(self, handler):
        """Note a new connection, given as aiohttp's protocol object."""
        now_s = asyncio.get_running_loop().time()
        self._forget_closed(now_s)
        self.opened_s[handler] = now_s
        if self.on_open is not None:
            self.on_open(handler)

    def _forget_closed(self, now_s):
        # A handler has no transport before its connection is made as well, so that
        # only older ones are known to be closed. aiohttp's handlers take no weak
        # references, which would have done this by themselves.
        if len(self.opened_s) < FORGET_ABOVE:
            return
        for handler, opened_s in list(self.opened_s.items()):
            if handler.transport is not None or now_s - opened_s < FORGET_AFTER_S:
                continue
            del self.opened_s[handler]
            self.used_for.pop(handler, None)

    def age_s(self, request):
        """Return for how many seconds the request's connection has been open."""
        now_s = asyncio.get_running_loop().time()
        return now_s - self.opened_s[request.protocol]


def close_connection(request):
    """Close a request's connection without an answer.

    Parameters
    ----------
    request : aiohttp.web.Request
        The request whose connection is closed.

    Returns
    -------
    aiohttp.web.Response
        A response to return from the handler; it reaches no one.
    """
    if request.transport is not None:
        request.transport.abort()
    return web.Response(status=500)


async def serve(app, connections, ip, port, on_ready, on_stop):
    """Serve until SIGTERM or SIGINT, then stop in a planned way.

    Parameters
    ----------
    app : aiohttp.web.Application
        The stand-in.
    connections : Connections
        Told of each accepted connection.
    ip : str
        Address to bind.
    port : int
        Port to bind; 0 picks a free one.
    on_ready : callable
        Coroutine function of the bound address ``IP:PORT``, run before the ready line.
    on_stop : callable
        Coroutine function run at the stop, while requests still go on.
    """
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=1.0)
    await runner.setup()

    def accept():
        handler = runner.server()
        connections.opened(handler)
        return handler

    server = await loop.create_server(accept, ip, port, backlog=1024)
    bound_ip, bound_port = server.sockets[0].getsockname()[:2]
    address = f"{bound_ip}:{bound_port}"
    await on_ready(address)
    print(f"event=ready address={address}", flush=True)
    await stop.wait()
    await on_stop()
    server.close()
    await runner.cleanup()
