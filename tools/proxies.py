"""Loopback proxies that delay, hold back, or reset what passes through them."""

import asyncio
import socket
import struct

__all__ = ["OrderProxy", "Proxy"]

READ_BYTES = 65_536
# What a packet of a network holds, in bytes. A piece on loopback may hold forty times
# as much, and a reader that takes one piece for a whole message goes unseen there.
SEGMENT_BYTES = 1448
ORDER_PREFIX = b"POST /orders"
# Closing a socket with this option drops what is under way and sends a reset.
RESET = struct.pack("ii", 1, 0)


class Proxy:
    """Connections to one address, and what befalls them.

    Attributes
    ----------
    target : str
        ``ip:port`` to which connections lead; may change between connections.
    delay_s : float
        How long each piece is held, in seconds.
    bytes_per_s : float or None
        What the link carries one way, all connections together; None for no limit.
        A limited link passes packets instead of whatever has come.
    upstream_blocked, downstream_blocked : bool
        Whether nothing passes to the target, or from it, until it may again. Held
        pieces aren't lost, as packets aren't that TCP sends again.
    """

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        self.bytes_per_s = None
        self.upstream_blocked = False
        self.downstream_blocked = False
        self._pairs = set()
        self._tasks = set()
        self._server = None
        self._changed = asyncio.Event()
        # When the link is through with what it carries, by direction.
        self._free_s = {}

    async def start(self):
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self.address

    async def close(self):
        """Stop, and end all connections."""
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_blocked(self, upstream, downstream):
        """Hold back one direction, both or none."""
        self.upstream_blocked, self.downstream_blocked = upstream, downstream
        self._changed.set()
        self._changed = asyncio.Event()

    def reset(self):
        """Reset all open connections on both sides."""
        for writer in list(self._pairs):
            _reset(writer)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self._pairs.add(writer)
        try:
            await self._until_free("upstream_blocked", b"")
            ip, _, port = self.target.rpartition(":")
            back_reader, back_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            # Nobody listens there: the caller of the proxy sees a reset.
            _reset(writer)
            self._forget(writer)
            return
        self._pairs.add(back_writer)
        try:
            await asyncio.gather(
                self._pump(reader, back_writer, "upstream_blocked"),
                self._pump(back_reader, writer, "downstream_blocked"),
            )
        except asyncio.CancelledError:
            # The proxy is closed; the library would report the cancelled task.
            return
        finally:
            for side in (writer, back_writer):
                side.close()
                self._forget(side)

    def _forget(self, writer):
        self._pairs.discard(writer)
        self._tasks.discard(asyncio.current_task())

    async def _pump(self, reader, writer, direction):
        try:
            while True:
                data = await reader.read(READ_BYTES)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._until_free(direction, data)
                if not data:
                    break
                await self._pass_on(data, writer, direction)
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # One side was reset, so that the other one has to be.
            writer.transport.abort()

    async def _pass_on(self, data, writer, direction):
        """Write what has come: at once, or packet by packet as the link carries it."""
        size = len(data) if self.bytes_per_s is None else SEGMENT_BYTES
        for begin in range(0, len(data), size):
            piece = data[begin : begin + size]
            if self.bytes_per_s is not None:
                await self._carry(direction, len(piece))
            writer.write(piece)
            await writer.drain()

    async def _carry(self, direction, size):
        """Wait until the link has carried a packet, behind those before it."""
        now_s = asyncio.get_running_loop().time()
        begins_s = max(now_s, self._free_s.get(direction, now_s))
        ends_s = begins_s + size / self.bytes_per_s
        self._free_s[direction] = ends_s
        await asyncio.sleep(ends_s - now_s)

    async def _until_free(self, direction, data):
        """Wait until a piece may pass in a direction."""
        while getattr(self, direction):
            await self._changed.wait()


class OrderProxy(Proxy):
    """Holds the bytes of orders to one engine while told to, and nothing else.

    The engine's side of each connection is opened as the daemon's side is, so that
    the engine sees a held order as one from a steward that was paused after it had
    connected.

    Attributes
    ----------
    holds : bool
        Whether orders that come now are held.
    held, released : asyncio.Event
        Set when an order is held; to be set to let it go on.
    """

    def __init__(self, target):
        super().__init__(target)
        self.holds_orders = False
        self.held = asyncio.Event()
        self.released = asyncio.Event()

    async def _until_free(self, direction, data):
        if (
            self.holds_orders
            and direction == "upstream_blocked"
            and data.startswith(ORDER_PREFIX)
        ):
            self.held.set()
            await self.released.wait()


def _reset(writer):
    """Reset a connection: its peer sees an error, not an end."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
    writer.transport.abort()
