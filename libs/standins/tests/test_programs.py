"""Tests of the stand-in processes: the behaviour that the daemon's tests rely on."""

import asyncio

import aiohttp
import pytest
from testkit import Fleet, is_done, stream_events, stream_text, wait_until

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes

ATTEMPT_HEADERS = {"X-Request-Id": "attempt-1"}


def completion(prompt, max_tokens, **extra):
    return {"prompt": prompt, "max_tokens": max_tokens, **extra}


async def post(fleet, engine, path, body, **options):
    url = f"http://{engine.address}{path}"
    async with fleet.session.post(url, json=body, **options) as response:
        return response.status, response.headers, await response.read()


async def post_json(fleet, engine, path, body):
    url = f"http://{engine.address}{path}"
    async with fleet.session.post(url, json=body) as response:
        return response.status, await response.json()


def test_stream_can_be_resumed_after_its_connection_breaks():
    async def run():
        async with Fleet() as fleet:
            await fleet.start_platform()
            engine = await fleet.start_engine("e1")
            await engine.control(break_after_events=5)
            body = completion("a letter", 40, stream=True)
            url = f"http://{engine.address}/v1/completions"
            received = b""
            async with fleet.session.post(
                url, json=body, headers=ATTEMPT_HEADERS
            ) as response:
                stream_id = response.headers["X-Stream-Id"]
                with pytest.raises(aiohttp.ClientError):
                    async for chunk in response.content.iter_any():
                        received += chunk
            events = stream_events(received)
            assert len(events) == 5
            url = f"http://{engine.address}/v1/streams/{stream_id}?after=5"
            async with fleet.session.get(url) as response:
                received += await response.read()
            assert [number for number, _ in stream_events(received)] == [*range(1, 42)]
            assert is_done(received)
            assert stream_text(received) == expected_text("a letter", 40)

    asyncio.run(run())


def test_kv_cache_is_transferred_from_prefill_to_decode_engine():
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
            _, response = await post_json(fleet, decode, path, body)
            assert response["choices"][0]["text"] == expected_text("a letter", 8)
            body["kv_import"] = {**exported["kv"], "handle": "gone"}
            status, refused = await post_json(fleet, decode, path, body)
            assert refused["error"]["code"] == "kv_unavailable"
            assert await fleet.count_runs("a letter", [prefill, decode]) == 1

    asyncio.run(run())


def test_order_on_an_expired_connection_has_no_effect():
    """Guards against the execution of a stale order from a host that was suspended.

    The host opens a connection, is suspended, and writes its order long afterwards. An
    engine that neither checks terms nor limits the age of connections executes it.
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


def test_role_change_lets_running_requests_finish():
    async def run():
        async with Fleet() as fleet:
            await fleet.start_platform()
            engine = await fleet.start_engine("e1")
            path = "/v1/completions"
            running_request = asyncio.create_task(
                post_json(fleet, engine, path, completion("a letter", 100))
            )

            async def is_running():
                return (await engine.counters())["running"]

            await wait_until(is_running, "the request to run")
            order = {"order_id": "o1", "term": 1, "goal": {"role": "prefill"}}
            assert (await post_json(fleet, engine, "/orders", order))[0] == 202
            status, refused = await post_json(fleet, engine, path, completion("x", 1))
            assert refused["error"]["code"] == "wrong_role"
            _, response = await running_request
            assert response["choices"][0]["text"] == expected_text("a letter", 100)

            async def is_order_done():
                return (await engine.counters())["orders"][0]["state"] == "done"

            await wait_until(is_order_done, "the order to be done")
            assert (await engine.counters())["role"] == "prefill"

    asyncio.run(run())


def test_prompt_with_crash_on_text_crashes_the_engine():
    async def run():
        async with Fleet() as fleet:
            await fleet.start_platform()
            engine = await fleet.start_engine("e1", crash_on="MARK")
            with pytest.raises(aiohttp.ClientError):
                body = completion("a MARK in it", 5)
                await post_json(fleet, engine, "/v1/completions", body)
            assert await engine.wait_for_exit() == 70

    asyncio.run(run())


def test_write_takes_effect_if_response_is_lost_but_not_if_dropped():
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


def test_held_write_takes_effect_after_its_caller_timed_out():
    async def run():
        async with Fleet() as fleet:
            platform = await fleet.start_platform()
            await platform.control(hang_clients=["test"])
            with pytest.raises(TimeoutError):
                async with asyncio.timeout(0.2):
                    await platform.write("a", "n", 1)
            await platform.control(hang_clients=[])

            async def has_taken_effect():
                return await platform.read("a", "n")

            assert (await wait_until(has_taken_effect, "the late write"))["value"] == 1

    asyncio.run(run())
