"""An endpoint of the soak: answers, misbehaves, restarts and leaves as it is told."""

import asyncio

from records import EVENTS, STREAM, Arrival, body_of, event_of
from scripted_endpoint import (
    ScriptedEndpoint,
    encode_chunk,
    encode_response,
    request_id_of,
)

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
    records : Records
        Takes what it runs and what it rejects.

    Attributes
    ----------
    mode : str
        ``well``, ``errors`` (status 500 after the work), ``hang`` (no answer),
        ``break`` (half an answer) or ``full`` (rejects all).
    """

    def __init__(self, name, clock, records):
        self.name = name
        self.mode = "well"
        self._clock = clock
        self._records = records
        self._endpoint = None

    async def start(self):
        """Begin a life; return the address."""
        self._endpoint = ScriptedEndpoint(self._answer)
        return await self._endpoint.start()

    async def close(self):
        """End this life as a crash does: everything that runs is cut."""
        await self._endpoint.close()

    async def _answer(self, number, head, body, writer):
        """Answer one request; half an answer ends its connection."""
        fields = _fields_of(head)
        request_id = request_id_of(head)
        expected = fields.get("x-gypsumusher-expect-instance", self.name)
        if expected != self.name:
            writer.write(encode_response(request_id, b"", "421 Misdirected Request"))
            return
        if not request_id:
            writer.write(encode_response("health", b""))
            return
        mode = self.mode
        arrival = Arrival(request_id, self.name, self._clock())
        if mode == "full":
            self._records.rejections.append(arrival)
            status, not_run = "503 Service Unavailable", ("X-Gypsumusher-Not-Run: 1",)
            writer.write(encode_response(request_id, b"", status, not_run))
            return
        self._records.arrivals.append(arrival)
        await asyncio.sleep(WORK_S)
        if mode == "hang":
            await asyncio.Event().wait()
        if mode == "errors":
            writer.write(encode_response(request_id, b"", "500 Internal Server Error"))
            return
        if head.split(b" ", 2)[1].startswith(f"/{STREAM}/".encode()):
            await self._stream(request_id, fields, writer, mode)
            return
        answer = encode_response(request_id, body_of(request_id))
        if mode == "break":
            writer.write(answer[: -len(body_of(request_id)) // 2])
            writer.close()
            return
        writer.write(answer)
        await writer.drain()

    async def _stream(self, request_id, fields, writer, mode):
        first = 1 + int(fields.get("last-event-id", -1))
        type_field = ("Content-Type: text/event-stream",)
        framing = "Transfer-Encoding: chunked"
        writer.write(
            encode_response(request_id, b"", extra=type_field, framing=framing)
        )
        for number in range(first, EVENTS):
            event = event_of(request_id, number)
            if mode == "break" and number >= first + 2:
                writer.write(encode_chunk(event[:5]))
                writer.close()
                return
            writer.write(encode_chunk(event))
            await writer.drain()
            await asyncio.sleep(EVENT_PAUSE_S)
        writer.write(b"0\r\n\r\n")


def _fields_of(head):
    """Return the headers of a request, in lower case."""
    lines = head.decode("latin-1").split("\r\n")[1:]
    pairs = (line.partition(":") for line in lines if line)
    return {name.lower(): value.strip() for name, _, value in pairs}
