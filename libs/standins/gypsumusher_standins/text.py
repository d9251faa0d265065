"""Deterministic text of stand-in engines, so that a test can check each response."""

import hashlib

WORD_HEX_DIGITS = 7
PREFIX_CHUNK_CHARS = 256
PREFIX_DIGEST_BYTES = 8


def prompt_text(body):
    """Return the prompt in the body of a completion or chat completion request.

    Parameters
    ----------
    body : dict
        The JSON body of the request.

    Returns
    -------
    str
        The prompt, or the contents of the chat messages joined by line feeds.
    """
    messages = body.get("messages")
    if messages is None:
        return str(body.get("prompt", ""))
    return "\n".join(str(message.get("content", "")) for message in messages)


def count_tokens(text):
    """Return the number of tokens of a text: one per whitespace-separated word."""
    return len(text.split())


def expected_words(prompt, max_tokens):
    """Return the words that an engine generates for a prompt.

    Each word is a hash of the prompt and of the word's position. A response that is
    truncated, repeated, belongs to another prompt, or is spliced from two responses
    therefore differs from the expected one.

    Parameters
    ----------
    prompt : str
        The prompt, as `prompt_text` returns it.
    max_tokens : int
        The number of words to generate.

    Returns
    -------
    list of str
        The words in order.
    """
    seed = hashlib.sha256(prompt.encode()).digest()
    words = []
    for position in range(max_tokens):
        digest = hashlib.blake2b(seed + position.to_bytes(4, "big"), digest_size=4)
        words.append("w" + digest.hexdigest()[:WORD_HEX_DIGITS])
    return words


def expected_text(prompt, max_tokens):
    """Return the complete text that an engine generates for a prompt.

    Parameters
    ----------
    prompt : str
        The prompt, as `prompt_text` returns it.
    max_tokens : int
        The request's limit of output tokens.

    Returns
    -------
    str
        The generated words separated by single spaces.
    """
    return " ".join(expected_words(prompt, max_tokens))


def prompt_digest(prompt):
    """Return the 16 hexadecimal digits that identify a prompt in the run counters."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:16]


def prefix_hashes(prompt):
    """Return one chained 64-bit hash for each full 256-character chunk of a prompt.

    Each hash covers the chunk and all chunks before it, and so identifies a prefix of
    the prompt. A last chunk of less than 256 characters has no hash.

    Parameters
    ----------
    prompt : str
        The prompt, as `prompt_text` returns it.

    Returns
    -------
    list of int
        The hashes, from the shortest prefix to the longest.
    """
    hashes = []
    digest = b""
    last_start = len(prompt) - PREFIX_CHUNK_CHARS
    for start in range(0, last_start + 1, PREFIX_CHUNK_CHARS):
        chunk = prompt[start : start + PREFIX_CHUNK_CHARS].encode()
        hasher = hashlib.blake2b(digest + chunk, digest_size=PREFIX_DIGEST_BYTES)
        digest = hasher.digest()
        hashes.append(int.from_bytes(digest, "big"))
    return hashes
