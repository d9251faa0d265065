"""Rate limit for gossip about changed loads, relative to the host's bandwidth.

For hosts with slow links under full load. Each changed load is sent to a dozen active
hosts, twenty times a second, which takes a third of a link of 5 Mbit/s. Answers,
configurations and updates about endpoints that have left are then delayed behind it.
"""

__all__ = ["GossipRateLimiter"]

# Share of the link's bandwidth that messages about changed loads may use.
LINK_SHARE = 0.05


class GossipRateLimiter:
    """Limits gossip to a share of a host's link; unused bandwidth is not saved up.

    Parameters
    ----------
    link_mbps : float
        Bandwidth of the link, in Mbit/s.
    """

    def __init__(self, link_mbps: float):
        self._bytes_per_s = LINK_SHARE * link_mbps * 1e6 / 8.0
        self._free_at_s = float("-inf")

    def may_send(self, now_s: float) -> bool:
        """Return whether the share has carried everything sent so far."""
        return now_s >= self._free_at_s

    def on_sent(self, now_s: float, size_bytes: int) -> None:
        """Account for sent messages of a total size in bytes."""
        duration_s = size_bytes / self._bytes_per_s
        self._free_at_s = max(self._free_at_s, now_s) + duration_s
