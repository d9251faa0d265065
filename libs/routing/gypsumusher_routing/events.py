"""Boundaries of server-sent events, found without parsing what they carry."""

from typing import NamedTuple

__all__ = ["DONE", "Event", "EventSplitter", "OversizedEvent"]

DONE = b"[DONE]"
# An engine's event carries one token or a few; a megabyte is no event.
EVENT_BYTES_MAX = 1_048_576


class OversizedEvent(Exception):
    """An event grew past the limit without an end."""


class Event(NamedTuple):
    """One whole server-sent event.

    Attributes
    ----------
    raw : bytes
        All its bytes with the blank line that ends it.
    event_id : int or None
        Its ``id`` field.
    done : bool
        Whether it is the end marker.
    """

    raw: bytes
    event_id: int | None
    done: bool


class EventSplitter:
    """Cuts a byte stream into whole events; a part of one is never handed out.

    A connection that breaks in the middle of an event leaves half a token behind.
    Passing that half on and then resuming would garble the answer, so only whole
    events leave here.
    """

    def __init__(self):
        self._tail = b""

    def feed(self, data):
        """Return the events that are complete now.

        Parameters
        ----------
        data : bytes
            The next bytes from the engine.

        Raises
        ------
        OversizedEvent
            When an event exceeds the limit.
        """
        buffered = self._tail + data
        events = []
        start = 0
        while True:
            end = buffered.find(b"\n\n", start)
            if end < 0:
                break
            events.append(_read_event(buffered[start : end + 2]))
            start = end + 2
        self._tail = buffered[start:]
        if len(self._tail) > EVENT_BYTES_MAX:
            raise OversizedEvent(f"an event has over {EVENT_BYTES_MAX} bytes")
        return events


def _read_event(raw):
    """Return the event that some bytes hold."""
    event_id = None
    done = False
    for line in raw.split(b"\n"):
        if line.startswith(b"id:"):
            number = line[3:].strip()
            event_id = int(number) if number.isdigit() else None
            continue
        if line.startswith(b"data:") and line[5:].strip() == DONE:
            done = True
    return Event(raw, event_id, done)
