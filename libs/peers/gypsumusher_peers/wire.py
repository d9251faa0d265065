"""Reads and writes frames on asyncio streams, and runs both sides of the handshake."""

import asyncio
import secrets

from gypsumusher_peers.errors import (
    CLOSED,
    HANDSHAKE,
    TIMEOUT,
    VERSION,
    ProtocolFault,
)
from gypsumusher_peers.framing import (
    LENGTH_BYTES,
    frame,
    pack,
    read_length,
    unpack,
)
from gypsumusher_peers.handshake import (
    HANDSHAKE_LIMIT_BYTES,
    MAC_BYTES,
    NONCE_BYTES,
    Hello,
    make_hello,
    make_hello_response,
    make_refusal,
    parse_hello,
    verify_hello_response,
    verify_initiator_proof,
)


async def read_payload(reader, limit_bytes, idle_timeout_s, frame_timeout_s):
    """Read one frame and return its payload.

    Parameters
    ----------
    reader : asyncio.StreamReader
        The connection.
    limit_bytes : int
        Largest payload that is accepted.
    idle_timeout_s : float or None
        Longest wait for the frame's first byte; None waits without limit.
    frame_timeout_s : float
        Longest time from the frame's first byte to its last, against slow senders.

    Returns
    -------
    bytes
        The payload.

    Raises
    ------
    ProtocolFault
        On a time-out, the end of the stream or a length outside the limit.
    """
    try:
        async with asyncio.timeout(idle_timeout_s):
            first_byte = await reader.readexactly(1)
        async with asyncio.timeout(frame_timeout_s):
            rest = await reader.readexactly(LENGTH_BYTES - 1)
            length = read_length(first_byte + rest, limit_bytes)
            return await reader.readexactly(length)
    except TimeoutError as error:
        raise ProtocolFault(TIMEOUT, "no complete frame before the time-out") from error
    except asyncio.IncompleteReadError as error:
        raise ProtocolFault(CLOSED, "the peer closed the connection") from error
    except OSError as error:
        # PeerServer tells this case from an orderly close by the text's beginning.
        raise ProtocolFault(CLOSED, f"connection lost: {error}") from error


async def open_session(reader, writer, identity, keys, timeout_s):
    """Run the initiator's side of the handshake.

    Returns
    -------
    Session
        The authenticated session.

    Raises
    ------
    ProtocolFault
        If the handshake fails, or the responder's message does not begin within
        `timeout_s` or takes longer than that to arrive.
    """
    key = keys.signing_key
    hello = Hello(key.key_id, identity, secrets.token_bytes(NONCE_BYTES))
    writer.write(frame(make_hello(key.key_id, identity, hello.nonce)))
    payload = await read_payload(reader, HANDSHAKE_LIMIT_BYTES, timeout_s, timeout_s)
    session, proof = verify_hello_response(payload, hello, key)
    writer.write(frame(proof))
    return session


async def accept_session(reader, writer, identity, keys, timeout_s):
    """Run the responder's side of the handshake.

    Returns
    -------
    Session
        The authenticated session.

    Raises
    ------
    ProtocolFault
        If the handshake fails, or takes longer than `timeout_s` in total.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _respond(reader, writer, identity, keys, timeout_s)
    except TimeoutError as error:
        raise ProtocolFault(
            TIMEOUT, "handshake not complete before the time-out"
        ) from error


async def _respond(reader, writer, identity, keys, timeout_s):
    limit_bytes = HANDSHAKE_LIMIT_BYTES
    payload = await read_payload(reader, limit_bytes, timeout_s, timeout_s)
    try:
        hello = parse_hello(payload)
    except ProtocolFault as fault:
        if fault.kind == VERSION:
            writer.write(frame(make_refusal(VERSION)))
        raise
    key = keys.find(hello.key_id)
    if key is None:
        writer.write(frame(make_refusal("unknown key")))
        raise ProtocolFault(HANDSHAKE, "the peer's hello names an unknown key")
    nonce = secrets.token_bytes(NONCE_BYTES)
    writer.write(frame(make_hello_response(hello, key, identity, nonce)))
    payload = await read_payload(reader, limit_bytes, timeout_s, timeout_s)
    return verify_initiator_proof(payload, hello, key, identity, nonce)


async def read_message(reader, session, limit_bytes, idle_timeout_s, frame_timeout_s):
    """Read, verify and unpack one message of a session."""
    sealed = await read_payload(
        reader, limit_bytes + MAC_BYTES, idle_timeout_s, frame_timeout_s
    )
    return unpack(session.receive_channel.open(sealed))


def write_message(writer, session, message, limit_bytes):
    """Pack, seal and write one message of a session.

    Raises
    ------
    ProtocolFault
        If the message can't be packed or exceeds the limit; nothing was written then.
    """
    payload = pack(message)
    # Checks the length before sealing advances the sequence number: a message that is
    # refused must not leave a gap, which the receiver would take for a dropped frame.
    frame(payload, limit_bytes)
    writer.write(frame(session.send_channel.seal(payload), limit_bytes + MAC_BYTES))
