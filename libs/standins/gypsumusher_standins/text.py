"""The text that a stand-in engine generates, so that a caller can check its answer."""

import hashlib

WORD_DIGITS = 7
PREFIX_CHUNK_CHARS = 256
PREFIX_DIGEST_BYTES = 8


def prompt_text(body):
    """Return the prompt of a completion or chat request body.

    Parameters
    ----------
    body : dict
        The JSON body of the request.

    Returns
    -------
    str
        The prompt, or the chat messages' contents joined by line feeds.
    """
    messages = body.get("messages")
    if messages is None:
        return str(body.get("prompt", ""))
    return "\n".join(str(message.get("content", "")) for message in messages)


def count_tokens(text):
    """Return the number of tokens of a text: its whitespace separated words."""
    return len(text.split())


def expected_words(prompt, max_tokens):
    """Return the words that an engine generates for a prompt.

    Each word depends on the prompt and on its position, so that a truncated, doubled
    or crossed answer, or one spliced from two, never equals the expected one.

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
        words.append("w" + digest.hexdigest()[:WORD_DIGITS])
    return words


def expected_text(prompt, max_tokens):
    """Return the whole answer that an engine gives to a prompt.

    Parameters
    ----------
    prompt : str
        The prompt, as `prompt_text` returns it.
    max_tokens : int
        The request's limit of output tokens.

    Returns
    -------
    str
        The answer's words separated by single spaces.
    """
    return " ".join(expected_words(prompt, max_tokens))


def prompt_digest(prompt):
    """Return the 16 hexadecimal digits under which engines count runs of a prompt."""
    return hashlib.sha256(prompt.encode()).hexdigest()[:16]


def prefix_hashes(prompt):
    """Return the chained hashes of the prompt's whole 256-character chunks."""
    hashes = []
    digest = b""
    last_start = len(prompt) - PREFIX_CHUNK_CHARS
    for start in range(0, last_start + 1, PREFIX_CHUNK_CHARS):
        chunk = prompt[start : start + PREFIX_CHUNK_CHARS].encode()
        hasher = hashlib.blake2b(digest + chunk, digest_size=PREFIX_DIGEST_BYTES)
        digest = hasher.digest()
        hashes.append(int.from_bytes(digest, "big"))
    return hashes
