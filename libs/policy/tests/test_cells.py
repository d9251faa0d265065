"""Cells are stable, spread over zones, and told to callers by zone."""

from gypsumusher_policy import choose_cell, choose_entry_hosts

HOSTS = [(f"h{n}", f"z{n % 3}") for n in range(30)]


def test_cell_spreads_over_the_zones():
    cell = choose_cell(HOSTS, "letters", 6)
    zones = [dict(HOSTS)[name] for name in cell]
    assert sorted(zones) == ["z0", "z0", "z1", "z1", "z2", "z2"]


def test_a_lost_host_moves_few_places():
    cell = choose_cell(HOSTS, "letters", 8)
    rest = [host for host in HOSTS if host[0] != cell[0]]
    again = choose_cell(rest, "letters", 8)
    assert len(set(cell) & set(again)) >= 6


def test_callers_are_told_their_own_zone_first_and_only_live_hosts():
    cell = choose_cell(HOSTS, "letters", 6)
    live = [host for host in HOSTS if host[0] != cell[0]]
    told = choose_entry_hosts(live, cell, "z1", 3)
    assert dict(HOSTS)[told[0]] == "z1"
    assert cell[0] not in told
    assert len(told) == 3
