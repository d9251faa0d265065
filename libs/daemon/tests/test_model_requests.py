"""Requests are validated; refusals name the parameter and the value."""

import hashlib
import json

import pytest

from gypsumusher_daemon.model_requests import (
    CHAT_COMPLETIONS,
    COMPLETIONS,
    parse_model_request,
    prefix_hashes,
    request_fingerprint,
)
from gypsumusher_daemon.refusals import Refusal

CLASSES = {"standard": {"deadline_s": 60}, "counter": {"deadline_s": 5}}
DOCUMENT = {"deployments": {"d": {"classes": CLASSES, "default_class": "standard"}}}


def parse(body, path=COMPLETIONS, **headers):
    raw = body if isinstance(body, bytes) else json.dumps(body).encode()
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    return parse_model_request(path, named, raw, DOCUMENT)


def test_defaults_and_headers():
    call = parse({"model": "d", "prompt": "one two", "max_tokens": 3})
    assert (call.class_name, call.deadline_in_s, call.tenant) == (
        "standard",
        60.0,
        "anonymous",
    )
    assert call.idempotent and call.prompt_tokens == 2
    call = parse(
        {"model": "d", "messages": [{"role": "user", "content": "hi"}]},
        CHAT_COMPLETIONS,
        gypsumusher_class="counter",
        idempotency_key="k",
    )
    assert (call.deadline_in_s, call.key, call.idempotent) == (5.0, "k", False)


@pytest.mark.parametrize(
    ("body", "headers", "code", "text"),
    [
        (b"{", {}, "malformed", "not JSON"),
        (b"[" * 100_000, {}, "malformed", "not JSON"),
        ([], {}, "malformed", "JSON object"),
        ({"model": "x", "prompt": "p"}, {}, "unknown_deployment", "there are: d"),
        ({"model": "d", "prompt": 3}, {}, "malformed", "prompt must be a text"),
        ({"model": "d", "prompt": "p", "max_tokens": 0}, {}, "malformed", "got 0"),
        ({"model": "d", "prompt": "p", "max_tokens": True}, {}, "malformed", "True"),
        ({"model": "d", "prompt": "p", "stream": 1}, {}, "malformed", "stream"),
        (
            {"model": "d", "prompt": "p"},
            {"gypsumusher_class": "x"},
            "malformed",
            "there are: counter, standard",
        ),
        (
            {"model": "d", "prompt": "p"},
            {"gypsumusher_deadline_s": "nan"},
            "malformed",
            "finite",
        ),
        (
            {"model": "d", "prompt": "p"},
            {"gypsumusher_deadline_s": "-1"},
            "deadline_passed",
            "nothing was run",
        ),
        (
            {"model": "d", "prompt": "p"},
            {"idempotency_key": "k" * 300},
            "malformed",
            "256",
        ),
    ],
)
def test_invalid_requests_get_a_refusal_code(body, headers, code, text):
    refusal = parse(body, **headers)
    assert isinstance(refusal, Refusal)
    assert (refusal.code, refusal.run) == (code, "no")
    assert text in refusal.message


def test_prefix_hashes_are_chained_as_documented():
    prompt = "a" * 256 + "b" * 256 + "c"
    first = hashlib.blake2b(b"a" * 256, digest_size=8).digest()
    second = hashlib.blake2b(first + b"b" * 256, digest_size=8).digest()
    expected = tuple(int.from_bytes(d, "big") for d in (first, second))
    assert prefix_hashes(prompt) == expected


def test_fingerprint_ignores_only_the_transfer_of_the_answer():
    body = {"model": "d", "prompt": "p"}
    same = request_fingerprint(COMPLETIONS, {**body, "stream": True})
    assert request_fingerprint(COMPLETIONS, body) == same
    other = request_fingerprint(COMPLETIONS, {**body, "prompt": "q"})
    assert request_fingerprint(COMPLETIONS, body) != other
