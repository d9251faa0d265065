"""Answers of engines to orders become the right events."""

import asyncio
import json

import pytest

from gypsumusher_coordination import OrderCallFailed, OrderReply, SendOrder
from gypsumusher_daemon.order_sender import ANSWER_BYTES_MAX, OrderSender

HEAD = b"HTTP/1.1 %b\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
ORDER = SendOrder("e-1", "o-1", 3, {"role": "decode"}, float("inf"), "t")


async def answer_of(status, body, cut_at, pause):
    """Send an order to an engine that answers in two pieces; return the event."""

    async def engine(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD % (status, len(body)) + body[:cut_at])
        await writer.drain()
        await asyncio.sleep(pause)
        writer.write(body[cut_at:])
        await writer.drain()
        writer.close()

    server = await asyncio.start_server(engine, "127.0.0.1", 0)
    ip, port = server.sockets[0].getsockname()
    sender = OrderSender(lambda: 0.0, timeout_s=5.0)
    await sender.start()
    event = await sender.send(f"{ip}:{port}", ORDER)
    await sender.close()
    server.close()
    return event


@pytest.mark.parametrize("cut_at", [1, 12, 30])
def test_an_answer_in_several_packets_is_read_to_its_end(cut_at):
    # Reading only the first packet of the answer would give the accepted order an
    # unknown outcome; the steward would have to query it, which delays a role change.
    body = json.dumps({"order_id": "o-1", "state": "accepted"}).encode()
    event = asyncio.run(answer_of(b"202 Accepted", body, cut_at, 0.05))
    assert event == OrderReply("e-1", "o-1", "accepted", "t", "")


def test_an_answer_over_the_size_limit_is_a_failed_call():
    body = b'{"state": "' + b"x" * ANSWER_BYTES_MAX + b'"}'
    event = asyncio.run(answer_of(b"202 Accepted", body, 100, 0.0))
    assert event == OrderCallFailed("e-1", "o-1", True, "t")
