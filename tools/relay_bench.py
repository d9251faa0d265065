"""Wall-clock bench of the overhead of the daemon over calling an engine directly."""

import asyncio
import json
import os
import pathlib
import statistics
import time

from testkit import DEPLOYMENT, Fleet

# Requests in sequence for the time to the first token.
SEQUENTIAL_REQUESTS = 200
# Concurrent streams for the throughput, and the tokens of each.
STREAMS = 32
STREAM_TOKENS = 1500

# An engine so fast that its own time is negligible next to the daemon's.
FAST_ENGINE = {
    "slots": 256,
    "speed": 1,
    "prefill_tokens_per_s": 1e9,
    "decode_tokens_per_s": 1e9,
    "kv_limit_tokens": 10**9,
}
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def cpu_s(pid):
    """Return the CPU time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


async def measure_request(session, address, number):
    """Return the seconds from sending a request to the first event of its response."""
    body = {
        "model": "letter-models",
        "prompt": f"short check {number}",
        "max_tokens": 2,
        "stream": True,
    }
    headers = {"X-Request-Id": f"bench-{number}"}
    began_s = time.perf_counter()
    url = f"http://{address}/v1/completions"
    async with session.post(url, json=body, headers=headers) as response:
        await response.content.readuntil(b"\n\n")
        took_s = time.perf_counter() - began_s
        await response.read()
    return took_s


async def run_streams(session, address, label):
    """Run `STREAMS` streams concurrently; return the events read and the seconds."""

    async def run_stream(number):
        body = {
            "model": "letter-models",
            "prompt": f"{label} {number}",
            "max_tokens": STREAM_TOKENS,
            "stream": True,
        }
        headers = {"X-Request-Id": f"{label}-{number}"}
        url = f"http://{address}/v1/completions"
        async with session.post(url, json=body, headers=headers) as response:
            raw = await response.read()
        assert raw.rstrip().endswith(b"[DONE]")
        return raw.count(b"\n\n")

    began_s = time.perf_counter()
    events = await asyncio.gather(*(run_stream(number) for number in range(STREAMS)))
    return sum(events), time.perf_counter() - began_s


async def median_first_token(fleet, addresses):
    """Return the median seconds to the first token, by address, asked in turn."""
    times_s = {name: [] for name in addresses}
    for number in range(SEQUENTIAL_REQUESTS):
        for name, address in addresses.items():
            took_s = await measure_request(fleet.session, address, f"{name}-{number}")
            times_s[name].append(took_s)
    return {name: statistics.median(values) for name, values in times_s.items()}


async def measure():
    """Run the bench and return its figures."""
    async with Fleet() as fleet:
        await fleet.start_platform()
        await fleet.put_config(
            {"deployments": {"letter-models": DEPLOYMENT}, "services": {}}
        )
        engine = await fleet.start_engine("e1", **FAST_ENGINE)
        host = await fleet.start_host("h1")
        await fleet.wait_until_served([host], 1)
        addresses = {"direct": engine.address, "daemon": host.addresses["callers"]}
        first = await median_first_token(fleet, addresses)
        direct_events, direct_s = await run_streams(
            fleet.session, engine.address, "direct"
        )
        used_cpu_s = cpu_s(host.pid)
        events, took_s = await run_streams(
            fleet.session, host.addresses["callers"], "daemon"
        )
        used_cpu_s = cpu_s(host.pid) - used_cpu_s
        return {
            "first_token_direct_s": round(first["direct"], 6),
            "first_token_daemon_s": round(first["daemon"], 6),
            "first_token_ratio": round(first["daemon"] / first["direct"], 3),
            "events_per_s_direct": round(direct_events / direct_s),
            "events_per_s_daemon": round(events / took_s),
            "events_ratio": round((events / took_s) / (direct_events / direct_s), 3),
            "daemon_events_per_core_s": round(events / used_cpu_s),
        }


def main():
    """Print the figures as one JSON line."""
    print(json.dumps(asyncio.run(measure())))


if __name__ == "__main__":
    main()
