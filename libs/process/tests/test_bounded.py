"""A log that neither waits for its reader nor grows without bound."""

import fcntl
import os

import pytest

from gypsumusher_process import BoundedLog
from gypsumusher_process.bounded_log import MAX_LINES_PER_S, MAX_WAITING_BYTES


class Setting:
    """A log that writes into a pipe, on a clock and timers of the test's own."""

    def __init__(self):
        self.now_s = 0.0
        self.timers = []
        self.reader, self.writer = os.pipe()
        fcntl.fcntl(self.writer, fcntl.F_SETPIPE_SZ, 4096)
        self.log = BoundedLog(
            "host-1",
            self.writer,
            lambda: self.now_s,
            lambda delay_s, function: self.timers.append(function),
        )
        self.log.start()

    def run_timers(self):
        timers, self.timers = self.timers, []
        for function in timers:
            function()

    def drain(self):
        """Read until nothing waits any more, as a reader that has caught up."""
        text = ""
        self.log.flush()
        while self.log._waiting:
            text += self.read()
            self.log.flush()
        return text + self.read()

    def read(self):
        os.set_blocking(self.reader, False)
        try:
            return os.read(self.reader, 1 << 20).decode()
        except BlockingIOError:
            return ""

    def close(self):
        os.close(self.reader)
        os.close(self.writer)


@pytest.fixture
def setting():
    """Return a log into a small pipe."""
    made = Setting()
    yield made
    made.close()


def test_a_line_has_its_fields(setting):
    setting.log.log("info", "asked", id="r 1", took_ms=3, left=None)
    setting.run_timers()
    line = setting.read()
    assert line.endswith('event=asked host=host-1 id="r 1" took_ms=3\n')
    assert "level=INFO" in line


def test_a_reader_that_stops_blocks_nobody_and_hears_what_it_missed(setting):
    # Whoever reads the log stops. The pipe fills up, and a blocking write would stand
    # still with every request of the host.
    for second in range(60):
        setting.now_s = float(second)
        for _ in range(MAX_LINES_PER_S):
            setting.log.log("info", f"event_{second % 7}", text="x" * 60)
        setting.run_timers()
    assert len(setting.log._waiting) <= MAX_WAITING_BYTES
    text = setting.drain()
    setting.log.log("info", "after")
    text += setting.drain()
    assert "event=log_dropped" in text
    assert "event=after" in text


def test_a_storm_of_one_event_is_folded_and_counted(setting):
    for _ in range(MAX_LINES_PER_S + 50):
        setting.log.log("warning", "storm")
    setting.now_s = 1.5
    setting.log.log("info", "calm")
    text = setting.drain()
    assert text.count("event=storm") == MAX_LINES_PER_S
    assert "event=log_folded host=host-1 folded=storm lines=50" in text
    assert "event=calm" in text
