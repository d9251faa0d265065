"""Checks one streamed answer whole: its event ids, its text and its end marker."""

import json
from typing import NamedTuple

END_MARKER = b"[DONE]"


class AnswerFault(NamedTuple):
    """What is wrong with an answer, in the words of the report."""

    kind: str
    detail: str


class AnswerChecker:
    """The state of one answer while its events arrive, over all its connections.

    Ids must run 1, 2, 3 and so on: a lower one means that a part came twice, a higher
    one that a part is missing, and either would be a wrong letter in print.
    """

    def __init__(self):
        self.last_event_id = 0
        self.complete = False
        self.fault = None
        self.error = None
        self.answer_id = ""
        self.text_parts = []
        self.first_token_s = None
        self.last_token_s = None
        self.gaps_s = []
        self._event_id = None
        self._data = []

    @property
    def text(self):
        """The text received so far."""
        return "".join(self.text_parts)

    def new_connection(self):
        """Forget the part of an event that the broken connection had begun."""
        self._event_id = None
        self._data = []

    def on_line(self, now_s, line):
        """Take one line of the event stream.

        Parameters
        ----------
        now_s : float
            When it arrived.
        line : bytes
            The line, with or without its line end.
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
            self._note("doubled", "an event came after the end marker")
            return
        if event_id is None:
            self._on_unnumbered(data)
            return
        if event_id <= self.last_event_id:
            self._note("doubled", f"event {event_id} came twice")
            return
        if event_id != self.last_event_id + 1:
            self._note("incomplete", f"event {self.last_event_id + 1} is missing")
        self.last_event_id = event_id
        if data == END_MARKER:
            self.complete = True
            return
        self._on_content(now_s, data)

    def _on_unnumbered(self, data):
        # Only the entry host itself sends events without an id: its final word on an
        # answer that it can't go on with.
        if data == END_MARKER:
            self._note("incomplete", "the end marker has no event id")
            return
        error = _parse_object(data).get("error")
        if isinstance(error, dict):
            self.error = error
            return
        self._note("incomplete", "an event has no id")

    def _on_content(self, now_s, data):
        event = _parse_object(data)
        if isinstance(event.get("error"), dict):
            self.error = event["error"]
            return
        answer_id = event.get("id", "")
        if self.answer_id and answer_id != self.answer_id:
            self._note("crossed", f"event of {answer_id} in {self.answer_id}")
        self.answer_id = answer_id
        text = _event_text(event)
        if not text:
            return
        self.text_parts.append(text)
        if self.first_token_s is None:
            self.first_token_s = now_s
        else:
            self.gaps_s.append(now_s - self.last_token_s)
        self.last_token_s = now_s

    def _note(self, kind, detail):
        if self.fault is None:
            self.fault = AnswerFault(kind, detail)

    def verdict(self, expected_text=None):
        """Return what is wrong with the answer as a whole.

        Parameters
        ----------
        expected_text : str, optional
            The one right text, where it is known.

        Returns
        -------
        AnswerFault or None
            None when the answer is whole.
        """
        if self.fault is not None:
            return self.fault
        if not self.complete:
            return AnswerFault("incomplete", "the end marker is missing")
        if expected_text is None or self.text == expected_text:
            return None
        if expected_text.startswith(self.text):
            return AnswerFault("incomplete", "the text is cut short")
        return AnswerFault("crossed", "the text is not this request's")


def _parse_object(data):
    try:
        value = json.loads(data)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}


def _event_text(event):
    """Return the text of a completion's or a chat completion's event."""
    choices = event.get("choices")
    if not isinstance(choices, list) or not choices:
        return ""
    choice = choices[0]
    if "text" in choice:
        return choice["text"] or ""
    return choice.get("delta", {}).get("content") or ""
