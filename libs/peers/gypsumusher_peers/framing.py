"""Length-prefixed msgpack frames with a limit on every size; performs no I/O."""

import msgpack

from gypsumusher_peers.errors import MALFORMED, TOO_LARGE, ProtocolFault

# Size of the big-endian payload length in front of each payload.
LENGTH_BYTES = 4
# Largest payload, unless the caller sets another limit.
FRAME_LIMIT_BYTES = 1024 * 1024
# Most items of any one array or map in a message. A msgpack header of five bytes can
# announce about four billion items, and the unpacker allocates an array of the
# announced size before it reads the items. Because headers nest, this limit bounds
# what a short frame can allocate: 8 bytes an item for each nesting level of the
# unpacker, about 64 MB for a moment at worst, and only for a peer that holds the key.
ITEMS_LIMIT = 16384
# The same limit for messages from peers that are not authenticated yet.
HANDSHAKE_ITEMS_LIMIT = 16


def pack(message):
    """Return a message as msgpack bytes.

    Raises
    ------
    ProtocolFault
        If the message contains a value that msgpack can't encode.
    """
    try:
        return msgpack.packb(message, use_bin_type=True)
    except (TypeError, ValueError, OverflowError, RecursionError) as error:
        raise ProtocolFault(MALFORMED, f"cannot pack message: {error}") from error


def unpack(payload, items_limit=ITEMS_LIMIT):
    """Return the message in a payload.

    Parameters
    ----------
    payload : bytes
        The payload of one frame, whose length was checked already.
    items_limit : int
        Most items of any one array or map.

    Returns
    -------
    dict
        The message; its top-level keys are strings.

    Raises
    ------
    ProtocolFault
        If the payload isn't exactly one msgpack map within the limits.
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
    # The unpacker raises ValueErrors, except a TypeError for unhashable map keys.
    except (ValueError, TypeError, RecursionError) as error:
        raise ProtocolFault(MALFORMED, f"cannot unpack message: {error}") from error
    if not isinstance(message, dict):
        raise ProtocolFault(MALFORMED, f"expected a map, got {type(message).__name__}")
    if not all(isinstance(key, str) for key in message):
        raise ProtocolFault(MALFORMED, "expected string keys at the top level")
    return message


def frame(payload, limit_bytes=FRAME_LIMIT_BYTES):
    """Return a payload with its length in front.

    Raises
    ------
    ProtocolFault
        If the payload is empty or longer than the limit.
    """
    check_length(len(payload), limit_bytes)
    return len(payload).to_bytes(LENGTH_BYTES, "big") + payload


def read_length(header, limit_bytes=FRAME_LIMIT_BYTES):
    """Return the payload length in bytes that a frame's header announces.

    Raises
    ------
    ProtocolFault
        If the length is zero or over the limit. Called before the payload is read, so
        that nothing is allocated for such a frame.
    """
    length = int.from_bytes(header, "big")
    check_length(length, limit_bytes)
    return length


def check_length(length, limit_bytes):
    """Raise a ProtocolFault unless a payload's length is within the limit."""
    if length == 0:
        raise ProtocolFault(MALFORMED, "empty frame")
    if length > limit_bytes:
        raise ProtocolFault(
            TOO_LARGE, f"frame of {length} bytes exceeds the limit of {limit_bytes}"
        )
