"""How much work of each kind arrives, as a host tells the steward."""

import math

# Time constant of the average, in seconds: it follows a swing within a few seconds.
FAST_S = 5.0


class DemandMeter:
    """Averages of the arriving work of each class, in engine seconds a second."""

    def __init__(self):
        self.at_s = None
        self.pending = {}
        self.rates = {}

    def add(self, now_s: float, rank: int, prefill_s: float, decode_s: float) -> None:
        """Count the work of an arriving request."""
        self.roll(now_s)
        known = self.pending.get(rank, (0.0, 0.0))
        self.pending[rank] = (known[0] + prefill_s, known[1] + decode_s)
        self.rates.setdefault(rank, (0.0, 0.0))

    def roll(self, now_s: float) -> None:
        """Take the time since the last second into the averages."""
        if self.at_s is None:
            self.at_s = now_s
            return
        span_s = now_s - self.at_s
        if span_s < 1.0:
            return
        self.at_s = now_s
        weight = 1.0 - math.exp(-span_s / FAST_S)
        for rank, known in self.rates.items():
            seen = self.pending.get(rank, (0.0, 0.0))
            prefill = known[0] + weight * (seen[0] / span_s - known[0])
            decode = known[1] + weight * (seen[1] / span_s - known[1])
            self.rates[rank] = (prefill, decode)
        self.pending.clear()
