"""What one host has learnt of a service's engines from their answers."""

from typing import NamedTuple

from gypsumusher_routing.estimates import (
    PrefillCostModel,
    RunningQuantile,
    TokensPerEvent,
)
from gypsumusher_routing.policy import ALL_ON, Policy
from gypsumusher_routing.urgency import TIMELY

__all__ = ["CostModel", "PrefillObservation"]

# Only a prompt that met a short queue tells what reading costs: what other hosts sent
# in between is known too late to be told from slowness. As a part of its own cost.
LEARNT_QUEUE_PART = 0.25
# An engine that is slower than others by this factor tells of itself, not of its stage.
SLOW_PACE = 1.5
# An engine that makes tokens reads at half the speed of one that doesn't: the first
# guess of its costs.
DECODE_FACTOR = 2.0
# Part of the prompts that are to be read within what is expected, times the margin. One
# that is let in and comes late is worth a third, and has taken the place of another.
SURE_PART = 0.8
# First guess of that margin, and its bounds.
FIRST_MARGIN, LEAST_MARGIN, MOST_MARGIN = 1.3, 1.0, 4.0
# A reading without an answer is given up after this many times the time that it is sure
# to take, and not before the least one, in seconds. It runs nothing, so it may be asked
# again.
SILENCE_FACTOR = 3.0
LEAST_SILENCE_S = 0.6
# First guess of what a hand-over costs beside the transfer itself, in seconds, and
# bounds of it: one more call, and the set-up of the transfer.
FIRST_HAND_OVER_S, LEAST_HAND_OVER_S, MOST_HAND_OVER_S = 0.03, 0.001, 0.5


class PrefillObservation(NamedTuple):
    """One prompt that was read.

    Attributes
    ----------
    stage : {"prefill", "decode"}
        Stage of the engine.
    lane : str
        Its lane.
    new_tokens, cached_tokens : int
        Tokens that were to be read, and those before them that were kept.
    fetch_s : float
        Expected time to fetch parts first, in seconds.
    cost_s : float
        Expected cost at an idle engine, in seconds.
    queue_s : float
        Expected work before it, in seconds.
    took_s : float
        What it took, in seconds.
    """

    stage: str
    lane: str
    new_tokens: int
    cached_tokens: int
    fetch_s: float
    cost_s: float
    queue_s: float
    took_s: float


class CostModel:
    """Costs of reading, their margins, and what a hand-over takes, for one service.

    Parameters
    ----------
    policy : Policy
        Which mechanisms decide.
    """

    def __init__(self, policy: Policy = ALL_ON):
        self._policy = policy
        self._costs = {}
        self._margins = {}
        self._event_tokens = {}
        self._hand_over = RunningQuantile(
            SURE_PART, FIRST_HAND_OVER_S, LEAST_HAND_OVER_S, MOST_HAND_OVER_S
        )

    def prefill_cost(self, stage: str) -> PrefillCostModel:
        """Return the cost of reading at engines of a stage."""
        if stage not in self._costs:
            is_apart = stage == "prefill"
            self._costs[stage] = PrefillCostModel(1.0 if is_apart else DECODE_FACTOR)
        return self._costs[stage]

    def margin(self, stage: str) -> float:
        """Return by what factor an expectation is to be taken longer to be sure."""
        return self._margin(stage).value

    def prefill_timeout_s(self, stage: str, expected_s: float) -> float:
        """Return after what time a reading's engine counts as silent, in seconds.

        Failure guarded against: an engine that reads what other hosts have sent is
        taken for silent, its work on the prompt is thrown away, and a second engine
        begins it anew. How late readings come without silence shows in the margin.
        """
        return max(LEAST_SILENCE_S, SILENCE_FACTOR * self.margin(stage) * expected_s)

    def handover_s(self) -> float:
        """Return what a hand-over takes beside the transfer, in seconds."""
        return self._hand_over.value

    def tokens_per_event(self, route: str) -> TokensPerEvent:
        """Return how many tokens of an estimate an event of a route stands for."""
        return self._event_tokens.setdefault(route, TokensPerEvent())

    def on_prefill(self, now_s: float, pace, seen: PrefillObservation) -> None:
        """Take in a prompt that was read at an engine, with the engine's pace.

        Only timely prompts tell of the engine's pace and of the error: the others wait
        for whatever timely ones come after them.
        """
        factor = pace.factor(now_s)
        read_s = max(0.0, seen.took_s - seen.fetch_s)
        is_alone = seen.queue_s <= LEARNT_QUEUE_PART * seen.cost_s
        if is_alone and self._policy.learnt_costs:
            usual_s = read_s / factor if factor > SLOW_PACE else read_s
            self.prefill_cost(seen.stage).learn(
                seen.new_tokens, seen.cached_tokens, usual_s
            )
        if seen.lane != TIMELY:
            return
        expected_s = seen.cost_s + seen.queue_s
        self._margin(seen.stage).learn(read_s / max(1e-3, expected_s * factor))
        pace.learn(now_s, read_s, expected_s)

    def on_handover(self, took_s: float, transfer_s: float) -> None:
        """Take in the time from a send to its first event, and the transfer's part."""
        self._hand_over.learn(max(LEAST_HAND_OVER_S, took_s - transfer_s))

    def _margin(self, stage):
        if stage not in self._margins:
            self._margins[stage] = RunningQuantile(
                SURE_PART, FIRST_MARGIN, LEAST_MARGIN, MOST_MARGIN
            )
        return self._margins[stage]
