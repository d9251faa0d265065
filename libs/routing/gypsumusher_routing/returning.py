"""Which requests have been refused before, and have come back as they were told.

Made for a burst that lasts for longer than a caller can wait. A caller that is refused
comes back within tenths of a second, and its objective counts from its first attempt:
taken for a new one it would pass others that can still be on time, and be late all the
same; refused a second time its work is lost for good.
"""

import zlib

__all__ = ["Returning", "key_of"]

# A refused request is known for so long, in seconds: callers come back within a third
# of the time that they have left, and few wait for longer than this.
KEPT_S = 6.0
# Refusals that are known at most. At 7,400 requests a second of which half are refused,
# this is over a second of them at each of 55 active hosts.
MOST_KEPT = 4096


def key_of(target: str, part_id: int) -> int:
    """Return the key of a request: its path, and the own part of its prompt.

    Each attempt has an id of its own; these two are what the attempts have in common.
    """
    return zlib.crc32(f"{target} {part_id}".encode())


class Returning:
    """Times of the first attempts of requests that were refused, by key."""

    def __init__(self):
        self._firsts_s = {}
        self._news = []

    def first_s(self, now_s: float, key: int) -> float | None:
        """Return when a request came first, None when it wasn't refused of late."""
        first_s = self._firsts_s.get(key)
        if first_s is None or now_s - first_s > KEPT_S:
            return None
        return first_s

    def on_refused(self, key: int, first_s: float) -> None:
        """Note a request that is refused now, and when it came first."""
        self._keep(key, first_s)
        self._news.append((key, first_s))

    def on_peer(self, key: int, first_s: float) -> None:
        """Take in what a peer refused."""
        self._keep(key, first_s)

    def take_news(self, now_s: float, count: int) -> list[tuple[int, float]]:
        """Return refusals that the peers don't know yet: key, and age in seconds."""
        news, self._news = self._news[:count], self._news[count:]
        return [(key, round(now_s - first_s, 3)) for key, first_s in news]

    def _keep(self, key, first_s):
        self._firsts_s.pop(key, None)
        self._firsts_s[key] = first_s
        while len(self._firsts_s) > MOST_KEPT:
            self._firsts_s.pop(next(iter(self._firsts_s)))
