"""Large uploads at the same time: hosts close connections whose request was run."""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import standins  # noqa: E402

# Clients stay within max_body_bytes of the configuration's limits, 4,194,304.
BODY = b"p" * 4_000_000
USUAL_CLIENTS, PAUSE_S = 8, 3.0
# Burst: "x times the traffic", 1.9 in the site files.
BURST = 1.9
# Clients begin within this time, so that the link of 1,000 Mbit/s has no queue.
SPREAD_S, WORK_S = 1.0, 1.5
ROUTE = {
    "name": "upload", "host": "shop.example", "path_prefix": "/upload/",
    "timeout_ms": 6000, "goal_ms": 800, "priority": 0, "service": "desk",
    "kind": "non_idempotent", "attempts": 1,
}  # fmt: skip
CONFIGURATION = {
    "version": 3, "routes": [ROUTE], "limits": standins.LIMITS,
    "services": [{"name": "desk", "health_path": "/healthz", "max_conns": 100}],
}  # fmt: skip


async def case(deployment):
    record = deployment.record
    await deployment.start_store(CONFIGURATION)
    for name in ("i-7f3a91c2", "i-80aa01d4", "i-9be40f17"):
        await deployment.add_replica(name, slots=6, work_s=WORK_S)
    await deployment.start_hosts(1)
    host = deployment.hosts[0]
    clients = int(USUAL_CLIENTS * (BURST if standins.has_trouble() else 1))
    answers = {}
    await asyncio.sleep(5.0)

    async def client(number):
        connection = standins.Connection(host.ip, host.ports["front"])
        await connection.open()
        # A small request, after which the connection is kept; then two uploads.
        for body in (b"p" * 600, BODY, BODY):
            await asyncio.sleep(SPREAD_S * number / clients)
            request_id = standins.new_id()
            headers = standins.client_headers(request_id, 6000)
            record.line("sent", request_id, "by client", number, len(body), "bytes")
            answer = await connection.ask(
                "POST", "/upload/1", headers, body, timeout_s=7.0
            )
            record.line("answered", request_id, answer)
            answers[request_id] = answer
            if not answer.status:
                break
            await asyncio.sleep(PAUSE_S)
        connection.close()

    await asyncio.gather(*(client(number) for number in range(clients)))
    run = {request_id for r in deployment.replicas for _, request_id in r.runs}
    counts = {}
    for answer in answers.values():
        counts[str(answer)] = counts.get(str(answer), 0) + 1
    lost = [i for i, answer in answers.items() if not answer.status and i in run]
    record.line("answers:", counts, show=True)
    record.line("run, and closed without an answer:", len(lost), show=True)
    record.line("host's peak memory:", host.peak_memory_mb(), "MB of 300", show=True)
    return len(lost) > 3


if __name__ == "__main__":
    sys.exit(standins.run(case, HERE))
