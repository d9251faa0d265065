"""What a home remembers of its keys, bounded in time and number."""

import enum

# Dropping an eighth of the keys at once keeps the sort that finds the oldest ones
# rare: it runs once in `limit / 8` claims.
_FORGET_SHARE = 8
# The mint count is marked this often in one retention.
_MARKS_PER_RETENTION = 16


class KeyState(enum.Enum):
    """What a home knows of one of its keys."""

    WAITING = "waiting"
    RUNNING = "running"
    DONE = "done"
    WITHDRAWN = "withdrawn"


_FINAL_STATES = (KeyState.DONE, KeyState.WITHDRAWN)


class KeyRecord:
    """One remembered key.

    Parameters
    ----------
    count : int
        The key's mint count.
    fingerprint : str or None
        Digest of its request's content; None when only a question came so far.
    state : KeyState
        What became of it.
    deadline_s : float
        When a claim that still waits is refused.
    """

    __slots__ = ("count", "deadline_s", "fingerprint", "state")

    def __init__(self, count, fingerprint, state, deadline_s):
        self.count = count
        self.fingerprint = fingerprint
        self.state = state
        self.deadline_s = deadline_s


class KeyTable:
    """The keys that were claimed or asked for at this home.

    Parameters
    ----------
    limit : int
        Finished keys kept at most, beside those that wait or run.
    retention_s : float
        How long after its mint a finished key is kept.

    Notes
    -----
    A forgotten key would look like one that was never claimed, and run again. The
    mint count in the key tells them apart: all keys below a floor count as forgotten,
    for ever and without a record. The floor rises with time, and sooner when the
    limit is reached, also during an outage in which no journal segment can close.
    """

    def __init__(self, limit, retention_s):
        self._limit = limit
        self._retention_s = retention_s
        self._records = {}
        self._floor = 0
        self._marks = []

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
            None when the key was never heard of, or is forgotten.
        """
        return self._records.get(key)

    def is_expired(self, count):
        """Return whether keys with this mint count are forgotten.

        Parameters
        ----------
        count : int
            A mint count.

        Returns
        -------
        bool
            True when nothing can be said of such a key that has no record.
        """
        return count < self._floor

    def add(self, key, record):
        """Remember a key; forget the oldest finished ones when there are too many.

        Parameters
        ----------
        key : str
            The key.
        record : KeyRecord
            What is known of it.
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
            self._raise_floor(counts[len(counts) // _FORGET_SHARE] + 1)

    def finish(self, key):
        """Note that a running key is done.

        Parameters
        ----------
        key : str
            The key.
        """
        record = self._records[key]
        record.state = KeyState.DONE
        if record.count < self._floor:
            del self._records[key]

    def expire(self, now_s, minted):
        """Forget what was minted longer than the retention ago.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        minted : int
            How many keys have been minted by now.
        """
        interval_s = self._retention_s / _MARKS_PER_RETENTION
        if not self._marks or now_s - self._marks[-1][0] >= interval_s:
            self._marks.append((now_s, minted))
        floor = self._floor
        while now_s - self._marks[0][0] >= self._retention_s:
            floor = self._marks.pop(0)[1]
        if floor > self._floor:
            self._raise_floor(floor)

    def _raise_floor(self, floor):
        self._floor = max(self._floor, floor)
        for key, record in list(self._records.items()):
            if record.count < self._floor and record.state in _FINAL_STATES:
                del self._records[key]
