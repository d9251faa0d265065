"""Streams whose caller has gone: cancelled unless somebody takes them up."""

import asyncio

__all__ = ["RESUME_GRACE_S", "AbandonedStreams"]

# A caller whose host or connection died reconnects within a second or two. Longer
# would let engines work for nobody.
RESUME_GRACE_S = 5.0


class AbandonedStreams:
    """Ends the engine's work for callers who have gone, after a grace.

    Without the grace a caller that lost its connection could not resume: the host it
    comes to would find its stream cancelled. Without the cancel an engine would go on
    working for callers who gave up, which at peak are the ones that waited longest.

    Parameters
    ----------
    sessions : EngineSessions
        HTTP to endpoints.
    log : callable
        Structured log.
    """

    def __init__(self, sessions, log):
        self._sessions = sessions
        self._log = log
        self._pending = {}
        self._tasks = set()

    def leave(self, task, find_place):
        """Note that the caller of a running request has gone.

        Parameters
        ----------
        task : asyncio.Task
            Sees the request through.
        find_place : callable
            Returns the ``StreamPlace`` of its stream, or None before there is one.
        """
        if task.done():
            return
        place = find_place()
        if place is None or not place.stream_id:
            # Nothing was handed to the caller by which it could resume.
            task.cancel()
            return
        end = asyncio.ensure_future(self._end_later(task, place))
        self._pending[place.stream_id] = end
        self._tasks.add(end)
        end.add_done_callback(self._tasks.discard)

    def taken_up(self, stream_id):
        """Note that a caller has resumed a stream, here or through another host.

        Parameters
        ----------
        stream_id : str
            The engine's name of the stream.
        """
        end = self._pending.pop(stream_id, None)
        if end is not None:
            end.cancel()

    async def close(self):
        """Stop waiting; the engines' own retention ends what is left."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _end_later(self, task, place):
        """Cancel the engine's work after the grace."""
        await asyncio.sleep(RESUME_GRACE_S)
        self._pending.pop(place.stream_id, None)
        self._log("info", "stream_cancelled", stream=place.stream_id)
        task.cancel()
        await self._sessions.cancel(place.address, place.stream_id)
