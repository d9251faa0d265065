"""Signed tokens by which a caller takes up its stream through another host."""

import base64
import hashlib
import hmac
import json
from typing import NamedTuple

__all__ = ["StreamPlace", "read_token", "write_token"]

TOKEN_CHARS_MAX = 2048
MAC_BYTES = 16


class StreamPlace(NamedTuple):
    """Where a stream is.

    Attributes
    ----------
    host : str
        The entry host that began it.
    deployment, endpoint : str
        Which engine runs it.
    address : str
        ``IP:PORT`` of the engine.
    stream_id : str
        The engine's name of the stream.
    attempt : str
        The request id that the engine was given.
    """

    host: str
    deployment: str
    endpoint: str
    address: str
    stream_id: str
    attempt: str


def _mac(secret, payload):
    """Return the signature of a token's payload."""
    digest = hmac.new(secret.encode(), b"resume\0" + payload, hashlib.sha256)
    return digest.digest()[:MAC_BYTES]


def write_token(place, keys):
    """Return a token that names a stream, signed with the first shared secret.

    Parameters
    ----------
    place : StreamPlace
        The stream.
    keys : list of KeySettings
        The shared secrets of the hosts.
    """
    payload = json.dumps(list(place), separators=(",", ":")).encode()
    token = base64.urlsafe_b64encode(_mac(keys[0].secret, payload) + payload)
    return token.decode()


def read_token(token, keys):
    """Return the stream that a token names, or None when it isn't one of ours.

    Parameters
    ----------
    token : str
        What the caller sent.
    keys : list of KeySettings
        The shared secrets; any of them may have signed, during a rotation.

    Notes
    -----
    Without a signature a caller could name any address and have this host fetch
    from it, or read the answer to somebody else's request. The signature proves
    that one of our hosts gave exactly this stream to a caller.
    """
    if not token or len(token) > TOKEN_CHARS_MAX:
        return None
    try:
        raw = base64.urlsafe_b64decode(token.encode())
    except ValueError:
        return None
    mac, payload = raw[:MAC_BYTES], raw[MAC_BYTES:]
    for key in keys:
        if hmac.compare_digest(mac, _mac(key.secret, payload)):
            return StreamPlace(*json.loads(payload))
    return None
