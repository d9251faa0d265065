"""HTTP/1.1 on top of httptools: connection pool, client and listener.

aiohttp and sanic aren't used: their import slows down each start of a host, and they
don't give the control over connections and framing that `connections` and `listener`
need.
"""

from gypsumusher_http.calls import CallLimits, HttpClient
from gypsumusher_http.connection_budget import (
    IN_USE,
    SENT_AHEAD,
    UNREAD,
    UNUSED,
    ConnectionBudget,
)
from gypsumusher_http.connections import (
    RESPONSE_MAX_BYTES,
    ConnectionPool,
    Response,
)
from gypsumusher_http.errors import CallError, TunnelRefusedError
from gypsumusher_http.listener import Listener, Reply, SharedBytes
from gypsumusher_http.tolerant_json import decode_tolerantly
from gypsumusher_http.tunnels import TunnelRelay

__all__ = [
    "IN_USE",
    "SENT_AHEAD",
    "UNREAD",
    "UNUSED",
    "RESPONSE_MAX_BYTES",
    "CallError",
    "CallLimits",
    "ConnectionBudget",
    "ConnectionPool",
    "HttpClient",
    "Listener",
    "Reply",
    "Response",
    "SharedBytes",
    "TunnelRefusedError",
    "TunnelRelay",
    "decode_tolerantly",
]
