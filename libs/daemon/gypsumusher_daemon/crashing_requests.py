"""Spreads the news of crashing requests: suspicions at once, convictions for good."""

import asyncio

from returns.result import Success

__all__ = ["CONVICTIONS_KIND", "CrashingRequests"]

CONVICTIONS_KIND = "convictions"
RETRY_S = 2.0
READ_TRIES = 30

# Least pause before a verdict is asked for again, in seconds.
SETTLE_POLL_S = 0.01


class CrashingRequests:
    """Tells the quarantine of crashes here and elsewhere.

    A request that crashes each engine that runs it must be refused on every host
    within seconds, also by hosts that start later. So a crash goes to all peers at
    once, a conviction stands on the platform, and gossip tells peers how many
    convictions a host knows, so that one which missed some asks for them.

    Parameters
    ----------
    quarantine : Quarantine
        Decides who is a suspect and who is convicted.
    client : PlatformClient
        Keeps convictions.
    clock, log : callable
        Boot-time clock and structured log.
    tell_all : coroutine function
        ``await tell_all(message)`` reaches the peers.
    track : callable
        ``track(task)`` keeps a task until it is done.
    on_settled : callable
        Called once crashes have been judged: suspects that waited may run.
    """

    def __init__(self, quarantine, client, clock, log, tell_all, track, on_settled):
        self._quarantine = quarantine
        self._client = client
        self._clock = clock
        self._log = log
        self._tell_all = tell_all
        self._track = track
        self._on_settled = on_settled

    async def load(self):
        """Read the convictions that stand on the platform, when it answers."""
        for _ in range(READ_TRIES):
            result = await self._client.list(CONVICTIONS_KIND)
            if isinstance(result, Success):
                for item in result.unwrap().items:
                    reason = str(item.value.get("reason", "convicted"))
                    self._quarantine.add_conviction(item.name, reason)
                return
            await asyncio.sleep(RETRY_S)

    def on_crash(self, endpoint):
        """Take note that an engine of ours crashed."""
        running = list(self._quarantine.running.get(endpoint, ()))
        past_prompt = sorted(self._quarantine.past_prompt.get(endpoint, ()))
        convicted = self._quarantine.on_crash(self._clock(), endpoint)
        self._publish(convicted)
        self._settle_later()
        # A crash that a conviction has just explained makes nobody else suspect.
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
            self._track(asyncio.ensure_future(self._tell_all(message)))

    def hear_crash(self, suspicions, past_prompt):
        """Take a peer's word of a crash and of what ran there.

        Parameters
        ----------
        suspicions : dict
            Endpoints lost by fingerprint.
        past_prompt : list of str
            The fingerprints whose prompt had been got through.
        """
        now_s = self._clock()
        convicted = self._quarantine.on_suspicions(now_s, suspicions, past_prompt)
        self._publish(convicted)
        self._settle_later()

    def _settle_later(self):
        """Judge what has been lost once the other hosts have had time to tell."""
        if self._quarantine.pending_crashes:
            self._track(asyncio.ensure_future(self._settle()))

    async def _settle(self):
        # A timer may fire a little before its time by the other clock, and nobody
        # would ask again: suspects would wait for a verdict for good.
        while self._quarantine.pending_crashes:
            due_s = self._quarantine.evaluation_due_s
            await asyncio.sleep(max(SETTLE_POLL_S, due_s - self._clock()))
            self._publish(self._quarantine.evaluate_due(self._clock()))
        self._on_settled()

    def hear_convictions(self, convictions):
        """Take a peer's convictions.

        Parameters
        ----------
        convictions : dict
            Reason by fingerprint.
        """
        for fingerprint, reason in convictions.items():
            if self._quarantine.status_of(fingerprint) != "convicted":
                self._quarantine.add_conviction(fingerprint, reason)

    def _publish(self, convicted):
        """Make convictions known to peers and let the platform keep them."""
        for convict in convicted:
            self._log(
                "warning",
                "request_convicted",
                fingerprint=convict.fingerprint,
                endpoints=",".join(convict.endpoints),
            )
            self._track(asyncio.ensure_future(self._keep(convict)))
        if convicted:
            reasons = dict(self._quarantine.convictions)
            message = {"type": "convictions", "convictions": reasons}
            self._track(asyncio.ensure_future(self._tell_all(message)))

    async def _keep(self, convict):
        """Write a conviction to the platform, unless it stands there already."""
        reason = self._quarantine.convictions.get(convict.fingerprint, "convicted")
        value = {"reason": reason, "engines": list(convict.endpoints)}
        for _ in range(READ_TRIES):
            result = await self._client.write(
                CONVICTIONS_KIND, convict.fingerprint, value, 0
            )
            if isinstance(result, Success) or result.failure().kind == "conflict":
                return
            await asyncio.sleep(RETRY_S)
