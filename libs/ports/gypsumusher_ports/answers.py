"""What an endpoint answers, and what the system itself answers."""

from typing import NamedTuple

__all__ = ["ResponseHead", "PrefillResult", "Refusal"]


class ResponseHead(NamedTuple):
    """The head of an endpoint's answer.

    Attributes
    ----------
    status : int
        HTTP status.
    request_id : str or None
        The request that it answers.
    is_not_run : bool
        Whether the endpoint states that the request hasn't run and won't.
    is_wrong_endpoint : bool
        Whether another endpoint than the one that was named answers at the address.
    is_signed : bool
        Whether it bears the endpoint's signature.
    has_content_encoding : bool
        Whether its body isn't what the endpoint made, since it is encoded.
    headers : tuple of (str, str)
        Headers to pass on to the caller.
    """

    status: int
    request_id: str | None
    is_not_run: bool
    is_wrong_endpoint: bool
    is_signed: bool
    has_content_encoding: bool
    headers: tuple[tuple[str, str], ...]


class PrefillResult(NamedTuple):
    """A prompt that an engine has read and keeps.

    Attributes
    ----------
    handle : str
        Names the KV cache at that engine.
    tokens : int
        Its length.
    """

    handle: str
    tokens: int


class Refusal(NamedTuple):
    """A final answer of the system's own.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        Short code for logs and the answer's body.
    retry_after_s : float or None
        When to come back, in seconds; None when that would not help.
    """

    status: int
    reason: str
    retry_after_s: float | None
