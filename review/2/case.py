"""The three hosts that watch the store for all lose it at once; a replica drains."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common"))

from lab import (  # noqa: E402
    CannotRunError,
    configuration,
    encode_request,
    has_trouble,
    route,
    run_case,
)
from replica import Replica  # noqa: E402
from wire import read_answer  # noqa: E402

HOSTS, WATCHERS = 8, 3
CLIENTS = 4
# Calm time before the partition, more than the stable window.
CALM_S = 8.0
# The partition, and the time from its start to the replica's report that it drains.
CUT_S, REPORT_AFTER_S = 5.5, 0.3
DRAIN_S, CONFIG_S = 2.0, 2.0
# Time by which a request is later than its bound before it counts here.
MARGIN_S = 0.1
# A sound replica goes on serving for a while after the bound.
SERVES_ON_S = 6.0
# Without a watch in this time, a host leaves watching to others.
WATCH_MAX_S = 5.0


async def case(lab):
    record, runs = lab.record, []

    async def handle(replica, request, writer):
        request_id = request.header("X-Gypsumusher-Request-Id")
        runs.append((record.now_s(), replica, request_id))
        record("run", replica=replica.id, request=request_id)
        writer.write(replica.head(request, 200, b"done"))

    leaving, staying = Replica("replica-1", handle), Replica("replica-2", handle)
    other = Replica("replica-3", handle, service="other")
    lab.replicas += [leaving, staying, other]
    services = [
        {"name": name, "health_path": "/healthz", "max_conns": 100}
        for name in ("svc", "other")
    ]
    # Requests that may be repeated, on a route whose service changes.
    book = route("book", kind="non_idempotent", timeout_ms=1500)
    read = route("read", kind="idempotent", timeout_ms=1500)
    await lab.start(configuration(1, [book, read], services), HOSTS)
    await asyncio.sleep(CALM_S)
    now_s = asyncio.get_running_loop().time()
    watching = [
        host
        for host in lab.hosts
        if now_s - host.link.watches.get("servers", 0.0) < WATCH_MAX_S
    ]
    record("watching", hosts=[host.name for host in watching])
    if len(watching) != WATCHERS:
        raise CannotRunError("not three hosts watch the store")
    undisturbed = [host for host in lab.hosts if host not in watching]
    sent = {}
    ends_s = record.now_s() + CUT_S + 4.0
    tasks = [
        asyncio.ensure_future(call(lab, host, number, ends_s, sent))
        for host in undisturbed
        for number in range(CLIENTS)
    ]
    await asyncio.sleep(1.0)
    if has_trouble():
        for host in watching:
            host.link.cut()
        record("cut", hosts=[host.name for host in watching])
    await asyncio.sleep(REPORT_AFTER_S)
    leaving.state = "draining"
    leaving.register()
    drain_acknowledged_s = record.now_s()
    record("draining_acknowledged", replica=leaving.id)
    moved = {**read, "service": "other"}
    lab.store.put("config", "main", configuration(3, [book, moved], services))
    config_acknowledged_s = record.now_s()
    record("configuration_acknowledged", version=3)
    await asyncio.sleep(CUT_S - REPORT_AFTER_S)
    for host in watching:
        host.link.heal()
    record("healed")
    await asyncio.gather(*tasks)
    late_s = [
        at_s - drain_acknowledged_s
        for at_s, replica, _ in runs
        if replica is leaving and at_s > drain_acknowledged_s + DRAIN_S + MARGIN_S
    ]
    old_s = [
        sent[request_id] - config_acknowledged_s
        for _, replica, request_id in runs
        if "read" in request_id
        and replica is not other
        and sent[request_id] > config_acknowledged_s + CONFIG_S + MARGIN_S
    ]
    record(
        "result",
        requests=len(sent),
        to_leaving_replica_late=len(late_s),
        last_s_after_report=round(max(late_s, default=0.0), 2),
        by_old_service_late=len(old_s),
        last_s_after_configuration=round(max(old_s, default=0.0), 2),
    )
    return 1 if late_s or old_s else 0


async def call(lab, host, number, ends_s, sent):
    """Send a request each 0.1 s on a kept connection."""
    name = "read" if number % 2 else "book"
    method = "GET" if number % 2 else "POST"
    reader, writer = await asyncio.open_connection(host.ip, host.callers_port)
    count = 0
    while lab.record.now_s() < ends_s:
        count += 1
        request_id = f"{name}-{host.name}-{number}-{count}"
        sent[request_id] = lab.record.now_s()
        writer.write(encode_request(method, f"/{name}/1", request_id, 1500, b"{}"))
        answer = await read_answer(reader)
        lab.record("answered", request=request_id, status=answer.status)
        if not answer.is_complete or answer.headers.get("connection") == "close":
            writer.close()
            reader, writer = await asyncio.open_connection(host.ip, host.callers_port)
        await asyncio.sleep(0.1)
    writer.close()


if __name__ == "__main__":
    run_case(case, pathlib.Path(__file__).parent)
