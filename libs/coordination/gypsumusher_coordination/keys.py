"""The idempotency keys that a home mints, and what can be read from them."""

import hashlib
import re
from typing import NamedTuple

JOURNALED_PREFIX = "gk1"
UNJOURNALED_PREFIX = "gu1"

# Incarnations and random parts are short tokens without dots. The limits keep a key
# that a caller made up from filling the journal or the memory of a host.
_KEY_PATTERN = re.compile(
    r"(gk1|gu1)\.([A-Za-z0-9_-]{1,64})\.([0-9]{1,9})\.([0-9]{1,15})\.([0-9a-f]{8,64})"
)
_CLAIM_DIGEST_BYTES = 16


class KeyParts(NamedTuple):
    """What a minted key says of itself.

    Parameters
    ----------
    incarnation : str
        The home that minted the key, the only one that may ever run it.
    segment : int
        The home's journal segment when it minted the key. The key can stand in
        this segment or a later one, never in an earlier one.
    count : int
        How many keys the home had minted before this one.
    unjournaled : bool
        True when the home may run the key without a journal entry, so that the
        key's absence from the journal proves nothing.
    """

    incarnation: str
    segment: int
    count: int
    unjournaled: bool


def format_key(parts, random_hex):
    """Return the key with these parts.

    Parameters
    ----------
    parts : KeyParts
        What the key says of itself.
    random_hex : str
        8 to 64 lower-case hexadecimal digits that nobody can guess.

    Returns
    -------
    str
        The key.

    Raises
    ------
    ValueError
        If a part can't stand in a key.
    """
    prefix = UNJOURNALED_PREFIX if parts.unjournaled else JOURNALED_PREFIX
    key = f"{prefix}.{parts.incarnation}.{parts.segment}.{parts.count}.{random_hex}"
    if _KEY_PATTERN.fullmatch(key) is None:
        raise ValueError(f"key parts can't stand in a key: {key!r}")
    return key


def parse_key(key):
    """Return what a minted key says, or None for a key that names no home.

    Parameters
    ----------
    key : str
        The idempotency key of a request.

    Returns
    -------
    KeyParts or None
        None when the key is one of the caller's own.
    """
    match = _KEY_PATTERN.fullmatch(key)
    if match is None:
        return None
    prefix, incarnation, segment, count, _ = match.groups()
    return KeyParts(
        incarnation=incarnation,
        segment=int(segment),
        count=int(count),
        unjournaled=prefix == UNJOURNALED_PREFIX,
    )


def claim_name(key):
    """Return the name of the platform object that holds a caller's own key.

    Parameters
    ----------
    key : str
        The caller's key, of any length and alphabet.

    Returns
    -------
    str
        32 hexadecimal digits.
    """
    digest = hashlib.blake2b(key.encode(), digest_size=_CLAIM_DIGEST_BYTES)
    return digest.hexdigest()


def segment_name(incarnation, segment):
    """Return the name of the platform object that holds one journal segment.

    Parameters
    ----------
    incarnation : str
        The home.
    segment : int
        The segment's number, from zero.

    Returns
    -------
    str
        The object's name in the kind ``journals``.
    """
    return f"{incarnation}.{segment}"
