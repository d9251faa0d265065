"""A caller's request, and one send of it to an endpoint."""

from typing import NamedTuple

__all__ = ["CallerRequest", "Generation", "PromptPart", "SendOptions"]


class PromptPart(NamedTuple):
    """One part of a prompt, which other prompts may share.

    Attributes
    ----------
    part_id : int
        Its id; the same part always has the same one.
    tokens : int
        Its length.
    """

    part_id: int
    tokens: int


class Generation(NamedTuple):
    """What a request asks of a model.

    Attributes
    ----------
    model : str
        The model.
    prompt_tokens, max_output_tokens : int
        Length of the prompt, and most tokens of the answer.
    expected_output_tokens : int or None
        The caller's own estimate, right at the median but often far off.
    parts : tuple of PromptPart
        The prompt in order; the last part is the request's or its session's own.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None
    parts: tuple[PromptPart, ...]


class CallerRequest(NamedTuple):
    """One attempt of a caller, read completely.

    Attributes
    ----------
    request_id : str
        Id of this attempt; empty when the caller sent none.
    method, target : str
        Method, and path with query as sent.
    host : str
        Host name that it was sent to, without a port.
    headers : tuple of (str, str)
        Headers to pass on.
    body : bytes
        The whole body.
    caller_timeout_s : float or None
        For how long the caller waits, in seconds; None when it doesn't say.
    generation : Generation or None
        What it asks of a model; None for a plain service.
    last_event_id : str or None
        Event after which a resumed stream goes on.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    caller_timeout_s: float | None
    generation: Generation | None
    last_event_id: str | None


class SendOptions(NamedTuple):
    """How one request is sent to one endpoint.

    Attributes
    ----------
    endpoint_id : str
        Only this endpoint may run it.
    timeout_s : float
        When the endpoint stops work, in seconds from now.
    urgency : int or None
        From 0, first, to 9; None leaves it out.
    is_prefill : bool
        Whether only the prompt is to be read.
    kv_source : str or None
        Where the prompt's KV cache lies: ``ip:port/handle``.
    kv_fetch : str or None
        Address of an engine that may keep parts of the prompt.
    last_event_id : str or None
        Event after which the stream goes on.
    """

    endpoint_id: str
    timeout_s: float
    urgency: int | None = None
    is_prefill: bool = False
    kv_source: str | None = None
    kv_fetch: str | None = None
    last_event_id: str | None = None
