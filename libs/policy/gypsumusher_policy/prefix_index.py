"""Index from prompt prefixes to the endpoints whose KV cache holds them.

The index is a placement hint: it is built from cache events of the engines, which may
arrive late or be lost.
"""

from collections import OrderedDict

# An entry takes about 200 bytes, so the index stays under 8 MB per deployment and
# host.
MAX_PREFIXES = 40_000
# Endpoints kept for one prefix: more of them would not improve the placement.
MAX_ENDPOINTS_PER_PREFIX = 4


class PrefixIndex:
    """Prefix hashes with the endpoints that are expected to hold them in cache.

    Parameters
    ----------
    max_prefixes : int
        Prefixes kept; beyond that, the least recently added one is evicted.
    """

    def __init__(self, max_prefixes: int = MAX_PREFIXES):
        self.max_prefixes = max_prefixes
        self.endpoints_by_prefix = OrderedDict()

    def add(self, endpoint: str, prefix_hash: int) -> None:
        """Record that an endpoint holds a prefix."""
        names = self.endpoints_by_prefix.get(prefix_hash, ())
        if endpoint not in names:
            self.endpoints_by_prefix[prefix_hash] = (endpoint, *names)[
                :MAX_ENDPOINTS_PER_PREFIX
            ]
        self.endpoints_by_prefix.move_to_end(prefix_hash)
        if len(self.endpoints_by_prefix) > self.max_prefixes:
            self.endpoints_by_prefix.popitem(last=False)

    def remove(self, endpoint: str, prefix_hash: int) -> None:
        """Record that an endpoint has evicted a prefix."""
        names = self.endpoints_by_prefix.get(prefix_hash, ())
        if endpoint not in names:
            return
        remaining = tuple(name for name in names if name != endpoint)
        if remaining:
            self.endpoints_by_prefix[prefix_hash] = remaining
            return
        del self.endpoints_by_prefix[prefix_hash]

    def longest_match(
        self, prefix_hashes: tuple[int, ...]
    ) -> tuple[tuple[str, ...], int]:
        """Return the endpoints with the longest known prefix, and its block count.

        The hashes are chained, so whoever holds a prefix holds all shorter ones and a
        binary search finds the longest. If the index lacks some of the shorter
        prefixes, the search may return a shorter match, which is still correct.

        Parameters
        ----------
        prefix_hashes : tuple of int
            Chained hashes of a prompt's prefixes, shortest first.

        Returns
        -------
        endpoints : tuple of str
            Names of the endpoints; empty if no prefix is known.
        n_blocks : int
            Number of prefix blocks that match.
        """
        low, high = 0, len(prefix_hashes)
        names = ()
        while low < high:
            middle = (low + high) // 2
            found = self.endpoints_by_prefix.get(prefix_hashes[middle])
            if found is None:
                high = middle
                continue
            names = found
            low = middle + 1
        return names, low
