"""The listeners that answer in one piece: readiness, directory, peers, metrics."""

import itertools
import socket

from sanic import Sanic
from sanic.response import json, raw

from gypsumusher_entry.belief_messages import BeliefEncoder, Beliefs
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

    encoder = BeliefEncoder()

    @app.get(BELIEFS_PATH)
    async def beliefs(request):
        version = _known_number(request, "version")
        revision = _known_number(request, "revision")
        body = encoder.encode(_beliefs_beyond(context, version, revision))
        return raw(body, content_type="application/msgpack")

    @app.get("/metrics")
    async def metrics(request):
        body, headers = context.metrics.render()
        return raw(body, headers=headers)

    return app


def _known_number(request, name):
    """Return a number that the asking host gives, -1 when it gives none."""
    text = request.args.get(name, "")
    return int(text) if text.isascii() and text.isdigit() else -1


def _beliefs_beyond(context, version, revision):
    """Return what a host lacks that knows a version and a revision.

    A list that is not whole is told again whatever the revision: what it lacks comes
    without a new one.
    """
    endpoints = context.endpoints
    is_whole = not endpoints.is_in_grace(context.clock())
    stored = context.configuration_source
    if context.configuration_version <= version:
        stored = None
    records = None
    if endpoints.revision > revision or not is_whole:
        records = tuple(endpoints.listed())
    return Beliefs(stored, records, endpoints.revision, is_whole)
