"""Call budget: rate, urgent reserve, and back-off with jitter after failures."""

import random

from gypsumusher_objects import READ, WRITE, BudgetLimits, CallBudget


def make_budget(seed=1, **limits):
    return CallBudget(random.Random(seed).random, BudgetLimits(**limits))


def count_allowed_calls(budget, kind, urgent, seconds, steps_per_s=100):
    allowed = 0
    for step in range(int(seconds * steps_per_s)):
        if budget.take(step / steps_per_s, kind, urgent) == 0.0:
            allowed += 1
    return allowed


def test_rate_holds_over_time():
    budget = make_budget(writes_per_s=10.0, reads_per_s=40.0)
    # A burst of one second's calls, then the sustained rate.
    assert count_allowed_calls(budget, WRITE, True, 10.0) == 109
    assert count_allowed_calls(budget, READ, True, 10.0) == 439


def test_bulk_reads_leave_the_reserve_to_urgent_calls():
    budget = make_budget(reads_per_s=10.0)
    while budget.take(0.0, READ) == 0.0:
        pass
    assert [budget.take(0.0, READ, urgent=True) for _ in range(2)] == [0.0, 0.0]
    assert budget.take(0.0, READ, urgent=True) > 0.0


def test_wait_is_the_time_until_a_token_is_available():
    budget = make_budget(writes_per_s=4.0)
    while (wait_s := budget.take(0.0, WRITE)) == 0.0:
        pass
    assert budget.take(wait_s * 0.9, WRITE) > 0.0
    assert budget.take(wait_s, WRITE) == 0.0


def test_calls_that_fail_together_count_as_one_failure():
    budget = make_budget()
    for _ in range(20):
        budget.on_failure(1.0, started_s=0.5)
    assert budget.consecutive_failures == 1
    budget.on_success(started_s=0.6)
    assert budget.is_failing()
    budget.on_success(started_s=1.0)
    assert not budget.is_failing()


def test_wait_after_throttling_is_at_least_what_the_platform_asked_for():
    budget = make_budget()
    budget.on_failure(1.0, 0.9, retry_after_s=2.0)
    assert budget.take(2.99, READ, urgent=True) > 0.0


def test_hosts_do_not_call_all_at_once_when_the_platform_returns():
    """The platform is down for 20 s, and every host has calls pending at its return.

    Without the random wait all hosts call at the same moment and with all their
    unused tokens, and the platform throttles them or fails again.
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


def test_unused_tokens_are_discarded_on_a_failure():
    budget = make_budget(reads_per_s=100.0, max_backoff_s=0.0)
    budget.on_failure(1.0, 1.0)
    assert budget.take(1.0, READ) > 0.0
    allowed = 0
    while budget.take(1.0, READ, urgent=True) == 0.0:
        allowed += 1
    assert allowed == 20
