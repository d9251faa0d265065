"""Log with limits on its rate and its buffer that never blocks on a slow reader."""

import os
from datetime import UTC, datetime

from gypsumusher_process.log_lines import LINE_FORMAT, format_fields

__all__ = ["BoundedLog", "create_bounded_log"]

# Lines of one event per second. Further lines are suppressed, and their number is
# logged in one line. With the load expected in two years, a host serves about 25
# requests per second with two or three lines each, so that only a burst of errors
# reaches the limit.
MAX_EVENT_LINES_PER_S = 200
# Limit on the buffer for a slow reader. Lines that don't fit are dropped, and their
# number is logged. One second of bursts of all events takes about as much.
MAX_BUFFER_BYTES = 256 * 1024
# Delay in which lines are collected for one write, since each write is a system call.
FLUSH_DELAY_S = 0.1
# Delay of the first write, which imports the log library; the start of a process has
# more urgent work.
FIRST_FLUSH_DELAY_S = 1.0


class BoundedLog:
    """Logs the events of a process to a file descriptor.

    Writes never block. If the reader of standard output stops or is too slow, the pipe
    fills up, and a blocking write would stall all requests of the host.

    Parameters
    ----------
    host : str
        Name of this host, a field of each line.
    descriptor : int
        File descriptor for the lines; `start` sets it to non-blocking.
    clock : callable
        Monotonic clock in seconds.
    call_later : callable
        ``call_later(delay_s, function)`` of the event loop.
    level : str
        Lowest level that is logged: debug, info, warning or error.
    """

    def __init__(self, host, descriptor, clock, call_later, level="info"):
        self._host = host
        self._descriptor = descriptor
        self._clock = clock
        self._call_later = call_later
        self._level = level.upper()
        self._logger = None
        # Time, level and fields of lines that the next flush formats.
        self._pending = []
        self._buffer = bytearray()
        self._dropped_lines = 0
        self._suppressed = {}
        self._counts = {}
        self._second = 0
        self._is_flush_scheduled = False

    def start(self):
        """Set the file descriptor to non-blocking."""
        os.set_blocking(self._descriptor, False)

    def log(self, level, event, **fields):
        """Log one event; its line is written by a later flush.

        Parameters
        ----------
        level : str
            debug, info, warning or error.
        event : str
            Name of the event; the rate limit applies to each name.
        **fields
            Fields of the line; None values are left out. They must hold no payloads or
            secrets.
        """
        if not self._count_line(event):
            return
        line = format_fields({"event": event, "host": self._host, **fields})
        self._pending.append((datetime.now(UTC), level, line))
        self._schedule_flush()

    def flush(self):
        """Format the collected lines and write as much as fits without blocking."""
        self._is_flush_scheduled = False
        pending, self._pending = self._pending, []
        for at, level, line in pending:
            self._format(at, level, line)
        if not self._buffer:
            return
        try:
            written = os.write(self._descriptor, self._buffer)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe. The lines are dropped: a service must not
            # end because nothing reads its log.
            written = len(self._buffer)
        del self._buffer[:written]
        if self._buffer:
            self._schedule_flush()

    def _count_line(self, event):
        """Count a line of an event; return False above the limit of this second.

        At the beginning of a second, the lines suppressed before are logged as a
        number.
        """
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._counts.clear()
            suppressed, self._suppressed = self._suppressed, {}
            for name, count in suppressed.items():
                self.log("warning", "log_folded", folded=name, lines=count)
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count <= MAX_EVENT_LINES_PER_S:
            return True
        self._suppressed[event] = self._suppressed.get(event, 0) + 1
        return False

    def _format(self, at, level, line):
        """Format a line with the log library, which appends it to the buffer."""
        if self._logger is None:
            self._logger = _create_logger(self._append_line, self._level)
        getattr(self._logger, level)("{}", line, extra={"at": at})

    def _append_line(self, line):
        """Append a line to the buffer, or drop and count it when the buffer is full."""
        data = line.encode()
        if len(self._buffer) + len(data) > MAX_BUFFER_BYTES:
            self._dropped_lines += 1
            return
        if self._dropped_lines:
            report = (
                f"event=log_dropped host={self._host} lines={self._dropped_lines}\n"
            )
            self._dropped_lines = 0
            self._buffer += report.encode()
        self._buffer += data

    def _schedule_flush(self):
        """Schedule a flush unless one is scheduled already."""
        if self._is_flush_scheduled:
            return
        self._is_flush_scheduled = True
        delay_s = FIRST_FLUSH_DELAY_S if self._logger is None else FLUSH_DELAY_S
        self._call_later(delay_s, self.flush)


def _create_logger(append_line, level):
    """Return a logger that passes each formatted line to a function."""
    import logbook

    class BufferHandler(logbook.Handler):
        def emit(self, record):
            # The library sets the time of the flush, not the time of the event.
            record.time = record.extra["at"]
            append_line(LINE_FORMAT.format(record=record) + "\n")

    logger = logbook.Logger("gypsumusher")
    logger.handlers.append(BufferHandler(level=level))
    return logger


def create_bounded_log(host, loop, descriptor=1, level="info"):
    """Return a started log that uses the clock and timers of an event loop.

    Parameters
    ----------
    host : str
        Name of this host, a field of each line.
    loop : asyncio.AbstractEventLoop
        Event loop of the process.
    descriptor : int
        File descriptor for the lines; standard output by default.
    level : str
        Lowest level that is logged.

    Returns
    -------
    BoundedLog
    """
    log = BoundedLog(host, descriptor, loop.time, loop.call_later, level)
    log.start()
    return log
