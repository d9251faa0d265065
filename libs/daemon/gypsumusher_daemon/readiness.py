"""Decides whether this host may serve requests, and with which refusal if not."""

from gypsumusher_coordination import last_contact_s, may_serve
from gypsumusher_daemon.peer_network import LIVE
from gypsumusher_daemon.refusals import Refusal

__all__ = ["STARTING", "STOPPED", "Readiness"]

STARTING = "starting"
STOPPED = "stopped"
# Retry-After of a host that is not ready, and of one that is full or stopping.
RETRY_STARTING_S = 1.0
RETRY_BUSY_S = 1.0


class Readiness:
    """Checks whether a host may serve requests in its current state.

    Parameters
    ----------
    host : EntryHost
        The host whose state, configuration and peers are checked.
    """

    def __init__(self, host):
        self._host = host
        self._was_cut_off = False

    def is_ready(self):
        """Return whether new callers may be directed to this host."""
        return self._host.state == LIVE and self.current_refusal() is None

    def current_refusal(self):
        """Return the refusal for every request in the current state, or None."""
        if self._host.state == STOPPED:
            return Refusal(
                "stopping",
                "this host is stopping; ask /v1/entry for another one",
                step="state",
                peer=self._host.name,
                retry_after_s=RETRY_BUSY_S,
            )
        if self._host.document is None:
            return Refusal(
                "not_ready",
                "this host has no configuration yet",
                step="state",
                peer=self._host.name,
                retry_after_s=RETRY_STARTING_S,
            )
        if self._config_may_be_outdated():
            return Refusal(
                "not_ready",
                "this host can't know which configuration is in force",
                step="state",
                peer=self._host.name,
                retry_after_s=RETRY_STARTING_S,
            )
        if len(self._host.tasks) >= self._host.settings["callers.max_requests"]:
            return Refusal(
                "overloaded",
                "this host has reached its limit of requests",
                step="state",
                peer=self._host.name,
                retry_after_s=RETRY_BUSY_S,
            )
        return None

    def _config_may_be_outdated(self):
        """Return whether this host's configuration may be outdated; log a change.

        See `gypsumusher_coordination.may_serve` for the rule and its reasons.
        """
        settings = self._host.document["hosts"]
        now_s = self._host.clock()
        last_s = last_contact_s(
            now_s,
            self._host.configuration.last_platform_contact_s,
            self._host.peer_network.last_received_s,
            self._host.name,
            [self._host.name, *self._host.peer_network.members],
        )
        cut_off = not may_serve(
            now_s, last_s, settings["stale_config"], settings["stale_limit_s"]
        )
        if cut_off != self._was_cut_off:
            self._was_cut_off = cut_off
            self._host.log("warning" if cut_off else "info", "cut_off", cut_off=cut_off)
        return cut_off
