"""The parts of all hosts together never exceed what they share.

Guards against parts that grow when hosts lose sight of each other: hosts that start
isolated, that fall silent, whose records are lost, or that don't reach the store.
"""

from types import SimpleNamespace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from returns.result import Failure
from test_registration import RecordStore

from gypsumusher_entry.registration import Registration
from gypsumusher_ports import PlatformError
from gypsumusher_routing import HostStatus, HostTable, Membership

HOSTS = 4
NUMBERS = st.integers(0, HOSTS - 1)
TICK_S = 5.0
# Hosts read the records at every fourth tick, each at another one.
READ_TICKS = 4


class Host:
    """One process of a host: its table, its membership and its registration."""

    def __init__(self, number, clock, store, is_first_start):
        self.number = number
        self.name = f"host-{number}"
        self.sequence = 0
        self.started_ms = clock.now_s * 1000
        self.context = SimpleNamespace(
            settings=SimpleNamespace(
                name=self.name, ip=f"10.0.0.{number}", zone="a", is_first_start=False
            ),
            hosts=HostTable(self.name),
            membership=Membership(is_first_start),
            clock=lambda: clock.now_s,
            log=lambda *_, **__: None,
            watches_store=lambda: True,
        )
        self.registration = Registration(self.context, store)

    def status(self):
        """Return the next status that the host sends to others."""
        self.sequence += 1
        hosts, membership = self.context.hosts, self.context.membership
        is_member = membership.is_member(self.context.clock())
        return HostStatus(
            self.name, self.started_ms, self.sequence, f"10.0.0.{self.number}", "a",
            "", "", True, 1, 1, 1.0, True, 1.0, TICK_S, hosts.recorded_count(),
            hosts.existing_count(), is_member,
        )  # fmt: skip

    def part(self):
        """Return the part of what all hosts share that the host may use."""
        count = self.context.hosts.existing_count()
        is_member = self.context.membership.is_member(self.context.clock())
        return 1.0 / count if is_member and count else 0.0


class CutStore:
    """The store as one host sees it, which may not reach it."""

    def __init__(self, store, is_cut):
        self._store = store
        self._is_cut = is_cut

    def __getattr__(self, name):
        async def call(*arguments, **options):
            if self._is_cut():
                return Failure(PlatformError(name, "store", "unknown", "cut off"))
            return await getattr(self._store, name)(*arguments, **options)

        return call


def finish(coroutine):
    """Run a coroutine that never has to wait, and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as end:
        return end.value
    raise AssertionError("the coroutine waits")


class Machine(RuleBasedStateMachine):
    """Hosts that are cut off, killed, paused and added; the store loses records."""

    def __init__(self):
        super().__init__()
        self.clock = SimpleNamespace(now_s=1000.0)
        self.ticks = 0
        self.store = RecordStore()
        self.groups = [0] * HOSTS
        self.cut = set()
        self.hosts = [self.start_host(number, True) for number in range(HOSTS - 1)]
        self.advance(4)

    def start_host(self, number, is_first_start=False):
        """Return a new process of a host."""
        store = CutStore(self.store, lambda: number in self.cut)
        return Host(number, self.clock, store, is_first_start)

    def advance(self, ticks):
        """Let time pass, with all that the hosts do meanwhile."""
        for _ in range(ticks):
            self.clock.now_s += TICK_S
            self.ticks += 1
            for host in self.hosts:
                self.exchange_statuses(host)
            for host in self.hosts:
                registration = host.registration
                is_new = host.started_ms >= (self.clock.now_s - TICK_S) * 1000
                if is_new or (self.ticks + host.number) % READ_TICKS == 0:
                    if not finish(registration._reread()):
                        finish(registration._reread())
                    finish(registration._drop_forgotten())
                if registration._try_join():
                    finish(registration._write())
            self.check_parts()

    def exchange_statuses(self, host):
        """Send a host's status to all that it reaches."""
        status = host.status()
        for other in self.hosts:
            if other is not host and (
                self.groups[other.number] == self.groups[host.number]
            ):
                other.context.hosts.on_status(self.clock.now_s, status)

    @rule(groups=st.lists(NUMBERS, min_size=HOSTS, max_size=HOSTS))
    def partition(self, groups):
        self.groups = groups

    @rule()
    def heal(self):
        self.groups = [0] * HOSTS
        self.cut = set()

    @rule(number=NUMBERS)
    def cut_off_store(self, number):
        self.cut.add(number)

    @rule(number=NUMBERS)
    def kill_and_restart(self, number):
        hosts = [host for host in self.hosts if host.number != number]
        self.hosts = [*hosts, self.start_host(number)]

    @rule()
    def kill_and_restart_all(self):
        self.hosts = [self.start_host(host.number) for host in self.hosts]

    @rule(number=NUMBERS)
    def remove_host(self, number):
        if len(self.hosts) > 1:
            self.hosts = [host for host in self.hosts if host.number != number]

    @rule()
    def lose_records(self):
        self.store.records.clear()

    @rule(ticks=st.sampled_from([1, 4, 14, 80]))
    def wait(self, ticks):
        self.advance(ticks)

    @invariant()
    def check_parts(self):
        parts = {host.name: host.part() for host in self.hosts}
        assert sum(parts.values()) <= 1.0 + 1e-9, parts


Machine.TestCase.settings = settings(
    derandomize=True, deadline=None, max_examples=200, stateful_step_count=25
)
TestParts = Machine.TestCase


def test_hosts_that_hear_each_other_share_all():
    """Guards against a bound that is kept only because no host uses its part."""
    machine = Machine()
    machine.advance(10)
    assert sum(host.part() for host in machine.hosts) == 1.0
    machine.groups = [0, 1, 2, 3]
    machine.advance(20)
    assert sum(host.part() for host in machine.hosts) == 1.0


def machine_with_isolated_host():
    """Return hosts of which the first reaches neither the others nor the store."""
    machine = Machine()
    machine.advance(10)
    machine.groups = [0, 1, 1, 1]
    machine.cut = {0}
    return machine


def test_isolated_host_uses_its_part_only_while_the_others_count_it():
    """The others divided by fewer, and the isolated host went on as before."""
    machine = machine_with_isolated_host()
    machine.advance(300)
    assert [host.part() for host in machine.hosts] == [0.0, 0.5, 0.5]


def test_host_whose_record_is_lost_still_counts():
    """A lost record was taken for a host that is gone."""
    machine = machine_with_isolated_host()
    del machine.store.records["host-0"]
    machine.advance(20)
    assert [host.part() for host in machine.hosts] == [1 / 3, 1 / 3, 1 / 3]


def test_host_that_waits_without_the_store_does_not_join():
    """A new host took its part after the wait, though its record was lost since."""
    machine = Machine()
    machine.advance(10)
    machine.store.records.clear()
    machine.hosts = [machine.start_host(number) for number in range(3)]
    machine.advance(1)
    machine.store.records.clear()
    machine.groups = [0, 0, 1, 0]
    machine.cut = {0}
    machine.advance(80)
    assert machine.hosts[0].part() == 0.0


def test_new_host_waits_for_an_isolated_one_that_does_not_count_it():
    """A new host took its part at once, while an isolated one divided by fewer."""
    machine = machine_with_isolated_host()
    machine.hosts.append(machine.start_host(3))
    machine.advance(40)
    assert [host.part() for host in machine.hosts] == [1 / 3, 1 / 4, 1 / 4, 0.0]
    machine.advance(300)
    assert [host.part() for host in machine.hosts] == [0.0, 1 / 3, 1 / 3, 1 / 3]
