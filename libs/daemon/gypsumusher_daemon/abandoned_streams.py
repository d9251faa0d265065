"""Cancels streams whose caller disconnected, unless they are resumed in time."""

import asyncio

__all__ = ["RESUME_GRACE_S", "AbandonedStreams"]

# A caller whose host or connection failed reconnects within 1 to 2 s. A longer grace
# period would keep engines generating output that nobody reads.
RESUME_GRACE_S = 5.0


class AbandonedStreams:
    """Cancels the engine stream of a disconnected caller after a grace period.

    Without the grace period a caller that lost its connection could not resume: the
    host it reconnects to would find the stream cancelled. Without the cancellation an
    engine would go on generating for callers that gave up, which at peak load are the
    ones that waited longest.

    Parameters
    ----------
    sessions : EngineSessions
        HTTP sessions to endpoints.
    log : callable
        Structured log.
    """

    def __init__(self, sessions, log):
        self._sessions = sessions
        self._log = log
        self._pending = {}
        self._tasks = set()

    def on_caller_gone(self, task, find_location):
        """Schedule the cancellation of a request whose caller disconnected.

        Parameters
        ----------
        task : asyncio.Task
            Runs the request.
        find_location : callable
            Returns the ``StreamLocation`` of the request's stream, or None while the
            engine has not named it.
        """
        if task.done():
            return
        location = find_location()
        if location is None or not location.stream_id:
            # The caller has no resume token, so it can't come back for this stream.
            task.cancel()
            return
        cancellation = asyncio.ensure_future(self._cancel_after_grace(task, location))
        self._pending[location.stream_id] = cancellation
        self._tasks.add(cancellation)
        cancellation.add_done_callback(self._tasks.discard)

    def on_resumed(self, stream_id):
        """Call off the cancellation of a stream that this or another host resumed.

        Parameters
        ----------
        stream_id : str
            The stream's id on its engine.
        """
        cancellation = self._pending.pop(stream_id, None)
        if cancellation is not None:
            cancellation.cancel()

    async def close(self):
        """Drop pending cancellations; engines drop their streams after a retention."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _cancel_after_grace(self, task, location):
        """Cancel the request and its engine stream after the grace period."""
        await asyncio.sleep(RESUME_GRACE_S)
        self._pending.pop(location.stream_id, None)
        self._log("info", "stream_cancelled", stream=location.stream_id)
        task.cancel()
        await self._sessions.cancel(location.address, location.stream_id)
