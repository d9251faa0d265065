"""A virtual clock: events run in the order of their times, with no waiting."""

import heapq
from collections.abc import Callable


class VirtualClock:
    """Time and the events that are due.

    Attributes
    ----------
    now_s : float
        The present virtual time, in seconds.
    """

    def __init__(self):
        self.now_s = 0.0
        self._due = []
        self._count = 0

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time, or now if that has passed."""
        self._count += 1
        entry = (max(time_s, self.now_s), self._count, action)
        heapq.heappush(self._due, entry)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay."""
        self.at(self.now_s + delay_s, action)

    def every(self, period_s: float, first_s: float, action: Callable) -> None:
        """Run an action again and again."""

        def again():
            action()
            self.after(period_s, again)

        self.at(first_s, again)

    def run_until(self, end_s: float) -> None:
        """Run all events up to a time."""
        while self._due and self._due[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._due)
            action()
        self.now_s = end_s
