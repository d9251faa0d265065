"""Errors that keep a request from being sent to an endpoint."""

from gypsumusher_ports import GypsumusherError

__all__ = [
    "LIMITED",
    "OTHER_VERSION",
    "PAUSED",
    "CrashingContentError",
    "NoRetryError",
    "OverloadedError",
]

# Reason of sends and of requests that would exceed endpoints' limits.
LIMITED = "limited"
# Reason of sends to endpoints that want no requests from this host for a while, and of
# requests that no other endpoint can serve.
PAUSED = "paused"
# Reason of runs whose endpoint has another software version than their stream.
OTHER_VERSION = "other_version"


class NoRetryError(GypsumusherError):
    """One more send would be a retry, and this host's share of the budget is used up.

    Attributes
    ----------
    reason : str
        Logged reason, as `CallError.reason`.
    """

    reason = "no_retry"


class CrashingContentError(NoRetryError):
    """The request's content crashes endpoints and isn't sent to another one."""

    reason = "crashing_content"


class OverloadedError(GypsumusherError):
    """No endpoint would start the request in time; nothing was sent.

    Parameters
    ----------
    expected_s : float
        Expected time until an endpoint would start, in seconds.
    limit_s : float
        Time within which it would have to start, in seconds.
    """

    def __init__(self, expected_s, limit_s):
        super().__init__(f"expected_s={expected_s:.2f} limit_s={limit_s:.2f}")
        self.expected_s = expected_s
        self.limit_s = limit_s
