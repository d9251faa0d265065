"""Prefix cache of a stand-in engine, and the event log that publishes its changes.

The log publishes events after a delay and keeps a limited number of them, so that a
reader has to cope with stale information and with gaps.
"""

from collections import OrderedDict, deque
from typing import NamedTuple


class CacheEvent(NamedTuple):
    """One numbered change of the cache: hashes added and removed, and the time."""

    sequence: int
    occurred_at_s: float
    add: list
    remove: list


class PrefixCache:
    """Set of prompt prefix hashes with least-recently-used eviction.

    Parameters
    ----------
    max_prefixes : int
        Capacity, in prefixes.
    lag_s : float
        Delay between a change and the publication of its event, in seconds.
    max_events : int
        Number of events kept. Older events are dropped, and a reader that has not
        yet read them finds a gap in the sequence numbers.
    """

    def __init__(self, max_prefixes, lag_s, max_events):
        self.max_prefixes = max_prefixes
        self.lag_s = lag_s
        self.prefixes = OrderedDict()
        self.sequence = 0
        self.event_log = deque(maxlen=max_events)

    def match_prefix(self, hashes):
        """Return the number of leading hashes in the cache, and mark them as used."""
        count = 0
        for prefix_hash in hashes:
            if prefix_hash not in self.prefixes:
                break
            self.prefixes.move_to_end(prefix_hash)
            count += 1
        return count

    def insert(self, now_s, hashes):
        """Add the prefixes of a prompt, evict the excess, and log both as one event."""
        added = []
        removed = []
        for prefix_hash in hashes:
            if prefix_hash not in self.prefixes:
                added.append(prefix_hash)
            self.prefixes[prefix_hash] = None
            self.prefixes.move_to_end(prefix_hash)
        while len(self.prefixes) > self.max_prefixes:
            removed.append(self.prefixes.popitem(last=False)[0])
        if not added and not removed:
            return
        self.sequence += 1
        self.event_log.append(CacheEvent(self.sequence, now_s, added, removed))

    def events_after(self, now_s, after_sequence):
        """Return the published events after a sequence number.

        Returns
        -------
        dict
            The body of ``GET /cache/events``: ``events``, and the sequence numbers of
            the newest (``sequence``) and oldest (``first_sequence``) published event;
            both are 0 if there is none.
        """
        published = [
            event
            for event in self.event_log
            if event.occurred_at_s <= now_s - self.lag_s
        ]
        newest = published[-1].sequence if published else 0
        first = published[0].sequence if published else 0
        events = [
            {"sequence": event.sequence, "add": event.add, "remove": event.remove}
            for event in published
            if event.sequence > after_sequence
        ]
        return {"sequence": newest, "first_sequence": first, "events": events}
