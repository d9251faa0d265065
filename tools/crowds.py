"""Clients that send what they like and read nothing, for tests."""

import asyncio
import contextlib
import socket

__all__ = ["STALL_S", "misbehave"]

# A client stops to send when the host takes nothing for this long.
STALL_S = 1.0


async def misbehave(address, opening, repeated, times, receive_bytes=None):
    """Connect one client and send its bytes; return its socket, which stays open.

    Parameters
    ----------
    address : (str, int)
        Address of the host.
    opening : bytes
        What is sent first. The response to CONNECT is waited for.
    repeated : bytes
        What is sent after that.
    times : int
        How often.
    receive_bytes : int or None
        Size of the socket's receive buffer; by default the system's.
    """
    loop = asyncio.get_running_loop()
    sock = socket.socket()
    sock.setblocking(False)
    if receive_bytes is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes)
    await loop.sock_connect(sock, address)
    with contextlib.suppress(OSError, TimeoutError):
        await loop.sock_sendall(sock, opening)
        if opening.startswith(b"CONNECT"):
            async with asyncio.timeout(STALL_S):
                await loop.sock_recv(sock, 100)
        for data in [repeated] * times:
            async with asyncio.timeout(STALL_S):
                await loop.sock_sendall(sock, data)
    return sock
