"""Measures what a home for idempotency keys costs, in virtual time."""

import heapq
import json
import time

from capacity_fit import fit_line
from capacity_objects import kept_bytes, sweep

from gypsumusher_coordination import ClaimGranted, ReadObject, WriteDone, WriteObject
from gypsumusher_coordination.journal import HomeJournal, JournalPolicy

# The library's own limits; a daemon's settings may choose others.
POLICY = JournalPolicy()
RUN_S = 60.0
WRITE_LATENCY_S = 0.005
WORK_S = 2.0
TICK_S = 0.01
# From the rate on at which the limit of writes holds: below it each key is one write.
RATES_PER_S = (10, 20, 40, 80, 160)
ROUNDS = 3


class Counts:
    """What one run of a home cost."""

    def __init__(self):
        self.claims = 0
        self.granted = 0
        self.writes = 0
        self.written_bytes = 0
        self.cpu_s = 0.0


class HomeRun:
    """One home whose keys arrive at an even rate, with a platform that is well."""

    def __init__(self, rate_per_s, run_s=RUN_S):
        self.counts = Counts()
        self.journal = HomeJournal("a" * 18, "writer", POLICY)
        self._rate_per_s = rate_per_s
        self._run_s = run_s
        self._versions = {}
        self._events = []
        self._order = 0

    def run(self):
        """Run it through and return its counts."""
        for number in range(int(self._rate_per_s * self._run_s)):
            self._at(number / self._rate_per_s, self._claim)
        for number in range(int(self._run_s / TICK_S)):
            self._at(number * TICK_S, self._tick)
        start_s = time.process_time()
        while self._events:
            now_s, _, action = heapq.heappop(self._events)
            action(now_s)
        self.counts.cpu_s = time.process_time() - start_s
        return self.counts

    def _at(self, at_s, action):
        self._order += 1
        heapq.heappush(self._events, (at_s, self._order, action))

    def _claim(self, now_s):
        number = self.counts.claims
        self.counts.claims += 1
        key = self.journal.mint(f"{number:032x}")
        self._carry_out(now_s, self.journal.claim(now_s, key, f"{number:064x}"))

    def _tick(self, now_s):
        self._carry_out(now_s, self.journal.tick(now_s))

    def _carry_out(self, now_s, effects):
        for effect in effects:
            if isinstance(effect, ClaimGranted):
                self.counts.granted += 1
                self._at(now_s + WORK_S, self._finisher(effect.key))
                continue
            if isinstance(effect, WriteObject):
                self._write(now_s, effect)
                continue
            if isinstance(effect, ReadObject):
                raise RuntimeError("a home whose writes are answered reads nothing")

    def _finisher(self, key):
        def finish(now_s):
            self._carry_out(now_s, self.journal.finish(now_s, key))

        return finish

    def _write(self, now_s, effect):
        self.counts.writes += 1
        self.counts.written_bytes += len(json.dumps(effect.value).encode())
        version = self._versions.get(effect.name, 0) + 1
        self._versions[effect.name] = version

        def answer(later_s):
            event = WriteDone(effect.tag, version)
            self._carry_out(later_s, self.journal.handle(later_s, event))

        self._at(now_s + WRITE_LATENCY_S, answer)


def checked_run(rate_per_s):
    """Run a home; every claim must have been granted."""
    counts = HomeRun(rate_per_s).run()
    if counts.granted != counts.claims:
        raise RuntimeError(f"{counts.claims - counts.granted} claims were not granted")
    return counts


def writes_per_s(rate_per_s):
    """Return the platform writes a second of one home."""
    return checked_run(rate_per_s).writes / RUN_S


def written_bytes_per_s(rate_per_s):
    """Return the bytes that one home writes to the platform a second."""
    return checked_run(rate_per_s).written_bytes / RUN_S


def core_share(rate_per_s):
    """Return the share of a core that one home's journal takes, in percent."""
    return checked_run(rate_per_s).cpu_s / RUN_S * 100.0


def remembered_bytes(keys):
    """Return the memory of a home that remembers some finished keys."""

    def build():
        home = HomeRun(100, keys / 100)
        home.run()
        return home.journal

    return kept_bytes(build)


def measure_home():
    """Return the lines of a home for idempotency keys."""
    unit = "keys/s"
    return [
        fit_line(
            "journal writes of a home",
            unit,
            "writes/s",
            sweep(writes_per_s, RATES_PER_S),
        ),
        fit_line(
            "journal bytes of a home",
            unit,
            "bytes/s",
            sweep(written_bytes_per_s, RATES_PER_S),
        ),
        fit_line(
            "journal time of a home",
            unit,
            "% of a core",
            sweep(core_share, RATES_PER_S, ROUNDS),
        ),
        fit_line(
            "keys remembered",
            "keys",
            "bytes",
            sweep(remembered_bytes, (1000, 2000, 3000, 4000)),
        ),
    ]
