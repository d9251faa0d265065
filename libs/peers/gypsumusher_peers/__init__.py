"""Authenticated msgpack streams between the system's processes."""

from gypsumusher_peers.client import PeerClient
from gypsumusher_peers.errors import PeerError
from gypsumusher_peers.handshake import PROTOCOL_VERSION, Identity
from gypsumusher_peers.keys import KeyRing, PeerKey
from gypsumusher_peers.server import PeerServer

__all__ = [
    "PROTOCOL_VERSION",
    "Identity",
    "KeyRing",
    "PeerClient",
    "PeerError",
    "PeerKey",
    "PeerServer",
]
