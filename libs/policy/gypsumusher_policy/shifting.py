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
# Time in which a backlog should be gone, in seconds.
BACKLOG_S = 30.0
# Spare capacity that still counts, as a share of the demand, and its worth: engines
# without any are late at each burst.
SPARE_SHARE = 0.2
SPARE_WORTH = 0.05


class Split(NamedTuple):
    """Number of engines of each role."""

    prefill: int
    decode: int
    mixed: int


def served_share(split: Split, prefill: float, decode: float) -> float:
    """Return which share of the demand a split can serve; above 1 there is spare.

    Parameters
    ----------
    split : Split
        Engines by role.
    prefill, decode : float
        Demand, in engines.
    """
    mixed = split.mixed * MIXED_SHARE
    prompts = (split.prefill + mixed) / max(prefill, 1e-6)
    tokens = (split.decode + mixed) / max(decode, 1e-6)
    both = (split.prefill + split.decode + mixed) / max(prefill + decode, 1e-6)
    return min(prompts, tokens, both)


def worth(split: Split, prefill: float, decode: float) -> float:
    """Return the work that a split does on time, in engines, spare counted a little."""
    share = served_share(split, prefill, decode)
    counted = min(share, 1.0) + SPARE_WORTH * min(max(share - 1.0, 0.0), SPARE_SHARE)
    return counted * (prefill + decode)


def all_splits(engines: int) -> list[Split]:
    """Return every split of a number of engines over the three roles."""
    splits = []
    for prefill in range(engines + 1):
        for decode in range(engines - prefill + 1):
            splits.append(Split(prefill, decode, engines - prefill - decode))
    return splits


def count_roles(roles: dict[str, str]) -> Split:
    """Return how many engines have each role."""
    names = list(roles.values())
    return Split(names.count("prefill"), names.count("decode"), names.count("mixed"))


def changes_between(old: Split, new: Split) -> int:
    """Return the role changes that lead from one split to another."""
    return sum(max(0, after - before) for before, after in zip(old, new))


def served_demand(demands: list[dict], engines: int) -> tuple[float, float]:
    """Return the demand that the fleet will come to serve, in engines.

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
        for rank, prefill, decode, prefill_s, decode_s in demand["classes"]:
            known = by_rank.get(rank, (0.0, 0.0))
            by_rank[rank] = (
                known[0] + prefill + prefill_s / BACKLOG_S,
                known[1] + decode + decode_s / BACKLOG_S,
            )
    total_prefill = total_decode = 0.0
    for _, (prefill, decode) in sorted(by_rank.items()):
        room = engines - total_prefill - total_decode
        part = min(1.0, room / max(prefill + decode, 1e-9))
        total_prefill += part * prefill
        total_decode += part * decode
    return total_prefill, total_decode


class ShiftPlanner:
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
        prefill, decode = served_demand(demands, len(roles))
        if prefill + decode <= 0.0:
            return []
        old = count_roles(roles)
        new = self._best(old, prefill, decode)
        if new == old:
            return []
        change = self._first_change(now_s, roles, old, new)
        if change is None:
            return []
        self.changed_s[change.endpoint] = now_s
        return [change]

    def _best(self, old, prefill, decode):
        best, best_net = old, worth(old, prefill, decode) * HORIZON_S
        cost_s = self.policy.role_change_s + self.policy.role_change_price_s + DRAIN_S
        for split in all_splits(sum(old)):
            gross = worth(split, prefill, decode) * HORIZON_S
            net = gross - changes_between(old, split) * cost_s
            if net > best_net + 1e-9:
                best, best_net = split, net
        return best

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
