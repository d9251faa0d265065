"""State of a stand-in engine, and the background loops that advance it."""

import asyncio
import os
from collections import deque

from gypsumusher_standins.batching import BatchRequest, BatchScheduler
from gypsumusher_standins.orders import OrderLog
from gypsumusher_standins.prefix_cache import PrefixCache
from gypsumusher_standins.streams import Stream
from gypsumusher_standins.text import prefix_hashes, prompt_digest

# Exit code of a simulated crash, which tells it from other exits.
CRASH_EXIT_CODE = 70
# Interval of the load snapshots, and thereby the resolution of the lag of load reports.
SNAPSHOT_INTERVAL_S = 0.02
# Limit on the kept load snapshots, and thereby on load_lag_s: about 20 s.
MAX_SNAPSHOTS = 1024
# Limit on the kept cache events; a reader that falls further behind finds a gap.
MAX_CACHE_EVENTS = 256
# Shortest sleep, as the event loop's timer is inaccurate below it. The durations of
# shorter steps add up until their sum reaches this limit.
MIN_SLEEP_S = 0.001


class EngineState:
    """State of a stand-in engine, including its counters and fault settings.

    Parameters
    ----------
    options : argparse.Namespace
        The command-line options.

    Attributes
    ----------
    draining : bool
        Whether the engine refuses new requests until it stops or the drain is undone.
    reconfiguring : bool
        Whether an order is changing the role or the model; the engine then refuses
        new requests.
    crash_stream_ids : set of str
        Streams whose prompt contains ``crash_on``; the process exits when the batch
        admits one.
    exported_kv_tokens : dict
        Prompt tokens of each KV cache that another engine may fetch, by handle.
    runs_by_request_id : dict
        Number of accepted requests by attempt id.
    runs_by_prompt, prefill_runs_by_prompt : dict
        Number of accepted requests by prompt digest; requests that export their KV
        cache are counted in the second one only.
    accumulated_error_rate : float
        Sum of ``error_rate`` over the requests, less 1 for each error response.
    snapshots : deque of (float, dict)
        Load snapshots and the times at which they were taken.
    settings : dict
        Faults, as set by ``--crash-on``, ``--load-lag-s`` and ``POST /control``.
    """

    def __init__(self, options):
        self.options = options
        self.address = ""
        self.role = options.role
        self.draining = False
        self.reconfiguring = False
        self.model = options.model
        self.model_version = options.model_version
        self.adapters = []
        self.scheduler = BatchScheduler(
            options.slots,
            options.kv_limit_tokens,
            options.prefill_tokens_per_s,
            options.decode_tokens_per_s,
        )
        self.cache = PrefixCache(
            options.cache_prefixes, options.cache_lag_s, MAX_CACHE_EVENTS
        )
        self.orders = OrderLog(options.fencing == "refuses")
        self.streams = {}
        self.crash_stream_ids = set()
        self.exported_kv_tokens = {}
        self.runs_by_request_id = {}
        self.runs_by_prompt = {}
        self.prefill_runs_by_prompt = {}
        self.accumulated_error_rate = 0.0
        self.snapshots = deque(maxlen=MAX_SNAPSHOTS)
        self.snapshot_sequence = 0
        self.work_available = asyncio.Event()
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

    def consume_fault(self, setting):
        """Decrement a counted fault's setting; return whether the fault applies."""
        if self.settings[setting] <= 0:
            return False
        self.settings[setting] -= 1
        return True

    def should_fail(self):
        """Return whether to fail this request: a fraction ``error_rate`` of all."""
        self.accumulated_error_rate += self.settings["error_rate"]
        if self.accumulated_error_rate < 1:
            return False
        self.accumulated_error_rate -= 1
        return True

    def model_names(self):
        """Return the names that a request may give as its model."""
        return {self.model, self.options.deployment, *self.adapters}

    def start_stream(self, attempt_id, prompt, stream: Stream, body, priority):
        """Count a request as run and queue it for the batch.

        Parameters
        ----------
        attempt_id : str
            The caller's id of the attempt (``X-Request-Id``).
        prompt : str
            The prompt, as `prompt_text` returns it.
        stream : Stream
            The stream that receives the generated tokens.
        body : dict
            The JSON body of the request.
        priority : int
            Requests with smaller values run first.
        """
        self.runs_by_request_id[attempt_id] = (
            self.runs_by_request_id.get(attempt_id, 0) + 1
        )
        counters = (
            self.prefill_runs_by_prompt
            if body.get("kv_export")
            else self.runs_by_prompt
        )
        digest = prompt_digest(prompt)
        counters[digest] = counters.get(digest, 0) + 1
        self.streams[stream.stream_id] = stream
        crash_on = self.settings["crash_on"]
        if crash_on and crash_on in prompt:
            self.crash_stream_ids.add(stream.stream_id)
        prefill_tokens = self._uncached_tokens(prompt, stream.prompt_tokens)
        if body.get("kv_import"):
            prefill_tokens = 0
        request = BatchRequest(
            stream.stream_id, stream.prompt_tokens, prefill_tokens, len(stream.words)
        )
        self.scheduler.submit(request, priority)
        self.work_available.set()

    def _uncached_tokens(self, prompt, prompt_tokens):
        hashes = prefix_hashes(prompt)
        matched = self.cache.match_prefix(hashes)
        self.cache.insert(asyncio.get_running_loop().time(), hashes)
        if not hashes:
            return prompt_tokens
        return prompt_tokens - prompt_tokens * matched // (len(hashes) + 1)

    def cancel(self, stream):
        """Cancel a stream and its request, unless the stream has finished."""
        if stream.is_finished:
            return
        self.scheduler.cancel(stream.stream_id)
        stream.is_cancelled = True
        stream.finish()

    def load_snapshot(self):
        """Return the current load, under the next sequence number."""
        self.snapshot_sequence += 1
        scheduler = self.scheduler
        speed = self.options.speed
        models = [{"name": self.model, "version": self.model_version}]
        models += [{"name": name, "version": ""} for name in self.adapters]
        return {
            "engine": self.options.name,
            "sequence": self.snapshot_sequence,
            "role": self.role,
            "draining": self.draining,
            "models": models,
            "running": len(scheduler.running),
            "waiting": len(scheduler.waiting),
            "waiting_prompt_tokens": scheduler.waiting_prompt_tokens(),
            "slots": scheduler.slots,
            "kv_used_tokens": scheduler.kv_used_tokens,
            "kv_limit_tokens": scheduler.kv_limit_tokens,
            "prefill_tokens_per_s": self.options.prefill_tokens_per_s * speed,
            "decode_tokens_per_s": self.options.decode_tokens_per_s * speed,
        }

    def load_report(self):
        """Return the newest load snapshot that is at least ``load_lag_s`` old.

        While all are younger, it is the oldest one; with no lag, the current load.
        """
        now_s = asyncio.get_running_loop().time()
        if self.settings["load_lag_s"] <= 0:
            return {**self.load_snapshot(), "age_s": 0.0}
        cutoff_s = now_s - self.settings["load_lag_s"]
        selected = self.snapshots[0]
        for entry in reversed(self.snapshots):
            if entry[0] <= cutoff_s:
                selected = entry
                break
        return {**selected[1], "age_s": now_s - selected[0]}

    def drop_expired_streams(self):
        """Delete the streams that finished more than ``--retention-s`` ago."""
        cutoff_s = asyncio.get_running_loop().time() - self.options.retention_s
        for stream_id, stream in list(self.streams.items()):
            if stream.is_finished and stream.finished_at_s < cutoff_s:
                del self.streams[stream_id]


async def run_scheduler(state):
    """Run the steps of the batch until cancelled, in their simulated durations."""
    unslept_s = 0.0
    while True:
        for stream_id in state.scheduler.admit():
            if stream_id in state.crash_stream_ids:
                # Simulates a crash: os._exit flushes no buffers and runs no handlers.
                os._exit(CRASH_EXIT_CODE)
        if not state.scheduler.running:
            state.work_available.clear()
            unslept_s = 0.0
            await state.work_available.wait()
            continue
        result = state.scheduler.step()
        unslept_s += (
            result.duration_s * state.settings["slow_factor"] / state.options.speed
        )
        # The tokens of a step are published after its duration has passed.
        if unslept_s >= MIN_SLEEP_S:
            before_s = asyncio.get_running_loop().time()
            await asyncio.sleep(unslept_s)
            unslept_s -= asyncio.get_running_loop().time() - before_s
        else:
            await asyncio.sleep(0)
        for stream_id in result.decoded_keys:
            stream = state.streams[stream_id]
            if not stream.is_finished:
                stream.add_token()


async def record_snapshots(state):
    """Record the load and delete expired streams at intervals, until cancelled."""
    while True:
        now_s = asyncio.get_running_loop().time()
        state.snapshots.append((now_s, state.load_snapshot()))
        state.drop_expired_streams()
        await asyncio.sleep(SNAPSHOT_INTERVAL_S)
