"""Which engine takes the stage that no other one has.

Made for an engine that leaves or crashes as the last one of its stage. Without one that
makes tokens every request of a model is refused; without one that only reads, prompts
are read at half the speed between the tokens of others.

A stage that is only short of engines is left so: a change takes an engine away until
its streams have ended and for seconds after that, about ten seconds on long streams,
and shifts by the load of the last seconds gained nothing on three deployments.
"""

from typing import NamedTuple

__all__ = ["EngineView", "StageChange", "StagePlanner"]

PREFILL, DECODE = "prefill", "decode"
# A stage without a sound engine is restored when it has been missing for so long, in
# seconds: an engine that failed a few requests counts as failing for about a second,
# and is back. One that left or is gone isn't waited for.
MISSING_S, GONE_S = 1.0, 0.3
# An engine that makes tokens reads by itself, so a reader is ordered only while two
# others go on making them: one may crash.
LEAST_DECODES = 2


class EngineView(NamedTuple):
    """What the planner knows of one engine.

    Attributes
    ----------
    endpoint_id : str
        The engine.
    stage : {"prefill", "decode"}
        Its stage, or the one that it is changing to.
    is_healthy : bool
        Whether it takes work, or will when it has changed.
    is_leaving : bool
        Whether it is draining.
    is_switching : bool
        Whether it is changing its stage.
    running : int
        Requests that it has under way.
    """

    endpoint_id: str
    stage: str
    is_healthy: bool
    is_leaving: bool
    is_switching: bool
    running: int


class StageChange(NamedTuple):
    """An engine's stage is to be changed.

    Attributes
    ----------
    endpoint_id : str
        The engine.
    stage : {"prefill", "decode"}
        Its new stage.
    missing_s : float
        For how long the stage has been missing, in seconds.
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
        """Return the change to order now, or None.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        engines : list of EngineView
            The service's engines that are known.
        """
        sound = [engine for engine in engines if engine.is_healthy]
        stages = {engine.stage for engine in sound}
        known = {engine.stage for engine in engines if not engine.is_leaving}
        others = [engine for engine in sound if not engine.is_switching]
        for stage in (DECODE, PREFILL):
            least = 1 if stage == DECODE else LEAST_DECODES + 1
            if stage in stages or len(others) < least:
                self._missing_since_s.pop(stage, None)
                continue
            missing_s = now_s - self._missing_since_s.setdefault(stage, now_s)
            if missing_s < (MISSING_S if stage in known else GONE_S):
                continue
            # What it has under way ends first.
            chosen = min(others, key=lambda e: (e.running, e.endpoint_id))
            return StageChange(chosen.endpoint_id, stage, missing_s)
        return None
