"""Takes up a stream for a caller whose first connection or host has gone."""

import asyncio

from gypsumusher_daemon.attempts import relay_stream
from gypsumusher_daemon.delivery import Delivery
from gypsumusher_daemon.engine_responses import StreamChecker
from gypsumusher_daemon.refusals import Refusal, refusal_body
from gypsumusher_daemon.resume_tokens import read_token, write_token

__all__ = ["ResumedStream", "begin_resume"]

# The host that takes a stream up doesn't know how long an answer was asked for.
EVENTS_MAX = 1_100_000
EVENT_STREAM = "text/event-stream"


class ResumedStream:
    """A stream that was taken up.

    Attributes
    ----------
    delivery : Delivery
        The rest of the answer.
    place : StreamPlace
        Where the stream is.
    task : asyncio.Task
        Relays it.
    """

    def __init__(self, place):
        self.delivery = Delivery()
        self.place = place
        self.task = None


def begin_resume(token, after, keys, host, endpoints, sessions):
    """Begin to relay a stream from an event on.

    Parameters
    ----------
    token : str
        What the caller got with the head of its answer.
    after : int
        Number of the last event that the caller has.
    keys : list of KeySettings
        Shared secrets of the hosts.
    host : str
        This host.
    endpoints : EndpointTable
        Must still list the engine under the same address.
    sessions : EngineSessions
        HTTP to endpoints.

    Returns
    -------
    ResumedStream or Refusal
    """
    place = read_token(token, keys)
    if place is None:
        return Refusal("malformed", "Gypsumusher-Resume is no token of ours")
    entry = endpoints.find(place.endpoint)
    if entry is not None and entry.address != place.address:
        # Another engine has this name now; it would not know the stream.
        return _gone(place)
    resumed = ResumedStream(place)
    headers = {
        "Content-Type": EVENT_STREAM,
        "Cache-Control": "no-store",
        "Gypsumusher-Host": host,
        "Gypsumusher-Resume": write_token(place, keys),
    }
    resumed.task = asyncio.ensure_future(_relay(resumed, after, headers, sessions))
    return resumed


async def _relay(resumed, after, headers, sessions):
    """Relay the rest of a stream."""
    place, delivery = resumed.place, resumed.delivery
    checker = StreamChecker(place.attempt, EVENTS_MAX, after)

    async def on_events(raw):
        if delivery.head is None:
            delivery.set_head(200, headers)
        await delivery.put(raw)

    try:
        result = await relay_stream(
            sessions, place.address, place.stream_id, checker, on_events
        )
        if result.reason == "done":
            delivery.close(whole=True)
            return
        body = refusal_body(_gone(place), "")
        if delivery.head is None:
            delivery.set_head(502, {"Content-Type": "application/json"})
            await delivery.put(body)
            delivery.close(whole=True)
            return
        await delivery.put(b"event: error\ndata: " + body + b"\n\n")
    finally:
        if not delivery.closed:
            delivery.close(whole=False)


def _gone(place):
    """Return the refusal for a stream that no engine has any more."""
    return Refusal(
        "endpoint_failed",
        "the engine no longer has this stream; send the request again",
        "unknown",
        "resume",
        place.endpoint,
        1.0,
    )
