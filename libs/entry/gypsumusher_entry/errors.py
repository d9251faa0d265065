"""Errors of a request that is not sent."""

from gypsumusher_ports import GypsumusherError

__all__ = ["NoRetryError", "OverloadedError"]


class NoRetryError(GypsumusherError):
    """One more send would be a retry, and this host's share of them is spent.

    Attributes
    ----------
    reason : str
        As that of an error of a call.
    """

    reason = "no_retry"


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
