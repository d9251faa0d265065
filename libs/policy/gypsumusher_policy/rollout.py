"""Order in which engines load a model version, limited by the weight store's rate."""

import math

from gypsumusher_policy.types import DeploymentPolicy, ModelLoadOrder

# Utilisation to which demand may load the engines: above it, queues grow with every
# burst.
TARGET_UTILISATION = 0.85


class RolloutPlanner:
    """Plans the model loads that bring a deployment to its target version.

    Parameters
    ----------
    policy : DeploymentPolicy
        Settings; ``loads_at_once`` limits the concurrent loads.
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
            Loaded model and version of each engine (empty strings if none is
            loaded), and its number of running requests.
        target : (model, version)
            Model and version that all engines should have.
        need_engines : int
            Engines that have to keep serving while others load.
        busy : set of str
            Engines with an unfinished order.

        Returns
        -------
        list of ModelLoadOrder
            Orders for engines without a model first, as these cost no capacity, then
            for the others by number of running requests.
        """
        waiting, n_serving = [], 0
        for name, (model, version, running) in sorted(engines.items()):
            is_serving = bool(model) and name not in busy
            n_serving += is_serving
            if name in busy or (model, version) == target:
                continue
            waiting.append((is_serving, running, name))
        waiting.sort()
        orders = []
        # All engines share the rate limit of the weight store: more concurrent loads
        # make each load slower and take more engines out of service for longer.
        free_loads = self.policy.loads_at_once - len(busy)
        for is_serving, _, name in waiting:
            if len(orders) >= free_loads:
                break
            # A serving engine loads only if enough other engines keep serving, so
            # that a rollout never leaves less capacity than the demand needs.
            if is_serving and n_serving - 1 < need_engines:
                break
            n_serving -= is_serving
            orders.append(ModelLoadOrder(name, *target))
        return orders


def engines_needed(demands: list[dict]) -> int:
    """Return the number of engines that the present demand needs.

    Parameters
    ----------
    demands : list of dict
        Result of `Scheduler.demand` of each host.
    """
    n_engines = 0.0
    for demand in demands:
        n_engines += demand["prefill_rate"] + demand["decode_rate"]
    return math.ceil(n_engines / TARGET_UTILISATION)
