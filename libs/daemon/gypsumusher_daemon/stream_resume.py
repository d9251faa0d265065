"""Resumes a stream for a caller whose connection or entry host has failed."""

import asyncio

from gypsumusher_daemon.attempts import relay_stream
from gypsumusher_daemon.delivery import Delivery
from gypsumusher_daemon.engine_responses import StreamChecker
from gypsumusher_daemon.refusals import Refusal, refusal_body
from gypsumusher_daemon.resume_tokens import read_token, write_token

__all__ = ["ResumedStream", "start_resume"]

# Bound on the events of a resumed stream, above the largest max_tokens: the resuming
# host does not know the requested number of tokens.
EVENTS_MAX = 1_100_000
EVENT_STREAM = "text/event-stream"


class ResumedStream:
    """A resumed stream.

    Attributes
    ----------
    delivery : Delivery
        The rest of the answer.
    location : StreamLocation
        Where the stream is.
    task : asyncio.Task
        Relays the stream.
    """

    def __init__(self, location):
        self.delivery = Delivery()
        self.location = location
        self.task = None


def start_resume(token, after, keys, host, endpoints, sessions):
    """Start relaying a stream from the event after a given one.

    Parameters
    ----------
    token : str
        Resume token from the headers of the first answer.
    after : int
        Number of the last event that the caller has.
    keys : list of KeySettings
        Shared secrets of the hosts.
    host : str
        Name of this host.
    endpoints : EndpointTable
        Used to check that the engine's address has not changed.
    sessions : EngineSessions
        HTTP sessions to endpoints.

    Returns
    -------
    ResumedStream or Refusal
    """
    location = read_token(token, keys)
    if location is None:
        return Refusal("malformed", "Gypsumusher-Resume is not a valid token")
    entry = endpoints.find(location.endpoint)
    if entry is not None and entry.address != location.address:
        # Another engine has this name now, without the stream.
        return _stream_gone(location)
    resumed = ResumedStream(location)
    headers = {
        "Content-Type": EVENT_STREAM,
        "Cache-Control": "no-store",
        "Gypsumusher-Host": host,
        "Gypsumusher-Resume": write_token(location, keys),
    }
    resumed.task = asyncio.ensure_future(_relay(resumed, after, headers, sessions))
    return resumed


async def _relay(resumed, after, headers, sessions):
    """Relay the rest of a stream to its delivery."""
    location, delivery = resumed.location, resumed.delivery
    checker = StreamChecker(location.attempt, EVENTS_MAX, after)

    async def on_events(raw):
        if delivery.head is None:
            delivery.set_head(200, headers)
        await delivery.put(raw)

    try:
        result = await relay_stream(
            sessions, location.address, location.stream_id, checker, on_events
        )
        if result.reason == "done":
            delivery.close(complete=True)
            return
        body = refusal_body(_stream_gone(location), "")
        if delivery.head is None:
            delivery.set_head(502, {"Content-Type": "application/json"})
            await delivery.put(body)
            delivery.close(complete=True)
            return
        await delivery.put(b"event: error\ndata: " + body + b"\n\n")
    finally:
        if not delivery.closed:
            delivery.close(complete=False)


def _stream_gone(location):
    """Return the refusal for a stream that its engine no longer has."""
    return Refusal(
        "endpoint_failed",
        "the engine no longer has this stream; send the request again",
        "unknown",
        "resume",
        location.endpoint,
        1.0,
    )
