"""Callers receive their own complete response, or can tell that they did not."""

import asyncio

import aiohttp
import pytest
from testkit import Fleet, is_done, stream_error, stream_events, stream_text, wait_until

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes

PROMPT = "a tenancy notice for flat 12"


async def open_stream(fleet, host, prompt, max_tokens):
    """Start a streamed completion and return the open HTTP response."""
    body = {
        "model": "letter-models",
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": True,
    }
    url = f"http://{host.addresses['callers']}/v1/completions"
    return await fleet.session.post(url, json=body)


async def read_events(response, count):
    """Read until `count` events were received; return the bytes of complete events."""
    received = b""
    while received.count(b"\n\n") < count:
        part = await response.content.readany()
        assert part, "the stream ended early"
        received += part
    return received[: received.rindex(b"\n\n") + 2]


async def read_to_end(response):
    """Read to the end; return the bytes and whether the connection ended cleanly."""
    received = b""
    try:
        async for part in response.content.iter_any():
            received += part
    except aiohttp.ClientError:
        return received, False
    return received, True


def last_event_id(received):
    return str(stream_events(received)[-1][0])


async def resume(host, token, last):
    headers = {"Gypsumusher-Resume": token, "Last-Event-ID": last}
    return await host.call("GET", "/v1/resume", headers=headers)


def assert_complete_stream(received, prompt, max_tokens):
    """Check that a stream has each event once, in order, and its end marker."""
    numbers = [number for number, _ in stream_events(received)]
    assert numbers == list(range(1, len(numbers) + 1))
    assert is_done(received)
    assert stream_text(received) == expected_text(prompt, max_tokens)


def assert_detectably_truncated(response, prompt):
    """Check that a caller can detect truncation and received only its own text."""
    assert not response.is_complete or stream_error(response.body)["run"] == "unknown"
    assert expected_text(prompt, 500).startswith(stream_text(response.body))


def test_stream_is_resumed_after_its_entry_host_was_killed():
    """Guards against a truncated response after the loss of the entry host.

    The entry host is killed during a stream, and the caller resumes it through
    another host from its last event. Only the killed host knew the stream's position.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            for engine in engines:
                await engine.control(slow_factor=10)
            response = await open_stream(fleet, hosts[0], PROMPT, 100)
            token = response.headers["Gypsumusher-Resume"]
            received = await read_events(response, 10)
            hosts[0].kill()
            response.close()
            rest = await resume(hosts[1], token, last_event_id(received))
            assert rest.is_complete
            assert_complete_stream(received + rest.body, PROMPT, 100)
            assert await fleet.count_runs(PROMPT, engines) == 1

    asyncio.run(run())


def test_stream_is_resumed_after_two_disconnects():
    """Guards against a stream that cannot be resumed after its connection closes.

    The caller loses its connection twice and resumes through either host. The last
    time, the engine has already finished the response.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            await engines[0].control(slow_factor=10)
            response = await open_stream(fleet, hosts[0], PROMPT, 60)
            token = response.headers["Gypsumusher-Resume"]
            received = await read_events(response, 5)
            response.close()
            url = f"http://{hosts[1].addresses['callers']}/v1/resume"
            headers = {
                "Gypsumusher-Resume": token,
                "Last-Event-ID": last_event_id(received),
            }
            response = await fleet.session.get(url, headers=headers)
            received += await read_events(response, 5)
            response.close()
            await engines[0].control(slow_factor=1)

            async def is_idle():
                return (await engines[0].counters())["running"] == 0

            await wait_until(is_idle, "the engine to finish")
            rest = await resume(hosts[0], token, last_event_id(received))
            assert_complete_stream(received + rest.body, PROMPT, 60)
            assert await fleet.count_runs(PROMPT, engines) == 1

    asyncio.run(run())


def test_a_changed_resume_token_is_refused():
    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=1)
            response = await open_stream(fleet, hosts[0], PROMPT, 5)
            token = response.headers["Gypsumusher-Resume"]
            await read_to_end(response)
            changed = token[:-4] + ("AAAA" if token[-4:] != "AAAA" else "BBBB")
            for wrong in (changed, "x", ""):
                refused = await resume(hosts[0], wrong, "0")
                assert refused.status in {400, 404}, refused
                assert refused.error["code"]

    asyncio.run(run())


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize(
    "fault", ["cross_next", "truncate_next", "overlong_next", "break_after_events"]
)
def test_swapped_truncated_and_overlong_responses_are_detected(fault, stream):
    """Guards against passing on another caller's response or an incomplete one.

    An engine returns the response of another request, ends the stream early but
    cleanly, exceeds the token limit, or closes the connection. Each is detected only
    by checking the response's id, length and end marker.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=2)
            served = 0
            for number in range(4):
                for engine in engines:
                    await engine.control(**{fault: 3 if "break" in fault else 1})
                prompt = f"{PROMPT} {number}"
                response = await hosts[0].complete(prompt, 20, stream=stream)
                if response.status != 200:
                    assert response.error["run"] == "unknown"
                    continue
                if stream and not is_done(response.body):
                    assert_detectably_truncated(response, prompt)
                    continue
                served += 1
                assert response.text == expected_text(prompt, 20)
                if stream:
                    assert_complete_stream(response.body, prompt, 20)
            if fault in {"truncate_next", "break_after_events"} and stream:
                assert served == 4

    asyncio.run(run())


@pytest.mark.parametrize("stream", [True, False])
def test_engine_crash_during_a_response(stream):
    """Guards against a response composed of two different attempts.

    The engine is killed during a response and another engine could run the request
    again. Two attempts of one request do not generate the same text.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=2)
            for engine in engines:
                await engine.control(slow_factor=10)
            call = asyncio.create_task(hosts[0].complete(PROMPT, 100, stream=stream))

            async def running_engine():
                for engine in engines:
                    if (await engine.counters())["running"]:
                        return engine
                return None

            engine = await wait_until(running_engine, "an engine to run it")
            if stream:
                await asyncio.sleep(0.2)
            engine.kill()
            response = await call
            if response.status != 200:
                assert response.error["run"] == "unknown"
                return
            if stream and not is_done(response.body):
                assert_detectably_truncated(response, PROMPT)
                return
            assert response.text == expected_text(PROMPT, 100)

    asyncio.run(run())


def test_many_callers_under_faults_get_their_own_responses():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=3)
            for engine in engines:
                await engine.control(
                    cross_next=2, truncate_next=3, close_after_read=1, error_rate=0.05
                )
            prompts = [f"{PROMPT} of caller {number}" for number in range(60)]
            calls = [
                hosts[number % 2].complete(prompt, 30, stream=number % 3 == 0)
                for number, prompt in enumerate(prompts)
            ]
            responses = await asyncio.gather(*calls)
            served = 0
            for prompt, response in zip(prompts, responses):
                if response.status != 200 or not response.is_complete:
                    continue
                served += 1
                assert response.text == expected_text(prompt, 30)
            assert served >= 40

    asyncio.run(run())


def test_disconnected_caller_frees_the_engine():
    """Guards against engines that generate tokens for absent callers.

    A caller closes its connection during a long response and does not resume. A
    resumable stream continues after its connection closes, so it has to be cancelled.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=1)
            await engines[0].control(slow_factor=50)
            response = await open_stream(fleet, hosts[0], PROMPT, 2000)
            await read_events(response, 3)
            response.close()

            async def is_idle():
                return (await engines[0].counters())["running"] == 0

            await wait_until(is_idle, "the engine to be free")

    asyncio.run(run())


def test_prefill_and_decode_engines_give_one_complete_response():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=0)
            for name, role in (("e1", "prefill"), ("e2", "decode")):
                engines.append(await fleet.start_engine(name, role=role))
            await fleet.wait_until_served(hosts, 2)
            for stream in (False, True):
                prompt = f"{PROMPT} {'long ' * 500}{stream}"
                response = await hosts[0].complete(prompt, 30, stream=stream)
                assert response.text == expected_text(prompt, 30), response
                if stream:
                    assert_complete_stream(response.body, prompt, 30)
                assert await fleet.count_runs(prompt, engines) == 1

    asyncio.run(run())
