"""How much work of each kind arrives, as a host tells the steward."""

import math

# Time constants of the averages, in seconds. The fast one shows a burst; the planner
# uses the slow one, because work may wait for tens of seconds and still be on time,
# whereas a change that a burst has caused is undone soon after.
FAST_S = 5.0
PLAN_S = 15.0


class DemandMeter:
    """Averages of the arriving work of each class, in engine seconds a second."""

    def __init__(self):
        self.at_s = None
        self.pending = {}
        self.rates = {}
        self.plan_rates = {}

    def add(self, now_s: float, rank: int, prefill_s: float, decode_s: float) -> None:
        """Count the work of an arriving request."""
        self.roll(now_s)
        known = self.pending.get(rank, (0.0, 0.0))
        self.pending[rank] = (known[0] + prefill_s, known[1] + decode_s)
        self.rates.setdefault(rank, (0.0, 0.0))
        self.plan_rates.setdefault(rank, (0.0, 0.0))

    def roll(self, now_s: float) -> None:
        """Take the time since the last second into the averages."""
        if self.at_s is None:
            self.at_s = now_s
            return
        span_s = now_s - self.at_s
        if span_s < 1.0:
            return
        self.at_s = now_s
        self._average(self.rates, FAST_S, span_s)
        self._average(self.plan_rates, PLAN_S, span_s)
        self.pending.clear()

    def _average(self, rates, constant_s, span_s):
        weight = 1.0 - math.exp(-span_s / constant_s)
        for rank, known in rates.items():
            seen = self.pending.get(rank, (0.0, 0.0))
            prefill = known[0] + weight * (seen[0] / span_s - known[0])
            decode = known[1] + weight * (seen[1] / span_s - known[1])
            rates[rank] = (prefill, decode)
