"""HTTP/1.1 as the stand-ins speak it."""

import asyncio
from typing import NamedTuple

REASONS = {
    200: "OK",
    404: "Not Found",
    409: "Conflict",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Request(NamedTuple):
    method: str
    target: str
    headers: dict
    body: bytes

    def header(self, name):
        return self.headers.get(name.lower())


class Answer(NamedTuple):
    """What a client has received.

    Attributes
    ----------
    status : int or None
        None where not even a head has arrived.
    headers : dict
        By lower-case name.
    body : bytes
        What has arrived of the body.
    is_complete : bool
        Whether the framing shows that it is the whole answer.
    """

    status: int | None
    headers: dict
    body: bytes
    is_complete: bool


def parse_head(head):
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.lower()] = value.strip()
    return first, headers


async def read_request(reader):
    """Read one request; return None when the connection has ended before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return None
    first, headers = parse_head(head)
    method, target, _ = first.split(" ")
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Request(method, target, headers, body)


def encode_head(status, headers):
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, '-')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


def respond(writer, status, body, headers=()):
    framing = [("Content-Type", "application/json"), ("Content-Length", len(body))]
    writer.write(encode_head(status, [*headers, *framing]) + body)


def chunk(data):
    return b"%x\r\n%b\r\n" % (len(data), data)


async def read_answer(reader):
    """Read one answer, of which the end may be missing."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(None, {}, b"", False)
    first, headers = parse_head(head)
    status = int(first.split(" ")[1])
    body = bytearray()
    try:
        if "content-length" in headers:
            left = int(headers["content-length"])
            while left:
                data = await reader.read(min(left, 65536))
                if not data:
                    return Answer(status, headers, bytes(body), False)
                body += data
                left -= len(data)
            return Answer(status, headers, bytes(body), True)
        while True:
            size = int(await reader.readuntil(b"\r\n"), 16)
            data = await reader.readexactly(size + 2)
            if not size:
                return Answer(status, headers, bytes(body), True)
            body += data[:-2]
    except (asyncio.IncompleteReadError, ConnectionError):
        return Answer(status, headers, bytes(body), False)
