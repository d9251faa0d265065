"""Idempotency keys that hosts mint: format, parsing and object names.

The host incarnation that mints a key is its owner, the only one that may run the
request with this key.
"""

import hashlib
import re
from typing import NamedTuple

JOURNALED_PREFIX = "gk1"
UNJOURNALED_PREFIX = "gu1"

# Incarnations and random parts are short tokens without dots. The length limits keep
# forged keys from filling the journal or the memory of a host.
_KEY_PATTERN = re.compile(
    r"(gk1|gu1)\.([A-Za-z0-9_-]{1,64})\.([0-9]{1,9})\.([0-9]{1,15})\.([0-9a-f]{8,64})"
)
_CLAIM_DIGEST_BYTES = 16


class KeyParts(NamedTuple):
    """Fields that are encoded in a minted key.

    Parameters
    ----------
    incarnation : str
        The owner: the host incarnation that minted the key.
    segment : int
        Number of the owner's journal segment when it minted the key. The key's entry
        can be in this segment or a later one, never in an earlier one.
    count : int
        Number of keys that the owner had minted before this one.
    unjournaled : bool
        True when the owner may run the key without a journal entry, so that the
        absence of an entry doesn't show that the key was not run.
    """

    incarnation: str
    segment: int
    count: int
    unjournaled: bool


def format_key(parts, random_hex):
    """Return the key with these fields.

    Parameters
    ----------
    parts : KeyParts
        The fields.
    random_hex : str
        8 to 64 lower-case hexadecimal digits that can't be guessed.

    Returns
    -------
    str
        The key.

    Raises
    ------
    ValueError
        If a field has a value that the key format can't represent.
    """
    prefix = UNJOURNALED_PREFIX if parts.unjournaled else JOURNALED_PREFIX
    key = f"{prefix}.{parts.incarnation}.{parts.segment}.{parts.count}.{random_hex}"
    if _KEY_PATTERN.fullmatch(key) is None:
        raise ValueError(f"key: fields don't fit the key format: {key!r}")
    return key


def parse_key(key):
    """Return the fields of a minted key, or None for a key of the caller.

    Parameters
    ----------
    key : str
        The idempotency key of a request.

    Returns
    -------
    KeyParts or None
        None when the key was not minted by a host but chosen by the caller.
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
    """Return the name of the platform object that holds the claim of a caller's key.

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
        The owner.
    segment : int
        The segment's number, counted from zero.

    Returns
    -------
    str
        The object's name in the kind ``journals``.
    """
    return f"{incarnation}.{segment}"
