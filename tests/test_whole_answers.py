"""A caller receives the whole answer to its own request, or knows that it did not."""

import asyncio

import aiohttp
import pytest
from testkit import Fleet, is_done, stream_error, stream_events, stream_text, wait_until

from gypsumusher_standins import expected_text

pytestmark = pytest.mark.processes

LETTER = "a tenancy notice for flat 12"


async def open_stream(fleet, host, prompt, max_tokens):
    """Begin a streamed completion; return the open HTTP answer."""
    body = {
        "model": "letter-models",
        "prompt": prompt,
        "max_tokens": max_tokens,
        "stream": True,
    }
    url = f"http://{host.addresses['callers']}/v1/completions"
    return await fleet.session.post(url, json=body)


async def read_events(answer, count):
    """Read until some events have come; return the bytes of whole events."""
    received = b""
    while received.count(b"\n\n") < count:
        part = await answer.content.readany()
        assert part, "the stream ended early"
        received += part
    return received[: received.rindex(b"\n\n") + 2]


async def read_to_end(answer):
    """Read what comes until the end or the break of the connection."""
    received = b""
    try:
        async for part in answer.content.iter_any():
            received += part
    except aiohttp.ClientError:
        return received, False
    return received, True


def last_id(received):
    return str(stream_events(received)[-1][0])


async def resume(host, token, last):
    headers = {"Gypsumusher-Resume": token, "Last-Event-ID": last}
    return await host.call("GET", "/v1/resume", headers=headers)


def assert_whole_stream(received, prompt, max_tokens):
    """Check that a stream has each event once, in order, to its end marker."""
    numbers = [number for number, _ in stream_events(received)]
    assert numbers == list(range(1, len(numbers) + 1))
    assert is_done(received)
    assert stream_text(received) == expected_text(prompt, max_tokens)


def assert_visibly_cut(answer, prompt):
    """Check that a caller sees the cut, and that what came is its own text."""
    assert not answer.is_complete or stream_error(answer.body)["run"] == "unknown"
    assert expected_text(prompt, 500).startswith(stream_text(answer.body))


def test_an_entry_host_killed_in_mid_stream():
    """A letter would be printed without its last page.

    The entry host dies in the middle of an answer; the caller takes the stream up
    through another host from its last event on.
    Cause: only the dead host knew where the stream was.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=2)
            for engine in engines:
                await engine.control(slow_factor=10)
            answer = await open_stream(fleet, hosts[0], LETTER, 100)
            token = answer.headers["Gypsumusher-Resume"]
            received = await read_events(answer, 10)
            hosts[0].kill()
            answer.close()
            rest = await resume(hosts[1], token, last_id(received))
            assert rest.is_complete
            assert_whole_stream(received + rest.body, LETTER, 100)
            assert await fleet.count_runs(LETTER, engines) == 1

    asyncio.run(run())


def test_two_breaks_of_one_stream():
    """A caller whose line is bad would have to begin again each time.

    The caller loses its connection twice and resumes through either host; the last
    time the answer has long been finished.
    Cause: a stream that ends with its connection.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=1)
            await engines[0].control(slow_factor=10)
            answer = await open_stream(fleet, hosts[0], LETTER, 60)
            token = answer.headers["Gypsumusher-Resume"]
            received = await read_events(answer, 5)
            answer.close()
            url = f"http://{hosts[1].addresses['callers']}/v1/resume"
            headers = {
                "Gypsumusher-Resume": token,
                "Last-Event-ID": last_id(received),
            }
            answer = await fleet.session.get(url, headers=headers)
            received += await read_events(answer, 5)
            answer.close()
            await engines[0].control(slow_factor=1)

            async def is_idle():
                return (await engines[0].counters())["running"] == 0

            await wait_until(is_idle, "the engine to finish")
            rest = await resume(hosts[0], token, last_id(received))
            assert_whole_stream(received + rest.body, LETTER, 60)
            assert await fleet.count_runs(LETTER, engines) == 1

    asyncio.run(run())


def test_a_changed_resume_token_is_refused():
    async def run():
        async with Fleet() as fleet:
            hosts, _ = await fleet.start_system(hosts=1, engines=1)
            answer = await open_stream(fleet, hosts[0], LETTER, 5)
            token = answer.headers["Gypsumusher-Resume"]
            await read_to_end(answer)
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
def test_answers_that_are_crossed_cut_or_too_long(fault, stream):
    """A tenant would get another tenant's letter, or half of one.

    An engine answers with somebody else's answer, ends early in a proper way, goes
    on past the limit, or breaks off.
    Cause: an answer that is passed on without a look at its id, length and end.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=2)
            served = 0
            for number in range(4):
                for engine in engines:
                    await engine.control(**{fault: 3 if "break" in fault else 1})
                prompt = f"{LETTER} {number}"
                answer = await hosts[0].complete(prompt, 20, stream=stream)
                if answer.status != 200:
                    assert answer.error["run"] == "unknown"
                    continue
                if stream and not is_done(answer.body):
                    assert_visibly_cut(answer, prompt)
                    continue
                served += 1
                assert answer.text == expected_text(prompt, 20)
                if stream:
                    assert_whole_stream(answer.body, prompt, 20)
            if fault in {"truncate_next", "break_after_events"} and stream:
                assert served == 4

    asyncio.run(run())


@pytest.mark.parametrize("stream", [True, False])
def test_an_engine_that_crashes_in_the_middle(stream):
    """A letter would be put together from two different answers.

    The engine dies in the middle of an answer and another one could run the request
    again.
    Cause: two attempts of one request don't give the same words.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=2)
            for engine in engines:
                await engine.control(slow_factor=10)
            call = asyncio.create_task(hosts[0].complete(LETTER, 100, stream=stream))

            async def running_engine():
                for engine in engines:
                    if (await engine.counters())["running"]:
                        return engine
                return None

            engine = await wait_until(running_engine, "an engine to run it")
            if stream:
                await asyncio.sleep(0.2)
            engine.kill()
            answer = await call
            if answer.status != 200:
                assert answer.error["run"] == "unknown"
                return
            if stream and not is_done(answer.body):
                assert_visibly_cut(answer, LETTER)
                return
            assert answer.text == expected_text(LETTER, 100)

    asyncio.run(run())


def test_many_callers_under_faults_get_their_own_answers():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=2, engines=3)
            for engine in engines:
                await engine.control(
                    cross_next=2, truncate_next=3, close_after_read=1, error_rate=0.05
                )
            prompts = [f"{LETTER} of caller {number}" for number in range(60)]
            calls = [
                hosts[number % 2].complete(prompt, 30, stream=number % 3 == 0)
                for number, prompt in enumerate(prompts)
            ]
            answers = await asyncio.gather(*calls)
            served = 0
            for prompt, answer in zip(prompts, answers):
                if answer.status != 200 or not answer.is_complete:
                    continue
                served += 1
                assert answer.text == expected_text(prompt, 30)
            assert served >= 40

    asyncio.run(run())


def test_a_caller_that_goes_away_frees_the_engine():
    """The fleet would work for nobody while urgent work waits.

    A caller breaks off in the middle of a long answer and doesn't come back.
    Cause: an engine's stream goes on after its connection.
    """

    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=1)
            await engines[0].control(slow_factor=50)
            answer = await open_stream(fleet, hosts[0], LETTER, 2000)
            await read_events(answer, 3)
            answer.close()

            async def is_idle():
                return (await engines[0].counters())["running"] == 0

            await wait_until(is_idle, "the engine to be free")

    asyncio.run(run())


def test_a_prefill_and_a_decode_engine_give_one_whole_answer():
    async def run():
        async with Fleet() as fleet:
            hosts, engines = await fleet.start_system(hosts=1, engines=0)
            for name, role in (("e1", "prefill"), ("e2", "decode")):
                engines.append(await fleet.start_engine(name, role=role))
            await fleet.wait_until_served(hosts, 2)
            for stream in (False, True):
                prompt = f"{LETTER} {'long ' * 500}{stream}"
                answer = await hosts[0].complete(prompt, 30, stream=stream)
                assert answer.text == expected_text(prompt, 30), answer
                if stream:
                    assert_whole_stream(answer.body, prompt, 30)
                assert await fleet.count_runs(prompt, engines) == 1

    asyncio.run(run())
