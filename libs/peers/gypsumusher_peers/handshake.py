"""Mutual authentication by a shared key, and frames authenticated by a MAC.

Each side proves by an HMAC-SHA256 over both nonces and both identities that it holds
the shared key. The same key and values yield one key for each direction, and each
frame carries a MAC over its sequence number and payload. A frame that was forged,
replayed, dropped, reordered or sent back to its sender therefore ends the connection.
Payloads are not encrypted: hosts exchange probes, load reports and configuration,
never prompts or completions.

The initiator is the side that opened the connection, the responder the side that
accepted it.

Notes
-----
The alternative was TLS with client certificates from the standard library. It needs a
certificate authority and files on hosts that have no disks, and rotating certificates
without a restart means reloading TLS contexts; an HMAC over one shared setting needs
neither. TLS would be the choice if payloads had to be confidential on the network.

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
# HMAC-SHA256 truncated to 128 bits.
MAC_BYTES = 16
SEQUENCE_NUMBER_BYTES = 8
# Largest handshake message, which comes from a peer that is not authenticated yet.
HANDSHAKE_LIMIT_BYTES = 4096
# Longest key id, host name or incarnation in a handshake message.
TEXT_LIMIT_CHARS = 256


class Identity(NamedTuple):
    """A process: its host's name and the incarnation id drawn at each start."""

    host: str
    incarnation: str


class Hello(NamedTuple):
    """The initiator's first message."""

    key_id: str
    identity: Identity
    nonce: bytes


class Channel:
    """One direction of an authenticated connection: adds or verifies frame MACs.

    Parameters
    ----------
    key : bytes
        MAC key of this direction.
    """

    def __init__(self, key):
        self._key = key
        self._sequence_number = 0

    def seal(self, payload):
        """Return the payload with its MAC in front, and advance the sequence number."""
        return self._next_mac(payload) + payload

    def open(self, sealed):
        """Verify the next frame and return its payload.

        Raises
        ------
        ProtocolFault
            If the MAC isn't that of the next frame in this direction.
        """
        received_mac = bytes(sealed[:MAC_BYTES])
        payload = sealed[MAC_BYTES:]
        if not hmac.compare_digest(received_mac, self._next_mac(payload)):
            raise ProtocolFault(FORGED, "frame has a wrong MAC")
        return payload

    def _next_mac(self, payload):
        # The sequence number in the MAC detects replayed, dropped and reordered
        # frames, and the separate key of each direction detects frames sent back to
        # their sender: the receiver computes the MAC of the only frame that may come
        # next, and the MAC of any other frame differs from it.
        number = self._sequence_number.to_bytes(SEQUENCE_NUMBER_BYTES, "big")
        self._sequence_number += 1
        return hmac.digest(self._key, number + payload, "sha256")[:MAC_BYTES]


class Session(NamedTuple):
    """Result of a handshake: the peer, the key used and a channel per direction."""

    peer: Identity
    key_id: str
    send_channel: Channel
    receive_channel: Channel


def make_hello(key_id, identity, nonce):
    """Return the payload of the initiator's first message.

    Parameters
    ----------
    key_id : str
        Id of the key under which the connection is opened.
    identity : Identity
        The initiator.
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


def parse_hello(payload):
    """Return the `Hello` in a payload; raises ProtocolFault if it is invalid."""
    message = unpack(payload, HANDSHAKE_ITEMS_LIMIT)
    check_version(message)
    key_id = require_text(message, "key_id")
    return Hello(key_id, require_identity(message), require_nonce(message))


def make_hello_response(hello, key, identity, nonce):
    """Return the responder's payload, with its proof that it holds the key."""
    proof = transcript_hmac(key, b"answer", hello, identity, nonce)
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


def make_refusal(reason):
    """Return the payload by which the responder refuses a handshake."""
    return pack({"protocol": PROTOCOL, "version": PROTOCOL_VERSION, "refused": reason})


def verify_hello_response(payload, hello, key):
    """Check the responder's proof, on the initiator.

    Parameters
    ----------
    payload : bytes
        The responder's payload.
    hello : Hello
        The hello that this side sent.
    key : PeerKey
        The key that the hello named.

    Returns
    -------
    (Session, bytes)
        The session, and the payload with the initiator's own proof to send.

    Raises
    ------
    ProtocolFault
        If the responder refused, uses another version or doesn't hold the key.
    """
    message = unpack(payload, HANDSHAKE_ITEMS_LIMIT)
    check_version(message)
    if "refused" in message:
        raise ProtocolFault(
            HANDSHAKE, f"refused by the peer: {str(message['refused'])[:32]}"
        )
    identity = require_identity(message)
    nonce = require_nonce(message)
    check_proof(message, transcript_hmac(key, b"answer", hello, identity, nonce))
    proof = pack({"proof": transcript_hmac(key, b"open", hello, identity, nonce)})
    initiator_channel, responder_channel = derive_channels(key, hello, identity, nonce)
    return Session(identity, key.key_id, initiator_channel, responder_channel), proof


def verify_initiator_proof(payload, hello, key, identity, nonce):
    """Check the initiator's proof, on the responder.

    Returns
    -------
    Session
        The session with the initiator.

    Raises
    ------
    ProtocolFault
        If the initiator doesn't hold the key.
    """
    message = unpack(payload, HANDSHAKE_ITEMS_LIMIT)
    check_proof(message, transcript_hmac(key, b"open", hello, identity, nonce))
    initiator_channel, responder_channel = derive_channels(key, hello, identity, nonce)
    return Session(hello.identity, key.key_id, responder_channel, initiator_channel)


def derive_channels(key, hello, identity, nonce):
    """Return the channels by which the initiator and the responder send, in order."""
    initiator_channel = Channel(
        transcript_hmac(key, b"opening channel", hello, identity, nonce)
    )
    responder_channel = Channel(
        transcript_hmac(key, b"answering channel", hello, identity, nonce)
    )
    return initiator_channel, responder_channel


def transcript_hmac(key, label, hello, identity, nonce):
    """Return the HMAC over a label and both sides' identities and nonces.

    Serves as proof that a side holds the key, and as key derivation for the channels.
    Each use has its own label, so that a proof can't be reflected to the side that
    made it.
    """
    transcript = pack(
        {
            "label": label,
            "version": PROTOCOL_VERSION,
            "key_id": hello.key_id,
            "opening": [hello.identity.host, hello.identity.incarnation, hello.nonce],
            "answering": [identity.host, identity.incarnation, nonce],
        }
    )
    return hmac.digest(key.secret, transcript, hashlib.sha256)


def check_version(message):
    """Raise a ProtocolFault unless the message is of this protocol and version."""
    if message.get("protocol") != PROTOCOL:
        raise ProtocolFault(MALFORMED, "handshake message names another protocol")
    version = message.get("version")
    if version != PROTOCOL_VERSION:
        raise ProtocolFault(
            VERSION,
            f"peer uses protocol version {str(version)[:32]}, "
            f"this process uses {PROTOCOL_VERSION}",
        )


def check_proof(message, expected_proof):
    """Raise a ProtocolFault unless the message carries the expected proof."""
    received_proof = message.get("proof")
    if not isinstance(received_proof, bytes) or not hmac.compare_digest(
        received_proof, expected_proof
    ):
        raise ProtocolFault(HANDSHAKE, "the peer doesn't hold the key")


def require_text(message, name):
    """Return a short string field; raises ProtocolFault if it is missing or invalid."""
    value = message.get(name)
    if not isinstance(value, str) or not 0 < len(value) <= TEXT_LIMIT_CHARS:
        raise ProtocolFault(MALFORMED, f"{name}: expected a short string")
    return value


def require_identity(message):
    """Return the identity in a handshake message."""
    return Identity(require_text(message, "host"), require_text(message, "incarnation"))


def require_nonce(message):
    """Return the nonce in a handshake message."""
    nonce = message.get("nonce")
    if not isinstance(nonce, bytes) or len(nonce) != NONCE_BYTES:
        raise ProtocolFault(MALFORMED, f"nonce: expected {NONCE_BYTES} bytes")
    return nonce
