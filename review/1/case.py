"""The second copy of a refusal answers the same request when it is sent once more."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from lab import configuration, encode_request, has_trouble, route, run_case  # noqa: E402
from replica import Replica  # noqa: E402
from wire import chunk, read_answer  # noqa: E402

TRIALS, REQUESTS_BETWEEN = 10, 100
# Calm time before each trial, after which the host has forgotten earlier refusals.
CALM_S = 6.0
EVENTS, EVENT_S = 3, 0.005
DEADLINE_MS = 8000
# Time that a request waits in the queue of the other replica before that refuses it.
QUEUED_S = 0.7
# Largest share of one replica's answers that it sends a second time.
EXTRA_SHARE = 0.03


class Engine:
    """A replica that is full when a trial request comes for the first time.

    Parameters
    ----------
    queued_s : float
        Time for which it keeps such a request in its queue before it refuses it.
    sends_extra : bool
        Whether it sends these refusals a second time, before the next answer on the
        connection.
    """

    def __init__(self, record, runs, queued_s, sends_extra):
        self._record, self._runs = record, runs
        self._queued_s, self._sends_extra = queued_s, sends_extra
        self._seen = set()
        self.answers = self.extras = 0
        self._due = {}

    async def handle(self, replica, request, writer):
        request_id = request.header("X-Gypsumusher-Request-Id")
        extra = self._due.pop(writer, None)
        if extra is not None:
            self.extras += 1
            writer.write(extra)
            self._record("extra_sent", replica=replica.id, before=request_id)
        self.answers += 1
        if request_id.startswith("trial") and request_id not in self._seen:
            self._seen.add(request_id)
            await asyncio.sleep(self._queued_s)
            refusal = replica.head(request, 503, not_run=True)
            writer.write(refusal)
            self._record("refused", replica=replica.id, request=request_id)
            if self._sends_extra and self.extras + 1 <= EXTRA_SHARE * self.answers:
                self._due[writer] = refusal
            return
        self._runs.setdefault(request_id, []).append(replica.id)
        self._record("run", replica=replica.id, request=request_id)
        headers = [("Content-Type", "text/event-stream")]
        writer.write(replica.head(request, 200, headers=headers, is_chunked=True))
        for number in range(EVENTS):
            writer.write(chunk(b"id: %d\ndata: %d\n\n" % (number, number)))
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")


async def case(lab):
    record, runs, answered = lab.record, {}, {}
    # One of two replicas sends answers twice: a share of 0.5.
    engines = [
        Engine(record, runs, 0.0, has_trouble()),
        Engine(record, runs, QUEUED_S, False),
    ]
    for number, engine in enumerate(engines):
        lab.replicas.append(Replica(f"replica-{number}", engine.handle))
    ask = route("ask", kind="stream", timeout_ms=8000, gap_target_ms=300)
    await lab.start(configuration(1, [ask]), 1)
    for trial in range(TRIALS):
        await asyncio.sleep(CALM_S)
        for number in range(REQUESTS_BETWEEN):
            await call(lab, f"usual-{trial}-{number}", answered)
        await call(lab, f"trial-{trial}", answered)
    await asyncio.sleep(1.0)
    twice = {key: where for key, where in runs.items() if len(where) > 1}
    refused = [key for key in runs if answered.get(key) in (408, 421, 429, 503)]
    record(
        "result",
        requests=len(answered),
        answers_of_replica_0=engines[0].answers,
        extras=engines[0].extras,
        run_twice=twice,
        refused_and_run=refused,
    )
    return 1 if twice or refused else 0


async def call(lab, request_id, answered):
    """Send one request on a connection of its own."""
    host = lab.hosts[0]
    reader, writer = await asyncio.open_connection(host.ip, host.callers_port)
    writer.write(encode_request("POST", "/ask/1", request_id, DEADLINE_MS, b"{}"))
    answer = await read_answer(reader)
    writer.close()
    answered[request_id] = answer.status
    lab.record("answered", request=request_id, status=answer.status)


if __name__ == "__main__":
    run_case(case, pathlib.Path(__file__).parent)
