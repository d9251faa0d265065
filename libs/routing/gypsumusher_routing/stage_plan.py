"""How many engines read prompts apart, and how many make tokens.

Made for a mix of prompts and output that shifts within minutes, before a fleet that
was divided for another one: prompts queue at two engines while three others make a few
tokens each. And for an engine that leaves or crashes as the last one of its stage:
without an engine that makes tokens every request of a model is refused.

A change takes an engine away while its streams end and for seconds after that, and
operators pay for each. So it must promise a large part of the strain, on the peaks of
the last seconds, and one at a time is away of a small fleet.
"""

from typing import NamedTuple

__all__ = ["EngineView", "StageChange", "StagePlanner"]

PREFILL, DECODE = "prefill", "decode"
# A stage without a sound engine is restored when it has been missing for so long, in
# seconds: an engine that failed a few requests counts as failing for about a second,
# and is back. One that left or is gone isn't waited for.
MISSING_S, GONE_S = 1.0, 0.3
# Part of an engine's slots that streams may take; beyond them requests queue.
SLOTS_PART = 0.8
# Below this strain no engine more is to read. It is low, since an engine is best away
# while the others have room: at a burst its absence hurts, and it is back when that is
# over.
LEAST_READING_STRAIN = 0.35
# Below this strain no engine more is to make tokens: streams grow by seconds, not at
# once as readings do, and are none the worse until the slots are full.
LEAST_STREAMING_STRAIN = 0.9
# While more is to be read than the engines can read, none of them is taken away, until
# that has lasted for so long, in seconds: most bursts end before a change is through.
OVERLOADED_S = 6.0
# A change must bring the strain down to this part or less. It costs an engine for as
# long as its streams last and the change itself, and parts that were kept there are
# read again: with a sixth to gain days lost 0.07 of the worth on large models.
GAIN_PART = 0.78
# Nothing is shifted in the first seconds of a planner's view, and after engines came,
# left or failed: parts that aren't kept anywhere yet make prompts look like several
# times the load that follows, and an engine that crashed is back within seconds.
SETTLING_S = 4.0
# Peaks of the demand fall to half in this time, in seconds: longer than a wave of the
# mix, so that the fleet isn't divided anew at each.
PEAK_HALF_LIFE_S = 10.0
# Part of the engines that may be away at once for a change of stage.
AWAY_PART = 1 / 6
# So many engines make tokens, where there are twice as many: one may crash.
LEAST_DECODES = 2
# After a change the next one waits for so long, in seconds, for its effect to show.
SETTLE_S = 2.0


class EngineView(NamedTuple):
    """What the planner knows of one engine.

    Attributes
    ----------
    endpoint_id : str
        The engine.
    stage : {"prefill", "decode"}
        Its stage, or the one that it is changing to.
    slots : int
        Requests that it runs at once.
    is_sound : bool
        Whether it takes work, or will when it has changed.
    is_leaving : bool
        Whether it is draining.
    is_switching : bool
        Whether it is changing its stage.
    streams : int
        Streams whose tokens it makes.
    readings : int
        Prompts that it is to read.
    """

    endpoint_id: str
    stage: str
    slots: int
    is_sound: bool
    is_leaving: bool
    is_switching: bool
    streams: int
    readings: int


class StageChange(NamedTuple):
    """An engine's stage is to be changed.

    Attributes
    ----------
    endpoint_id : str
        The engine.
    stage : {"prefill", "decode"}
        Its new stage.
    reason : {"missing", "shift"}
        Whether no other engine has that stage, or more of them are of use.
    strain, strain_after : float
        Demand as a part of what the engines can do, of the stage that has least to
        spare; now and with the change.
    """

    endpoint_id: str
    stage: str
    reason: str
    strain: float
    strain_after: float


class StagePlanner:
    """Plans the stages of one service's engines."""

    def __init__(self):
        self._missing_since_s = {}
        self._reading_peak = 0.0
        self._streams_peak = 0.0
        self._reading_load = 0.0
        self._overloaded_since_s = None
        self._known = None
        self._began_s = None
        self._looked_s = None
        self._settled_s = float("-inf")

    def look(
        self,
        now_s: float,
        engines: list[EngineView],
        reading_load: float,
        decode_part: float,
    ) -> list[StageChange]:
        """Take in the demand; return the changes to order now.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        engines : list of EngineView
            The service's engines that are known.
        reading_load : float
            Prompts that callers bring, as seconds of a prefill engine's work a second.
        decode_part : float
            What an engine that makes tokens reads, as a part of one that doesn't, in
            the time that its streams can spare.
        """
        self._take_demand(now_s, engines, reading_load)
        sound = [engine for engine in engines if engine.is_sound]
        restoring = self._restore(now_s, engines, sound)
        if restoring is not None:
            return [restoring]
        away = sum(engine.is_switching for engine in sound)
        if away:
            self._settled_s = now_s + SETTLE_S
        room = max(1, int(len(sound) * AWAY_PART)) - away
        if room <= 0 or (away == 0 and now_s < self._settled_s):
            return []
        if not self._is_settled(now_s) or self._is_in_burst(now_s, sound, decode_part):
            return []
        return self._shift(sound, room, decode_part)

    def _take_demand(self, now_s, engines, reading_load):
        """Take in the demand."""
        known = {engine.endpoint_id for engine in engines if engine.is_sound}
        if known != self._known:
            self._known = known
            self._began_s = now_s
        if self._looked_s is None:
            self._looked_s = now_s
        elapsed_s = max(0.0, now_s - self._looked_s)
        self._looked_s = now_s
        kept = 0.5 ** (elapsed_s / PEAK_HALF_LIFE_S)
        self._reading_load = reading_load
        self._reading_peak *= kept
        if self._is_settled(now_s):
            self._reading_peak = max(reading_load, self._reading_peak)
        streams = sum(engine.streams for engine in engines)
        self._streams_peak = max(streams, self._streams_peak * kept)

    def _is_in_burst(self, now_s, sound, decode_part):
        """Say whether more is to be read than can be, and only since a moment."""
        readers = sum(engine.stage == PREFILL for engine in sound)
        capacity = readers + decode_part * (len(sound) - readers)
        if self._reading_load <= capacity:
            self._overloaded_since_s = None
            return False
        if self._overloaded_since_s is None:
            self._overloaded_since_s = now_s
        return now_s - self._overloaded_since_s < OVERLOADED_S

    def _is_settled(self, now_s):
        """Say whether the engines have been the same for a while."""
        return now_s - self._began_s >= SETTLING_S

    def _restore(self, now_s, engines, sound):
        """Return the change that brings a missing stage back, or None."""
        stages = {engine.stage for engine in sound}
        known = {engine.stage for engine in engines if not engine.is_leaving}
        for stage in (DECODE, PREFILL):
            others = [engine for engine in sound if not engine.is_switching]
            # An engine that makes tokens reads by itself, so the last two stay.
            least = 1 if stage == DECODE else LEAST_DECODES + 1
            if stage in stages or len(others) < least:
                self._missing_since_s.pop(stage, None)
                continue
            since_s = self._missing_since_s.setdefault(stage, now_s)
            if now_s - since_s >= (MISSING_S if stage in known else GONE_S):
                chosen = min(others, key=_busy)
                return StageChange(
                    chosen.endpoint_id, stage, "missing", float("inf"), 1.0
                )
        return None

    def _shift(self, sound, room, decode_part):
        """Return the changes that bring the strain down enough to be worth it."""
        readers = sum(engine.stage == PREFILL for engine in sound)
        count = len(sound)
        least_decodes = min(LEAST_DECODES, max(1, count // 2))
        if count < 2 or readers == count:
            return []
        slots = sum(engine.slots for engine in sound) / count
        strain = self._strain(readers, count, slots, decode_part)
        best, best_strain = readers, strain * GAIN_PART
        for candidate in range(1, count - least_decodes + 1):
            after = self._strain(candidate, count, slots, decode_part)
            if after < best_strain:
                best, best_strain = candidate, after
        is_reading_short = best > readers
        least = LEAST_READING_STRAIN if is_reading_short else LEAST_STREAMING_STRAIN
        if best == readers or strain < least:
            return []
        stage = PREFILL if is_reading_short else DECODE
        donors = [e for e in sound if e.stage != stage and not e.is_switching]
        donors.sort(key=_busy)
        chosen = donors[: min(room, abs(best - readers))]
        return [
            StageChange(engine.endpoint_id, stage, "shift", strain, best_strain)
            for engine in chosen
        ]

    def _strain(self, readers, count, slots, decode_part):
        """Return the larger part of what the engines can do that is asked of them."""
        decodes = count - readers
        reading = self._reading_peak / (readers + decode_part * decodes)
        streaming = self._streams_peak / (SLOTS_PART * slots * decodes)
        return max(reading, streaming)


def _busy(engine):
    """Order engines by what a change would have them end first."""
    return (engine.streams + engine.readings, engine.endpoint_id)
