"""Refusals of content: requests that wait, records in the store, and trials."""

import asyncio

import pytest
from host_harness import STREAM_ROUTE, HostHarness, make_engines, run, until
from scripted_endpoint import encode_chunk, encode_response, request_id_of

from gypsumusher_entry.refusal_records import REFUSED_KIND
from gypsumusher_ports import CallerRequest, Generation, PromptPart
from gypsumusher_routing import content_keys

PROMPT = {
    "X-Gypsumusher-Prompt-Prefix": "a1:500,bad0:500,f1:100",
    "X-Gypsumusher-Token-Count": "1100,8",
}
SOUND = {**PROMPT, "X-Gypsumusher-Prompt-Prefix": "a1:500,f2:100"}
SSE = ("Content-Type: text/event-stream",)


def key_of(part_id):
    """Return the fingerprint of a part."""
    parts = (PromptPart(part_id, 500), PromptPart(1, 100))
    generation = Generation("", 600, 8, None, parts)
    request = CallerRequest("r", "POST", "/", "h", (), b"", None, generation, None)
    (key,) = content_keys(request, None).parts
    return key


BAD = key_of(0xBAD0)


class Engine:
    """Holds answers back until it may write them."""

    def __init__(self):
        self.may_write = asyncio.Event()
        self.waiting = 0

    async def respond(self, number, head, body, writer):
        if b"request-id" not in head.lower():
            writer.write(encode_response("", b"{}"))
            return
        framing = "Transfer-Encoding: chunked"
        writer.write(encode_response(request_id_of(head), b"", "200 OK", SSE, framing))
        self.waiting += 1
        try:
            await self.may_write.wait()
        finally:
            self.waiting -= 1
        writer.write(encode_chunk(b"id: 1\ndata: x\n\n"))
        writer.write(b"0\r\n\r\n")


async def start_engine(harness):
    """Make the harness's endpoint an engine that decodes."""
    await make_engines(harness, "decode")


def refuse(harness, *keys, for_s=300.0):
    """Have the host refuse content, as it does when it reads a record."""
    harness.host.context.crash_reports.on_recorded(keys, for_s)


# Guards against prompts that go on waiting in an engine's queue, and crash it when
# their turn comes, after their part is known.
def test_prompts_that_wait_end_when_their_part_is_refused():
    async def scenario():
        engine = Engine()
        async with HostHarness(engine.respond, routes=(STREAM_ROUTE,)) as harness:
            await start_engine(harness)
            bad = asyncio.ensure_future(
                harness.ask(method="POST", request_id="r-1", **PROMPT)
            )
            sound = asyncio.ensure_future(
                harness.ask(method="POST", request_id="r-2", **SOUND)
            )
            await until(lambda: engine.waiting == 2)
            refuse(harness, BAD)
            status, headers, _ = await bad
            # The engine may have begun it.
            assert (status, "Retry-After" in headers) == (502, False)
            # An engine drops a request whose connection is closed.
            opened = harness.host.context.connection_pool._open
            await until(lambda: sum(map(len, opened.values())) == 1)
            engine.may_write.set()
            status, _, body = await sound
            assert (status, b"data: x" in body) == (200, True)
            # From now on such prompts are refused before they are sent.
            sent = harness.arrivals()
            status, headers, _ = await harness.ask(
                method="POST", request_id="r-3", **PROMPT
            )
            assert (status, float(headers["Retry-After"]) > 200.0) == (503, True)
            assert harness.arrivals() == sent

    run(scenario())


# Guards against answers that are cut off although their prompt didn't crash the engine.
def test_prompt_with_events_goes_on_when_its_part_is_refused():
    async def scenario():
        async def respond(number, head, body, writer):
            if b"request-id" not in head.lower():
                writer.write(encode_response("", b"{}"))
                return
            framing = "Transfer-Encoding: chunked"
            start = encode_response(request_id_of(head), b"", "200 OK", SSE, framing)
            writer.write(start)
            writer.write(encode_chunk(b"id: 1\ndata: x\n\n"))
            await refused.wait()
            writer.write(encode_chunk(b"id: 2\ndata: y\n\n"))
            writer.write(b"0\r\n\r\n")

        refused = asyncio.Event()
        async with HostHarness(respond, routes=(STREAM_ROUTE,)) as harness:
            await start_engine(harness)
            asked = asyncio.ensure_future(harness.ask(method="POST", **PROMPT))
            exchanges = harness.host.context.exchanges
            await until(lambda: any(e.event_count for e in exchanges))
            refuse(harness, BAD)
            refused.set()
            status, _, body = await asked
            assert (status, b"data: y" in body) == (200, True)

    run(scenario())


# Guards against all hosts that try refused content at once when its time is over, and
# against a refusal that no answer ends.
def test_one_prompt_tries_refused_content_and_its_answer_ends_the_refusal():
    async def scenario():
        engine = Engine()
        async with HostHarness(engine.respond, routes=(STREAM_ROUTE,)) as harness:
            await start_engine(harness)
            refuse(harness, BAD, for_s=0.3)
            await until(lambda: harness.store.has(REFUSED_KIND, BAD.hex()))
            await asyncio.sleep(0.35)
            tried = asyncio.ensure_future(
                harness.ask(method="POST", request_id="r-1", **PROMPT)
            )
            await until(lambda: engine.waiting == 1)
            # A longer refusal holds the next one back, whose answer nobody knows yet.
            status, _, _ = await harness.ask(method="POST", request_id="r-2", **PROMPT)
            assert status == 503
            engine.may_write.set()
            assert (await tried)[0] == 200
            status, _, _ = await harness.ask(method="POST", request_id="r-3", **PROMPT)
            assert status == 200
            await until(lambda: not harness.store.has(REFUSED_KIND, BAD.hex()))

    run(scenario())


# Guards against records that a host that starts can't read, or believes in any form.
@pytest.mark.parametrize(
    "content",
    (
        {},
        [],
        {"keys": [], "for_ms": 1000},
        {"keys": ["zz"], "for_ms": 1000},
        {"keys": [BAD.hex()], "for_ms": 0},
        {"keys": [BAD.hex()], "for_ms": 10**12},
        {"keys": [BAD.hex()], "for_ms": "1000"},
    ),
)
def test_unreadable_record_refuses_nothing(content):
    async def scenario():
        engine = Engine()
        engine.may_write.set()
        harness = HostHarness(engine.respond, routes=(STREAM_ROUTE,))
        harness.store.put(REFUSED_KIND, BAD.hex(), content)
        async with harness:
            await until(
                lambda: ("refusal_unreadable", {"name": BAD.hex()}) in harness.log_lines
            )
            await start_engine(harness)
            status, _, _ = await harness.ask(method="POST", **PROMPT)
            assert status == 200

    run(scenario())


# Guards against a refusal that is forgotten because the store was down when it began.
def test_refusal_is_recorded_once_the_store_is_back():
    async def scenario():
        engine = Engine()
        async with HostHarness(engine.respond, routes=(STREAM_ROUTE,)) as harness:
            await start_engine(harness)
            harness.store.fault = "refuse"
            refuse(harness, BAD)
            await asyncio.sleep(0.3)
            assert not harness.store.has(REFUSED_KIND, BAD.hex())
            harness.store.fault = ""
            await until(lambda: harness.store.has(REFUSED_KIND, BAD.hex()))

    run(scenario())
