"""Requests that together need more memory than there is, over real sockets."""

import asyncio
import random

import pytest
from http_callers import CallerFixture, run

from gypsumusher_http import ConnectionBudget
from gypsumusher_http.request_room import RequestRoom, RoomAnswer

BODY = bytes(400_000)
STATED = b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n"
CHUNKED = b"POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n"
UPLOADS = {
    "stated length": STATED % len(BODY) + BODY,
    "chunks": CHUNKED % len(BODY) + BODY + b"\r\n0\r\n\r\n",
}


async def send(caller, data):
    """Send a request on a connection of its own; return the response, or nothing."""
    reader, writer = await asyncio.open_connection("127.0.0.1", caller.port)
    try:
        writer.write(data)
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


# Guards against requests that run, and whose callers get no answer, under uploads.
@pytest.mark.parametrize("name", UPLOADS)
@pytest.mark.parametrize("is_passed_on", [True, False])
def test_uploads_beyond_the_memory_wait_or_are_refused(name, is_passed_on):
    async def scenario():
        started = 0

        async def handle(request, reply):
            nonlocal started
            started += 1
            reply.awaits_endpoint = is_passed_on
            await asyncio.sleep(0.7)
            reply.send(200, [("Connection", "close")], request.body[:1])

        async with CallerFixture(handle) as caller:
            caller.listener.is_draining = True
            caller.listener.budget = ConnectionBudget(caller.log, 2_000_000)
            sent = [send(caller, UPLOADS[name]) for _ in range(12)]
            answers = await asyncio.gather(*sent)
            served = [a for a in answers if a.startswith(b"HTTP/1.1 200 ")]
            refused = [a for a in answers if a.startswith(b"HTTP/1.1 503 ")]
            assert len(served) == started > 1
            assert len(served) + len(refused) == len(answers)
            assert all(b"Retry-After: " in answer for answer in refused)

    run(scenario())


# Guards against clients that state long bodies, don't send them, and keep others out.
def test_room_of_uploads_that_hardly_arrive_goes_to_others():
    async def scenario():
        async with CallerFixture() as caller:
            caller.listener.is_draining = True
            caller.listener.budget = ConnectionBudget(caller.log, 2_000_000)
            stalled = [
                asyncio.ensure_future(send(caller, STATED % len(BODY) + b"x" * 1000))
                for _ in range(8)
            ]
            await asyncio.sleep(0.2)
            small = await send(caller, STATED % 1 + b"x")
            assert small.startswith(b"HTTP/1.1 200 ")
            await asyncio.sleep(1.0)
            large = await send(caller, UPLOADS["stated length"])
            assert large.startswith(b"HTTP/1.1 200 ")
            answers = await asyncio.gather(*stalled)
            assert not any(a.startswith(b"HTTP/1.1 200 ") for a in answers)

    run(scenario())


# Guards against room of slow uploads that several of those that wait get at once.
def test_room_of_a_slow_upload_goes_to_the_first_that_waits():
    async def scenario():
        room, told = RequestRoom(1_000_000), []
        sizes = {"fast": 850_000, "slow": 150_000, "first": 150_000, "second": 150_000}
        requests = {
            name: room.open(
                lambda name=name: told.append(name),
                lambda name=name: told.append(f"no {name}"),
            )
            for name in sizes
        }
        for name, size_bytes in sizes.items():
            requests[name].ask(size_bytes)
            requests[name].received_bytes = size_bytes
        requests["slow"].granted_s -= 1.5
        requests["slow"].received_bytes = 1
        await asyncio.sleep(0.6)
        assert sorted(told) == ["first", "no second", "no slow"]
        assert sum(r.size_bytes for r in requests.values()) == 1_000_000

    run(scenario())


# Guards against room that is given twice, or lost, and waits without an end.
@pytest.mark.parametrize("seed", range(5))
def test_room_is_never_given_twice_and_comes_back(seed):
    async def scenario():
        rng, taken, waiting = random.Random(seed), set(), set()
        room = RequestRoom(1_000_000)

        def new():
            def move():
                waiting.discard(reservation)
                taken.add(reservation)

            reservation = room.open(move, lambda: waiting.discard(reservation))
            answer = reservation.ask(rng.randrange(70_000, 500_000))
            group = {RoomAnswer.GRANTED: taken, RoomAnswer.WAITING: waiting}
            group.get(answer, set()).add(reservation)

        for _ in range(300):
            if rng.random() < 0.5:
                new()
            elif group := rng.choice([taken, waiting]):
                reservation = group.pop()
                reservation.has_arrived = rng.random() < 0.5
                reservation.release()
            await asyncio.sleep(0)
            held = sum(r.size_bytes for r in taken | waiting)
            assert held <= 1_000_000
        while taken or waiting:
            for reservation in list(taken):
                taken.discard(reservation)
                reservation.release()
            await asyncio.sleep(0.01)
        whole = room.open(None, None)
        assert whole.ask(1_000_000) is RoomAnswer.GRANTED

    run(scenario())
