"""The call budget keeps a host's share, a reserve, and hosts apart after failures."""

import random

from gypsumusher_objects import READ, WRITE, BudgetLimits, CallBudget


def make_budget(seed=1, **limits):
    return CallBudget(random.Random(seed).random, BudgetLimits(**limits))


def calls_let_through(budget, kind, urgent, seconds, steps_per_s=100):
    let_through = 0
    for step in range(int(seconds * steps_per_s)):
        if budget.take(step / steps_per_s, kind, urgent) == 0.0:
            let_through += 1
    return let_through


def test_rate_holds_over_time():
    budget = make_budget(writes_per_s=10.0, reads_per_s=40.0)
    # A burst of one second's calls, then the rate.
    assert calls_let_through(budget, WRITE, True, 10.0) == 109
    assert calls_let_through(budget, READ, True, 10.0) == 439


def test_bulk_reads_leave_the_reserve_to_urgent_calls():
    budget = make_budget(reads_per_s=10.0)
    while budget.take(0.0, READ) == 0.0:
        pass
    assert [budget.take(0.0, READ, urgent=True) for _ in range(2)] == [0.0, 0.0]
    assert budget.take(0.0, READ, urgent=True) > 0.0


def test_wait_is_the_time_until_a_token_is_there():
    budget = make_budget(writes_per_s=4.0)
    while (wait_s := budget.take(0.0, WRITE)) == 0.0:
        pass
    assert budget.take(wait_s * 0.9, WRITE) > 0.0
    assert budget.take(wait_s, WRITE) == 0.0


def test_calls_that_break_together_count_as_one_failure():
    budget = make_budget()
    for _ in range(20):
        budget.on_failure(1.0, started_s=0.5)
    assert budget.failures == 1
    budget.on_success(started_s=0.6)
    assert budget.is_failing()
    budget.on_success(started_s=1.0)
    assert not budget.is_failing()


def test_throttled_call_waits_at_least_what_the_platform_asked():
    budget = make_budget()
    budget.on_failure(1.0, 0.9, retry_after_s=2.0)
    assert budget.take(2.99, READ, urgent=True) > 0.0


def test_hosts_do_not_stampede_when_the_platform_returns():
    """The platform is down for 20 s and returns; every host has work saved up.

    Without the random wait all hosts call in the same instant, with all the calls
    that they saved, and the platform throttles or falls again.
    """
    hosts = [make_budget(seed, reads_per_s=6.0) for seed in range(330)]
    calls = [0] * 2500
    returned_step = 2000
    for step in range(2500):
        now_s = step / 100
        for budget in hosts:
            while budget.take(now_s, READ) == 0.0:
                calls[step] += 1
                if step >= returned_step:
                    budget.on_success(now_s)
                    continue
                budget.on_failure(now_s, now_s)
    assert sum(calls[1000:returned_step]) / 10 < 300
    # A tenth of a second's share of the platform's 2,000 reads is 200.
    after = [sum(calls[start : start + 10]) for start in range(returned_step, 2500, 10)]
    assert max(after) <= 250
    assert all(not budget.is_failing() for budget in hosts)


def test_calls_saved_up_in_an_outage_are_gone_when_it_ends():
    budget = make_budget(reads_per_s=100.0, max_backoff_s=0.0)
    budget.on_failure(1.0, 1.0)
    assert budget.take(1.0, READ) > 0.0
    let_through = 0
    while budget.take(1.0, READ, urgent=True) == 0.0:
        let_through += 1
    assert let_through == 20
