"""How often a host may tell its peers of its loads, by what its link carries.

Made for hosts with weak links under full load. Every load that changes is news to a
dozen active hosts, twenty times a second; on a link of 5 Mbit/s that takes a third of
what it carries. All that waits behind it comes late: answers, the configuration,
word of endpoints that have left.
"""

__all__ = ["GossipRateLimiter"]

# Part of a link that messages of changed loads may take.
LINK_PART = 0.05


class GossipRateLimiter:
    """A part of a host's link, as a queue that is emptied at that part of its rate.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of the link, in Mbit/s.
    """

    def __init__(self, link_mbps: float):
        self._bytes_per_s = LINK_PART * link_mbps * 1e6 / 8.0
        self._free_s = float("-inf")

    def may_send(self, now_s: float) -> bool:
        """Say whether the part has carried all that was sent."""
        return now_s >= self._free_s

    def on_sent(self, now_s: float, size_bytes: int) -> None:
        """Note what was sent, in bytes."""
        took_s = size_bytes / self._bytes_per_s
        self._free_s = max(self._free_s, now_s) + took_s
