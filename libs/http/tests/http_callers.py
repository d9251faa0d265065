"""A listener with one caller that is connected to it, for tests."""

import asyncio

from gypsumusher_http import Listener
from gypsumusher_platform import decode_request, encode_refusal

__all__ = ["CallerFixture", "run"]


class CallerFixture:
    """A listener and one caller that is connected to it."""

    def __init__(self, handle=None):
        self.requests = []
        self.events = []
        self.cancelled = asyncio.Event()
        loop = asyncio.get_running_loop()
        self.listener = Listener(
            handle or self.echo, decode_request, encode_refusal, loop.time, self.log
        )
        self.reader = self.writer = None

    def log(self, level, event, **fields):
        self.events.append((event, fields))

    async def echo(self, request, reply):
        self.requests.append(request)
        reply.send(200, [("X-Seen", request.target)], request.body)

    async def wait_forever(self, request, reply):
        self.requests.append(request)
        try:
            await asyncio.Event().wait()
        finally:
            self.cancelled.set()

    async def __aenter__(self):
        self.port = await self.listener.start("127.0.0.1", 0)
        await self.connect()
        return self

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)

    async def __aexit__(self, *_):
        self.writer.close()
        await self.listener.close()

    async def read_response(self):
        head = await self.reader.readuntil(b"\r\n\r\n")
        length = 0
        for line in head.split(b"\r\n"):
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        return head, await self.reader.readexactly(length)


def run(coroutine):
    """Run a test's coroutine with a time limit of 20 s."""
    return asyncio.run(asyncio.wait_for(coroutine, 20))
