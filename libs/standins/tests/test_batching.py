"""Tests of the batch simulation: step durations, slots, KV cache and priorities."""

import pytest

from gypsumusher_standins.batching import BatchRequest, BatchScheduler


def new_scheduler(slots=2, kv_limit_tokens=1000):
    return BatchScheduler(slots, kv_limit_tokens, 1000.0, 100.0)


def run_all(scheduler):
    """Run steps until the scheduler is idle; return total time and finished keys."""
    total_s = 0.0
    finished_keys = []
    while not scheduler.is_idle():
        scheduler.admit()
        step = scheduler.step()
        total_s += step.duration_s
        finished_keys += step.finished_keys
    return total_s, finished_keys


def test_full_batch_decodes_at_the_engine_rate():
    scheduler = new_scheduler()
    for key in ("a", "b"):
        scheduler.submit(BatchRequest(key, 10, 0, 50), 0)
    total_s, finished_keys = run_all(scheduler)
    assert total_s == pytest.approx(100 / 100.0)
    assert finished_keys == ["a", "b"]
    assert scheduler.kv_used_tokens == 0


def test_prefill_adds_to_the_step_duration():
    scheduler = new_scheduler()
    scheduler.submit(BatchRequest("a", 600, 600, 1), 0)
    total_s, _ = run_all(scheduler)
    assert total_s > 600 / 1000.0


def test_requests_run_by_priority_then_arrival():
    scheduler = new_scheduler(slots=1)
    for key, priority in (("late", 5), ("first", 1), ("second", 1)):
        scheduler.submit(BatchRequest(key, 1, 0, 1), priority)
    assert run_all(scheduler)[1] == ["first", "second", "late"]


def test_requests_wait_for_slots_and_kv_cache():
    scheduler = new_scheduler(slots=8, kv_limit_tokens=100)
    for key in ("a", "b"):
        scheduler.submit(BatchRequest(key, 40, 0, 20), 0)
    assert scheduler.admit() == ["a"]
    assert scheduler.waiting_prompt_tokens() == 40


def test_cancelled_request_frees_its_slot_and_kv_cache():
    scheduler = new_scheduler(slots=1)
    scheduler.submit(BatchRequest("a", 40, 0, 20), 0)
    scheduler.submit(BatchRequest("b", 40, 0, 20), 0)
    scheduler.admit()
    scheduler.cancel("a")
    assert scheduler.admit() == ["b"]
    scheduler.cancel("b")
    assert scheduler.is_idle()
    assert scheduler.kv_used_tokens == 0
