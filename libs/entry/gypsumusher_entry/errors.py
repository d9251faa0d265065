"""Errors of one send to an endpoint."""

from gypsumusher_ports import GypsumusherError

__all__ = ["EndpointError"]


class EndpointError(GypsumusherError):
    """A send to an endpoint that brought no whole answer.

    Parameters
    ----------
    step : str
        connect, prefill or run.
    peer : str
        The endpoint's address.
    reason : str
        connect, broken, silent, garbled, full or left; `gypsumusher_routing.Health`
        weighs them.
    may_have_run : bool
        Whether the endpoint may have run the request, or may yet.
    """

    def __init__(self, step, peer, reason, may_have_run):
        super().__init__(f"step={step} peer={peer} reason={reason}")
        self.step = step
        self.peer = peer
        self.reason = reason
        self.may_have_run = may_have_run
