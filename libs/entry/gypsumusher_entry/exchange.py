"""One request of a caller, from its arrival to the final response."""

import asyncio

from gypsumusher_entry.errors import (
    LIMITED,
    PAUSED,
    CrashingContentError,
    NoRetryError,
    OverloadedError,
)
from gypsumusher_entry.service_exchange import serve_from_service
from gypsumusher_entry.stream_exchange import serve_stream
from gypsumusher_http import CallError
from gypsumusher_platform import encode_refusal
from gypsumusher_ports import ANY_TIMES, STREAM, Refusal
from gypsumusher_routing import (
    UNLIMITED,
    FirstEventLimits,
    RoutingRequest,
    RunAccount,
    SendCounter,
    SendFate,
    abandoned_after_s,
    content_keys,
    ends_in_time,
    first_event_limit_s,
    pick_service,
    spread_retry_after_s,
)

__all__ = ["Exchange", "create_handler"]

# ``Retry-After`` of a host that has no configuration yet: it lists the store at once,
# or asks a peer some tenths of a second later.
NO_CONFIGURATION_RETRY_AFTER_S = 0.4
# ``Retry-After`` when no endpoint is known or healthy: entries and crashed endpoints
# are back within a few seconds.
NO_ENDPOINT_RETRY_AFTER_S = 1.0
# A caller refused for overload is told to retry when the queue has shrunk so far that
# the request would start after this fraction of its time limit.
OVERLOAD_START_FRACTION = 0.5
MIN_RETRY_AFTER_S = 0.3
# Least time limit sent to an endpoint: no work fits into less.
MIN_ENDPOINT_TIME_S = 0.005
# Most parts of a prompt that a log line names.
LOGGED_PARTS_MAX = 12
# ``Retry-After`` of a host that stops: another one can serve the request at once.
STOPPING_RETRY_AFTER_S = 0.05
# Network overhead of a response on its way to the caller. An endpoint must not go on
# with a response that would arrive too late.
RESPONSE_OVERHEAD_S = 0.01


class Exchange:
    """State of one request while it is served.

    Parameters
    ----------
    context : Context
        Shared state.
    request : CallerRequest
        The request.
    reply : Reply
        Writer of the response to the caller.
    """

    def __init__(self, context, request, reply):
        self.context = context
        self.request = request
        self.reply = reply
        self.arrived_s = context.clock()
        self.route = None
        self.account = None
        # Share of its account and class, determined once for all sends.
        self.share = UNLIMITED
        self.service = None
        self.deadline_at_s = self.arrived_s
        self.first_output_at_s = None
        self.runs = RunAccount()
        self.send_counter = SendCounter()
        self.last_sent_s = None
        # Connections on which the request was sent, prefill calls included.
        self.used_connections = []
        self.event_count = 0
        self.longest_pause_s = 0.0
        self.run_endpoint_id = None
        # Software version that has written all events so far, those of the caller's
        # earlier attempts included; None before the first.
        self.software_version = None
        # Host through which the last send went; None if it went directly.
        self.relay = None
        self.prefill_endpoint_id = None
        # Engine at which room to decode the prompt is reserved; see `prefill_prompt`.
        self.reserved_state = None
        # Whether the run under way has brought an event, and whether it has gone on
        # for so long that its prompt didn't crash the engine.
        self.has_run_events = False
        self.has_run_survived = False
        # Keys of the refusal that this request is a trial of, if it is one.
        self.trial_keys = None
        self._is_usage_counted = False
        self._content_keys = None
        self._time_limit = None
        self._refused_for_s = None
        self.outcome = None

    @property
    def is_resumed(self):
        """Whether the caller takes up a stream of which it has events."""
        request = self.request
        return bool(request.last_event_id) or request.resumed_id is not None

    @property
    def may_have_run(self):
        """Whether an endpoint may have run the request, or may still run it."""
        return self.runs.may_have_run

    @property
    def is_prompt(self):
        """Whether the request asks for a stream of generated text."""
        return self.route.kind == STREAM and self.request.generation is not None

    @property
    def is_repeatable(self):
        """Whether the request may run more than once."""
        return self.route.kind == ANY_TIMES or self.route.is_resumable

    @property
    def priority(self):
        """Priority of the request: that of its account, or else of its route."""
        if self.account is not None and self.account.priority is not None:
            return self.account.priority
        return self.route.priority

    @property
    def sent_rank(self):
        """Rank that engines are told: the first for a class that would starve."""
        return 0 if self.share.is_protected else self.priority

    @property
    def account_name(self):
        """Name of the client account, or None."""
        return None if self.account is None else self.account.name

    @property
    def content_keys(self):
        """Fingerprints of the request's content; see `ContentKeys`."""
        if self._content_keys is None:
            self._content_keys = content_keys(self.request, self.account_name)
        return self._content_keys

    @property
    def fingerprint(self):
        """Fingerprint of the request's whole content."""
        return self.content_keys.whole

    @property
    def logged_parts(self):
        """Ids of the prompt's first parts, without its own last one, for the log."""
        generation = self.request.generation
        if generation is None:
            return None
        ids = [f"{part.part_id:x}" for part in generation.parts[:-1]]
        return ",".join(ids[:LOGGED_PARTS_MAX]) or None

    @property
    def remaining_s(self):
        """Time until the caller's or the route's time limit ends, in seconds."""
        return self.deadline_at_s - self.context.clock()

    @property
    def served_for_s(self):
        """Time until the final response goes out at the latest, in seconds."""
        if not self.is_limited_by_stop:
            return self.remaining_s
        return self.context.requests_end_at_s - self.context.clock()

    @property
    def objective_remaining_s(self):
        """Time until the response or its first event is late, in seconds."""
        return self.arrived_s + self.route.objective_s - self.context.clock()

    @property
    def first_event_limits(self):
        """Time limits within which the first event of a stream is still of use."""
        route = self.route
        waited_s = self.context.clock() - self.arrived_s
        abandoned_s = abandoned_after_s(route.objective_s, route.max_event_gap_s)
        until_abandoned_s = min(abandoned_s - waited_s, self.remaining_s)
        wanted_s = first_event_limit_s(
            abandoned_s - waited_s, self.request.generation, self.remaining_s
        )
        return FirstEventLimits(wanted_s, until_abandoned_s)

    @property
    def routing_request(self):
        """What the request asks of the engines, with its time limits."""
        return RoutingRequest(
            self.request.generation,
            self.route.objective_s,
            self.objective_remaining_s,
            self.first_event_limits,
            self.expected_event_count or 1.0,
            self.share,
        )

    @property
    def tokens_per_event(self):
        """Estimate of how many tokens one event of this route stands for."""
        return self.context.cost_model(self.service).tokens_per_event(self.route.name)

    @property
    def estimated_tokens(self):
        """Response tokens as estimated by the caller, or else its limit."""
        generation = self.request.generation
        return generation.expected_output_tokens or generation.max_output_tokens

    @property
    def expected_event_count(self):
        """Expected number of events of the response; None when unknown."""
        return self.tokens_per_event.expected_events(self.estimated_tokens)

    @property
    def endpoint_time_limit_s(self):
        """Time within which an endpoint has to finish, in seconds."""
        return max(MIN_ENDPOINT_TIME_S, self.served_for_s - RESPONSE_OVERHEAD_S)

    def expected_response_s(self, wait_s=0.0):
        """Return the time that a response may take from now on, in seconds.

        Parameters
        ----------
        wait_s : float
            Expected time until the first event of a stream, in seconds.

        Returns
        -------
        float or None
            None when unknown.
        """
        if self.is_prompt:
            events = self.expected_event_count
            if events is not None:
                cost_model = self.context.cost_model(self.service)
                return wait_s + events * cost_model.event_gap_s
        return self.context.response_times.expected_s(self.route.name)

    def ends_before_stop(self, wait_s=0.0):
        """Return whether the request, sent now, can be expected to end in time.

        Parameters
        ----------
        wait_s : float
            Expected time until the first event of a stream, in seconds.
        """
        end_at_s = self.context.requests_end_at_s
        if end_at_s is None or self.reply.is_started:
            return True
        now_s = self.context.clock()
        return ends_in_time(
            self.expected_response_s(wait_s),
            self.route.objective_s,
            self.remaining_s,
            end_at_s - now_s,
            self.is_repeatable,
        )

    def refuse_as_stopping(self, wait_s=0.0):
        """Refuse the request, because the host ends before it would.

        Parameters
        ----------
        wait_s : float
            Expected time until the first event of a stream, in seconds.
        """
        expected_s = self.expected_response_s(wait_s)
        left_s = self.context.requests_end_at_s - self.context.clock()
        self.log(
            "info",
            "request_refused",
            reason="stopping",
            route=self.route.name,
            expected_s=None if expected_s is None else round(expected_s, 2),
            is_repeatable=self.is_repeatable,
            left_s=round(left_s, 2),
        )
        self.refuse(503, "stopping", STOPPING_RETRY_AFTER_S)

    @property
    def is_limited_by_stop(self):
        """Whether this host stops before the request's own time limit ends."""
        end_at_s = self.context.requests_end_at_s
        return end_at_s is not None and end_at_s < self.deadline_at_s

    def on_stop(self):
        """End the request before the host ends, with a final response."""
        if self._time_limit is None or self._time_limit.expired():
            return
        if self.is_limited_by_stop and self._refused_for_s is None:
            now_s = asyncio.get_running_loop().time()
            self._time_limit.reschedule(now_s + self.served_for_s)

    def record_duration(self):
        """Record how long the response took, or that there was none for so long."""
        took_s = self.context.clock() - self.arrived_s
        self.context.response_times.learn(self.route.name, took_s)

    def stream_endpoints(self):
        """Return the endpoints that may run this stream now, or prefill its prompt.

        A stream that has begun goes on at its software version only. The prompt may be
        prefilled by any.
        """
        context, service = self.context, self.service
        if self.software_version is not None:
            versions = (self.software_version,)
        else:
            versions = context.version_records.beginning_versions(service)
        if versions is None:
            return context.sendable_endpoints(service)
        return context.sendable_endpoints(
            service,
            lambda state: (
                state.stage == "prefill" or state.record.software_version in versions
            ),
        )

    def reserve_send(self):
        """Take a retry from the budget if the next send needs one that isn't held yet.

        Raises
        ------
        NoRetryError
            When this host's share of the budget is used up.
        CrashingContentError
            When the request's content crashes endpoints.
        """
        if self.context.crash_reports.refused_for_s(self):
            raise CrashingContentError(f"content={self.fingerprint.hex()}")
        if not self.try_reserve_send():
            raise NoRetryError(f"service={self.service}")

    def try_reserve_send(self):
        """Like `reserve_send`, but return whether the request may be sent."""
        if not self.send_counter.needs_retry():
            return True
        decision = self.context.take_retry(self.service, self.send_counter)
        counts = self.context.hosts.counts()
        self.log(
            "info",
            "retry_taken" if decision.is_allowed else "retry_withheld",
            service=self.service,
            left=round(decision.retries_left, 2),
            most=round(decision.max_retries, 2),
            under_way=decision.under_way,
            hosts=decision.hosts,
            recorded=counts.recorded,
            reported=counts.reported,
            lost=decision.unanswered[SendFate.LOST],
            gone=decision.unanswered[SendFate.GONE],
            overtaken=decision.unanswered[SendFate.OVERTAKEN],
            expired=decision.unanswered[SendFate.EXPIRED],
        )
        return decision.is_allowed

    def take_limit(self, state):
        """Use an endpoint's limit for a send; return whether it may be made."""
        is_reserved = self.reserved_state is state
        if is_reserved:
            self.reserved_state = None
        return self.context.endpoint_limits.take(state, is_reserved)

    def release_limit(self):
        """Give back the reserved room to decode the prompt, if there is any."""
        state, self.reserved_state = self.reserved_state, None
        if state is not None:
            self.context.endpoint_limits.release(state)

    async def run_within_time_limit(self, serve):
        """Serve the request; refuse it when its time or its content forbids to go on.

        Parameters
        ----------
        serve : callable
            Coroutine function that serves an exchange.
        """
        try:
            async with asyncio.timeout(self.served_for_s) as self._time_limit:
                await serve(self)
        except TimeoutError:
            if self._refused_for_s is not None:
                self.refuse(503, CrashingContentError.reason, self._refused_for_s)
                return
            # The time limit is over: the final response goes out now, whatever an
            # endpoint is still doing.
            if self.may_have_run:
                self.record_duration()
                self.refuse(504, "stopping" if self.is_limited_by_stop else "timeout")
            elif self.is_limited_by_stop:
                self.refuse_as_stopping()
            else:
                self.refuse(503, "timeout", NO_ENDPOINT_RETRY_AFTER_S)
        finally:
            self._time_limit = None

    def should_end_for(self, refused_keys):
        """Return whether a refusal of parts ends this request.

        One whose prompt hasn't crashed the engine that runs it goes on, and so does
        one whose whole content is refused: not all hosts have been asked for that.
        """
        if self._time_limit is None or self.has_run_events:
            return False
        keys = self.content_keys
        return refused_keys <= keys.parts and refused_keys != self.trial_keys

    def end_as_refused(self, for_s):
        """End the request: from now on its content is refused.

        Parameters
        ----------
        for_s : float
            How long, in seconds.
        """
        if self._time_limit is None or self._time_limit.expired():
            return
        self._refused_for_s = for_s
        self._time_limit.reschedule(asyncio.get_running_loop().time())

    def record_usage(self, began_s):
        """Count the request for its account, once.

        Parameters
        ----------
        began_s : float
            When an endpoint began to run it, in seconds.
        """
        if self.account is None or self._is_usage_counted:
            return
        self._is_usage_counted = True
        self.context.record_usage(self.account.name, began_s)

    def log(self, level, event, **fields):
        """Log an event of this request."""
        self.context.log(level, event, id=self.request.request_id, **fields)

    def refuse(self, status, reason, retry_after_s=None):
        """Send a final error response of this host's own.

        If an endpoint may have run the request, 503 becomes 502 and ``Retry-After`` is
        left out: both would tell the caller that nothing ran and that it may send the
        request again.
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

    def forward_response(self, head, body):
        """Forward an endpoint's complete response."""
        self.first_output_at_s = self.context.clock()
        if head.status < 500:
            self.record_duration()
        self.reply.send(head.status, head.headers, body)
        self.outcome = f"{head.status}:answered"

    def finish_unanswered(self, failed_response, error, retry_after_s):
        """Send the final response when no send produced one to forward.

        Parameters
        ----------
        failed_response : (ResponseHead, bytes) or None
            An endpoint's own error response; it is forwarded unless the response to the
            caller has already started.
        error : CallError, NoRetryError or None
            How the last send failed; None when there was no endpoint to send to.
        retry_after_s : float
            ``Retry-After`` in seconds.
        """
        if failed_response is not None and not self.reply.is_started:
            self.forward_response(*failed_response)
            return
        if not self.may_have_run and not self.ends_before_stop():
            self.refuse_as_stopping()
            return
        reason = "no_endpoint" if error is None else error.reason
        states = self._serving_endpoints()
        paused_s = self.context.endpoint_notices.retry_after_s(states)
        if error is not None and reason not in (LIMITED, PAUSED):
            self.refuse(503, reason, max(retry_after_s, paused_s or 0.0))
            return
        why, wait_s = PAUSED, paused_s
        if wait_s is None:
            why, wait_s = LIMITED, self._limited_s(states)
        if wait_s is not None:
            reason, retry_after_s = why, wait_s
            self.log(
                "info",
                "request_refused",
                reason=reason,
                endpoints=len(states),
                retry_after_s=round(wait_s, 2),
            )
        self.refuse(503, reason, retry_after_s)

    def _serving_endpoints(self):
        """Return the endpoints of the service that can serve a request alone.

        Engines that only prefill can't, and those that decode can.
        """
        states = self.context.endpoints.of_service(self.service)
        return [state for state in states if state.stage != "prefill"] or states

    def _limited_s(self, states):
        """Return when endpoints have room that limits or pauses keep the request from.

        None if neither keeps it from all of them.
        """
        notices = self.context.endpoint_notices
        paused = [state for state in states if notices.pause_left_s(state.record)]
        others = [state for state in states if state not in paused]
        limited_s = self.context.endpoint_limits.retry_after_s(others)
        if limited_s is None or not paused:
            return limited_s
        return min(limited_s, notices.retry_after_s(paused))


def create_handler(context):
    """Return the coroutine function that serves one request of a caller.

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
        context.exchanges.add(exchange)
        context.metrics.on_request_start()
        try:
            await _serve(exchange)
        except asyncio.CancelledError:
            # The listener has refused it, or its caller has left.
            exchange.outcome = "refused" if reply.is_ended else "caller_left"
            raise
        finally:
            context.exchanges.discard(exchange)
            exchange.send_counter.has_ended = True
            _record_end(exchange)

    return handle


async def _serve(exchange):
    """Find the route of a request and serve it within its time limit."""
    context, request = exchange.context, exchange.request
    if context.configuration is None:
        exchange.refuse(503, "no_configuration", NO_CONFIGURATION_RETRY_AFTER_S)
        return
    route = context.routes.find(request.host, request.target)
    if route is None:
        exchange.refuse(404, "no_route")
        return
    exchange.route = route
    access = await _check_access(exchange)
    if access.refusal is not None:
        exchange.log(
            "info",
            "request_refused",
            reason=access.refusal.reason,
            version=context.configuration_version,
            age_s=round(context.configuration_age_s(), 3),
        )
        exchange.refuse(*access.refusal)
        return
    exchange.account = access.account
    time_limit_s = route.timeout_s
    if request.caller_timeout_s is not None:
        time_limit_s = min(time_limit_s, request.caller_timeout_s)
    exchange.deadline_at_s = exchange.arrived_s + time_limit_s
    # A prompt's time is known only once its engine can be chosen.
    if not exchange.is_prompt and not exchange.ends_before_stop():
        exchange.refuse_as_stopping()
        return
    refused_for_s = context.crash_reports.refused_for_s(exchange, may_try=True)
    if refused_for_s:
        exchange.log(
            "info",
            "request_refused",
            reason=CrashingContentError.reason,
            content=exchange.fingerprint.hex(),
            parts=exchange.logged_parts,
            left_s=round(refused_for_s, 1),
        )
        exchange.refuse(503, CrashingContentError.reason, refused_for_s)
        return
    exchange.service = pick_service(route, context.draw_uniform)
    serve = serve_stream if route.kind == STREAM else serve_from_service
    try:
        await exchange.run_within_time_limit(serve)
    except OverloadedError as error:
        exchange.log("info", "request_refused", reason="overloaded", detail=error)
        # By then the queue is short enough for the request to start within its limit.
        wait_s = error.expected_s - OVERLOAD_START_FRACTION * error.limit_s
        wait_s = max(MIN_RETRY_AFTER_S, wait_s)
        retry_after_s = spread_retry_after_s(
            wait_s, exchange.share, context.draw_uniform()
        )
        exchange.refuse(503, "overloaded", retry_after_s)
    except CallError as error:
        exchange.refuse(503, error.reason, NO_ENDPOINT_RETRY_AFTER_S)


async def _check_access(exchange):
    """Return whether the request's key is in force; look for a newer configuration.

    Without that, a key that was just added is refused by a host that is a little late.
    """
    context = exchange.context
    access = context.check_access(exchange.route, exchange.request.key)
    if access.refusal is None or access.refusal.retry_after_s is None:
        return access
    if context.confirm_configuration is not None:
        await context.confirm_configuration()
        access = context.check_access(exchange.route, exchange.request.key)
    return access


def _record_end(exchange):
    """Log and count the end of a request."""
    context = exchange.context
    route = exchange.route
    now_s = context.clock()
    first_s = None
    if exchange.first_output_at_s is not None:
        first_s = exchange.first_output_at_s - exchange.arrived_s
    context.metrics.on_request_end(
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
        rank=exchange.priority if route is not None else None,
        account=exchange.account_name,
        service=exchange.service,
        version=context.configuration_version,
        sends=exchange.send_counter.arrivals,
        repeats=exchange.send_counter.repeats or None,
        retries=exchange.send_counter.retries or None,
        endpoint=exchange.run_endpoint_id,
        software=exchange.software_version,
        resumed_after=exchange.request.last_event_id,
        resumed_id=exchange.request.resumed_id,
        relay=exchange.relay,
        # Set only when the request ended while its prompt was waiting for prefill.
        waited_at=exchange.prefill_endpoint_id,
        events=exchange.event_count or None,
        parts=exchange.logged_parts,
        objective_ms=None if route is None else round(route.objective_s * 1000),
        pause_ms=round(exchange.longest_pause_s * 1000) or None,
        pause_limit_ms=_pause_limit_ms(exchange),
        first_ms=None if first_s is None else round(first_s * 1000),
        took_ms=round((now_s - exchange.arrived_s) * 1000),
        left_ms=round((exchange.deadline_at_s - now_s) * 1000),
    )


def _pause_limit_ms(exchange):
    """Return the longest pause between events that the route allows.

    None for responses without events and for routes without such a limit.
    """
    if not exchange.event_count or exchange.route.max_event_gap_s is None:
        return None
    return round(exchange.route.max_event_gap_s * 1000)
