"""Endpoints told from host to host as changes, against the store's own list."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumusher_ports import EndpointRecord
from gypsumusher_routing import EndpointTable
from gypsumusher_routing.endpoint_table import REMOVED_MAX

IDS = st.sampled_from(["e-1", "e-2", "e-3", "e-4"])
# Hosts in the order in which each hears of the one before; the first reads the store.
HOSTS = 3


def listed(table):
    return {record.endpoint_id: record for record in table.listed_records()}


def told(table):
    """Return what a host is to know of its peer's list: all but the beats."""
    return {
        name: record._replace(heartbeat_count=0)
        for name, record in listed(table).items()
    }


class Hosts(RuleBasedStateMachine):
    """A store, a host that watches it with gaps, and two that ask a peer each."""

    def __init__(self):
        super().__init__()
        self.entries = {}
        self.revision = 1
        self.lives = 0
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
        self.lives += 1
        record = EndpointRecord(
            endpoint_id, self.lives, "svc", "10.0.0.1:80", "a", 6, False, 0.0, None, 1
        )
        self._change(endpoint_id, record)

    @rule(endpoint_id=IDS)
    def mark_endpoint_as_leaving(self, endpoint_id):
        if endpoint_id in self.entries:
            record = self.entries[endpoint_id]
            beat = record.heartbeat_count + 1
            self._change(
                endpoint_id, record._replace(is_draining=True, heartbeat_count=beat)
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

    @rule(number=st.integers(1, HOSTS - 1), takes_changes=st.booleans())
    def ask_peer(self, number, takes_changes):
        """A host that lags asks the one before it, and believes the same after."""
        peer, table = self.tables[number - 1], self.tables[number]
        if peer.revision <= table.revision:
            return
        changes = peer.changes_since(table.revision) if takes_changes else None
        if changes is None:
            table.on_full_list(self.now_s, peer.listed_records(), peer.revision)
        else:
            table.on_changes(self.now_s, *changes, peer.revision)
        assert told(table) == told(peer)
        assert table.revision == peer.revision

    @invariant()
    def the_host_that_watches_knows_what_the_store_holds(self):
        if self.is_watching:
            assert listed(self.tables[0]) == self.entries


TestHosts = Hosts.TestCase
TestHosts.settings = settings(
    derandomize=True,
    max_examples=150,
    stateful_step_count=40,
    deadline=None,
)


def test_an_endpoint_that_came_and_went_between_two_lists_is_told_as_a_whole_list():
    """A host had heard of an endpoint from a peer, and never heard that it left."""
    record = EndpointRecord("e-1", 1, "svc", "10.0.0.1:80", "a", 6, False, 0, None, 1)
    table = EndpointTable()
    table.on_full_list(0.0, [], 5)
    table.on_record(record, 7)
    assert table.changes_since(5) == ([record], [])
    assert table.changes_since(7) == ([], [])
    table.on_full_list(1.0, [], 9)
    assert table.changes_since(7) is None
    assert table.changes_since(9) == ([], [])


def test_a_renewal_that_changes_nothing_is_told_to_nobody():
    """Each renewal of each entry was told to every host."""
    record = EndpointRecord("e-1", 1, "svc", "10.0.0.1:80", "a", 6, False, 0, None, 1)
    table = EndpointTable()
    table.on_full_list(0.0, [record], 5)
    table.on_record(record._replace(heartbeat_count=2), 6)
    assert table.changes_since(5) == ([], [])


def test_an_older_answer_of_a_peer_changes_nothing():
    """A peer's late answer brought an endpoint back that had left."""
    record = EndpointRecord("e-1", 1, "svc", "10.0.0.1:80", "a", 6, False, 0, None, 1)
    table = EndpointTable()
    table.on_full_list(0.0, [record], 5)
    table.on_deleted(1.0, "e-1", 8)
    assert table.on_changes(2.0, [record], [], 6) == []
    assert table.listed_records() == [] and table.revision == 8


def test_ids_of_endpoints_that_are_gone_are_kept_in_bounded_number():
    """Endpoints that come and go for days fill the memory of every host."""
    record = EndpointRecord("e-1", 1, "svc", "10.0.0.1:80", "a", 6, False, 0, None, 1)
    table = EndpointTable()
    table.on_full_list(0.0, [], 1)
    for number in range(REMOVED_MAX + 1):
        table.on_record(record._replace(endpoint_id=f"e-{number}"), 2 + 2 * number)
        table.on_deleted(0.0, f"e-{number}", 3 + 2 * number)
    # The first one, gone at 3, is forgotten: who knows less is told all.
    assert table.changes_since(2) is None
    changed, removed = table.changes_since(3)
    assert (changed, len(removed)) == ([], REMOVED_MAX)
