"""Placement of requests: endpoints ordered by load, then cache hits and zone.

Load reports lag and several hosts decide at the same time. Each host therefore keeps
the endpoints of a role ordered by load, considers only the first few, and draws at
random among them. A decision costs the logarithm of the number of replicas in a cell,
and the hosts do not all choose the same idle endpoint.
"""

from bisect import bisect_left, insort

from gypsumusher_policy.endpoint_state import EndpointState
from gypsumusher_policy.queueing import QueueKey

# Endpoints of a role considered for one request, least loaded first.
MAX_CANDIDATES = 4
# Prefill backlog above which an endpoint gets no more prefill-heavy requests, in
# seconds. A larger backlog would delay urgent prompts on engines that do not
# interrupt a prefill; a smaller one would leave the engine idle until the next
# decision reaches it.
MAX_PREFILL_BACKLOG_S = 1.0
# The same limit for requests of rank 0, in seconds. It is higher because engines
# honour priorities: only other rank 0 requests delay an urgent one.
MAX_URGENT_PREFILL_BACKLOG_S = 5.0
# The same limit for decode-heavy requests, in seconds. It is higher because they add
# little to the backlog, and holding them back would leave decode engines idle while
# prompts are queued.
MAX_DECODE_HEAVY_PREFILL_BACKLOG_S = 1.5
# Slot utilisation above which an endpoint gets no more non-urgent decode work. Above
# 1, some requests wait on the engine, so that a freed slot is reused at once instead
# of after a round trip to the host.
MAX_SLOT_UTILISATION = 1.5
# Share of an endpoint's KV cache above which it gets only urgent requests: prompts
# that wait for decode still hold their cache.
MAX_KV_SHARE = 0.8
# Seconds of load that one second of saved prefill offsets in the placement cost.
CACHE_HIT_WEIGHT = 1.0
# Placement cost of an endpoint in another zone, in seconds of load.
CROSS_ZONE_COST_S = 0.01


class EndpointIndex:
    """The endpoints of each role, ordered by load."""

    def __init__(self):
        self.by_role = {"prefill": [], "decode": [], "mixed": []}

    def add(self, state: EndpointState) -> None:
        """Insert an endpoint."""
        state.index_key = (state.load(), state.name, state.role)
        insort(self.by_role[state.role], (state.index_key, state), key=_index_key)

    def remove(self, state: EndpointState) -> None:
        """Remove an endpoint."""
        entries = self.by_role[state.index_key[2]]
        del entries[bisect_left(entries, state.index_key, key=_index_key)]
        state.index_key = None

    def set_indexed(self, state: EndpointState, indexed: bool) -> None:
        """Insert or remove an endpoint; a leaving one must not get requests."""
        if state.index_key is not None:
            self.remove(state)
        if indexed:
            self.add(state)

    def update(self, state: EndpointState) -> None:
        """Move an endpoint to the position of its present load."""
        if state.index_key is None:
            return
        self.remove(state)
        self.add(state)

    def candidates(
        self, role: str, now_s: float, idempotent: bool, excluded: set[str]
    ) -> list[EndpointState]:
        """Return the least loaded endpoints of a role that accept a request.

        Parameters
        ----------
        role : {"prefill", "decode", "mixed"}
            Role of the endpoints.
        now_s : float
            The present time, in seconds.
        idempotent : bool
            Whether the request may run more than once.
        excluded : set of str
            Names of endpoints to skip.
        """
        accepting = []
        for _, state in self.by_role[role]:
            if state.name in excluded or not state.accepts_work(now_s, idempotent):
                continue
            accepting.append(state)
            if len(accepting) >= MAX_CANDIDATES:
                break
        return accepting


def _index_key(entry):
    return entry[0]


def has_prefill_capacity(state: EndpointState, key: QueueKey, kv_tokens: int) -> bool:
    """Return whether an endpoint can take one more prompt.

    Parameters
    ----------
    state : EndpointState
        The endpoint.
    key : QueueKey
        Rank and kind of the request; only the urgent backlog limit applies to rank 0.
    kv_tokens : int
        KV cache that the request needs, in tokens.
    """
    if state.running() == 0:
        return True
    if key.rank == 0:
        return state.prefill_backlog_s() < MAX_URGENT_PREFILL_BACKLOG_S
    if state.kv_tokens() + kv_tokens > MAX_KV_SHARE * state.kv_limit_tokens:
        return False
    max_backlog_s = (
        MAX_PREFILL_BACKLOG_S
        if key.prefill_heavy
        else MAX_DECODE_HEAVY_PREFILL_BACKLOG_S
    )
    return state.prefill_backlog_s() < max_backlog_s


def has_decode_capacity(state: EndpointState, key: QueueKey) -> bool:
    """Return whether an endpoint can soon decode one more answer.

    Parameters
    ----------
    state : EndpointState
        The endpoint.
    key : QueueKey
        Rank and kind of the request.
    """
    # Requests of rank 0 do not wait for a slot: decode stages of other classes may
    # queue on the engine in any number, and the engine's priorities let rank 0 pass.
    return key.rank == 0 or state.slot_utilisation() < MAX_SLOT_UTILISATION


def placement_cost_s(state: EndpointState, zone: str, cached_tokens: int) -> float:
    """Return the cost by which candidate endpoints are compared, in seconds.

    Parameters
    ----------
    state : EndpointState
        The endpoint.
    zone : str
        Availability zone of the host.
    cached_tokens : int
        Prompt tokens that the endpoint has in its KV cache.
    """
    saved_s = CACHE_HIT_WEIGHT * cached_tokens / state.prefill_tokens_per_s
    zone_cost_s = 0.0 if state.zone == zone else CROSS_ZONE_COST_S
    return state.load() + zone_cost_s - saved_s
