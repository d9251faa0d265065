"""The stand-in engine's batch: time by tokens, slots, KV limit and priorities."""

import pytest

from gypsumusher_standins.batching import Batch, Work


def new_batch(slots=2, kv_limit_tokens=1000):
    return Batch(slots, kv_limit_tokens, 1000.0, 100.0)


def run_all(batch):
    """Run steps until the batch is idle; return total time and finished keys."""
    total_s = 0.0
    finished = []
    while not batch.is_idle():
        batch.admit()
        step = batch.step()
        total_s += step.duration_s
        finished += step.finished
    return total_s, finished


def test_a_full_batch_decodes_at_the_engines_rate():
    batch = new_batch()
    for key in ("a", "b"):
        batch.submit(Work(key, 10, 0, 50), 0)
    total_s, finished = run_all(batch)
    assert total_s == pytest.approx(100 / 100.0)
    assert finished == ["a", "b"]
    assert batch.kv_used_tokens == 0


def test_prefill_takes_its_own_time():
    batch = new_batch()
    batch.submit(Work("a", 600, 600, 1), 0)
    total_s, _ = run_all(batch)
    assert total_s > 600 / 1000.0


def test_the_smaller_priority_and_then_the_earlier_runs_first():
    batch = new_batch(slots=1)
    for key, priority in (("late", 5), ("first", 1), ("second", 1)):
        batch.submit(Work(key, 1, 0, 1), priority)
    assert run_all(batch)[1] == ["first", "second", "late"]


def test_work_waits_for_slots_and_kv_cache():
    batch = new_batch(slots=8, kv_limit_tokens=100)
    for key in ("a", "b"):
        batch.submit(Work(key, 40, 0, 20), 0)
    assert batch.admit() == ["a"]
    assert batch.waiting_prompt_tokens() == 40


def test_cancelled_work_frees_its_place():
    batch = new_batch(slots=1)
    batch.submit(Work("a", 40, 0, 20), 0)
    batch.submit(Work("b", 40, 0, 20), 0)
    batch.admit()
    batch.cancel("a")
    assert batch.admit() == ["b"]
    batch.cancel("b")
    assert batch.is_idle()
    assert batch.kv_used_tokens == 0
