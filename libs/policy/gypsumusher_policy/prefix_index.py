"""Which endpoint holds which prompt prefix: a hint that may be late or have gaps."""

from collections import OrderedDict

# One entry takes about 200 bytes here, so that the table stays under 8 MB a
# deployment and host.
MAX_PREFIXES = 40_000
# Endpoints remembered for one prefix: more than these make no better choice.
MAX_HOLDERS = 4


class CacheTable:
    """Prefix hashes and the endpoints that are thought to hold them."""

    def __init__(self, max_prefixes: int = MAX_PREFIXES):
        self.max_prefixes = max_prefixes
        self.holders = OrderedDict()

    def add(self, endpoint: str, prefix_hash: int) -> None:
        """Note that an endpoint holds a prefix."""
        names = self.holders.get(prefix_hash, ())
        if endpoint not in names:
            self.holders[prefix_hash] = (endpoint, *names)[:MAX_HOLDERS]
        self.holders.move_to_end(prefix_hash)
        if len(self.holders) > self.max_prefixes:
            self.holders.popitem(last=False)

    def remove(self, endpoint: str, prefix_hash: int) -> None:
        """Note that an endpoint has dropped a prefix."""
        names = self.holders.get(prefix_hash, ())
        if endpoint not in names:
            return
        rest = tuple(name for name in names if name != endpoint)
        if rest:
            self.holders[prefix_hash] = rest
            return
        del self.holders[prefix_hash]

    def longest(self, prefix_hashes: tuple[int, ...]) -> tuple[tuple[str, ...], int]:
        """Return the holders of the longest known prefix, and its number of parts.

        The hashes are chained, so a binary search finds the longest one in a table
        without gaps; with a gap it finds a shorter prefix, which is still true.
        """
        low, high = 0, len(prefix_hashes)
        names = ()
        while low < high:
            middle = (low + high) // 2
            found = self.holders.get(prefix_hashes[middle])
            if found is None:
                high = middle
                continue
            names = found
            low = middle + 1
        return names, low
