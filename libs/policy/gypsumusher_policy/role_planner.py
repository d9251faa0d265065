"""Which engine changes its role, and when it isn't worth it.

Made for a mix of prompt and output work that swings within minutes. A change takes
an engine away for seconds, so that following each swing costs more than it brings.
"""

from typing import NamedTuple

from gypsumusher_policy.types import DeploymentPolicy, RoleChange

# Share of its rates that an engine keeps when it does both kinds of work: the two
# disturb each other in one batch.
MIXED_SHARE = 0.7
# Time over which a change has to pay, in seconds: about as long as a swing lasts.
HORIZON_S = 60.0
# Time in which an engine that is to change finishes what it runs, in seconds; it takes
# nothing new meanwhile, so that it costs nearly as much as the change itself.
DRAIN_S = 5.0
# Share of a class's deadline that may pass in a queue before work counts as lost: the
# rest is for the work itself and for the change.
WAIT_SHARE = 0.7


class RoleCounts(NamedTuple):
    """Number of engines of each role."""

    prefill: int
    decode: int
    mixed: int


class Demand(NamedTuple):
    """Work of the deployment, as its planner sees it.

    Parameters
    ----------
    prefill, decode : float
        Arriving work, in engines.
    prefill_s, decode_s : float
        Waiting work, in engine seconds.
    """

    prefill: float
    decode: float
    prefill_s: float
    decode_s: float


def served_fraction(split: RoleCounts, prefill: float, decode: float) -> float:
    """Return which share of the demand a split can serve; above 1 there is spare.

    Parameters
    ----------
    split : RoleCounts
        Engines by role.
    prefill, decode : float
        Demand, in engines.
    """
    mixed = split.mixed * MIXED_SHARE
    prompts = (split.prefill + mixed) / max(prefill, 1e-6)
    tokens = (split.decode + mixed) / max(decode, 1e-6)
    both = (split.prefill + split.decode + mixed) / max(prefill + decode, 1e-6)
    return min(prompts, tokens, both)


def late_work_s(split: RoleCounts, demand: Demand, slack_s: float) -> float:
    """Return the work that will be too late within the horizon, in engine seconds.

    Work that waits is still on time, so that a swing which the queues can bear costs
    nothing, and a change for it would only cost.

    Parameters
    ----------
    split : RoleCounts
        Engines by role.
    demand : Demand
        Arriving and waiting work, thought to go on as it is.
    slack_s : float
        Wait at which work is lost.
    """
    mixed = split.mixed * MIXED_SHARE
    total = demand.prefill + demand.decode
    total_s = demand.prefill_s + demand.decode_s
    worst = 0.0
    for engines, rate, queued_s in (
        (split.prefill + mixed, demand.prefill, demand.prefill_s),
        (split.decode + mixed, demand.decode, demand.decode_s),
        (split.prefill + split.decode + mixed, total, total_s),
    ):
        if rate <= engines:
            continue
        # The queue grows by (rate - engines) a second and is served by the engines.
        room_s = slack_s * engines - queued_s
        full_s = max(0.0, room_s / (rate - engines))
        late_s = max(0.0, HORIZON_S - full_s)
        worst = max(worst, (1.0 - engines / rate) * late_s)
    return worst * total


def all_role_counts(engines: int) -> list[RoleCounts]:
    """Return every split of a number of engines over the three roles."""
    splits = []
    for prefill in range(engines + 1):
        for decode in range(engines - prefill + 1):
            splits.append(RoleCounts(prefill, decode, engines - prefill - decode))
    return splits


def count_roles(roles: dict[str, str]) -> RoleCounts:
    """Return how many engines have each role."""
    names = list(roles.values())
    return RoleCounts(
        names.count("prefill"), names.count("decode"), names.count("mixed")
    )


def n_role_changes(old: RoleCounts, new: RoleCounts) -> int:
    """Return the role changes that lead from one split to another."""
    return sum(max(0, after - before) for before, after in zip(old, new))


def demand_within_capacity(demands: list[dict], engines: int) -> Demand:
    """Return the demand that the fleet will come to serve.

    Classes are served in the order of their rank. When they want more than there is,
    the lowest are refused or wait, and their backlog must not draw engines to a role
    in which the classes before them have no use for them.

    Parameters
    ----------
    demands : list of dict
        What each host's ``Scheduler.demand`` says.
    engines : int
        Engines of the deployment.
    """
    by_rank = {}
    for demand in demands:
        for rank, *work in demand["classes"]:
            known = by_rank.get(rank, (0.0, 0.0, 0.0, 0.0))
            by_rank[rank] = [old + new for old, new in zip(known, work)]
    total = [0.0, 0.0, 0.0, 0.0]
    for _, work in sorted(by_rank.items()):
        room = engines - total[0] - total[1]
        part = min(1.0, room / max(work[0] + work[1], 1e-9))
        total = [known + part * more for known, more in zip(total, work)]
        if part < 1.0:
            break
    return Demand(*total)


class RoleChangePlanner:
    """Plans the role changes of one deployment; its steward asks it.

    Parameters
    ----------
    policy : DeploymentPolicy
        Price, dwell time and whether to shift at all.
    """

    def __init__(self, policy: DeploymentPolicy):
        self.policy = policy
        self.changed_s = {}

    def plan(
        self,
        now_s: float,
        roles: dict[str, str],
        demands: list[dict],
        busy: set[str],
    ) -> list[RoleChange]:
        """Return the role changes to order now: none or one.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        roles : dict of str to str
            Role of each engine, or the one it is changing to.
        demands : list of dict
            What each host's ``Scheduler.demand`` says.
        busy : set of str
            Engines with an unfinished order.
        """
        # Never two at once: a small pool without two of its engines is late with
        # everything, and the first change may already be enough.
        if not self.policy.shifting or busy or not demands:
            return []
        demand = demand_within_capacity(demands, len(roles))
        old = count_roles(roles)
        new = self._best(old, demand)
        if new == old:
            return []
        change = self._first_change(now_s, roles, old, new)
        if change is None:
            return []
        self.changed_s[change.endpoint] = now_s
        return [change]

    def _best(self, old, demand):
        policy = self.policy
        cost_s = policy.role_change_s + policy.role_change_price_s + DRAIN_S
        slack_s = self._slack_s()
        best, best_s = old, late_work_s(old, demand, slack_s)
        if best_s <= cost_s:
            return old
        for split in all_role_counts(sum(old)):
            total_s = late_work_s(split, demand, slack_s)
            total_s += n_role_changes(old, split) * cost_s
            if total_s < best_s - 1e-9:
                best, best_s = split, total_s
        return best

    def _slack_s(self):
        """Return the wait at which work is lost; the first class never waits."""
        classes = list(self.policy.classes.values())
        later = [item.deadline_s for item in classes if item.rank > 0]
        return WAIT_SHARE * min(later or [item.deadline_s for item in classes])

    def _first_change(self, now_s, roles, old, new):
        wanted = [
            role for role in old._fields if getattr(new, role) > getattr(old, role)
        ]
        for name, role in sorted(roles.items()):
            if getattr(new, role) >= getattr(old, role):
                continue
            # The dwell time keeps an oscillating mix from taking the same engine
            # away again and again.
            since_s = now_s - self.changed_s.get(name, -self.policy.dwell_s)
            if since_s < self.policy.dwell_s:
                continue
            return RoleChange(name, wanted[0])
        return None
