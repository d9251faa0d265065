"""Events of a stream are found in pieces of any size, within a limit."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

import gypsumusher_routing.events as events
from gypsumusher_routing import EventSplitter, OversizedEvent


def split(pieces):
    """Return the events in some pieces, and what is held back after them."""
    splitter = EventSplitter()
    raw = [event.raw for piece in pieces for event in splitter.feed(piece)]
    assert splitter.held_bytes == len(splitter.incomplete)
    return raw, splitter.incomplete


def split_from_start(pieces):
    """Return the same, found by searching all that is held back with each piece."""
    raw, rest = [], b""
    for piece in pieces:
        rest += piece
        start = 0
        for match in events._EVENT_END.finditer(rest):
            raw.append(rest[start : match.end()])
            start = match.end()
        rest = rest[start:]
    return raw, rest


@given(st.text("a\n", max_size=40), st.sampled_from(["\n", "\r\n", "\r"]), st.data())
def test_events_are_those_of_a_search_from_the_start(text, line_end, data):
    stream = text.replace("\n", line_end).encode()
    cuts = data.draw(st.sets(st.integers(0, len(stream))))
    bounds = [0, *sorted(cuts), len(stream)]
    pieces = [stream[start:end] for start, end in zip(bounds, bounds[1:])]
    found, rest = split(pieces)
    assert b"".join(found) + rest == stream
    assert (found, rest) == split_from_start(pieces)


# Guards against an event in small pieces that holds up all other requests.
def test_event_in_small_pieces_is_searched_once(monkeypatch):
    class Pattern:
        searched_bytes = 0

        def finditer(self, buffer, start=0):
            Pattern.searched_bytes += len(buffer) - start
            return found.finditer(buffer, start)

    found = events._EVENT_END
    monkeypatch.setattr(events, "_EVENT_END", Pattern())
    splitter = EventSplitter()
    for _ in range(4000):
        splitter.feed(b"x" * 64)
    assert Pattern.searched_bytes < 2 * 4000 * 64


# Guards against an event without end that is kept.
def test_event_above_the_limit_is_an_error():
    splitter = EventSplitter()
    piece = b"x" * 65536
    with pytest.raises(OversizedEvent):
        for _ in range(events.EVENT_BYTES_MAX // len(piece) + 1):
            splitter.feed(piece)
