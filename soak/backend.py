"""An endpoint of the soak: answers, misbehaves, restarts and leaves as it is told."""

import asyncio

from records import EVENTS, STREAM, Arrival, body_of, event_of

__all__ = ["Backend"]

# Work of a request and pause between events, in seconds.
WORK_S = 0.01
EVENT_PAUSE_S = 0.02


class Backend:
    """One endpoint, which keeps its id over its lives.

    Parameters
    ----------
    name : str
        Its id.
    clock : callable
        Seconds of the run.
    arrivals : list of Arrival
        Takes what it runs.

    Attributes
    ----------
    mode : str
        ``well``, ``errors`` (status 500 after the work), ``hang`` (no answer) or
        ``break`` (half an answer).
    """

    def __init__(self, name, clock, arrivals):
        self.name = name
        self.mode = "well"
        self._clock = clock
        self._arrivals = arrivals
        self._server = None
        self._tasks = set()

    async def start(self):
        """Begin a life; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        return f"127.0.0.1:{port}"

    async def close(self):
        """End this life as a crash does: everything that runs is cut."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                fields = _fields_of(head)
                await reader.readexactly(int(fields.get("content-length", 0)))
                if not await self._answer(head, fields, writer):
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            # This life has ended; the library would report the cancelled task.
            return
        finally:
            writer.close()
            self._tasks.discard(asyncio.current_task())

    async def _answer(self, head, fields, writer):
        """Answer one request; say whether the connection lives on."""
        request_id = fields.get("x-gypsumusher-request-id", "")
        expected = fields.get("x-gypsumusher-expect-instance", self.name)
        if expected != self.name:
            writer.write(_head(request_id, "421 Misdirected Request", 0))
            return True
        if not request_id:
            writer.write(_head("health", "200 OK", 0))
            return True
        mode = self.mode
        self._arrivals.append(Arrival(request_id, self.name, self._clock()))
        await asyncio.sleep(WORK_S)
        if mode == "hang":
            await asyncio.Event().wait()
        if mode == "errors":
            writer.write(_head(request_id, "500 Internal Server Error", 0))
            return True
        if head.split(b" ", 2)[1].startswith(f"/{STREAM}/".encode()):
            return await self._stream(request_id, fields, writer, mode)
        body = body_of(request_id)
        writer.write(_head(request_id, "200 OK", len(body)))
        if mode == "break":
            writer.write(body[: len(body) // 2])
            return False
        writer.write(body)
        await writer.drain()
        return True

    async def _stream(self, request_id, fields, writer, mode):
        first = 1 + int(fields.get("last-event-id", -1))
        writer.write(_head(request_id, "200 OK", None))
        for number in range(first, EVENTS):
            event = event_of(request_id, number)
            if mode == "break" and number >= first + 2:
                writer.write(_chunk(event[:5]))
                return False
            writer.write(_chunk(event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")
        return True


def _fields_of(head):
    """Return the headers of a request, in lower case."""
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}


def _head(request_id, status, length):
    framing = f"Content-Length: {length}"
    if length is None:
        framing = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked"
    return (
        f"HTTP/1.1 {status}\r\nX-Gypsumusher-Request-Id: {request_id}\r\n"
        f"X-Gypsumusher-Server-Seal: seal\r\n{framing}\r\n\r\n"
    ).encode()


def _chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)
