"""Whether this host may take new requests, and if not, why."""

from gypsumusher_coordination import last_contact_s, may_serve
from gypsumusher_daemon.cell import LIVE
from gypsumusher_daemon.refusals import Refusal

__all__ = ["STARTING", "STOPPED", "Readiness"]

STARTING = "starting"
STOPPED = "stopped"
RETRY_STARTING_S = 1.0
RETRY_BUSY_S = 1.0


class Readiness:
    """Judges this host's state for each request.

    Parameters
    ----------
    host : EntryHost
        Its state, configuration and peers are looked at.
    """

    def __init__(self, host):
        self._host = host
        self._cut_off_logged = False

    def is_ready(self):
        """Return whether callers may be sent here."""
        return self._host.state == LIVE and self.refusal_of_state() is None

    def refusal_of_state(self):
        """Return why this host serves nothing now, or None."""
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
        if self._is_cut_off():
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
                "this host has too many requests",
                step="state",
                peer=self._host.name,
                retry_after_s=RETRY_BUSY_S,
            )
        return None

    def _is_cut_off(self):
        """Return whether this host can't know which configuration is in force.

        See `gypsumusher_coordination.may_serve` for the decision and its reasons.
        """
        settings = self._host.document["hosts"]
        now_s = self._host.clock()
        last_s = last_contact_s(
            now_s,
            self._host.configuration.heard_platform_s,
            self._host.cell.heard_s,
            self._host.name,
            [self._host.name, *self._host.cell.members],
        )
        cut_off = not may_serve(
            now_s, last_s, settings["stale_config"], settings["stale_limit_s"]
        )
        if cut_off != self._cut_off_logged:
            self._cut_off_logged = cut_off
            self._host.log("warning" if cut_off else "info", "cut_off", cut_off=cut_off)
        return cut_off
