"""Responses of the peer sync: encoding, compression and size limits.

A configuration of 1,400 routes has some 400 KB, which take over 0.5 s on a host's link
of 5 Mbit/s, and up to sixty hosts ask for it at once. A response therefore contains
only what the asking host lacks, and is compressed: names in a configuration repeat, so
it shrinks to a fifth or less.
"""

import zlib
from typing import NamedTuple

import msgpack

from gypsumusher_http import SharedBytes
from gypsumusher_ports import DecodeError, EndpointRecord, StoredObject

__all__ = [
    "SYNC_RESPONSE_MAX_BYTES",
    "SyncResponse",
    "SyncResponseEncoder",
    "decode_sync_response",
]

# Largest compressed response, and largest decompressed part of one. The store holds
# values of up to 1 MB, a host has one configuration, and the entries of 910 endpoints
# take 150 KB. A larger response isn't a valid one, and must not fill the memory of a
# host, which is 200 MB.
SYNC_RESPONSE_MAX_BYTES = 2 * 1024 * 1024
DECOMPRESSED_MAX_BYTES = 4 * 1024 * 1024
# The fastest compression level: 6 ms for 1,400 routes, once per version.
COMPRESSION_LEVEL = 1


class SyncResponse(NamedTuple):
    """State that one host sends to another.

    Attributes
    ----------
    configuration : StoredObject or None
        The configuration as stored; None when the other host has it.
    endpoints : tuple of EndpointRecord or None
        The endpoints; None when the other host has them.
    revision : int
        Revision of the endpoints.
    is_complete : bool
        Whether the list of endpoints is complete: no entry may still return.
    removed : tuple of str or None
        Ids of removed endpoints; `endpoints` then has only new and changed ones. None
        when `endpoints` lists all.
    """

    configuration: StoredObject | None
    endpoints: tuple[EndpointRecord, ...] | None
    revision: int
    is_complete: bool
    removed: tuple[str, ...] | None = None


class SyncResponseEncoder:
    """Encodes responses; the compressed configuration is cached for other hosts.

    Sixty hosts ask for the same configuration within a second. Compressing it for each
    would take a third of a second of a core; with the cache it is compressed once.
    """

    def __init__(self):
        # The last encoded configuration, by its revision.
        self._configurations = {}

    def encode(self, response: SyncResponse, has_versions: bool = True) -> bytes:
        """Return the whole encoded response; see `encode_parts`."""
        return b"".join(self.encode_parts(response, has_versions))

    def encode_parts(self, response: SyncResponse, has_versions: bool = True) -> tuple:
        """Return the encoded response in parts; responses share the configuration's.

        Parameters
        ----------
        response : SyncResponse
            The response.
        has_versions : bool
            Whether the asking host expects the endpoints' software versions; hosts of
            earlier releases don't.
        """
        stored = response.configuration
        configuration = msgpack.packb(None)
        if stored is not None:
            configuration = self._encode_configuration(stored)
        endpoints = None
        if response.endpoints is not None:
            # Not cached: a heartbeat changes the record but not the revision.
            fields_sent = len(EndpointRecord._fields) - (not has_versions)
            records = [list(record)[:fields_sent] for record in response.endpoints]
            endpoints = _compress(records)
        fields = [endpoints, response.revision, response.is_complete]
        if response.removed is not None:
            # Hosts of an earlier release don't ask for changes and expect four fields.
            fields.append(list(response.removed))
        # An array is the header with its length, followed by its items.
        length = msgpack.Packer().pack_array_header(1 + len(fields))
        return length, configuration, b"".join(map(msgpack.packb, fields))

    def _encode_configuration(self, stored):
        """Encode a configuration once for all responses."""
        if stored.revision not in self._configurations:
            data = msgpack.packb(_compress(list(stored)))
            self._configurations = {stored.revision: SharedBytes(data)}
        return self._configurations[stored.revision]


def _compress(value):
    return zlib.compress(msgpack.packb(value), COMPRESSION_LEVEL)


def decode_sync_response(
    peer: str, data: bytes, requires_versions: bool = False
) -> SyncResponse:
    """Return the decoded response.

    Parameters
    ----------
    peer : str
        Name of the sender, for errors.
    data : bytes
        The response.
    requires_versions : bool
        Whether endpoints without a field for their software version are an error. Hosts
        of earlier releases don't send that field.

    Raises
    ------
    DecodeError
        When any of it can't be decoded. None of it is used then: half a list would drop
        the endpoints of its other half.
    """
    try:
        configuration, endpoints, revision, is_complete, *rest = msgpack.unpackb(data)
        removed = None
        if rest:
            removed = tuple(rest[0])
        stored = None
        if configuration is not None:
            stored = StoredObject(*_decompress(configuration))
        records = None
        if endpoints is not None:
            entries = _decompress(endpoints)
            expected = len(EndpointRecord._fields)
            if requires_versions and any(len(fields) < expected for fields in entries):
                raise ValueError("endpoints without software versions")
            records = tuple(EndpointRecord(*fields) for fields in entries)
    except (ValueError, TypeError, zlib.error, msgpack.UnpackException) as error:
        raise DecodeError("beliefs", peer, repr(error)) from error
    if type(revision) is not int or type(is_complete) is not bool:
        raise DecodeError("beliefs", peer, "revision or is_complete has a wrong type")
    if removed is not None and not all(type(item) is str for item in removed):
        raise DecodeError("beliefs", peer, "removed must contain only ids")
    return SyncResponse(stored, records, revision, is_complete, removed)


def _decompress(compressed):
    """Return a compressed value, limited so that a few bytes can't fill the memory."""
    decompressor = zlib.decompressobj()
    content = decompressor.decompress(compressed, DECOMPRESSED_MAX_BYTES)
    if not decompressor.eof:
        raise ValueError(
            f"truncated, or decompressed over {DECOMPRESSED_MAX_BYTES} bytes"
        )
    return msgpack.unpackb(content, strict_map_key=False)
