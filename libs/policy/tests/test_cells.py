"""Choice of a deployment's hosts, and of the hosts given to a caller."""

from gypsumusher_policy import choose_cell, choose_entry_hosts

HOSTS = [(f"h{n}", f"z{n % 3}") for n in range(30)]


def test_cell_is_spread_over_zones():
    cell = choose_cell(HOSTS, "letters", 6)
    zones = [dict(HOSTS)[name] for name in cell]
    assert sorted(zones) == ["z0", "z0", "z1", "z1", "z2", "z2"]


def test_lost_host_changes_few_members_of_a_cell():
    cell = choose_cell(HOSTS, "letters", 8)
    remaining = [host for host in HOSTS if host[0] != cell[0]]
    again = choose_cell(remaining, "letters", 8)
    assert len(set(cell) & set(again)) >= 6


def test_caller_gets_only_live_hosts_and_its_own_zone_first():
    cell = choose_cell(HOSTS, "letters", 6)
    live = [host for host in HOSTS if host[0] != cell[0]]
    chosen = choose_entry_hosts(live, cell, "z1", 3)
    assert dict(HOSTS)[chosen[0]] == "z1"
    assert cell[0] not in chosen
    assert len(chosen) == 3
