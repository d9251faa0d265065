"""Deletes a journal's old segments from the platform after the retention period.

Notes
-----
`JournalSealer` takes a missing segment for the end of the journal, so a deleted segment
must not look like that. The journal's owner first writes the number of the first
remaining segment into segment zero, and only then deletes the segments before it. A
sealer seals segment zero first. From then on the owner's write of segment zero
conflicts, so the owner deletes no segment beyond those that the sealer knows of.

Segments of owners that have died are not deleted.
"""

from gypsumusher_coordination.effects import (
    CallFailed,
    DeleteObject,
    StoredObject,
    WriteConflict,
    WriteDone,
    WriteObject,
)
from gypsumusher_coordination.keys import segment_name

# Deletion is not urgent and shares the platform's few hundred writes per second with
# the claims and leases of all hosts.
CALL_INTERVAL_S = 0.5
# Bounds the rewrites of segment zero per retention period, independent of how fast
# new segments are opened.
_REWRITES_PER_RETENTION = 8


class SegmentExpiry:
    """Expiry of the closed segments of one owner's journal.

    Parameters
    ----------
    kind : str
        Kind of the journal's platform objects.
    incarnation : str
        The journal's owner.
    retention_s : float
        How long a segment is kept after it was closed, in seconds.
    """

    def __init__(self, kind, incarnation, retention_s):
        self._kind = kind
        self._incarnation = incarnation
        self._retention_s = retention_s
        self._first_object = None
        self._closed = []
        self._deletable = []
        self._call = None
        self._calls = 0
        self._not_before_s = 0.0
        self._next_rewrite_s = 0.0
        self._is_fenced = False

    @property
    def is_fenced(self):
        """Whether another host has sealed the journal."""
        return self._is_fenced

    def on_closed(self, now_s, segment, stored):
        """Add a segment that its owner has closed.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        segment : int
            The segment's number. Segments are added in order, from zero.
        stored : StoredObject
            The segment's object on the platform.
        """
        if segment == 0:
            self._first_object = stored
        self._closed.append((segment, now_s, stored.version))

    def tick(self, now_s):
        """Return the next call if one is due.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.

        Returns
        -------
        list
            No effect or one.
        """
        if self._is_fenced or self._call is not None:
            return []
        if now_s < self._not_before_s:
            return []
        if self._deletable:
            segment, version = self._deletable[0]
            name = segment_name(self._incarnation, segment)
            return [DeleteObject(self._start_call(now_s), self._kind, name, version)]
        first_segment = self._first_to_keep(now_s)
        if first_segment is None or now_s < self._next_rewrite_s:
            return []
        value = {**self._first_object.value, "first_segment": first_segment, "keys": {}}
        name = segment_name(self._incarnation, 0)
        tag = self._start_call(now_s, value)
        return [WriteObject(tag, self._kind, name, value, self._first_object.version)]

    def handle(self, now_s, event):
        """Handle the response to a call.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        event : WriteDone, WriteConflict or CallFailed
            The response. Events of any call but the one in flight are ignored.
        """
        if self._call is None or event.tag != self._call[0]:
            return
        _, value = self._call
        self._call = None
        if isinstance(event, CallFailed):
            # `tick` retries. If the failed write took effect, the retry conflicts and
            # returns the written object. If a failed delete took effect, the retry
            # conflicts without an object.
            return
        if not isinstance(event, (WriteDone, WriteConflict)):
            raise TypeError(f"event: not a response to an expiry call: {event!r}")
        if value is None:
            self._on_delete_response(event)
            return
        self._next_rewrite_s = now_s + self._retention_s / _REWRITES_PER_RETENTION
        if isinstance(event, WriteDone):
            self._on_first_object(StoredObject(event.version, value))
            return
        if event.stored is None or event.stored.value["sealed"] is not None:
            self._is_fenced = True
            return
        self._on_first_object(event.stored)

    def _first_to_keep(self, now_s):
        first_segment = None
        for segment, closed_at_s, _ in self._closed:
            if now_s - closed_at_s < self._retention_s:
                break
            first_segment = segment + 1
        return first_segment

    def _on_first_object(self, stored):
        self._first_object = stored
        first_segment = stored.value.get("first_segment", 0)
        while self._closed and self._closed[0][0] < first_segment:
            segment, _, version = self._closed.pop(0)
            if segment > 0:
                self._deletable.append((segment, version))

    def _on_delete_response(self, event):
        segment, _ = self._deletable.pop(0)
        if isinstance(event, WriteConflict) and event.stored is not None:
            # A delayed write of the owner changed this segment after it was closed.
            self._deletable.append((segment, event.stored.version))

    def _start_call(self, now_s, value=None):
        self._calls += 1
        self._not_before_s = now_s + CALL_INTERVAL_S
        self._call = (f"expiry.{self._incarnation}.{self._calls}", value)
        return self._call[0]
