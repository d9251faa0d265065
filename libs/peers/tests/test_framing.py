"""Frames and msgpack payloads stay within their limits for arbitrary bytes."""

import tracemalloc

import msgpack
import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st

from gypsumusher_peers.errors import ProtocolFault
from gypsumusher_peers.framing import (
    FRAME_LIMIT_BYTES,
    HANDSHAKE_ITEMS_LIMIT,
    LENGTH_BYTES,
    frame,
    pack,
    read_length,
    unpack,
)

FUZZ = settings(derandomize=True, deadline=None, database=None, max_examples=300)

TEXTS = st.text(max_size=8)
VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**64 - 1) | TEXTS,
    lambda inner: (
        st.lists(inner, max_size=4) | st.dictionaries(TEXTS, inner, max_size=4)
    ),
    max_leaves=8,
)


@FUZZ
@given(st.dictionaries(TEXTS, VALUES, max_size=4))
def test_unpack_reverses_pack(message):
    assert unpack(pack(message)) == message


@FUZZ
@given(st.binary(max_size=200))
@example(b"\x81\x91\x01\x01")
@example(b"\x81\xc1\x01")
@example(b"\xc7\x10\x01")
def test_arbitrary_bytes_give_a_map_or_a_protocol_fault(payload):
    try:
        message = unpack(payload)
    except ProtocolFault as fault:
        assert fault.kind == "malformed"
        return
    assert all(isinstance(key, str) for key in message)


@FUZZ
@given(st.dictionaries(TEXTS, VALUES, max_size=4), st.data())
def test_a_truncated_message_is_a_protocol_fault(message, data):
    payload = pack(message)
    cut = data.draw(st.integers(0, len(payload) - 1))
    with pytest.raises(ProtocolFault):
        unpack(payload[:cut])


@pytest.mark.parametrize(
    "header",
    [b"\xdd\x00\xff\xff\xff", b"\xdf\x00\xff\xff\xff", b"\xc6\x00\xff\xff\xff"],
)
def test_announced_sizes_are_not_allocated(header):
    """A message of a few kilobytes exhausts the daemon's memory.

    A sender announces an array of sixteen million items, or nests hundreds of such
    arrays. The unpacker allocates what a header announces, and the daemon is killed
    for its memory use before it has read one item.
    """
    payload = b"\x81\xa1a" + header * 800
    tracemalloc.start()
    try:
        with pytest.raises(ProtocolFault):
            unpack(payload, HANDSHAKE_ITEMS_LIMIT)
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak_bytes < 200_000


def test_nested_arrays_within_the_limits_stay_bounded():
    payload = b"\x81\xa1a" + b"\xdc\x3f\xff" * 300_000
    tracemalloc.start()
    try:
        with pytest.raises(ProtocolFault):
            unpack(payload[:FRAME_LIMIT_BYTES])
        peak_bytes = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
    assert peak_bytes < 160_000_000


def test_a_value_that_msgpack_cannot_encode_is_a_protocol_fault():
    for value in (object(), 2**64, {1, 2}):
        with pytest.raises(ProtocolFault):
            pack({"value": value})


def test_a_length_over_the_limit_is_refused_by_its_header():
    header = (FRAME_LIMIT_BYTES + 1).to_bytes(LENGTH_BYTES, "big")
    with pytest.raises(ProtocolFault) as caught:
        read_length(header)
    assert caught.value.kind == "too_large"
    with pytest.raises(ProtocolFault):
        frame(b"x" * (FRAME_LIMIT_BYTES + 1))


def test_an_empty_frame_is_refused():
    with pytest.raises(ProtocolFault):
        read_length(bytes(LENGTH_BYTES))


def test_payloads_other_than_a_map_with_string_keys_are_refused():
    for value in (1, "text", [1], {1: 2}):
        with pytest.raises(ProtocolFault):
            unpack(msgpack.packb(value))
