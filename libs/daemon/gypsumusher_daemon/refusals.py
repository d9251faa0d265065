"""Refusals: the answers to requests that are not served, and their HTTP form."""

import json
import math
from typing import NamedTuple

__all__ = ["STATUS_BY_CODE", "Refusal", "refusal_body", "refusal_headers"]

STATUS_BY_CODE = {
    "malformed": 400,
    "unauthorized": 401,
    "unknown_deployment": 404,
    "body_timeout": 408,
    "deadline_passed": 408,
    "key_unknown_outcome": 409,
    "key_not_run": 409,
    "in_progress": 409,
    "too_large": 413,
    "crashing_request": 422,
    "key_reused": 422,
    "overloaded": 429,
    "endpoint_failed": 502,
    "no_endpoint": 503,
    "not_ready": 503,
    "stopping": 503,
    "journal_unavailable": 503,
}


class Refusal(NamedTuple):
    """Why a request is not served.

    Attributes
    ----------
    code : str
        A key of `STATUS_BY_CODE`.
    message : str
        What is wrong and what the caller can do.
    run : str
        ``no`` when no byte of any attempt was written or each engine that received
        one reported that nothing ran; ``unknown`` otherwise.
    step : str
        Processing step of the daemon that refused.
    peer : str or None
        The other process involved.
    retry_after_s : float or None
        When to retry; None when a retry can't help.
    """

    code: str
    message: str
    run: str = "no"
    step: str = "admission"
    peer: str | None = None
    retry_after_s: float | None = None


def refusal_body(refusal, request_id):
    """Return the JSON body of a refusal as bytes.

    Parameters
    ----------
    refusal : Refusal
        The refusal.
    request_id : str
        The request it answers.
    """
    error = {
        "message": refusal.message,
        "type": "gypsumusher_refusal",
        "code": refusal.code,
        "run": refusal.run,
        "step": refusal.step,
        "peer": refusal.peer,
        "retry_after_s": refusal.retry_after_s,
        "request_id": request_id,
    }
    return json.dumps({"error": error}).encode()


def refusal_headers(refusal):
    """Return the HTTP headers of a refusal.

    Parameters
    ----------
    refusal : Refusal
        The refusal.

    Notes
    -----
    OpenAI client libraries retry on their own after 409, 429 and 5xx, unless
    ``X-Should-Retry`` is false. A retry is wanted only when nothing ran and a later
    try can succeed.
    """
    headers = {"Gypsumusher-Run": refusal.run}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    may_retry = refusal.run == "no" and refusal.retry_after_s is not None
    headers["X-Should-Retry"] = "true" if may_retry else "false"
    return headers
