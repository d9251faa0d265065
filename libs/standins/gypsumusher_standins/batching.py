"""Simulation of continuous batching; does no I/O and reads no clock.

Each step returns how long it would take, computed from its tokens and the engine's
rates; the caller lets that time pass.
"""

import heapq
from typing import NamedTuple

# Share of the duration of a full-batch decode step that a step takes regardless of its
# batch size. Decoding is bound by the memory bandwidth for reading the weights, so that
# small batches leave most of an engine's throughput unused.
FIXED_STEP_SHARE = 0.5
# Limit on the prompt tokens that one step computes; without it, a long prompt would
# delay the next tokens of all decoding requests.
PREFILL_CHUNK_TOKENS = 512


class BatchRequest:
    """One request in the engine, with its progress in prefill and decode.

    Parameters
    ----------
    key : str
        The id of the request's stream.
    prompt_tokens : int
        Tokens of the prompt.
    prefill_tokens : int
        Prompt tokens to compute, which are not in the prefix cache.
    output_tokens : int
        Number of tokens to generate.
    """

    def __init__(self, key, prompt_tokens, prefill_tokens, output_tokens):
        self.key = key
        self.prompt_tokens = prompt_tokens
        self.prefill_tokens_left = prefill_tokens
        self.output_tokens = output_tokens
        self.generated_tokens = 0

    def reserved_kv_tokens(self):
        """Return the KV cache to reserve: tokens of the prompt and of the output."""
        return self.prompt_tokens + self.output_tokens


class StepResult(NamedTuple):
    """Result of one step.

    Attributes
    ----------
    duration_s : float
        Simulated duration of the step.
    decoded_keys : list of str
        Keys of the requests for which the step generated one token each.
    finished_keys : list of str
        Keys of the requests that finished in the step.
    """

    duration_s: float
    decoded_keys: list
    finished_keys: list


class BatchScheduler:
    """Waiting and running requests of one engine.

    Parameters
    ----------
    slots : int
        Maximum number of running requests.
    kv_limit_tokens : int
        Capacity of the engine's KV cache, in tokens.
    prefill_tokens_per_s : float
        Prefill rate of the engine.
    decode_tokens_per_s : float
        Decode rate of the whole engine with a full batch.
    """

    def __init__(
        self, slots, kv_limit_tokens, prefill_tokens_per_s, decode_tokens_per_s
    ):
        self.slots = slots
        self.kv_limit_tokens = kv_limit_tokens
        self.prefill_tokens_per_s = prefill_tokens_per_s
        self.full_batch_step_s = slots / decode_tokens_per_s
        self.waiting = []
        self.running = {}
        self.arrival_count = 0
        self.kv_used_tokens = 0

    def submit(self, request, priority):
        """Queue a request; order by priority (smallest first), then by arrival."""
        self.arrival_count += 1
        heapq.heappush(self.waiting, (priority, self.arrival_count, request))

    def cancel(self, key):
        """Remove a waiting or running request, and release its KV cache."""
        request = self.running.pop(key, None)
        if request is not None:
            self.kv_used_tokens -= request.reserved_kv_tokens()
            return
        remaining = [entry for entry in self.waiting if entry[2].key != key]
        heapq.heapify(remaining)
        self.waiting = remaining

    def is_idle(self):
        """Return whether no request is running or waiting."""
        return not self.running and not self.waiting

    def waiting_prompt_tokens(self):
        """Return the total prompt tokens of the waiting requests."""
        return sum(entry[2].prompt_tokens for entry in self.waiting)

    def admit(self):
        """Start waiting requests, in order, while slots and KV cache suffice.

        A request that doesn't fit into the KV cache holds back those behind it.

        Returns
        -------
        list of str
            The keys of the started requests.
        """
        started = []
        while self.waiting and len(self.running) < self.slots:
            request = self.waiting[0][2]
            if (
                self.kv_used_tokens + request.reserved_kv_tokens()
                > self.kv_limit_tokens
            ):
                break
            heapq.heappop(self.waiting)
            self.running[request.key] = request
            self.kv_used_tokens += request.reserved_kv_tokens()
            started.append(request.key)
        return started

    def step(self):
        """Run one step: one chunk of prefill and one token per decoding request.

        Returns
        -------
        StepResult
            The duration of the step, and the requests that got a token or finished.
        """
        duration_s = self._run_prefill_chunk()
        decoded_keys = []
        finished_keys = []
        decoding = [
            request
            for request in self.running.values()
            if request.prefill_tokens_left <= 0
        ]
        if decoding:
            occupancy = len(decoding) / self.slots
            step_fraction = FIXED_STEP_SHARE + (1 - FIXED_STEP_SHARE) * occupancy
            duration_s += self.full_batch_step_s * step_fraction
        for request in decoding:
            request.generated_tokens += 1
            decoded_keys.append(request.key)
            if request.generated_tokens < request.output_tokens:
                continue
            finished_keys.append(request.key)
            del self.running[request.key]
            self.kv_used_tokens -= request.reserved_kv_tokens()
        return StepResult(duration_s, decoded_keys, finished_keys)

    def _run_prefill_chunk(self):
        budget_tokens = PREFILL_CHUNK_TOKENS
        for request in self.running.values():
            if request.prefill_tokens_left <= 0:
                continue
            chunk_tokens = min(budget_tokens, request.prefill_tokens_left)
            request.prefill_tokens_left -= chunk_tokens
            budget_tokens -= chunk_tokens
            if budget_tokens <= 0:
                break
        return (PREFILL_CHUNK_TOKENS - budget_tokens) / self.prefill_tokens_per_s
