"""Checks one streamed response: its event ids, its text and its end marker."""

import json
from typing import NamedTuple

END_MARKER = b"[DONE]"


class ResponseFault(NamedTuple):
    """A fault of a response; ``kind`` is doubled, incomplete or crossed."""

    kind: str
    detail: str


class ResponseChecker:
    """Reads the events of one streamed response, across all its connections.

    Event ids have to run 1, 2, 3 and so on. A lower id means that an event arrived
    twice, a higher one that an event is missing; either makes the text wrong.
    """

    def __init__(self):
        self.last_event_id = 0
        self.complete = False
        self.fault = None
        self.error = None
        self.completion_id = ""
        self.text_parts = []
        self.first_token_s = None
        self.last_token_s = None
        self.inter_token_s = []
        self._event_id = None
        self._data = []

    @property
    def text(self):
        """The text received so far."""
        return "".join(self.text_parts)

    def on_reconnect(self):
        """Discard the incomplete event of a broken connection."""
        self._event_id = None
        self._data = []

    def on_line(self, now_s, line):
        """Process one line of the event stream.

        Parameters
        ----------
        now_s : float
            Time of its arrival, on the loop's clock.
        line : bytes
            The line, with or without line end.
        """
        line = line.rstrip(b"\r\n")
        if not line:
            self._end_event(now_s)
            return
        name, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if name == b"id" and value.isdigit():
            self._event_id = int(value)
        if name == b"data":
            self._data.append(value)

    def _end_event(self, now_s):
        event_id, data = self._event_id, b"\n".join(self._data)
        self._event_id = None
        self._data = []
        if not data:
            return
        if self.complete:
            self._record_fault("doubled", "an event arrived after the end marker")
            return
        if event_id is None:
            self._on_event_without_id(data)
            return
        if event_id <= self.last_event_id:
            self._record_fault("doubled", f"event {event_id} arrived twice")
            return
        if event_id != self.last_event_id + 1:
            self._record_fault(
                "incomplete", f"event {self.last_event_id + 1} is missing"
            )
        self.last_event_id = event_id
        if data == END_MARKER:
            self.complete = True
            return
        self._on_content(now_s, data)

    def _on_event_without_id(self, data):
        # Only the entry host itself sends events without an id: the error with which
        # it ends a response that it can't continue.
        if data == END_MARKER:
            self._record_fault("incomplete", "the end marker has no event id")
            return
        error = _parse_object(data).get("error")
        if isinstance(error, dict):
            self.error = error
            return
        self._record_fault("incomplete", "an event has no id")

    def _on_content(self, now_s, data):
        event = _parse_object(data)
        if isinstance(event.get("error"), dict):
            self.error = event["error"]
            return
        completion_id = event.get("id", "")
        if self.completion_id and completion_id != self.completion_id:
            self._record_fault(
                "crossed",
                f"event of {completion_id} in the response {self.completion_id}",
            )
        self.completion_id = completion_id
        text = _event_text(event)
        if not text:
            return
        self.text_parts.append(text)
        if self.first_token_s is None:
            self.first_token_s = now_s
        else:
            self.inter_token_s.append(now_s - self.last_token_s)
        self.last_token_s = now_s

    def _record_fault(self, kind, detail):
        if self.fault is None:
            self.fault = ResponseFault(kind, detail)

    def find_fault(self, expected_text=None):
        """Return the first fault of the response, after its last event.

        Parameters
        ----------
        expected_text : str, optional
            The only correct text, where it is known.

        Returns
        -------
        ResponseFault or None
            None when the response is complete and correct.
        """
        if self.fault is not None:
            return self.fault
        if not self.complete:
            return ResponseFault("incomplete", "the end marker is missing")
        if expected_text is None or self.text == expected_text:
            return None
        if expected_text.startswith(self.text):
            return ResponseFault("incomplete", "the text is truncated")
        return ResponseFault("crossed", "the text is that of another request")


def _parse_object(data):
    try:
        value = json.loads(data)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def _event_text(event):
    """Return the text of an event of a completion or chat completion."""
    choices = event.get("choices")
    if not isinstance(choices, list) or not choices:
        return ""
    choice = choices[0]
    if "text" in choice:
        return choice["text"] or ""
    return choice.get("delta", {}).get("content") or ""
