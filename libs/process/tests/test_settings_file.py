"""Settings that are read while they are being written."""

import pytest

from gypsumusher_ports import GypsumusherError
from gypsumusher_process.settings_file import (
    RELOAD_TIME_S,
    START_TIME_S,
    SettingsReload,
    load_written_settings,
)


class File:
    """A settings file, timers and a log without a process."""

    def __init__(self, content):
        self.content = content
        self.now_s = 0.0
        self.timers = []
        self.applied = []
        self.lines = []
        self.reload = SettingsReload(
            self.load, self.applied.append, self.log, self.call_later
        )

    def load(self):
        if self.content is None:
            raise GypsumusherError("incomplete")
        return self.content

    def log(self, level, event, **fields):
        self.lines.append((event, fields.get("final", False)))

    def call_later(self, delay_s, function):
        timer = Timer(self.now_s + delay_s, function)
        self.timers.append(timer)
        return timer

    def advance(self, duration_s):
        until_s = self.now_s + duration_s
        while True:
            due = [t for t in self.timers if not t.is_done and t.at_s <= until_s]
            if not due:
                break
            timer = min(due, key=lambda timer: timer.at_s)
            timer.is_done, self.now_s = True, timer.at_s
            timer.function()
        self.now_s = until_s

    def count_pending(self):
        return sum(not timer.is_done for timer in self.timers)


class Timer:
    def __init__(self, at_s, function):
        self.at_s, self.function, self.is_done = at_s, function, False

    def cancel(self):
        self.is_done = True


@pytest.mark.parametrize("first", [None, "part"])
def test_file_that_is_completed_after_the_request_is_applied(first):
    """Guards against part of a file, refused or valid, that stays in force."""
    file = File(first)
    file.reload.request()
    file.advance(RELOAD_TIME_S / 2)
    file.content = "whole"
    file.advance(RELOAD_TIME_S / 2)
    assert file.applied == ([first] if first else []) + ["whole"]


def test_reads_end_and_repeated_errors_are_logged_once_more():
    """Guards against a line for each read, and against reads without end."""
    file = File(None)
    for _ in range(3):
        file.reload.request()
        assert file.count_pending() == 1
    file.advance(2 * RELOAD_TIME_S)
    refused = ("settings_refused", False)
    assert file.lines == 3 * [refused] + [("settings_refused", True)]
    assert file.count_pending() == 0
    assert file.applied == []


def test_close_ends_the_reads():
    """Guards against settings that are applied after the end of a host."""
    file = File(None)
    file.reload.request()
    file.reload.close()
    file.content = "whole"
    file.advance(RELOAD_TIME_S)
    assert file.applied == []


@pytest.mark.parametrize("is_completed", [True, False])
def test_start_waits_a_limited_time_for_a_complete_file(is_completed):
    """Guards against a start that fails at once, and one that waits without end."""
    file = File(None)

    def sleep(pause_s):
        file.now_s += pause_s
        if is_completed and file.now_s > START_TIME_S / 2:
            file.content = "whole"

    errors = []
    if is_completed:
        assert load_written_settings(file.load, errors.append, sleep) == "whole"
    else:
        with pytest.raises(GypsumusherError):
            load_written_settings(file.load, errors.append, sleep)
        assert file.now_s == pytest.approx(START_TIME_S)
    assert errors
