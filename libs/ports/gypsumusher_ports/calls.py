"""A caller's request, and the options for sending it to an endpoint."""

from typing import NamedTuple

__all__ = ["CallerRequest", "Generation", "PromptPart", "SendOptions"]


class PromptPart(NamedTuple):
    """One part of a prompt; prompts with equal parts can share their KV cache.

    Attributes
    ----------
    part_id : int
        Id of the part; equal parts have equal ids.
    tokens : int
        Length of the part, in tokens.
    """

    part_id: int
    tokens: int


class Generation(NamedTuple):
    """The model and the token counts of a request for generated text.

    Attributes
    ----------
    model : str
        Name of the model.
    prompt_tokens, max_output_tokens : int
        Length of the prompt, and limit on the output, in tokens.
    expected_output_tokens : int or None
        The caller's estimate of the output's length, in tokens. Its median is right,
        but single estimates are often far off.
    parts : tuple of PromptPart
        Parts of the prompt in order; only the same request or session has the last one.
    """

    model: str
    prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None
    parts: tuple[PromptPart, ...]


class CallerRequest(NamedTuple):
    """One attempt of a caller at a request, with its whole body.

    Attributes
    ----------
    request_id : str
        Id of this attempt; empty when the caller sent none.
    method, target : str
        Method, and path with query as sent.
    host : str
        Host name of the request in lower case, without a port.
    headers : tuple of (str, str)
        Headers to forward to the endpoint.
    body : bytes
        The whole body.
    caller_timeout_s : float or None
        Time for which the caller waits, in seconds; None when the caller doesn't say.
    generation : Generation or None
        Model and token counts; None when the request asks for no generated text.
    last_event_id : str or None
        Id of the last event that the caller has; a resumed stream continues after it.
    key : str or None
        Key of the caller's client account, a secret; None when the caller sent none, or
        several that differ. It isn't among `headers`.
    resumed_id : str or None
        Id of the attempt that brought the first event of the stream that the caller
        resumes; None when the caller sent none, or several that differ.
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
    key: str | None = None
    resumed_id: str | None = None


class SendOptions(NamedTuple):
    """Options for sending one request to one endpoint.

    Attributes
    ----------
    endpoint_id : str
        Id of the only endpoint that may run the request.
    timeout_s : float
        Time from now after which the endpoint stops working on the request, in seconds.
    urgency : int or None
        Order in the endpoint's queue, from 0 (first) to 9; None sends no urgency.
    is_prefill : bool
        Whether the engine shall only prefill the prompt.
    kv_source : str or None
        Location of the prompt's KV cache: ``ip:port/handle``.
    kv_fetch : str or None
        Address of an engine whose KV cache may hold parts of the prompt.
    last_event_id : str or None
        Id of the event after which the stream continues.
    account : str or None
        Name of the client account for which the endpoint runs the request.
    """

    endpoint_id: str
    timeout_s: float
    urgency: int | None = None
    is_prefill: bool = False
    kv_source: str | None = None
    kv_fetch: str | None = None
    last_event_id: str | None = None
    account: str | None = None
