"""A log whose volume is bounded and that never waits for its reader."""

import os
from datetime import UTC, datetime

from gypsumusher_process.log_lines import LINE_FORMAT, format_fields

__all__ = ["BoundedLog", "create_bounded_log"]

# Lines of one event in a second; the rest is counted and said in one line. A host takes
# some 25 requests a second at the two-year size, with two or three lines each, so only
# a storm reaches it.
MAX_LINES_PER_S = 200
# Bytes that wait for a reader that has stopped; what comes on top is counted and
# dropped. A second of a storm over all events is about as large.
MAX_WAITING_BYTES = 256 * 1024
# Lines are written together, since each write costs a system call.
FLUSH_S = 0.1
# The first ones are written after this time, in seconds: the log library is imported
# for them, and a process that starts has more urgent work.
FIRST_FLUSH_S = 1.0


class BoundedLog:
    """Logs events of one process to a descriptor.

    Failure guarded against: the reader of standard output stops or falls behind, the
    pipe fills up, and a blocking write stands still with every request of the host.

    Parameters
    ----------
    host : str
        Name of this host; stands on each line.
    descriptor : int
        Where lines go; it is set not to block.
    clock : callable
        Seconds on a steady clock.
    call_later : callable
        ``call_later(delay_s, function)`` of the loop.
    level : str
        Least level: debug, info, warning or error.
    """

    def __init__(self, host, descriptor, clock, call_later, level="info"):
        self._host = host
        self._descriptor = descriptor
        self._clock = clock
        self._call_later = call_later
        self._level = level.upper()
        self._logger = None
        # Lines of which the time is known, and which are formatted when written.
        self._pending = []
        self._waiting = bytearray()
        self._dropped_lines = 0
        self._folded = {}
        self._counts = {}
        self._second = 0
        self._is_scheduled = False

    def start(self):
        """Make the descriptor non-blocking."""
        os.set_blocking(self._descriptor, False)

    def log(self, level, event, **fields):
        """Log one event.

        Parameters
        ----------
        level : str
            debug, info, warning or error.
        event : str
            Name of the event; its lines are counted together.
        **fields
            Values; None is left out. No payloads, no secrets.
        """
        if not self._admits(event):
            return
        line = format_fields({"event": event, "host": self._host, **fields})
        self._pending.append((datetime.now(UTC), level, line))
        self._schedule()

    def flush(self):
        """Write what the reader takes now."""
        self._is_scheduled = False
        pending, self._pending = self._pending, []
        for at, level, line in pending:
            self._format(at, level, line)
        if not self._waiting:
            return
        try:
            written = os.write(self._descriptor, self._waiting)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone for good. Nothing can be said to it, and a service
            # must not end because nobody listens.
            written = len(self._waiting)
        del self._waiting[:written]
        if self._waiting:
            self._schedule()

    def _admits(self, event):
        """Count an event; False when too many of it came in this second."""
        second = int(self._clock())
        if second != self._second:
            self._second = second
            self._counts.clear()
            folded, self._folded = self._folded, {}
            for name, count in folded.items():
                self.log("warning", "log_folded", folded=name, lines=count)
        count = self._counts.get(event, 0) + 1
        self._counts[event] = count
        if count <= MAX_LINES_PER_S:
            return True
        self._folded[event] = self._folded.get(event, 0) + 1
        return False

    def _format(self, at, level, line):
        """Have the log library make a line of an event."""
        if self._logger is None:
            self._logger = _create_logger(self._take_line, self._level)
        getattr(self._logger, level)("{}", line, extra={"at": at})

    def _take_line(self, line):
        """Keep a line until the reader takes it."""
        data = line.encode()
        if len(self._waiting) + len(data) > MAX_WAITING_BYTES:
            self._dropped_lines += 1
            return
        if self._dropped_lines:
            lost = f"event=log_dropped host={self._host} lines={self._dropped_lines}\n"
            self._dropped_lines = 0
            self._waiting += lost.encode()
        self._waiting += data

    def _schedule(self):
        """Have the lines written soon."""
        if self._is_scheduled:
            return
        self._is_scheduled = True
        delay_s = FIRST_FLUSH_S if self._logger is None else FLUSH_S
        self._call_later(delay_s, self.flush)


def _create_logger(take_line, level):
    """Return a logger that hands each record's line to a function."""
    import logbook

    class BufferHandler(logbook.Handler):
        def emit(self, record):
            # The library's own time is that of the flush.
            record.time = record.extra["at"]
            take_line(LINE_FORMAT.format(record=record) + "\n")

    logger = logbook.Logger("gypsumusher")
    logger.handlers.append(BufferHandler(level=level))
    return logger


def create_bounded_log(host, loop, descriptor=1, level="info"):
    """Return a started log on a loop's clock.

    Parameters
    ----------
    host : str
        Name of this host.
    loop : asyncio.AbstractEventLoop
        Its clock and timers are used.
    descriptor : int
        Where lines go; standard output by default.
    level : str
        Least level.

    Returns
    -------
    BoundedLog
    """
    log = BoundedLog(host, descriptor, loop.time, loop.call_later, level)
    log.start()
    return log
