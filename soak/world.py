"""A whole system on loopback for one soak run, and the faults that befall it."""

import asyncio
import pathlib
import shutil
import tempfile

import aiohttp
from backend import Backend
from callers import Caller
from entry_process import EntryProcess
from platform_samples import configuration, entry, many_routes
from processes import free_ports
from proxies import Proxy
from records import ANY_TIMES, ONCE, STREAM, Records

from gypsumusher_entry.peer_sync import PEER_SYNC_PATH
from gypsumusher_entry.sync_messages import decode_sync_response
from gypsumusher_ports import DecodeError
from gypsumusher_standins.object_store import ObjectStore

__all__ = ["World"]

HOSTS, ENDPOINTS, CALLERS = 3, 4, 8
# Routes that an operator adds at once.
MANY_ROUTES = 1400
# How often an endpoint renews its entry, and hosts are asked for their versions, in
# seconds.
BEAT_S = 0.5
ASK_S = 0.1
# After its entry says that it leaves, an endpoint stays for so long, in seconds; it is
# longer than the bound after which work for it is a fault.
LEAVES_FOR_S = 6.0
START_TIMEOUT_S = 20.0


class World:
    """Hosts as processes; store, endpoints, links and callers in this process.

    Parameters
    ----------
    seed : int
        Seed of the run.
    """

    def __init__(self, seed):
        self.seed = seed
        self.records = Records()
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="gypsumusher-soak-"))
        self.store = ObjectStore()
        self.hosts = []
        self.backends = []
        self.links = []
        self.store_links = []
        self._began_s = 0.0
        self._version = 0
        self._further_routes = []
        self._beats = {}
        self._crashed_s = {}
        self._lapsed = False
        self._callers = []
        self._tasks = set()

    def clock(self):
        """Return the seconds since the callers began."""
        return asyncio.get_running_loop().time() - self._began_s

    async def start(self):
        """Start everything and wait until each host takes callers."""
        address = await self.store.start()
        self.write_configuration()
        for number in range(ENDPOINTS):
            backend = Backend(f"e-{number}", self.clock, self.records)
            self.backends.append(backend)
            self.links.append(Proxy(await backend.start()))
            await self.links[-1].start()
            self._beats[backend.name] = [1, 1, "ready"]
        self._renew()
        peer_port = free_ports("127.0.0.1", 1)[0]
        for number in range(HOSTS):
            # Every address of 127.0.0.0/8 leads back to this machine.
            ip = f"127.{1 + self.seed % 200}.{1 + peer_port % 250}.{1 + number}"
            link = Proxy(address)
            self.store_links.append(link)
            store = await link.start()
            host = EntryProcess(
                f"host-{number}",
                ip,
                f"zone-{number % 2}",
                store,
                peer_port,
                self.folder,
            )
            self.hosts.append(host)
            await host.start()
        await self._until_ready()
        self._began_s = asyncio.get_running_loop().time()
        directories = [host.directory for host in self.hosts]
        for number in range(CALLERS):
            caller = Caller(
                number, self.seed, self.clock, self.records.outcomes, directories
            )
            self._callers.append(caller)
            await caller.start()
        self.spawn(self._keep_entries())
        for host in self.hosts:
            self.spawn(self._watch_version(host))

    def drop_logs(self):
        """Remove the folder with the hosts' logs."""
        shutil.rmtree(self.folder)

    async def close(self):
        """End everything that was started; the logs stay."""
        for caller in self._callers:
            await caller.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            host.destroy()
        for part in (*self.backends, *self.links, *self.store_links, self.store):
            await part.close()

    def spawn(self, coroutine):
        """Run something beside the callers; its failure ends the run."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        return task

    def failures(self):
        """Return the failures of what ran beside the callers."""
        done = [task for task in self._tasks if task.done() and not task.cancelled()]
        return [task.exception() for task in done if task.exception() is not None]

    def grow_configuration(self):
        """Add routes by the thousand, as an operator does when a customer joins."""
        seed = self._version
        self._further_routes += many_routes(MANY_ROUTES, {"kind": "idempotent"}, seed)
        self.write_configuration()

    def write_configuration(self):
        """Write the next version of the configuration, as an operator does."""
        self._version += 1
        routes = []
        for kind, wire, attempts in (
            (ANY_TIMES, "idempotent", 2),
            (ONCE, "non_idempotent", 1),
            (STREAM, "stream", 2),
        ):
            routes.append(
                {
                    "name": kind,
                    "path_prefix": f"/{kind}/",
                    "kind": wire,
                    "attempts": attempts,
                    "resumable": kind == STREAM,
                    "goal_ms": 200 + self._version,
                }
            )
        content = configuration(self._version, *routes, *self._further_routes)
        self.store.put("config", "main", content)
        if self._version > 1:
            self.records.written.append((self.clock(), self._version))

    def set_state(self, backend, state):
        """Write an endpoint's entry with a state; an empty one takes it away."""
        self._beats[backend.name][2] = state
        if not self._lapsed:
            self._renew()

    def begin_life(self, backend, address):
        """Note that an endpoint runs anew, at another address under its link."""
        number = self.backends.index(backend)
        self.links[number].target = address
        born, _, _ = self._beats[backend.name]
        self._beats[backend.name] = [born + 1, 1, "ready"]
        if not self._lapsed:
            self._renew()

    def lapse(self, is_lapsed):
        """Have the store lose the endpoints' entries, or take them again."""
        self._lapsed = is_lapsed
        if not is_lapsed:
            self._renew()
            return
        for backend in self.backends:
            self._remove(backend.name)

    async def stop_host(self, host, pause_s):
        """Stop a host as planned, and start it again after a pause."""
        await host.terminate_and_wait()
        await asyncio.sleep(pause_s)
        await host.start()

    async def kill_host(self, host, pause_s):
        """Kill a host and start it again."""
        host.resume()
        host.destroy()
        await asyncio.sleep(pause_s)
        await host.start()

    async def restart_endpoint(self, backend, pause_s):
        """Crash an endpoint; it comes back under its id."""
        number = self.backends.index(backend)
        self._crashed_s[backend.name] = self.clock()
        await backend.close()
        self.links[number].reset()
        await asyncio.sleep(pause_s)
        backend.mode = "well"
        self.begin_life(backend, await backend.start())

    async def leave_endpoint(self, backend):
        """Have an endpoint leave as planned, and come back anew."""
        leaves_s = self.clock()
        life = self._beats[backend.name][0]
        self.set_state(backend, "draining")
        while self.clock() < leaves_s + LEAVES_FOR_S:
            await asyncio.sleep(ASK_S)
            if self._beats[backend.name][0] != life:
                # It crashed meanwhile, and its new life doesn't leave.
                ended_s = self._crashed_s[backend.name]
                self.records.leaves.append((backend.name, leaves_s, ended_s))
                return
        self.records.leaves.append((backend.name, leaves_s, self.clock()))
        self.set_state(backend, "")
        await self.restart_endpoint(backend, 0.3)

    def _renew(self):
        for backend in self.backends:
            beats = self._beats[backend.name]
            born, beat, state = beats
            if not state:
                self._remove(backend.name)
                continue
            beats[1] = beat + 1
            number = self.backends.index(backend)
            content = entry(
                self.links[number].address,
                state,
                beat,
                zone=f"zone-{number % 2}",
                born=born,
            )
            self.store.put("servers", backend.name, content)

    def _remove(self, name):
        if self.store.has("servers", name):
            self.store.remove("servers", name)

    async def _keep_entries(self):
        while True:
            await asyncio.sleep(BEAT_S)
            if not self._lapsed:
                self._renew()

    async def _until_ready(self):
        async with asyncio.timeout(START_TIMEOUT_S):
            for host in self.hosts:
                while await self._version_of(host) < 1:
                    await asyncio.sleep(0.05)

    async def _watch_version(self, host):
        """Note again and again which configuration a host has in force."""
        while True:
            await asyncio.sleep(ASK_S)
            life = f"{host.name}/{host.lives}"
            version = await self._version_of(host)
            if version and life == f"{host.name}/{host.lives}":
                self.records.versions.append((life, self.clock(), version))

    async def _version_of(self, host):
        try:
            timeout = aiohttp.ClientTimeout(total=1.0)
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.get(
                    f"http://{host.peers}{PEER_SYNC_PATH}"
                ) as answer:
                    response = decode_sync_response(host.name, await answer.read())
        except (aiohttp.ClientError, TimeoutError, OSError, DecodeError):
            return 0
        stored = response.configuration
        return 0 if stored is None else stored.content["version"]
