"""The listeners that answer in one piece: readiness, directory, peers, metrics."""

import itertools
import socket

import msgpack
from sanic import Sanic
from sanic.response import json, raw

from gypsumusher_entry.peer_beliefs import BELIEFS_PATH
from gypsumusher_platform import READY_PATH, RESOLVE_PATH, encode_hosts

__all__ = ["WebListeners"]

BACKLOG = 256
_numbers = itertools.count()


class WebListeners:
    """One sanic application on several addresses.

    Parameters
    ----------
    context : Context
        What is answered from.
    """

    def __init__(self, context):
        self._context = context
        self._servers = []
        self._app = _create_app(context)

    async def start(self, addresses):
        """Listen on each of the addresses ``ip:port``; return them with real ports."""
        bound = []
        for address in addresses:
            ip, _, port = address.rpartition(":")
            sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind((ip, int(port)))
            server = await self._app.create_server(
                sock=sock,
                backlog=BACKLOG,
                return_asyncio_server=True,
                access_log=False,
            )
            if not self._servers:
                await server.startup()
            self._servers.append(server)
            bound.append(f"{ip}:{sock.getsockname()[1]}")
        return bound

    async def close(self):
        """Stop listening."""
        for server in self._servers:
            await server.close()


def _create_app(context):
    """Return the application."""
    # The library keeps all applications of a process by name.
    name = f"gypsumusher-{next(_numbers)}"
    # Its usual configuration reads the environment and prints a banner.
    app = Sanic(name, configure_logging=False, env_prefix="GYPSUMUSHER_WEB_")
    app.config.MOTD = False
    app.config.ACCESS_LOG = False
    app.config.KEEP_ALIVE_TIMEOUT = 30
    # Its rewriting of its own methods fails at a second listener.
    app.config.TOUCHUP = False

    @app.get(READY_PATH)
    async def ready(request):
        status = 200 if context.is_ready else 503
        return json({"ready": context.is_ready}, status=status)

    @app.get(RESOLVE_PATH)
    async def resolve(request):
        addresses = [news.callers_address for news in context.active_hosts()]
        if not addresses:
            addresses = [context.settings.callers_address]
        addresses.sort(key=lambda _: context.draw())
        ttl_s = context.directory_ttl_s()
        return json(encode_hosts(addresses, ttl_s))

    @app.get(BELIEFS_PATH)
    async def beliefs(request):
        stored = context.configuration_source
        body = msgpack.packb(
            {
                "configuration": None if stored is None else list(stored),
                "endpoints": [list(record) for record in context.endpoints.listed()],
                "revision": context.endpoints.revision,
                "is_whole": not context.endpoints.is_in_grace(context.clock()),
            }
        )
        return raw(body, content_type="application/msgpack")

    @app.get("/metrics")
    async def metrics(request):
        body, headers = context.metrics.render()
        return raw(body, headers=headers)

    return app
