"""Errors of calls to other processes."""

from gypsumusher_ports import GypsumusherError

__all__ = ["CallError", "TunnelRefusedError"]


class CallError(GypsumusherError):
    """A call that got no complete response.

    Parameters
    ----------
    step : str
        The step that failed: connect, prefill, run or read.
    peer : str
        Address of the other process.
    reason : str
        connect, no_connection, broken, silent, garbled, full, behind, left or
        link_down.
        `gypsumusher_routing.Health` rates endpoints by these reasons.
    may_have_run : bool
        Whether the other process may have run the call, or may still run it.
    is_reset : bool
        Whether the connection was lost with an error, not by a regular end.
    """

    def __init__(self, step, peer, reason, may_have_run, is_reset=False):
        super().__init__(f"step={step} peer={peer} reason={reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.may_have_run = may_have_run
        self.is_reset = is_reset


class TunnelRefusedError(GypsumusherError):
    """A host in between opened no tunnel; nothing was sent through it.

    Parameters
    ----------
    relay, peer : str
        Addresses of the host in between, and of the other process.
    status : int
        Status of its response; 0 if it gave none.
    """

    def __init__(self, relay, peer, status):
        super().__init__(f"relay={relay} peer={peer} status={status}")
        self.relay = relay
        self.peer = peer
        self.status = status
