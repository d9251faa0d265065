"""Only key holders authenticate, and forged or replayed frames are detected."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumusher_peers.errors import ProtocolFault
from gypsumusher_peers.framing import pack, unpack
from gypsumusher_peers.handshake import (
    Hello,
    Identity,
    make_hello,
    make_hello_response,
    make_refusal,
    parse_hello,
    verify_hello_response,
    verify_initiator_proof,
)
from gypsumusher_peers.keys import KeyRing

FUZZ = settings(derandomize=True, deadline=None, database=None, max_examples=200)

INITIATOR = Identity("host-a", "incarnation-a")
RESPONDER = Identity("host-b", "incarnation-b")
KEY = KeyRing([("k1", "a secret of enough bytes")]).signing_key
OTHER_KEY = KeyRing([("k1", "another secret of bytes")]).signing_key
INITIATOR_NONCE = b"a" * 32
RESPONDER_NONCE = b"b" * 32
HELLO = Hello("k1", INITIATOR, INITIATOR_NONCE)


def run_handshake(
    initiator_key=KEY, responder_key=KEY, responder_nonce=RESPONDER_NONCE
):
    hello = parse_hello(make_hello("k1", INITIATOR, INITIATOR_NONCE))
    response = make_hello_response(hello, responder_key, RESPONDER, responder_nonce)
    initiator, proof = verify_hello_response(response, HELLO, initiator_key)
    responder = verify_initiator_proof(
        proof, hello, responder_key, RESPONDER, responder_nonce
    )
    return initiator, responder


def test_both_sides_learn_the_peers_identity():
    initiator, responder = run_handshake()
    assert initiator.peer == RESPONDER
    assert responder.peer == INITIATOR
    for payload in (b"one", b"two"):
        assert (
            responder.receive_channel.open(initiator.send_channel.seal(payload))
            == payload
        )
        assert (
            initiator.receive_channel.open(responder.send_channel.seal(payload))
            == payload
        )


def test_a_responder_without_the_key_is_refused():
    with pytest.raises(ProtocolFault) as caught:
        run_handshake(responder_key=OTHER_KEY)
    assert caught.value.kind == "handshake"


def test_an_initiator_without_the_key_is_refused():
    response = make_hello_response(HELLO, OTHER_KEY, RESPONDER, RESPONDER_NONCE)
    _, proof = verify_hello_response(response, HELLO, OTHER_KEY)
    with pytest.raises(ProtocolFault) as caught:
        verify_initiator_proof(proof, HELLO, KEY, RESPONDER, RESPONDER_NONCE)
    assert caught.value.kind == "handshake"


def test_a_proof_from_an_earlier_connection_is_refused():
    """An attacker impersonates a host whose handshake it recorded.

    The attacker records one complete handshake and replays its messages later. This
    works if the proof doesn't depend on a fresh nonce of the verifying side.
    """
    response = make_hello_response(HELLO, KEY, RESPONDER, RESPONDER_NONCE)
    _, recorded = verify_hello_response(response, HELLO, KEY)
    with pytest.raises(ProtocolFault):
        verify_initiator_proof(recorded, HELLO, KEY, RESPONDER, b"c" * 32)


def test_a_proof_reflected_to_its_sender_is_refused():
    """An attacker without the key authenticates with the host's own proof.

    The attacker opens a connection and reflects the host's proof to it. This works if
    the proofs of both sides cover the same bytes.
    """
    response = unpack(make_hello_response(HELLO, KEY, RESPONDER, RESPONDER_NONCE))
    reflected = pack({"proof": response["proof"]})
    with pytest.raises(ProtocolFault):
        verify_initiator_proof(reflected, HELLO, KEY, RESPONDER, RESPONDER_NONCE)


def test_frames_cannot_be_replayed_dropped_reordered_or_sent_back():
    """An attacker on the network replays, drops, reorders or reflects frames.

    The attacker copies frames and sends them again, out of order, or to their sender.
    This works if the MAC covers the payload but neither its sequence number nor its
    direction.
    """
    initiator, responder = run_handshake()
    first = initiator.send_channel.seal(b"first")
    responder.receive_channel.open(first)
    with pytest.raises(ProtocolFault):
        responder.receive_channel.open(first)
    initiator, responder = run_handshake()
    initiator.send_channel.seal(b"dropped")
    with pytest.raises(ProtocolFault):
        responder.receive_channel.open(initiator.send_channel.seal(b"second"))
    initiator, responder = run_handshake()
    with pytest.raises(ProtocolFault):
        initiator.receive_channel.open(initiator.send_channel.seal(b"sent back"))
    other, _ = run_handshake(responder_nonce=b"c" * 32)
    with pytest.raises(ProtocolFault):
        responder.receive_channel.open(other.send_channel.seal(b"another connection's"))


@FUZZ
@given(st.data())
def test_any_changed_bit_of_a_frame_is_detected(data):
    initiator, responder = run_handshake()
    sealed = bytearray(initiator.send_channel.seal(b"payload of a frame"))
    position = data.draw(st.integers(0, len(sealed) - 1))
    sealed[position] ^= 1 << data.draw(st.integers(0, 7))
    with pytest.raises(ProtocolFault) as caught:
        responder.receive_channel.open(bytes(sealed))
    assert caught.value.kind == "forged"


@FUZZ
@given(st.binary(max_size=300))
def test_arbitrary_bytes_in_a_handshake_give_a_protocol_fault(payload):
    for parse in (
        lambda: parse_hello(payload),
        lambda: verify_hello_response(payload, HELLO, KEY),
        lambda: verify_initiator_proof(payload, HELLO, KEY, RESPONDER, RESPONDER_NONCE),
    ):
        with pytest.raises(ProtocolFault):
            parse()


HELLO_FIELDS = ["protocol", "version", "key_id", "host", "incarnation", "nonce"]


@FUZZ
@given(
    st.sampled_from(HELLO_FIELDS),
    st.none() | st.integers() | st.binary(max_size=40) | st.lists(st.integers()),
)
def test_a_hello_with_a_field_of_another_type_gives_a_protocol_fault(field, value):
    message = unpack(make_hello("k1", INITIATOR, INITIATOR_NONCE))
    if value == message[field] or (field == "nonce" and value == INITIATOR_NONCE):
        return
    if field == "nonce" and isinstance(value, bytes) and len(value) == 32:
        return
    message[field] = value
    try:
        payload = pack(message)
    except ProtocolFault:
        return
    with pytest.raises(ProtocolFault):
        parse_hello(payload)


def test_another_protocol_version_has_its_own_error_kind():
    message = unpack(make_hello("k1", INITIATOR, INITIATOR_NONCE))
    message["version"] = 2
    with pytest.raises(ProtocolFault) as caught:
        parse_hello(pack(message))
    assert caught.value.kind == "version"
    assert "2" in caught.value.detail


def test_a_refusal_raises_with_its_reason():
    with pytest.raises(ProtocolFault) as caught:
        verify_hello_response(make_refusal("unknown key"), HELLO, KEY)
    assert "unknown key" in caught.value.detail
