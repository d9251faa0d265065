"""Tests of the time for which a host has known older versions than its peers."""

from gypsumusher_routing import VersionLag


def test_host_with_the_newest_version_has_no_lag():
    lag = VersionLag()
    assert lag.update(10.0, known=5, newest=5) == 0.0
    assert lag.update(99.0, known=6, newest=5) == 0.0


def test_lag_counts_from_the_first_report_of_a_newer_version():
    lag = VersionLag()
    assert lag.update(10.0, known=5, newest=7) == 0.0
    assert lag.update(10.5, known=5, newest=7) == 0.5
    assert lag.update(10.7, known=7, newest=7) == 0.0


def test_newer_versions_do_not_restart_the_lag():
    # A version is published every 0.5 s. The lag of a host that receives none of them
    # must not look like that of a host that receives each within 0.5 s.
    lag = VersionLag()
    for number in range(10):
        lag.update(0.5 * number, known=5, newest=6 + number)
    assert lag.lag_s == 4.5


def test_host_that_follows_frequent_changes_has_no_lag():
    lag = VersionLag()
    for number in range(10):
        lag.update(0.5 * number, known=number, newest=number + 1)
    assert lag.lag_s == 0.0


def test_version_that_only_a_dead_peer_reported_is_not_awaited():
    lag = VersionLag()
    lag.update(0.0, known=5, newest=900)
    lag.update(4.0, known=5, newest=900)
    assert lag.update(5.0, known=5, newest=6) == 0.0
    assert lag.update(5.5, known=5, newest=6) == 0.5
