"""How many engines a service needs, from the work that all hosts report.

Two classes of prompts may swap their rates within seconds and waves take ten, while an
engine takes some seconds to be ready. So the number follows the greatest work of a
window and not the latest, rises at once, and falls only after it has been lower for a
while.
"""

import math
from collections import OrderedDict, deque
from typing import NamedTuple

from gypsumusher_routing.engine_choice import PrefillChoice
from gypsumusher_routing.prefix_cache import CACHE_SHARE
from gypsumusher_routing.urgency import TIMELY

__all__ = [
    "WORK_REPORT_S",
    "EngineDemand",
    "EngineNeeds",
    "EngineWork",
    "EngineWorkWindow",
    "WantedEngines",
    "WorkMeter",
    "engines_needed",
]

# Time between two reports of a host.
WORK_REPORT_S = 1.0
# Age up to which a report is used: two may be lost.
REPORT_TTL_S = 3.5
# Time over which the greatest work and the shared prefixes in use are taken.
WINDOW_S = 20.0
# Time over which the share of late prompts is taken, and the share above which the
# engines count as too few.
LATE_WINDOW_S = 3.0
MAX_LATE_SHARE = 0.1
# Factors of the exponential smoothing of the work's level and of its trend.
LEVEL_FACTOR, TREND_FACTOR = 0.4, 0.2
# Allowance for prompts that come unevenly within a second.
WORK_MARGIN = 1.15
# Share of an engine's time that prefills take, and share of its slots that streams
# take, with queues that stay short.
PREFILL_SHARE, SLOTS_SHARE = 0.4, 0.3
# Least wanted number relative to the provisioned one, which is the greatest. While
# prompts were late for reclaimed engines, half as many more cost as much as all
# reclaimable ones and served nobody better.
MIN_SHARE = 1 / 3
# Time for which fewer engines have to be needed before the number is lowered, and time
# from the start of a term within which it isn't lowered.
LOWER_AFTER_S = 10.0
TERM_GUARD_S = 20.0
# Time without the reports of most active hosts after which the provisioned number is
# wanted. A new holder of the lease may not have received any yet.
REPORTS_MISSING_S = 5.0
# Most shared parts that are remembered. A deployment used 892 of them a day.
MAX_SHARED_PARTS = 50_000


class EngineWork(NamedTuple):
    """Work of one service in one interval, at one host or at all of them.

    Attributes
    ----------
    prefill_s_per_s : float
        Engine seconds of prefill begun per second, at the usual engine speed.
    streams : int
        Running streams.
    shared_tokens : int
        Tokens of the distinct shared prefixes in use in the last 20 s.
    late_share : float
        Share of the prompts that were late because of their queue.
    """

    prefill_s_per_s: float
    streams: int
    shared_tokens: int
    late_share: float


class EngineDemand(NamedTuple):
    """Work of a service over a window, and how much of it is known.

    Attributes
    ----------
    work : EngineWork
        Greatest work of the window or forecast work, with an allowance; the late share
        is that of the last 3 s.
    is_complete : bool
        Whether all active hosts have reported recently.
    has_reports : bool
        Whether more than half of the active hosts have.
    has_seen_work : bool
        Whether any work has been reported since the start.
    """

    work: EngineWork
    is_complete: bool
    has_reports: bool
    has_seen_work: bool


class EngineNeeds(NamedTuple):
    """Engines that each part of the work needs."""

    prefill: int
    streams: int
    shared_prefixes: int


class WorkMeter:
    """Measures the work of one service at this host."""

    def __init__(self):
        self._prefill_s = 0.0
        self._prompts = self._late_prompts = 0
        self._began_s = None
        # Time of the last use, and tokens, by part; the least recently used first.
        self._shared_parts = OrderedDict()
        self._shared_tokens = 0

    def on_prompt(self, choice: PrefillChoice, objective_left_s: float, is_begun: bool):
        """Count a prompt that is sent to an engine for prefill, or refused.

        Parameters
        ----------
        choice : PrefillChoice
            Engine and priority class of the prompt.
        objective_left_s : float
            Time until its first event is late, in seconds.
        is_begun : bool
            Whether it is sent to the engine.
        """
        self._prompts += 1
        if is_begun:
            self._prefill_s += choice.cost_s
        if choice.lane == TIMELY:
            return
        # A prompt that is too large to be on time at an idle engine needs no others.
        busy_s = choice.cost_s + choice.queue_s
        idle_s = choice.expected_s * choice.cost_s / max(1e-6, busy_s)
        self._late_prompts += idle_s <= objective_left_s

    def on_shared_parts(self, now_s: float, chain) -> None:
        """Record the use of shared parts, given as pairs of id and tokens."""
        parts = self._shared_parts
        for part_id, tokens in chain:
            _, known_tokens = parts.pop(part_id, (None, 0))
            parts[part_id] = (now_s, tokens)
            self._shared_tokens += tokens - known_tokens
        self._drop_old(now_s)

    def read(self, now_s: float, streams: int) -> EngineWork:
        """Return the work since the last call, with the streams running now."""
        self._drop_old(now_s)
        passed_s = WORK_REPORT_S if self._began_s is None else now_s - self._began_s
        work = EngineWork(
            self._prefill_s / max(0.1, passed_s),
            streams,
            self._shared_tokens,
            self._late_prompts / max(1, self._prompts),
        )
        self._began_s = now_s
        self._prefill_s = 0.0
        self._prompts = self._late_prompts = 0
        return work

    def _drop_old(self, now_s):
        parts = self._shared_parts
        while parts:
            used_s, tokens = next(iter(parts.values()))
            if now_s - used_s <= WINDOW_S and len(parts) <= MAX_SHARED_PARTS:
                break
            parts.popitem(last=False)
            self._shared_tokens -= tokens


class EngineWorkWindow:
    """Work of one service at all hosts over the last 20 s."""

    def __init__(self):
        # Time and content of the last report, by host.
        self._reports = {}
        # Time and work of all hosts together, the oldest first.
        self._samples = deque()
        self._prefill_trend, self._streams_trend = _Trend(), _Trend()
        self._has_seen_work = False

    def on_report(self, now_s: float, host: str, work: EngineWork) -> None:
        """Store the report of a host, this one included."""
        self._reports[host] = (now_s, work)

    def sample(self, now_s: float) -> None:
        """Add the work of all hosts to the window; called once per report interval."""
        self._reports = {
            host: (at_s, work)
            for host, (at_s, work) in self._reports.items()
            if now_s - at_s <= REPORT_TTL_S
        }
        total = _total([work for _, work in self._reports.values()])
        is_first = not self._has_seen_work
        self._has_seen_work |= total.prefill_s_per_s > 0 or total.streams > 0
        self._prefill_trend.learn(total.prefill_s_per_s, is_first)
        self._streams_trend.learn(total.streams, is_first)
        self._samples.append((now_s, total))
        while now_s - self._samples[0][0] > WINDOW_S:
            self._samples.popleft()

    def demand(self, now_s: float, active_hosts, ahead_s: float) -> EngineDemand:
        """Return the demand of the window.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        active_hosts : collection of str
            Hosts that have to report.
        ahead_s : float
            Time for which the work is forecast, in seconds.
        """
        recent = {
            host
            for host, (at_s, _) in self._reports.items()
            if now_s - at_s <= REPORT_TTL_S
        }
        heard = sum(host in recent for host in active_hosts)
        works = [work for _, work in self._samples]
        late = [
            (work.late_share, work.prefill_s_per_s + 0.001)
            for at_s, work in self._samples
            if now_s - at_s < LATE_WINDOW_S
        ]
        prefills = [work.prefill_s_per_s for work in works]
        streams = [work.streams for work in works]
        work = EngineWork(
            WORK_MARGIN * max(0.0, *prefills, self._prefill_trend.forecast(ahead_s)),
            math.ceil(
                WORK_MARGIN * max(0, *streams, self._streams_trend.forecast(ahead_s))
            ),
            max((work.shared_tokens for work in works[-1:]), default=0),
            _weighted_mean(late),
        )
        is_complete = bool(heard) and heard == len(active_hosts)
        has_reports = 2 * heard > len(active_hosts)
        return EngineDemand(work, is_complete, has_reports, self._has_seen_work)


class _Trend:
    """Level and trend of a value that is measured at regular intervals."""

    def __init__(self):
        self._level = self._change = 0.0

    def learn(self, value, is_first):
        """Update the level and its change per report interval."""
        if is_first:
            self._level, self._change = value, 0.0
            return
        before, expected = self._level, self._level + self._change
        self._level = expected + LEVEL_FACTOR * (value - expected)
        self._change += TREND_FACTOR * (self._level - before - self._change)

    def forecast(self, ahead_s):
        """Return the value expected after a time, in seconds."""
        return self._level + self._change * ahead_s / WORK_REPORT_S


class WantedEngines:
    """Wanted number of engines of one service, during one term of the lease.

    Parameters
    ----------
    provisioned : int
        Number that the operator has provisioned.
    wanted : int
        Number that was wanted last, as kept in the store.
    began_s : float
        Start of the term, in seconds.
    """

    def __init__(self, provisioned: int, wanted: int, began_s: float):
        self.count = wanted
        self._provisioned = provisioned
        self._began_s = began_s
        self._heard_s = began_s
        # Time and needed number, over the time after which the number is lowered.
        self._needed = deque()

    def update(
        self, now_s: float, demand: EngineDemand, needs: EngineNeeds, may_lower: bool
    ) -> int:
        """Return the wanted number.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        demand : EngineDemand
            What is known of the work.
        needs : EngineNeeds
            Engines that it needs.
        may_lower : bool
            Whether engines may be released at the moment.
        """
        if demand.has_reports:
            self._heard_s = now_s
        elif now_s - self._heard_s >= REPORTS_MISSING_S:
            self.count = max(self.count, self._provisioned)
        if not demand.has_seen_work:
            # Idle engines say nothing of the load that they were provisioned for.
            return self.count
        needed = self._bounded(demand, needs)
        self.count = max(self.count, needed)
        if not demand.is_complete:
            # The missing hosts may have most of the work.
            self._needed.clear()
            return self.count
        self._needed.append((now_s, needed))
        while len(self._needed) > 1 and now_s - self._needed[1][0] >= LOWER_AFTER_S:
            self._needed.popleft()
        is_lasting = now_s - self._needed[0][0] >= LOWER_AFTER_S
        if is_lasting and may_lower and now_s - self._began_s >= TERM_GUARD_S:
            self.count = min(self.count, max(count for _, count in self._needed))
        return self.count

    def _bounded(self, demand, needs):
        """Return the needed number within its bounds."""
        provisioned = self._provisioned
        if demand.work.late_share > MAX_LATE_SHARE:
            # Work that is refused or waits isn't counted as begun, so the formula alone
            # would stay below what a burst needs.
            return provisioned
        return min(provisioned, max(math.ceil(MIN_SHARE * provisioned), *needs))


def engines_needed(work: EngineWork, slots: int, kv_tokens: int) -> EngineNeeds:
    """Return how many engines some work needs.

    Parameters
    ----------
    work : EngineWork
        The work.
    slots : int
        Requests that one engine runs in a batch.
    kv_tokens : int
        Capacity of one engine's KV cache, in tokens.
    """
    return EngineNeeds(
        math.ceil(work.prefill_s_per_s / PREFILL_SHARE),
        math.ceil(work.streams / max(1.0, SLOTS_SHARE * slots)),
        math.ceil(work.shared_tokens / max(1.0, CACHE_SHARE * kv_tokens)),
    )


def _total(works):
    """Return the work of several hosts together.

    Hosts announce to each other which shared parts they use, so that each counts those
    of all; a sum would count popular ones once per host.
    """
    return EngineWork(
        sum(work.prefill_s_per_s for work in works),
        sum(work.streams for work in works),
        max((work.shared_tokens for work in works), default=0),
        _weighted_mean([(w.late_share, w.prefill_s_per_s + 0.001) for w in works]),
    )


def _weighted_mean(values):
    """Return the mean of pairs of value and weight; 0 without any."""
    total = sum(weight for _, weight in values)
    return sum(value * weight for value, weight in values) / total if total else 0.0
