"""A link between one host and the store, which the case can cut silently."""

import asyncio


class Link:
    """Passes bytes in both directions; while it is cut, it holds all of them.

    New connections are accepted while it is cut, and nothing comes of them.
    """

    def __init__(self, ip, target):
        self._ip, self._target = ip, target
        self.address = None
        self.watches = {}
        self._server = None
        self._is_open = asyncio.Event()
        self._is_open.set()
        self._tasks = set()

    async def start(self):
        self._server = await asyncio.start_server(self._accept, self._ip, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self._ip}:{port}"

    def close(self):
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def cut(self):
        self._is_open.clear()

    def heal(self):
        self._is_open.set()

    async def _accept(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        far_writer = None
        try:
            await self._is_open.wait()
            ip, _, port = self._target.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
            there = asyncio.ensure_future(self._pass(reader, far_writer, True))
            back = asyncio.ensure_future(self._pass(far_reader, writer, False))
            self._tasks |= {there, back}
            await asyncio.wait([there, back], return_when=asyncio.FIRST_COMPLETED)
        except OSError:
            pass
        except asyncio.CancelledError:
            return
        finally:
            writer.close()
            if far_writer is not None:
                far_writer.close()
            self._tasks.discard(asyncio.current_task())

    async def _pass(self, reader, writer, is_request):
        try:
            while True:
                data = await reader.read(65536)
                await self._is_open.wait()
                if not data:
                    return
                if is_request and b"watch=" in data:
                    kind = data.split(b"?")[0].rpartition(b"/")[2].decode()
                    self.watches[kind] = asyncio.get_running_loop().time()
                writer.write(data)
                await writer.drain()
        except OSError:
            return
        except asyncio.CancelledError:
            return
