"""Background tasks that fail by an exception nobody foresaw."""

import asyncio

from gypsumusher_process import background, keep_running


def run_failing(monkeypatch, failures, duration_s=0.0):
    """Return the pauses and log lines of a task that fails some times, then ends."""
    now_s, pauses, lines = 0.0, [], []

    class Loop:
        time = staticmethod(lambda: now_s)

    async def sleep(pause_s):
        pauses.append(pause_s)

    async def function(*arguments):
        nonlocal now_s
        now_s += duration_s
        if len(pauses) < failures:
            raise RuntimeError(arguments)

    async def main():
        monkeypatch.setattr(background.asyncio, "get_running_loop", Loop)
        monkeypatch.setattr(background.asyncio, "sleep", sleep)
        await keep_running(function, lambda *a, **fields: lines.append(fields), 1, 2)
        monkeypatch.undo()

    asyncio.run(main())
    return pauses, lines


def test_task_runs_again_after_each_exception(monkeypatch):
    """Guards against a component that is dead for the rest of the process's life."""
    pauses, lines = run_failing(monkeypatch, failures=9)
    assert pauses == [0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 5.0, 5.0, 5.0]
    assert [line["retry_s"] for line in lines] == pauses
    assert lines[0]["error"] == "RuntimeError((1, 2))"


def test_pauses_begin_anew_after_a_long_run(monkeypatch):
    """Guards against a long pause because of exceptions hours ago."""
    pauses, _ = run_failing(monkeypatch, failures=9, duration_s=60.0)
    assert pauses == 9 * [0.1]
