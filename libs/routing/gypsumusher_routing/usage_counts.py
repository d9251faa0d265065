"""Counts of requests by client account and window of true time.

Each host counts its own requests and sends the counts to the few hosts that may have to
report them. The counts of one process only grow, so a message may be lost, repeated or
overtaken: receivers keep the larger number. A message has what a receiver hasn't
acknowledged yet.
"""

from typing import NamedTuple

__all__ = ["UsageChanges", "UsageCollector", "UsageCounter"]

# Counts in one message; the rest waits for the next.
MAX_COUNTS = 2000


class UsageChanges(NamedTuple):
    """Counts that a receiver lacks.

    Attributes
    ----------
    position : int
        Position in the sender's changes up to which the counts reach.
    counts : list of (int, str, int)
        Window, account, and the number of requests so far.
    """

    position: int
    counts: list


class UsageCounter:
    """Requests that this process began, by window and account.

    Parameters
    ----------
    window_s : float
        Length of a window, in seconds.
    kept_s : float
        Time after the end of a window for which its counts are kept, in seconds.
    """

    def __init__(self, window_s: float, kept_s: float):
        self._window_s = window_s
        self._kept_s = kept_s
        self._counts = {}
        # Position of the last change of a count, in the order of the changes.
        self._positions = {}
        self._position = 0
        # Position that each receiver has acknowledged.
        self._acknowledged = {}

    def count(self, true_s: float, account: str) -> None:
        """Count a request of an account that began at a time."""
        key = (int(true_s // self._window_s), account)
        self._position += 1
        self._counts[key] = self._counts.get(key, 0) + 1
        # Removed first, so that the changes stay in order.
        self._positions.pop(key, None)
        self._positions[key] = self._position

    def totals(self, window: int) -> dict[str, int]:
        """Return the counts of one window by account."""
        return {
            account: number
            for (of_window, account), number in self._counts.items()
            if of_window == window
        }

    def changes_for(self, receiver: object) -> UsageChanges | None:
        """Return what a receiver lacks, or None if it has all.

        Parameters
        ----------
        receiver : hashable
            One process of a host; a restarted one lacks everything.
        """
        known = self._acknowledged.get(receiver, 0)
        counts, reached = [], known
        for key, position in self._positions.items():
            if position <= known:
                continue
            counts.append((*key, self._counts[key]))
            reached = position
            if len(counts) == MAX_COUNTS:
                break
        return UsageChanges(reached, counts) if counts else None

    def on_acknowledged(self, receiver: object, position: int) -> None:
        """Record that a receiver has the counts up to a position."""
        known = self._acknowledged.get(receiver, 0)
        self._acknowledged[receiver] = max(known, position)

    def drop_old(self, true_s: float, receivers) -> None:
        """Drop old windows, and receivers that are no longer sent anything."""
        oldest = int((true_s - self._kept_s) // self._window_s)
        for key in [key for key in self._counts if key[0] < oldest]:
            del self._counts[key], self._positions[key]
        for receiver in [name for name in self._acknowledged if name not in receivers]:
            del self._acknowledged[receiver]


class UsageCollector:
    """Counts of all processes, as received.

    Parameters
    ----------
    window_s, kept_s : float
        As of `UsageCounter`.
    """

    def __init__(self, window_s: float, kept_s: float):
        self._window_s = window_s
        self._kept_s = kept_s
        self._counts = {}

    def on_counts(self, sender: object, counts) -> None:
        """Record the counts that a process has sent.

        Parameters
        ----------
        sender : hashable
            One process of a host; its counts only grow.
        counts : iterable of (int, str, int)
            Window, account and number of requests.
        """
        for window, account, number in counts:
            by_sender = self._counts.setdefault(window, {}).setdefault(account, {})
            by_sender[sender] = max(by_sender.get(sender, 0), number)

    def totals(self, window: int) -> dict[str, int]:
        """Return the counts of one window by account, over all processes."""
        return {
            account: sum(by_sender.values())
            for account, by_sender in self._counts.get(window, {}).items()
        }

    def drop_old(self, true_s: float) -> None:
        """Drop old windows."""
        oldest = int((true_s - self._kept_s) // self._window_s)
        for window in [window for window in self._counts if window < oldest]:
            del self._counts[window]
