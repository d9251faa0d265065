"""Checks that an engine's answer is complete and belongs to the attempt."""

import json
from typing import Any, NamedTuple

from gypsumusher_routing.events import EventSplitter

__all__ = [
    "AnswerProblem",
    "StreamChecker",
    "CompleteAnswer",
    "check_complete_answer",
    "read_engine_refusal",
]

# Error codes with which an engine refuses a request before running any of it.
NOT_RUN_CODES = frozenset(
    {"draining", "kv_unavailable", "no_model", "overloaded", "wrong_role"}
)


class AnswerProblem(Exception):
    """An answer that must not reach the caller.

    Parameters
    ----------
    reason : str
        ``crossed`` for the answer to another request, ``error`` for an invalid
        answer, ``broken`` for a gap that resuming the stream can fill.
    detail : str
        What is wrong with the answer, for logs.
    """

    def __init__(self, reason, detail):
        super().__init__(detail)
        self.reason = reason
        self.detail = detail


class CompleteAnswer(NamedTuple):
    """A complete answer that was not streamed.

    Attributes
    ----------
    body : dict
        The parsed answer.
    output_tokens : int
        Tokens of the answer, as counted by the engine.
    kv : dict or None
        Where the KV cache can be fetched, after a prefill.
    """

    body: dict[str, Any]
    output_tokens: int
    kv: dict[str, Any] | None


def check_complete_answer(raw, attempt, tokens_max):
    """Check and parse an answer that was not streamed.

    Parameters
    ----------
    raw : bytes
        The complete body.
    attempt : str
        The request id that was sent with the attempt.
    tokens_max : int
        Most tokens that the answer may have.

    Returns
    -------
    CompleteAnswer

    Raises
    ------
    AnswerProblem
        ``crossed`` when the answer does not carry the attempt's id: engines behind a
        faulty connection pool have sent one caller's answer to another. ``error``
        when the answer is invalid or incomplete.
    """
    try:
        body = json.loads(raw)
    except (ValueError, RecursionError) as error:
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
            raise AnswerProblem("error", "answer is truncated: no finish_reason")
    usage = body.get("usage") or {}
    output_tokens = int(usage.get("completion_tokens") or 0)
    if output_tokens > tokens_max:
        raise AnswerProblem(
            "error", f"answer has {output_tokens} tokens, limit {tokens_max}"
        )
    return CompleteAnswer(body, output_tokens, body.get("kv"))


def read_engine_refusal(raw):
    """Return the error code in an engine's error body, or an empty string.

    Parameters
    ----------
    raw : bytes
        The body.
    """
    try:
        return str(json.loads(raw)["error"]["code"])
    except (ValueError, RecursionError, KeyError, TypeError):
        return ""


class StreamChecker:
    """Checks the events of a stream and returns each once and in order.

    Parameters
    ----------
    attempt : str
        The request id that was sent with the attempt.
    events_max : int
        Most events that the stream may have.
    after : int
        Number of the last event that the caller already has.

    Attributes
    ----------
    last_id : int
        Number of the last event accepted.
    events : int
        Count of the events accepted by this checker.
    done : bool
        Whether the end marker has been received.
    """

    def __init__(self, attempt, events_max, after=0):
        self.last_id = after
        self.events = 0
        self.done = False
        self._id_suffix = f'-{attempt}"'.encode()
        self._events_max = events_max
        self._splitter = EventSplitter()

    def restart(self):
        """Drop an incomplete event before the stream continues on a new connection."""
        self._splitter = EventSplitter()

    def feed(self, data):
        """Return the bytes of the next complete events, in order.

        Parameters
        ----------
        data : bytes
            Bytes received from the engine.

        Raises
        ------
        AnswerProblem
            ``crossed`` for an event of another request, ``broken`` for a gap in the
            event numbers, ``error`` for an event without a number, events after the
            end marker, or more events than ``events_max``.
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
                # A resumed stream may start with events that the caller already has.
                continue
            if event.event_id != self.last_id + 1:
                raise AnswerProblem(
                    "broken", f"event {event.event_id} follows {self.last_id}"
                )
            if not event.done and self._id_suffix not in event.raw:
                raise AnswerProblem("crossed", "an event carries another id")
            self._accept(event)
            accepted.append(event.raw)
        return b"".join(accepted)

    def _accept(self, event):
        """Record an accepted event; raise AnswerProblem when there are too many."""
        self.last_id = event.event_id
        self.done = event.done
        self.events += 1
        if self.events > self._events_max:
            raise AnswerProblem("error", f"stream exceeds {self._events_max} events")
