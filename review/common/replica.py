"""Stand-in of a replica: registers in the store and passes requests to a handler."""

import asyncio
import socket
import struct
import time

from lab import new_ip
from wire import encode_head, read_request

HEARTBEAT_S = 1.2


class Replica:
    """One replica.

    Parameters
    ----------
    instance_id : str
        Id under which it registers.
    handle : callable
        Coroutine function ``handle(replica, request, writer)``.
    service : str
        Its service.
    slots : int
        Requests that it processes at once, as its entry says.
    """

    def __init__(self, instance_id, handle, service="svc", slots=64, **entry):
        self.id, self.handle, self.service = instance_id, handle, service
        self.slots, self.entry = slots, entry
        self.ip = new_ip()
        self.address = None
        self.born = None
        self.state = "ready"
        self.beats = 0
        self._store = None
        self._server = None
        self._task = None
        self._writers = set()

    async def start(self, store):
        self._store = store
        self.born = int(time.time() * 1000)
        port = 0 if self.address is None else int(self.address.rpartition(":")[2])
        self._server = await asyncio.start_server(self._serve, self.ip, port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{self.ip}:{port}"
        self.register()
        self._task = asyncio.ensure_future(self._beat())

    def register(self):
        self.beats += 1
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup_left_ms": 0,
            "seq": self.beats,
            **self.entry,
        }
        self._store.put("servers", self.id, entry, self.born)

    def close(self):
        if self._task is not None:
            self._task.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    def crash(self):
        """End without a word: reset all connections, and stop to listen and to write.

        The entry stays until the replica starts again; in less than three heartbeats.
        """
        self._task.cancel()
        self._server.close()
        for writer in list(self._writers):
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.register()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                request = await read_request(reader)
                if request is None:
                    break
                expected = request.header("X-Gypsumusher-Expect-Instance")
                if expected not in (None, self.id):
                    writer.write(self.head(request, 421, not_run=True))
                else:
                    await self.handle(self, request, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        except asyncio.CancelledError:
            # The end of the run cancels this task; asyncio would log that.
            return
        finally:
            self._writers.discard(writer)
            writer.close()

    def head(
        self, request, status, body=b"", not_run=False, headers=(), is_chunked=False
    ):
        """Return the head of an answer, and the body where that has a length."""
        request_id = request.header("X-Gypsumusher-Request-Id")
        fields = [
            ("X-Gypsumusher-Request-Id", request_id),
            ("X-Gypsumusher-Server-Seal", f"{self.id}.{request_id}"),
            *headers,
        ]
        if not_run:
            fields.append(("X-Gypsumusher-Not-Run", "1"))
        if is_chunked:
            fields.append(("Transfer-Encoding", "chunked"))
        else:
            fields.append(("Content-Length", len(body)))
        return encode_head(status, fields) + body
