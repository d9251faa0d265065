"""The prefix cache of a stand-in engine, with its late and gappy event log."""

from collections import OrderedDict, deque
from typing import NamedTuple


class CacheEvent(NamedTuple):
    """One change of the cache, numbered, and when it happened."""

    sequence: int
    at_s: float
    add: list
    remove: list


class PrefixCache:
    """Prompt prefixes by hash, least recently used out first.

    Parameters
    ----------
    limit : int
        Number of prefixes kept.
    lag_s : float
        Seconds after which an event is published.
    log_limit : int
        Events kept; older ones are gaps to a slow reader.
    """

    def __init__(self, limit, lag_s, log_limit):
        self.limit = limit
        self.lag_s = lag_s
        self.prefixes = OrderedDict()
        self.sequence = 0
        self.log = deque(maxlen=log_limit)

    def match(self, hashes):
        """Return how many leading hashes are in the cache."""
        count = 0
        for prefix_hash in hashes:
            if prefix_hash not in self.prefixes:
                break
            self.prefixes.move_to_end(prefix_hash)
            count += 1
        return count

    def insert(self, now_s, hashes):
        """Keep the prefixes of a prompt, and log what came and went."""
        added = []
        removed = []
        for prefix_hash in hashes:
            if prefix_hash not in self.prefixes:
                added.append(prefix_hash)
            self.prefixes[prefix_hash] = None
            self.prefixes.move_to_end(prefix_hash)
        while len(self.prefixes) > self.limit:
            removed.append(self.prefixes.popitem(last=False)[0])
        if not added and not removed:
            return
        self.sequence += 1
        self.log.append(CacheEvent(self.sequence, now_s, added, removed))

    def events_after(self, now_s, after):
        """Return the published events after a sequence number, as JSON."""
        published = [event for event in self.log if event.at_s <= now_s - self.lag_s]
        newest = published[-1].sequence if published else 0
        first = published[0].sequence if published else 0
        events = [
            {"sequence": event.sequence, "add": event.add, "remove": event.remove}
            for event in published
            if event.sequence > after
        ]
        return {"sequence": newest, "first_sequence": first, "events": events}
