"""How one host tells another what it believes: encoded, packed and bounded.

A configuration of 1,400 routes has some 400 KB, which a host's link of 5 Mbit/s takes
over half a second to carry, and up to sixty hosts ask for it at once. So an answer
holds only what the asking host lacks, and is packed: the names in a configuration
repeat, and it shrinks to a fifth or less.
"""

import zlib
from typing import NamedTuple

import msgpack

from gypsumusher_ports import DecodeError, EndpointRecord, StoredObject

__all__ = [
    "SYNC_RESPONSE_MAX_BYTES",
    "SyncResponseEncoder",
    "SyncResponse",
    "decode_sync_response",
]

# Largest answer, packed, and the largest content of one, in bytes. The store holds
# values of up to a megabyte and a host knows one configuration; the entries of 910
# endpoints have 150 KB. Beyond that an answer is none of ours, and is not kept in a
# memory of 200 MB.
SYNC_RESPONSE_MAX_BYTES = 2 * 1024 * 1024
CONTENT_MAX_BYTES = 4 * 1024 * 1024
# The fastest level of packing: 6 ms for 1,400 routes, once a version.
PACK_LEVEL = 1


class SyncResponse(NamedTuple):
    """What one host tells another.

    Attributes
    ----------
    configuration : StoredObject or None
        The configuration as stored; None when the other host knows it.
    endpoints : tuple of EndpointRecord or None
        The endpoints; None when the other host knows them.
    revision : int
        Revision of the endpoints.
    is_whole : bool
        Whether no endpoint's entry is waited for.
    removed : tuple of str or None
        Ids of endpoints that are gone; the endpoints are then only those that are new
        or changed. None when they are all.
    """

    configuration: StoredObject | None
    endpoints: tuple[EndpointRecord, ...] | None
    revision: int
    is_whole: bool
    removed: tuple[str, ...] | None = None


class SyncResponseEncoder:
    """Encodes answers; what was packed for one host is kept for the next.

    Sixty hosts ask for the same configuration within a second. Packed for each of
    them it would take a third of a second of the core; kept, it is packed once.
    """

    def __init__(self):
        self._packed = {}

    def encode(self, beliefs: SyncResponse) -> bytes:
        """Return an answer's bytes."""
        stored = beliefs.configuration
        configuration = None
        if stored is not None:
            key = ("configuration", stored.revision)
            configuration = self._pack(key, list(stored))
        endpoints = None
        if beliefs.endpoints is not None:
            # An entry's beat changes the record and not the revision.
            records = [list(record) for record in beliefs.endpoints]
            endpoints = self._pack(None, records)
        fields = [configuration, endpoints, beliefs.revision, beliefs.is_whole]
        if beliefs.removed is not None:
            # Hosts of an earlier release don't ask for changes, and read four fields.
            fields.append(list(beliefs.removed))
        return msgpack.packb(fields)

    def _pack(self, key, value):
        """Pack a value; keep it under its key, in place of the last one's."""
        if key is not None and key in self._packed:
            return self._packed[key]
        packed = zlib.compress(msgpack.packb(value), PACK_LEVEL)
        if key is not None:
            self._packed = {key: packed}
        return packed


def decode_sync_response(peer: str, data: bytes) -> SyncResponse:
    """Return what an answer holds.

    Parameters
    ----------
    peer : str
        Who gave it, for errors.
    data : bytes
        The answer.

    Raises
    ------
    DecodeError
        When it can't be read in whole. Nothing of it is used then: half a list would
        drop the endpoints of its other half.
    """
    try:
        configuration, endpoints, revision, is_whole, *rest = msgpack.unpackb(data)
        removed = None
        if rest:
            removed = tuple(rest[0])
        stored = None
        if configuration is not None:
            stored = StoredObject(*_unpack(configuration))
        records = None
        if endpoints is not None:
            records = tuple(EndpointRecord(*fields) for fields in _unpack(endpoints))
    except (ValueError, TypeError, zlib.error, msgpack.UnpackException) as error:
        raise DecodeError("beliefs", peer, repr(error)) from error
    if type(revision) is not int or type(is_whole) is not bool:
        raise DecodeError("beliefs", peer, "revision or is_whole has another type")
    if removed is not None and not all(type(item) is str for item in removed):
        raise DecodeError("beliefs", peer, "removed holds no ids")
    return SyncResponse(stored, records, revision, is_whole, removed)


def _unpack(packed):
    """Return a packed value; a few bytes must not grow to fill the memory."""
    unpacker = zlib.decompressobj()
    content = unpacker.decompress(packed, CONTENT_MAX_BYTES)
    if not unpacker.eof:
        raise ValueError(f"cut short, or over {CONTENT_MAX_BYTES} bytes")
    return msgpack.unpackb(content, strict_map_key=False)
