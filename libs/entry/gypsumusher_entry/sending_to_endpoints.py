"""Sending one request to one endpoint, with the counts of runs and failures."""

import asyncio
import contextlib
from typing import NamedTuple

from gypsumusher_entry.errors import LIMITED, OTHER_VERSION, PAUSED
from gypsumusher_http import RESPONSE_MAX_BYTES, CallError
from gypsumusher_platform import encode_endpoint_head
from gypsumusher_routing import SentRequest

__all__ = [
    "SMALL_BODY_MAX_BYTES",
    "call_engine",
    "check_response_head",
    "may_send_again",
    "record_failure",
    "silence_timeout",
    "start_send",
]

# From this penalty on, a new connection is opened for each send. A crashed endpoint
# resets a kept-alive connection only when the next request arrives, which may then have
# run; a new connection is refused before anything is sent.
NEW_CONNECTION_PENALTY = 0.2
# Failure reasons that aren't counted against the endpoint: it drains as planned, it
# serves earlier requests first, its software version isn't the stream's, it wants no
# requests for a while, or this host has used up its connections or its part of the
# endpoint's limit.
BLAMELESS_REASONS = ("left", "behind", "no_connection", OTHER_VERSION, PAUSED, LIMITED)
# Largest body of a response that holds no result for a caller: an engine's error, or
# its answer to a call.
SMALL_BODY_MAX_BYTES = 256 * 1024


class EngineReply(NamedTuple):
    """Complete response to a call that isn't a caller's request.

    Attributes
    ----------
    status : int
        HTTP status.
    body : bytes
        The complete body.
    """

    status: int
    body: bytes


async def start_send(exchange, state, send, run=None):
    """Send a request to an endpoint; return the response before its head has arrived.

    Parameters
    ----------
    exchange : Exchange
        The request.
    state : EndpointState
        The endpoint; it is checked again right before the first byte, since it may have
        started to drain while the connection was opened.
    send : SendOptions
        What this send adds to the request.
    run : PossibleRun or None
        The send in the request's account; None for a prefill, which runs nothing.

    Returns
    -------
    Response

    Raises
    ------
    CallError
        When nothing was sent, also because of the endpoint's limit.
    NoRetryError
        When this send would be a retry, and none is left in the budget.
    """
    context, record = exchange.context, state.record
    began_s = context.clock()
    try:
        connection = await _reserve_and_connect(exchange, state)
    except BaseException:
        if run is not None:
            run.on_unsent()
        raise
    context.endpoint_notices.on_send(record)
    exchange.last_sent_s = context.clock()
    exchange.relay = connection.relay
    sent = SentRequest(state.delivery, exchange.last_sent_s, connection.relay)
    exchange.send_counter.on_sent(sent)
    if exchange.send_counter.repeats:
        exchange.log(
            "info",
            "repeat_sent",
            service=exchange.service,
            step="prefill" if send.is_prefill else "run",
            endpoint=record.endpoint_id,
            sends=exchange.send_counter.arrivals,
            retries=exchange.send_counter.retries,
            software=record.software_version,
            software_before=exchange.software_version,
            events=exchange.event_count or None,
            connect_ms=round((exchange.last_sent_s - began_s) * 1000),
        )
    if run is not None:
        # Recorded before the first byte: after it, only a response of the endpoint can
        # rule out that the request ran.
        run.on_sent()
        exchange.run_endpoint_id = record.endpoint_id
    exchange.used_connections.append(connection)
    head = encode_endpoint_head(exchange.request, send)
    request_id = exchange.request.request_id or None
    exchange.reply.awaits_endpoint = True
    response = connection.send(
        head, request_id, hold=exchange.reply.hold, body=exchange.request.body
    )

    def on_head_or_lost(head):
        sent.on_head_or_lost(head is not None)
        if head is not None and not head.is_wrong_endpoint:
            context.endpoint_limits.on_head(state, head)

    response.add_head_callback(on_head_or_lost)
    return response


async def _reserve_and_connect(exchange, state):
    """Take a retry if the send needs one, and return a connection for it."""
    _check_pause(exchange.context, state.record)
    exchange.reserve_send()
    if not exchange.take_limit(state):
        raise CallError("connect", state.record.address, LIMITED, False)
    exchange.send_counter.begin()
    try:
        return await _connect(exchange, state)
    except BaseException:
        exchange.send_counter.cancel()
        exchange.context.endpoint_limits.give_back(state)
        raise


async def _connect(exchange, state):
    """Return a connection to an endpoint that still accepts new work."""
    context, record = exchange.context, state.record
    limit = context.connection_limit(record.service)
    requires_new = state.health.penalty(context.clock()) >= NEW_CONNECTION_PENALTY
    connection = await context.endpoint_connections.acquire(
        state, limit, requires_new, exchange.used_connections
    )
    if not connection.is_open:
        # It was lost between its opening and now.
        raise CallError("connect", record.address, "connect", False)
    try:
        _check_pause(context, record, connection.relay)
        if not context.endpoints.is_current(state):
            raise CallError("connect", record.address, "left", False)
    except BaseException:
        context.connection_pool.release(connection)
        raise
    return connection


def _check_pause(context, record, relay=None):
    """Raise CallError while an endpoint wants no requests from this host.

    Nor may they go through another host that it wants none from.
    """
    if context.endpoint_notices.pause_left_s(record, relay):
        raise CallError("connect", record.address, PAUSED, False)


def check_response_head(exchange, state, head, run):
    """Update the endpoint's and the request's state from the head of a response.

    Parameters
    ----------
    exchange : Exchange
        The request.
    state : EndpointState
        The endpoint.
    head : ResponseHead
        The head of its response.
    run : PossibleRun
        The send that it responds to.

    Raises
    ------
    CallError
        When the request didn't run, or when a response that looks like a success wasn't
        made by the endpoint.
    """
    record = state.record
    if head.is_wrong_endpoint:
        exchange.context.endpoints.on_wrong_endpoint(record.endpoint_id)
    is_success = 200 <= head.status < 300
    if head.is_not_run and not is_success:
        run.on_not_run()
        raise CallError("run", record.address, "full", False)
    # A result contradicts that nothing ran, whatever the response says besides.
    run.on_answered()
    if is_success and (not head.is_signed or head.has_content_encoding):
        raise CallError("run", record.address, "garbled", True)


async def call_engine(
    context, record, call, timeout_s, max_body_bytes=RESPONSE_MAX_BYTES
):
    """Make a call to an engine that isn't a caller's request.

    Parameters
    ----------
    context : Context
        Shared state.
    record : EndpointRecord
        The engine.
    call : bytes
        The encoded call.
    timeout_s : float
        Time limit of the whole call, in seconds.
    max_body_bytes : int
        Largest body of the response, in bytes.

    Returns
    -------
    EngineReply

    Raises
    ------
    CallError, TimeoutError
        When no complete response arrived.
    """
    _check_pause(context, record)
    response = None
    try:
        async with asyncio.timeout(timeout_s):
            limit = context.connection_limit(record.service)
            connection = await context.acquire(record, limit)
            response = connection.send(call, None, max_body_bytes)
            head = await response.head()
            return EngineReply(head.status, await response.body())
    finally:
        if response is not None:
            response.close()


def record_failure(exchange, state, error, **fields):
    """Log a failed send, and count it against the endpoint."""
    context = exchange.context
    now_s = context.clock()
    # Over a link that is down, a lost or silent connection shows nothing of the
    # endpoint.
    is_link_down = state.path.is_down and exchange.relay is None
    if error.reason not in BLAMELESS_REASONS and not is_link_down:
        state.health.on_failure(now_s, error.reason)
    if error.may_have_run and error.reason == "broken" and not is_link_down:
        context.crash_reports.on_lost(exchange, state)
    exchange.log(
        "warning",
        "send_failed",
        step=error.step,
        endpoint=state.record.endpoint_id,
        reason=error.reason,
        is_reset=error.is_reset or None,
        is_link_down=is_link_down or None,
        relay=exchange.relay,
        may_have_run=error.may_have_run,
        penalty=round(state.health.penalty(now_s), 2),
        own_penalty=round(state.health.own_penalty(now_s), 2),
        since_send_ms=_since_send_ms(exchange, error, now_s),
        content=exchange.fingerprint.hex() if error.may_have_run else None,
        parts=exchange.logged_parts if error.may_have_run else None,
        events=exchange.event_count or None,
        **fields,
    )


def _since_send_ms(exchange, error, now_s):
    """Return the time since the last send in ms; None if this one sent nothing."""
    if error.step == "connect" or exchange.last_sent_s is None:
        return None
    return round((now_s - exchange.last_sent_s) * 1000)


def may_send_again(exchange):
    """Return whether a request may be sent to another endpoint.

    Once bytes of a request that must run at most once may have arrived, only an
    explicit "not run" of the endpoint allows another send; otherwise a booking could be
    made twice. Nor is a request sent that would outlast a stopping host: another host
    can still serve it.

    Parameters
    ----------
    exchange : Exchange
        The request.
    """
    max_endpoints = exchange.route.max_endpoints
    if not exchange.runs.may_begin(exchange.is_repeatable, max_endpoints):
        return False
    return exchange.ends_before_stop()


@contextlib.asynccontextmanager
async def silence_timeout(exchange, silent_s, longest_s):
    """Limit the wait for an engine; end it early only if another may be tried.

    Without that condition, a request left a late engine, had no retry left for another
    one, and was refused although its response was on the way.

    Parameters
    ----------
    exchange : Exchange
        The request.
    silent_s : float
        Time after which the wait ends if the request may be sent again, in seconds;
        otherwise this is checked again each time as much time has passed.
    longest_s : float
        Time after which the wait ends in any case, in seconds.

    Raises
    ------
    TimeoutError
        When the wait is over.
    """
    loop = asyncio.get_running_loop()

    def end_wait():
        nonlocal timer
        if limit.expired():
            return
        if may_send_again(exchange) and exchange.try_reserve_send():
            limit.reschedule(loop.time())
        else:
            timer = loop.call_later(silent_s, end_wait)

    async with asyncio.timeout(longest_s) as limit:
        timer = loop.call_later(silent_s, end_wait)
        try:
            yield
        finally:
            timer.cancel()
