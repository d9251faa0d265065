"""Tests of the endpoint table with late, repeated and missing entries."""

from gypsumusher_ports import EndpointRecord
from gypsumusher_routing import EndpointTable
from gypsumusher_routing.endpoint_table import DRAINING_MAX


def record(
    name="e-1", started_ms=1, draining=False, heartbeat_count=1, address="10.0.0.1:80"
):
    return EndpointRecord(
        name, started_ms, "svc", address, "a", 6, draining, 0.0, None, heartbeat_count
    )


def usable_ids(table):
    return [state.record.endpoint_id for state in table.of_service("svc")]


def test_late_older_entry_does_not_make_a_draining_endpoint_ready():
    # An endpoint reports that it drains. An earlier write of its entry takes effect
    # seconds later and shows it as ready; new requests would be cut off.
    table = EndpointTable()
    table.on_record(record(heartbeat_count=5), 10)
    table.on_record(record(heartbeat_count=6, draining=True), 11)
    table.on_record(record(heartbeat_count=4), 12)
    assert usable_ids(table) == []
    table.on_record(record(heartbeat_count=9), 13)
    assert usable_ids(table) == []


# Guards against an endpoint that says itself that it drains, and whose entry, as the
# store is late, makes it ready again.
def test_entries_do_not_make_an_endpoint_ready_that_says_it_drains():
    table, peer = EndpointTable(), EndpointTable()
    table.on_record(record(heartbeat_count=5), 10)
    assert table.on_draining(("e-1", 1), "10.0.0.1:80")
    assert not table.on_draining(("e-1", 1), "10.0.0.1:80")
    table.on_record(record(heartbeat_count=6), 11)
    assert usable_ids(table) == []
    peer.on_full_list(0.0, table.listed_records(), 11)
    assert usable_ids(peer) == []
    table.on_deleted(0.0, "e-1", 12)
    assert table.states == {}
    table.on_record(record(heartbeat_count=7), 13)
    assert usable_ids(table) == []


def test_next_incarnation_of_a_draining_endpoint_is_ready():
    table = EndpointTable()
    table.on_draining(("e-1", 1), "10.0.0.1:80")
    table.on_record(record(), 10)
    assert usable_ids(table) == []
    table.on_record(record(started_ms=2), 11)
    assert usable_ids(table) == ["e-1"]
    table.on_draining(("e-1", 1), "10.0.0.1:80")
    assert usable_ids(table) == ["e-1"]


def test_memory_of_draining_endpoints_is_bounded():
    table = EndpointTable()
    table.on_record(record(), 10)
    table.on_draining(("e-1", 1), "10.0.0.1:80")
    for number in range(2 * DRAINING_MAX):
        table.on_draining((f"gone-{number}", 1), "10.0.0.2:80")
        if not number % 1000:
            table.on_record(record(heartbeat_count=2 + number, draining=True), 11)
    assert len(table._draining) == DRAINING_MAX
    table.on_record(record(heartbeat_count=99_999), 12)
    assert usable_ids(table) == []


def test_restarted_endpoint_gets_a_new_state():
    table = EndpointTable()
    table.on_record(record(heartbeat_count=50), 10)
    old = table.states["e-1"]
    old.own_running = 3
    table.on_record(record(started_ms=2, heartbeat_count=1), 11)
    assert not table.is_current(old)
    assert table.states["e-1"].own_running == 0


def test_entry_that_expired_during_a_store_outage_may_return():
    # The store is down for longer than entries live. On its return its list is empty
    # although all endpoints serve. If they were dropped, all requests would be refused
    # for two seconds.
    table = EndpointTable()
    table.on_full_list(0.0, [record(), record("e-2", address="10.0.0.2:80")], 10)
    table.on_store_returned(100.0)
    table.on_full_list(100.0, [], 20)
    assert usable_ids(table) == ["e-1", "e-2"]
    table.on_record(record("e-2", heartbeat_count=2, address="10.0.0.2:80"), 21)
    assert table.drop_missing(101.0) == []
    assert table.drop_missing(103.0) == ["e-1"]
    assert usable_ids(table) == ["e-2"]


def test_partial_list_of_a_peer_removes_no_endpoint():
    # The store returns empty. The five hosts that read it know that entries may still
    # return. The other hosts get the list from these, and would drop every endpoint.
    table = EndpointTable()
    both = [record(), record("e-2", address="10.0.0.2:80")]
    table.on_full_list(0.0, both, 10)
    assert table.on_partial_list([record(heartbeat_count=2, draining=True)], 20) == [
        "e-1"
    ]
    assert usable_ids(table) == ["e-2"]
    # A full list of the same revision still applies; an older partial one does not.
    assert table.on_partial_list([record("e-3", address="10.0.0.3:80")], 9) == []
    table.on_full_list(3.0, [record(heartbeat_count=3, draining=True)], 20)
    assert usable_ids(table) == []


def test_missing_endpoint_is_not_listed_for_peers():
    # An endpoint leaves while one host is cut off from the store. That host then keeps
    # the missing entry for a grace period. If it listed the endpoint, its peers, which
    # have dropped it, would add it again and send it requests.
    table = EndpointTable()
    table.on_full_list(0.0, [record(), record("e-2", address="10.0.0.2:80")], 10)
    table.on_store_returned(100.0)
    table.on_full_list(100.0, [record("e-2", address="10.0.0.2:80")], 20)
    assert usable_ids(table) == ["e-1", "e-2"]
    assert [item.endpoint_id for item in table.listed_records()] == ["e-2"]
    assert table.is_in_grace_period(101.0) and not table.is_in_grace_period(103.0)


def test_entry_deleted_while_the_store_is_available_is_dropped():
    table = EndpointTable()
    table.on_full_list(0.0, [record()], 10)
    table.on_deleted(5.0, "e-1", 11)
    assert usable_ids(table) == []


def test_outdated_list_is_ignored():
    table = EndpointTable()
    table.on_full_list(0.0, [record()], 10)
    table.on_deleted(1.0, "e-1", 11)
    table.on_full_list(2.0, [record()], 10)
    assert usable_ids(table) == []


def test_endpoint_whose_address_is_taken_gets_no_requests():
    table = EndpointTable()
    table.on_full_list(0.0, [record()], 10)
    table.on_wrong_endpoint("e-1")
    assert usable_ids(table) == []
