"""Planning of role changes of engines between prefill, decode and mixed.

The mix of prefill and decode work may change within minutes. A role change takes an
engine out of service for seconds, so that following every change of the mix would
cost more than it gains.
"""

from typing import NamedTuple

from gypsumusher_policy.types import DeploymentPolicy, RoleChange

# Share of its rates that an engine reaches in the mixed role: prefill and decode slow
# each other down in one batch.
MIXED_EFFICIENCY = 0.7
# Time within which a role change has to pay off, in seconds: about as long as a
# change of the mix lasts.
PLANNING_HORIZON_S = 60.0
# Time in which an engine finishes its requests before a role change, in seconds. It
# accepts no new work meanwhile, so that draining costs nearly as much as the change.
DRAIN_S = 5.0
# Share of a class's deadline that a request may spend in the queue before its work
# counts as late. The rest is for running the request and for the role change.
MAX_WAIT_SHARE = 0.7


class RoleCounts(NamedTuple):
    """Number of engines in each role."""

    prefill: int
    decode: int
    mixed: int


class Demand(NamedTuple):
    """Arriving and queued work of a deployment.

    Parameters
    ----------
    prefill_rate, decode_rate : float
        Arriving work, in engine seconds per second, that is in engines.
    queued_prefill_s, queued_decode_s : float
        Queued work, in engine seconds.
    """

    prefill_rate: float
    decode_rate: float
    queued_prefill_s: float
    queued_decode_s: float


def served_fraction(counts: RoleCounts, prefill: float, decode: float) -> float:
    """Return the share of the demand that the engines can serve.

    Parameters
    ----------
    counts : RoleCounts
        Engines by role.
    prefill, decode : float
        Demand, in engines.

    Returns
    -------
    float
        Served share of the demand; above 1, there is spare capacity.
    """
    mixed = counts.mixed * MIXED_EFFICIENCY
    prefill_share = (counts.prefill + mixed) / max(prefill, 1e-6)
    decode_share = (counts.decode + mixed) / max(decode, 1e-6)
    total_share = (counts.prefill + counts.decode + mixed) / max(prefill + decode, 1e-6)
    return min(prefill_share, decode_share, total_share)


def late_work_s(counts: RoleCounts, demand: Demand, max_wait_s: float) -> float:
    """Return the work that becomes late within the horizon, in engine seconds.

    Work that waits less than ``max_wait_s`` is not late. A short change of the mix
    that the queues absorb therefore counts as no late work and causes no role change.

    Parameters
    ----------
    counts : RoleCounts
        Engines by role.
    demand : Demand
        Arriving and queued work; the rates are assumed to stay constant.
    max_wait_s : float
        Queueing time above which work is late, in seconds.
    """
    mixed = counts.mixed * MIXED_EFFICIENCY
    total_rate = demand.prefill_rate + demand.decode_rate
    total_queued_s = demand.queued_prefill_s + demand.queued_decode_s
    max_late_s = 0.0
    for engines, rate, queued_s in (
        (counts.prefill + mixed, demand.prefill_rate, demand.queued_prefill_s),
        (counts.decode + mixed, demand.decode_rate, demand.queued_decode_s),
        (counts.prefill + counts.decode + mixed, total_rate, total_queued_s),
    ):
        if rate <= engines:
            continue
        # Work is late once the queue holds more than the engines serve in
        # `max_wait_s`. The queue grows by (rate - engines) a second.
        free_s = max_wait_s * engines - queued_s
        late_after_s = max(0.0, free_s / (rate - engines))
        overload_s = max(0.0, PLANNING_HORIZON_S - late_after_s)
        max_late_s = max(max_late_s, (1.0 - engines / rate) * overload_s)
    return max_late_s * total_rate


def all_role_counts(engines: int) -> list[RoleCounts]:
    """Return every way to distribute a number of engines over the three roles."""
    all_counts = []
    for prefill in range(engines + 1):
        for decode in range(engines - prefill + 1):
            all_counts.append(RoleCounts(prefill, decode, engines - prefill - decode))
    return all_counts


def count_roles(roles: dict[str, str]) -> RoleCounts:
    """Return the number of engines in each role, from the role of each engine."""
    engine_roles = list(roles.values())
    return RoleCounts(
        engine_roles.count("prefill"),
        engine_roles.count("decode"),
        engine_roles.count("mixed"),
    )


def n_role_changes(old: RoleCounts, new: RoleCounts) -> int:
    """Return the number of role changes that lead from ``old`` to ``new``."""
    return sum(max(0, after - before) for before, after in zip(old, new))


def demand_within_capacity(demands: list[dict], engines: int) -> Demand:
    """Return the part of the demand that fits the capacity of the engines.

    Classes are served in the order of their rank. If the demand exceeds the capacity,
    the classes served last are refused or wait. Their backlog must not move engines
    to a role that the classes before them do not need.

    Parameters
    ----------
    demands : list of dict
        Result of `Scheduler.demand` of each host.
    engines : int
        Number of engines of the deployment.
    """
    by_rank = {}
    for demand in demands:
        for rank, *work in demand["classes"]:
            rank_work = by_rank.get(rank, (0.0, 0.0, 0.0, 0.0))
            by_rank[rank] = [old + new for old, new in zip(rank_work, work)]
    total = [0.0, 0.0, 0.0, 0.0]
    for _, work in sorted(by_rank.items()):
        free_engines = engines - total[0] - total[1]
        share = min(1.0, free_engines / max(work[0] + work[1], 1e-9))
        total = [served + share * added for served, added in zip(total, work)]
        if share < 1.0:
            break
    return Demand(*total)


class RoleChangePlanner:
    """Plans the role changes of one deployment for its steward.

    Parameters
    ----------
    policy : DeploymentPolicy
        Settings: cost of a role change, dwell time, and whether to change roles.
    """

    def __init__(self, policy: DeploymentPolicy):
        self.policy = policy
        self.last_change_s = {}

    def plan(
        self,
        now_s: float,
        roles: dict[str, str],
        demands: list[dict],
        busy: set[str],
    ) -> list[RoleChange]:
        """Return the role changes to order now, at most one.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        roles : dict of str to str
            Role of each engine; for one that is changing its role, the new role.
        demands : list of dict
            Result of `Scheduler.demand` of each host.
        busy : set of str
            Engines with an unfinished order.
        """
        # Only one engine changes at a time: a small deployment without two of its
        # engines would miss all deadlines, and the first change may be enough.
        if not self.policy.shifting or busy or not demands:
            return []
        demand = demand_within_capacity(demands, len(roles))
        old = count_roles(roles)
        new = self._best_role_counts(old, demand)
        if new == old:
            return []
        change = self._select_change(now_s, roles, old, new)
        if change is None:
            return []
        self.last_change_s[change.endpoint] = now_s
        return [change]

    def _best_role_counts(self, old, demand):
        """Return the role counts with the least late work and change cost."""
        policy = self.policy
        change_cost_s = policy.role_change_s + policy.role_change_price_s + DRAIN_S
        max_wait_s = self._max_wait_s()
        best, best_cost_s = old, late_work_s(old, demand, max_wait_s)
        if best_cost_s <= change_cost_s:
            return old
        for counts in all_role_counts(sum(old)):
            cost_s = late_work_s(counts, demand, max_wait_s)
            cost_s += n_role_changes(old, counts) * change_cost_s
            if cost_s < best_cost_s - 1e-9:
                best, best_cost_s = counts, cost_s
        return best

    def _max_wait_s(self):
        """Return the queueing time above which work counts as late, in seconds.

        Rank 0 is left out if there are other classes, since it does not queue.
        """
        classes = list(self.policy.classes.values())
        deadlines_s = [item.deadline_s for item in classes if item.rank > 0]
        return MAX_WAIT_SHARE * min(
            deadlines_s or [item.deadline_s for item in classes]
        )

    def _select_change(self, now_s, roles, old, new):
        """Return a change of one engine towards ``new``, or None if all must dwell."""
        wanted_roles = [
            role for role in old._fields if getattr(new, role) > getattr(old, role)
        ]
        for name, role in sorted(roles.items()):
            if getattr(new, role) >= getattr(old, role):
                continue
            # The dwell time keeps an oscillating mix from changing the same engine
            # over and over.
            in_role_s = now_s - self.last_change_s.get(name, -self.policy.dwell_s)
            if in_role_s < self.policy.dwell_s:
                continue
            return RoleChange(name, wanted_roles[0])
        return None
