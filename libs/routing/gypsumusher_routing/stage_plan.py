"""Chooses the engine that takes over a stage which no other engine has.

For the case that the last engine of a stage leaves or crashes. Without a decode engine
every request of the model is refused; without a prefill engine, prompts are prefilled
at half the speed between the decode steps of other requests.

A stage that merely has too few engines is left alone. A stage change takes an engine
out of service until its streams have ended and for seconds after that, about ten
seconds with long streams; changes according to the load of the last seconds gained
nothing in three deployments.
"""

from typing import NamedTuple

__all__ = ["EngineView", "StageChange", "StagePlanner"]

PREFILL, DECODE = "prefill", "decode"
# Time without a healthy engine after which a stage is restored: while it has an
# unhealthy engine, and when its engines have left or are gone. An engine that failed a
# few requests is healthy again after about a second.
MISSING_S, GONE_S = 1.0, 0.3
# Decode engines that must remain when one becomes a prefill engine. A decode engine can
# prefill as well, and one of two may crash.
MIN_DECODE_ENGINES = 2


class EngineView(NamedTuple):
    """State of one engine for the planner.

    Attributes
    ----------
    endpoint_id : str
        Id of the engine.
    stage : {"prefill", "decode"}
        Its stage, or the one that it is changing to.
    is_healthy : bool
        Whether it accepts requests, or will after its stage change.
    is_draining : bool
        Whether it is draining.
    is_switching : bool
        Whether it is changing its stage.
    running : int
        Number of its unfinished requests.
    """

    endpoint_id: str
    stage: str
    is_healthy: bool
    is_draining: bool
    is_switching: bool
    running: int


class StageChange(NamedTuple):
    """Stage change to be ordered.

    Attributes
    ----------
    endpoint_id : str
        Id of the engine.
    stage : {"prefill", "decode"}
        Its new stage.
    missing_s : float
        Time for which the stage has had no healthy engine, in seconds.
    """

    endpoint_id: str
    stage: str
    missing_s: float


class StagePlanner:
    """Plans the stages of one service's engines."""

    def __init__(self):
        self._missing_since_s = {}

    def next_change(
        self, now_s: float, engines: list[EngineView]
    ) -> StageChange | None:
        """Return the stage change to order now, or None.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        engines : list of EngineView
            All known engines of the service.
        """
        healthy = [engine for engine in engines if engine.is_healthy]
        healthy_stages = {engine.stage for engine in healthy}
        known_stages = {engine.stage for engine in engines if not engine.is_draining}
        candidates = [engine for engine in healthy if not engine.is_switching]
        for stage in (DECODE, PREFILL):
            min_candidates = 1 if stage == DECODE else MIN_DECODE_ENGINES + 1
            if stage in healthy_stages or len(candidates) < min_candidates:
                self._missing_since_s.pop(stage, None)
                continue
            missing_s = now_s - self._missing_since_s.setdefault(stage, now_s)
            if missing_s < (MISSING_S if stage in known_stages else GONE_S):
                continue
            # An engine finishes its running requests before it changes its stage.
            chosen = min(candidates, key=lambda e: (e.running, e.endpoint_id))
            return StageChange(chosen.endpoint_id, stage, missing_s)
        return None
