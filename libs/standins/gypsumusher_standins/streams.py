"""Response streams of a stand-in engine.

A stream keeps its numbered events after a connection breaks, so that a caller can
resume it over another connection.
"""

import asyncio
import json

from gypsumusher_standins.text import expected_words

END_MARKER = "[DONE]"


class Stream:
    """One response that is being generated, as numbered server-sent events.

    Parameters
    ----------
    stream_id : str
        The id by which a caller resumes or cancels the stream.
    completion_id : str
        The ``id`` field of the response: ``cmpl-`` or ``chatcmpl-``, and the id of the
        attempt.
    is_chat : bool
        Whether the response has the format of a chat completion.
    model : str
        The model's name in the response.
    prompt : str
        The prompt, which determines the generated text.
    prompt_tokens : int
        Tokens of the prompt, as the usage object reports them.
    max_tokens : int
        Number of tokens to generate.
    include_usage : bool
        Whether a chunk with the usage object precedes the end marker.
    """

    def __init__(
        self,
        stream_id,
        completion_id,
        is_chat,
        model,
        prompt,
        prompt_tokens,
        max_tokens,
        include_usage,
    ):
        self.stream_id = stream_id
        self.completion_id = completion_id
        self.is_chat = is_chat
        self.model = model
        self.prompt_tokens = prompt_tokens
        self.include_usage = include_usage
        self.words = expected_words(prompt, max_tokens)
        self.events = []
        self.generated_tokens = 0
        self.is_finished = False
        self.is_cancelled = False
        self.finished_at_s = None
        self.change_event = asyncio.Event()

    def add_token(self):
        """Append the event of the next token; after the last token, end the stream."""
        word = self.words[self.generated_tokens]
        text = word if self.generated_tokens == 0 else f" {word}"
        self.generated_tokens += 1
        is_last = self.generated_tokens == len(self.words)
        self._append_event(
            json.dumps(self._build_token_chunk(text, "length" if is_last else None))
        )
        if is_last:
            if self.include_usage:
                self._append_event(json.dumps(self._build_usage_chunk()))
            self._append_event(END_MARKER)
            self.finish()
        self.notify_waiters()

    def finish(self):
        """Mark the stream as ended, after its last token or its cancellation."""
        self.is_finished = True
        self.finished_at_s = asyncio.get_running_loop().time()
        self.notify_waiters()

    def notify_waiters(self):
        """Wake all tasks that wait for a change of the stream."""
        self.change_event.set()
        self.change_event = asyncio.Event()

    def _append_event(self, data):
        event_number = len(self.events) + 1
        self.events.append(f"id: {event_number}\ndata: {data}\n\n".encode())

    def usage(self):
        """Return the usage object: token counts of the prompt and of the response."""
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": self.generated_tokens,
            "total_tokens": self.prompt_tokens + self.generated_tokens,
        }

    def _common_fields(self, object_type):
        return {
            "id": self.completion_id,
            "object": object_type,
            "created": 0,
            "model": self.model,
        }

    def _build_token_chunk(self, text, finish_reason):
        choice = {"index": 0, "finish_reason": finish_reason}
        if not self.is_chat:
            choice["text"] = text
            return {**self._common_fields("text_completion"), "choices": [choice]}
        choice["delta"] = {"content": text}
        if self.generated_tokens == 1:
            choice["delta"]["role"] = "assistant"
        return {**self._common_fields("chat.completion.chunk"), "choices": [choice]}

    def _build_usage_chunk(self):
        object_type = "chat.completion.chunk" if self.is_chat else "text_completion"
        return {
            **self._common_fields(object_type),
            "choices": [],
            "usage": self.usage(),
        }

    def whole_response(self):
        """Return the body of the response to a request without ``stream``."""
        text = " ".join(self.words[: self.generated_tokens])
        choice = {"index": 0, "finish_reason": "length"}
        if self.is_chat:
            choice["message"] = {"role": "assistant", "content": text}
            object_type = "chat.completion"
        else:
            choice["text"] = text
            object_type = "text_completion"
        return {
            **self._common_fields(object_type),
            "choices": [choice],
            "usage": self.usage(),
        }
