"""Speed of one engine and the gaps of its streams, from the answers that all hosts see.

A host and an engine meet every few seconds only. No host alone can tell a slow engine
from noise before most of the load has passed, but all hosts together can.
"""

import math
from collections import deque
from typing import NamedTuple

from gypsumusher_routing.estimates import MIN_COST_S, RunningQuantile

__all__ = [
    "MAX_HOST_OBSERVATIONS",
    "MAX_LOG_FACTOR",
    "MIN_LOG_FACTOR",
    "EngineSpeed",
    "GapRatio",
    "GapReport",
    "SpeedReport",
    "center_speeds",
    "compare_gap_ratios",
]

# Bounds of the factor: an engine takes 0.4 to 8 times the usual duration.
MIN_LOG_FACTOR, MAX_LOG_FACTOR = math.log(0.4), math.log(8.0)
# Number of observations for which the usual speed counts.
PRIOR_OBSERVATIONS = 2
# Largest weight of one host, which bounds the effect of one that reports nonsense.
MAX_HOST_OBSERVATIONS = 50
# Time after which the estimates of a silent host are dropped, in seconds.
REPORT_TTL_S = 60.0
# Hosts whose estimates are kept for one engine. Only active hosts send any, some dozens
# at most.
MAX_HOSTS = 128
# One observation is at most this factor away from the estimate: where cached parts have
# been evicted, a prefill takes several times as long as expected at any speed.
MAX_RESIDUAL = math.log(3.0)
# Half-life of a temporary slowdown, and weight of one observation in it. Slowdowns of
# 0.6 s have been measured.
TRANSIENT_HALF_LIFE_S = 1.0
TRANSIENT_WEIGHT = 0.3
# Number of engines of usual speed that the mean of a stage's speeds includes, so that
# one engine alone does not count as the usual speed.
PRIOR_ENGINES = 1.0
# Share of the events whose gap ratio is below the engine's: long streams are the ones
# that end late, and their gaps are longer than the average.
GAP_RATIO_QUANTILE = 0.8
# Initial value and bounds of the gap ratio.
INITIAL_GAP_RATIO, MIN_GAP_RATIO, MAX_GAP_RATIO = 0.2, 0.05, 3.0
# Time for which gaps count, in seconds.
GAP_WINDOW_S = 10.0
# Largest number of gaps that one host may state: some hundred streams' worth.
MAX_HOST_GAPS = 10_000


class SpeedReport(NamedTuple):
    """What one host has observed of an engine's speed.

    Attributes
    ----------
    log_factor : float
        Mean logarithm of measured over expected duration.
    observations : int
        Number of observations behind it.
    """

    log_factor: float
    observations: int


class GapReport(NamedTuple):
    """What one host has observed of the gaps between stream events of an engine.

    Attributes
    ----------
    ratio : float
        Gap as a fraction of the allowed gap.
    gaps : int
        Number of gaps in the last 10 s.
    """

    ratio: float
    gaps: int


class EngineSpeed:
    """Duration of one engine's prefills relative to the usual ones of its stage.

    The lasting term is the mean over the observations of all hosts. The transient term
    covers temporary slowdowns; each host learns it on its own.
    """

    def __init__(self):
        self._own = SpeedReport(0.0, 0)
        # Observations from before the start of this host, as `restore` was given them.
        self._restored = SpeedReport(0.0, 0)
        # Report and time of its arrival, by host.
        self._reports = {}
        self._mean = SpeedReport(0.0, 0)
        # Mean logarithm over the engines of the stage, set by `center_speeds`.
        self._reference_log = 0.0
        self._lasting_log = 0.0
        self._transient_log = 0.0
        self._transient_s = 0.0
        # Time and value of the last call of `factor`: a choice among engines asks for
        # it several times.
        self._factor = (None, 1.0)

    @property
    def own_report(self) -> SpeedReport:
        """Observations of this host alone, for the other hosts."""
        return self._own

    @property
    def mean_report(self) -> SpeedReport:
        """Observations of all hosts, without the prior."""
        return self._mean

    @property
    def lasting_log(self) -> float:
        """Logarithm of the lasting term."""
        return self._lasting_log

    @property
    def lasting_factor(self) -> float:
        """Lasting term of the factor; 1 for an engine of usual speed."""
        return math.exp(self.lasting_log)

    def factor(self, now_s: float) -> float:
        """Return the current factor; 1 for an engine of usual speed."""
        if self._factor[0] != now_s:
            log_factor = _clipped(self._lasting_log + self._decayed(now_s))
            self._factor = (now_s, math.exp(log_factor))
        return self._factor[1]

    def at_usual_speed(self, now_s: float, took_s: float) -> float:
        """Return how long an engine of usual speed would have taken, in seconds."""
        return took_s / self.lasting_factor

    def learn(self, now_s: float, took_s: float, expected_s: float) -> None:
        """Update both terms from a measured and an expected duration, in seconds."""
        log_ratio = _log_ratio(took_s, expected_s)
        self._learn_transient(now_s, log_ratio)
        known_log = self._reference_log + self.lasting_log
        residual = min(MAX_RESIDUAL, max(-MAX_RESIDUAL, log_ratio - known_log))
        log_factor, observations = self._own
        # With the largest weight reached, older observations lose theirs.
        observations = min(MAX_HOST_OBSERVATIONS, observations + 1)
        log_factor += (known_log + residual - log_factor) / observations
        self._own = SpeedReport(log_factor, observations)
        self._update_mean()

    def learn_transient(self, now_s: float, took_s: float, expected_s: float) -> None:
        """Update the transient term only, as from a prompt behind a long queue."""
        self._learn_transient(now_s, _log_ratio(took_s, expected_s))

    def on_report(self, now_s: float, host: str, report: SpeedReport) -> None:
        """Replace what another host has observed; out of range values are clipped."""
        observations = max(0, min(MAX_HOST_OBSERVATIONS, report.observations))
        clipped = SpeedReport(_clipped(report.log_factor), observations)
        _keep(self._reports, host, (clipped, now_s))
        self._update_mean()

    def expire_reports(self, now_s: float) -> None:
        """Drop the reports of hosts that have been silent for too long."""
        if _drop_silent(self._reports, now_s):
            self._update_mean()

    def snapshot(self) -> tuple[float, int]:
        """Return the mean logarithm over all hosts, and its number of observations.

        The mean is relative to the usual speed of the stage and excludes the prior, so
        that `restore` yields the same lasting term.
        """
        log_factor, observations = self._mean
        return _clipped(log_factor - self._reference_log), observations

    def restore(self, log_factor: float, observations: int) -> None:
        """Use a snapshot until the hosts have as many observations of their own.

        Parameters
        ----------
        log_factor : float
            Mean logarithm over all hosts.
        observations : int
            Number of observations behind it; those above one host's weight don't count.
        """
        observations = max(0, min(MAX_HOST_OBSERVATIONS, observations))
        self._restored = SpeedReport(_clipped(log_factor), observations)
        self._update_mean()

    def center(self, reference_log: float) -> None:
        """Set the mean logarithm over the engines of the stage."""
        self._reference_log = reference_log
        self._update_lasting()

    def _learn_transient(self, now_s, log_ratio):
        """Move the transient term towards what the lasting term doesn't explain."""
        residual = log_ratio - self.lasting_log
        decayed = self._decayed(now_s)
        moved = decayed + TRANSIENT_WEIGHT * (residual - decayed)
        # An engine that seems faster for a moment had less to do than expected.
        self._transient_log = max(0.0, min(MAX_LOG_FACTOR, moved))
        self._transient_s = now_s
        self._factor = (None, 1.0)

    def _update_mean(self):
        """Combine the observations of all hosts, and what is left of the restored."""
        log_factor, observations = self._own
        log_sum = log_factor * observations
        for report, _ in self._reports.values():
            log_sum += report.log_factor * report.observations
            observations += report.observations
        # The snapshot may contain the same observations as the reports of other hosts.
        left = max(0, self._restored.observations - observations)
        log_sum += self._restored.log_factor * left
        observations += left
        mean_log = log_sum / observations if observations else 0.0
        self._mean = SpeedReport(mean_log, observations)
        self._update_lasting()

    def _update_lasting(self):
        """Combine the mean of the observations with the prior."""
        log_factor, observations = self._mean
        known_share = observations / (observations + PRIOR_OBSERVATIONS)
        self._lasting_log = _clipped(known_share * (log_factor - self._reference_log))
        self._factor = (None, 1.0)

    def _decayed(self, now_s):
        """Return the logarithm of the transient term, decayed since it was learned."""
        if not self._transient_log:
            return 0.0
        age_s = max(0.0, now_s - self._transient_s)
        return self._transient_log * 0.5 ** (age_s / TRANSIENT_HALF_LIFE_S)


class GapRatio:
    """Gap between stream events of one engine, as a fraction of the allowed gap."""

    def __init__(self):
        self._own = RunningQuantile(
            GAP_RATIO_QUANTILE, INITIAL_GAP_RATIO, MIN_GAP_RATIO, MAX_GAP_RATIO
        )
        # Median over the engines of the stage; until it is known, no engine exceeds it.
        self.usual = MAX_GAP_RATIO
        # Mean over the hosts, weighted by their gaps.
        self.value = self._own.value
        # Own gaps of each of the last seconds: second and count.
        self._counts = deque()
        # Report and time of its arrival, by host.
        self._reports = {}

    def learn(self, now_s: float, ratio: float) -> None:
        """Update the own ratio with one gap."""
        self._own.learn(ratio)
        second = int(now_s)
        if not self._counts or self._counts[-1][0] != second:
            self._counts.append([second, 0])
        self._counts[-1][1] += 1
        self._update_value()

    def own_report(self, now_s: float) -> GapReport:
        """Return what this host alone has observed, for the other hosts."""
        self._drop_old(now_s)
        return GapReport(self._own.value, sum(count for _, count in self._counts))

    def on_report(self, now_s: float, host: str, report: GapReport) -> None:
        """Replace what another host has observed; out of range values are clipped."""
        ratio = min(MAX_GAP_RATIO, max(MIN_GAP_RATIO, report.ratio))
        clipped = GapReport(ratio, max(0, min(MAX_HOST_GAPS, report.gaps)))
        _keep(self._reports, host, (clipped, now_s))
        self._update_value()

    def expire_reports(self, now_s: float) -> None:
        """Drop own gaps that are too old, and reports of silent hosts."""
        self._drop_old(now_s)
        _drop_silent(self._reports, now_s)
        self._update_value()

    def drop_reports(self) -> None:
        """Drop the reports of all hosts, which were about another stage."""
        self._reports.clear()
        self._update_value()

    def _update_value(self):
        """Combine the ratios of all hosts; without any gaps the own one remains."""
        gaps = sum(count for _, count in self._counts) if self._reports else 0
        ratio_sum = self._own.value * gaps
        for report, _ in self._reports.values():
            ratio_sum += report.ratio * report.gaps
            gaps += report.gaps
        self.value = ratio_sum / gaps if gaps else self._own.value

    def _drop_old(self, now_s):
        while self._counts and self._counts[0][0] <= now_s - GAP_WINDOW_S:
            self._counts.popleft()


def center_speeds(speeds) -> None:
    """Make the mean speed of the engines of one stage the usual speed.

    The costs are learned at the usual speed, from durations divided by the speeds. Any
    factor common to all speeds could thus move from the costs to the speeds and grow
    without bound. The mean is weighted as each engine is known.

    Parameters
    ----------
    speeds : list of EngineSpeed
        Speeds of the engines of one service and stage.
    """
    weight_sum, log_sum = PRIOR_ENGINES, 0.0
    for speed in speeds:
        log_factor, observations = speed.mean_report
        weight = observations / (observations + PRIOR_OBSERVATIONS)
        weight_sum += weight
        log_sum += weight * log_factor
    for speed in speeds:
        speed.center(log_sum / weight_sum)


def compare_gap_ratios(gap_ratios) -> None:
    """Make the median gap ratio of the engines of one stage the usual one.

    Parameters
    ----------
    gap_ratios : list of GapRatio
        Gap ratios of the engines of one service and stage.
    """
    # Not by `statistics`, whose import delays the start of a process.
    values = sorted(gap_ratio.value for gap_ratio in gap_ratios)
    middle = len(values) // 2
    usual = (values[middle] + values[-1 - middle]) / 2.0
    for gap_ratio in gap_ratios:
        gap_ratio.usual = usual


def _log_ratio(took_s, expected_s):
    """Return the logarithm of measured over expected duration."""
    return math.log(max(MIN_COST_S, took_s) / max(MIN_COST_S, expected_s))


def _clipped(log_factor):
    """Return the logarithm of a factor within its range."""
    return min(MAX_LOG_FACTOR, max(MIN_LOG_FACTOR, log_factor))


def _keep(reports, host, entry):
    """Store a host's report, and drop the oldest one beyond the bound."""
    reports.pop(host, None)
    reports[host] = entry
    if len(reports) > MAX_HOSTS:
        reports.pop(next(iter(reports)))


def _drop_silent(reports, now_s):
    """Drop reports of hosts that have been silent; return whether there were any."""
    silent = [h for h, (_, at_s) in reports.items() if now_s - at_s > REPORT_TTL_S]
    for host in silent:
        del reports[host]
    return bool(silent)
