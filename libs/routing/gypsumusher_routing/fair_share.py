"""Max-min fair shares of the prefill capacity between client accounts.

For loads that exceed what the engines can prefill in time, most of which comes from a
few large accounts. Each host decides on its own requests, by the demand of all hosts.
Accounts that ask for less than an equal share are not limited; the others have the rest
in equal parts, and their prompts above it are sent as late ones.
"""

import math
from collections import deque
from typing import NamedTuple

__all__ = [
    "UNLIMITED",
    "Contention",
    "DemandReport",
    "FairShares",
    "Share",
    "prefill_capacity",
    "spread_retry_after_s",
    "water_level",
]

# Time constant of the averages of demand, in seconds.
DEMAND_TIME_CONSTANT_S = 2.0
# Age up to which the report of another host is used, in seconds.
REPORT_TTL_S = 2.0
# Number of accounts in a report; the demand of the others is in its total.
REPORTED_ACCOUNTS = 16
# Share of the engines' time that can be used for prefill while queues stay short: at
# first, and at most. In simulations of eight engines with 1.3 times the load that they
# can prefill, 0.63 of the prompts were in time with a fixed share of 0.8, 0.74 with one
# that follows the queues, and 0.68 without shares of accounts.
MIN_UTILIZATION, MAX_UTILIZATION = 0.8, 1.0
# Changes of that share per second: it rises under contention while fewer than the first
# share of the prompts are late for their queue, and falls while more than the second.
UTILIZATION_RISE_PER_S, UTILIZATION_FALL_PER_S = 0.1, 0.4
SHORT_QUEUE_DELAYED_SHARE, LONG_QUEUE_DELAYED_SHARE = 0.05, 0.1
# Share of the prompts of the last second that their queue made late, above which there
# is contention whatever the demand, and the number of prompts that it takes to tell.
# Of fewer, a quarter may be late by chance.
DELAYED_SHARE, DELAYED_WINDOW_S, MIN_PROMPTS = 0.25, 1.0, 8
# Prompts remembered for that; a host serves fewer within a second.
MAX_PROMPTS = 4096
# Least capacity that is assumed when prompts are late, as a share of what is asked for
# or of the engines' capacity. With less, no account would have any prompt in time.
MIN_CAPACITY_SHARE = 0.5
# Time for which contention lasts after its cause was last seen. As prompts are demoted,
# queues get short; without this, contention would begin and end several times a second.
CONTENTION_HOLD_S = 2.0
# A host that has observed its demand for less than this limits no account.
MIN_OBSERVED_S = 1.0
# Least share of an equal share that each class of requests has of the work in time.
CLASS_SHARE = 0.5
# A class with this share of its own demand in time is served, however little it is.
SERVED_SHARE = 0.9
# Share of the demand from which on a class counts as one in demand.
MIN_CLASS_DEMAND = 0.01
# Averages below this, in engine seconds per second, are dropped.
MIN_RATE = 0.0005
# Longest spread of retries, as a multiple of the expected wait. With a level close to 0
# callers would otherwise be told to come back after their objective many times over.
MAX_RETRY_SPREAD = 10.0
# Prompt length at which the speed of the two stages is compared, in tokens.
TYPICAL_TOKENS = 4000


class Share(NamedTuple):
    """What the shares of accounts and classes mean for one request.

    Attributes
    ----------
    is_limited : bool
        Whether the prompt is treated as late, as its account asks for too much.
    is_protected : bool
        Whether the prompt's class has less than its least share, so that the prompt is
        sent with the urgency of the first rank.
    demand_ratio : float
        Demand of the account as a multiple of the level; 1 if it isn't above that.
    cost_s : float
        Engine seconds of prefill that the request counts for.
    """

    is_limited: bool = False
    is_protected: bool = False
    demand_ratio: float = 1.0
    cost_s: float = 0.0


# Share of a request where there is nothing to divide.
UNLIMITED = Share()


class DemandReport(NamedTuple):
    """Demand at one host.

    Attributes
    ----------
    total : float
        Demand of all requests, in engine seconds of prefill per second.
    accounts : dict of str to float
        That of the largest accounts.
    """

    total: float
    accounts: dict[str, float]


class Contention(NamedTuple):
    """Demand of all hosts compared with the capacity.

    Attributes
    ----------
    is_contended : bool
        Whether there is contention.
    demand, capacity : float
        Engine seconds of prefill per second that are asked for, and that are assumed
        to be done in time.
    level : float
        Demand up to which an account is not limited; infinite if none is limited.
    delayed_share : float
        Share of this host's prompts of the last second that their queue made late.
    reports : int
        Number of other hosts whose demand is known.
    """

    is_contended: bool
    demand: float
    capacity: float
    level: float
    delayed_share: float
    reports: int


def water_level(demands, capacity: float) -> float:
    """Return the level at which the smaller of demand and level add up to the capacity.

    Parameters
    ----------
    demands : iterable of float
        Demand of each account.
    capacity : float
        Capacity, in the unit of the demands.

    Returns
    -------
    float
        Infinite if the capacity covers all demands.
    """
    left, ordered = max(0.0, capacity), sorted(demands)
    for index, demand in enumerate(ordered):
        equal_share = left / (len(ordered) - index)
        if demand > equal_share:
            return equal_share
        left -= demand
    return math.inf


def prefill_capacity(now_s: float, pool) -> float:
    """Return what the engines of a service can prefill if they do nothing else.

    Parameters
    ----------
    now_s : float
        Current time, in seconds.
    pool : EnginePool
        The engines.

    Returns
    -------
    float
        Engine seconds per second, at the usual speed of a prefill engine. A decode
        engine counts for less, by the costs of the two stages.
    """
    cost_model = pool.cost_model
    usual_s = cost_model.prefill_cost("prefill").expected_s(TYPICAL_TOKENS, 0)
    has_prefill = any(state.stage == "prefill" for state in pool.states)
    capacity = 0.0
    for state in pool.states:
        if state.health.is_avoided(now_s):
            continue
        relative_cost = 1.0
        if state.stage != "prefill":
            if has_prefill and not pool.policy.reading_in_place:
                continue
            took_s = cost_model.prefill_cost("decode").expected_s(TYPICAL_TOKENS, 0)
            relative_cost = max(1.0, took_s / usual_s)
        capacity += 1.0 / (relative_cost * state.slowdown.factor(now_s))
    return capacity


def spread_retry_after_s(wait_s: float, share: Share, chance: float) -> float:
    """Return the ``Retry-After`` of a refused request, in seconds.

    Callers of an account above its share would otherwise all come back at the same
    time.

    Parameters
    ----------
    wait_s : float
        Expected wait, in seconds.
    share : Share
        Share of the request.
    chance : float
        Random number in [0, 1).
    """
    if not share.is_limited:
        return wait_s
    return wait_s * (1.0 + chance * min(MAX_RETRY_SPREAD, share.demand_ratio))


class FairShares:
    """Demand by account and class at one host, and the shares that follow from it.

    Parameters
    ----------
    now_s : float
        Time from which demand is observed, in seconds.
    """

    def __init__(self, now_s: float):
        self._started_s = now_s
        self._total = _Rate()
        self._accounts = {}
        # Demand of each class, and its part that was placed in time.
        self._classes = {}
        self._in_time = {}
        # Newest report of each other host, with the time at which it came.
        self._reports = {}
        # Time of each prompt of the last second, and whether its queue made it late.
        self._prompts = deque(maxlen=MAX_PROMPTS)
        self._merged = {}
        self._contended_until_s = -math.inf
        # Demand that was served in time when prompts were last late.
        self._measured_capacity = math.inf
        self._delayed_until_s = -math.inf
        self._utilization = MIN_UTILIZATION
        self._refreshed_s = now_s
        self.contention = Contention(False, 0.0, 0.0, math.inf, 0.0, 0)

    def on_request(
        self, now_s: float, account: str | None, class_name: str, cost_s: float
    ) -> None:
        """Count what a request asks for, whether or not it is served.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        account : str or None
            Account of the request; without one it counts in the total only.
        class_name : str
            Class of the request.
        cost_s : float
            Expected duration of its prefill at the usual speed, in seconds.
        """
        self._total.add(now_s, cost_s)
        self._classes.setdefault(class_name, _Rate()).add(now_s, cost_s)
        if account is not None:
            self._accounts.setdefault(account, _Rate()).add(now_s, cost_s)

    def on_placed(
        self,
        now_s: float,
        class_name: str,
        cost_s: float,
        is_timely: bool,
        is_delayed: bool,
    ) -> None:
        """Record how a counted request was first placed.

        Parameters
        ----------
        now_s, class_name, cost_s
            See `on_request`.
        is_timely : bool
            Whether it is sent as a timely one.
        is_delayed : bool
            Whether the queue alone makes it late; its account's share doesn't matter.
        """
        self._prompts.append((now_s, is_delayed))
        if is_timely:
            self._in_time.setdefault(class_name, _Rate()).add(now_s, cost_s)

    def on_report(self, now_s: float, sender: str, report: DemandReport) -> None:
        """Record the demand at another host."""
        self._reports[sender] = (report, now_s)

    def own_report(self, now_s: float) -> DemandReport:
        """Return the demand at this host, with its largest accounts."""
        demands = self._own_demands(now_s)
        largest = sorted(demands, key=demands.get, reverse=True)[:REPORTED_ACCOUNTS]
        total = self._total.value(now_s) * self._start_factor(now_s)
        return DemandReport(total, {account: demands[account] for account in largest})

    def refresh(
        self, now_s: float, capacity: float, hosts: int, accounts: int
    ) -> Contention:
        """Compare the demand with the capacity; return whether there is contention.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        capacity : float
            What the engines can prefill, in engine seconds per second.
        hosts : int
            Number of hosts that accept client traffic, this one included. Without any
            report, each of them is assumed to see what this one sees.
        accounts : int
            Number of accounts in the configuration.
        """
        self._drop_old(now_s)
        scale = 1.0 if self._reports else float(max(1, hosts))
        total = scale * self._total.value(now_s) * self._start_factor(now_s)
        merged = {a: scale * d for a, d in self._own_demands(now_s).items()}
        for report, _ in self._reports.values():
            total += report.total
            for account, demand in report.accounts.items():
                merged[account] = merged.get(account, 0.0) + demand
        self._merged = merged
        delayed_share = self._delayed_share()
        self._adapt_utilization(now_s, delayed_share)
        capacity *= self._utilization
        is_delayed = delayed_share > DELAYED_SHARE
        if is_delayed:
            self._measured_capacity = max(
                (1.0 - delayed_share) * total,
                MIN_CAPACITY_SHARE * min(capacity, total),
            )
            self._delayed_until_s = now_s + CONTENTION_HOLD_S
        elif now_s >= self._delayed_until_s:
            self._measured_capacity = math.inf
        used_capacity = min(capacity, self._measured_capacity)
        # Without any engine there is nothing to divide.
        if (total > capacity or is_delayed) and capacity > 0.0:
            self._contended_until_s = now_s + CONTENTION_HOLD_S
        is_contended = now_s < self._contended_until_s and capacity > 0.0
        level = math.inf
        if is_contended:
            # Accounts in no report are small ones; together they have the remainder.
            rest = max(0.0, total - sum(merged.values()))
            others = max(1, accounts - len(merged))
            demands = [*merged.values(), *([rest / others] * others)]
            level = water_level(demands, used_capacity)
        self.contention = Contention(
            is_contended, total, used_capacity, level, delayed_share, len(self._reports)
        )
        return self.contention

    def share_of(
        self,
        now_s: float,
        account: str | None,
        class_name: str,
        cost_s: float,
        chance: float,
    ) -> Share:
        """Return the share of a request, once for all of its sends.

        Parameters
        ----------
        now_s, account, class_name, cost_s
            See `on_request`.
        chance : float
            Random number in [0, 1).
        """
        share = Share(cost_s=cost_s)
        is_observed = now_s - self._started_s >= MIN_OBSERVED_S
        if not self.contention.is_contended or not is_observed:
            return share
        if self._is_starved(now_s, class_name, cost_s):
            return share._replace(is_protected=True)
        demand, level = self._merged.get(account, 0.0), self.contention.level
        if demand <= level:
            return share
        ratio = demand / max(MIN_RATE, level)
        is_limited = chance * ratio >= 1.0
        return share._replace(is_limited=is_limited, demand_ratio=ratio)

    def _adapt_utilization(self, now_s, delayed_share):
        """Adapt the used share of the engines' time to the length of their queues."""
        passed_s, self._refreshed_s = now_s - self._refreshed_s, now_s
        if delayed_share > LONG_QUEUE_DELAYED_SHARE:
            change = -UTILIZATION_FALL_PER_S * passed_s
        elif (
            self.contention.is_contended
            and len(self._prompts) >= MIN_PROMPTS
            and delayed_share < SHORT_QUEUE_DELAYED_SHARE
        ):
            change = UTILIZATION_RISE_PER_S * passed_s
        else:
            return
        utilization = self._utilization + change
        self._utilization = min(MAX_UTILIZATION, max(MIN_UTILIZATION, utilization))

    def _is_starved(self, now_s, class_name, cost_s):
        """Return whether a class has less than its least share of the work in time."""
        demands = {name: rate.value(now_s) for name, rate in self._classes.items()}
        least = MIN_CLASS_DEMAND * sum(demands.values())
        wanting = sum(demand > least for demand in demands.values())
        in_time = {name: rate.value(now_s) for name, rate in self._in_time.items()}
        # The request itself has been counted and isn't placed yet. For a class with a
        # request every few seconds that would look like a demand that isn't served.
        earlier = demands.get(class_name, 0.0) - cost_s / DEMAND_TIME_CONSTANT_S
        bound = min(
            CLASS_SHARE * sum(in_time.values()) / max(1, wanting),
            SERVED_SHARE * earlier,
        )
        return in_time.get(class_name, 0.0) < bound

    def _own_demands(self, now_s):
        """Return the demand of each account at this host."""
        factor = self._start_factor(now_s)
        return {a: factor * r.value(now_s) for a, r in self._accounts.items()}

    def _start_factor(self, now_s):
        """Return the factor that corrects averages over less than their time."""
        observed_s = max(MIN_OBSERVED_S, now_s - self._started_s)
        return 1.0 / (1.0 - math.exp(-observed_s / DEMAND_TIME_CONSTANT_S))

    def _delayed_share(self):
        """Return the share of recent prompts that their queue made late."""
        if len(self._prompts) < MIN_PROMPTS:
            return 0.0
        return sum(is_delayed for _, is_delayed in self._prompts) / len(self._prompts)

    def _drop_old(self, now_s):
        """Drop old prompts, reports, and averages that have decayed."""
        while self._prompts and now_s - self._prompts[0][0] > DELAYED_WINDOW_S:
            self._prompts.popleft()
        for sender in list(self._reports):
            if now_s - self._reports[sender][1] > REPORT_TTL_S:
                del self._reports[sender]
        for rates in (self._accounts, self._classes, self._in_time):
            for name in [
                n for n, rate in rates.items() if rate.value(now_s) < MIN_RATE
            ]:
                del rates[name]


class _Rate:
    """Moving average of a rate, weighted by age."""

    def __init__(self):
        self._sum = 0.0
        self._updated_s = 0.0

    def add(self, now_s, amount):
        """Add an amount at a time, in seconds."""
        self._sum = self._decayed(now_s) + amount
        self._updated_s = now_s

    def value(self, now_s):
        """Return the average, as an amount per second."""
        return self._decayed(now_s) / DEMAND_TIME_CONSTANT_S

    def _decayed(self, now_s):
        """Return the sum of the amounts, each weighted by its age."""
        age_s = max(0.0, now_s - self._updated_s)
        return self._sum * math.exp(-age_s / DEMAND_TIME_CONSTANT_S)
