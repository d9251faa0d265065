"""Tunnels: connections to endpoints that another host has opened (HTTP's CONNECT).

The host in between forwards bytes and decides nothing about requests. An end of the
connection is passed on as what it was: a regular end may complete a response without
length, a reset never does, and neither does the end of the host in between.
"""

import asyncio
import fcntl
import socket
import struct
import sys
import termios

import httptools

from gypsumusher_http.errors import TunnelRefusedError

__all__ = [
    "TunnelRelay",
    "enable_tcp_keepalive",
    "is_end_by_reset",
    "open_tunnel",
    "reset_on_close",
]

# Size of the buffer in each direction above which reading from the other side pauses.
MAX_BUFFERED_BYTES = 256 * 1024
# Memory of one connection beside its buffer.
SIDE_BYTES = 4 * 1024
# TCP keepalive: idle time and interval of the probes in seconds, and number of probes.
# A connection that died without a reset is closed before a request is lost on it.
KEEPALIVE_IDLE_S, KEEPALIVE_INTERVAL_S, KEEPALIVE_COUNT = 1, 1, 2
# SO_LINGER values: closing the socket sends a reset, or delivers what was written.
_CLOSE_BY_RESET, _CLOSE_REGULARLY = struct.pack("ii", 1, 0), struct.pack("ii", 0, 0)
_ESTABLISHED = 200
# Largest response to a request for a tunnel.
HANDSHAKE_MAX_BYTES = 16 * 1024


async def open_tunnel(protocol, relay_address, address):
    """Connect a protocol to an address through another host.

    Parameters
    ----------
    protocol : asyncio.Protocol
        Its ``connection_made`` is called once the tunnel is open.
    relay_address, address : str
        ``ip:port`` of the host in between, and of the endpoint.

    Raises
    ------
    OSError
        When the host in between can't be reached.
    TunnelRefusedError
        When it doesn't reach the endpoint, or doesn't forward for this host.
    """
    ip, _, port = relay_address.rpartition(":")
    loop = asyncio.get_running_loop()
    handshake = _Handshake(protocol, relay_address, address)
    transport, _ = await loop.create_connection(lambda: handshake, ip, int(port))
    try:
        await handshake.opened
    except BaseException:
        transport.abort()
        raise


class _Handshake(asyncio.Protocol):
    """Asks for a tunnel, and leaves its transport to another protocol."""

    def __init__(self, protocol, relay_address, address):
        self.opened = asyncio.get_running_loop().create_future()
        self._protocol = protocol
        self._relay_address = relay_address
        self._address = address
        self._transport = None
        self._received_bytes = 0
        self._parser = httptools.HttpResponseParser(self)

    def connection_made(self, transport):
        self._transport = transport
        target = self._address
        transport.write(f"CONNECT {target} HTTP/1.1\r\nHost: {target}\r\n\r\n".encode())

    def data_received(self, data):
        if self.opened.done():
            return
        self._received_bytes += len(data)
        if self._received_bytes > HANDSHAKE_MAX_BYTES:
            self._fail(0)
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            return
        except httptools.HttpParserError:
            self._fail(0)

    def on_headers_complete(self):
        status = self._parser.get_status_code()
        if status != _ESTABLISHED:
            self._fail(status)
            return
        if not self.opened.done():
            self._transport.set_protocol(self._protocol)
            self._protocol.connection_made(self._transport)
            self.opened.set_result(None)

    def connection_lost(self, error):
        self._fail(0)

    def _fail(self, status):
        if not self.opened.done():
            error = TunnelRefusedError(self._relay_address, self._address, status)
            self.opened.set_exception(error)


class TunnelRelay:
    """Opens tunnels for other hosts, and forwards their bytes.

    Parameters
    ----------
    connect_timeout_s : float
        Longest time to open a connection to an endpoint, in seconds.
    budget : ConnectionBudget
        Limit on the memory of all connections.
    """

    def __init__(self, connect_timeout_s, budget):
        self._connect_timeout_s = connect_timeout_s
        self._budget = budget
        self._sides = set()

    @property
    def tunnel_count(self):
        """Number of open tunnels."""
        return len(self._sides) // 2

    def has_tunnel_to(self, address):
        """Return whether a tunnel to an address is open."""
        return any(side.address == address for side in self._sides)

    async def forward(self, reply, address):
        """Open a connection to an address and join it with a caller's connection.

        Parameters
        ----------
        reply : Reply
            Reply to the request for the tunnel.
        address : str
            ``ip:port`` of the endpoint.

        Raises
        ------
        OSError, TimeoutError
            When the address can't be reached; no reply has been sent then.
        """
        ip, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        far = _Side(self._sides, self._budget, address)
        near = _Side(self._sides, self._budget)
        async with asyncio.timeout(self._connect_timeout_s):
            await loop.create_connection(lambda: far, ip, int(port))
        transport = reply.hand_over()
        if transport is None or far.transport is None:
            # The caller has left, or the endpoint has closed at once.
            for side in (transport, far.transport):
                if side is not None:
                    side.abort()
            return
        near.join(far)
        transport.set_protocol(near)
        # What ends this process must not look like the end of a response.
        reset_on_close(transport, True)
        near.connection_made(transport)

    def close(self):
        """Close all tunnels at once, by a reset."""
        for side in list(self._sides):
            if side.transport is not None:
                side.transport.abort()


class _Side(asyncio.Protocol):
    """One of the two connections of a tunnel.

    Attributes
    ----------
    address : str or None
        Address of the endpoint on the side of it.
    """

    # What a tunnel carries isn't looked at.
    awaits_endpoint = False

    def __init__(self, sides, budget, address=None):
        self.transport = None
        self.address = address
        self._other = None
        self._sides = sides
        self._budget = budget

    def join(self, other):
        """Forward to another side, and the other way round."""
        self._other, other._other = other, self

    def held_bytes(self):
        """Return the memory that the connection takes, in bytes."""
        return SIDE_BYTES + self.transport.get_write_buffer_size()

    def give_up(self):
        """Reset the connection, and with it the other one."""
        if self.transport is not None:
            self.transport.abort()

    def connection_made(self, transport):
        self.transport = transport
        self._sides.add(self)
        self._budget.update(self)
        transport.set_write_buffer_limits(high=MAX_BUFFERED_BYTES)
        enable_tcp_keepalive(transport.get_extra_info("socket"))

    def data_received(self, data):
        if self._other is None:
            # An endpoint speaks only when it is asked.
            self.transport.abort()
            return
        self._other.transport.write(data)
        self._budget.update(self._other)

    def pause_writing(self):
        if self._other is not None:
            self._other.transport.pause_reading()

    def resume_writing(self):
        if self._other is not None:
            self._other.transport.resume_reading()

    def eof_received(self):
        if not is_end_by_reset(self.transport):
            self._end_other(is_reset=False)

    def connection_lost(self, error):
        self.transport = None
        self._budget.discard(self)
        self._sides.discard(self)
        self._end_other(is_reset=True)

    def _end_other(self, is_reset):
        """End the other side as this one has ended."""
        other, self._other = self._other, None
        if other is None or other.transport is None:
            return
        other._other = None
        if is_reset:
            other.transport.abort()
            return
        reset_on_close(other.transport, False)
        other.transport.close()


def reset_on_close(transport, is_reset):
    """Set whether closing a connection resets it, also when the process is killed."""
    linger = _CLOSE_BY_RESET if is_reset else _CLOSE_REGULARLY
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def is_end_by_reset(transport):
    """Return whether the peer has broken off a connection that looks ended.

    The event loop reports some resets as a regular end, with the error still pending at
    the socket. A write that fails takes that error away, and leaves bytes unsent. A
    peer that ends its side before it has taken all bytes may reset the connection only
    later.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return False
    if sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return True
    return transport.get_write_buffer_size() > 0 or _unacknowledged_bytes(sock) > 0


def _unacknowledged_bytes(sock):
    """Return the number of bytes that the system has taken and the peer hasn't."""
    try:
        queued = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, b"\0" * 4)
    except OSError:
        # The system doesn't tell.
        return 0
    return int.from_bytes(queued, sys.byteorder)


def enable_tcp_keepalive(sock):
    """Enable TCP keepalive on a socket."""
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    except OSError:
        # The connection works without these options; a dead peer is only detected
        # later.
        return
