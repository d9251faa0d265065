"""The stand-ins as processes: what the daemon's tests rely on."""

import asyncio

import aiohttp
import pytest
from testkit import Fleet, is_done, stream_events, stream_text, wait_until

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes

LISTING = {"X-Request-Id": "attempt-1"}


def completion(prompt, max_tokens, **extra):
    return {"prompt": prompt, "max_tokens": max_tokens, **extra}


async def post(fleet, engine, path, body, **options):
    url = f"http://{engine.address}{path}"
    async with fleet.session.post(url, json=body, **options) as answer:
        return answer.status, answer.headers, await answer.read()


async def post_json(fleet, engine, path, body):
    url = f"http://{engine.address}{path}"
    async with fleet.session.post(url, json=body) as answer:
        return answer.status, await answer.json()


def test_a_stream_goes_on_after_its_connection_breaks():
    async def run():
        async with Fleet() as fleet:
            await fleet.start_platform()
            engine = await fleet.start_engine("e1")
            await engine.control(break_after_events=5)
            body = completion("a letter", 40, stream=True)
            url = f"http://{engine.address}/v1/completions"
            received = b""
            async with fleet.session.post(url, json=body, headers=LISTING) as answer:
                stream_id = answer.headers["X-Stream-Id"]
                with pytest.raises(aiohttp.ClientError):
                    async for part in answer.content.iter_any():
                        received += part
            events = stream_events(received)
            assert len(events) == 5
            url = f"http://{engine.address}/v1/streams/{stream_id}?after=5"
            async with fleet.session.get(url) as answer:
                received += await answer.read()
            assert [number for number, _ in stream_events(received)] == [*range(1, 42)]
            assert is_done(received)
            assert stream_text(received) == expected_text("a letter", 40)

    asyncio.run(run())


def test_kv_cache_goes_from_a_prefill_to_a_decode_engine():
    async def run():
        async with Fleet() as fleet:
            await fleet.start_platform()
            prefill = await fleet.start_engine("e1", role="prefill")
            decode = await fleet.start_engine("e2", role="decode")
            path = "/v1/completions"
            body = completion("a letter", 8)
            status, refused = await post_json(fleet, decode, path, body)
            assert (status, refused["error"]["code"]) == (503, "wrong_role")
            export = completion("a letter", 1, kv_export=True)
            _, exported = await post_json(fleet, prefill, path, export)
            body["kv_import"] = exported["kv"]
            _, answer = await post_json(fleet, decode, path, body)
            assert answer["choices"][0]["text"] == expected_text("a letter", 8)
            body["kv_import"] = {**exported["kv"], "handle": "gone"}
            status, refused = await post_json(fleet, decode, path, body)
            assert refused["error"]["code"] == "kv_unavailable"
            assert await fleet.count_runs("a letter", [prefill, decode]) == 1

    asyncio.run(run())


def test_an_order_on_an_old_connection_has_no_effect():
    """An order from a steward that was paused would still be carried out.

    It opens a connection, is paused, and writes its order long afterwards.
    Cause: an engine that neither checks terms nor bounds open connections.
    """

    async def run():
        async with Fleet() as fleet:
            await fleet.start_platform()
            engine = await fleet.start_engine(
                "e1", fencing="ignores", order_timeout_s=0.3
            )
            ip, port = engine.address.split(":")
            reader, writer = await asyncio.open_connection(ip, int(port))
            with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
                await reader.readexactly(1)
            order = b'{"order_id":"o1","term":1,"goal":{"drain":true}}'
            head = b"POST /orders HTTP/1.1\r\nHost: e1\r\nContent-Length: 48\r\n\r\n"
            writer.write(head + order)
            assert (await engine.counters())["orders"] == []

    asyncio.run(run())


def test_a_role_change_lets_running_work_finish():
    async def run():
        async with Fleet() as fleet:
            await fleet.start_platform()
            engine = await fleet.start_engine("e1")
            path = "/v1/completions"
            work = asyncio.create_task(
                post_json(fleet, engine, path, completion("a letter", 100))
            )

            async def is_running():
                return (await engine.counters())["running"]

            await wait_until(is_running, "the work to run")
            order = {"order_id": "o1", "term": 1, "goal": {"role": "prefill"}}
            assert (await post_json(fleet, engine, "/orders", order))[0] == 202
            status, refused = await post_json(fleet, engine, path, completion("x", 1))
            assert refused["error"]["code"] == "wrong_role"
            _, answer = await work
            assert answer["choices"][0]["text"] == expected_text("a letter", 100)

            async def is_done_order():
                return (await engine.counters())["orders"][0]["state"] == "done"

            await wait_until(is_done_order, "the order's end")
            assert (await engine.counters())["role"] == "prefill"

    asyncio.run(run())


def test_a_marked_request_ends_the_engine():
    async def run():
        async with Fleet() as fleet:
            await fleet.start_platform()
            engine = await fleet.start_engine("e1", crash_on="MARK")
            with pytest.raises(aiohttp.ClientError):
                body = completion("a MARK in it", 5)
                await post_json(fleet, engine, "/v1/completions", body)
            assert await engine.wait_for_exit() == 70

    asyncio.run(run())


def test_a_lost_answers_write_took_effect_and_a_dropped_one_did_not():
    async def run():
        async with Fleet() as fleet:
            platform = await fleet.start_platform()
            await platform.control(lose_answers=1, drop_calls=1, drop_kind="b")
            with pytest.raises(aiohttp.ClientError):
                await platform.write("a", "n", 1)
            with pytest.raises(aiohttp.ClientError):
                await platform.write("b", "n", 1)
            assert (await platform.read("a", "n"))["value"] == 1
            assert await platform.read("b", "n") is None

    asyncio.run(run())


def test_a_held_write_takes_effect_after_its_caller_gave_up():
    async def run():
        async with Fleet() as fleet:
            platform = await fleet.start_platform()
            await platform.control(hang_clients=["test"])
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await platform.write("a", "n", 1)
            await platform.control(hang_clients=[])

            async def has_landed():
                return await platform.read("a", "n")

            assert (await wait_until(has_landed, "the late write"))["value"] == 1

    asyncio.run(run())
