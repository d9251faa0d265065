"""Load updates between active hosts that hold only what has changed.

Six active hosts send a status message of 1.2 kB to all others up to 20 times a second.
Between two whole ones a host sends the loads that differ; see
`gypsumusher_routing.load_changes`.
"""

from gypsumusher_routing import (
    NO_LOAD,
    ChangeUse,
    SentLoads,
    apply_load_changes,
    decode_load_changes,
)

__all__ = ["LOAD_CHANGES", "SUPPORT_ID", "LoadChangeSync"]

# Kind of the datagram.
LOAD_CHANGES = "load_changes"
# Endpoint id under which a status message announces that its sender reads changes.
# Hosts of earlier releases reject a message with an additional field, but skip loads at
# endpoints that they don't know, and no endpoint has an empty id.
SUPPORT_ID = ""


class LoadChangeSync:
    """Sends this host's changed loads, and applies those of the other hosts.

    Parameters
    ----------
    context : Context
        Source of this host's state, and destination of the received changes.
    apply_placements : callable
        ``apply_placements(now_s, placements)`` records what engines cache.
    """

    def __init__(self, context, apply_placements):
        self._context = context
        self._apply_placements = apply_placements
        self._sent = SentLoads()
        self._sent_change_count = None
        # Start of each process whose last status message announced that it reads
        # changes, by host.
        self._supporting = {}
        if context.policy.compact_updates:
            context.datagram_handlers[LOAD_CHANGES] = self._on_datagram

    def with_announcement(self, loads):
        """Return the loads of a whole message, with the announcement of support."""
        if not self._context.policy.compact_updates:
            return loads
        return {SUPPORT_ID: NO_LOAD, **_packed(loads)}

    def on_whole_message_sent(self, sequence, loads, ips, size_bytes):
        """Make a whole message the base of the following changes.

        Parameters
        ----------
        sequence : int
            Number of the message.
        loads : dict of str to tuple
            Its loads.
        ips : collection of str
            Active hosts that it was sent to.
        size_bytes : int
            Its size; 0 if it wasn't sent.
        """
        receivers = [(h.ip, h.started_ms) for h in self._active_peers(ips)]
        if not size_bytes:
            receivers = []
        self._sent.on_whole_message(sequence, loads, receivers, size_bytes)
        self._sent_change_count = self._context.endpoints.change_count

    def changes(self, loads, ips):
        """Return the loads that active hosts have to be sent.

        Parameters
        ----------
        loads : dict of str to tuple
            This host's loads now.
        ips : collection of str
            The active hosts.

        Returns
        -------
        dict of str to tuple, or None
            None if they need a whole message. They do when an endpoint's entry has
            changed, too: hosts that don't read the store ask for it once a status
            message shows the newer revision.
        """
        context = self._context
        if not context.policy.compact_updates or not context.is_active():
            return None
        if self._sent_change_count != context.endpoints.change_count:
            return None
        receivers = []
        for host in self._active_peers(ips):
            if self._supporting.get(host.name) != host.started_ms:
                return None
            receivers.append((host.ip, host.started_ms))
        if len(receivers) != len(ips):
            # Some haven't been heard, as when no other host is active.
            return None
        return self._sent.changes(loads, receivers)

    def _active_peers(self, ips):
        """Return the statuses of the active hosts with these IPs."""
        return [host for host in self._context.active_hosts() if host.ip in ips]

    def fields(self, sequence, changes, placements):
        """Return the fields of the datagram with this number."""
        context = self._context
        return [
            context.settings.name,
            context.started_ms,
            sequence,
            self._sent.base,
            [[endpoint, *load] for endpoint, load in _packed(changes).items()],
            placements,
        ]

    def is_compact(self, size_bytes):
        """Return whether a datagram of a size is smaller than the whole message."""
        return self._sent.is_compact(size_bytes)

    def on_status(self, status, loads):
        """Record whether the sender of a whole message reads changes.

        Parameters
        ----------
        status : HostStatus
            Status of the sender.
        loads : dict
            The message's loads, from which the announcement is removed.
        """
        if loads.pop(SUPPORT_ID, None) is None:
            self._supporting.pop(status.name, None)
            return
        if self._supporting.get(status.name) != status.started_ms:
            known = self._context.hosts.addresses()
            for name in [name for name in self._supporting if name not in known]:
                del self._supporting[name]
            self._supporting[status.name] = status.started_ms

    def _on_datagram(self, fields, _):
        """Apply another host's changes."""
        context = self._context
        now_s = context.clock()
        changes = decode_load_changes(fields)
        use = apply_load_changes(now_s, changes, context.hosts, context.endpoints)
        if use is not ChangeUse.NOTHING:
            self._apply_placements(now_s, changes.placements)


def _packed(loads):
    """Return loads with penalties of zero as integers, one byte instead of nine."""
    return {key: (*load[:-1], load[-1] or 0) for key, load in loads.items()}
