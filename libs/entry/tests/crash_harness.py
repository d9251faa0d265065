"""Hosts in front of engines that one part of a prompt crashes, for tests."""

import asyncio
import contextlib
import json
import random
from typing import NamedTuple

import aiohttp
from host_harness import STREAM_ROUTE
from platform_samples import sample_endpoint_entry
from proxies import reset_connection
from scripted_endpoint import (
    ScriptedEndpoint,
    encode_chunk,
    encode_response,
    request_id_of,
)
from version_harness import VersionedFleet

__all__ = ["CRASHING_PART", "CrashingFleet", "PromptResult", "crashing_fleet"]

# Id of the part that crashes engines, as in the header.
CRASHING_PART = "bad0"
STREAM_TYPE = ("Content-Type: text/event-stream",)
# Time until the first event of an answer, and between two of its events.
FIRST_EVENT_S, EVENT_INTERVAL_S, EVENTS = 0.05, 0.05, 4
# How long an engine is down after a crash, and when its entry is removed.
DOWN_S, ENTRY_LAPSES_S = 1.0, 0.8


class PromptResult(NamedTuple):
    """What became of one prompt.

    Attributes
    ----------
    sent_s : float
        When its caller sent it, on the clock of the event loop.
    parts : tuple of str
        Ids of its parts.
    status : int
        Status of the response; 0 if there was none.
    is_complete : bool
        Whether all events came.
    """

    sent_s: float
    parts: tuple[str, ...]
    status: int
    is_complete: bool


class _Engine:
    """An engine that ends with all that it runs, and starts again under a new id."""

    def __init__(self, fleet, number, stage):
        self._fleet = fleet
        self._name = f"e-{number}"
        self._stage = stage
        self._starts = 0
        self._writers = set()
        self.server = None

    async def start(self):
        """Start to listen under a new id, and register."""
        self._starts += 1
        self.server = ScriptedEndpoint(self._respond)
        entry = sample_endpoint_entry(await self.server.start(), stage=self._stage)
        self._fleet.store.put("servers", f"{self._name}.{self._starts}", entry)

    def crash(self):
        """Reset all connections, and start again after a while."""
        if self.server is None:
            return
        server, self.server = self.server, None
        for writer in self._writers:
            reset_connection(writer)
        self._writers.clear()
        self._fleet.spawn(self._restart(server))

    async def _restart(self, server):
        await server.close()
        await asyncio.sleep(ENTRY_LAPSES_S)
        self._fleet.store.remove("servers", f"{self._name}.{self._starts}")
        await asyncio.sleep(DOWN_S - ENTRY_LAPSES_S)
        await self.start()

    async def _respond(self, number, head, body, writer):
        text = head.decode().lower()
        if "x-gypsumusher-request-id" not in text:
            writer.write(encode_response("", b"{}"))
            return
        now_s = asyncio.get_running_loop().time()
        parts = _parts_of(text)
        is_crashing = CRASHING_PART in parts[:-1]
        if is_crashing:
            self._fleet.arrivals_s.append(now_s)
        if "x-gypsumusher-stage: prefill" in text:
            prefilled = {"handle": f"h{number}", "tokens": 30000, "version": 1}
            response = encode_response(
                request_id_of(head), json.dumps(prefilled).encode()
            )
            writer.write(response)
            return
        self._writers.add(writer)
        try:
            await self._write_answer(head, writer, is_crashing)
        finally:
            self._writers.discard(writer)

    async def _write_answer(self, head, writer, is_crashing):
        start = encode_response(
            request_id_of(head),
            b"",
            "200 OK",
            STREAM_TYPE,
            "Transfer-Encoding: chunked",
        )
        writer.write(start)
        await asyncio.sleep(FIRST_EVENT_S)
        if is_crashing:
            self._fleet.crashes_s.append(asyncio.get_running_loop().time())
            self.crash()
            await asyncio.Event().wait()
        for number in range(1, EVENTS + 1):
            writer.write(encode_chunk(f"id: {number}\ndata: x\n\n".encode()))
            await writer.drain()
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(b"0\r\n\r\n")


class CrashingFleet(VersionedFleet):
    """A store, hosts, and engines that `CRASHING_PART` crashes.

    Attributes
    ----------
    arrivals_s, crashes_s : list of float
        When prompts with the part reached engines, and when they crashed one, on the
        clock of the event loop.
    results : list of PromptResult
        What became of each prompt, in the order in which they ended.
    """

    def __init__(self, route, stages):
        super().__init__(route, stages)
        self.arrivals_s, self.crashes_s, self.results = [], [], []
        self._engines = []
        self._tasks = set()
        self._sent_count = 0
        self._rng = random.Random(1)

    def spawn(self, coroutine):
        """Run a coroutine until the fleet is closed."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def add_endpoint(self, version, **fields):
        """Start and register an engine."""
        engine = _Engine(self, len(self._engines), fields["stage"])
        self._engines.append(engine)
        await engine.start()

    async def close(self):
        """Close everything."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await super().close()
        for engine in self._engines:
            if engine.server is not None:
                await engine.server.close()

    async def crash_engines(self, interval_s):
        """Crash one engine after the other, whatever they run."""
        while True:
            await asyncio.sleep(interval_s)
            self._rng.choice(self._engines).crash()

    async def send_prompts(self, interval_s, make_parts):
        """Send prompts to hosts in turn; ``make_parts(number)`` names their parts."""
        while True:
            await asyncio.sleep(interval_s)
            self._sent_count += 1
            if not self.hosts:
                continue
            host = self.hosts[self._sent_count % len(self.hosts)]
            parts = tuple(make_parts(self._sent_count))
            self.spawn(self._send_prompt(host, parts))

    async def _send_prompt(self, host, parts):
        sent_s = asyncio.get_running_loop().time()
        headers = {
            "X-Gypsumusher-Prompt-Prefix": ",".join(f"{p}:5000" for p in parts),
            "X-Gypsumusher-Token-Count": f"{5000 * len(parts)},8",
        }
        body = parts[-1].encode()
        status, data = 0, b""
        try:
            _, response = await self._post(host, headers, body)
            async with response:
                status = response.status
                async for chunk in response.content.iter_any():
                    data += chunk
        except (aiohttp.ClientError, ValueError):
            # Its host or engine has ended; the result shows how far it came.
            pass
        is_complete = status == 200 and data.count(b"\n\n") == EVENTS
        self.results.append(PromptResult(sent_s, parts, status, is_complete))


def _parts_of(head):
    """Return the ids of a prompt's parts, from a request head in lower case."""
    for line in head.split("\r\n"):
        name, _, value = line.partition(": ")
        if name == "x-gypsumusher-prompt-prefix":
            return [entry.partition(":")[0] for entry in value.split(",")]
    return []


@contextlib.asynccontextmanager
async def crashing_fleet(engines, host_count=2, route=STREAM_ROUTE, stages=("decode",)):
    """Start a fleet with a number of engines of each stage."""
    fleet = CrashingFleet(route, stages)
    try:
        await fleet.start(["v1"] * engines, host_count)
        yield fleet
    finally:
        await fleet.close()
