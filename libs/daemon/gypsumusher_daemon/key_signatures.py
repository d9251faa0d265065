"""Signatures of minted keys, which keep callers from forging keys of dead hosts."""

import hashlib
import hmac

from gypsumusher_coordination import parse_key

__all__ = ["is_signed", "sign_parts"]

# Hex digits of a signature: 128 bits.
SIGNATURE_CHARS = 32


def sign_parts(parts, secret):
    """Return the signature that forms the last part of a minted key.

    Parameters
    ----------
    parts : KeyParts
        The signed parts of the key.
    secret : str
        A shared secret of the hosts.
    """
    text = "\0".join(str(part) for part in ("key", *parts))
    digest = hmac.new(secret.encode(), text.encode(), hashlib.sha256)
    return digest.hexdigest()[:SIGNATURE_CHARS]


def is_signed(key, keys):
    """Return whether a key was minted and signed by one of the entry hosts.

    Without this check a caller could forge keys of owners that never existed. A host
    asked about such a key would seal that owner's journal, so that each request would
    leave a permanent object on the platform.

    Parameters
    ----------
    key : str
        A key that names an owner.
    keys : list of KeySettings
        The shared secrets; during a rotation any of them may have signed the key.
    """
    parts = parse_key(key)
    if parts is None:
        return False
    given = key.rsplit(".", 1)[1]
    for entry in keys:
        if hmac.compare_digest(given, sign_parts(parts, entry.secret)):
            return True
    return False
