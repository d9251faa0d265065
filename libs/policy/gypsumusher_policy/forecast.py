"""How much work of each kind arrives, as a host tells the steward."""

import math

# Time constants of the two averages, in seconds: the fast one follows a swing within
# a few seconds, the slow one tells a swing from a burst.
FAST_S = 5.0
SLOW_S = 60.0


class DemandMeter:
    """Averages of the arriving work, in engine seconds for each second."""

    def __init__(self):
        self.at_s = None
        self.pending = [0.0, 0.0]
        self.fast = [0.0, 0.0]
        self.slow = [0.0, 0.0]

    def add(self, now_s: float, prefill_s: float, decode_s: float) -> None:
        """Count the work of an arriving request."""
        self.roll(now_s)
        self.pending[0] += prefill_s
        self.pending[1] += decode_s

    def roll(self, now_s: float) -> None:
        """Take the time since the last second into the averages."""
        if self.at_s is None:
            self.at_s = now_s
            return
        span_s = now_s - self.at_s
        if span_s < 1.0:
            return
        self.at_s = now_s
        for kind in (0, 1):
            rate = self.pending[kind] / span_s
            self.pending[kind] = 0.0
            self.fast[kind] += _weight(span_s, FAST_S) * (rate - self.fast[kind])
            self.slow[kind] += _weight(span_s, SLOW_S) * (rate - self.slow[kind])


def _weight(span_s, constant_s):
    return 1.0 - math.exp(-span_s / constant_s)
