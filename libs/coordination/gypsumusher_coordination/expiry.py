"""Removing a home's old journal segments from the platform, after their retention.

Notes
-----
A survivor that finds a segment missing takes it for the end of the journal, so a
removed one must not look like that. The home first writes into segment zero which
segment is the first that still stands, and only then deletes the ones before it.
Survivors seal segment zero first: from then on this write conflicts, and nothing more
is deleted than what they have read.

The segments of dead homes stay; nothing here removes them.
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

# Expiry is nobody's hurry and shares the platform's few hundred writes a second with
# claims and leases of all hosts.
CALL_INTERVAL_S = 0.5
# Segment zero is rewritten this often in one retention, however fast segments roll.
_ROUNDS_PER_RETENTION = 8


class SegmentExpiry:
    """The old segments of one home's journal.

    Parameters
    ----------
    kind : str
        The journal's kind of objects.
    incarnation : str
        The home.
    retention_s : float
        How long a segment stands after the home has left it.
    """

    def __init__(self, kind, incarnation, retention_s):
        self._kind = kind
        self._incarnation = incarnation
        self._retention_s = retention_s
        self._header = None
        self._closed = []
        self._deletable = []
        self._call = None
        self._calls = 0
        self._not_before_s = 0.0
        self._next_round_s = 0.0
        self._is_sealed_out = False

    @property
    def is_fenced(self):
        """Whether a survivor has sealed the journal."""
        return self._is_sealed_out

    def on_closed(self, now_s, segment, stored):
        """Take a segment that the home has left.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        segment : int
            The segment's number; they come in order, from zero.
        stored : StoredObject
            The segment as it stands on the platform.
        """
        if segment == 0:
            self._header = stored
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
        if self._is_sealed_out or self._call is not None:
            return []
        if now_s < self._not_before_s:
            return []
        if self._deletable:
            segment, version = self._deletable[0]
            name = segment_name(self._incarnation, segment)
            return [DeleteObject(self._start_call(now_s), self._kind, name, version)]
        first_segment = self._first_to_keep(now_s)
        if first_segment is None or now_s < self._next_round_s:
            return []
        value = {**self._header.value, "first_segment": first_segment, "keys": {}}
        name = segment_name(self._incarnation, 0)
        tag = self._start_call(now_s, value)
        return [WriteObject(tag, self._kind, name, value, self._header.version)]

    def handle(self, now_s, event):
        """Take the answer to a call.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        event : WriteDone, WriteConflict or CallFailed
            The answer. Answers to other calls than the one in flight are ignored.
        """
        if self._call is None or event.tag != self._call[0]:
            return
        _, value = self._call
        self._call = None
        if isinstance(event, CallFailed):
            # Tried again later. If the write took effect, the next one conflicts and
            # shows it; if a delete did, the next one finds nothing.
            return
        if not isinstance(event, (WriteDone, WriteConflict)):
            raise TypeError(f"event: no answer to a call of expiry: {event!r}")
        if value is None:
            self._on_delete_answered(event)
            return
        self._next_round_s = now_s + self._retention_s / _ROUNDS_PER_RETENTION
        if isinstance(event, WriteDone):
            self._on_header(StoredObject(event.version, value))
            return
        if event.stored is None or event.stored.value["sealed"] is not None:
            self._is_sealed_out = True
            return
        self._on_header(event.stored)

    def _first_to_keep(self, now_s):
        first_segment = None
        for segment, closed_at_s, _ in self._closed:
            if now_s - closed_at_s < self._retention_s:
                break
            first_segment = segment + 1
        return first_segment

    def _on_header(self, stored):
        self._header = stored
        first_segment = stored.value.get("first_segment", 0)
        while self._closed and self._closed[0][0] < first_segment:
            segment, _, version = self._closed.pop(0)
            if segment > 0:
                self._deletable.append((segment, version))

    def _on_delete_answered(self, event):
        segment, _ = self._deletable.pop(0)
        if isinstance(event, WriteConflict) and event.stored is not None:
            # A write of the home that was given up has landed late in this segment.
            self._deletable.append((segment, event.stored.version))

    def _start_call(self, now_s, value=None):
        self._calls += 1
        self._not_before_s = now_s + CALL_INTERVAL_S
        self._call = (f"expiry.{self._incarnation}.{self._calls}", value)
        return self._call[0]
