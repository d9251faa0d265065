"""For how long a host knows less than its peers."""

from gypsumusher_routing import VersionLag


def test_a_host_that_knows_as_much_as_its_peers_has_no_lag():
    lag = VersionLag()
    assert lag.update(10.0, known=5, newest=5) == 0.0
    assert lag.update(99.0, known=6, newest=5) == 0.0


def test_the_lag_counts_from_the_first_word_of_what_is_missing():
    lag = VersionLag()
    assert lag.update(10.0, known=5, newest=7) == 0.0
    assert lag.update(10.5, known=5, newest=7) == 0.5
    assert lag.update(10.7, known=7, newest=7) == 0.0


def test_newer_news_does_not_begin_the_lag_of_older_news_anew():
    # One endpoint leaves each half second. A host that hears of none of them must not
    # look as one that hears of each within half a second.
    lag = VersionLag()
    for number in range(10):
        lag.update(0.5 * number, known=5, newest=6 + number)
    assert lag.lag_s == 4.5


def test_a_host_that_keeps_up_with_many_changes_has_a_small_lag():
    lag = VersionLag()
    for number in range(10):
        lag.update(0.5 * number, known=number, newest=number + 1)
    assert lag.lag_s == 0.0


def test_what_only_a_dead_peer_knew_is_not_waited_for():
    lag = VersionLag()
    lag.update(0.0, known=5, newest=900)
    lag.update(4.0, known=5, newest=900)
    assert lag.update(5.0, known=5, newest=6) == 0.0
    assert lag.update(5.5, known=5, newest=6) == 0.5
