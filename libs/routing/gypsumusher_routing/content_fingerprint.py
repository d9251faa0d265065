"""Fingerprints of a request's content: as a whole, and of the parts of its prompt."""

import functools
import hashlib
from typing import NamedTuple

from gypsumusher_ports import CallerRequest

__all__ = ["FINGERPRINT_BYTES", "ContentKeys", "content_fingerprint", "content_keys"]

# Two of a million suspected contents share a fingerprint with a chance of 1 in 10^7.
FINGERPRINT_BYTES = 8
# Most parts of one prompt that have a fingerprint; further ones are never blamed.
PARTS_MAX = 256
# Number of parts whose fingerprints are kept.
CACHED_PARTS = 4096


class ContentKeys(NamedTuple):
    """What a request has in common with others.

    Attributes
    ----------
    whole : bytes
        See `content_fingerprint`; empty where the whole content doesn't matter.
    parts : frozenset of bytes
        Fingerprints of the parts of its prompt, without the last one, which only the
        same request or session has.
    """

    whole: bytes
    parts: frozenset[bytes] = frozenset()

    @property
    def all_keys(self) -> frozenset[bytes]:
        """All fingerprints."""
        return self.parts | {self.whole} if self.whole else self.parts


def content_fingerprint(request: CallerRequest, account: str | None) -> bytes:
    """Return the fingerprint of what an endpoint is asked to do.

    Parameters
    ----------
    request : CallerRequest
        One attempt at the request. Its id and its deadline differ from those of other
        attempts and are left out.
    account : str or None
        Client account of the caller.

    Returns
    -------
    bytes
        `FINGERPRINT_BYTES` bytes.
    """
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for text in (request.method, request.host, request.target, account or ""):
        field = text.encode("utf-8", "surrogateescape")
        digest.update(len(field).to_bytes(4, "big"))
        digest.update(field)
    digest.update(request.body)
    return digest.digest()


def content_keys(request: CallerRequest, account: str | None) -> ContentKeys:
    """Return the fingerprints of a request's whole content and of its prompt's parts.

    Parameters
    ----------
    request : CallerRequest
        One attempt at the request.
    account : str or None
        Client account of the caller.
    """
    parts = () if request.generation is None else request.generation.parts
    shared = parts[:-1][:PARTS_MAX]
    return ContentKeys(
        content_fingerprint(request, account),
        frozenset(_part_fingerprint(part.part_id) for part in shared),
    )


@functools.lru_cache(CACHED_PARTS)
def _part_fingerprint(part_id):
    """Return the fingerprint of a part, the same wherever it stands in a prompt."""
    text = b"%x" % part_id
    return hashlib.blake2b(text, digest_size=FINGERPRINT_BYTES).digest()
