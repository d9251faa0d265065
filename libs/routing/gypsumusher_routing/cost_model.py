"""Prefill costs of a service's engines, estimated by one host from their answers."""

from typing import NamedTuple

from gypsumusher_routing.estimates import (
    PrefillCostModel,
    RunningQuantile,
    TokensPerEvent,
)
from gypsumusher_routing.policy import ALL_ON, Policy
from gypsumusher_routing.urgency import TIMELY

__all__ = [
    "INITIAL_HANDOVER_S",
    "MAX_HANDOVER_S",
    "MAX_MARGIN",
    "MIN_HANDOVER_S",
    "MIN_MARGIN",
    "CostEstimates",
    "CostModel",
    "PrefillObservation",
]

# Longest queue, relative to a prompt's own cost, at which the prompt updates the cost
# estimate. Behind a longer queue, slowness can't be told from load that other hosts
# added and whose state updates came too late.
MAX_QUEUE_SHARE = 0.25
# Initial cost of a prefill at a decode engine, relative to a prefill engine.
DECODE_COST_FACTOR = 2.0
# Share of the prompts to be prefilled within the expected time multiplied by the
# margin. A prompt that is admitted and comes late is worth a third of one in time, and
# has used the capacity of another.
MARGIN_QUANTILE = 0.8
# Initial value and bounds of the margin, as a factor on expected times.
INITIAL_MARGIN, MIN_MARGIN, MAX_MARGIN = 1.3, 1.0, 4.0
# A prefill without an answer times out after this multiple of its expected time with
# margin, and not before the minimum. The prompt has not been run by then, so another
# engine can be asked.
TIMEOUT_FACTOR = 3.0
MIN_TIMEOUT_S = 0.6
# Initial value and bounds of the KV handover's overhead besides the transfer itself:
# one more call and the setup of the transfer.
INITIAL_HANDOVER_S, MIN_HANDOVER_S, MAX_HANDOVER_S = 0.03, 0.001, 0.5
# Initial value and bounds of the time between two events, and of the allowed one.
INITIAL_GAP_S, INITIAL_ALLOWED_GAP_S, MIN_GAP_S, MAX_GAP_S = 0.05, 1.0, 0.001, 60.0


class PrefillObservation(NamedTuple):
    """Measurement of one finished prefill.

    Attributes
    ----------
    stage : {"prefill", "decode"}
        Stage of the engine.
    lane : str
        Priority class of the prompt.
    new_tokens, cached_tokens : int
        Tokens to be prefilled, and tokens before them that were cached.
    fetch_s : float
        Expected time to fetch cached parts first, in seconds.
    cost_s : float
        Expected duration at an idle engine, in seconds.
    queue_s : float
        Expected duration of the prefills ahead of it, in seconds.
    took_s : float
        Measured duration, in seconds.
    """

    stage: str
    lane: str
    new_tokens: int
    cached_tokens: int
    fetch_s: float
    cost_s: float
    queue_s: float
    took_s: float


class CostEstimates(NamedTuple):
    """What a cost model has learned.

    Attributes
    ----------
    costs_s : dict of str to tuple of float
        Costs per prompt, thousand tokens and million token pairs, by stage, in seconds.
    margins : dict of str to float
        Safety factors for expected prefill times, by stage.
    handover_s : float
        Overhead of a KV handover besides the transfer, in seconds.
    tokens_per_event : dict of str to float
        Tokens per stream event, by route.
    """

    costs_s: dict[str, tuple[float, ...]]
    margins: dict[str, float]
    handover_s: float
    tokens_per_event: dict[str, float]


class CostModel:
    """Estimated prefill costs, their margins and the handover time of one service.

    Parameters
    ----------
    policy : Policy
        Switches of the routing mechanisms.
    """

    def __init__(self, policy: Policy = ALL_ON):
        self._policy = policy
        self._prefill_costs = {}
        self._margins = {}
        self._tokens_per_event = {}
        self._handover = RunningQuantile(
            MARGIN_QUANTILE, INITIAL_HANDOVER_S, MIN_HANDOVER_S, MAX_HANDOVER_S
        )
        self._event_gap = RunningQuantile(0.5, INITIAL_GAP_S, MIN_GAP_S, MAX_GAP_S)
        self._allowed_gap = RunningQuantile(
            0.5, INITIAL_ALLOWED_GAP_S, MIN_GAP_S, MAX_GAP_S
        )

    def prefill_cost(self, stage: str) -> PrefillCostModel:
        """Return the prefill cost at engines of a stage."""
        if stage not in self._prefill_costs:
            is_prefill = stage == "prefill"
            self._prefill_costs[stage] = PrefillCostModel(
                1.0 if is_prefill else DECODE_COST_FACTOR
            )
        return self._prefill_costs[stage]

    def margin(self, stage: str) -> float:
        """Return the safety factor for expected prefill times at a stage."""
        return self._margin(stage).value

    def prefill_timeout_s(self, stage: str, expected_s: float) -> float:
        """Return after how many seconds without an answer a prefill times out.

        The timeout grows with the margin, which reflects how late answers come from
        engines that work. With a shorter one, an engine that is busy with prompts of
        other hosts counts as silent: its work on the prompt is lost, and a second
        engine starts over.
        """
        return max(MIN_TIMEOUT_S, TIMEOUT_FACTOR * self.margin(stage) * expected_s)

    def handover_s(self) -> float:
        """Return the overhead of a KV handover besides the transfer, in seconds."""
        return self._handover.value

    def tokens_per_event(self, route: str) -> TokensPerEvent:
        """Return the estimate of tokens per stream event for a route."""
        return self._tokens_per_event.setdefault(route, TokensPerEvent())

    def on_prefill(self, now_s: float, slowdown, seen: PrefillObservation) -> None:
        """Update the estimates, and the engine's slowdown, from a finished prefill.

        Only timely prompts update the slowdown and the margin. Other prompts wait for
        timely ones that arrive after them, so their duration says little about either.
        """
        factor = slowdown.factor(now_s)
        cost = self.prefill_cost(seen.stage)
        # Initial costs are those of a slow machine. Compared with them, every engine
        # would count as fast, for as long as it lives.
        has_costs = cost.is_known or not self._policy.learnt_costs
        prefill_s = max(0.0, seen.took_s - seen.fetch_s)
        had_short_queue = seen.queue_s <= MAX_QUEUE_SHARE * seen.cost_s
        if had_short_queue and self._policy.learnt_costs:
            usual_s = slowdown.at_usual_speed(now_s, prefill_s)
            cost.learn(seen.new_tokens, seen.cached_tokens, usual_s)
        if seen.lane != TIMELY:
            return
        expected_s = seen.cost_s + seen.queue_s
        self._margin(seen.stage).learn(prefill_s / max(1e-3, expected_s * factor))
        if had_short_queue and has_costs:
            slowdown.learn(now_s, prefill_s, expected_s)
        else:
            slowdown.learn_transient(now_s, prefill_s, expected_s)

    def on_event_gap(self, gap_s: float, allowed_s: float, factor: float) -> None:
        """Update the usual time between two events of a stream.

        Parameters
        ----------
        gap_s, allowed_s : float
            Measured and allowed time between the events, in seconds.
        factor : float
            Duration at the engine relative to the usual one.
        """
        self._event_gap.learn(gap_s / factor)
        self._allowed_gap.learn(allowed_s)

    @property
    def event_gap_s(self) -> float:
        """Usual time between two events of a stream, in seconds."""
        return self._event_gap.value

    @property
    def allowed_gap_s(self) -> float:
        """Usual time that may pass between two events, in seconds."""
        return self._allowed_gap.value

    def on_handover(self, took_s: float, transfer_s: float) -> None:
        """Update the handover overhead.

        Parameters
        ----------
        took_s : float
            Time from the send to the first event, in seconds.
        transfer_s : float
            Expected duration of the KV transfer, in seconds.
        """
        self._handover.learn(max(MIN_HANDOVER_S, took_s - transfer_s))

    def snapshot(self) -> CostEstimates:
        """Return what answers have told, without initial values."""
        known = [stage for stage, cost in self._prefill_costs.items() if cost.is_known]
        return CostEstimates(
            {stage: self._prefill_costs[stage].costs_s for stage in known},
            {stage: self.margin(stage) for stage in known},
            self.handover_s(),
            {
                route: ratio.value
                for route, ratio in self._tokens_per_event.items()
                if ratio.value is not None
            },
        )

    def restore(self, estimates: CostEstimates) -> None:
        """Start from earlier estimates, except where answers have told others."""
        if self._policy.learnt_costs:
            for stage, costs_s in estimates.costs_s.items():
                self.prefill_cost(stage).restore(costs_s)
        for stage, margin in estimates.margins.items():
            self._margin(stage).restore(margin)
        self._handover.restore(estimates.handover_s)
        for route, ratio in estimates.tokens_per_event.items():
            self.tokens_per_event(route).restore(ratio)

    def _margin(self, stage):
        """Return the running quantile behind the margin of a stage."""
        if stage not in self._margins:
            self._margins[stage] = RunningQuantile(
                MARGIN_QUANTILE, INITIAL_MARGIN, MIN_MARGIN, MAX_MARGIN
            )
        return self._margins[stage]
