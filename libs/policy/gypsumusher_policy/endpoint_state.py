"""State of one endpoint as seen by a host: last load report and work sent since."""

from gypsumusher_policy.health import EndpointHealth
from gypsumusher_policy.types import Endpoint, LoadReport

# Capacity assumed for an endpoint before its first load report. The values are low,
# so that an unknown endpoint is not overloaded.
DEFAULT_PREFILL_TOKENS_PER_S = 4000.0
DEFAULT_DECODE_TOKENS_PER_S = 1000.0
DEFAULT_SLOTS = 8
DEFAULT_KV_LIMIT_TOKENS = 100_000
# Pause of an endpoint after it refused a request or a connection to it failed, in
# seconds. Without it, every request would be sent to and refused by an engine that
# is changing its role.
REFUSAL_PAUSE_S = 1.0
# Weight of a new answer in the speed average: a slow endpoint shows after about ten
# answers.
SPEED_EWMA_WEIGHT = 0.1
# Lower bound of the speed that counts for placement. A slow endpoint keeps getting
# some requests, without which its recovery would not be noticed.
MIN_SPEED = 0.1


class EndpointState:
    """Load, health and speed of one endpoint, as known to this host.

    Load reports are seconds old, so the requests that this host has in flight are
    counted here, and those of the peers are added. Otherwise all hosts would send
    their requests to the endpoint that last reported to be idle.

    Parameters
    ----------
    endpoint : Endpoint
        Name, zone, role and whether it is leaving.

    Attributes
    ----------
    paused_until_s : float
        End of the pause after a refusal, in seconds.
    other_running : int
        Requests of other hosts, from the last report.
    own_running, own_prompt_tokens, own_kv_tokens : int
        Requests of this host in flight, their prompt tokens before prefill, and
        their KV cache.
    own_kv_at_report_tokens : int
        ``own_kv_tokens`` at the time of the last report.
    load_by_peer : dict of str to (int, int)
        Requests in flight and prompt tokens before prefill of each peer.
    speed : float
        Measured decode speed as a share of the reported one, at most 1.
    index_key : tuple or None
        Key under which `EndpointIndex` holds the endpoint; None if it does not.
    """

    def __init__(self, endpoint: Endpoint):
        self.name = endpoint.name
        self.zone = endpoint.zone
        self.role = endpoint.role
        self.leaving = endpoint.leaving
        self.draining = False
        self.paused_until_s = 0.0
        self.sequence = -1
        self.reported_s = None
        self.slots = DEFAULT_SLOTS
        self.kv_limit_tokens = DEFAULT_KV_LIMIT_TOKENS
        self.prefill_tokens_per_s = DEFAULT_PREFILL_TOKENS_PER_S
        self.decode_tokens_per_s = DEFAULT_DECODE_TOKENS_PER_S
        self.other_running = 0
        self.reported_kv_tokens = 0
        self.own_running = 0
        self.own_prompt_tokens = 0
        self.own_kv_tokens = 0
        self.own_kv_at_report_tokens = 0
        self.load_by_peer = {}
        self.peers_running = 0
        self.peers_prompt_tokens = 0
        self.health = EndpointHealth()
        self.speed = 1.0
        self.index_key = None

    def on_report(self, now_s: float, report: LoadReport) -> bool:
        """Apply a load report; return False if it is not newer than the last one."""
        if report.sequence <= self.sequence:
            return False
        self.sequence = report.sequence
        self.reported_s = now_s - report.age_s
        self.role = report.role
        self.draining = report.draining
        self.slots = max(1, report.slots)
        self.kv_limit_tokens = report.kv_limit_tokens
        self.prefill_tokens_per_s = max(1.0, report.prefill_tokens_per_s)
        self.decode_tokens_per_s = max(1.0, report.decode_tokens_per_s)
        self.reported_kv_tokens = report.kv_used_tokens
        self.own_kv_at_report_tokens = self.own_kv_tokens
        reported_running = report.running + report.waiting
        self.other_running = max(0, reported_running - self.own_running)
        return True

    def on_peer_load(self, peer: str, load: tuple[int, int] | None) -> None:
        """Replace what a peer has in flight on this endpoint.

        Parameters
        ----------
        peer : str
            Name of the peer.
        load : (int, int) or None
            Requests in flight and prompt tokens before prefill; None for no load.
        """
        running, prompt_tokens = self.load_by_peer.pop(peer, (0, 0))
        self.peers_running -= running
        self.peers_prompt_tokens -= prompt_tokens
        if load is None:
            return
        self.load_by_peer[peer] = load
        self.peers_running += load[0]
        self.peers_prompt_tokens += load[1]

    def running(self) -> int:
        """Return the estimated number of requests in flight, of all hosts."""
        if self.load_by_peer:
            return self.own_running + self.peers_running
        return self.own_running + self.other_running

    def prompt_tokens(self) -> int:
        """Return the estimated prompt tokens that wait for prefill, of all hosts."""
        return self.own_prompt_tokens + self.peers_prompt_tokens

    def kv_tokens(self) -> int:
        """Return the estimated KV cache use, in tokens."""
        since_report_tokens = self.own_kv_tokens - self.own_kv_at_report_tokens
        return max(0, self.reported_kv_tokens + since_report_tokens)

    def prefill_backlog_s(self) -> float:
        """Return the prefill time of all waiting prompts, in seconds."""
        return self.prompt_tokens() / self.prefill_tokens_per_s

    def update_speed(self, duration_s: float, tokens: int) -> None:
        """Update the speed average with the decode time of a completed answer.

        In a full batch each answer gets an equal share of the engine's reported
        decode rate; an endpoint that takes longer is slower than reported.

        Parameters
        ----------
        duration_s : float
            Time from the first to the last token, in seconds.
        tokens : int
            Length of the answer, in tokens.
        """
        expected_s = tokens * self.slots / self.decode_tokens_per_s
        measured_speed = min(1.0, expected_s / max(duration_s, 1e-6))
        self.speed += SPEED_EWMA_WEIGHT * (measured_speed - self.speed)

    def slot_utilisation(self) -> float:
        """Return requests in flight per batch slot; above 1, some of them wait.

        The slots of a slow endpoint count in proportion to its speed.
        """
        return self.running() / (self.slots * max(MIN_SPEED, self.speed))

    def load(self) -> float:
        """Return the load by which the endpoints of a role are ordered.

        It is the prefill backlog in seconds, the slot utilisation, or for mixed
        endpoints the sum of both.
        """
        if self.role == "prefill":
            return self.prefill_backlog_s()
        if self.role == "decode":
            return self.slot_utilisation()
        return self.prefill_backlog_s() + self.slot_utilisation()

    def accepts_work(self, now_s: float, idempotent: bool) -> bool:
        """Return whether a request may be sent to the endpoint.

        Parameters
        ----------
        now_s : float
            The present time, in seconds.
        idempotent : bool
            Whether the request may run more than once.
        """
        if self.leaving or self.draining or now_s < self.paused_until_s:
            return False
        return self.health.allows(now_s, idempotent)
