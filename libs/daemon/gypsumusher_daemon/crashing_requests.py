"""Reports requests that crash engines to peers and stores convictions."""

import asyncio

from returns.result import Success

__all__ = ["CONVICTIONS_KIND", "CrashingRequests"]

CONVICTIONS_KIND = "convictions"
# Pause between tries and number of tries for reading the convictions from the
# platform or writing one to it: about a minute in all.
RETRY_S = 2.0
PLATFORM_TRIES = 30

# Shortest pause between two evaluations of pending crashes.
EVALUATION_POLL_S = 0.01


class CrashingRequests:
    """Feeds the quarantine with crashes seen on this host and on peers.

    A request that crashes each engine that runs it must be refused on every host
    within seconds, also by hosts that start later. So a crash is reported to all
    peers at once, a conviction is stored on the platform, and gossip carries the
    number of convictions a host has, so that a host which missed some requests them.

    Parameters
    ----------
    quarantine : Quarantine
        Decides which requests are suspect and which are convicted.
    client : PlatformClient
        Stores convictions.
    clock, log : callable
        Boot-time clock and structured log.
    broadcast : coroutine function
        ``await broadcast(message)`` sends a message to all peers.
    track : callable
        ``track(task)`` holds a reference to a task until it is done.
    on_evaluated : callable
        Called after pending crashes were evaluated: suspects that waited may run.
    """

    def __init__(self, quarantine, client, clock, log, broadcast, track, on_evaluated):
        self._quarantine = quarantine
        self._client = client
        self._clock = clock
        self._log = log
        self._broadcast = broadcast
        self._track = track
        self._on_evaluated = on_evaluated

    async def load(self):
        """Load the convictions stored on the platform, retrying until it answers."""
        for _ in range(PLATFORM_TRIES):
            result = await self._client.list(CONVICTIONS_KIND)
            if isinstance(result, Success):
                for item in result.unwrap().items:
                    reason = str(item.value.get("reason", "convicted"))
                    self._quarantine.add_conviction(item.name, reason)
                return
            await asyncio.sleep(RETRY_S)

    def on_crash(self, endpoint):
        """Handle the crash of an engine that this host sends requests to."""
        running = list(self._quarantine.running.get(endpoint, ()))
        past_prompt = sorted(self._quarantine.past_prompt.get(endpoint, ()))
        convicted = self._quarantine.on_crash(self._clock(), endpoint)
        self._publish(convicted)
        self._schedule_evaluation()
        # A crash explained by a new conviction makes no other request suspect.
        suspicions = {
            fingerprint: [endpoint]
            for fingerprint in running
            if self._quarantine.status_of(fingerprint) == "suspect"
        }
        if suspicions:
            message = {
                "type": "crash",
                "suspicions": suspicions,
                "past_prompt": past_prompt,
            }
            self._track(asyncio.ensure_future(self._broadcast(message)))

    def on_peer_crash(self, suspicions, past_prompt):
        """Handle a peer's report of a crash and of the requests that ran there.

        Parameters
        ----------
        suspicions : dict
            Crashed endpoints by fingerprint of a request that ran on them.
        past_prompt : list of str
            Fingerprints of the requests whose prefill was finished.
        """
        now_s = self._clock()
        convicted = self._quarantine.on_suspicions(now_s, suspicions, past_prompt)
        self._publish(convicted)
        self._schedule_evaluation()

    def _schedule_evaluation(self):
        """Schedule the evaluation of crashes once the peers' reports can be in."""
        if self._quarantine.pending_crashes:
            self._track(asyncio.ensure_future(self._evaluate_pending()))

    async def _evaluate_pending(self):
        """Evaluate pending crashes as they become due, until there is none."""
        # The loop repeats because the event loop's timer may fire slightly before the
        # due time on the boot-time clock; with a single evaluation, suspects would
        # then wait without end.
        while self._quarantine.pending_crashes:
            due_s = self._quarantine.evaluation_due_s
            await asyncio.sleep(max(EVALUATION_POLL_S, due_s - self._clock()))
            self._publish(self._quarantine.evaluate_due(self._clock()))
        self._on_evaluated()

    def on_peer_convictions(self, convictions):
        """Add the convictions that a peer sent.

        Parameters
        ----------
        convictions : dict
            Reason for the conviction by fingerprint.
        """
        for fingerprint, reason in convictions.items():
            if self._quarantine.status_of(fingerprint) != "convicted":
                self._quarantine.add_conviction(fingerprint, reason)

    def _publish(self, convicted):
        """Log new convictions, store them on the platform and send them to peers."""
        for conviction in convicted:
            self._log(
                "warning",
                "request_convicted",
                fingerprint=conviction.fingerprint,
                endpoints=",".join(conviction.endpoints),
            )
            self._track(asyncio.ensure_future(self._store(conviction)))
        if convicted:
            reasons = dict(self._quarantine.convictions)
            message = {"type": "convictions", "convictions": reasons}
            self._track(asyncio.ensure_future(self._broadcast(message)))

    async def _store(self, conviction):
        """Write a conviction to the platform unless it is already stored there."""
        reason = self._quarantine.convictions.get(conviction.fingerprint, "convicted")
        value = {"reason": reason, "engines": list(conviction.endpoints)}
        for _ in range(PLATFORM_TRIES):
            result = await self._client.write(
                CONVICTIONS_KIND, conviction.fingerprint, value, 0
            )
            if isinstance(result, Success) or result.failure().kind == "conflict":
                return
            await asyncio.sleep(RETRY_S)
