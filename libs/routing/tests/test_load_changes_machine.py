"""Whole messages and changes that are lost, duplicated and reordered.

Guards against loads that the sender never had: changes applied to another whole message
than the one they build on, or those of a process that has been replaced.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from samples import engine

from gypsumusher_routing import (
    EndpointTable,
    HostStatus,
    HostTable,
    LoadChanges,
    SentLoads,
    apply_load_changes,
    decode_load_changes,
    decode_loads,
)

ENGINES = [f"e-{number}" for number in range(3)]
HOST, IP, NOW_S = "host-1", "10.0.0.1", 0.0
# Few values, so that loads often become what they were.
LOADS = st.dictionaries(
    st.sampled_from(ENGINES),
    st.integers(1, 2).map(lambda running: (running, 1, [running, 0], 0)),
)


def status(started_ms, sequence):
    return HostStatus(
        HOST, started_ms, sequence, IP, "a", "", "", True, 1, 1, 1.0, True, 1.0, 0.45,
        0, 0, True,
    )  # fmt: skip


class ChangedLoads(RuleBasedStateMachine):
    """One sender, whose process may be replaced, and one receiver."""

    def __init__(self):
        super().__init__()
        self.hosts = HostTable("host-0")
        self.endpoints = EndpointTable()
        for name in ENGINES:
            self.endpoints.states[name] = engine(name)
        self.under_way = []
        # Start and number of the newest datagram whose loads were applied.
        self.applied = None
        self.had = {}
        self.started_ms = 0
        self.restart()

    def restart(self):
        self.started_ms += 1
        self.sequence = 0
        self.sent = SentLoads()
        self.loads = self.base_loads = {}

    @rule(is_first=st.integers(0, 9))
    def maybe_restart(self, is_first):
        if not is_first:
            self.restart()

    @rule(loads=LOADS)
    def send_whole(self, loads):
        self.loads = self.base_loads = loads
        self.sequence += 1
        self.sent.on_whole_message(self.sequence, dict(self.loads), [IP], 1000)
        self._send("whole", dict(self.loads))

    @rule(loads=LOADS)
    def send_changes(self, loads):
        self.loads = loads
        changes = self.sent.changes(self.loads, [IP])
        if changes is None:
            return
        self.sequence += 1
        changes = [[endpoint, *load] for endpoint, load in changes.items()]
        fields = [HOST, self.started_ms, self.sequence, self.sent.base, changes, []]
        self._send("changes", fields)

    @rule()
    def send_loads_of_base_again(self):
        self.send_changes(self.base_loads)

    def _send(self, kind, content):
        self.had[self.started_ms, self.sequence] = dict(self.loads)
        self.under_way.append((kind, self.started_ms, self.sequence, content))

    @rule(data=st.data(), is_duplicated=st.booleans())
    def deliver(self, data, is_duplicated):
        if not self.under_way:
            return
        # Usually the newest.
        index = -1 - data.draw(st.integers(0, len(self.under_way) - 1))
        self._receive(*self.under_way[index])
        if not is_duplicated:
            del self.under_way[index]

    def _receive(self, kind, started_ms, sequence, content):
        before = self.hosts.last_messages(NOW_S)
        if kind == "changes":
            changes = decode_load_changes(content)
            use = apply_load_changes(NOW_S, changes, self.hosts, self.endpoints)
            if use == "all":
                self.applied = started_ms, sequence
            # What loans and membership refer to is as the last whole message left it.
            assert self.hosts.last_messages(NOW_S) == before
        elif self.hosts.on_status(NOW_S, status(started_ms, sequence)):
            self.endpoints.on_peer_loads(NOW_S, HOST, decode_loads(content))
            self.applied = started_ms, sequence

    @rule(loads=LOADS)
    def converge(self, loads):
        self.send_whole(loads)
        self._receive(*self.under_way[-1])
        assert self._believed() == decode_loads(self.loads)

    def _believed(self):
        found = {}
        for name in ENGINES:
            load = self.endpoints.states[name].load(NOW_S)
            if load.running:
                found[name] = (load, 0)
        return found

    @invariant()
    def believes_what_the_sender_had(self):
        """The loads are those when the newest applied datagram was sent."""
        had = self.had.get(self.applied, {})
        assert self._believed() == decode_loads(had)
        last = self.hosts.last_messages(NOW_S).get(HOST)
        if last is not None:
            assert self.applied >= (last.started_ms, last.sequence)


TestChangedLoads = ChangedLoads.TestCase
TestChangedLoads.settings = settings(max_examples=200, deadline=None)


def changes(started_ms, sequence, base):
    return LoadChanges(HOST, started_ms, sequence, base, {}, [])


def test_host_that_sends_only_changes_is_live():
    """A host whose whole messages were lost was taken off the list for callers."""
    hosts, endpoints = HostTable("host-0"), EndpointTable()
    hosts.on_record(0.0, HOST, IP)
    hosts.on_status(0.0, status(7, 1))
    for number in range(2, 80):
        apply_load_changes(float(number), changes(7, number, 1), hosts, endpoints)
    assert [host.name for host in hosts.live(80.0)] == [HOST]
    assert hosts.drop_silent(80.0, 0.0) == []
    # Loans, limits and the membership count from whole messages only.
    assert hosts.last_messages(80.0) == {}
    assert hosts.unheard(80.0) == {HOST}
    assert hosts.acknowledgement(80.0, False).acknowledged == 0


def test_changes_of_the_previous_process_keep_no_host_alive():
    """Late or repeated datagrams of a process that had ended counted as its host's."""
    hosts, endpoints = HostTable("host-0"), EndpointTable()
    hosts.on_status(0.0, status(7, 1))
    assert apply_load_changes(0.1, changes(7, 3, 1), hosts, endpoints) == "all"
    # After the restart the clock of the host is set back.
    assert not hosts.on_status(0.2, status(5, 1))
    assert hosts.on_status(1.7, status(5, 1))
    assert apply_load_changes(3.0, changes(7, 4, 1), hosts, endpoints) == "nothing"
    assert hosts.live(3.3) == []
    # A repeated datagram of the present process shows nothing either.
    assert apply_load_changes(3.4, changes(5, 2, 1), hosts, endpoints) == "all"
    assert apply_load_changes(6.0, changes(5, 2, 1), hosts, endpoints) == "nothing"
    assert hosts.live(6.0) == []
