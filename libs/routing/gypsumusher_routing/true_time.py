"""True time, estimated from the clocks of several hosts.

A host's time of day may jump by seconds. Its steady clock doesn't, so a host needs only
the offset between the two, and takes the median of what several hosts' clocks say. The
error is at most that of the worst clock of the better half, plus the delay of a
message.
"""

__all__ = ["TrueTime"]

# Age up to which a sample is used. Clocks drift by less than 0.1 ms in this time, and
# all hosts have sent several samples.
SAMPLE_TTL_S = 10.0
# Number of clocks from which their median counts more than another host's estimate.
MIN_CLOCKS = 5


class TrueTime:
    """Offset between true time and this host's steady clock.

    All offsets are in seconds, to be added to a reading of the steady clock.
    """

    def __init__(self):
        self._clocks = {}
        self._estimates = {}
        self._offset_s = None

    def on_clock(self, now_s: float, host: str, offset_s: float) -> None:
        """Record what the clock of a host says, this one included."""
        self._clocks[host] = (now_s, offset_s)

    def on_estimate(self, now_s: float, host: str, offset_s: float) -> None:
        """Record what another host has estimated from the clocks that it knows."""
        self._estimates[host] = (now_s, offset_s)

    def clock_count(self, now_s: float) -> int:
        """Return the number of clocks that are known."""
        return len(_recent(now_s, self._clocks))

    def offset_s(self, now_s: float) -> float | None:
        """Return the offset, or None if no clock has ever been read."""
        clocks = _recent(now_s, self._clocks)
        estimates = _recent(now_s, self._estimates)
        if len(clocks) >= MIN_CLOCKS or (clocks and not estimates):
            self._offset_s = _median(clocks)
        elif estimates:
            self._offset_s = _median(estimates)
        return self._offset_s


def _median(values):
    """Return the median; importing `statistics` would take 15 ms of a host's start."""
    ranked = sorted(values)
    middle = len(ranked) // 2
    if len(ranked) % 2:
        return ranked[middle]
    return (ranked[middle - 1] + ranked[middle]) / 2


def _recent(now_s, samples):
    """Return the offsets of the recent samples; drop the others."""
    for host, (at_s, _) in list(samples.items()):
        if now_s - at_s > SAMPLE_TTL_S:
            del samples[host]
    return [offset_s for _, offset_s in samples.values()]
