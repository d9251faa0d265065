"""What one host knows of one endpoint: its entry, its load, its cache, its health."""

from typing import NamedTuple

from gypsumusher_ports import EndpointRecord
from gypsumusher_routing.health import Health
from gypsumusher_routing.prefixes import PrefixTable
from gypsumusher_routing.urgency import LANES

__all__ = ["EndpointState", "Load"]

# Tokens that an engine reads in a second until its answers tell. Low, so that a new
# deployment starts careful; a handful of answers corrects it.
FIRST_READ_TOKENS_PER_S = {"prefill": 50_000.0, "decode": 20_000.0}
# Weight of a new answer in the learned rate.
RATE_WEIGHT = 0.3
# Only a prompt that met a short queue tells the engine's rate: what other hosts sent
# in between is known too late to be told from slowness. As a part of its own work.
RATE_QUEUE_PART = 0.25
# Shorter prompts tell more of the network than of the engine.
RATE_MIN_TOKENS = 1500
# Part of an answer's time that isn't reading, in seconds: the way there and back, and
# the first token's own step. Seen as 0.1 s with prompts of a thousand tokens.
FIXED_S = 0.1
# The rate of one endpoint moves in these bounds around the first guess, so that a
# single stalled answer doesn't shut it out for good.
RATE_FLOOR, RATE_CEILING = 0.05, 4.0
# A peer's counts are used for this long after they were heard, in seconds; by then it
# has sent anew, or it is gone with what it had running.
PEER_LOAD_S = 2.0
# Nothing to be read, in any lane.
NO_WORK = (0.0,) * len(LANES)
# Memory of an engine whose service doesn't say, in tokens.
DEFAULT_KV_TOKENS = 400_000


class Load(NamedTuple):
    """Work that hosts have under way at an endpoint.

    Attributes
    ----------
    running : int
        Requests sent and not ended.
    lane_tokens : tuple of float
        Work of prompts that are still to be read, by lane; the engine reads those of
        an earlier lane first.
    """

    running: int
    lane_tokens: tuple[float, ...] = NO_WORK

    def tokens_before(self, lane: str) -> float:
        """Return the work that is read before a prompt that comes now."""
        return sum(self.lane_tokens[: LANES.index(lane) + 1])

    @property
    def read_tokens(self) -> float:
        """Work of all prompts that are still to be read."""
        return sum(self.lane_tokens)


class EndpointState:
    """One incarnation of an endpoint.

    Parameters
    ----------
    record : EndpointRecord
        Its entry.
    kv_tokens : int
        Tokens that its memory holds.
    """

    def __init__(self, record: EndpointRecord, kv_tokens: int = DEFAULT_KV_TOKENS):
        self.record = record
        self.health = Health()
        self.prefixes = PrefixTable(kv_tokens)
        self.own_running = 0
        self._own_tokens = list(NO_WORK)
        self.is_withdrawn = False
        self._peers = {}
        self._rate = None
        self._answered_s = float("-inf")

    @property
    def is_usable(self) -> bool:
        """Whether it may get new work."""
        return not self.record.is_leaving and not self.is_withdrawn

    def on_record(self, record: EndpointRecord) -> None:
        """Take over a newer entry of the same incarnation."""
        if record.stage != self.record.stage:
            # Each stage has its own speed.
            self._rate = None
        self.record = record

    def on_answer(self, now_s: float) -> None:
        """Note that bytes of an answer came, whosever answer it is."""
        self._answered_s = now_s

    def has_answered_since(self, since_s: float) -> bool:
        """Say whether anything came from it after a time, in seconds.

        Failure guarded against: a prompt that is read last waits for as long as
        others keep coming. Taken for the silence of an engine that is down, it would
        have the host leave an engine that reads at full speed, and press the load on
        those that are left.
        """
        return self._answered_s > since_s

    def on_peer_load(self, now_s: float, peer: str, load: Load) -> None:
        """Take in what a peer has under way here."""
        self._peers[peer] = (load, now_s)

    def own_load(self) -> Load:
        """Return what this host has under way here."""
        return Load(self.own_running, tuple(self._own_tokens))

    def load(self, now_s: float) -> Load:
        """Return what all hosts together have under way here."""
        running = self.own_running
        lane_tokens = list(self._own_tokens)
        for load, at_s in self._peers.values():
            if now_s - at_s > PEER_LOAD_S:
                continue
            running += load.running
            for place, tokens in enumerate(load.lane_tokens):
                lane_tokens[place] += tokens
        return Load(running, tuple(max(0.0, tokens) for tokens in lane_tokens))

    def add_reading(self, work_tokens: float, lane: str) -> None:
        """Count a prompt that is sent here to be read; negative work takes it out."""
        self._own_tokens[LANES.index(lane)] += work_tokens

    def read_tokens_per_s(self) -> float:
        """Return how fast it reads prompts, as far as is known."""
        if self._rate is not None:
            return self._rate
        return FIRST_READ_TOKENS_PER_S.get(self.record.stage, 20_000.0)

    def on_read(self, work_tokens: float, queued_tokens: float, took_s: float) -> None:
        """Learn from a prompt that was read.

        Parameters
        ----------
        work_tokens : float
            Work of the prompt.
        queued_tokens : float
            Work that was before it when it was sent.
        took_s : float
            Time from the send to the answer, in seconds.
        """
        if work_tokens < RATE_MIN_TOKENS:
            return
        if queued_tokens > RATE_QUEUE_PART * work_tokens:
            return
        seen = (work_tokens + queued_tokens) / max(0.001, took_s - FIXED_S)
        first = FIRST_READ_TOKENS_PER_S.get(self.record.stage, 20_000.0)
        seen = min(max(seen, first * RATE_FLOOR), first * RATE_CEILING)
        known = self.read_tokens_per_s()
        self._rate = known + RATE_WEIGHT * (seen - known)
