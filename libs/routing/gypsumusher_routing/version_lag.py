"""Time for which a host has known older versions than its peers report.

For hosts that get updates from peers instead of from the store. Updates normally take a
few tenths of a second. A host that receives none, or whose link is full, looks like any
other and serves its callers from outdated state.
"""

__all__ = ["VersionLag"]


class VersionLag:
    """Lag of one kind of state, whose version numbers only increase.

    The lag is measured from the first report of a version by a peer until that version
    is known here. Newer versions in between don't restart the measurement, so that a
    host that never catches up differs from one that follows frequent changes.
    """

    def __init__(self):
        self._awaited = 0
        self._since_s = 0.0
        self.lag_s = 0.0

    def update(self, now_s: float, known: int, newest: int) -> float:
        """Compare the own version with that of the peers; return the lag in seconds.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        known : int
            Version known to this host.
        newest : int
            Newest version that a live peer reports.
        """
        if newest <= known:
            self._awaited = known
            self.lag_s = 0.0
            return self.lag_s
        # If the only peer with the awaited version is gone, no host can supply it.
        if known >= self._awaited or newest < self._awaited:
            self._awaited, self._since_s = newest, now_s
        self.lag_s = now_s - self._since_s
        return self.lag_s
