"""One caller's request from its arrival to its final answer."""

import asyncio

from gypsumusher_entry.errors import NoRetryError, OverloadedError
from gypsumusher_entry.service_exchange import serve_from_service
from gypsumusher_entry.stream_exchange import serve_stream
from gypsumusher_http import CallError
from gypsumusher_platform import encode_refusal
from gypsumusher_ports import STREAM, Refusal
from gypsumusher_routing import (
    FirstEventLimits,
    RoutingRequest,
    SendCounter,
    abandoned_after_s,
    first_event_limit_s,
    pick_service,
)

__all__ = ["Exchange", "create_handler"]

# When to come back to a host that has no configuration yet, in seconds: it lists the
# store at once, or asks a peer some tenths of a second later.
NO_CONFIGURATION_RETRY_S = 0.4
# When to come back when no endpoint is known or well, in seconds: entries and crashed
# endpoints are back within a few seconds.
NO_ENDPOINT_RETRY_S = 1.0
# Part of its limit in which a request that comes back should begin, and the least
# time until then, in seconds.
OVERLOAD_PART = 0.5
LEAST_RETRY_S = 0.3
# Time left to a caller that is too short for any work, in seconds.
LEAST_PATIENCE_S = 0.005
# What the way back takes, in seconds: an endpoint must not work on for an answer that
# would come too late.
WAY_BACK_S = 0.01


class Exchange:
    """What is known of one request while it is served.

    Parameters
    ----------
    context : Context
        Shared state.
    request : CallerRequest
        The request.
    reply : Reply
        Where the answer goes.
    """

    def __init__(self, context, request, reply):
        self.context = context
        self.request = request
        self.reply = reply
        self.arrived_s = context.clock()
        self.route = None
        self.service = None
        self.ends_s = self.arrived_s
        self.first_s = None
        self.possible_runs = 0
        self.account = SendCounter()
        self.events = 0
        self.longest_pause_s = 0.0
        self.ran_at = None
        self.waits_at = None
        self.outcome = None

    @property
    def may_have_run(self):
        """Whether an endpoint may have run the request, or may yet."""
        return self.possible_runs > 0

    @property
    def left_s(self):
        """Time until the caller or the operator expects an end, in seconds."""
        return self.ends_s - self.context.clock()

    @property
    def objective_left_s(self):
        """Time until the answer, or its first event, is late, in seconds."""
        return self.arrived_s + self.route.objective_s - self.context.clock()

    @property
    def first_event_limits(self):
        """Until when the first event of a stream is of use."""
        route = self.route
        waited_s = self.context.clock() - self.arrived_s
        abandoned_s = abandoned_after_s(route.objective_s, route.max_event_gap_s)
        given_up_s = min(abandoned_s - waited_s, self.left_s)
        wanted_s = first_event_limit_s(
            abandoned_s - waited_s, self.request.generation, self.left_s
        )
        return FirstEventLimits(wanted_s, given_up_s)

    @property
    def wish(self):
        """What is asked of the engines, and until when."""
        return RoutingRequest(
            self.request.generation,
            self.route.objective_s,
            self.objective_left_s,
            self.first_event_limits,
            self.expected_events or 1.0,
        )

    @property
    def event_tokens(self):
        """How many tokens of callers' estimates an event of this route stands for."""
        return self.context.learnt(self.service).tokens_per_event(self.route.name)

    @property
    def estimated_tokens(self):
        """Tokens of the answer, as far as the caller says."""
        generation = self.request.generation
        return generation.expected_output_tokens or generation.max_output_tokens

    @property
    def expected_events(self):
        """Events that the answer is expected to have; None when that isn't known."""
        return self.event_tokens.expected_events(self.estimated_tokens)

    @property
    def patience_s(self):
        """Time for which an endpoint may work, in seconds."""
        return max(LEAST_PATIENCE_S, self.left_s - WAY_BACK_S)

    def reserve_send(self):
        """Take a retry for the next send, where it needs one that isn't held yet.

        Raises
        ------
        NoRetryError
            When this host's share is spent.
        """
        if not self.try_reserve_send():
            raise NoRetryError(f"service={self.service}")

    def try_reserve_send(self):
        """As `reserve_send`; return whether the request may be sent."""
        if not self.account.needs_retry():
            return True
        decision = self.context.take_retry(self.service)
        self.account.retries += decision.is_allowed
        self.log(
            "info",
            "retry_taken" if decision.is_allowed else "retry_withheld",
            service=self.service,
            left=round(decision.retries_left, 2),
            most=round(decision.max_retries, 2),
            hosts=decision.hosts,
        )
        return decision.is_allowed

    def log(self, level, event, **fields):
        """Log a decision on this request."""
        self.context.log(level, event, id=self.request.request_id, **fields)

    def refuse(self, status, reason, retry_after_s=None):
        """Give the final answer of the system's own.

        What promises that nothing ran is changed when something may have: the status,
        and the word of when to come back, which invites the caller to send it again.
        """
        if self.may_have_run:
            status = 502 if status == 503 else status
            retry_after_s = None
        refusal = Refusal(status, reason, retry_after_s)
        headers, body = encode_refusal(refusal, self.request.request_id)
        if self.reply.is_started:
            self.reply.abort()
        else:
            self.reply.send(status, headers, body)
        self.outcome = f"{status}:{reason}"

    def deliver(self, head, body):
        """Pass an endpoint's whole answer on."""
        self.first_s = self.context.clock()
        self.reply.send(head.status, head.headers, body)
        self.outcome = f"{head.status}:answered"

    def give_up(self, failed_answer, error, retry_after_s):
        """Give the final answer when no send brought one to pass on.

        Parameters
        ----------
        failed_answer : (ResponseHead, bytes) or None
            An endpoint's own failure; it is passed on where nothing has been yet.
        error : CallError, NoRetryError or None
            How the last send failed; None when there was nowhere to send.
        retry_after_s : float
            When to come back, in seconds.
        """
        if failed_answer is not None and not self.reply.is_started:
            self.deliver(*failed_answer)
            return
        reason = "no_endpoint" if error is None else error.reason
        self.refuse(503, reason, retry_after_s)


def create_handler(context):
    """Return the coroutine that serves one request of a caller.

    Parameters
    ----------
    context : Context
        Shared state.

    Returns
    -------
    callable
        ``handle(request, reply)``.
    """

    async def handle(request, reply):
        exchange = Exchange(context, request, reply)
        context.metrics.began()
        try:
            await _serve(exchange)
        except asyncio.CancelledError:
            exchange.outcome = "caller_left"
            raise
        finally:
            _note_end(exchange)

    return handle


async def _serve(exchange):
    """Find the route, and serve within its time."""
    context, request = exchange.context, exchange.request
    if context.configuration is None:
        exchange.refuse(503, "no_configuration", NO_CONFIGURATION_RETRY_S)
        return
    route = context.routes.find(request.host, request.target)
    if route is None:
        exchange.refuse(404, "no_route")
        return
    exchange.route = route
    exchange.service = pick_service(route, context.draw)
    patience_s = route.timeout_s
    if request.caller_timeout_s is not None:
        patience_s = min(patience_s, request.caller_timeout_s)
    exchange.ends_s = exchange.arrived_s + patience_s
    serve = serve_stream if route.kind == STREAM else serve_from_service
    try:
        async with asyncio.timeout(exchange.left_s):
            await serve(exchange)
    except TimeoutError:
        # The operator's time is up: the final answer goes out now, whatever an
        # endpoint still does.
        status = 504 if exchange.may_have_run else 503
        exchange.refuse(status, "timeout", NO_ENDPOINT_RETRY_S)
    except OverloadedError as error:
        exchange.log("info", "request_refused", reason="overloaded", detail=error)
        # By then the backlog has gone so far that it would begin within its limit.
        wait_s = error.expected_s - OVERLOAD_PART * error.limit_s
        exchange.refuse(503, "overloaded", max(LEAST_RETRY_S, wait_s))
    except CallError as error:
        exchange.refuse(503, error.reason, NO_ENDPOINT_RETRY_S)


def _note_end(exchange):
    """Log and count the end of a request."""
    context = exchange.context
    route = exchange.route
    now_s = context.clock()
    first_s = None
    if exchange.first_s is not None:
        first_s = exchange.first_s - exchange.arrived_s
    context.metrics.ended(
        route.name if route is not None else "none",
        exchange.outcome,
        now_s - exchange.arrived_s,
        first_s,
    )
    exchange.log(
        "info",
        "request_ended",
        outcome=exchange.outcome,
        route=route.name if route is not None else None,
        rank=route.priority if route is not None else None,
        service=exchange.service,
        version=context.configuration_version,
        sends=exchange.account.arrivals,
        repeats=exchange.account.repeats or None,
        retries=exchange.account.retries or None,
        endpoint=exchange.ran_at,
        # Set only when the request ended while its prompt was still to be read.
        waited_at=exchange.waits_at,
        events=exchange.events or None,
        objective_ms=None if route is None else round(route.objective_s * 1000),
        pause_ms=round(exchange.longest_pause_s * 1000) or None,
        pause_limit_ms=_pause_limit_ms(exchange),
        first_ms=None if first_s is None else round(first_s * 1000),
        took_ms=round((now_s - exchange.arrived_s) * 1000),
        left_ms=round((exchange.ends_s - now_s) * 1000),
    )


def _pause_limit_ms(exchange):
    """Return the pause that a stream with events may have; None for all others."""
    if not exchange.events or exchange.route.max_event_gap_s is None:
        return None
    return round(exchange.route.max_event_gap_s * 1000)
