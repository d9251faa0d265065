"""Arrival rates of prefill and decode work, which hosts report to the steward."""

import math

# Time constant of the rates that follow bursts, in seconds.
FAST_TIME_CONSTANT_S = 5.0
# Time constant of the rates for role planning, in seconds. Queued work may wait for
# tens of seconds and still meet its deadline, whereas a role change made for a short
# burst would soon be reversed.
PLANNING_TIME_CONSTANT_S = 15.0


class DemandMeter:
    """Moving averages of the work that arrives in each class.

    Rates are pairs (prefill, decode) by class rank, in engine seconds per second.

    Attributes
    ----------
    fast_rates, planning_rates : dict of int to (float, float)
        Averages with the fast and the planning time constant.
    """

    def __init__(self):
        self.updated_s = None
        self.pending = {}
        self.fast_rates = {}
        self.planning_rates = {}

    def add(self, now_s: float, rank: int, prefill_s: float, decode_s: float) -> None:
        """Count the work of an arriving request, in engine seconds."""
        self.update(now_s)
        work_s = self.pending.get(rank, (0.0, 0.0))
        self.pending[rank] = (work_s[0] + prefill_s, work_s[1] + decode_s)
        self.fast_rates.setdefault(rank, (0.0, 0.0))
        self.planning_rates.setdefault(rank, (0.0, 0.0))

    def update(self, now_s: float) -> None:
        """Fold the pending arrivals into the averages, at most once a second."""
        if self.updated_s is None:
            self.updated_s = now_s
            return
        interval_s = now_s - self.updated_s
        if interval_s < 1.0:
            return
        self.updated_s = now_s
        self._average(self.fast_rates, FAST_TIME_CONSTANT_S, interval_s)
        self._average(self.planning_rates, PLANNING_TIME_CONSTANT_S, interval_s)
        self.pending.clear()

    def _average(self, rates, time_constant_s, interval_s):
        """Move the rates of all ranks towards those of the last interval."""
        weight = 1.0 - math.exp(-interval_s / time_constant_s)
        for rank, rate in rates.items():
            arrived_s = self.pending.get(rank, (0.0, 0.0))
            prefill = rate[0] + weight * (arrived_s[0] / interval_s - rate[0])
            decode = rate[1] + weight * (arrived_s[1] / interval_s - rate[1])
            rates[rank] = (prefill, decode)
