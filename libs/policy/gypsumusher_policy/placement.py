"""Which endpoint gets a request: the least loaded few, then cache and zone.

Made for lagging reports and several hosts that decide at once: each keeps its
endpoints ordered by load, looks at the first few only, and draws between them, so
that a decision costs the logarithm of the cell's replicas and the hosts don't all
turn to the same idle engine.
"""

from bisect import bisect_left, insort

from gypsumusher_policy.endpoint_state import EndpointState
from gypsumusher_policy.queueing import LaneKey

# Endpoints looked at for one decision, from the least loaded on.
SHORTLIST = 4
# Prompt processing that may wait on an engine, in seconds. More would put an urgent
# prompt behind it on engines that process a prompt whole, less would leave the
# engine idle for the time that a decision takes to reach it.
PREFILL_WINDOW_S = 1.0
# The same for the first class, in seconds: engines honour priorities, so that urgent
# work passes what waits there, and only a queue of its own kind holds it up.
URGENT_WINDOW_S = 5.0
# The same for work that is mostly output: it takes little prompt processing and would
# otherwise leave the decode engines idle while prompts queue up.
OUTPUT_WINDOW_S = 1.5
# Requests on an engine for each batch slot. Above 1 some wait there, so that a slot
# is filled again at once and not after the way to a host and back.
FULLNESS = 1.5
# Share of an engine's KV cache beyond which only urgent work is sent to it: prompts
# that wait for their second stage hold it.
KV_SHARE = 0.8
# A cached prefix counts as this many seconds of load for each second of prompt
# processing that it saves, and another zone as this many seconds.
CACHE_WORTH = 1.0
FAR_ZONE_S = 0.01


class EndpointIndex:
    """The endpoints of each role, ordered by load."""

    def __init__(self):
        self.by_role = {"prefill": [], "decode": [], "mixed": []}

    def add(self, state: EndpointState) -> None:
        """Insert an endpoint."""
        state.load_key = (state.load(), state.name, state.role)
        insort(self.by_role[state.role], (state.load_key, state), key=_first)

    def remove(self, state: EndpointState) -> None:
        """Take an endpoint out."""
        row = self.by_role[state.load_key[2]]
        del row[bisect_left(row, state.load_key, key=_first)]
        state.load_key = None

    def set_member(self, state: EndpointState, member: bool) -> None:
        """Let an endpoint stand in the index, or not: a leaving one gets no work."""
        if state.load_key is not None:
            self.remove(state)
        if member:
            self.add(state)

    def update(self, state: EndpointState) -> None:
        """Put an endpoint where its present load belongs."""
        if state.load_key is None:
            return
        self.remove(state)
        self.add(state)

    def shortlist(
        self, role: str, now_s: float, idempotent: bool, tried: set[str]
    ) -> list[EndpointState]:
        """Return the least loaded endpoints of a role that take such a request."""
        chosen = []
        for _, state in self.by_role[role]:
            if state.name in tried or not state.takes_work(now_s, idempotent):
                continue
            chosen.append(state)
            if len(chosen) >= SHORTLIST:
                break
        return chosen


def _first(pair):
    return pair[0]


def has_prefill_room(state: EndpointState, key: LaneKey, kv_tokens: int) -> bool:
    """Say whether an endpoint can process one more prompt.

    Parameters
    ----------
    state : EndpointState
        The endpoint.
    key : LaneKey
        The request's class and kind; rank 0 is held back by little.
    kv_tokens : int
        KV cache that the request needs, in tokens.
    """
    if state.running() == 0:
        return True
    if key.rank == 0:
        return state.backlog_s() < URGENT_WINDOW_S
    if state.kv_tokens() + kv_tokens > KV_SHARE * state.kv_limit_tokens:
        return False
    window_s = PREFILL_WINDOW_S if key.mostly_prompt else OUTPUT_WINDOW_S
    return state.backlog_s() < window_s


def has_decode_room(state: EndpointState, key: LaneKey) -> bool:
    """Say whether an endpoint can generate one more answer soon."""
    # Urgent work is never held for a slot: second stages of other classes may stand
    # before the engine in any number, and its priority takes it past them.
    return key.rank == 0 or state.fullness() < FULLNESS


def score(state: EndpointState, zone: str, cached_tokens: int) -> float:
    """Return the cost by which the shortlisted endpoints are compared, in seconds."""
    saved_s = CACHE_WORTH * cached_tokens / state.prefill_tokens_per_s
    far_s = 0.0 if state.zone == zone else FAR_ZONE_S
    return state.load() + far_s - saved_s
