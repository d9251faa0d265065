"""Continuous batching in token time, without input or output."""

import heapq
from typing import NamedTuple

# A step costs this share of its full-batch time even for a single stream: decoding is
# bound by reading the weights, so that small batches waste most of an engine.
FIXED_STEP_SHARE = 0.5
PREFILL_CHUNK_TOKENS = 512


class Work:
    """One request in the engine: its tokens left to prefill and to generate.

    Parameters
    ----------
    key : str
        The stream's id.
    prompt_tokens : int
        Tokens of the prompt.
    prefill_tokens : int
        Tokens that are not in the cache and have to be computed.
    output_tokens : int
        Tokens to generate.
    """

    def __init__(self, key, prompt_tokens, prefill_tokens, output_tokens):
        self.key = key
        self.prompt_tokens = prompt_tokens
        self.prefill_left = prefill_tokens
        self.output_tokens = output_tokens
        self.generated = 0

    def kv_tokens(self):
        """Return the tokens of KV cache that the work needs until its end."""
        return self.prompt_tokens + self.output_tokens


class Step(NamedTuple):
    """What one step of the batch did: its time, new tokens and finished keys."""

    duration_s: float
    tokens: list
    finished: list


class Batch:
    """Waiting and running work of one engine.

    Parameters
    ----------
    slots : int
        Streams that decode at once.
    kv_limit_tokens : int
        KV cache of the engine.
    prefill_tokens_per_s : float
        Rate of prefill.
    decode_tokens_per_s : float
        Rate of decoding of the whole engine at a full batch.
    """

    def __init__(
        self, slots, kv_limit_tokens, prefill_tokens_per_s, decode_tokens_per_s
    ):
        self.slots = slots
        self.kv_limit_tokens = kv_limit_tokens
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.full_step_s = slots / decode_tokens_per_s
        self.waiting = []
        self.running = {}
        self.arrivals = 0
        self.kv_used_tokens = 0

    def submit(self, work, priority):
        """Queue work; a smaller priority runs first, then the earlier arrival."""
        self.arrivals += 1
        heapq.heappush(self.waiting, (priority, self.arrivals, work))

    def cancel(self, key):
        """Drop waiting or running work."""
        work = self.running.pop(key, None)
        if work is not None:
            self.kv_used_tokens -= work.kv_tokens()
            return
        left = [entry for entry in self.waiting if entry[2].key != key]
        heapq.heapify(left)
        self.waiting = left

    def is_idle(self):
        """Return whether nothing runs and nothing waits."""
        return not self.running and not self.waiting

    def waiting_prompt_tokens(self):
        """Return the prompt tokens of the waiting work."""
        return sum(entry[2].prompt_tokens for entry in self.waiting)

    def admit(self):
        """Move waiting work into the batch while slots and KV cache last.

        Returns
        -------
        list of str
            The keys of the work that started.
        """
        started = []
        while self.waiting and len(self.running) < self.slots:
            work = self.waiting[0][2]
            if self.kv_used_tokens + work.kv_tokens() > self.kv_limit_tokens:
                break
            heapq.heappop(self.waiting)
            self.running[work.key] = work
            self.kv_used_tokens += work.kv_tokens()
            started.append(work.key)
        return started

    def step(self):
        """Run one step: a chunk of prefill and one token for each decoding stream.

        Returns
        -------
        Step
            The step's time in seconds, the keys that got a token, and the finished.
        """
        duration_s = self._prefill()
        tokens = []
        finished = []
        decoding = [work for work in self.running.values() if work.prefill_left <= 0]
        if decoding:
            share = len(decoding) / self.slots
            weight = FIXED_STEP_SHARE + (1 - FIXED_STEP_SHARE) * share
            duration_s += self.full_step_s * weight
        for work in decoding:
            work.generated += 1
            tokens.append(work.key)
            if work.generated < work.output_tokens:
                continue
            finished.append(work.key)
            del self.running[work.key]
            self.kv_used_tokens -= work.kv_tokens()
        return Step(duration_s, tokens, finished)

    def _prefill(self):
        budget = PREFILL_CHUNK_TOKENS
        for work in self.running.values():
            if work.prefill_left <= 0:
                continue
            chunk = min(budget, work.prefill_left)
            work.prefill_left -= chunk
            budget -= chunk
            if budget <= 0:
                break
        return (PREFILL_CHUNK_TOKENS - budget) / self.prefill_tokens_per_s
