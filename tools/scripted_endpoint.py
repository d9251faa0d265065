"""An HTTP endpoint whose responses come from a script, for tests and the soak run."""

import asyncio

__all__ = ["ScriptedEndpoint", "encode_chunk", "encode_response", "request_id_of"]


def request_id_of(head):
    """Return the request id in a request head, or an empty string."""
    for line in head.decode().split("\r\n"):
        name, _, value = line.partition(":")
        if name.lower() == "x-gypsumusher-request-id":
            return value.strip()
    return ""


def encode_response(request_id, body=b"whole", status="200 OK", extra=(), framing=None):
    """Return the bytes of an endpoint's HTTP response."""
    lines = [f"HTTP/1.1 {status}", f"X-Gypsumusher-Request-Id: {request_id}"]
    lines.append("X-Gypsumusher-Server-Seal: seal")
    lines += extra
    lines.append(framing or f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def encode_chunk(data):
    """Return one chunk of a body with chunked transfer encoding."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class ScriptedEndpoint:
    """Passes each request to a coroutine that writes the response.

    Parameters
    ----------
    script : callable
        Coroutine function ``script(number, head, body, writer)``; ``number`` counts
        requests from 0.
    """

    def __init__(self, script):
        self.requests = []
        self.connections = 0
        self.tasks = set()
        self.address = None
        self._script = script
        self._server = None

    async def start(self):
        """Listen on a free port; return the address."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self.address

    async def close(self):
        """Stop listening, and cancel all running requests."""
        self._server.close()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self.connections += 1
        self.tasks.add(asyncio.current_task())
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = 0
                for line in head.split(b"\r\n"):
                    if line.lower().startswith(b"content-length:"):
                        length = int(line.split(b":")[1])
                body = await reader.readexactly(length)
                self.requests.append((head, body))
                await self._script(len(self.requests) - 1, head, body, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            return
        except asyncio.CancelledError:
            # `close` cancels this task; asyncio would log the cancellation.
            return
        finally:
            writer.close()
            self.tasks.discard(asyncio.current_task())
