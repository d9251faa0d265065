"""TCP proxies on loopback that delay, block, throttle or reset connections."""

import asyncio
import socket
import struct

__all__ = ["OrderProxy", "Proxy", "reset_connection"]

READ_BYTES = 65_536
# Payload of a network packet. A read on loopback may return forty times as much, which
# hides a reader that takes one read for a whole message.
SEGMENT_BYTES = 1448
ORDER_PREFIX = b"POST /orders"
# SO_LINGER value (on, 0 s): closing the socket discards unsent data and sends a reset.
LINGER_RESET = struct.pack("ii", 1, 0)


class Proxy:
    """Forwards connections to one address, with the faults that are set.

    Attributes
    ----------
    target : str
        ``ip:port`` to connect to; a change takes effect for new connections.
    delay_s : float
        Delay of each read, in seconds.
    bytes_per_s : float or None
        Bandwidth of each direction, shared by all connections; None for no limit.
        A limited link forwards data packet by packet, not read by read.
    upstream_blocked, downstream_blocked : bool
        Whether data to the target, or from it, is held back until unblocked. As with
        TCP retransmission, data that is held back isn't lost.
    """

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.delay_s = 0.0
        self.bytes_per_s = None
        self.upstream_blocked = False
        self.downstream_blocked = False
        self._writers = set()
        self._client_writers = set()
        self._tasks = set()
        self._server = None
        self._block_changed = asyncio.Event()
        # When the link will have sent all accepted packets, by direction.
        self._idle_at_s = {}

    async def start(self):
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self.address

    async def close(self):
        """Stop listening, and reset all connections."""
        self._server.close()
        self.reset()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_blocked(self, upstream, downstream):
        """Block or unblock the two directions."""
        self.upstream_blocked, self.downstream_blocked = upstream, downstream
        self._block_changed.set()
        self._block_changed = asyncio.Event()

    def reset(self):
        """Reset all open connections on both sides."""
        for writer in list(self._writers):
            reset_connection(writer)

    def reset_clients(self):
        """Reset all open connections on the side of those who opened them alone.

        The target still gets what was sent before, once nothing blocks it any more.
        """
        for writer in list(self._client_writers):
            reset_connection(writer)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        self._writers.add(writer)
        self._client_writers.add(writer)
        try:
            await self._wait_while_blocked("upstream_blocked", b"")
            ip, _, port = self.target.rpartition(":")
            target_reader, target_writer = await asyncio.open_connection(ip, int(port))
        except OSError:
            # Nothing listens at the target: the client of the proxy sees a reset.
            reset_connection(writer)
            self._forget(writer)
            return
        self._writers.add(target_writer)
        try:
            await asyncio.gather(
                self._forward(reader, target_writer, "upstream_blocked"),
                self._forward(target_reader, writer, "downstream_blocked"),
            )
        except asyncio.CancelledError:
            # `close` cancels this task; asyncio would log the cancellation.
            return
        finally:
            for side in (writer, target_writer):
                side.close()
                self._forget(side)

    def _forget(self, writer):
        self._writers.discard(writer)
        self._client_writers.discard(writer)
        self._tasks.discard(asyncio.current_task())

    async def _forward(self, reader, writer, direction):
        """Copy data from one side to the other until its end."""
        try:
            while True:
                data = await reader.read(READ_BYTES)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self._wait_while_blocked(direction, data)
                if not data:
                    break
                await self._write(data, writer, direction)
            if writer.can_write_eof():
                writer.write_eof()
        except OSError:
            # One side was reset, so the other one is reset as well.
            reset_connection(writer)

    async def _write(self, data, writer, direction):
        """Write data at once, or in packets at the rate of a limited link."""
        packet_bytes = len(data) if self.bytes_per_s is None else SEGMENT_BYTES
        for begin in range(0, len(data), packet_bytes):
            packet = data[begin : begin + packet_bytes]
            if self.bytes_per_s is not None:
                await self._wait_for_bandwidth(direction, len(packet))
            writer.write(packet)
            await writer.drain()

    async def _wait_for_bandwidth(self, direction, size_bytes):
        """Wait until the link has sent a packet, after all packets before it."""
        now_s = asyncio.get_running_loop().time()
        begins_s = max(now_s, self._idle_at_s.get(direction, now_s))
        ends_s = begins_s + size_bytes / self.bytes_per_s
        self._idle_at_s[direction] = ends_s
        await asyncio.sleep(ends_s - now_s)

    async def _wait_while_blocked(self, direction, data):
        """Wait until data may pass in a direction."""
        while getattr(self, direction):
            await self._block_changed.wait()


class OrderProxy(Proxy):
    """Delays stage orders to one engine while told to, and nothing else.

    The connection to the engine is opened at once, so the engine sees a held order as
    one of a steward that was paused after it had connected.

    Attributes
    ----------
    holds : bool
        Whether orders that arrive now are held.
    held, released : asyncio.Event
        ``held`` is set when an order is held; setting ``released`` forwards it.
    """

    def __init__(self, target):
        super().__init__(target)
        self.holds_orders = False
        self.held = asyncio.Event()
        self.released = asyncio.Event()

    async def _wait_while_blocked(self, direction, data):
        if (
            self.holds_orders
            and direction == "upstream_blocked"
            and data.startswith(ORDER_PREFIX)
        ):
            self.held.set()
            await self.released.wait()


def reset_connection(writer):
    """Reset a connection, so that its peer sees an error, not the end of data."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()
