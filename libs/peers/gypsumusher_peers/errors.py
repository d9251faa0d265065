"""The error value that peer connections return, and the exception used internally."""

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
        ``connect`` (no connection), ``handshake`` (authentication failed),
        ``version`` (the peer uses another protocol version), ``malformed`` (invalid
        message), ``forged`` (wrong MAC), ``too_large``, ``timeout``, ``closed``,
        ``overloaded`` (a limit was reached) or ``remote`` (the peer's request handler
        failed).
    step : str
        ``connect``, ``accept``, ``handshake``, ``read``, ``write`` or ``request``.
    peer : str
        The peer's host name once it is authenticated, else ``IP:PORT``.
    sent : bool
        Whether the peer may have acted on the request. False guarantees that no byte
        of the request was written.
    detail : str
        Description of the failure, for the log; never contains a secret or a payload.
    """

    kind: str
    step: str
    peer: str
    sent: bool
    detail: str


class ProtocolFault(Exception):
    """A protocol violation, a time-out or a lost connection, raised in this package.

    Raised while reading it ends the connection; raised while a message is packed or
    measured for writing it fails that message only.

    Parameters
    ----------
    kind : str
        As in `PeerError`.
    detail : str
        As in `PeerError`.
    """

    def __init__(self, kind, detail):
        super().__init__(f"{kind}: {detail}")
        self.kind = kind
        self.detail = detail
