"""What a host knows of one endpoint: its last report and the work sent since."""

from gypsumusher_policy.health import Health
from gypsumusher_policy.types import Endpoint, LoadReport

# Assumed of an endpoint that has not reported yet, on the low side, so that it gets
# a trickle and no flood.
FIRST_PREFILL_TOKENS_PER_S = 4000.0
FIRST_DECODE_TOKENS_PER_S = 1000.0
FIRST_SLOTS = 8
FIRST_KV_TOKENS = 100_000
# An engine that says it takes nothing is asked again after this time, so that one
# refusal during a role change doesn't become a storm of them.
REFUSED_PAUSE_S = 1.0
# Weight of the newest answer in an endpoint's speed: some ten answers show a slow one.
SPEED_STEP = 0.1
# Least speed that is believed, so that a slow endpoint keeps a trickle of work by
# which its recovery is seen.
LEAST_SPEED = 0.1


class EndpointState:
    """One endpoint as this host sees it.

    The report lags by seconds, so that what this host has in flight is counted here
    and what the peers have in flight is added. Otherwise all hosts would turn to the
    engine whose report last said that it was idle.
    """

    def __init__(self, endpoint: Endpoint):
        self.name = endpoint.name
        self.zone = endpoint.zone
        self.role = endpoint.role
        self.leaving = endpoint.leaving
        self.draining = False
        self.paused_until_s = 0.0
        self.sequence = -1
        self.report_at_s = None
        self.slots = FIRST_SLOTS
        self.kv_limit_tokens = FIRST_KV_TOKENS
        self.prefill_tokens_per_s = FIRST_PREFILL_TOKENS_PER_S
        self.decode_tokens_per_s = FIRST_DECODE_TOKENS_PER_S
        self.reported_others = 0
        self.reported_kv_tokens = 0
        self.own_running = 0
        self.own_prompt_tokens = 0
        self.own_kv_tokens = 0
        self.kv_at_report_tokens = 0
        self.peers = {}
        self.peers_running = 0
        self.peers_prompt_tokens = 0
        self.health = Health()
        self.speed = 1.0
        self.load_key = None

    def on_report(self, now_s: float, report: LoadReport) -> bool:
        """Take in a report; False when it is older than the one known."""
        if report.sequence <= self.sequence:
            return False
        self.sequence = report.sequence
        self.report_at_s = now_s - report.age_s
        self.role = report.role
        self.draining = report.draining
        self.slots = max(1, report.slots)
        self.kv_limit_tokens = report.kv_limit_tokens
        self.prefill_tokens_per_s = max(1.0, report.prefill_tokens_per_s)
        self.decode_tokens_per_s = max(1.0, report.decode_tokens_per_s)
        self.reported_kv_tokens = report.kv_used_tokens
        self.kv_at_report_tokens = self.own_kv_tokens
        seen = report.running + report.waiting
        self.reported_others = max(0, seen - self.own_running)
        return True

    def on_peer_load(self, peer: str, load: tuple[int, int] | None) -> None:
        """Take in what a peer has in flight here; None: nothing."""
        running, prompt_tokens = self.peers.pop(peer, (0, 0))
        self.peers_running -= running
        self.peers_prompt_tokens -= prompt_tokens
        if load is None:
            return
        self.peers[peer] = load
        self.peers_running += load[0]
        self.peers_prompt_tokens += load[1]

    def running(self) -> int:
        """Return the requests thought to be in flight here, of all hosts."""
        if self.peers:
            return self.own_running + self.peers_running
        return self.own_running + self.reported_others

    def prompt_tokens(self) -> int:
        """Return the prompt tokens thought to wait here, of all hosts."""
        return self.own_prompt_tokens + self.peers_prompt_tokens

    def kv_tokens(self) -> int:
        """Return the KV cache thought to be in use, in tokens."""
        since_tokens = self.own_kv_tokens - self.kv_at_report_tokens
        return max(0, self.reported_kv_tokens + since_tokens)

    def backlog_s(self) -> float:
        """Return the seconds of prompt processing that wait here."""
        return self.prompt_tokens() / self.prefill_tokens_per_s

    def on_pace(self, seconds: float, tokens: int) -> None:
        """Learn from the time that an answer's tokens took.

        A stream of a full batch gets its share of the engine's rate; an endpoint that
        gives less is slower than it says.
        """
        promised_s = tokens * self.slots / self.decode_tokens_per_s
        seen = min(1.0, promised_s / max(seconds, 1e-6))
        self.speed += SPEED_STEP * (seen - self.speed)

    def fullness(self) -> float:
        """Return the share of the batch slots in use; above 1 some wait.

        Of a slow endpoint only as many slots count as it is fast.
        """
        return self.running() / (self.slots * max(LEAST_SPEED, self.speed))

    def load(self) -> float:
        """Return the load by which endpoints of one role are ordered."""
        if self.role == "prefill":
            return self.backlog_s()
        if self.role == "decode":
            return self.fullness()
        return self.backlog_s() + self.fullness()

    def takes_work(self, now_s: float, idempotent: bool) -> bool:
        """Say whether a request may be sent here."""
        if self.leaving or self.draining or now_s < self.paused_until_s:
            return False
        return self.health.allows(now_s, idempotent)
