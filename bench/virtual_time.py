"""A virtual clock that runs events in the order of their times, without waiting."""

import heapq
from collections.abc import Callable


class VirtualClock:
    """The present virtual time, and the queue of events.

    Attributes
    ----------
    now_s : float
        The present virtual time, in seconds.
    """

    def __init__(self):
        self.now_s = 0.0
        self._queue = []
        self._count = 0

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action for a time, or for now if that time has passed."""
        self._count += 1
        entry = (max(time_s, self.now_s), self._count, action)
        heapq.heappush(self._queue, entry)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay."""
        self.at(self.now_s + delay_s, action)

    def every(self, period_s: float, first_s: float, action: Callable) -> None:
        """Schedule an action at ``first_s`` and then every ``period_s``."""

        def repeat():
            action()
            self.after(period_s, repeat)

        self.at(first_s, repeat)

    def run_until(self, end_s: float) -> None:
        """Run all events up to a time, and set the clock to it."""
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
        self.now_s = end_s
