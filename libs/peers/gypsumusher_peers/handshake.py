"""Mutual authentication by a shared key, and frames that can't be forged.

Both sides prove by HMAC-SHA256 over both nonces and both identities that they hold
the same key. From it each direction gets a key of its own, and each frame carries a
MAC over its number, so that a frame that was forged, replayed, dropped, reordered or
sent back to its sender ends the connection. Payloads are not encrypted: between the
hosts go probes, loads and configuration, never prompts or answers.

Notes
-----
The alternative was TLS with client certificates from the standard library. It needs a
certificate authority and files on hosts that have no disks, and a rotation without a
stop means reloading contexts; an HMAC over one shared setting needs neither. It would
be the choice if payloads had to be secret on the wire.

References
----------
RFC 2104 (HMAC); the challenge-response follows the pattern of ISO/IEC 9798-4.
"""

import hashlib
import hmac
from typing import NamedTuple

from gypsumusher_peers.errors import (
    FORGED,
    HANDSHAKE,
    MALFORMED,
    VERSION,
    ProtocolFault,
)
from gypsumusher_peers.framing import HANDSHAKE_ITEMS_LIMIT, pack, unpack

PROTOCOL = "gypsumusher-peers"
PROTOCOL_VERSION = 1
NONCE_BYTES = 32
MAC_BYTES = 16
COUNTER_BYTES = 8
HANDSHAKE_LIMIT_BYTES = 4096
NAME_LIMIT_CHARS = 256


class Identity(NamedTuple):
    """Who a process is: its host's name and the incarnation drawn at its start."""

    host: str
    incarnation: str


class Hello(NamedTuple):
    """The opening side's first message."""

    key_id: str
    identity: Identity
    nonce: bytes


class Channel:
    """One direction of an authenticated connection: seals or opens its frames.

    Parameters
    ----------
    key : bytes
        The direction's own key.
    """

    def __init__(self, key):
        self._key = key
        self._count = 0

    def seal(self, payload):
        """Return the payload behind its MAC; counts the frame."""
        return self._mac(payload) + payload

    def open(self, sealed):
        """Return the payload of the next frame.

        Raises
        ------
        ProtocolFault
            If the MAC isn't that of the next frame in this direction.
        """
        seen = bytes(sealed[:MAC_BYTES])
        payload = sealed[MAC_BYTES:]
        if not hmac.compare_digest(seen, self._mac(payload)):
            raise ProtocolFault(FORGED, "the frame's MAC is wrong")
        return payload

    def _mac(self, payload):
        # The number in the MAC is the guard against replayed, dropped and reordered
        # frames, and the direction's own key against frames sent back to their
        # sender: each shows as a MAC that doesn't fit, because the receiver computes
        # it for the one frame that may come next.
        counter = self._count.to_bytes(COUNTER_BYTES, "big")
        self._count += 1
        return hmac.digest(self._key, counter + payload, "sha256")[:MAC_BYTES]


class Session(NamedTuple):
    """What a finished handshake gives: the peer, the key used and both directions."""

    peer: Identity
    key_id: str
    sending: Channel
    receiving: Channel


def make_hello(key_id, identity, nonce):
    """Return the payload of the opening side's first message.

    Parameters
    ----------
    key_id : str
        The key under which the connection is opened.
    identity : Identity
        The opening side.
    nonce : bytes
        32 fresh random bytes.

    Returns
    -------
    bytes
        The payload to send.
    """
    return pack(
        {
            "protocol": PROTOCOL,
            "version": PROTOCOL_VERSION,
            "key_id": key_id,
            "host": identity.host,
            "incarnation": identity.incarnation,
            "nonce": nonce,
        }
    )


def read_hello(payload):
    """Return the `Hello` in a payload; raises ProtocolFault on anything else."""
    message = unpack(payload, HANDSHAKE_ITEMS_LIMIT)
    check_version(message)
    key_id = text_field(message, "key_id")
    return Hello(key_id, identity_field(message), nonce_field(message))


def answer_hello(hello, key, identity, nonce):
    """Return the answering side's payload, with its proof that it holds the key."""
    proof = prove(key, b"answer", hello, identity, nonce)
    return pack(
        {
            "protocol": PROTOCOL,
            "version": PROTOCOL_VERSION,
            "host": identity.host,
            "incarnation": identity.incarnation,
            "nonce": nonce,
            "proof": proof,
        }
    )


def refuse_hello(kind):
    """Return the payload that tells why a handshake is refused."""
    return pack({"protocol": PROTOCOL, "version": PROTOCOL_VERSION, "refused": kind})


def read_answer(payload, hello, key):
    """Check the answering side's proof on the opening side.

    Parameters
    ----------
    payload : bytes
        What the answering side sent.
    hello : Hello
        What this side opened with.
    key : PeerKey
        The key under which it opened.

    Returns
    -------
    (Session, bytes)
        The session, and the payload with this side's own proof to send.

    Raises
    ------
    ProtocolFault
        If the other side refused, speaks another version or doesn't hold the key.
    """
    message = unpack(payload, HANDSHAKE_ITEMS_LIMIT)
    check_version(message)
    if "refused" in message:
        raise ProtocolFault(HANDSHAKE, f"refused: {str(message['refused'])[:32]}")
    identity = identity_field(message)
    nonce = nonce_field(message)
    check_proof(message, prove(key, b"answer", hello, identity, nonce))
    proof = pack({"proof": prove(key, b"open", hello, identity, nonce)})
    opening, answering = channels(key, hello, identity, nonce)
    return Session(identity, key.key_id, opening, answering), proof


def read_proof(payload, hello, key, identity, nonce):
    """Check the opening side's proof on the answering side.

    Returns
    -------
    Session
        The session with the opening side.

    Raises
    ------
    ProtocolFault
        If the opening side doesn't hold the key.
    """
    message = unpack(payload, HANDSHAKE_ITEMS_LIMIT)
    check_proof(message, prove(key, b"open", hello, identity, nonce))
    opening, answering = channels(key, hello, identity, nonce)
    return Session(hello.identity, key.key_id, answering, opening)


def channels(key, hello, identity, nonce):
    """Return the opening and the answering side's sending channels."""
    opening = Channel(prove(key, b"opening channel", hello, identity, nonce))
    answering = Channel(prove(key, b"answering channel", hello, identity, nonce))
    return opening, answering


def prove(key, label, hello, identity, nonce):
    """Return the HMAC over a label and all that both sides said.

    The label tells the roles apart, so that a proof can't be reflected to the side
    that made it.
    """
    said = pack(
        {
            "label": label,
            "version": PROTOCOL_VERSION,
            "key_id": hello.key_id,
            "opening": [hello.identity.host, hello.identity.incarnation, hello.nonce],
            "answering": [identity.host, identity.incarnation, nonce],
        }
    )
    return hmac.digest(key.secret, said, hashlib.sha256)


def check_version(message):
    """Raise a ProtocolFault unless the message is of this protocol and version."""
    if message.get("protocol") != PROTOCOL:
        raise ProtocolFault(MALFORMED, "not a peer of this protocol")
    version = message.get("version")
    if version != PROTOCOL_VERSION:
        raise ProtocolFault(
            VERSION, f"the peer speaks {str(version)[:32]}, we {PROTOCOL_VERSION}"
        )


def check_proof(message, expected):
    """Raise a ProtocolFault unless the message carries the expected proof."""
    seen = message.get("proof")
    if not isinstance(seen, bytes) or not hmac.compare_digest(seen, expected):
        raise ProtocolFault(HANDSHAKE, "the peer doesn't hold the key")


def text_field(message, name):
    """Return a short text field; raises ProtocolFault on anything else."""
    value = message.get(name)
    if not isinstance(value, str) or not 0 < len(value) <= NAME_LIMIT_CHARS:
        raise ProtocolFault(MALFORMED, f"{name}: expected a short text")
    return value


def identity_field(message):
    """Return the identity in a handshake message."""
    return Identity(text_field(message, "host"), text_field(message, "incarnation"))


def nonce_field(message):
    """Return the nonce in a handshake message."""
    nonce = message.get("nonce")
    if not isinstance(nonce, bytes) or len(nonce) != NONCE_BYTES:
        raise ProtocolFault(MALFORMED, f"nonce: expected {NONCE_BYTES} bytes")
    return nonce
