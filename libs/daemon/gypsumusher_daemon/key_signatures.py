"""Signatures in minted keys, so that nobody makes up a key of a dead host."""

import hashlib
import hmac

from gypsumusher_coordination import parse_key

__all__ = ["is_genuine", "sign_parts"]

SIGNATURE_CHARS = 32


def sign_parts(parts, secret):
    """Return the last part of a minted key, which only our hosts can make.

    Parameters
    ----------
    parts : KeyParts
        What the key says of itself.
    secret : str
        A shared secret of the hosts.
    """
    text = "\0".join(str(part) for part in ("key", *parts))
    digest = hmac.new(secret.encode(), text.encode(), hashlib.sha256)
    return digest.hexdigest()[:SIGNATURE_CHARS]


def is_genuine(key, keys):
    """Return whether one of our hosts minted a key.

    Failure guarded against: a caller makes up keys of homes that never were. A host
    that is asked about one would seal that home's journal, which leaves an object on
    the platform for good, at the price of one request each.

    Parameters
    ----------
    key : str
        A key that names a home.
    keys : list of KeySettings
        The shared secrets; any may have signed, during a rotation.
    """
    parts = parse_key(key)
    if parts is None:
        return False
    given = key.rsplit(".", 1)[1]
    for entry in keys:
        if hmac.compare_digest(given, sign_parts(parts, entry.secret)):
            return True
    return False
