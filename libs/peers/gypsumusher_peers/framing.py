"""Length-prefixed msgpack frames with limits on every size, without input or output."""

import msgpack

from gypsumusher_peers.errors import MALFORMED, TOO_LARGE, ProtocolFault

LENGTH_BYTES = 4
FRAME_LIMIT_BYTES = 1024 * 1024
# A msgpack header of five bytes can announce four thousand million items, and the
# unpacker allocates an array of the announced size before it looks for the items.
# Headers nest, so that the limit of items bounds what a short frame can allocate: 8
# bytes an item for each of the unpacker's levels, some 64 MB for a moment at the very
# worst, and only from a peer that holds the key. A stranger's messages are unpacked
# under the handshake's limit.
ITEMS_LIMIT = 16384
HANDSHAKE_ITEMS_LIMIT = 16


def pack(message):
    """Return a message as msgpack bytes.

    Raises
    ------
    ProtocolFault
        If it holds something that msgpack can't carry.
    """
    try:
        return msgpack.packb(message, use_bin_type=True)
    except (TypeError, ValueError, OverflowError, RecursionError) as error:
        raise ProtocolFault(MALFORMED, f"cannot pack: {error}") from error


def unpack(payload, items_limit=ITEMS_LIMIT):
    """Return the message in a payload.

    Parameters
    ----------
    payload : bytes
        One frame's payload, whose length is already bounded.
    items_limit : int
        Most items of any one array or map.

    Returns
    -------
    dict
        The message, with text keys at its top level.

    Raises
    ------
    ProtocolFault
        If it isn't one whole msgpack map within the limits.
    """
    size = len(payload)
    try:
        message = msgpack.unpackb(
            payload,
            raw=False,
            strict_map_key=False,
            max_str_len=size,
            max_bin_len=size,
            max_array_len=min(size, items_limit),
            max_map_len=min(size, items_limit),
            max_ext_len=0,
        )
    # The unpacker's errors are ValueErrors for all but keys that can't be hashed.
    except (ValueError, TypeError, RecursionError) as error:
        raise ProtocolFault(MALFORMED, f"cannot unpack: {error}") from error
    if not isinstance(message, dict):
        raise ProtocolFault(MALFORMED, f"expected a map, got {type(message).__name__}")
    if not all(isinstance(key, str) for key in message):
        raise ProtocolFault(MALFORMED, "expected text keys")
    return message


def frame(payload, limit_bytes=FRAME_LIMIT_BYTES):
    """Return a payload behind its length.

    Raises
    ------
    ProtocolFault
        If the payload is over the limit or empty.
    """
    check_length(len(payload), limit_bytes)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def read_length(header, limit_bytes=FRAME_LIMIT_BYTES):
    """Return the payload's length in bytes that a frame's header announces.

    Raises
    ------
    ProtocolFault
        If it is over the limit or zero, before anything is allocated for it.
    """
    length = int.from_bytes(header, "big")
    check_length(length, limit_bytes)
    return length


def check_length(length, limit_bytes):
    """Raise a ProtocolFault unless a payload's length is within the limit."""
    if length == 0:
        raise ProtocolFault(MALFORMED, "an empty frame")
    if length > limit_bytes:
        raise ProtocolFault(
            TOO_LARGE, f"a frame of {length} bytes is over the limit of {limit_bytes}"
        )
