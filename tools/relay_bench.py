"""Wall-clock bench: what the daemon adds to calling an engine directly, in one run."""

import asyncio
import json
import os
import pathlib
import statistics
import time

from testkit import DEPLOYMENT, Fleet

ONE_BY_ONE = 200
STREAMS = 32
STREAM_TOKENS = 1500

# An engine whose own time doesn't show beside the daemon's.
FAST_ENGINE = {
    "slots": 256,
    "speed": 1,
    "prefill_tokens_per_s": 1e9,
    "decode_tokens_per_s": 1e9,
    "kv_limit_tokens": 10**9,
}
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid):
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def first_token_s(session, address, number):
    """Return the time from sending a request to the first event of its answer."""
    body = {
        "model": "letter-models",
        "prompt": f"short check {number}",
        "max_tokens": 2,
        "stream": True,
    }
    headers = {"X-Request-Id": f"bench-{number}"}
    began_s = time.perf_counter()
    url = f"http://{address}/v1/completions"
    async with session.post(url, json=body, headers=headers) as answer:
        await answer.content.readuntil(b"\n\n")
        took_s = time.perf_counter() - began_s
        await answer.read()
    return took_s


async def stream_all(session, address, label):
    """Run many streams at once; return the events read and the seconds taken."""

    async def one(number):
        body = {
            "model": "letter-models",
            "prompt": f"{label} {number}",
            "max_tokens": STREAM_TOKENS,
            "stream": True,
        }
        headers = {"X-Request-Id": f"{label}-{number}"}
        url = f"http://{address}/v1/completions"
        async with session.post(url, json=body, headers=headers) as answer:
            raw = await answer.read()
        assert raw.rstrip().endswith(b"[DONE]")
        return raw.count(b"\n\n")

    began_s = time.perf_counter()
    events = await asyncio.gather(*(one(number) for number in range(STREAMS)))
    return sum(events), time.perf_counter() - began_s


async def measure_first_token(fleet, addresses):
    """Return the median first token of each address, asked in turn."""
    waits = {name: [] for name in addresses}
    for number in range(ONE_BY_ONE):
        for name, address in addresses.items():
            took_s = await first_token_s(fleet.session, address, f"{name}-{number}")
            waits[name].append(took_s)
    return {name: statistics.median(values) for name, values in waits.items()}


async def measure():
    """Return the figures of one run."""
    async with Fleet() as fleet:
        await fleet.start_platform()
        await fleet.put_config(
            {"deployments": {"letter-models": DEPLOYMENT}, "services": {}}
        )
        engine = await fleet.start_engine("e1", **FAST_ENGINE)
        host = await fleet.start_host("h1")
        await fleet.wait_until_served([host], 1)
        addresses = {"direct": engine.address, "daemon": host.addresses["callers"]}
        first = await measure_first_token(fleet, addresses)
        direct_events, direct_s = await stream_all(
            fleet.session, engine.address, "direct"
        )
        used_s = cpu_s(host.pid)
        events, took_s = await stream_all(
            fleet.session, host.addresses["callers"], "daemon"
        )
        used_s = cpu_s(host.pid) - used_s
        return {
            "first_token_direct_s": round(first["direct"], 6),
            "first_token_daemon_s": round(first["daemon"], 6),
            "first_token_ratio": round(first["daemon"] / first["direct"], 3),
            "events_per_s_direct": round(direct_events / direct_s),
            "events_per_s_daemon": round(events / took_s),
            "events_ratio": round((events / took_s) / (direct_events / direct_s), 3),
            "daemon_events_per_core_s": round(events / used_s),
        }


def main():
    """Print the figures as one JSON line."""
    print(json.dumps(asyncio.run(measure())))


if __name__ == "__main__":
    main()
