"""Which engines load a version next, under the weight store's rate limit."""

import math

from gypsumusher_policy.types import DeploymentPolicy, ModelLoadOrder

# Share of an engine that demand may fill: above it, queues grow at each burst.
FULL_SHARE = 0.85


class RolloutPlanner:
    """Plans loads of one deployment's target version.

    Parameters
    ----------
    policy : DeploymentPolicy
        ``loads_at_once`` bounds the loads that run at the same time.
    """

    def __init__(self, policy: DeploymentPolicy):
        self.policy = policy

    def plan(
        self,
        now_s: float,
        engines: dict[str, tuple[str, str, int]],
        target: tuple[str, str],
        need_engines: int,
        busy: set[str],
    ) -> list[ModelLoadOrder]:
        """Return the loads to order now.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        engines : dict of str to (model, version, running)
            What each engine has loaded (empty strings: nothing), and its load.
        target : (model, version)
            What all shall have.
        need_engines : int
            Engines that must go on serving while others load.
        busy : set of str
            Engines with an unfinished order.

        Returns
        -------
        list of ModelLoadOrder
            Empty engines first, which take nothing away, then the least loaded.
        """
        waiting, serving = [], 0
        for name, (model, version, running) in sorted(engines.items()):
            serves = bool(model) and name not in busy
            serving += serves
            if name in busy or (model, version) == target:
                continue
            waiting.append((serves, running, name))
        waiting.sort()
        orders = []
        # The weight store's limit is shared by the fleet: more loads at once only
        # make each slower, and take more engines away for longer.
        room = self.policy.loads_at_once - len(busy)
        for serves, _, name in waiting:
            if len(orders) >= room:
                break
            # A rollout must never take a deployment below what its load needs, so
            # that a serving engine loads only when enough others serve on.
            if serves and serving - 1 < need_engines:
                break
            serving -= serves
            orders.append(ModelLoadOrder(name, *target))
        return orders


def engines_needed(demands: list[dict]) -> int:
    """Return how many engines the present demand needs.

    Parameters
    ----------
    demands : list of dict
        What each host's ``Scheduler.demand`` says.
    """
    need = 0.0
    for demand in demands:
        need += demand["prefill_rate"] + demand["decode_rate"]
    return math.ceil(need / FULL_SHARE)
