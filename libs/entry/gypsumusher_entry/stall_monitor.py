"""Detection of endpoints that stop responding while their connections stay open.

Requests at such an endpoint wait until their callers leave, which doesn't count as a
failed send. Without this monitor the endpoint looks idle and healthy, and keeps getting
more work.
"""

import asyncio

from gypsumusher_process import keep_running

__all__ = ["PendingResponse", "StallMonitor"]

CHECK_INTERVAL_S = 0.1
# A request that keeps waiting counts as another failure after this time, so that the
# endpoint stays excluded for as long as it is silent.
RECOUNT_INTERVAL_S = 1.0
# An endpoint that has sent this host anything within this time isn't silent. One with a
# few streams sends several events in it.
SILENCE_S = 0.6


class PendingResponse:
    """One request that waits for the next bytes of an endpoint.

    Parameters
    ----------
    request_id : str
        The request.
    state : EndpointState
        The endpoint.
    due_s : float
        Time on the monotonic clock from which the next bytes are overdue, in seconds.
    """

    def __init__(self, request_id, state, due_s):
        self.request_id = request_id
        self.state = state
        self.due_s = due_s
        # Host through which the request was sent; None if directly.
        self.relay = None

    @property
    def is_link_down(self):
        """Whether silence is explained by this host's own link."""
        return self.relay is None and self.state.path.is_down


class StallMonitor:
    """Counts failures of silent endpoints while requests are waiting for them.

    Parameters
    ----------
    clock, log : callable
        Monotonic clock in seconds, and structured log.
    wait_for_tick : callable
        Coroutine function ``wait_for_tick(period_s)`` that waits for the next check.
    """

    def __init__(self, clock, log, wait_for_tick):
        self._clock = clock
        self._log = log
        self._wait_for_tick = wait_for_tick
        self._pending = set()
        self._task = None

    async def start(self):
        """Start the checks."""
        self._task = keep_running(self._run, self._log)

    async def close(self):
        """Stop the checks."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)

    def begin(self, request_id, state, limit_s):
        """Monitor a request that was just sent.

        Parameters
        ----------
        request_id : str
            The request.
        state : EndpointState
            The endpoint that it was sent to.
        limit_s : float
            Time until it is overdue, in seconds.

        Returns
        -------
        PendingResponse
            The caller sets its ``due_s`` anew after each sign of life.
        """
        now_s = self._clock()
        pending = PendingResponse(request_id, state, now_s + limit_s)
        self._pending.add(pending)
        return pending

    def end(self, pending):
        """Stop monitoring a request."""
        self._pending.discard(pending)

    def check(self, now_s):
        """Count a failure of each endpoint with an overdue request."""
        for pending in self._pending:
            if now_s < pending.due_s:
                continue
            late_s = now_s - pending.due_s
            pending.due_s = now_s + RECOUNT_INTERVAL_S
            if pending.is_link_down:
                continue
            if pending.state.has_answered_since(now_s - SILENCE_S):
                # The endpoint is busy, not silent: it serves this request after others.
                continue
            pending.state.health.on_failure(now_s, "silent")
            self._log(
                "warning",
                "endpoint_overdue",
                id=pending.request_id,
                endpoint=pending.state.record.endpoint_id,
                late_s=round(late_s, 2),
                penalty=round(pending.state.health.penalty(now_s), 2),
            )

    async def _run(self):
        while True:
            await self._wait_for_tick(CHECK_INTERVAL_S)
            self.check(self._clock())
