"""No host takes a stream for one of another version than began it.

Guards against conclusions from what a host hasn't heard: hosts that start anew, are cut
off from the store or from each other, or know old lists of endpoints, while versions
come and go and messages are lost.
"""

import asyncio
import random
from types import SimpleNamespace

import msgpack
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from platform_samples import sample_endpoint_entry
from returns.result import Failure, Success

from gypsumusher_entry.begun_streams import BegunStreams
from gypsumusher_entry.endpoint_entries import EndpointEntries
from gypsumusher_entry.version_records import VersionRecords
from gypsumusher_ports import EndpointRecord, PlatformError, StoredObject
from gypsumusher_routing import EndpointTable

HOSTS = 4
NUMBERS = st.integers(0, HOSTS - 1)
STREAM_S = 4.0
LOSS_SHARE = 0.7
MESSAGE_S = 0.002


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock jumps to the next timer instead of waiting."""

    def __init__(self):
        super().__init__()
        self._now_s = 0.0

    def time(self):
        return self._now_s

    def _run_once(self):
        if not self._ready and self._scheduled:
            self._now_s = max(self._now_s, self._scheduled[0].when())
        super()._run_once()


class World:
    """The store, the endpoints registered there, and the links of the hosts."""

    def __init__(self, loop):
        self.loop = loop
        self.records = {}
        self.revision = 1
        self.endpoints = {}
        self.is_store_down = False
        self.refuses_writes = False
        self.without_store = None
        # Hosts that are cut off from the store and from all hosts but each other.
        self.isolated = frozenset()
        self.without_peers = None
        self.is_lossy = False
        self.random = random.Random(1)

    def can_call(self, host):
        if host.number in self.isolated:
            return False
        return not self.is_store_down and self.without_store != host.number

    def can_send(self, sender, receiver):
        if self.without_peers in (sender.number, receiver.number):
            return False
        return (sender.number in self.isolated) == (receiver.number in self.isolated)

    async def get(self, host, kind, name):
        await asyncio.sleep(MESSAGE_S)
        if not self.can_call(host):
            return Failure(PlatformError("get", "store", "unknown", ""))
        if name not in self.records:
            return Failure(PlatformError("get", "store", "absent", ""))
        return Success(self.records[name])

    async def list(self, host, kind):
        await asyncio.sleep(MESSAGE_S)
        if not self.can_call(host):
            return Failure(PlatformError("list", "store", "unknown", ""))
        found = []
        for name, record in self.endpoints.items():
            content = sample_endpoint_entry(
                record.address, version=record.software_version
            )
            found.append(StoredObject(name, self.revision, content, None))
        return Success(SimpleNamespace(objects=found, revision=self.revision))

    async def write(self, host, kind, name, content, revision=0):
        await asyncio.sleep(MESSAGE_S)
        if not self.can_call(host) or self.refuses_writes:
            return Failure(PlatformError("write", "store", "refused", ""))
        known = self.records.get(name)
        if (known.revision if known else 0) != revision:
            return Failure(PlatformError("write", "store", "conflict", ""))
        self.revision += 1
        self.records[name] = StoredObject(name, self.revision, content, None)
        return Success(self.records[name])

    def recorded(self):
        stored = self.records.get("svc")
        return set() if stored is None else set(stored.content["versions"])


class Host:
    """One process of a host."""

    def __init__(self, number, world, hosts):
        self.number = number
        self.ip = f"10.0.0.{number}"
        self.world, self.hosts = world, hosts
        self.is_alive = True
        self.tasks = []
        # So that hosts that start anew don't count old versions as long gone.
        context = self.context = SimpleNamespace(
            settings=SimpleNamespace(name=f"host-{number}"),
            clock=world.loop.time,
            started_s=world.loop.time(),
            endpoints=EndpointTable(),
            datagram_handlers={},
            hosts=SimpleNamespace(
                existing_count=lambda: HOSTS,
                live=lambda now_s: [h for h in hosts if h is not self],
                addresses=lambda: {h.number: h.ip for h in hosts if h is not self},
            ),
            active_hosts=lambda: [
                SimpleNamespace(name=f"host-{h.number}", ip=h.ip) for h in hosts
            ],
            log=lambda *_, **__: None,
            metrics=SimpleNamespace(on_stream_resumed=lambda source: None),
            spawn=self.spawn,
            draw_uniform=lambda: 0.5,
            longest_stream_s=lambda: 2.0 * STREAM_S,
            should_order_stages=lambda: number == 0,
            watches_store=lambda: True,
            sees_store=True,
            endpoint_entries=EndpointEntries(lambda *_, **__: None),
        )
        context.version_records = self.records = VersionRecords(context)
        context.begun_streams = self.streams = BegunStreams(context)
        store = SimpleNamespace(
            get=lambda *a: world.get(self, *a),
            list=lambda *a: world.list(self, *a),
            create=lambda *a: world.write(self, *a),
            replace=lambda *a: world.write(self, *a),
        )
        self.records.start(store, self.send)
        self.streams.start(self.send)

    def spawn(self, coroutine):
        task = asyncio.ensure_future(coroutine)
        self.tasks.append(task)
        return task

    def send(self, kind, fields, ip):
        receiver = next(host for host in self.hosts if host.ip == ip)
        world = self.world
        if not world.can_send(self, receiver):
            return
        if world.is_lossy and world.random.random() < LOSS_SHARE:
            return
        data = msgpack.packb(fields)
        world.loop.call_later(MESSAGE_S, receiver.receive, kind, data, self.ip)

    def receive(self, kind, data, ip):
        if self.is_alive:
            self.context.datagram_handlers[kind](msgpack.unpackb(data), ip)

    def learn(self):
        """List the endpoints in the store."""
        if self.world.can_call(self):
            now_s, revision = self.world.loop.time(), self.context.endpoints.revision
            records = list(self.world.endpoints.values())
            self.context.endpoints.on_full_list(now_s, records, revision + 1)

    def end(self):
        self.is_alive = False
        for task in self.tasks:
            task.cancel()


class StreamVersionMachine(RuleBasedStateMachine):
    """Streams begin and are taken up at hosts that come, go and are cut off."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualTimeLoop()
        asyncio.set_event_loop(self.loop)
        self.world = World(self.loop)
        self.hosts = []
        self.hosts += [Host(n, self.world, self.hosts) for n in range(HOSTS)]
        # Version and end of each stream, by id.
        self.begun = {}
        self.versions = 0
        self.mixed = []
        self.release()
        for host in self.hosts:
            host.learn()

    def teardown(self):
        for host in self.hosts:
            host.end()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    def exchange(self, stream_id, is_resumed):
        return SimpleNamespace(
            route=SimpleNamespace(
                timeout_s=STREAM_S, shares=[SimpleNamespace(service="svc")]
            ),
            request=SimpleNamespace(
                request_id=f"{stream_id}-{self.loop.time()}"
                if is_resumed
                else stream_id,
                resumed_id=stream_id if is_resumed else None,
                last_event_id="1" if is_resumed else None,
            ),
            is_resumed=is_resumed,
            service="svc",
            account_name=None,
            log=lambda *_, **__: None,
        )

    @rule(number=NUMBERS)
    def release_and_begin(self, number):
        """Register an endpoint of the next version, and begin a stream of a host."""
        self.release()
        self.hosts[number].learn()
        # The first stream has the version recorded, also if it doesn't begin there.
        self.begin(number, -1)
        self.loop.run_until_complete(asyncio.sleep(0.2))
        self.begin(number, -1)

    def release(self):
        """Register an endpoint of the next version."""
        if self.world.is_store_down:
            return
        self.versions += 1
        name, version = f"e-{self.versions}", f"v{self.versions}"
        self.world.endpoints[name] = EndpointRecord(
            name, 1, "svc", "10.9.0.1:80", "a", 6, False, 0.0, None, 1, False, version
        )

    @rule()
    def leave(self):
        """Remove the entry of the oldest endpoint, which serves on."""
        if len(self.world.endpoints) > 1 and not self.world.is_store_down:
            del self.world.endpoints[next(iter(self.world.endpoints))]

    @rule(number=NUMBERS)
    def learn(self, number):
        self.hosts[number].learn()

    @rule(number=NUMBERS, choice=st.integers(-1, 1))
    def begin(self, number, choice):
        host = self.hosts[number]
        self.loop.run_until_complete(host.records.prepare("svc"))
        allowed = host.records.beginning_versions("svc")
        states = host.context.endpoints.of_service("svc")
        versions = sorted(
            {state.record.software_version for state in states},
            key=lambda version: int(version[1:]),
        )
        usable = [v for v in versions if allowed is None or v in allowed]
        if not usable:
            return
        version = usable[choice % len(usable)]
        stream_id = f"s-{len(self.begun)}"
        host.streams.on_first_event(self.exchange(stream_id, False), version)
        # Where no recorded version is left, streams begin unrecorded, which is an open
        # point of the design.
        has_recorded = not self.world.recorded().isdisjoint(versions)
        until_s = self.loop.time() + STREAM_S
        self.begun[stream_id] = (version, until_s, has_recorded)

    @rule(number=NUMBERS, choice=st.integers(0, 3))
    def take_up(self, number, choice):
        alive = [
            stream_id
            for stream_id, (_, until_s, has_recorded) in self.begun.items()
            if until_s >= self.loop.time() and has_recorded
        ]
        if not alive:
            return
        self.resume(number, alive[-1 - choice % len(alive)])

    def resume(self, number, stream_id):
        """Take a stream up at a host."""
        host, exchange = self.hosts[number], self.exchange(stream_id, True)
        if not host.context.endpoints.states:
            return None
        found = self.loop.run_until_complete(host.streams.find(exchange))
        if found is None:
            return None
        if found[1] != self.begun[stream_id][0]:
            self.mixed.append((stream_id, self.begun[stream_id], found, number))
        host.streams.on_first_event(exchange, found[1])
        return found

    @rule(number=NUMBERS)
    def restart(self, number):
        self.hosts[number].end()
        self.hosts[number] = Host(number, self.world, self.hosts)
        self.hosts[number].learn()

    @rule()
    def restart_all(self):
        for number in range(HOSTS):
            self.restart(number)

    @rule(number=st.none() | NUMBERS)
    def cut_from_store(self, number):
        self.world.without_store = number

    @rule(number=st.none() | NUMBERS)
    def cut_from_peers(self, number):
        self.world.without_peers = number

    @rule(is_down=st.booleans())
    def set_store(self, is_down):
        # Without the store, hosts go by what they have heard of each other.
        self.world.is_store_down = is_down and not self.world.is_lossy
        if self.world.is_store_down:
            self.world.without_peers = None

    @rule(is_lossy=st.booleans())
    def set_loss(self, is_lossy):
        self.world.is_lossy = is_lossy and not self.world.is_store_down

    @rule(passed_s=st.sampled_from([0.01, 0.3, 2.0]))
    def wait(self, passed_s):
        self.loop.run_until_complete(asyncio.sleep(passed_s))

    @invariant()
    def no_stream_is_mixed(self):
        assert not self.mixed


def machine_with_old_host():
    """Return a machine whose host 3 hasn't heard of the version that began streams."""
    machine = StreamVersionMachine()
    machine.begin(3, -1)
    machine.wait(2.0)
    machine.cut_from_peers(3)
    machine.release_and_begin(0)
    version, _, has_recorded = list(machine.begun.values())[-1]
    assert (version, has_recorded) == ("v2", True)
    return machine


# Guards against a host that takes the only version that it has heard of for the only
# one there is.
def test_host_with_an_old_list_reads_the_record():
    machine = machine_with_old_host()
    machine.take_up(3, 0)
    machine.teardown()
    assert not machine.mixed


# Guards against the same at a host without the store, whose peers have old lists too.
def test_hosts_read_the_record_for_one_without_the_store():
    machine = machine_with_old_host()
    # Hosts 1 and 2 haven't heard of the version either, and host 0 ends.
    machine.cut_from_peers(None)
    for number in (1, 2):
        machine.hosts[number].end()
        machine.hosts[number] = Host(number, machine.world, machine.hosts)
        endpoints = machine.hosts[number].context.endpoints
        endpoints.on_full_list(0.0, [machine.world.endpoints["e-1"]], 1)
    machine.hosts[0].end()
    machine.cut_from_store(3)
    machine.take_up(3, 0)
    machine.teardown()
    assert not machine.mixed


# Guards against a missing record that counts as proof, at a host that is cut off from
# the others while the store takes no writes.
def test_host_with_an_old_list_concludes_nothing_without_a_record():
    machine = StreamVersionMachine()
    machine.world.refuses_writes = True
    machine.cut_from_peers(3)
    machine.release_and_begin(0)
    stream_id, (version, _, _) = list(machine.begun.items())[-1]
    machine.resume(3, stream_id)
    machine.teardown()
    assert version == "v2" and not machine.mixed


# Guards against a record that lacks a version at which streams began unrecorded, as no
# endpoint of the recorded one was left.
def test_host_with_an_old_list_lists_the_endpoints():
    machine = StreamVersionMachine()
    machine.begin(3, -1)
    machine.wait(2.0)
    machine.world.refuses_writes = True
    machine.cut_from_peers(3)
    machine.release()
    machine.leave()
    machine.hosts[0].learn()
    machine.begin(0, -1)
    stream_id, (version, _, has_recorded) = list(machine.begun.items())[-1]
    machine.resume(3, stream_id)
    machine.teardown()
    assert (version, has_recorded) == ("v2", False) and not machine.mixed


# Guards against hosts that are cut off together and confirm to each other the only
# version that they know.
def test_hosts_that_are_cut_off_together_conclude_nothing():
    machine = StreamVersionMachine()
    machine.begin(3, -1)
    machine.wait(2.0)
    machine.world.isolated = frozenset((2, 3))
    machine.release_and_begin(0)
    stream_id, (version, _, _) = list(machine.begun.items())[-1]
    machine.resume(3, stream_id)
    machine.teardown()
    assert version == "v2" and not machine.mixed


# Guards against a stream that is refused because its host hears no other, although the
# store shows that only one version has served.
def test_host_without_peers_resumes_a_stream_of_the_only_version():
    machine = StreamVersionMachine()
    machine.begin(0, -1)
    machine.wait(2.0)
    machine.cut_from_peers(3)
    found = machine.resume(3, "s-0")
    machine.teardown()
    assert found == ("svc", "v1")


# Guards against a version that begins streams before its record is written.
def test_unrecorded_version_begins_no_stream():
    machine = StreamVersionMachine()
    machine.begin(0, -1)
    machine.wait(0.3)
    machine.release()
    machine.hosts[0].learn()
    machine.set_store(True)
    machine.begin(0, -1)
    machine.teardown()
    assert {version for version, _, _ in machine.begun.values()} == {"v1"}


TestStreamVersions = StreamVersionMachine.TestCase
TestStreamVersions.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
