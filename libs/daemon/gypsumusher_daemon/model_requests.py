"""Parses and validates callers' completion and chat completion requests."""

import hashlib
import json
from typing import Any, NamedTuple

from gypsumusher_daemon.refusals import Refusal

__all__ = [
    "COMPLETIONS",
    "CHAT_COMPLETIONS",
    "ModelRequest",
    "parse_model_request",
    "prefix_hashes",
    "request_fingerprint",
]

COMPLETIONS = "/v1/completions"
CHAT_COMPLETIONS = "/v1/chat/completions"

# Chunk size of the prefix hashes in the engines' cache events.
PREFIX_CHUNK_CHARS = 256
# Covers 16,000 characters of a prompt; a longer prompt that shares a cached prefix
# shares its beginning.
PREFIX_CHUNKS_MAX = 64
# Used when a request gives no max_tokens.
DEFAULT_OUTPUT_TOKENS = 256
# Largest max_tokens that is accepted.
OUTPUT_TOKENS_MAX = 1_000_000
# Longest tenant or idempotency key.
HEADER_CHARS_MAX = 256


class ModelRequest(NamedTuple):
    """A caller's validated request.

    Attributes
    ----------
    path : str
        `COMPLETIONS` or `CHAT_COMPLETIONS`.
    body : dict
        The JSON body as the caller sent it.
    deployment : str
        The model deployment that serves it.
    tenant, class_name : str
        Client account and request class.
    stream : bool
        Whether the caller wants server-sent events.
    prompt_tokens : int
        Estimated prompt length: the number of its words.
    max_output_tokens : int
        Most tokens that the answer may have.
    deadline_in_s : float
        Time from arrival to the deadline.
    key : str or None
        The caller's idempotency key.
    idempotent : bool
        Whether it may run more than once.
    prefix_hashes : tuple of int
        Hashes of the prompt's prefixes, see `prefix_hashes`.
    fingerprint : str
        Hash of the path and body, see `request_fingerprint`.
    """

    path: str
    body: dict[str, Any]
    deployment: str
    tenant: str
    class_name: str
    stream: bool
    prompt_tokens: int
    max_output_tokens: int
    deadline_in_s: float
    key: str | None
    idempotent: bool
    prefix_hashes: tuple[int, ...]
    fingerprint: str


def _malformed(message):
    """Return the refusal for a request that can't be parsed or has an invalid value."""
    return Refusal("malformed", message, step="parse")


def parse_model_request(path, headers, raw_body, document):
    """Parse a model request and validate it against the configuration in force.

    Parameters
    ----------
    path : str
        `COMPLETIONS` or `CHAT_COMPLETIONS`.
    headers : mapping
        Request headers, looked up in lower case.
    raw_body : bytes
        The body.
    document : dict
        The configuration document.

    Returns
    -------
    ModelRequest or Refusal
        The refusal names the invalid parameter and its value.
    """
    try:
        body = json.loads(raw_body)
    except (ValueError, RecursionError) as error:
        return _malformed(f"body is not JSON: {str(error)[:200]}")
    if not isinstance(body, dict):
        return _malformed(f"body must be a JSON object, got {type(body).__name__}")
    name = body.get("model")
    if not isinstance(name, str) or not name:
        return _malformed("model must be the name of a deployment")
    deployment = document.get("deployments", {}).get(name)
    if deployment is None:
        known = ", ".join(sorted(document.get("deployments", {}))) or "none"
        return Refusal(
            "unknown_deployment",
            f"model {name[:80]!r} is no deployment; there are: {known}",
            step="parse",
        )
    prompt = _prompt_text(path, body)
    if isinstance(prompt, Refusal):
        return prompt
    limits = _limits(headers, body, deployment)
    if isinstance(limits, Refusal):
        return limits
    tenant, class_name, deadline_in_s, max_output_tokens = limits
    stream = body.get("stream", False)
    if not isinstance(stream, bool):
        return _malformed(f"stream must be true or false, got {stream!r:.80}")
    key = headers.get("idempotency-key")
    idempotent_header = headers.get("gypsumusher-idempotent", "yes").lower()
    if idempotent_header not in ("yes", "no"):
        return _malformed("Gypsumusher-Idempotent must be yes or no")
    if key is not None and not 1 <= len(key) <= HEADER_CHARS_MAX:
        return _malformed(f"Idempotency-Key must have 1 to {HEADER_CHARS_MAX} chars")
    return ModelRequest(
        path=path,
        body=body,
        deployment=name,
        tenant=tenant,
        class_name=class_name,
        stream=stream,
        prompt_tokens=max(1, len(prompt.split())),
        max_output_tokens=max_output_tokens,
        deadline_in_s=deadline_in_s,
        key=key,
        idempotent=key is None and idempotent_header == "yes",
        prefix_hashes=prefix_hashes(prompt),
        fingerprint=request_fingerprint(path, body),
    )


def _prompt_text(path, body):
    """Return the prompt or all message contents as one string, or a refusal."""
    if path == COMPLETIONS:
        prompt = body.get("prompt")
        if not isinstance(prompt, str):
            return _malformed(f"prompt must be a text, got {type(prompt).__name__}")
        return prompt
    messages = body.get("messages")
    if not isinstance(messages, list) or not messages:
        return _malformed("messages must be a list with at least one message")
    parts = []
    for message in messages:
        if not isinstance(message, dict) or not isinstance(message.get("role"), str):
            return _malformed("each message must be an object with a role")
        content = message.get("content")
        if isinstance(content, list):
            content = " ".join(
                part["text"]
                for part in content
                if isinstance(part, dict) and isinstance(part.get("text"), str)
            )
        if content is not None and not isinstance(content, str):
            return _malformed("content must be a text or a list of text parts")
        parts.append(content or "")
    return "\n".join(parts)


def _limits(headers, body, deployment):
    """Return tenant, class, deadline and output limit, or a refusal."""
    tenant = headers.get("gypsumusher-tenant", "anonymous")
    if not 1 <= len(tenant) <= HEADER_CHARS_MAX:
        return _malformed(f"Gypsumusher-Tenant must have 1 to {HEADER_CHARS_MAX} chars")
    class_name = headers.get("gypsumusher-class", deployment["default_class"])
    if class_name not in deployment["classes"]:
        known = ", ".join(sorted(deployment["classes"]))
        return _malformed(f"Gypsumusher-Class {class_name[:80]!r}; there are: {known}")
    deadline_text = headers.get("gypsumusher-deadline-s")
    deadline_in_s = float(deployment["classes"][class_name]["deadline_s"])
    if deadline_text is not None:
        try:
            deadline_in_s = float(deadline_text)
        except ValueError:
            return _malformed(
                f"Gypsumusher-Deadline-S must be seconds, got {deadline_text[:80]!r}"
            )
        if deadline_in_s != deadline_in_s or deadline_in_s == float("inf"):
            return _malformed("Gypsumusher-Deadline-S must be a finite number")
    if deadline_in_s <= 0:
        return Refusal(
            "deadline_passed",
            f"the deadline is {deadline_in_s:g} s away; nothing was run",
            step="parse",
        )
    output = body.get("max_completion_tokens", body.get("max_tokens"))
    if output is None:
        output = DEFAULT_OUTPUT_TOKENS
    if isinstance(output, bool) or not isinstance(output, int):
        return _malformed(f"max_tokens must be a whole number, got {output!r:.80}")
    if not 1 <= output <= OUTPUT_TOKENS_MAX:
        return _malformed(f"max_tokens must be 1 to {OUTPUT_TOKENS_MAX}, got {output}")
    return tenant, class_name, deadline_in_s, output


def prefix_hashes(prompt):
    """Return the hash of each prefix that consists of full chunks, shortest first.

    Parameters
    ----------
    prompt : str
        The prompt's text.

    Returns
    -------
    tuple of int
        At most `PREFIX_CHUNKS_MAX` 64-bit hashes, chained as in the engines' cache
        events.
    """
    hashes = []
    digest = b""
    end_chars = min(len(prompt), PREFIX_CHUNK_CHARS * PREFIX_CHUNKS_MAX)
    for start in range(0, end_chars - PREFIX_CHUNK_CHARS + 1, PREFIX_CHUNK_CHARS):
        chunk = prompt[start : start + PREFIX_CHUNK_CHARS].encode()
        digest = hashlib.blake2b(digest + chunk, digest_size=8).digest()
        hashes.append(int.from_bytes(digest, "big"))
    return tuple(hashes)


def request_fingerprint(path, body):
    """Return a hash of the request content that determines the answer.

    Parameters
    ----------
    path : str
        The path of the request.
    body : object
        The JSON body. ``stream`` and ``stream_options`` are left out: they change the
        transfer of the answer, not its content.
    """
    content = body
    if isinstance(body, dict):
        content = {
            key: value
            for key, value in body.items()
            if key not in ("stream", "stream_options")
        }
    text = json.dumps([path, content], sort_keys=True, separators=(",", ":"))
    return hashlib.sha256(text.encode()).hexdigest()[:32]
