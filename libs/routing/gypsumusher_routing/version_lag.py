"""For how long a host has known less than its peers say that they know.

Made for hosts that hear from peers instead of from the store. News normally takes a
few tenths of a second; a host whose peers can't be heard, or whose link is full, looks
like any other and serves its callers by what is long over.
"""

__all__ = ["VersionLag"]


class VersionLag:
    """The lag of one kind of news, whose versions are numbers that only grow.

    It counts from the moment at which a peer first told of a version until that one is
    known here. Newer ones meanwhile don't begin it anew, so that a host that never
    catches up isn't taken for one that keeps up with many changes.
    """

    def __init__(self):
        self._target = 0
        self._since_s = 0.0
        self.lag_s = 0.0

    def update(self, now_s: float, known: int, newest: int) -> float:
        """Take in what is known here and at the peers; return the lag, in seconds.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        known : int
            The version known here.
        newest : int
            The newest version that a live peer says it knows.
        """
        if newest <= known:
            self._target = known
            self.lag_s = 0.0
            return self.lag_s
        # A peer that told of the target and is gone may have been the only one.
        if known >= self._target or newest < self._target:
            self._target, self._since_s = newest, now_s
        self.lag_s = now_s - self._since_s
        return self.lag_s
