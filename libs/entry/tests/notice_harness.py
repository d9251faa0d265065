"""Endpoints that say that they leave, or for how long they want no requests."""

import asyncio

from host_harness import STREAM_ROUTE
from scripted_endpoint import encode_response, request_id_of

__all__ = [
    "LEAVING",
    "LONG_PROMPT",
    "NOT_RUN",
    "PROMPT_ROUTE",
    "NoticeEndpoint",
    "ask_many",
    "healthy",
    "slow",
]

LEAVING = "Server-Leaving: 1"
NOT_RUN = "X-Gypsumusher-Not-Run: 1"
PROMPT_ROUTE = {**STREAM_ROUTE, "timeout_ms": 7000, "goal_ms": 1500}
LONG_PROMPT = {
    "X-Gypsumusher-Token-Count": "30000,4",
    "X-Gypsumusher-Deadline-Ms": "7000",
}
EVENTS = b"id: 0\ndata: x\n\n"
PREFILLED = b'{"handle": "h", "tokens": 30000, "version": 1}'


class NoticeEndpoint:
    """Script of an endpoint, plain or an engine, whose responses carry a notice.

    Attributes
    ----------
    status : str
        Status of its responses.
    extra : tuple of str
        Headers that it adds to them.
    work_s : float
        Delay of its responses, in seconds.
    """

    def __init__(self, status="200 OK", extra=(), work_s=0.0):
        self.status = status
        self.extra = extra
        self.work_s = work_s

    async def __call__(self, number, head, body, writer):
        await asyncio.sleep(self.work_s)
        content = b"whole"
        if b"X-Gypsumusher-Stage: prefill" in head:
            content = PREFILLED
        elif b"X-Gypsumusher-Token-Count" in head:
            content = EVENTS
        request_id = request_id_of(head)
        writer.write(encode_response(request_id, content, self.status, self.extra))


def healthy():
    """Return the script of an endpoint without any notice."""
    return NoticeEndpoint()


def slow():
    """Return the same with so much work that requests go to idle endpoints first."""
    return NoticeEndpoint(work_s=0.1)


async def ask_many(harness, count, prefix, **kwargs):
    """Send some requests at a time, as callers of a busy host do; return the answers.

    Parameters
    ----------
    harness : HostHarness
        The host.
    count : int
        Number of requests.
    prefix : str
        Start of their ids.
    **kwargs
        Further arguments of ``harness.ask``.
    """
    asked = []
    for number in range(count):
        request = harness.ask(request_id=f"{prefix}-{number}", **kwargs)
        asked.append(asyncio.ensure_future(request))
        await asyncio.sleep(0.02)
    return await asyncio.gather(*asked)
