"""A TCP relay between daemons and an engine that can hold back orders on their way."""

import asyncio

READ_BYTES = 65536
ORDER_PREFIX = b"POST /orders"


class OrderProxy:
    """Relays connections to one engine; holds the bytes of orders while told to.

    The engine's side of each connection is opened as the daemon's side is, so that
    the engine sees a held order as one from a steward that was paused after it had
    connected.

    Parameters
    ----------
    target : str
        ``IP:PORT`` of the engine.
    """

    def __init__(self, target):
        self.target = target
        self.address = ""
        self.holds = False
        self.held = asyncio.Event()
        self.released = asyncio.Event()
        self._server = None
        self._tasks = set()

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._relay, "127.0.0.1", 0)
        ip, port = self._server.sockets[0].getsockname()
        self.address = f"{ip}:{port}"

    async def close(self):
        """End the listener and all connections."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _relay(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        ip, port = self.target.split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
            await asyncio.gather(
                self._carry(reader, far_writer, self.holds),
                self._carry(far_reader, writer, False),
            )
        except (OSError, asyncio.CancelledError):
            # A side that has gone ends the relay, as the test's end does.
            pass
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _carry(self, reader, writer, may_hold):
        while data := await reader.read(READ_BYTES):
            if may_hold and data.startswith(ORDER_PREFIX):
                self.held.set()
                await self.released.wait()
            if writer.is_closing():
                break
            writer.write(data)
        writer.close()
