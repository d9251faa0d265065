"""Watches that the store cuts off keep replicas without an entry in use."""

import asyncio
import os
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "common-2"))

import standins  # noqa: E402

DRAIN_S = standins.BOUNDS["drain_ms"] / 1000
# The store cuts off the watches that wait at these times, in seconds after it has
# removed the entry.
CUTS_S = [float(text) for text in os.environ.get("CUTS_S", "0,2,4,6").split(",")]
# The replica serves on for this long after its entry was removed.
SERVES_ON_S = 8.0
ROUTE = {
    "name": "label", "host": "shop.example", "path_prefix": "/label/",
    "timeout_ms": 1500, "goal_ms": 125, "priority": 0, "service": "desk",
    "kind": "non_idempotent", "attempts": 1,
}  # fmt: skip
CONFIGURATION = {
    "version": 3, "routes": [ROUTE], "limits": standins.LIMITS,
    "services": [{"name": "desk", "health_path": "/healthz", "max_conns": 100}],
}  # fmt: skip


async def send_on(deployment, until_s, counts):
    """Send requests to all hosts in turn, some each tenth of a second."""
    record, number = deployment.record, 0
    tasks = set()

    async def one(host):
        request_id = standins.new_id()
        headers = standins.client_headers(request_id)
        record.line("sent", request_id, "to", host.name)
        answer = await standins.ask(
            host.ip, host.ports["front"], "POST", "/label/1", headers, b"x" * 600, 2.0
        )
        record.line("answered", request_id, answer)
        counts[answer.status] = counts.get(answer.status, 0) + 1

    while record.now_s() < until_s:
        host = deployment.hosts[number % len(deployment.hosts)]
        number += 1
        tasks.add(asyncio.create_task(one(host)))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


async def cut_on(store):
    """Cut off the waiting watches at their times."""
    began_s = asyncio.get_running_loop().time()
    for at_s in CUTS_S:
        await asyncio.sleep(began_s + at_s - asyncio.get_running_loop().time())
        store.cut_watches()


async def case(deployment):
    record, store = deployment.record, deployment.store
    await deployment.start_store(CONFIGURATION)
    leaving = await deployment.add_replica("i-7f3a91c2")
    for name in ("i-80aa01d4", "i-9be40f17"):
        await deployment.add_replica(name)
    await deployment.start_hosts(3)
    counts = {}
    end_s = record.now_s() + 23.0
    clients = asyncio.create_task(send_on(deployment, end_s, counts))
    # The hosts are in touch after 3 s without a start.
    await asyncio.sleep(5.0)
    await asyncio.sleep(5.0)
    if standins.has_trouble():
        deployment.cutting = asyncio.create_task(cut_on(store))
        await asyncio.sleep(float(os.environ.get("LAG_S", "0.1")))
    left_s = leaving.leave_unannounced()
    await asyncio.sleep(SERVES_ON_S)
    late = [at_s for at_s, _ in leaving.runs if at_s > left_s + DRAIN_S]
    await leaving.stop()
    await clients
    record.line("answers by status:", counts, show=True)
    record.line("watches:", store.watch_count, "cut:", store.cut_count, show=True)
    record.line(
        "requests run by the replica later than", DRAIN_S,
        "s after the acknowledgement that it is gone:", len(late),
        "the last after", round(max(late, default=left_s) - left_s, 2), "s",
        show=True,
    )  # fmt: skip
    return bool(late)


if __name__ == "__main__":
    sys.exit(standins.run(case, HERE))
