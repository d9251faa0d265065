"""What one host knows of one endpoint: its entry, its load, its cache, its health."""

from typing import NamedTuple

from gypsumusher_ports import EndpointRecord
from gypsumusher_routing.estimates import RunningQuantile, Slowdown
from gypsumusher_routing.health import Health
from gypsumusher_routing.prefix_cache import PrefixCacheEstimate
from gypsumusher_routing.urgency import LANES

__all__ = ["EndpointState", "Load", "OrderedStage"]

# A peer's counts are used for this long after they were heard, in seconds; by then it
# has sent anew, or it is gone with what it had running.
PEER_LOAD_S = 2.0
# Part of the events whose strain is below the engine's: the long streams are the ones
# that end late, and theirs is above the average.
STRAIN_PART = 0.8
# First guess of the strain, and its bounds.
FIRST_STRAIN, LEAST_STRAIN, MOST_STRAIN = 0.2, 0.05, 3.0
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
    prefills : int
        Those of them whose prompts are still to be read.
    prefill_s_by_lane : tuple of float
        What those prompts take to be read, by lane, in seconds at the usual pace of
        the stage; the engine reads those of an earlier lane first.
    """

    running: int
    prefills: int = 0
    prefill_s_by_lane: tuple[float, ...] = NO_WORK

    def prefill_ahead_s(self, lane: str) -> float:
        """Return what is read before a prompt of a lane that comes now, in seconds."""
        return sum(self.prefill_s_by_lane[: LANES.index(lane) + 1])

    @property
    def pending_prefill_s(self) -> float:
        """What is still to be read, in seconds."""
        return sum(self.prefill_s_by_lane)


class OrderedStage(NamedTuple):
    """What the host that orders stages says of one engine.

    Attributes
    ----------
    stage : {"prefill", "decode"}
        The stage that it was ordered to take.
    is_switching : bool
        Whether it is still on its way there, and takes no work.
    """

    stage: str
    is_switching: bool


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
        self.prefixes = PrefixCacheEstimate(kv_tokens)
        self.own_running = 0
        self._own_readings = 0
        self._own_lane_s = list(NO_WORK)
        self._stage_news = None
        self._stage_news_until_s = float("-inf")
        self.is_address_taken = False
        self._peers = {}
        self.slowdown = Slowdown()
        self._answered_s = float("-inf")
        self._strain = RunningQuantile(
            STRAIN_PART, FIRST_STRAIN, LEAST_STRAIN, MOST_STRAIN
        )

    @property
    def is_usable(self) -> bool:
        """Whether it may get new work."""
        if self.record.is_draining or self.is_address_taken:
            return False
        return self._stage_news is None or not self._stage_news.is_switching

    @property
    def stage(self) -> str | None:
        """Its stage: as ordered while its entry lags, else as its entry says."""
        if self._stage_news is not None:
            return self._stage_news.stage
        return self.record.stage

    @property
    def ordered_stage(self) -> OrderedStage | None:
        """What the host that orders stages says of it, if anything."""
        return self._stage_news

    def on_stage_ordered(self, now_s: float, news: OrderedStage, for_s: float) -> None:
        """Take in that it was ordered to change its stage.

        Failure guarded against: entries tell of a stage seconds later, or not while the
        store is away. Work that is sent meanwhile is refused, and each refusal uses up
        a retry.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        news : StageNews
            What is said.
        for_s : float
            For how long that holds unless it is said again, in seconds.
        """
        if news.stage != self.stage:
            self.slowdown = Slowdown()
        self._stage_news = news
        self._stage_news_until_s = now_s + for_s

    def expire_ordered_stage(self, now_s: float) -> None:
        """Go by the entry again once the news is old."""
        if now_s >= self._stage_news_until_s:
            self._stage_news = None

    def on_record(self, record: EndpointRecord) -> None:
        """Take over a newer entry of the same incarnation."""
        if record.heartbeat_count > self.record.heartbeat_count:
            # It lives, and still has this address.
            self.is_address_taken = False
        self.record = record

    def on_answer_bytes(self, now_s: float) -> None:
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

    def on_event_gap(self, gap_s: float, allowed_s: float) -> None:
        """Take in the time between two events of a stream.

        Parameters
        ----------
        gap_s : float
            The time, in seconds.
        allowed_s : float
            The longest that still has the stream end in time, in seconds.

        Notes
        -----
        An engine makes tokens more slowly the more streams it runs and the more it
        reads between them. How much of that its streams bear depends on the model, the
        machine and the routes, and shows in the pauses alone.
        """
        self._strain.learn(gap_s / max(0.001, allowed_s))

    @property
    def event_gap_ratio(self) -> float:
        """Pauses in its streams, as a part of those that let them end in time."""
        return self._strain.value

    def on_peer_load(self, now_s: float, peer: str, load: Load) -> None:
        """Take in what a peer has under way here."""
        self._peers[peer] = (load, now_s)

    def drop_peer(self, peer: str) -> None:
        """Note that a peer has nothing under way here, and nothing against it."""
        self._peers.pop(peer, None)
        self.health.drop_peer(peer)

    def own_load(self) -> Load:
        """Return what this host has under way here."""
        return Load(self.own_running, self._own_readings, tuple(self._own_lane_s))

    def load(self, now_s: float) -> Load:
        """Return what all hosts together have under way here."""
        running, readings = self.own_running, self._own_readings
        lane_s = list(self._own_lane_s)
        for load, at_s in self._peers.values():
            if now_s - at_s > PEER_LOAD_S:
                continue
            running += load.running
            readings += load.prefills
            for place, work_s in enumerate(load.prefill_s_by_lane):
                lane_s[place] += work_s
        return Load(running, readings, tuple(max(0.0, work_s) for work_s in lane_s))

    def begin_prefill(self, work_s: float, lane: str) -> None:
        """Count a prompt that is sent here to be read."""
        self._own_readings += 1
        self._own_lane_s[LANES.index(lane)] += work_s

    def end_prefill(self, work_s: float, lane: str) -> None:
        """Take a prompt out that is read, or won't be."""
        self._own_readings -= 1
        self._own_lane_s[LANES.index(lane)] -= work_s
