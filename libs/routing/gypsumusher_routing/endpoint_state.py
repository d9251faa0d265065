"""State of one endpoint at one host: its entry, load, prefix cache and health."""

from typing import NamedTuple

from gypsumusher_ports import EndpointRecord
from gypsumusher_routing.endpoint_paths import DirectPath
from gypsumusher_routing.engine_speed import EngineSpeed, GapRatio
from gypsumusher_routing.estimates import Slowdown
from gypsumusher_routing.health import Health
from gypsumusher_routing.prefix_cache import PrefixCacheEstimate
from gypsumusher_routing.send_counter import DeliveryRecord
from gypsumusher_routing.urgency import LANES

__all__ = ["EndpointState", "Load", "OrderedStage"]

# Age up to which a peer's load is used, in seconds. By then the peer has sent a newer
# one, or it has failed and its requests with it.
PEER_LOAD_TTL_S = 2.0
# No pending prefill in any priority class.
NO_PREFILL_S = (0.0,) * len(LANES)
# KV memory of an engine whose service does not configure it.
DEFAULT_KV_TOKENS = 400_000
# Most that one prompt adds to the load. A sum of such loads fits into the integers of
# messages between hosts, and taking a prompt back restores the sum of the others.
MAX_PREFILL_S = 86_400.0


class Load(NamedTuple):
    """Unfinished requests at an endpoint.

    Attributes
    ----------
    running : int
        Requests that were sent and have not ended.
    prefills : int
        Those of them that are not prefilled yet.
    prefill_s_by_lane : tuple of float
        Expected duration of these prefills at the usual speed of the stage, in
        seconds, for each priority class in `LANES`. The engine prefills the prompts
        of an earlier class first.
    """

    running: int
    prefills: int = 0
    prefill_s_by_lane: tuple[float, ...] = NO_PREFILL_S

    def prefill_ahead_s(self, lane: str) -> float:
        """Return the duration of the prefills ahead of a new prompt, in seconds."""
        return sum(self.prefill_s_by_lane[: LANES.index(lane) + 1])

    @property
    def pending_prefill_s(self) -> float:
        """Expected duration of all pending prefills, in seconds."""
        return sum(self.prefill_s_by_lane)


class OrderedStage(NamedTuple):
    """Stage that an engine was ordered to take.

    Attributes
    ----------
    stage : {"prefill", "decode"}
        The ordered stage.
    is_switching : bool
        Whether the engine is still changing to it, and refuses requests.
    """

    stage: str
    is_switching: bool


class EndpointState:
    """State of one incarnation of an endpoint.

    Parameters
    ----------
    record : EndpointRecord
        The endpoint's entry in the store.
    kv_tokens : int
        Number of tokens that fit into its KV memory.
    delivery : DeliveryRecord or None
        What is known of earlier sends to this incarnation; by default nothing.
    shares_speed : bool
        Whether its speed is estimated from the observations of all hosts.
    """

    def __init__(
        self,
        record: EndpointRecord,
        kv_tokens: int = DEFAULT_KV_TOKENS,
        delivery: DeliveryRecord | None = None,
        shares_speed: bool = True,
    ):
        self.record = record
        self.delivery = DeliveryRecord() if delivery is None else delivery
        self.health = Health()
        self.path = DirectPath()
        self.prefixes = PrefixCacheEstimate(kv_tokens)
        self.own_running = 0
        self._own_prefills = 0
        self._own_prefill_s_by_lane = list(NO_PREFILL_S)
        self._ordered_stage = None
        self._ordered_stage_until_s = float("-inf")
        # Set while another endpoint answers at this one's address.
        self.is_address_taken = False
        self._peers = {}
        self._shares_speed = shares_speed
        self._start_speed()
        self.gap_ratio = GapRatio()
        self._answered_s = float("-inf")
        # Set once the entry is gone, or is that of another incarnation.
        self.is_gone = False

    @property
    def is_usable(self) -> bool:
        """Whether the endpoint may get new requests."""
        if self.record.is_draining or self.is_address_taken:
            return False
        return self._ordered_stage is None or not self._ordered_stage.is_switching

    @property
    def stage(self) -> str | None:
        """Stage from the latest order while that is valid, else from the entry."""
        if self._ordered_stage is not None:
            return self._ordered_stage.stage
        return self.record.stage

    @property
    def ordered_stage(self) -> OrderedStage | None:
        """Stage that the endpoint was ordered to take, while the order is valid."""
        return self._ordered_stage

    def on_stage_ordered(
        self, now_s: float, ordered: OrderedStage, for_s: float
    ) -> None:
        """Record a stage order, which overrides the stage in the endpoint's entry.

        Entries show a new stage seconds later, and not at all while the store is
        unavailable. Requests sent by the old stage would be refused, and each refusal
        uses up a retry.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        ordered : OrderedStage
            The ordered stage.
        for_s : float
            Time for which the order is valid unless it is reported again, in seconds.
        """
        self._ordered_stage = ordered
        self._ordered_stage_until_s = now_s + for_s
        self._on_stage()

    def expire_ordered_stage(self, now_s: float) -> None:
        """Return to the stage in the entry if the order is no longer valid."""
        if now_s >= self._ordered_stage_until_s:
            self._ordered_stage = None
            self._on_stage()

    def on_record(self, record: EndpointRecord) -> None:
        """Replace the entry by a newer one of the same incarnation."""
        if record.heartbeat_count > self.record.heartbeat_count:
            # The endpoint renewed its entry, so it is alive at this address.
            self.is_address_taken = False
        self.record = record
        self._on_stage()

    def _on_stage(self):
        """Forget the speed of the previous stage once the stage has changed."""
        if self.stage != self._speed_stage:
            self._start_speed()
            self.gap_ratio.drop_reports()

    def _start_speed(self):
        """Start to learn the speed at the present stage."""
        self._speed_stage = self.stage
        self.slowdown = EngineSpeed() if self._shares_speed else Slowdown()

    def on_answer_bytes(self, now_s: float) -> None:
        """Record that the endpoint sent bytes of an answer to any request."""
        self._answered_s = now_s

    def has_answered_since(self, since_s: float) -> bool:
        """Return whether the endpoint sent anything after a time, in seconds.

        A prompt of low priority waits for as long as others keep arriving. If that
        counted as silence of the engine, the host would avoid an engine that works at
        full speed and shift its load to the others.
        """
        return self._answered_s > since_s

    def on_event_gap(self, gap_s: float, allowed_s: float, now_s: float = 0.0) -> None:
        """Update the gap ratio from the time between two events of a stream.

        Parameters
        ----------
        gap_s : float
            Time between the events, in seconds.
        allowed_s : float
            Longest gap with which the stream still ends in time, in seconds.
        now_s : float
            Current time, in seconds.

        Notes
        -----
        An engine decodes more slowly the more streams it runs and the more it prefills
        in between. How much of that its streams tolerate depends on the model, the
        machine and the routes, and only the gaps show it.
        """
        self.gap_ratio.learn(now_s, gap_s / max(0.001, allowed_s))

    @property
    def event_gap_ratio(self) -> float:
        """Gap between stream events, as a fraction of the allowed gap."""
        return self.gap_ratio.value

    def on_peer_load(self, now_s: float, peer: str, load: Load) -> None:
        """Store the load that a peer has at this endpoint."""
        self._peers[peer] = (load, now_s)

    def drop_peer(self, peer: str) -> None:
        """Remove the load and the penalty that a peer reported."""
        self._peers.pop(peer, None)
        self.health.drop_peer(peer)

    def own_load(self) -> Load:
        """Return the load that this host has at the endpoint."""
        return Load(
            self.own_running, self._own_prefills, tuple(self._own_prefill_s_by_lane)
        )

    def load(self, now_s: float) -> Load:
        """Return the load that all hosts together have at the endpoint."""
        running, prefills = self.own_running, self._own_prefills
        prefill_s_by_lane = list(self._own_prefill_s_by_lane)
        for load, received_s in self._peers.values():
            if now_s - received_s > PEER_LOAD_TTL_S:
                continue
            running += load.running
            prefills += load.prefills
            for index, prefill_s in enumerate(load.prefill_s_by_lane):
                prefill_s_by_lane[index] += prefill_s
        return Load(
            running,
            prefills,
            tuple(max(0.0, prefill_s) for prefill_s in prefill_s_by_lane),
        )

    def begin_prefill(self, prefill_s: float, lane: str) -> None:
        """Add a prompt that is sent to the endpoint for prefill to the load.

        Parameters
        ----------
        prefill_s : float
            Expected duration of the prefill, in seconds.
        lane : str
            Priority class of the prompt.
        """
        self._own_prefills += 1
        self._own_prefill_s_by_lane[LANES.index(lane)] += min(prefill_s, MAX_PREFILL_S)

    def end_prefill(self, prefill_s: float, lane: str) -> None:
        """Remove a prompt from the load; arguments as for `begin_prefill`."""
        self._own_prefills -= 1
        self._own_prefill_s_by_lane[LANES.index(lane)] -= min(prefill_s, MAX_PREFILL_S)
