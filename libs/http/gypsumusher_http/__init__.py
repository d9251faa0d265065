"""HTTP/1.1 over httptools: kept connections, whole calls, and listeners.

aiohttp and sanic are slow to import, which each start of a host would pay for, and hide
what some promises rest on: see `connections` and `listener`.
"""

from gypsumusher_http.calls import CallLimits, HttpClient
from gypsumusher_http.connections import ConnectionPool, Response
from gypsumusher_http.errors import CallError
from gypsumusher_http.listener import Listener, Reply

__all__ = [
    "Response",
    "CallError",
    "CallLimits",
    "HttpClient",
    "ConnectionPool",
    "Listener",
    "Reply",
]
