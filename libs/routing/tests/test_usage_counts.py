"""Counts of usage that survive lost, repeated and reordered messages and dead hosts."""

import random

from gypsumusher_routing import TrueTime, UsageCollector, UsageCounter


def transfer(counter, collector, receiver="holder", is_lost=False):
    """Send a receiver what it lacks; return whether there was anything."""
    changes = counter.changes_for(receiver)
    if changes is None:
        return False
    if not is_lost:
        collector.on_counts("process", changes.counts)
        counter.on_acknowledged(receiver, changes.position)
    return True


def test_counts_arrive_whatever_messages_are_lost():
    """Guards against requests that are counted twice, or not, after a lost message."""
    rng = random.Random(1)
    counter, collector = UsageCounter(5.0, 15.0), UsageCollector(5.0, 15.0)
    for number in range(500):
        counter.count(100.0 + number / 100.0, f"account-{rng.randrange(30)}")
        if number % 20 == 0:
            changes = counter.changes_for("holder")
            deliveries = rng.randrange(3)
            for _ in range(deliveries):
                collector.on_counts("process", changes.counts)
            if deliveries and rng.random() < 0.5:
                counter.on_acknowledged("holder", changes.position)
    transfer(counter, collector)
    assert sum(collector.totals(20).values()) == 500
    assert collector.totals(20) == counter.totals(20)
    assert not transfer(counter, collector)


def test_message_has_only_what_the_receiver_lacks():
    counter, collector = UsageCounter(5.0, 15.0), UsageCollector(5.0, 15.0)
    for account in ("a", "b"):
        counter.count(100.0, account)
    transfer(counter, collector)
    counter.count(100.1, "b")
    assert counter.changes_for("holder").counts == [(20, "b", 2)]


def test_restarted_receiver_gets_all_counts_again():
    """Guards against an heir that lacks what its predecessor had acknowledged."""
    counter, collector = UsageCounter(5.0, 15.0), UsageCollector(5.0, 15.0)
    counter.count(100.0, "a")
    transfer(counter, collector, ("holder", 1))
    assert counter.changes_for(("holder", 2)).counts == [(20, "a", 1)]


def test_counts_of_a_dead_process_are_added_to_those_of_its_successor():
    """Guards against usage that is lost with the process that counted it."""
    collector = UsageCollector(5.0, 15.0)
    collector.on_counts("first", [(20, "a", 7)])
    collector.on_counts("second", [(20, "a", 2)])
    assert collector.totals(20) == {"a": 9}


def test_old_windows_are_dropped():
    """Guards against memory that grows with the age of a process."""
    counter, collector = UsageCounter(5.0, 15.0), UsageCollector(5.0, 15.0)
    counter.count(100.0, "a")
    transfer(counter, collector)
    counter.drop_old(125.0, {"holder"})
    collector.drop_old(125.0)
    assert counter.totals(20) == collector.totals(20) == {}
    assert counter.changes_for("other") is None


def test_clocks_that_jump_do_not_move_true_time():
    """Guards against windows that shift when some hosts' clocks are stepped."""
    true_time = TrueTime()
    for number in range(7):
        error_s = 2.4 if number < 3 else 0.001 * number
        true_time.on_clock(50.0, f"host-{number}", 1000.0 + error_s)
    assert abs(true_time.offset_s(50.0) - 1000.0) < 0.01


def test_host_with_few_clocks_uses_the_estimates_of_others():
    """Guards against a host that believes its own clock after a jump."""
    true_time = TrueTime()
    true_time.on_clock(50.0, "own", 1002.4)
    assert true_time.offset_s(50.0) == 1002.4
    true_time.on_estimate(50.0, "watcher", 1000.0)
    assert true_time.offset_s(50.0) == 1000.0


def test_true_time_runs_on_without_messages():
    """Guards against a host that falls back to its own clock when it is cut off."""
    true_time = TrueTime()
    true_time.on_estimate(50.0, "watcher", 1000.0)
    assert true_time.offset_s(50.0) == 1000.0
    assert true_time.offset_s(500.0) == 1000.0
    assert TrueTime().offset_s(1.0) is None
