"""HTTP/1.1 over httptools: kept connections, whole calls, and listeners.

aiohttp and sanic take 0.3 s of processor time to import, which every start of a host
would pay, and each hides what a promise rests on: see `connections` and `listener`.
"""

from gypsumusher_http.calls import Caller, CallLimits
from gypsumusher_http.connections import Answer, ConnectionPool
from gypsumusher_http.errors import CallError
from gypsumusher_http.listener import Listener, Reply

__all__ = [
    "Answer",
    "CallError",
    "CallLimits",
    "Caller",
    "ConnectionPool",
    "Listener",
    "Reply",
]
