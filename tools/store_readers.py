"""What it costs when all hosts read the store at once.

``store_readers.py [--hosts N,...] [--endpoints N] [--processes N] [--seconds S]`` runs
the part of many hosts that follows the store in a few processes, and a store in
another. First a few hosts watch the store for all; then its answers to them get lost,
and each host reads the store itself. The store is a stand-in that encodes each list
once, and the hosts share a few cores, so the times are upper bounds. Prints a line for
each number of hosts and period: before the loss, from the loss on, and after that.
"""

import argparse
import asyncio
import multiprocessing
import os
import pathlib
import sys

from aiohttp import web

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent))

from platform_samples import (  # noqa: E402
    IDEMPOTENT_ROUTE,
    sample_configuration,
    sample_endpoint_entry,
    sample_host_settings,
)
from processes import EXIT_TIMEOUT_S  # noqa: E402
from relay_bench import cpu_s  # noqa: E402

from gypsumusher_entry.context import Context  # noqa: E402
from gypsumusher_entry.metrics import Metrics  # noqa: E402
from gypsumusher_entry.store_watcher import StoreWatcher  # noqa: E402
from gypsumusher_platform import StoreClient  # noqa: E402
from gypsumusher_process import format_fields, run_event_loop  # noqa: E402
from gypsumusher_routing import ALL_ON  # noqa: E402
from gypsumusher_standins.object_store_server import ObjectStoreServer  # noqa: E402

# Hosts that watch the store for all.
WATCHERS = 3
STORE_TIMEOUT_S = 2.0
POLL_S = 0.01


class CountingStore(ObjectStoreServer):
    """A store that counts the bytes of its responses, and encodes each list once."""

    def __init__(self):
        super().__init__()
        self.sent_bytes = 0
        self._lists = {}

    async def _handle(self, request):
        response = await super()._handle(request)
        self.sent_bytes += len(response.body)
        return response

    async def _dispatch(self, request):
        kind = request.match_info["kind"]
        is_list = request.method == "GET" and "name" not in request.match_info
        if not is_list or "watch" in request.query:
            return await super()._dispatch(request)
        revision, body = self._lists.get(kind, (None, None))
        if revision != self.revision:
            body = (await super()._dispatch(request)).body
            self._lists[kind] = self.revision, body
        return web.Response(body=body, content_type="application/json")


def create_host(number, count, address, state):
    """Return the context of a host and what follows the store for it."""
    ip = f"10.0.{number // 250}.{number % 250 + 1}"
    settings = sample_host_settings(address, ip, f"host-{number}")
    clock = asyncio.get_running_loop().time
    context = Context(settings, clock, lambda *_, **__: None, Metrics(), ALL_ON)
    context.hosts.existing_count = lambda: count
    context.is_watcher = lambda: number < WATCHERS
    context.peers_see_store = lambda: not state["is_lost"]
    store = StoreClient(address, STORE_TIMEOUT_S, clock)
    return context, store, StoreWatcher(context, store)


async def run_hosts(numbers, count, address, pipe):
    """Run hosts until the pipe says None; tell when each change is known.

    A received ``lost`` ends the watchers; a number is the version to wait for.
    """
    state = {"is_lost": False}
    hosts = [create_host(number, count, address, state) for number in numbers]
    for _, _, watcher in hosts:
        await watcher.start()
    loop = asyncio.get_running_loop()
    while True:
        message = await loop.run_in_executor(None, pipe.recv)
        if message is None:
            break
        if message == "lost":
            state["is_lost"] = True
            for context, _, _ in hosts:
                if context.is_watcher():
                    await context.close()
            hosts = [host for host in hosts if not host[0].is_watcher()]
            continue
        while any(context.configuration_version < message for context, _, _ in hosts):
            await asyncio.sleep(POLL_S)
        pipe.send(message)
    for context, store, _ in hosts:
        await context.close()
        await store.close()


def run_hosts_process(numbers, count, address, pipe):
    """Entry point of a process of hosts."""
    run_event_loop(run_hosts(numbers, count, address, pipe))


class HostProcesses:
    """The processes of all hosts."""

    def __init__(self, count, process_count, address):
        spawn = multiprocessing.get_context("spawn")
        self._pipes, self._processes = [], []
        for first in range(process_count):
            pipe, other_end = spawn.Pipe()
            numbers = range(first, count, process_count)
            arguments = (numbers, count, address, other_end)
            process = spawn.Process(target=run_hosts_process, args=arguments)
            process.start()
            self._pipes.append(pipe)
            self._processes.append(process)

    def send(self, message):
        """Send a message to all processes."""
        for pipe in self._pipes:
            pipe.send(message)

    async def until_known(self, version):
        """Wait until all hosts have a version of the configuration."""
        self.send(version)
        loop = asyncio.get_running_loop()
        for pipe in self._pipes:
            await loop.run_in_executor(None, pipe.recv)

    def cpu_s(self):
        """Return the processor time of all processes, in seconds."""
        return sum(cpu_s(process.pid) for process in self._processes)

    def close(self):
        """End all processes."""
        for pipe, process in zip(self._pipes, self._processes):
            if process.is_alive():
                pipe.send(None)
            process.join(EXIT_TIMEOUT_S)
            if process.is_alive():
                process.kill()
                process.join()


async def measure(count, endpoints, process_count, duration_s):
    """Print the costs of one number of hosts."""
    store = CountingStore()
    address = await store.start()
    store.put("config", "main", sample_configuration(1, IDEMPOTENT_ROUTE))
    for number in range(endpoints):
        entry = sample_endpoint_entry(f"10.1.{number // 250}.{number % 250 + 1}:80")
        store.put("servers", f"e-{number}", entry)
    hosts = HostProcesses(count, process_count, address)
    loop = asyncio.get_running_loop()
    try:
        await hosts.until_known(1)
        await asyncio.sleep(2 * duration_s)
        for version, period in enumerate(("watched", "loss", "reading"), start=2):
            began_s = loop.time()
            calls, sent_bytes = len(store.calls), store.sent_bytes
            used_s = hosts.cpu_s()
            known_s = None
            if period != "watched":
                if period == "loss":
                    hosts.send("lost")
                store.put(
                    "config", "main", sample_configuration(version, IDEMPOTENT_ROUTE)
                )
                await hosts.until_known(version)
                known_s = round(loop.time() - began_s, 2)
            await asyncio.sleep(max(0.0, began_s + duration_s - loop.time()))
            took_s = loop.time() - began_s
            fields = {
                "period": period,
                "hosts": count,
                "endpoints": endpoints,
                "seconds": round(took_s, 2),
                "calls_per_host": round((len(store.calls) - calls) / count, 2),
                "kb_per_host": round((store.sent_bytes - sent_bytes) / 1e3 / count, 1),
                "cpu_ms_per_host": round(1e3 * (hosts.cpu_s() - used_s) / count, 1),
                "known_after_s": known_s,
            }
            print(format_fields(fields), flush=True)
    finally:
        hosts.close()
        await store.close()


def main():
    """Measure each number of hosts in turn."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", default="30,100,300", metavar="N,...")
    parser.add_argument("--endpoints", type=int, default=910)
    parser.add_argument("--processes", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=5.0)
    options = parser.parse_args()
    for count in options.hosts.split(","):
        arguments = options.endpoints, options.processes, options.seconds
        asyncio.run(measure(int(count), *arguments))
    return os.EX_OK


if __name__ == "__main__":
    sys.exit(main())
