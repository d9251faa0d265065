"""The one error of peer connections, and the exception that carries it inside."""

from typing import NamedTuple

CONNECT = "connect"
HANDSHAKE = "handshake"
VERSION = "version"
MALFORMED = "malformed"
FORGED = "forged"
TOO_LARGE = "too_large"
TIMEOUT = "timeout"
CLOSED = "closed"
OVERLOADED = "overloaded"
REMOTE = "remote"


class PeerError(NamedTuple):
    """A request or connection that failed, with the step and the peer.

    Parameters
    ----------
    kind : str
        ``connect`` (no connection), ``handshake`` (not authenticated), ``version``
        (another protocol version), ``malformed``, ``forged`` (a wrong MAC),
        ``too_large``, ``timeout``, ``closed``, ``overloaded`` (a bound was reached)
        or ``remote`` (the peer's handler failed).
    step : str
        ``connect``, ``accept``, ``handshake``, ``read``, ``write`` or ``request``.
    peer : str
        The peer's name once it is authenticated, else ``IP:PORT``.
    sent : bool
        Whether the peer may have acted on the request. False is a promise: no byte
        of the request was written.
    detail : str
        What was seen, for the log; never a secret or a payload.
    """

    kind: str
    step: str
    peer: str
    sent: bool
    detail: str


class ProtocolFault(Exception):
    """Bytes that the protocol doesn't allow; the connection ends.

    Parameters
    ----------
    kind : str
        As in `PeerError`.
    detail : str
        What was wrong.
    """

    def __init__(self, kind, detail):
        super().__init__(f"{kind}: {detail}")
        self.kind = kind
        self.detail = detail
