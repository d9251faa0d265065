"""A prompt of absurd size breaks a host's model requests, and its planned stop."""

import asyncio
import json
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import standins  # noqa: E402

# "The number of prompt tokens and the maximum number of output tokens": the largest
# integer of a JavaScript client, in place of a size that it doesn't know.
ABSURD_TOKENS = "9007199254740991,80"
USUAL_TOKENS = "1460,80"
# The client's retries after a refusal, as on the sheet.
RETRIES = 1
KV_TOKENS, TOKENS_PER_MS = 451_179, 61.4
WORK_S = 0.6
ROUTES = [
    {
        "name": "insert", "host": "shop.example", "path_prefix": "/insert/",
        "timeout_ms": 6000, "goal_ms": 800, "priority": 1, "service": "models",
        "kind": "stream", "attempts": 1, "resumable": False, "sticky": True,
        "gap_target_ms": 300,
    },
    {
        "name": "label", "host": "shop.example", "path_prefix": "/label/",
        "timeout_ms": 1500, "goal_ms": 800, "priority": 0, "service": "desk",
        "kind": "non_idempotent", "attempts": 1,
    },
]  # fmt: skip
ENGINE = {
    "slots": 64, "kv_tokens": KV_TOKENS, "kv_token_bytes": 35136,
    "link_mbps": 740000, "handle_ttl_s": 5, "switch_s": 3,
}  # fmt: skip
CONFIGURATION = {
    "version": 3, "routes": ROUTES, "limits": standins.LIMITS,
    "services": [
        {"name": "desk", "health_path": "/healthz", "max_conns": 100},
        {"name": "models", "health_path": "/healthz", "max_conns": 360,
         "engine": ENGINE},
    ],
}  # fmt: skip


class Engine(standins.Replica):
    """A model replica of one stage; it rejects what is larger than its memory."""

    stage = "decode"

    def entry(self):
        models = [{"name": "m", "version": 1, "adapters": []}]
        return {**super().entry(), "stage": self.stage, "models": models}

    async def _handle(self, first, headers, body, writer):
        request_id = headers.get("x-gypsumusher-request-id", "")
        if first.startswith(("GET /v1/", "DELETE /v1/")):
            self._answer_call(writer)
            return
        if headers.get("x-gypsumusher-expect-instance", self.name) != self.name:
            self.answer(writer, request_id, "421 Misdirected", b"", is_run=False)
            return
        tokens = int(headers["x-gypsumusher-token-count"].split(",")[0])
        if tokens > KV_TOKENS:
            self.record.line("rejected as full", self.name, request_id, tokens)
            self.answer(writer, request_id, "503 Full", b"", is_run=False)
            return
        is_prefill = headers.get("x-gypsumusher-stage") == "prefill"
        if is_prefill or "x-gypsumusher-kv-source" not in headers:
            await asyncio.sleep(0.03 + tokens / TOKENS_PER_MS / 1000)
        if is_prefill:
            handle = {"handle": standins.new_id(), "tokens": tokens, "version": 1}
            self.answer(writer, request_id, "200 OK", json.dumps(handle).encode())
            return
        self.runs.append((self.record.now_s(), request_id))
        self.record.line("run", self.name, request_id, first)
        head = f"HTTP/1.1 200 OK\r\nX-Gypsumusher-Request-Id: {request_id}\r\n"
        head += f"X-Gypsumusher-Server-Seal: {self.name}.{request_id}\r\n"
        head += "X-Gypsumusher-Weight-Versions: 1\r\n"
        head += "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        writer.write(head.encode())
        for number in range(1, 9):
            event = f"id: {number}\ndata: word\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await asyncio.sleep(0.03)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def _answer_call(self, writer):
        body = json.dumps(
            {
                "stage": self.stage, "models": [], "busy": False, "seq": 0,
                "queued": 0, "active": 0, "kv_used": 0, "kv_capacity": KV_TOKENS,
                "kv_handles": 0, "epoch": 1, "next": 0, "held": [],
            }
        ).encode()  # fmt: skip
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        writer.write(body)


class Prefill(Engine):
    stage = "prefill"


async def send(deployment, host, path, extra=(), deadline_ms=1500):
    """Make one request; return its id and the answer."""
    request_id = standins.new_id()
    headers = standins.client_headers(request_id, deadline_ms)
    deployment.record.line("sent", request_id, path, *extra, "to", host.name)
    answer = await standins.ask(
        host.ip, host.ports["front"], "POST", path, [*headers, *extra], b"x" * 600,
        deadline_ms / 1000 + 0.5,
    )  # fmt: skip
    deployment.record.line("answered", request_id, path, answer)
    return request_id, answer


def prompt(tokens, number):
    return (
        ("X-Gypsumusher-Model", "m"),
        ("X-Gypsumusher-Token-Count", tokens),
        ("X-Gypsumusher-Prompt-Prefix", f"5c1e07a2:800,{number + 16:x}:660"),
    )


async def case(deployment):
    record = deployment.record
    await deployment.start_store(CONFIGURATION)
    await deployment.add_replica("e-41", service="models", kind=Prefill, slots=64)
    for name in ("e-52", "e-53"):
        await deployment.add_replica(name, service="models", kind=Engine, slots=64)
    for name in ("i-7f3a91c2", "i-80aa01d4", "i-9be40f17"):
        await deployment.add_replica(name, work_s=WORK_S)
    await deployment.start_hosts(2)
    host = deployment.hosts[0]
    await asyncio.sleep(4.0)
    tokens = ABSURD_TOKENS if standins.has_trouble() else USUAL_TOKENS
    for _ in range(1 + RETRIES):
        _, first = await send(deployment, host, "/insert/0", prompt(tokens, 0), 6000)
        record.line("prompt of", tokens, "tokens:", first, show=True)
        if first.status != 503:
            break
        # The client comes back when it is told to, within a third of its time.
        await asyncio.sleep(min(2.0, float(first.headers.get("retry-after", 0.5))))
    await asyncio.sleep(4.0)
    counts = {}
    for number in range(1, 21):
        _, answer = await send(
            deployment, host, "/insert/1", prompt(USUAL_TOKENS, number), 6000
        )
        counts[str(answer)] = counts.get(str(answer), 0) + 1
    record.line("20 usual prompts after it:", counts, show=True)
    # Requests that may run at most once, of which some are under way at SIGTERM.
    tasks = []
    for _ in range(20):
        tasks.append(asyncio.create_task(send(deployment, host, "/label/1")))
        await asyncio.sleep(0.05)
    host.send_signal(signal.SIGTERM)
    stopped_s = record.now_s()
    answers = dict(await asyncio.gather(*tasks))
    run = {request_id for r in deployment.replicas for _, request_id in r.runs}
    lost = [i for i, answer in answers.items() if not answer.status and i in run]
    counts = {}
    for answer in answers.values():
        counts[str(answer)] = counts.get(str(answer), 0) + 1
    record.line("requests that were sent before SIGTERM:", counts, show=True)
    record.line("run, and ended without an answer:", len(lost), show=True)
    while host.exit_code() is None and record.now_s() < stopped_s + 9.0:
        await asyncio.sleep(0.05)
    record.line("exit code:", host.exit_code(), "after",
                round(record.now_s() - stopped_s, 2), "s", show=True)  # fmt: skip
    return bool(lost)


if __name__ == "__main__":
    sys.exit(standins.run(case, HERE))
