"""How a host reaches endpoints: over its own link, or through another host.

A connection that fails to open says something of one link, not of the endpoint: a host
may be partitioned from endpoints that all others reach. So an endpoint counts as failed
only if other hosts don't reach it either, and a host that has lost its own link sends
through one that has not.
"""

__all__ = ["DirectPath", "RelayTable"]

# Pause between two attempts over a link that is down.
RETRY_INTERVAL_S = 1.0
# Time for which a host that didn't reach an endpoint isn't asked for it again.
FAILED_RELAY_PAUSE_S = 2.0
# Time for which a host that reached any endpoint is preferred.
REACHED_FOR_S = 5.0
# Hosts that didn't reach an endpoint, after which no further one is asked: then the
# endpoint itself is down.
MAX_FAILED_RELAYS = 3


class DirectPath:
    """This host's own link to one endpoint."""

    def __init__(self):
        self._down_since_s = None
        self._tried_s = float("-inf")

    @property
    def is_down(self) -> bool:
        """Whether other hosts reach the endpoint while this host doesn't."""
        return self._down_since_s is not None

    @property
    def down_since_s(self) -> float:
        """When the link went down, in seconds; infinity while it isn't."""
        return float("inf") if self._down_since_s is None else self._down_since_s

    def on_connected(self) -> bool:
        """Record that a connection has opened; return whether the link was down."""
        was_down, self._down_since_s = self.is_down, None
        return was_down

    def on_bypassed(self, now_s: float) -> bool:
        """Record that only another host reached the endpoint; return if that is new."""
        if self.is_down:
            return False
        self._down_since_s = self._tried_s = now_s
        return True

    def take_try(self, now_s: float) -> bool:
        """Return whether a link that is down is to be tried now; count the try."""
        if not self.is_down or now_s - self._tried_s < RETRY_INTERVAL_S:
            return False
        self._tried_s = now_s
        return True


class RelayTable:
    """Which hosts reach endpoints for this one."""

    def __init__(self):
        self._reached_s = {}
        # When a host didn't reach an endpoint, by endpoint and host.
        self._failed_s = {}

    def choose(self, now_s, endpoint_id, hosts, draw_uniform):
        """Return the host to ask next for an endpoint.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        endpoint_id : str
            The endpoint.
        hosts : list of HostStatus
            Hosts that are live and accept requests.
        draw_uniform : callable
            Draws from 0 to 1.

        Returns
        -------
        HostStatus or None
            None if no host is left that may reach the endpoint.
        """
        failed_s = self._failed_s.get(endpoint_id, {})
        failed = {
            name
            for name, at_s in failed_s.items()
            if now_s - at_s < FAILED_RELAY_PAUSE_S
        }
        candidates = [host for host in hosts if host.name not in failed]
        preferred = [
            host
            for host in candidates
            if now_s - self._reached_s.get(host.name, float("-inf")) < REACHED_FOR_S
        ]
        if not preferred and len(failed) >= MAX_FAILED_RELAYS:
            return None
        candidates = preferred or candidates
        if not candidates:
            return None
        return candidates[int(draw_uniform() * len(candidates))]

    def on_reached(self, now_s: float, endpoint_id: str, host: str) -> None:
        """Record that a host has reached an endpoint."""
        self._reached_s[host] = now_s
        self._failed_s.pop(endpoint_id, None)

    def on_failed(self, now_s: float, endpoint_id: str, host: str) -> None:
        """Record that a host hasn't reached an endpoint."""
        failed_s = self._failed_s.setdefault(endpoint_id, {})
        failed_s[host] = now_s

    def forget(self, endpoint_ids) -> None:
        """Forget what is known of endpoints other than these."""
        for endpoint_id in set(self._failed_s) - set(endpoint_ids):
            del self._failed_s[endpoint_id]
