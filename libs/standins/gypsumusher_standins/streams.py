"""The streams of a stand-in engine: numbered events that outlive their connection."""

import asyncio
import json

from gypsumusher_standins.text import expected_words

DONE = "[DONE]"


class Stream:
    """One answer being generated, as numbered server-sent events.

    Parameters
    ----------
    stream_id : str
        The id under which it is resumed and cancelled.
    answer_id : str
        The answer's id, as ``cmpl-ATTEMPT``.
    is_chat : bool
        Whether chunks have the chat form.
    model : str
        The model's name, repeated in the answer.
    prompt, prompt_tokens, max_tokens
        The prompt, its token count, and the tokens to generate.
    include_usage : bool
        Whether a usage chunk comes before the end marker.
    """

    def __init__(
        self,
        stream_id,
        answer_id,
        is_chat,
        model,
        prompt,
        prompt_tokens,
        max_tokens,
        include_usage,
    ):
        self.stream_id = stream_id
        self.answer_id = answer_id
        self.is_chat = is_chat
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.include_usage = include_usage
        self.words = expected_words(prompt, max_tokens)
        self.events = []
        self.generated = 0
        self.finished = False
        self.cancelled = False
        self.finished_s = None
        self.changed = asyncio.Event()

    def add_token(self):
        """Append the next token's event; the last token also ends the stream."""
        word = self.words[self.generated]
        text = word if self.generated == 0 else f" {word}"
        self.generated += 1
        is_last = self.generated == len(self.words)
        self._append(json.dumps(self._chunk(text, "length" if is_last else None)))
        if is_last:
            if self.include_usage:
                self._append(json.dumps(self._usage_chunk()))
            self._append(DONE)
            self.finish()
        self.wake()

    def finish(self):
        """Mark the stream as ended, at its last token or at its cancellation."""
        self.finished = True
        self.finished_s = asyncio.get_running_loop().time()
        self.wake()

    def wake(self):
        """Wake those who wait for a change."""
        self.changed.set()
        self.changed = asyncio.Event()

    def _append(self, data):
        number = len(self.events) + 1
        self.events.append(f"id: {number}\ndata: {data}\n\n".encode())

    def usage(self):
        """Return the usage object of the answer."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.generated,
            "total_tokens": self.prompt_tokens + self.generated,
        }

    def _head(self, kind):
        return {
            "id": self.answer_id,
            "object": kind,
            "created": 0,
            "model": self.model,
        }

    def _chunk(self, text, finish_reason):
        choice = {"index": 0, "finish_reason": finish_reason}
        if not self.is_chat:
            choice["text"] = text
            return {**self._head("text_completion"), "choices": [choice]}
        choice["delta"] = {"content": text}
        if self.generated == 1:
            choice["delta"]["role"] = "assistant"
        return {**self._head("chat.completion.chunk"), "choices": [choice]}

    def _usage_chunk(self):
        kind = "chat.completion.chunk" if self.is_chat else "text_completion"
        return {**self._head(kind), "choices": [], "usage": self.usage()}

    def whole_answer(self):
        """Return the JSON of an answer that was not asked for as a stream."""
        text = " ".join(self.words[: self.generated])
        choice = {"index": 0, "finish_reason": "length"}
        if self.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
            kind = "chat.completion"
        else:
            choice["text"] = text
            kind = "text_completion"
        return {**self._head(kind), "choices": [choice], "usage": self.usage()}
