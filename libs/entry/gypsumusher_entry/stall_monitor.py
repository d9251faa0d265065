"""Requests at endpoints that say nothing for too long.

Made for an endpoint that falls silent with its connections open. What was sent there
waits until its callers leave, and none of that is a failed send; so without this the
endpoint looks idle and well, and gets more work all the while.
"""

import asyncio

__all__ = ["StallMonitor", "PendingResponse"]

SWEEP_S = 0.1
# A wait that goes on is counted again after this time, in seconds, so that the endpoint
# stays left out for as long as it stays silent.
AGAIN_S = 1.0
# An endpoint that has sent anything to this host within this time isn't silent, in
# seconds. One that carries a few streams sends several events in it.
OVERDUE_SILENCE_S = 0.6


class PendingResponse:
    """One request's wait for the next bytes of an endpoint.

    Parameters
    ----------
    request_id : str
        The request.
    state : EndpointState
        The endpoint.
    due_s : float
        When the next bytes are overdue, on the steady clock.
    """

    def __init__(self, request_id, state, due_s):
        self.request_id = request_id
        self.state = state
        self.due_s = due_s


class StallMonitor:
    """Counts silent endpoints as failing while requests still wait for them.

    Parameters
    ----------
    clock, log : callable
        Steady clock in seconds, and structured log.
    next_tick : callable
        Coroutine ``next_tick(period_s)`` that waits for the next look.
    """

    def __init__(self, clock, log, next_tick):
        self._clock = clock
        self._log = log
        self._next_tick = next_tick
        self._waits = set()
        self._task = None

    async def start(self):
        """Begin to look."""
        self._task = asyncio.ensure_future(self._run())

    async def close(self):
        """Stop looking."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def begin(self, request_id, state, limit_s):
        """Watch a request that was sent just now.

        Parameters
        ----------
        request_id : str
            The request.
        state : EndpointState
            Where it was sent.
        limit_s : float
            Time until it is overdue, in seconds.

        Returns
        -------
        PendingResponse
            Its ``due_s`` is moved on with each sign of life.
        """
        now_s = self._clock()
        wait = PendingResponse(request_id, state, now_s + limit_s)
        self._waits.add(wait)
        return wait

    def end(self, wait):
        """Watch a request no longer."""
        self._waits.discard(wait)

    def look(self, now_s):
        """Count what is overdue against its endpoint."""
        for wait in self._waits:
            if now_s < wait.due_s:
                continue
            late_s = now_s - wait.due_s
            wait.due_s = now_s + AGAIN_S
            if wait.state.has_answered_since(now_s - OVERDUE_SILENCE_S):
                # It is behind, not silent: what it reads last waits long.
                continue
            wait.state.health.on_failure(now_s, "silent")
            self._log(
                "warning",
                "endpoint_overdue",
                id=wait.request_id,
                endpoint=wait.state.record.endpoint_id,
                late_s=round(late_s, 2),
                penalty=round(wait.state.health.penalty(now_s), 2),
            )

    async def _run(self):
        while True:
            await self._next_tick(SWEEP_S)
            self.look(self._clock())
