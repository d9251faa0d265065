"""Endpoints' responses, and error responses that the system itself makes."""

from typing import NamedTuple

__all__ = ["PrefillResult", "Refusal", "ResponseHead"]


class ResponseHead(NamedTuple):
    """Status and headers of an endpoint's response.

    Attributes
    ----------
    status : int
        HTTP status.
    request_id : str or None
        Id of the request to which this is the response; None when the endpoint sent no
        id.
    is_not_run : bool
        Whether the endpoint states that it hasn't run the request and won't.
    is_wrong_endpoint : bool
        Whether the endpoint at the address isn't the one that the request named.
    is_signed : bool
        Whether the response carries the endpoint's signature.
    has_content_encoding : bool
        Whether the body is encoded, and so isn't the body that the endpoint made.
    headers : tuple of (str, str)
        Headers to forward to the caller.
    limit_per_s : float or None
        Requests per second that the endpoint takes from all hosts together; None when
        it states no limit.
    has_unreadable_limit : bool
        Whether it states a limit that can't be decoded.
    is_leaving : bool
        Whether the endpoint states that it is shutting down.
    retry_after_s : float or None
        Time after which a request may be sent again, in seconds; None when the response
        states none.
    has_unreadable_retry_after : bool
        Whether it states such a time that can't be decoded.
    """

    status: int
    request_id: str | None
    is_not_run: bool
    is_wrong_endpoint: bool
    is_signed: bool
    has_content_encoding: bool
    headers: tuple[tuple[str, str], ...]
    limit_per_s: float | None = None
    has_unreadable_limit: bool = False
    is_leaving: bool = False
    retry_after_s: float | None = None
    has_unreadable_retry_after: bool = False


class PrefillResult(NamedTuple):
    """The KV cache of a prompt that an engine has prefilled and holds.

    Attributes
    ----------
    handle : str
        Identifier of the KV cache at that engine.
    tokens : int
        Length of the prompt, in tokens.
    """

    handle: str
    tokens: int


class Refusal(NamedTuple):
    """A final error response that the system itself makes.

    Attributes
    ----------
    status : int
        HTTP status.
    reason : str
        Short code for logs and for the body of the response.
    retry_after_s : float or None
        Time after which the caller may retry, in seconds; None when a retry wouldn't
        help.
    """

    status: int
    reason: str
    retry_after_s: float | None
