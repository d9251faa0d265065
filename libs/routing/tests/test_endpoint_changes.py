"""Tests of endpoint changes passed from host to host against the store's list."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumusher_ports import EndpointRecord
from gypsumusher_routing import EndpointTable
from gypsumusher_routing.endpoint_table import REMOVED_MAX

IDS = st.sampled_from(["e-1", "e-2", "e-3", "e-4"])
# Each host gets changes from the one before it; the first one reads the store.
HOSTS = 3


def records_by_id(table):
    return {record.endpoint_id: record for record in table.listed_records()}


def shared_records(table):
    """Return the entries that peers must agree on, without heartbeats."""
    return {
        name: record._replace(heartbeat_count=0)
        for name, record in records_by_id(table).items()
    }


class Hosts(RuleBasedStateMachine):
    """A store, a host that watches it with gaps, and two that ask a peer."""

    def __init__(self):
        super().__init__()
        self.entries = {}
        self.revision = 1
        self.incarnations = 0
        self.now_s = 0.0
        self.is_watching = True
        self.tables = [EndpointTable() for _ in range(HOSTS)]
        self.tables[0].on_full_list(0.0, [], 1)

    def _change(self, endpoint_id, record):
        self.revision += 1
        self.now_s += 1.0
        if record is None:
            del self.entries[endpoint_id]
        else:
            self.entries[endpoint_id] = record
        if not self.is_watching:
            return
        if record is None:
            self.tables[0].on_deleted(self.now_s, endpoint_id, self.revision)
        else:
            self.tables[0].on_record(record, self.revision)

    @rule(endpoint_id=IDS)
    def start_endpoint(self, endpoint_id):
        self.incarnations += 1
        record = EndpointRecord(
            endpoint_id,
            self.incarnations,
            "svc",
            "10.0.0.1:80",
            "a",
            6,
            False,
            0.0,
            None,
            1,
        )
        self._change(endpoint_id, record)

    @rule(endpoint_id=IDS)
    def drain_endpoint(self, endpoint_id):
        if endpoint_id in self.entries:
            record = self.entries[endpoint_id]
            heartbeat_count = record.heartbeat_count + 1
            self._change(
                endpoint_id,
                record._replace(is_draining=True, heartbeat_count=heartbeat_count),
            )

    @rule(endpoint_id=IDS)
    def remove_endpoint(self, endpoint_id):
        if endpoint_id in self.entries:
            self._change(endpoint_id, None)

    @rule()
    def lose_the_watch(self):
        self.is_watching = False

    @rule()
    def list_again(self):
        self.is_watching = True
        self.tables[0].on_full_list(self.now_s, self.entries.values(), self.revision)

    @rule(number=st.integers(1, HOSTS - 1))
    def restart_host(self, number):
        self.tables[number] = EndpointTable()

    @rule(number=st.integers(1, HOSTS - 1), allows_changes=st.booleans())
    def ask_peer(self, number, allows_changes):
        """A host with an older revision asks its peer, and then has the same list."""
        peer, table = self.tables[number - 1], self.tables[number]
        if peer.revision <= table.revision:
            return
        changes = peer.changes_since(table.revision) if allows_changes else None
        if changes is None:
            table.on_full_list(self.now_s, peer.listed_records(), peer.revision)
        else:
            table.on_changes(self.now_s, *changes, peer.revision)
        assert shared_records(table) == shared_records(peer)
        assert table.revision == peer.revision

    @invariant()
    def watching_host_knows_the_entries_of_the_store(self):
        if self.is_watching:
            assert records_by_id(self.tables[0]) == self.entries


TestHosts = Hosts.TestCase
TestHosts.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)


def test_peer_gets_the_full_list_after_an_endpoint_came_and_went():
    """Guards against a host that keeps an endpoint because it missed the removal."""
    record = EndpointRecord("e-1", 1, "svc", "10.0.0.1:80", "a", 6, False, 0, None, 1)
    table = EndpointTable()
    table.on_full_list(0.0, [], 5)
    table.on_record(record, 7)
    assert table.changes_since(5) == ([record], [])
    assert table.changes_since(7) == ([], [])
    table.on_full_list(1.0, [], 9)
    assert table.changes_since(7) is None
    assert table.changes_since(9) == ([], [])


def test_heartbeat_alone_is_not_a_change():
    """Guards against every renewal of every entry being sent to every host."""
    record = EndpointRecord("e-1", 1, "svc", "10.0.0.1:80", "a", 6, False, 0, None, 1)
    table = EndpointTable()
    table.on_full_list(0.0, [record], 5)
    table.on_record(record._replace(heartbeat_count=2), 6)
    assert table.changes_since(5) == ([], [])


def test_outdated_changes_of_a_peer_are_ignored():
    """Guards against a late answer that restores an endpoint that has left."""
    record = EndpointRecord("e-1", 1, "svc", "10.0.0.1:80", "a", 6, False, 0, None, 1)
    table = EndpointTable()
    table.on_full_list(0.0, [record], 5)
    table.on_deleted(1.0, "e-1", 8)
    assert table.on_changes(2.0, [record], [], 6) == []
    assert table.listed_records() == [] and table.revision == 8


def test_number_of_removed_ids_is_bounded():
    """Guards against memory growth when endpoints come and go for days."""
    record = EndpointRecord("e-1", 1, "svc", "10.0.0.1:80", "a", 6, False, 0, None, 1)
    table = EndpointTable()
    table.on_full_list(0.0, [], 1)
    for number in range(REMOVED_MAX + 1):
        table.on_record(record._replace(endpoint_id=f"e-{number}"), 2 + 2 * number)
        table.on_deleted(0.0, f"e-{number}", 3 + 2 * number)
    # The first removal, at revision 3, is forgotten: older peers get the full list.
    assert table.changes_since(2) is None
    changed, removed = table.changes_since(3)
    assert (changed, len(removed)) == ([], REMOVED_MAX)
