"""Only holders of a shared key talk, and frames are neither forged nor replayed."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumusher_peers.errors import ProtocolFault
from gypsumusher_peers.framing import pack, unpack
from gypsumusher_peers.handshake import (
    Hello,
    Identity,
    answer_hello,
    make_hello,
    read_answer,
    read_hello,
    read_proof,
    refuse_hello,
)
from gypsumusher_peers.keys import KeyRing

FUZZ = settings(derandomize=True, deadline=None, database=None, max_examples=200)

OPENING = Identity("host-a", "incarnation-a")
ANSWERING = Identity("host-b", "incarnation-b")
KEY = KeyRing([("k1", "a secret of enough bytes")]).signing_key
OTHER_KEY = KeyRing([("k1", "another secret of bytes")]).signing_key
NONCE_A = b"a" * 32
NONCE_B = b"b" * 32
HELLO = Hello("k1", OPENING, NONCE_A)


def shake(opening_key=KEY, answering_key=KEY, nonce_b=NONCE_B):
    hello = read_hello(make_hello("k1", OPENING, NONCE_A))
    answer = answer_hello(hello, answering_key, ANSWERING, nonce_b)
    opened, proof = read_answer(answer, HELLO, opening_key)
    accepted = read_proof(proof, hello, answering_key, ANSWERING, nonce_b)
    return opened, accepted


def test_both_sides_learn_whom_they_talk_to():
    opened, accepted = shake()
    assert opened.peer == ANSWERING
    assert accepted.peer == OPENING
    for payload in (b"one", b"two"):
        assert accepted.receiving.open(opened.sending.seal(payload)) == payload
        assert opened.receiving.open(accepted.sending.seal(payload)) == payload


def test_an_answering_side_without_the_key_is_refused():
    with pytest.raises(ProtocolFault) as caught:
        shake(answering_key=OTHER_KEY)
    assert caught.value.kind == "handshake"


def test_an_opening_side_without_the_key_is_refused():
    answer = answer_hello(HELLO, OTHER_KEY, ANSWERING, NONCE_B)
    _, proof = read_answer(answer, HELLO, OTHER_KEY)
    with pytest.raises(ProtocolFault) as caught:
        read_proof(proof, HELLO, KEY, ANSWERING, NONCE_B)
    assert caught.value.kind == "handshake"


def test_a_proof_from_an_earlier_connection_is_refused():
    """A stranger would talk as a host whose handshake it recorded.

    The stranger records one whole handshake and sends its parts again later.
    Cause: a proof that doesn't depend on a fresh number of the verifying side.
    """
    answer = answer_hello(HELLO, KEY, ANSWERING, NONCE_B)
    _, recorded = read_answer(answer, HELLO, KEY)
    with pytest.raises(ProtocolFault):
        read_proof(recorded, HELLO, KEY, ANSWERING, b"c" * 32)


def test_a_proof_sent_back_to_its_maker_is_refused():
    """A stranger without the key would pass by letting a host prove itself.

    It opens a connection and sends the host's own proof back as its own.
    Cause: both sides' proofs cover the same bytes.
    """
    answer = unpack(answer_hello(HELLO, KEY, ANSWERING, NONCE_B))
    reflected = pack({"proof": answer["proof"]})
    with pytest.raises(ProtocolFault):
        read_proof(reflected, HELLO, KEY, ANSWERING, NONCE_B)


def test_frames_cannot_be_replayed_dropped_reordered_or_sent_back():
    """A stranger on the network would repeat or move a host's messages.

    It copies frames off the wire and sends them again, out of order, or back.
    Cause: a MAC that covers the payload but neither its number nor its direction.
    """
    opened, accepted = shake()
    first = opened.sending.seal(b"first")
    accepted.receiving.open(first)
    with pytest.raises(ProtocolFault):
        accepted.receiving.open(first)
    opened, accepted = shake()
    opened.sending.seal(b"dropped")
    with pytest.raises(ProtocolFault):
        accepted.receiving.open(opened.sending.seal(b"second"))
    opened, accepted = shake()
    with pytest.raises(ProtocolFault):
        opened.receiving.open(opened.sending.seal(b"sent back"))
    other, _ = shake(nonce_b=b"c" * 32)
    with pytest.raises(ProtocolFault):
        accepted.receiving.open(other.sending.seal(b"another connection's"))


@FUZZ
@given(st.data())
def test_any_changed_bit_of_a_frame_is_found(data):
    opened, accepted = shake()
    sealed = bytearray(opened.sending.seal(b"payload of a frame"))
    position = data.draw(st.integers(0, len(sealed) - 1))
    sealed[position] ^= 1 << data.draw(st.integers(0, 7))
    with pytest.raises(ProtocolFault) as caught:
        accepted.receiving.open(bytes(sealed))
    assert caught.value.kind == "forged"


@FUZZ
@given(st.binary(max_size=300))
def test_arbitrary_bytes_in_a_handshake_give_a_typed_fault(payload):
    for read in (
        lambda: read_hello(payload),
        lambda: read_answer(payload, HELLO, KEY),
        lambda: read_proof(payload, HELLO, KEY, ANSWERING, NONCE_B),
    ):
        with pytest.raises(ProtocolFault):
            read()


FIELDS = ["protocol", "version", "key_id", "host", "incarnation", "nonce"]


@FUZZ
@given(
    st.sampled_from(FIELDS),
    st.none() | st.integers() | st.binary(max_size=40) | st.lists(st.integers()),
)
def test_a_hello_with_a_field_of_another_type_gives_a_typed_fault(field, value):
    message = unpack(make_hello("k1", OPENING, NONCE_A))
    if value == message[field] or (field == "nonce" and value == NONCE_A):
        return
    if field == "nonce" and isinstance(value, bytes) and len(value) == 32:
        return
    message[field] = value
    try:
        payload = pack(message)
    except ProtocolFault:
        return
    with pytest.raises(ProtocolFault):
        read_hello(payload)


def test_another_version_is_told_apart_from_a_stranger():
    message = unpack(make_hello("k1", OPENING, NONCE_A))
    message["version"] = 2
    with pytest.raises(ProtocolFault) as caught:
        read_hello(pack(message))
    assert caught.value.kind == "version"
    assert "2" in caught.value.detail


def test_a_refusal_is_read_as_one():
    with pytest.raises(ProtocolFault) as caught:
        read_answer(refuse_hello("unknown key"), HELLO, KEY)
    assert "unknown key" in caught.value.detail
