"""Splits a stream of server-sent events without parsing their payload."""

import re
from typing import NamedTuple

__all__ = ["DONE", "Event", "EventSplitter", "OversizedEvent"]

DONE = b"[DONE]"
# An engine's event carries one token or a few, so one that exceeds this is malformed.
# The limit bounds the buffer per stream.
EVENT_BYTES_MAX = 1_048_576
# A blank line ends an event; each line ends with CR LF, LF or CR.
_EVENT_END = re.compile(rb"(?:\r\n|\n|\r(?!\n)){2}")
# Bytes before the next ones in which the end of an event may have begun.
_EVENT_END_BYTES_MAX = 4


class OversizedEvent(Exception):
    """An event exceeded the size limit before its end."""


class Event(NamedTuple):
    """One complete server-sent event.

    Attributes
    ----------
    raw : bytes
        The event as received, with the blank line that ends it.
    event_id : int or None
        Value of its ``id`` field.
    done : bool
        Whether it is the end marker.
    """

    raw: bytes
    event_id: int | None
    done: bool


class EventSplitter:
    """Splits a byte stream into complete events; incomplete ones are held back.

    When a connection breaks in the middle of an event, the incomplete event must not
    reach the caller: a resumed stream would continue after it and garble the answer.
    """

    def __init__(self):
        self._incomplete = bytearray()

    @property
    def incomplete(self):
        """Bytes after the last complete event, which are held back."""
        return bytes(self._incomplete)

    @property
    def held_bytes(self):
        """Number of bytes that are held back."""
        return len(self._incomplete)

    @property
    def is_within_event(self):
        """Whether an event has begun that isn't complete; blank lines begin none."""
        return bool(self._incomplete.strip(b"\r\n"))

    def feed(self, data):
        """Return the events that are complete with the next bytes.

        Parameters
        ----------
        data : bytes
            Next bytes from the engine.

        Raises
        ------
        OversizedEvent
            If an event exceeds the size limit.
        """
        buffered = self._incomplete
        # What was searched before isn't again: an event may come in many small pieces.
        searched = max(0, len(buffered) - _EVENT_END_BYTES_MAX)
        buffered += data
        events = []
        start = 0
        for end in [match.end() for match in _EVENT_END.finditer(buffered, searched)]:
            events.append(_parse_event(bytes(buffered[start:end])))
            start = end
        del buffered[:start]
        if len(self._incomplete) > EVENT_BYTES_MAX:
            raise OversizedEvent(f"event exceeds {EVENT_BYTES_MAX} bytes")
        return events


def _parse_event(raw):
    """Return the event in some bytes, with its id and whether it is the end marker."""
    event_id = None
    done = False
    for line in raw.splitlines():
        if line.startswith(b"id:"):
            number = line[3:].strip()
            event_id = int(number) if number.isdigit() else None
            continue
        if line.startswith(b"data:") and line[5:].strip() == DONE:
            done = True
    return Event(raw, event_id, done)
