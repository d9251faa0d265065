"""The state of a stand-in engine and the loop that runs its batch."""

import asyncio
import os
from collections import deque

from gypsumusher_standins.batching import Batch, Work
from gypsumusher_standins.orders import OrderLog
from gypsumusher_standins.prefix_cache import PrefixCache
from gypsumusher_standins.streams import Stream
from gypsumusher_standins.text import prefix_hashes, prompt_digest

CRASH_EXIT_CODE = 70
SNAPSHOT_INTERVAL_S = 0.02
SNAPSHOTS_KEPT = 1024
CACHE_LOG_LIMIT = 256
# The loop sleeps only for times that the event loop's timer can keep; shorter steps
# are run in one go and paid for together.
SHORTEST_SLEEP_S = 0.001


class EngineState:
    """Everything a stand-in engine holds, and the faults that are set.

    Parameters
    ----------
    options : argparse.Namespace
        The command line's options.
    """

    def __init__(self, options):
        self.options = options
        self.address = ""
        self.role = options.role
        self.draining = False
        self.changing = False
        self.model = options.model
        self.model_version = options.model_version
        self.adapters = []
        self.batch = Batch(
            options.slots,
            options.kv_limit_tokens,
            options.prefill_tokens_per_s,
            options.decode_tokens_per_s,
        )
        self.cache = PrefixCache(
            options.cache_prefixes, options.cache_lag_s, CACHE_LOG_LIMIT
        )
        self.orders = OrderLog(options.fencing == "refuses")
        self.streams = {}
        self.marked = set()
        self.exports = {}
        self.requests = {}
        self.prompts = {}
        self.prefills = {}
        self.error_share = 0.0
        self.snapshots = deque(maxlen=SNAPSHOTS_KEPT)
        self.sequence = 0
        self.work_came = asyncio.Event()
        self.settings = {
            "crash_on": options.crash_on,
            "slow_factor": 1.0,
            "error_rate": 0.0,
            "truncate_next": 0,
            "cross_next": 0,
            "overlong_next": 0,
            "break_after_events": 0,
            "load_lag_s": options.load_lag_s,
            "hang_orders": False,
            "lose_order_answers": 0,
            "close_after_read": 0,
            "weight_store_fail": False,
        }

    def spend(self, setting):
        """Use up one of a counted fault's occurrences; return whether one was left."""
        if self.settings[setting] <= 0:
            return False
        self.settings[setting] -= 1
        return True

    def errs(self):
        """Return whether this request falls into the share that gets an error."""
        self.error_share += self.settings["error_rate"]
        if self.error_share < 1:
            return False
        self.error_share -= 1
        return True

    def names(self):
        """Return the model names that a request may ask for."""
        return {self.model, self.options.deployment, *self.adapters}

    def start_stream(self, attempt, prompt, stream: Stream, body, priority):
        """Count a request as run and queue its work.

        Parameters
        ----------
        attempt : str
            The caller's id of this attempt.
        prompt : str
            The prompt.
        stream : Stream
            Where its tokens go.
        body : dict
            The request's body.
        priority : int
            Smaller runs first.
        """
        self.requests[attempt] = self.requests.get(attempt, 0) + 1
        counters = self.prefills if body.get("kv_export") else self.prompts
        digest = prompt_digest(prompt)
        counters[digest] = counters.get(digest, 0) + 1
        self.streams[stream.stream_id] = stream
        crash_on = self.settings["crash_on"]
        if crash_on and crash_on in prompt:
            self.marked.add(stream.stream_id)
        left = self._uncached_tokens(prompt, stream.prompt_tokens)
        if body.get("kv_import"):
            left = 0
        work = Work(stream.stream_id, stream.prompt_tokens, left, len(stream.words))
        self.batch.submit(work, priority)
        self.work_came.set()

    def _uncached_tokens(self, prompt, prompt_tokens):
        hashes = prefix_hashes(prompt)
        matched = self.cache.match(hashes)
        self.cache.insert(asyncio.get_running_loop().time(), hashes)
        if not hashes:
            return prompt_tokens
        return prompt_tokens - prompt_tokens * matched // (len(hashes) + 1)

    def cancel(self, stream):
        """Stop a stream's work."""
        if stream.finished:
            return
        self.batch.cancel(stream.stream_id)
        stream.cancelled = True
        stream.finish()

    def snapshot(self):
        """Return the load as it is now."""
        self.sequence += 1
        batch = self.batch
        speed = self.options.speed
        models = [{"name": self.model, "version": self.model_version}]
        models += [{"name": name, "version": ""} for name in self.adapters]
        return {
            "engine": self.options.name,
            "sequence": self.sequence,
            "role": self.role,
            "draining": self.draining,
            "models": models,
            "running": len(batch.running),
            "waiting": len(batch.waiting),
            "waiting_prompt_tokens": batch.waiting_prompt_tokens(),
            "slots": batch.slots,
            "kv_used_tokens": batch.kv_used_tokens,
            "kv_limit_tokens": batch.kv_limit_tokens,
            "prefill_tokens_per_s": self.options.prefill_tokens_per_s * speed,
            "decode_tokens_per_s": self.options.decode_tokens_per_s * speed,
        }

    def load_report(self):
        """Return the newest load snapshot that is old enough to be published."""
        now_s = asyncio.get_running_loop().time()
        if self.settings["load_lag_s"] <= 0:
            return {**self.snapshot(), "age_s": 0.0}
        limit_s = now_s - self.settings["load_lag_s"]
        chosen = self.snapshots[0]
        for entry in reversed(self.snapshots):
            if entry[0] <= limit_s:
                chosen = entry
                break
        return {**chosen[1], "age_s": now_s - chosen[0]}

    def forget_old_streams(self):
        """Drop the streams whose retention is over."""
        limit_s = asyncio.get_running_loop().time() - self.options.retention_s
        for stream_id, stream in list(self.streams.items()):
            if stream.finished and stream.finished_s < limit_s:
                del self.streams[stream_id]


async def run_batch(state):
    """Run the engine's steps for ever, each for as long as its tokens take."""
    debt_s = 0.0
    while True:
        for key in state.batch.admit():
            if key in state.marked:
                # A hard exit, as a crashed engine: nothing is flushed or closed.
                os._exit(CRASH_EXIT_CODE)
        if not state.batch.running:
            state.work_came.clear()
            debt_s = 0.0
            await state.work_came.wait()
            continue
        step = state.batch.step()
        debt_s += step.duration_s * state.settings["slow_factor"] / state.options.speed
        # The tokens come at the end of the step's time.
        if debt_s >= SHORTEST_SLEEP_S:
            before_s = asyncio.get_running_loop().time()
            await asyncio.sleep(debt_s)
            debt_s -= asyncio.get_running_loop().time() - before_s
        else:
            await asyncio.sleep(0)
        for key in step.tokens:
            stream = state.streams[key]
            if not stream.finished:
                stream.add_token()


async def take_snapshots(state):
    """Note the load now and then, for reports that lag, and forget old streams."""
    while True:
        now_s = asyncio.get_running_loop().time()
        state.snapshots.append((now_s, state.snapshot()))
        state.forget_old_streams()
        await asyncio.sleep(SNAPSHOT_INTERVAL_S)
