"""Signed tokens with which a caller can resume its stream through any host."""

import base64
import hashlib
import hmac
import json
from typing import NamedTuple

__all__ = ["StreamLocation", "read_token", "write_token"]

# Longer tokens are rejected undecoded.
TOKEN_CHARS_MAX = 2048
MAC_BYTES = 16


class StreamLocation(NamedTuple):
    """The engine and id of a stream; its fields, in this order, form a token.

    Attributes
    ----------
    host : str
        The entry host that started the stream.
    deployment, endpoint : str
        The engine that runs the stream, and its deployment.
    address : str
        ``IP:PORT`` of the engine.
    stream_id : str
        The stream's id on the engine.
    attempt : str
        The request id that was sent to the engine.
    """

    host: str
    deployment: str
    endpoint: str
    address: str
    stream_id: str
    attempt: str


def _mac(secret, payload):
    """Return the message authentication code of a token's payload."""
    digest = hmac.new(secret.encode(), b"resume\0" + payload, hashlib.sha256)
    return digest.digest()[:MAC_BYTES]


def write_token(location, keys):
    """Return a token that names a stream, signed with the first shared secret.

    Parameters
    ----------
    location : StreamLocation
        The stream.
    keys : list of KeySettings
        The shared secrets of the hosts.
    """
    payload = json.dumps(list(location), separators=(",", ":")).encode()
    token = base64.urlsafe_b64encode(_mac(keys[0].secret, payload) + payload)
    return token.decode()


def read_token(token, keys):
    """Return the stream that a token names, or None when its signature is invalid.

    Parameters
    ----------
    token : str
        Token that the caller sent.
    keys : list of KeySettings
        The shared secrets; during a rotation any of them may have signed the token.

    Notes
    -----
    Without a signature a caller could have this host fetch from any address, or read
    the answer to another caller's request. The signature proves that an entry host
    issued a token for exactly this stream.
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
            return StreamLocation(*json.loads(payload))
    return None
