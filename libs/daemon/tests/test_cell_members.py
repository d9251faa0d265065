"""Hosts compute the same cells, and each host belongs to few of them."""

from gypsumusher_daemon.cell_members import (
    GOSSIP_HOSTS_MIN,
    cell_of,
    gossip_hosts,
    own_deployments,
)

ZONES = ["a", "b", "c", "d", "e", "f"]
DOCUMENT = {"deployments": {f"d{n}": {"cell_hosts": 8} for n in range(40)}}


def make_hosts(count):
    return [(f"h{n:03d}", ZONES[n % len(ZONES)]) for n in range(count)]


def test_with_8_hosts_every_host_is_in_every_cell():
    hosts = make_hosts(8)
    for name, _ in hosts:
        assert own_deployments(DOCUMENT, hosts, name) == set(DOCUMENT["deployments"])
        assert len(gossip_hosts(DOCUMENT, hosts, name)) == 7


def test_with_330_hosts_each_has_few_deployments_and_gossip_hosts():
    hosts = make_hosts(330)
    shares = [len(own_deployments(DOCUMENT, hosts, name)) for name, _ in hosts]
    gossip_counts = [len(gossip_hosts(DOCUMENT, hosts, name)) for name, _ in hosts]
    assert sum(shares) == 40 * 8
    assert max(shares) <= 6
    assert min(gossip_counts) >= GOSSIP_HOSTS_MIN - 1
    assert max(gossip_counts) <= 50


def test_the_loss_of_a_zone_leaves_most_of_each_cell():
    hosts = make_hosts(330)
    for deployment in DOCUMENT["deployments"]:
        cell = set(cell_of(DOCUMENT, hosts, deployment))
        lost = [name for name, zone in hosts if zone == "a" and name in cell]
        assert len(lost) <= 2


def test_removing_a_host_replaces_at_most_two_members_of_a_cell():
    hosts = make_hosts(60)
    for deployment in list(DOCUMENT["deployments"])[:5]:
        before = cell_of(DOCUMENT, hosts, deployment)
        rest = [host for host in hosts if host[0] != before[0]]
        after = cell_of(DOCUMENT, rest, deployment)
        assert len(set(before) - set(after)) <= 2


def test_an_unknown_deployment_has_no_cell():
    assert cell_of(DOCUMENT, make_hosts(8), "none") == []
