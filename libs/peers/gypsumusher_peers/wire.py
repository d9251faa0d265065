"""Read and write frames on an asyncio stream, and run both sides' handshakes."""

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
    answer_hello,
    make_hello,
    read_answer,
    read_hello,
    read_proof,
    refuse_hello,
)


async def read_payload(reader, limit_bytes, idle_timeout_s, frame_timeout_s):
    """Read one frame.

    Parameters
    ----------
    reader : asyncio.StreamReader
        The connection.
    limit_bytes : int
        Largest payload that is taken.
    idle_timeout_s : float
        Longest wait for the frame's first byte.
    frame_timeout_s : float
        Longest wait from the first byte to the last, against slow senders.

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
            first = await reader.readexactly(1)
        async with asyncio.timeout(frame_timeout_s):
            rest = await reader.readexactly(LENGTH_BYTES - 1)
            length = read_length(first + rest, limit_bytes)
            return await reader.readexactly(length)
    except TimeoutError as error:
        raise ProtocolFault(TIMEOUT, "no whole frame in time") from error
    except asyncio.IncompleteReadError as error:
        raise ProtocolFault(CLOSED, "the peer closed the connection") from error
    except OSError as error:
        raise ProtocolFault(CLOSED, f"connection lost: {error}") from error


async def open_session(reader, writer, identity, keys, timeout_s):
    """Run the opening side of a handshake.

    Returns
    -------
    Session
        The authenticated session.

    Raises
    ------
    ProtocolFault
        If it fails or takes longer than `timeout_s`.
    """
    key = keys.signing_key
    hello = Hello(key.key_id, identity, secrets.token_bytes(NONCE_BYTES))
    writer.write(frame(make_hello(key.key_id, identity, hello.nonce)))
    payload = await read_payload(reader, HANDSHAKE_LIMIT_BYTES, timeout_s, timeout_s)
    session, proof = read_answer(payload, hello, key)
    writer.write(frame(proof))
    return session


async def accept_session(reader, writer, identity, keys, timeout_s):
    """Run the answering side of a handshake.

    Returns
    -------
    Session
        The authenticated session.

    Raises
    ------
    ProtocolFault
        If it fails or takes longer than `timeout_s` in all.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _accept(reader, writer, identity, keys, timeout_s)
    except TimeoutError as error:
        raise ProtocolFault(TIMEOUT, "no handshake in time") from error


async def _accept(reader, writer, identity, keys, timeout_s):
    limit = HANDSHAKE_LIMIT_BYTES
    payload = await read_payload(reader, limit, timeout_s, timeout_s)
    try:
        hello = read_hello(payload)
    except ProtocolFault as fault:
        if fault.kind == VERSION:
            writer.write(frame(refuse_hello(VERSION)))
        raise
    key = keys.find(hello.key_id)
    if key is None:
        writer.write(frame(refuse_hello("unknown key")))
        raise ProtocolFault(HANDSHAKE, "the peer opened under an unknown key")
    nonce = secrets.token_bytes(NONCE_BYTES)
    writer.write(frame(answer_hello(hello, key, identity, nonce)))
    payload = await read_payload(reader, limit, timeout_s, timeout_s)
    return read_proof(payload, hello, key, identity, nonce)


async def read_message(reader, session, limit_bytes, idle_timeout_s, frame_timeout_s):
    """Read, verify and unpack one message of a session."""
    sealed = await read_payload(
        reader, limit_bytes + MAC_BYTES, idle_timeout_s, frame_timeout_s
    )
    return unpack(session.receiving.open(sealed))


def write_message(writer, session, message, limit_bytes):
    """Seal and write one message of a session.

    Raises
    ------
    ProtocolFault
        If the message can't be carried; nothing was written then.
    """
    payload = pack(message)
    # The length is checked before the seal counts the frame, so that a refused
    # message leaves no hole in the numbers.
    frame(payload, limit_bytes)
    writer.write(frame(session.sending.seal(payload), limit_bytes + MAC_BYTES))
