"""The system under test of one soak run, on loopback, with means to disturb it."""

import asyncio
import pathlib
import random
import shutil
import tempfile
import time

import aiohttp
from callers import TOKEN_COUNTS, Caller, Demand, draw_parts, encode_parts
from deployments import ENGINES, PLAIN, SMALL
from entry_process import START_FILE, EntryProcess
from platform_samples import sample_configuration, sample_endpoint_entry, sample_routes
from processes import free_ports
from proxies import Proxy
from records import (
    CRASHING_PART,
    CRASHING_PREFIX,
    IDEMPOTENT,
    NON_IDEMPOTENT,
    PROMPT,
    STREAM,
    AccountKey,
    HostEnd,
    LinkCut,
    Records,
    ServingSpan,
    StatedLimit,
    deadline_s,
)
from soak_cloud import SoakCloud
from soak_endpoint import SoakEndpoint

from gypsumusher_entry.peer_sync import PEER_SYNC_PATH
from gypsumusher_entry.registration import HOSTS_KIND
from gypsumusher_entry.sync_messages import decode_sync_response
from gypsumusher_ports import DecodeError
from gypsumusher_standins.object_store_server import ObjectStoreServer

__all__ = ["SoakSystem"]

# Routes that a large configuration change adds.
ADDED_ROUTES = 1400
# Interval at which hosts are polled for the configuration in force, in a deployment of
# `POLLED_HOSTS` or fewer; longer in proportion where there are more.
POLL_S, POLLED_HOSTS = 0.1, 8
# Time that a host's process takes to load the program, where many load it at once.
LOADING_S_PER_HOST = 0.12
# Interval at which the soak checks whether its own process stood still, and the delay
# from which on it did.
STALL_CHECK_S, STALL_S = 0.05, 0.1
# Requests that an engine runs at once.
ENGINE_SLOTS = 64
# Heartbeats after whose absence an entry is removed.
MISSED_HEARTBEATS = 3
# How long a draining endpoint keeps running; longer than `checks.DRAIN_S`, after which
# a request sent to it is a violation.
DRAINING_S = 6.0
# Delay of the restart of a host that has ended by itself.
RESTART_DELAY_S = 0.3
START_TIMEOUT_S, START_TIMEOUT_PER_HOST_S = 20.0, 1.0
# How long an endpoint is down after a request's content has crashed it, and the pause
# between two attempts at that request.
CRASHED_FOR_S, CRASHING_INTERVAL_S = 0.5, 0.15
# Pause between two prompts with a part that crashes engines.
CRASHING_PART_INTERVAL_S = 0.25
# Entries that another writer may leave, as changes of a valid one.
ODD_ENTRIES = (
    {"warmup_left_ms": 10**400},
    {"seq": 2**80},
    {"slots": "64"},
    {"zone": "\ud800"},
    {"state": "asleep"},
    {"addr": "255.255.255.255:80"},
    [["not", ["an", "entry"]]],
    None,
)


class SoakSystem:
    """Hosts run as processes; store, endpoints, links and callers in this process.

    Parameters
    ----------
    seed : int
        Seed of the run, from which callers draw.
    deployment : Deployment
        What to start.
    source : pathlib.Path or None
        Checkout whose entry host is run; None runs the one that is installed.
    """

    def __init__(self, seed, deployment=SMALL, source=None):
        self.seed = seed
        self.deployment = deployment
        self._source = source
        self.records = Records(deployment.retry_limit)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="gypsumusher-soak-"))
        self.store = ObjectStoreServer()
        self.cloud = SoakCloud(self.clock, self.records)
        self.demand = Demand()
        self.hosts = []
        # Addresses of the hosts' directories, which callers share.
        self._directories = []
        self._host_count = 0
        self._peer_port = free_ports("127.0.0.1", 1)[0]
        self._store_address = self._cloud_address = None
        # Engine and end of each handle.
        self._handles = {}
        self.backends = []
        self.links = []
        self.store_links = []
        self._began_s = 0.0
        self._version = 0
        self._extra_routes = []
        # Generation, heartbeat count and state of the entry, by endpoint.
        self._heartbeats = {}
        self._crashed_s = {}
        # Whether the entries of all endpoints have expired.
        self._lapsed = False
        self._callers = []
        self._crashing_count = 0
        self._crashing_rng = random.Random(f"{seed}/crashing")
        self._software_count = deployment.versions
        # Names of the endpoints that are restarting after a crash.
        self._restarting = set()
        self._tasks = set()

    def clock(self):
        """Return the seconds since the callers started."""
        return asyncio.get_running_loop().time() - self._began_s

    async def start(self):
        """Start everything, and wait until every host has a configuration."""
        self._store_address = await self.store.start()
        if self.deployment.accounts:
            self._cloud_address = await self.cloud.start()
        for number in range(self.deployment.accounts):
            self._add_key(f"account-{number}", 0.0)
        self.write_configuration()
        for endpoint in self._create_endpoints():
            endpoint.on_crash = self._on_content_crash
            self.backends.append(endpoint)
            self.links.append(Proxy(await endpoint.start()))
            await self.links[-1].start()
            self._heartbeats[endpoint.name] = [1, 1, "ready"]
        self._write_entries()
        have_served = self.deployment.have_served
        for _ in range(self.deployment.hosts):
            host = await self._start_next_host(len(self.hosts), not have_served)
            if have_served:
                record = {"ip": host.ip, "zone": host.zone}
                self.store.put(HOSTS_KIND, host.name, record)
        await asyncio.sleep(LOADING_S_PER_HOST * len(self.hosts))
        (self.folder / START_FILE).touch()
        self.spawn(self._renew_entries())
        await self._wait_until_ready()
        await asyncio.sleep(self.deployment.lead_s)
        self._began_s = asyncio.get_running_loop().time()
        self.records.began_unix_s = time.time()
        for number in range(self.deployment.callers):
            caller = Caller(
                number,
                self.seed,
                self.clock,
                self.records,
                self.deployment,
                self._directories,
                self.demand,
            )
            self._callers.append(caller)
            await caller.start()
        for endpoint in self.backends:
            self._begin_serving(endpoint)
        for host in self.hosts:
            self.spawn(self._poll_version(host))
            self.spawn(self._restart_ended(host))
        self.spawn(self._record_stalls())

    async def _start_next_host(self, index, is_first_start):
        """Start a new host in a place of `hosts`, the end included."""
        number = self._host_count
        self._host_count += 1
        # Every address of 127.0.0.0/8 is a loopback address.
        ip = f"127.{1 + self.seed % 200}.{1 + self._peer_port % 250}.{1 + number}"
        link = Proxy(self._store_address)
        host = EntryProcess(
            f"host-{number}",
            ip,
            f"zone-{index % self.deployment.zones}",
            await link.start(),
            self._peer_port,
            self.folder,
            self.deployment.retry_limit,
            self._source,
            self._cloud_address,
            is_first_start,
        )
        host.on_end = self._on_host_end
        self.hosts[index : index + 1] = [host]
        self.store_links[index : index + 1] = [link]
        self._directories[index : index + 1] = [host.directory]
        await host.start()
        return host

    async def replace_host(self, host, pause_s):
        """Remove a host for good; a spare, if any is left, joins after a pause."""
        if self._host_count >= self.deployment.hosts + self.deployment.spares:
            await self.kill_host(host, pause_s)
            return
        index = self.hosts.index(host)
        host.remove()
        await asyncio.sleep(pause_s)
        link = self.store_links[index]
        spare = await self._start_next_host(index, is_first_start=False)
        await link.close()
        self.spawn(self._poll_version(spare))
        self.spawn(self._restart_ended(spare))

    def _create_endpoints(self):
        """Return the endpoints of the plain service, then the engines."""
        deployment = self.deployment
        services = [(PLAIN, None)] * deployment.endpoints
        services += [(ENGINES, "prefill")] * deployment.prefill_engines
        services += [(ENGINES, "decode")] * deployment.decode_engines
        endpoints = []
        for number, (service, stage) in enumerate(services):
            endpoint = SoakEndpoint(
                f"e-{number}",
                self.clock,
                self.records,
                service,
                stage,
                deployment.plain_slots if service == PLAIN else None,
                self._handles,
                deployment.takes_stage_orders,
                deployment.event_interval_s,
                deployment.duration_factors[number % len(deployment.duration_factors)],
            )
            endpoint.version = f"v{1 + number % deployment.versions}"
            endpoints.append(endpoint)
        return endpoints

    def remove_logs(self):
        """Remove the folder with the hosts' settings and logs."""
        shutil.rmtree(self.folder)

    async def close(self):
        """Stop everything that was started; the logs stay."""
        await asyncio.gather(*(caller.close() for caller in self._callers))
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for host in self.hosts:
            host.note_end()
            host.destroy()
            host.note_end()
        for part in (*self.backends, *self.links, *self.store_links, self.store):
            await part.close()
        if self.deployment.accounts:
            await self.cloud.close()

    def spawn(self, coroutine):
        """Run a coroutine as a background task; `failures` returns its exception."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        return task

    def failures(self):
        """Return the exceptions of background tasks."""
        done = [task for task in self._tasks if task.done() and not task.cancelled()]
        return [task.exception() for task in done if task.exception() is not None]

    def add_routes(self):
        """Write a configuration with `ADDED_ROUTES` more routes."""
        seed = self._version
        self._extra_routes += sample_routes(ADDED_ROUTES, {"kind": "idempotent"}, seed)
        self.write_configuration()

    def _add_key(self, account, added_s):
        """Add a key to an account; the next configuration has it."""
        key = f"{account}-key-{len(self.records.keys)}"
        self.records.keys[key] = AccountKey(account, added_s, None)

    def change_key(self, target):
        """Take one key away, and give its account another one."""
        in_force = [k for k, v in self.records.keys.items() if v.withdrawn_s is None]
        key = in_force[target % len(in_force)]
        self._add_key(self.records.keys[key].account, self.clock())
        withdrawn = self.records.keys[key]._replace(withdrawn_s=self.clock())
        self.records.keys[key] = withdrawn
        self.write_configuration()

    def _tenants(self):
        """Return the accounts with the keys in force, as the platform stores them."""
        keys = {}
        for key, holder in self.records.keys.items():
            in_force = keys.setdefault(holder.account, [])
            if holder.withdrawn_s is None:
                in_force.append(key)
        return [{"name": name, "api_keys": keys[name]} for name in sorted(keys)]

    def write_configuration(self):
        """Write the next version of the configuration, as an operator would."""
        self._version += 1
        routes = []
        for kind, route_kind, attempts in (
            (IDEMPOTENT, "idempotent", 2),
            (NON_IDEMPOTENT, "non_idempotent", 1),
            (STREAM, "stream", 2),
            (PROMPT, "stream", 1),
        ):
            if kind not in self.deployment.request_kinds:
                continue
            routes.append(
                {
                    "name": kind,
                    "path_prefix": f"/{kind}/",
                    "kind": route_kind,
                    "attempts": attempts,
                    "resumable": kind == STREAM,
                    "service": self.deployment.service_of(kind),
                    "sticky": self.deployment.has_engines and route_kind == "stream",
                    "timeout_ms": int(deadline_s(kind) * 1000),
                    "goal_ms": 200 + self._version,
                }
            )
        content = sample_configuration(self._version, *routes, *self._extra_routes)
        if self.deployment.has_engines:
            engines = {"slots": ENGINE_SLOTS, "kv_tokens": 450_000, "link_mbps": 5e5}
            content["services"].append(
                {
                    "name": ENGINES,
                    "max_conns": self.deployment.max_connections,
                    "engine": engines,
                }
            )
        if self.deployment.accounts:
            content["tenants"] = self._tenants()
        self.store.put("config", "main", content)
        if self._version > 1:
            self.records.written.append((self.clock(), self._version))

    def set_state(self, endpoint, state):
        """Write an endpoint's entry with a state; an empty state removes the entry."""
        self._heartbeats[endpoint.name][2] = state
        if not self._lapsed:
            self._write_entries()

    def record_restart(self, endpoint, address):
        """Point an endpoint's link to its new address and write its new entry."""
        number = self.backends.index(endpoint)
        self.links[number].target = address
        generation, _, _ = self._heartbeats[endpoint.name]
        self._heartbeats[endpoint.name] = [generation + 1, 1, "ready"]
        if not self._lapsed:
            self._write_entries()

    def set_entries_lapsed(self, is_lapsed):
        """Remove the endpoints' entries and stop renewing them, or write them again."""
        self._lapsed = is_lapsed
        if not is_lapsed:
            self._write_entries()
            return
        for endpoint in self.backends:
            self._remove_entry(endpoint.instance_id)

    async def stop_host(self, host, pause_s):
        """Stop a host by SIGTERM, and start it again after a pause."""
        await host.terminate_and_wait()
        await asyncio.sleep(pause_s)
        await host.start()

    async def silence_endpoint(self, endpoint, duration_s):
        """Let an endpoint stand still: it gets and sends nothing, also no heartbeat.

        What it was sent meanwhile reaches it afterwards.
        """
        number = self.backends.index(endpoint)
        link, fields = self.links[number], self._heartbeats[endpoint.name]
        if fields[2] != "ready":
            return
        link.set_blocked(True, True)
        fields[2] = "silent"
        lapse_s = MISSED_HEARTBEATS * self.deployment.heartbeat_s
        await asyncio.sleep(min(lapse_s, duration_s))
        # A restart replaces the fields, and a planned leave changes the state.
        if duration_s > lapse_s and fields is self._heartbeats[endpoint.name]:
            if fields[2] == "silent":
                self._remove_entry(endpoint.instance_id)
            await asyncio.sleep(duration_s - lapse_s)
        link.set_blocked(False, False)
        if fields is self._heartbeats[endpoint.name] and fields[2] == "silent":
            self.set_state(endpoint, "ready")

    async def kill_host(self, host, pause_s):
        """Kill a host, and start it again after a pause."""
        host.resume()
        host.destroy()
        await asyncio.sleep(pause_s)
        await host.start()

    async def restart_endpoint(self, endpoint, pause_s):
        """Crash an endpoint, and restart it under a new id after a pause."""
        if endpoint.name in self._restarting:
            return
        self._restarting.add(endpoint.name)
        try:
            await self._crash_and_start(endpoint, pause_s)
        finally:
            self._restarting.discard(endpoint.name)

    def release_next_version(self, endpoints):
        """Give endpoints the next software version at their next planned restart."""
        self._software_count += 1
        for endpoint in endpoints:
            endpoint.next_version = f"v{self._software_count}"

    def _begin_serving(self, endpoint):
        """Record that an endpoint is ready with its software version."""
        span = ServingSpan(endpoint.name, endpoint.version, self.clock(), None)
        self.records.serving.append(span)

    def _end_serving(self, endpoint):
        """Record that an endpoint isn't ready any more."""
        serving = self.records.serving
        for number, span in enumerate(serving):
            if span.endpoint == endpoint.name and span.ended_s is None:
                serving[number] = span._replace(ended_s=self.clock())

    async def _crash_and_start(self, endpoint, pause_s):
        number = self.backends.index(endpoint)
        self._end_serving(endpoint)
        self._crashed_s[endpoint.name] = self.clock()
        former_id = endpoint.instance_id
        await endpoint.close()
        self.links[number].reset()
        await asyncio.sleep(pause_s)
        endpoint.mode = "well"
        endpoint.limit_per_s = None
        self.record_restart(endpoint, await endpoint.start())
        self.spawn(self._expire_entry(former_id))
        self._begin_serving(endpoint)

    def _on_content_crash(self, endpoint):
        """Crash an endpoint under the request that it runs, and restart it."""
        if endpoint.name not in self._restarting:
            self.spawn(self._restart_crashed(endpoint))

    async def _restart_crashed(self, endpoint):
        began_s = self.clock()
        await self.restart_endpoint(endpoint, CRASHED_FOR_S)
        span = ("endpoint_restart", endpoint.name, began_s, self.clock())
        self.records.spans.append(span)

    async def send_crashing_content(self, number, duration_s):
        """Send attempts at one request that crashes endpoints, to hosts in turn."""
        path = f"{CRASHING_PREFIX}{number}"
        until_s = self.clock() + duration_s
        while self.clock() < until_s:
            self._crashing_count += 1
            host = self.hosts[self._crashing_count % len(self.hosts)]
            self.spawn(self._send_crashing(path, host, self._crashing_count))
            await asyncio.sleep(CRASHING_INTERVAL_S)

    async def _send_crashing(self, path, host, count):
        request_id = f"crash-{self.seed}-{count}"
        self.records.sent[request_id] = (PLAIN, self.clock())
        self.records.crashing_sent[request_id] = (path, host.callers)
        await self._post(host, path, request_id, {}, b"bad")

    async def _post(self, host, path, request_id, headers, body=None):
        """Send one attempt whose response doesn't matter; each has its own body."""
        headers = {
            "Host": "shop.example",
            "X-Gypsumusher-Request-Id": request_id,
            "X-Gypsumusher-Deadline-Ms": "1500",
            **headers,
        }
        data = request_id.encode() if body is None else body
        timeout = aiohttp.ClientTimeout(total=3.0)
        try:
            async with aiohttp.ClientSession(timeout=timeout) as session:
                url = f"http://{host.callers}{path}"
                async with session.post(url, data=data, headers=headers) as response:
                    await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            # What becomes of the attempt is seen at the endpoints.
            return

    async def send_crashing_part(self, number, duration_s):
        """Send prompts that share a part that crashes engines, to hosts in turn."""
        part = f"{CRASHING_PART}{number:x}"
        until_s = self.clock() + duration_s
        while self.clock() < until_s:
            self._crashing_count += 1
            host = self.hosts[self._crashing_count % len(self.hosts)]
            self.spawn(self._send_prompt(part, host, self._crashing_count))
            await asyncio.sleep(CRASHING_PART_INTERVAL_S)

    async def _send_prompt(self, part, host, count):
        request_id = f"part-{self.seed}-{count}"
        parts = draw_parts(self._crashing_rng, f"f{count:x}")
        parts.insert(self._crashing_rng.randrange(len(parts)), part)
        kind = self._crashing_rng.choice((STREAM, PROMPT))
        self.records.sent[request_id] = (ENGINES, self.clock())
        self.records.hosts[request_id] = host.callers
        headers = {
            "X-Gypsumusher-Token-Count": TOKEN_COUNTS[kind],
            "X-Gypsumusher-Prompt-Prefix": encode_parts(parts),
        }
        await self._post(host, f"/{kind}/x", request_id, headers)

    async def limit_endpoint(self, endpoint, limit_per_s, duration_s):
        """Have an endpoint state a limit, until it is restarted at the latest."""
        if endpoint.limit_per_s is not None:
            return
        endpoint.limit_per_s = limit_per_s
        began_s = self.clock()
        crashed_s = self._crashed_s.get(endpoint.name)
        while (
            self.clock() < began_s + duration_s
            and self._crashed_s.get(endpoint.name) == crashed_s
        ):
            await asyncio.sleep(POLL_S)
        endpoint.limit_per_s = None
        ended_s = self.clock()
        if self._crashed_s.get(endpoint.name) != crashed_s:
            ended_s = self._crashed_s[endpoint.name]
        stated = StatedLimit(endpoint.name, limit_per_s, began_s, ended_s)
        self.records.limits.append(stated)

    def set_apart(self, groups):
        """Let hosts exchange messages only within their group.

        Parameters
        ----------
        groups : list of list of EntryProcess
            The groups; hosts in none of them reach all others.
        """
        for group in groups:
            others = [host for other in groups if other is not group for host in other]
            for host in group:
                host.cut_off([other.ip for other in others])

    async def cut_links(self, hosts, mode, duration_s, share=1.0):
        """Disturb the links of hosts to a share of the endpoints for some time.

        Each host loses other endpoints, unless it loses all.
        """
        count = round(share * len(self.links))
        began_s = self.clock()
        cut = {}
        for number, host in enumerate(hosts):
            chosen = [self.links[(number + n) % len(self.links)] for n in range(count)]
            cut[host] = [link.address for link in chosen]
            host.set_links(cut[host], mode)
        try:
            await asyncio.sleep(duration_s)
        finally:
            for host, addresses in cut.items():
                host.set_links(addresses, None)
            if share == 1.0:
                names = frozenset(host.callers for host in hosts)
                cut_span = LinkCut(names, mode, began_s, self.clock())
                self.records.link_cuts.append(cut_span)

    def remove_host_records(self):
        """Remove all records by which the hosts find each other."""
        for host in self.hosts:
            if self.store.has(HOSTS_KIND, host.name):
                self.store.remove(HOSTS_KIND, host.name)

    async def drain_endpoint(self, endpoint, is_listed=True):
        """Drain an endpoint, remove its entry, and restart it.

        Parameters
        ----------
        endpoint : SoakEndpoint
            The endpoint, which says in its responses that it leaves.
        is_listed : bool
            Whether its entry says so, too.
        """
        draining_s = self.clock()
        generation = self._heartbeats[endpoint.name][0]
        endpoint.is_leaving = True
        if is_listed:
            self.set_state(endpoint, "draining")
        self._end_serving(endpoint)
        has_crashed = False
        while self.clock() < draining_s + DRAINING_S:
            await asyncio.sleep(POLL_S)
            has_crashed = self._heartbeats[endpoint.name][0] != generation
            if has_crashed:
                break
        stopped_s = self._crashed_s[endpoint.name] if has_crashed else self.clock()
        if is_listed:
            self.records.leaves.append((endpoint.name, draining_s, stopped_s))
        if has_crashed:
            # The restarted endpoint isn't draining.
            return
        self.set_state(endpoint, "")
        if endpoint.next_version is not None:
            endpoint.version, endpoint.next_version = endpoint.next_version, None
        await self.restart_endpoint(endpoint, 0.3)

    def _write_entries(self):
        """Write the entries of all endpoints, with the next heartbeat count."""
        for endpoint in self.backends:
            fields = self._heartbeats[endpoint.name]
            generation, heartbeat, state = fields
            if state == "silent":
                continue
            if not state:
                self._remove_entry(endpoint.instance_id)
                continue
            fields[1] = heartbeat + 1
            number = self.backends.index(endpoint)
            content = sample_endpoint_entry(
                self.links[number].address,
                state,
                heartbeat,
                zone=f"zone-{number % self.deployment.zones}",
                born=generation,
                service=endpoint.service,
                version=endpoint.version,
            )
            if endpoint.stage is not None:
                content |= {"stage": endpoint.stage, "slots": ENGINE_SLOTS}
            self.store.put("servers", endpoint.instance_id, content)

    def _remove_entry(self, instance_id):
        if self.store.has("servers", instance_id):
            self.store.remove("servers", instance_id)

    async def write_odd_entries(self, duration_s):
        """Write entries of another writer, which name no endpoint, for a while."""
        valid = sample_endpoint_entry(self.links[0].address)
        for number, fields in enumerate(ODD_ENTRIES):
            content = {**valid, **fields} if isinstance(fields, dict) else fields
            self.store.put("servers", f"a-odd-{number}", content)
        await asyncio.sleep(duration_s)
        for number in range(len(ODD_ENTRIES)):
            self._remove_entry(f"a-odd-{number}")

    async def _expire_entry(self, instance_id):
        """Remove the entry of an endpoint that has ended once its heartbeats lack."""
        await asyncio.sleep(MISSED_HEARTBEATS * self.deployment.heartbeat_s)
        self._remove_entry(instance_id)

    async def _renew_entries(self):
        while True:
            await asyncio.sleep(self.deployment.heartbeat_s)
            if not self._lapsed:
                self._write_entries()

    async def _record_stalls(self):
        """Record when this process stood still."""
        while True:
            due_s = self.clock() + STALL_CHECK_S
            await asyncio.sleep(STALL_CHECK_S)
            if self.clock() - due_s > STALL_S:
                self.records.stalls.append((due_s, self.clock()))

    async def _wait_until_ready(self):
        timeout_s = START_TIMEOUT_S + START_TIMEOUT_PER_HOST_S * len(self.hosts)
        async with asyncio.timeout(timeout_s):
            for host in self.hosts:
                while not await self._is_ready(host):
                    await asyncio.sleep(0.05)

    async def _poll_version(self, host):
        """Record periodically which configuration a host has in force."""
        interval_s = POLL_S * max(1.0, self.deployment.hosts / POLLED_HOSTS)
        while not host.is_removed:
            await asyncio.sleep(interval_s)
            process = f"{host.name}/{host.start_count}"
            version = await self._read_version(host)
            if version and process == f"{host.name}/{host.start_count}":
                self.records.versions.append((process, self.clock(), version))

    async def _restart_ended(self, host):
        """Start a host again that has ended by itself, as the platform does."""
        while not host.is_removed:
            await asyncio.sleep(POLL_S)
            if host.note_end():
                await asyncio.sleep(RESTART_DELAY_S)
                await host.start()

    def _on_host_end(self, process, status, was_stopped, was_killed):
        """Record the end of a process."""
        end = HostEnd(process, self.clock(), status, was_stopped, was_killed)
        self.records.host_ends.append(end)

    async def _is_ready(self, host):
        """Return whether a host counts as ready, which takes a configuration."""
        try:
            timeout = aiohttp.ClientTimeout(total=1.0)
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.get(f"http://{host.ready}/v1/readyz") as response:
                    return response.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def _read_version(self, host):
        """Return the configuration version in force on a host, or 0 if unknown."""
        try:
            timeout = aiohttp.ClientTimeout(total=1.0)
            async with aiohttp.ClientSession(timeout=timeout) as session:
                async with session.get(
                    f"http://{host.peers}{PEER_SYNC_PATH}"
                ) as response:
                    state = decode_sync_response(host.name, await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError, DecodeError):
            return 0
        stored = state.configuration
        return 0 if stored is None else stored.content["version"]
