"""Checks that an engine's answer is whole and is the answer to this attempt."""

import json
from typing import Any, NamedTuple

from gypsumusher_routing.events import EventSplitter

__all__ = [
    "AnswerProblem",
    "StreamChecker",
    "WholeAnswer",
    "check_whole_answer",
    "read_engine_refusal",
]

# Codes with which an engine says that nothing of the request ran.
NOT_RUN_CODES = frozenset(
    {"draining", "kv_unavailable", "no_model", "overloaded", "wrong_role"}
)


class AnswerProblem(Exception):
    """An answer that must not reach the caller.

    Parameters
    ----------
    reason : str
        ``crossed`` for somebody else's answer, ``error`` for a broken one,
        ``broken`` for a gap that a resume can fill.
    detail : str
        What was seen.
    """

    def __init__(self, reason, detail):
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


class WholeAnswer(NamedTuple):
    """A complete answer that came as one JSON body.

    Attributes
    ----------
    body : dict
        The parsed answer.
    output_tokens : int
        Tokens of the answer, as the engine counts them.
    kv : dict or None
        Where its KV cache can be fetched, after a prefill.
    """

    body: dict[str, Any]
    output_tokens: int
    kv: dict[str, Any] | None


def check_whole_answer(raw, attempt, tokens_max):
    """Check a JSON answer.

    Parameters
    ----------
    raw : bytes
        The whole body.
    attempt : str
        The request id that this attempt carried.
    tokens_max : int
        More tokens than this are no answer to this request.

    Returns
    -------
    WholeAnswer

    Raises
    ------
    AnswerProblem
        ``crossed`` when it answers another attempt: engines behind a confused
        connection pool have sent one caller's letter to another, so the id that we
        gave must stand in the answer. ``error`` when it isn't complete.
    """
    try:
        body = json.loads(raw)
    except ValueError as error:
        raise AnswerProblem("error", f"answer is not JSON: {error}") from error
    if not isinstance(body, dict):
        raise AnswerProblem("error", "answer is not a JSON object")
    if not str(body.get("id", "")).endswith(f"-{attempt}"):
        raise AnswerProblem("crossed", f"answer carries id {body.get('id')!r:.80}")
    choices = body.get("choices")
    if not isinstance(choices, list) or not choices:
        raise AnswerProblem("error", "answer has no choices")
    for choice in choices:
        if not isinstance(choice, dict) or choice.get("finish_reason") is None:
            raise AnswerProblem("error", "answer has no finish_reason: it is cut")
    usage = body.get("usage") or {}
    output_tokens = int(usage.get("completion_tokens") or 0)
    if output_tokens > tokens_max:
        raise AnswerProblem("error", f"{output_tokens} tokens, over {tokens_max}")
    return WholeAnswer(body, output_tokens, body.get("kv"))


def read_engine_refusal(raw):
    """Return the code of an engine's error body, or an empty text.

    Parameters
    ----------
    raw : bytes
        The body.
    """
    try:
        return str(json.loads(raw)["error"]["code"])
    except (ValueError, KeyError, TypeError):
        return ""


class StreamChecker:
    """Passes on the events of one attempt, each once and in order.

    Parameters
    ----------
    attempt : str
        The request id that this attempt carried.
    events_max : int
        More events than this are no answer to this request.
    after : int
        Number of the last event that the caller has.

    Attributes
    ----------
    last_id : int
        Number of the last event passed on.
    events : int
        Events passed on here.
    done : bool
        Whether the end marker has come.
    """

    def __init__(self, attempt, events_max, after=0):
        self.last_id = after
        self.events = 0
        self.done = False
        self._mark = f'-{attempt}"'.encode()
        self._events_max = events_max
        self._splitter = EventSplitter()

    def restart(self):
        """Forget a half event: the stream is taken up on another connection."""
        self._splitter = EventSplitter()

    def feed(self, data):
        """Return the bytes of the next whole events, in order.

        Parameters
        ----------
        data : bytes
            What came from the engine.

        Raises
        ------
        AnswerProblem
            ``crossed`` for an event of another attempt, ``broken`` for a gap in the
            numbers, ``error`` for a stream that doesn't end.
        """
        accepted = []
        for event in self._splitter.feed(data):
            if self.done:
                raise AnswerProblem("error", "events follow the end marker")
            if event.event_id is None:
                if event.raw.startswith(b":"):
                    continue
                raise AnswerProblem("error", "an event has no number")
            if event.event_id <= self.last_id:
                # A resumed stream may begin with what the caller has already.
                continue
            if event.event_id != self.last_id + 1:
                raise AnswerProblem(
                    "broken", f"event {event.event_id} follows {self.last_id}"
                )
            if not event.done and self._mark not in event.raw:
                raise AnswerProblem("crossed", "an event carries another id")
            self._take(event)
            accepted.append(event.raw)
        return b"".join(accepted)

    def _take(self, event):
        """Count an event."""
        self.last_id = event.event_id
        self.done = event.done
        self.events += 1
        if self.events > self._events_max:
            raise AnswerProblem("error", f"more than {self._events_max} events")
