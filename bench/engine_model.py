"""Simulates a model engine in virtual time, seen through its interface.

The model has prefill and decode rates, batch slots, a KV cache limit, load reports that
arrive late, a prefix cache whose events arrive late and in part, and downtime at each
role change or model load.
"""

from collections import OrderedDict
from collections.abc import Callable
from typing import NamedTuple

from gypsumusher_policy import LoadReport, Request

# Length of one step of the batch; its outputs appear at its end.
STEP_S = 0.05
# Tokens of one prefix chunk, the unit of the prefix cache.
PREFIX_TOKENS = 64


class EngineSettings(NamedTuple):
    """Rates and limits of an engine.

    Parameters
    ----------
    prefill_tokens_per_s, decode_tokens_per_s : float
        Rates of the whole engine, over all its streams.
    stream_tokens_per_s : float
        Decode rate limit of one stream, reached with a small batch.
    slots : int
        Maximum number of jobs in the batch.
    kv_limit_tokens : int
        Capacity of the KV cache, in tokens.
    mixed_share : float
        Share of both rates that is left in steps with both prefill and decode.
    cache_prefixes : int
        Capacity of the prefix cache, in chunks of `PREFIX_TOKENS`.
    """

    prefill_tokens_per_s: float = 8000.0
    decode_tokens_per_s: float = 2000.0
    stream_tokens_per_s: float = 100.0
    slots: int = 32
    kv_limit_tokens: int = 250_000
    mixed_share: float = 0.7
    cache_prefixes: int = 2000


class Job:
    """One attempt of a request on an engine.

    ``notify(event, ran)`` reports events to the host; ``on_fetched`` is called when a
    decode engine has fetched the KV cache of the prompt.
    """

    def __init__(
        self,
        request: Request,
        stage: str,
        priority: int,
        output_tokens: int,
        notify: Callable[[str, str], None],
        on_fetched: Callable[[], None] | None = None,
    ):
        self.request = request
        self.stage = stage
        self.priority = priority
        self.notify = notify
        self.on_fetched = on_fetched
        self.order = 0
        self.prefill_left_tokens = (
            0.0 if stage == "decode" else float(request.prompt_tokens)
        )
        self.decode_left_tokens = 0.0 if stage == "prefill" else float(output_tokens)
        self.kv_tokens = request.prompt_tokens + output_tokens
        self.first_token = False


class Engine:
    """One engine; `submit`, `release` and `change` are its interface.

    Attributes
    ----------
    speed : float
        Factor on all rates.
    black_hole : bool
        Whether every job fails at once, as on a faulty engine that looks idle.
    crash_fingerprint : str or None
        Fingerprint of the request that crashes the engine.
    changes, crashes : int
        Number of role changes and of crashes.
    """

    def __init__(self, clock, name: str, zone: str, role: str, settings, rng):
        self.clock = clock
        self.name = name
        self.zone = zone
        self.role = role
        self.settings = settings
        self.rng = rng
        self.speed = 1.0
        self.alive = True
        self.draining = False
        self.black_hole = False
        self.crash_fingerprint = None
        self.on_crash = None
        self.version = "1"
        self.after_drain = None
        self.batch = []
        self.waiting = []
        self.kv_used = 0
        self.cache = OrderedDict()
        self.cache_added = []
        self.cache_removed = []
        self.sequence = 0
        self.busy_s = 0.0
        self.crashes = 0
        self.changes = 0
        self.stepping = False
        self.arrivals = 0

    def submit(self, job: Job) -> None:
        """Queue a job, or report at once that the engine does not take it."""
        if not self.alive:
            job.notify("connect", "no")
            return
        if self.black_hole:
            job.notify("error", "unknown")
            return
        if self.draining or not self._fits_role(job.stage):
            job.notify("refused", "no")
            return
        self.arrivals += 1
        job.order = self.arrivals
        self.waiting.append(job)
        self._wake()

    def release(self, tokens: int) -> None:
        """Free the KV cache of a prompt that was fetched or is no longer needed."""
        self.kv_used = max(0, self.kv_used - tokens)
        self._wake()

    def change(self, seconds: float, apply: Callable[[], None]) -> None:
        """Drain, be unavailable for some seconds, then apply the change."""
        self.draining = True
        self.after_drain = (seconds, apply)
        self._finish_drain()

    def crash(self, restart_s: float | None) -> None:
        """Drop all jobs and caches; restart after ``restart_s``, or never if None."""
        lost = self.batch + self.waiting
        self.batch, self.waiting = [], []
        self.kv_used = 0
        self.cache.clear()
        self.alive = False
        self.crashes += 1
        if self.on_crash is not None:
            self.on_crash(self)
        for job in lost:
            job.notify("crash", "unknown")
        if restart_s is not None:
            self.clock.after(restart_s, self._restart)

    def report(self) -> LoadReport:
        """Return the load at this moment; the caller sets its age on delivery."""
        self.sequence += 1
        waiting_tokens = sum(
            job.prefill_left_tokens for job in self.batch + self.waiting
        )
        return LoadReport(
            self.name,
            self.sequence,
            0.0,
            self.role,
            self.draining,
            len(self.batch),
            len(self.waiting),
            int(waiting_tokens),
            self.settings.slots,
            self.kv_used,
            self.settings.kv_limit_tokens,
            self.settings.prefill_tokens_per_s,
            self.settings.decode_tokens_per_s,
        )

    def take_cache_events(self) -> tuple[list[int], list[int]]:
        """Return the cache changes since the last call; a tenth of them is lost."""
        added = [item for item in self.cache_added if self.rng.random() > 0.1]
        removed = [item for item in self.cache_removed if self.rng.random() > 0.1]
        self.cache_added, self.cache_removed = [], []
        return added, removed

    def _fits_role(self, stage):
        if self.role == "mixed":
            return True
        return stage == self.role

    def _restart(self):
        self.alive = True
        self.draining = False
        self.after_drain = None

    def _wake(self):
        """Start stepping if the engine is idle."""
        if self.stepping or not self.alive:
            return
        self.stepping = True
        self._step()

    def _step(self):
        """Start one step of the batch, whose outputs appear after `STEP_S`."""
        if not self.alive or not (self.batch or self.waiting):
            self.stepping = False
            self._finish_drain()
            return
        self._fill_batch()
        if not self.batch:
            # The KV cache is full of finished prefills; `release` wakes the engine.
            self.stepping = False
            return
        prefills = [job for job in self.batch if job.prefill_left_tokens > 0]
        streams = [job for job in self.batch if job.prefill_left_tokens <= 0]
        decode_share, prefill_share = self._step_shares(prefills, streams)
        self.busy_s += STEP_S * min(1.0, decode_share + prefill_share)
        budget_s = STEP_S * self.speed
        if prefills and streams:
            budget_s *= self.settings.mixed_share
        self._prefill(prefills, budget_s * prefill_share)
        self._decode(streams, budget_s * decode_share)
        self.clock.after(STEP_S, self._end_step)

    def _fill_batch(self):
        """Move waiting jobs into the batch while slots and the KV cache suffice."""
        self.waiting.sort(key=_by_priority)
        remaining = []
        for job in self.waiting:
            free = len(self.batch) < self.settings.slots
            fits = self.kv_used + job.kv_tokens <= self.settings.kv_limit_tokens
            if not free or not (fits or self.kv_used == 0):
                remaining.append(job)
                continue
            self.batch.append(job)
            self.kv_used += job.kv_tokens
            if job.on_fetched is not None:
                job.on_fetched()
            self._apply_prefix_cache(job)
        self.waiting = remaining

    def _step_shares(self, prefills, streams):
        """Return the shares of the step for decode and for prefill."""
        rate = self.settings.decode_tokens_per_s
        wanted = min(1.0, len(streams) * self.settings.stream_tokens_per_s / rate)
        if not prefills:
            return wanted, 0.0
        if not streams:
            return 0.0, 1.0
        decode = min(wanted, 0.5)
        return decode, 1.0 - decode

    def _prefill(self, prefills, budget_s):
        """Spend the prefill share of a step on prefills, by priority."""
        prefills.sort(key=_by_priority)
        tokens = budget_s * self.settings.prefill_tokens_per_s
        for job in prefills:
            used = min(tokens, job.prefill_left_tokens)
            job.prefill_left_tokens -= used
            tokens -= used
            if tokens <= 0:
                break

    def _decode(self, streams, budget_s):
        """Spread the decode share of a step evenly over the streams."""
        if not streams:
            return
        tokens = budget_s * self.settings.decode_tokens_per_s / len(streams)
        tokens = min(tokens, STEP_S * self.speed * self.settings.stream_tokens_per_s)
        for job in streams:
            job.decode_left_tokens -= tokens

    def _end_step(self):
        """Report first tokens and finished jobs, or crash on the crashing request."""
        crashing = self.crash_fingerprint
        if crashing and any(job.request.fingerprint == crashing for job in self.batch):
            self.stepping = False
            self.crash(restart_s=30.0)
            return
        remaining = []
        for job in self.batch:
            if (
                job.prefill_left_tokens <= 0
                and not job.first_token
                and job.stage != "prefill"
            ):
                job.first_token = True
                job.notify("first_token", "")
            if job.prefill_left_tokens > 0 or job.decode_left_tokens > 0:
                remaining.append(job)
                continue
            if job.stage == "prefill":
                # The KV cache stays allocated until a decode engine has fetched it.
                job.notify("prefill_done", "")
                continue
            self.kv_used -= job.kv_tokens
            job.notify("done", "")
        self.batch = remaining
        self._step()

    def _apply_prefix_cache(self, job):
        """Skip the cached prefix of a job, and add its prefix to the cache."""
        if job.stage == "decode":
            return
        hashes = job.request.prefix_hashes
        hits = 0
        for prefix_hash in hashes:
            if prefix_hash not in self.cache:
                break
            hits += 1
        job.prefill_left_tokens = max(
            1.0, job.prefill_left_tokens - hits * PREFIX_TOKENS
        )
        for prefix_hash in hashes:
            if prefix_hash not in self.cache:
                self.cache_added.append(prefix_hash)
            self.cache[prefix_hash] = None
            self.cache.move_to_end(prefix_hash)
        while len(self.cache) > self.settings.cache_prefixes:
            self.cache_removed.append(self.cache.popitem(last=False)[0])

    def _finish_drain(self):
        """Start a pending change once no job is left."""
        if self.after_drain is None or self.batch or self.waiting or self.stepping:
            return
        seconds, apply = self.after_drain
        self.after_drain = None

        def finish():
            if not self.alive:
                return
            apply()
            self.draining = False

        self.clock.after(seconds, finish)


def _by_priority(job):
    return (job.priority, job.order)
