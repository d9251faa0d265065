"""Errors of calls to other processes."""

from gypsumusher_ports import GypsumusherError

__all__ = ["CallError"]


class CallError(GypsumusherError):
    """A call that brought no whole answer.

    Parameters
    ----------
    step : str
        What was being done: connect, prefill, run or read.
    peer : str
        The address that was called.
    reason : str
        connect, no_connection, broken, silent, garbled, full, behind or left;
        `gypsumusher_routing.Health` weighs them.
    may_have_run : bool
        Whether the other side may have run the call, or may yet.
    """

    def __init__(self, step, peer, reason, may_have_run):
        super().__init__(f"step={step} peer={peer} reason={reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.may_have_run = may_have_run
