"""Endpoints as the store tells of them, late, again, or not at all."""

from gypsumusher_ports import EndpointRecord
from gypsumusher_routing import EndpointTable


def record(name="e-1", started_ms=1, leaving=False, beat=1, address="10.0.0.1:80"):
    return EndpointRecord(
        name, started_ms, "svc", address, "a", 6, leaving, 0.0, None, beat
    )


def usable(table):
    return [state.record.endpoint_id for state in table.of_service("svc")]


def test_a_late_older_entry_does_not_bring_a_leaving_endpoint_back():
    # An endpoint reports that it leaves. A write of its from before is carried out
    # seconds later, and its entry says "ready" again: new work would be cut.
    table = EndpointTable()
    table.on_record(record(beat=5), 10)
    table.on_record(record(beat=6, leaving=True), 11)
    table.on_record(record(beat=4), 12)
    assert usable(table) == []
    table.on_record(record(beat=9), 13)
    assert usable(table) == []


def test_an_endpoint_that_restarts_under_its_id_begins_anew():
    table = EndpointTable()
    table.on_record(record(beat=50), 10)
    old = table.states["e-1"]
    old.own_running = 3
    table.on_record(record(started_ms=2, beat=1), 11)
    assert not table.is_current(old)
    assert table.states["e-1"].own_running == 0


def test_an_entry_that_lapsed_while_the_store_was_away_may_come_back():
    # The store is down for longer than entries live. On its return its list is empty,
    # while all endpoints serve: dropping them would refuse everything for two seconds.
    table = EndpointTable()
    table.on_full_list(0.0, [record(), record("e-2", address="10.0.0.2:80")], 10)
    table.on_store_returned(100.0)
    table.on_full_list(100.0, [], 20)
    assert usable(table) == ["e-1", "e-2"]
    table.on_record(record("e-2", beat=2, address="10.0.0.2:80"), 21)
    assert table.drop_missing(101.0) == []
    assert table.drop_missing(103.0) == ["e-1"]
    assert usable(table) == ["e-2"]


def test_a_peers_list_that_may_lack_endpoints_takes_none_away():
    # The store returns empty. The five hosts that read it know that entries may come
    # back; the others have it from them, and dropped every endpoint at once.
    table = EndpointTable()
    both = [record(), record("e-2", address="10.0.0.2:80")]
    table.on_full_list(0.0, both, 10)
    assert table.on_partial_list([record(beat=2, leaving=True)], 20) == ["e-1"]
    assert usable(table) == ["e-2"]
    # The whole list of the same revision still counts, an older part doesn't.
    assert table.on_partial_list([record("e-3", address="10.0.0.3:80")], 9) == []
    table.on_full_list(3.0, [record(beat=3, leaving=True)], 20)
    assert usable(table) == []


def test_an_endpoint_that_is_kept_in_case_is_told_to_no_peer():
    # One host is cut off from the store while an endpoint leaves. Back again, it keeps
    # the missing entry for a while, in case the store had lost it; its peers, which
    # had dropped the endpoint, heard of it from this host and sent it work again.
    table = EndpointTable()
    table.on_full_list(0.0, [record(), record("e-2", address="10.0.0.2:80")], 10)
    table.on_store_returned(100.0)
    table.on_full_list(100.0, [record("e-2", address="10.0.0.2:80")], 20)
    assert usable(table) == ["e-1", "e-2"]
    assert [item.endpoint_id for item in table.listed_records()] == ["e-2"]
    assert table.is_in_grace_period(101.0) and not table.is_in_grace_period(103.0)


def test_an_entry_that_goes_while_the_store_is_well_is_gone():
    table = EndpointTable()
    table.on_full_list(0.0, [record()], 10)
    table.on_deleted(5.0, "e-1", 11)
    assert usable(table) == []


def test_a_stale_list_changes_nothing():
    table = EndpointTable()
    table.on_full_list(0.0, [record()], 10)
    table.on_deleted(1.0, "e-1", 11)
    table.on_full_list(2.0, [record()], 10)
    assert usable(table) == []


def test_an_endpoint_whose_address_another_has_gets_nothing():
    table = EndpointTable()
    table.on_full_list(0.0, [record()], 10)
    table.on_wrong_endpoint("e-1")
    assert usable(table) == []
