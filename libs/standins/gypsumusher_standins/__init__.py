"""Development stand-ins for the platform, engines and plain services."""

from gypsumusher_standins.text import (
    count_tokens,
    expected_text,
    expected_words,
    prefix_hashes,
    prompt_digest,
    prompt_text,
)

__all__ = [
    "count_tokens",
    "expected_text",
    "expected_words",
    "prefix_hashes",
    "prompt_digest",
    "prompt_text",
]
