"""Table of a host's idempotency keys, bounded in age and number."""

import enum

# Evicting an eighth of the finished keys at once limits the sort that finds the oldest
# ones to one run per `limit / 8` claims.
_EVICTION_DIVISOR = 8
# The number of minted keys is sampled this many times per retention period, so a key
# is kept at most a sixteenth of the period too long.
_SAMPLES_PER_RETENTION = 16


class KeyState(enum.Enum):
    """State of one key at its owner."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    WITHDRAWN = "withdrawn"


_FINAL_STATES = (KeyState.DONE, KeyState.WITHDRAWN)


class KeyRecord:
    """Record of one key.

    Parameters
    ----------
    count : int
        Number of keys that the owner had minted before this one.
    fingerprint : str or None
        Digest of the request's content; None if the key was withdrawn by `resolve`
        before any claim.
    state : KeyState
        State of the key.
    deadline_s : float
        Clock reading at which a claim that still waits is refused.
    """

    __slots__ = ("count", "deadline_s", "fingerprint", "state")

    def __init__(self, count, fingerprint, state, deadline_s):
        self.count = count
        self.fingerprint = fingerprint
        self.state = state
        self.deadline_s = deadline_s


class KeyTable:
    """Records of the keys that were claimed or resolved at their owner.

    Parameters
    ----------
    limit : int
        Number of keys above which the oldest finished ones are evicted. Keys that
        wait or run are never evicted.
    retention_s : float
        How long after its minting a finished key is kept, in seconds.

    Notes
    -----
    An evicted key must not look like one that was never claimed, or its request would
    run again. The mint count in the key tells them apart: every key without a record
    whose count is below `_min_count` counts as expired, permanently. `_min_count`
    rises with time, and sooner when the limit is reached, also during a platform
    outage in which no journal segment can be closed.
    """

    def __init__(self, limit, retention_s):
        self._limit = limit
        self._retention_s = retention_s
        self._records = {}
        self._min_count = 0
        self._count_samples = []

    def __len__(self):
        return len(self._records)

    def find(self, key):
        """Return the record of a key, or None.

        Parameters
        ----------
        key : str
            The key.

        Returns
        -------
        KeyRecord or None
            None when the key was never claimed or resolved, or has been evicted.
        """
        return self._records.get(key)

    def is_expired(self, count):
        """Return whether keys with this mint count have expired.

        Parameters
        ----------
        count : int
            A mint count.

        Returns
        -------
        bool
            True when the outcome of such a key is unknown if it has no record.
        """
        return count < self._min_count

    def add(self, key, record):
        """Add a record; evict the oldest finished keys when the limit is exceeded.

        Parameters
        ----------
        key : str
            The key.
        record : KeyRecord
            Its record.
        """
        self._records[key] = record
        if len(self._records) <= self._limit:
            return
        counts = sorted(
            record.count
            for record in self._records.values()
            if record.state in _FINAL_STATES
        )
        if counts:
            self._raise_min_count(counts[len(counts) // _EVICTION_DIVISOR] + 1)

    def finish(self, key):
        """Mark a running key as done.

        Parameters
        ----------
        key : str
            The key.
        """
        record = self._records[key]
        record.state = KeyState.DONE
        if record.count < self._min_count:
            del self._records[key]

    def expire(self, now_s, minted_count):
        """Evict finished keys that were minted longer than the retention ago.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        minted_count : int
            Number of keys that have been minted by now.
        """
        interval_s = self._retention_s / _SAMPLES_PER_RETENTION
        if not self._count_samples or now_s - self._count_samples[-1][0] >= interval_s:
            self._count_samples.append((now_s, minted_count))
        min_count = self._min_count
        while now_s - self._count_samples[0][0] >= self._retention_s:
            min_count = self._count_samples.pop(0)[1]
        if min_count > self._min_count:
            self._raise_min_count(min_count)

    def _raise_min_count(self, min_count):
        self._min_count = max(self._min_count, min_count)
        for key, record in list(self._records.items()):
            if record.count < self._min_count and record.state in _FINAL_STATES:
                del self._records[key]
