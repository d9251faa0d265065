"""Measures what one real daemon costs, on loopback with small stand-ins."""

import asyncio
import os
import pathlib

import aiohttp
from capacity_fit import fit_line
from capacity_links import Counter
from testkit import DEPLOYMENT, PLATFORM_TOKEN, Fleet, merged, wait_until

# The daemon's own defaults, where the tests' fleet uses shorter intervals.
DEFAULT_INTERVALS = {
    "callers": {"entry_max_age_s": 10.0},
    "peers": {"gossip_s": 1.0, "timeout_s": 1.0},
    "platform": {
        "timeout_s": 2.0,
        "watch_s": 20.0,
        "poll_s": 2.0,
        "writes_per_s": 20.0,
        "reads_per_s": 50.0,
    },
    "engines": {"report_s": 0.5, "cache_events_s": 1.0},
    "journal": {"wait_s": 3.0},
    "stewards": {"lease_s": 6.0, "plan_s": 2.0},
    "stop": {"grace_s": 0.0},
}
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
SETTLE_S = 3.0
WATCHED_S = 12.0
AT_ONCE = 32
HTTP_OK = 200
FAST_ENGINE = {
    "slots": 256,
    "speed": 1,
    "prefill_tokens_per_s": 1e9,
    "decode_tokens_per_s": 1e9,
    "kv_limit_tokens": 10**9,
}


def cpu_s(pid):
    """Return the processor time that a process has used, in seconds."""
    fields = pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_bytes(pid):
    """Return the memory that a process has resident, in bytes."""
    fields = pathlib.Path(f"/proc/{pid}/statm").read_text().split()
    return int(fields[1]) * PAGE_BYTES


def make_document(deployments):
    """Return a configuration with as many deployments; the first is letter-models."""
    sections = {"letter-models": DEPLOYMENT}
    for number in range(1, deployments):
        # Each of its own content: sections alike would be one object, read once.
        sections[f"deployment-{number}"] = merged(DEPLOYMENT, {"version": f"v{number}"})
    return {"deployments": sections, "services": {}}


class Lab:
    """One small system under measurement, with the daemons' default intervals."""

    def __init__(self, fleet, hosts, engine):
        self.fleet = fleet
        self.hosts = hosts
        self.engine = engine
        self.callers = [host.addresses["callers"] for host in hosts]

    async def list_engines(self, count, address, group="letter-models"):
        """List one engine under more names, as if there were as many engines.

        The daemon polls each name apart; what the engine itself does is no part of
        any figure.
        """
        url = f"http://{self.fleet.platform.address}/v1/hosts"
        headers = {
            "Authorization": f"Bearer {PLATFORM_TOKEN}",
            "X-Client-Name": "launcher",
        }
        for number in range(count):
            item = {
                "name": f"listed-{number}",
                "kind": "engine",
                "group": group,
                "address": address,
                "zone": "suwon-a",
                "region": "gyeonggi",
                "state": "live",
            }
            async with self.fleet.session.post(url, json=item, headers=headers):
                pass

    def holding(self, streams):
        """Return a coroutine function that tells whether as many streams stand."""

        async def all_in():
            status = await self.hosts[0].status()
            held = sum(item["in_flight"] for item in status["endpoints"])
            return held >= streams

        return all_in

    def in_force(self, number):
        """Return a coroutine function that tells whether all hosts have a number."""

        async def on_all():
            for host in self.hosts:
                if (await host.status())["config_number"] != number:
                    return False
            return True

        return on_all

    async def calls(self):
        """Return the platform's count of calls by client and kind."""
        return (await self.fleet.platform.counters())["calls"]


async def open_lab(fleet, hosts=1, deployments=1):
    """Start a platform, one fast engine and some daemons, and wait until all serve."""
    await fleet.start_platform()
    await fleet.put_config(make_document(deployments))
    engine = await fleet.start_engine("engine-1", **FAST_ENGINE)
    names = [f"host-{number}" for number in range(hosts)]
    started = [await fleet.start_host(name, **DEFAULT_INTERVALS) for name in names]
    await fleet.wait_until_served(started, 1)
    return Lab(fleet, started, engine)


def in_lab(measure, **options):
    """Run a measurement in a fresh lab; return what it returns."""

    async def run():
        async with Fleet() as fleet:
            return await measure(await open_lab(fleet, **options))

    return asyncio.run(run())


async def stream_once(session, address, number, tokens):
    """Read one streamed answer to its end."""
    body = {
        "model": "letter-models",
        "prompt": f"prompt {number} of the capacity run",
        "max_tokens": tokens,
        "stream": True,
    }
    async with session.post(f"http://{address}/v1/completions", json=body) as answer:
        if answer.status != 200:
            raise RuntimeError(f"refused: {await answer.text()}")
        data = await answer.read()
    if b"[DONE]" not in data:
        raise RuntimeError("an answer of the capacity run was cut")


async def stream_many(session, address, requests, tokens):
    """Read many streamed answers, some at a time."""
    free = asyncio.Semaphore(AT_ONCE)

    async def one(number):
        async with free:
            await stream_once(session, address, number, tokens)

    await asyncio.gather(*(one(number) for number in range(requests)))


def relay_points(sizes):
    """Return (requests, tokens, processor s) of relaying as much through a daemon."""

    async def measure(lab):
        points = []
        pid = lab.hosts[0].pid
        address = lab.callers[0]
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            await stream_many(session, address, AT_ONCE, 4)
            for requests, tokens in sizes:
                start_s = cpu_s(pid)
                await stream_many(session, address, requests, tokens)
                points.append((requests, tokens, cpu_s(pid) - start_s))
        return points

    return in_lab(measure)


def entry_points(sizes):
    """Return (answers, processor s) of answering /v1/entry as often."""

    async def measure(lab):
        points = []
        pid = lab.hosts[0].pid
        url = f"http://{lab.callers[0]}/v1/entry?deployment=letter-models"
        async with aiohttp.ClientSession() as session:
            for answers in sizes:
                start_s = cpu_s(pid)
                for _ in range(answers):
                    async with session.get(url) as answer:
                        await answer.read()
                points.append((answers, cpu_s(pid) - start_s))
        return points

    return in_lab(measure)


def resident_points(sizes):
    """Return (open streams, resident bytes) of a daemon with streams standing open."""

    async def measure(lab):
        points = []
        pid = lab.hosts[0].pid
        # So slow that no stream ends while it is looked at.
        await lab.engine.control(slow_factor=10_000.0)
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as session:
            tasks = []
            for streams in sizes:
                while len(tasks) < streams:
                    call = stream_once(session, lab.callers[0], len(tasks), 1000)
                    tasks.append(asyncio.ensure_future(call))
                await wait_until(lab.holding(streams), f"{streams} streams in flight")
                await asyncio.sleep(1.0)
                points.append((streams, resident_bytes(pid)))
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
        return points

    return in_lab(measure)


def engines_point(engines):
    """Return bytes/s to and from listed engines, and the daemon's share of a core."""

    async def measure(lab):
        host, port = lab.engine.address.rsplit(":", 1)
        counter = Counter(int(port))
        relay_port = await counter.start()
        await lab.list_engines(engines, f"{host}:{relay_port}")
        await asyncio.sleep(SETTLE_S)
        pid = lab.hosts[0].pid
        start_bytes, start_s = counter.sent_bytes, cpu_s(pid)
        await asyncio.sleep(WATCHED_S)
        rate = (counter.sent_bytes - start_bytes) / WATCHED_S
        share = (cpu_s(pid) - start_s) / WATCHED_S * 100.0
        await counter.close()
        return rate, share

    return in_lab(measure)


def hosts_point(hosts):
    """Return a host's platform calls a second by kind, and its share of a core."""

    async def measure(lab):
        await asyncio.sleep(SETTLE_S)
        start_calls = await lab.calls()
        start_s = [cpu_s(host.pid) for host in lab.hosts]
        await asyncio.sleep(WATCHED_S)
        end_calls = await lab.calls()
        kinds = {"GET": 0.0, "PUT": 0.0, "WATCH": 0.0}
        for host in lab.hosts:
            for kind in kinds:
                before = start_calls.get(host.name, {}).get(kind, 0)
                after = end_calls.get(host.name, {}).get(kind, 0)
                kinds[kind] += (after - before) / WATCHED_S / hosts
        used_s = sum(cpu_s(host.pid) for host in lab.hosts) - sum(start_s)
        return kinds, used_s / WATCHED_S / hosts * 100.0

    return in_lab(measure, hosts=hosts)


def list_point(replicas):
    """Return bytes/s from the platform to one host, and the host's share of a core.

    The replicas belong to a deployment that the host doesn't serve: what is measured
    is the list itself, with what it brings of the configuration and of other hosts.
    """

    async def measure(lab):
        host, port = lab.fleet.platform.address.rsplit(":", 1)
        counter = Counter(int(port))
        urls = [f"http://{host}:{await counter.start()}"]
        changes = merged(DEFAULT_INTERVALS, {"platform": {"urls": urls}})
        watched = await lab.fleet.start_host("host-watched", **changes)
        await lab.list_engines(replicas, "127.0.0.1:9", group="elsewhere")
        await asyncio.sleep(SETTLE_S)
        start_bytes, start_s = counter.sent_bytes, cpu_s(watched.pid)
        await asyncio.sleep(WATCHED_S)
        rate = (counter.sent_bytes - start_bytes) / WATCHED_S
        share = (cpu_s(watched.pid) - start_s) / WATCHED_S * 100.0
        await counter.close()
        return rate, share

    return in_lab(measure)


def start_point(deployments):
    """Return the platform calls of one host's start, until callers may come."""

    async def measure(lab):
        host = await lab.fleet.start_host("host-new", **DEFAULT_INTERVALS)
        await wait_until(host.is_ready, "the new host to be ready")
        return sum((await lab.calls())["host-new"].values())

    return in_lab(measure, deployments=deployments)


def adoption_point(hosts):
    """Return how long a patch takes to be in force on all hosts, in seconds."""

    async def measure(lab):
        loop = asyncio.get_running_loop()
        longest_s = 0.0
        for number in range(1, 6):
            patch = {"hosts": {"stale_limit_s": 8.0 + number / 100}}
            started_s = loop.time()
            answer = await lab.hosts[0].patch(number, patch, f"patch-{number}")
            if answer.status != HTTP_OK:
                raise RuntimeError(f"a patch was refused: {answer.body}")
            await wait_until(lab.in_force(number + 1), f"number {number + 1}")
            longest_s = max(longest_s, loop.time() - started_s)
        return longest_s

    return in_lab(measure, hosts=hosts)


def stewards_point(deployments):
    """Return the platform writes a second of one host that stewards deployments."""

    async def measure(lab):
        await asyncio.sleep(2 * SETTLE_S)
        before = (await lab.calls())["host-0"].get("PUT", 0)
        await asyncio.sleep(WATCHED_S)
        return ((await lab.calls())["host-0"].get("PUT", 0) - before) / WATCHED_S

    return in_lab(measure, deployments=deployments)


def measure_serving():
    """Return the lines of a daemon that serves."""
    # One request's cost apart from its tokens', each by its own sweep.
    by_request = relay_points([(n, 1) for n in (500, 1000, 1500, 2000)])
    by_token = relay_points([(200, n) for n in (50, 100, 200, 400)])
    return [
        fit_line(
            "requests relayed by a daemon",
            "requests",
            "s of a core",
            [(requests, used_s) for requests, _, used_s in by_request],
        ),
        fit_line(
            "events relayed by a daemon",
            "events",
            "s of a core",
            [(requests * tokens, used_s) for requests, tokens, used_s in by_token],
        ),
        fit_line(
            "entry answers of a daemon",
            "answers",
            "s of a core",
            entry_points((500, 1000, 1500, 2000)),
        ),
        fit_line(
            "a daemon's resident memory",
            "open streams",
            "bytes",
            resident_points((0, 50, 100, 200)),
        ),
    ]


def measure_control():
    """Return the lines of what a daemon does for control, callers apart."""
    engines = [(n, *engines_point(n)) for n in (4, 8, 16, 32)]
    hosts = [(n, *hosts_point(n)) for n in (2, 4, 6, 8)]
    lists = [(n, *list_point(n)) for n in (50, 100, 200, 400)]
    return [
        fit_line(
            "load reports and cache events of a daemon",
            "engines",
            "bytes/s",
            [(n, rate) for n, rate, _ in engines],
        ),
        fit_line(
            "an idle daemon's time",
            "engines",
            "% of a core",
            [(n, share) for n, _, share in engines],
        ),
        fit_line(
            "a host's reads at the platform",
            "hosts",
            "reads/s",
            [(n, kinds["GET"] + kinds["WATCH"]) for n, kinds, _ in hosts],
        ),
        fit_line(
            "an idle daemon's time, by hosts",
            "hosts",
            "% of a core",
            [(n, share) for n, _, share in hosts],
        ),
        fit_line(
            "what a host hears from the platform",
            "replicas listed",
            "bytes/s",
            [(n, rate) for n, rate, _ in lists],
        ),
        fit_line(
            "an idle daemon's time, by the list",
            "replicas listed",
            "% of a core",
            [(n, share) for n, _, share in lists],
        ),
        fit_line(
            "platform calls of one start",
            "deployments",
            "calls",
            [(n, start_point(n)) for n in (2, 5, 10, 20)],
        ),
        fit_line(
            "a patch in force on all hosts, the longest of five",
            "hosts",
            "s",
            [(n, adoption_point(n)) for n in (1, 2, 4, 8)],
        ),
        fit_line(
            "a steward's writes at the platform",
            "deployments",
            "writes/s",
            [(n, stewards_point(n)) for n in (1, 2, 4, 8)],
        ),
    ]
