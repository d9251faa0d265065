"""Errors of one send to an endpoint."""

from gypsumusher_ports import GypsumusherError

__all__ = ["EndpointError", "OverloadedError"]


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


class OverloadedError(GypsumusherError):
    """No endpoint would begin in time; nothing was sent.

    Parameters
    ----------
    expected_s : float
        When an endpoint would begin, in seconds.
    limit_s : float
        Until when it must, in seconds.
    """

    def __init__(self, expected_s, limit_s):
        super().__init__(f"expected_s={expected_s:.2f} limit_s={limit_s:.2f}")
        self.expected_s = expected_s
        self.limit_s = limit_s
