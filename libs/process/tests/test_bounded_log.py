"""BoundedLog: no blocking writes, limited buffer, limited rate for each event."""

import fcntl
import os

import pytest

from gypsumusher_process import BoundedLog
from gypsumusher_process.bounded_log import MAX_BUFFER_BYTES, MAX_EVENT_LINES_PER_S


class LogFixture:
    """A log that writes into a pipe, with a clock and timers that the test controls."""

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
        """Flush and read until the buffer is empty."""
        text = ""
        self.log.flush()
        while self.log._buffer:
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
def log_fixture():
    """Return a log that writes into a pipe of 4096 bytes."""
    created = LogFixture()
    yield created
    created.close()


def test_line_has_the_fields_of_the_event(log_fixture):
    log_fixture.log.log("info", "asked", id="r 1", took_ms=3, left=None)
    log_fixture.run_timers()
    line = log_fixture.read()
    assert line.endswith('event=asked host=host-1 id="r 1" took_ms=3\n')
    assert "level=INFO" in line


def test_stopped_reader_does_not_block_and_gets_the_number_of_dropped_lines(
    log_fixture,
):
    # The reader of the log stops, and the pipe fills up. A blocking write would stall
    # all requests of the host.
    for second in range(60):
        log_fixture.now_s = float(second)
        for _ in range(MAX_EVENT_LINES_PER_S):
            log_fixture.log.log("info", f"event_{second % 7}", text="x" * 60)
        log_fixture.run_timers()
    assert len(log_fixture.log._buffer) <= MAX_BUFFER_BYTES
    text = log_fixture.drain()
    log_fixture.log.log("info", "after")
    text += log_fixture.drain()
    assert "event=log_dropped" in text
    assert "event=after" in text


def test_burst_of_one_event_is_suppressed_and_counted(log_fixture):
    for _ in range(MAX_EVENT_LINES_PER_S + 50):
        log_fixture.log.log("warning", "storm")
    log_fixture.now_s = 1.5
    log_fixture.log.log("info", "calm")
    text = log_fixture.drain()
    assert text.count("event=storm") == MAX_EVENT_LINES_PER_S
    assert "event=log_folded host=host-1 folded=storm lines=50" in text
    assert "event=calm" in text
