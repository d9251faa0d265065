"""An answer reaches its reader complete, and a retained one every reader."""

import asyncio

import pytest

from gypsumusher_daemon.delivery import BUFFERED_BYTES_MAX, Delivery


async def read_all(delivery):
    return b"".join([chunk async for chunk in delivery.read()])


def test_retained_answer_is_the_same_for_every_reader():
    async def main():
        delivery = Delivery(100)
        first = asyncio.ensure_future(read_all(delivery))
        delivery.set_head(200, {})
        for part in (b"ab", b"cd"):
            await delivery.put(part)
        delivery.close(complete=True)
        assert await first == await read_all(delivery) == b"abcd"

    asyncio.run(main())


def test_slow_reader_blocks_the_producer_at_the_buffer_limit():
    async def main():
        delivery = Delivery()
        delivery.set_head(200, {})
        chunk = b"x" * (BUFFERED_BYTES_MAX // 2 + 1)
        await delivery.put(chunk)
        blocked = asyncio.ensure_future(delivery.put(chunk))
        done, _ = await asyncio.wait([blocked], timeout=0)
        assert not done
        reading = asyncio.ensure_future(read_all(delivery))
        await blocked
        delivery.close(complete=True)
        assert await reading == chunk + chunk

    asyncio.run(main())


def test_abandoned_answer_is_dropped_without_blocking_the_producer():
    async def main():
        delivery = Delivery()
        delivery.abandon()
        for _ in range(10):
            await delivery.put(b"x" * BUFFERED_BYTES_MAX)
        assert not delivery.is_retained
        with pytest.raises(LookupError):
            await read_all(delivery)

    asyncio.run(main())


def test_answer_over_the_limit_is_delivered_but_not_retained():
    async def main():
        delivery = Delivery(3)
        reading = asyncio.ensure_future(read_all(delivery))
        delivery.set_head(200, {})
        await asyncio.sleep(0)
        for part in (b"ab", b"cd", b"ef"):
            await delivery.put(part)
            await asyncio.sleep(0)
        delivery.close(complete=True)
        assert await reading == b"abcdef"
        assert not delivery.is_retained

    asyncio.run(main())
