"""One send of a request to one endpoint, with the counts that go with it."""

import asyncio
import contextlib
from typing import NamedTuple

from gypsumusher_http import CallError
from gypsumusher_platform import encode_endpoint_request
from gypsumusher_ports import ANY_TIMES

__all__ = [
    "call_engine",
    "check_response_head",
    "may_send_again",
    "record_failure",
    "start_send",
    "silence_timeout",
]

# From this penalty on an endpoint is sent to on a new connection. One that has crashed
# resets a kept connection only when the next request arrives there, which may then have
# run for all that is known; a new connection is refused before anything is sent.
FRESH_FROM_PENALTY = 0.2
# Ends of a send that say nothing against the endpoint: it leaves as planned, it reads
# what others sent first, or this host has no connection left of its share.
BLAMELESS = ("left", "behind", "no_connection")


class EngineReply(NamedTuple):
    """A whole answer to a call that isn't a request of a caller.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        The whole body.
    """

    status: int
    body: bytes


async def start_send(exchange, state, send):
    """Send a request to an endpoint; return the answer that is on its way.

    Parameters
    ----------
    exchange : Exchange
        The request.
    state : EndpointState
        The endpoint; it is checked once more right before the first byte, since it may
        have begun to leave while a connection was opened.
    send : SendOptions
        What this send adds.

    Returns
    -------
    Response

    Raises
    ------
    CallError
        When nothing was sent.
    NoRetryError
        When it would be a retry, and none may be made.
    """
    context, record = exchange.context, state.record
    exchange.reserve_send()
    exchange.account.begin()
    try:
        connection = await _connect(context, state)
    except CallError:
        exchange.account.cancel()
        raise
    exchange.account.on_sent()
    if not send.is_prefill:
        # Counted before the first byte: from here on only the endpoint's own word
        # makes it sure that nothing ran.
        exchange.possible_runs += 1
        exchange.ran_at = record.endpoint_id
    data = encode_endpoint_request(exchange.request, send)
    return connection.send(data, exchange.request.request_id or None)


async def _connect(context, state):
    """Return a connection to an endpoint that takes new work."""
    record = state.record
    limit = context.connections_max(record.service)
    is_fresh = state.health.penalty(context.clock()) >= FRESH_FROM_PENALTY
    connection = await context.acquire(record, limit, is_fresh)
    if not context.endpoints.is_current(state):
        context.pool.release(connection)
        raise CallError("connect", record.address, "left", False)
    return connection


def check_response_head(exchange, state, head):
    """Take in what the head of a run's answer says of the endpoint and of the run.

    Parameters
    ----------
    exchange : Exchange
        The request.
    state : EndpointState
        The endpoint.
    head : ResponseHead
        The head.

    Raises
    ------
    CallError
        When nothing ran, or when it looks like a success that the endpoint didn't make.
    """
    record = state.record
    if head.is_wrong_endpoint:
        exchange.context.endpoints.on_wrong_endpoint(record.endpoint_id)
    if head.is_not_run:
        exchange.possible_runs -= 1
        raise CallError("run", record.address, "full", False)
    is_success = 200 <= head.status < 300
    if is_success and (not head.is_signed or head.has_content_encoding):
        raise CallError("run", record.address, "garbled", True)


async def call_engine(context, record, call, timeout_s):
    """Make a call to an engine that isn't a request of a caller.

    Parameters
    ----------
    context : Context
        Shared state.
    record : EndpointRecord
        The engine.
    call : bytes
        The encoded call.
    timeout_s : float
        Longest time for it, in seconds.

    Returns
    -------
    EngineReply

    Raises
    ------
    CallError, TimeoutError
        When no whole answer came.
    """
    answer = None
    try:
        async with asyncio.timeout(timeout_s):
            limit = context.connections_max(record.service)
            connection = await context.acquire(record, limit)
            answer = connection.send(call, None)
            head = await answer.head()
            return EngineReply(head.status, await answer.body())
    finally:
        if answer is not None:
            answer.close()


def record_failure(exchange, state, error, **fields):
    """Log a failed send, and count it against the endpoint."""
    context = exchange.context
    now_s = context.clock()
    if error.reason not in BLAMELESS:
        state.health.on_failure(now_s, error.reason)
    exchange.log(
        "warning",
        "send_failed",
        step=error.step,
        endpoint=state.record.endpoint_id,
        reason=error.reason,
        may_have_run=error.may_have_run,
        penalty=round(state.health.penalty(now_s), 2),
        **fields,
    )


def may_send_again(exchange):
    """Say whether a request may be sent to another endpoint.

    Guards against a booking that reaches two crews: once bytes of a request that runs
    at most once may have arrived, only the endpoint's own "not run" lets it go on.

    Parameters
    ----------
    exchange : Exchange
        The request.
    """
    route = exchange.route
    if not exchange.may_have_run:
        return True
    is_idempotent = route.kind == ANY_TIMES or route.is_resumable
    return is_idempotent and exchange.possible_runs < route.max_endpoints


@contextlib.asynccontextmanager
async def silence_timeout(exchange, silent_s, longest_s):
    """Limit a wait for an engine, which is left only for another one.

    Failure guarded against: a request left an engine that was late, had no retry to go
    on with, and was refused though its answer was on the way.

    Parameters
    ----------
    exchange : Exchange
        The request.
    silent_s : float
        After how long it is left if the request may be sent again, in seconds; it is
        asked again after as long.
    longest_s : float
        Longest wait, in seconds.

    Raises
    ------
    TimeoutError
        When the wait is over.
    """
    loop = asyncio.get_running_loop()

    def leave():
        nonlocal timer
        if limit.expired():
            return
        if may_send_again(exchange) and exchange.try_reserve_send():
            limit.reschedule(loop.time())
        else:
            timer = loop.call_later(silent_s, leave)

    async with asyncio.timeout(longest_s) as limit:
        timer = loop.call_later(silent_s, leave)
        try:
            yield
        finally:
            timer.cancel()
