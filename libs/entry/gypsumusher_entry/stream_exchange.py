"""Streaming requests to engines: prefill, decode, and forwarding of the events."""

from gypsumusher_entry.errors import OTHER_VERSION, NoRetryError, OverloadedError
from gypsumusher_entry.prefill import prefill_prompt, record_prefill
from gypsumusher_entry.sending_to_endpoints import (
    SMALL_BODY_MAX_BYTES,
    check_response_head,
    may_send_again,
    record_failure,
    silence_timeout,
    start_send,
)
from gypsumusher_http import CallError
from gypsumusher_ports import SendOptions
from gypsumusher_routing import (
    HOPELESS,
    LATE,
    TIMELY,
    EventSplitter,
    OversizedEvent,
    cache_transfer_s,
    choose_decode,
    choose_endpoint,
    choose_prefill,
    urgency_of,
)

__all__ = ["serve_stream"]

# Reasons for which a stream that is taken up is refused: it isn't known which software
# version began it, and no endpoint of that version is left.
VERSION_UNKNOWN, VERSION_GONE = "version_unknown", "version_gone"
# The same where no endpoint of its service is known.
NO_ENDPOINT = "no_endpoint"
# Reason for which a prompt is refused that no engine of its service can hold.
PROMPT_TOO_LARGE = "prompt_too_large"
# Limits the sends of one request, refused ones included.
MAX_SENDS = 4
NO_CAPACITY_RETRY_AFTER_S = 1.0
# An engine counts as silent when its first event takes longer than twice the expected
# wait plus the first constant, or when the next event takes longer than the second.
# Events come every 0.1 s, and every 0.2 s under full load.
FIRST_EVENT_SLACK_S = 1.0
NEXT_EVENT_TIMEOUT_S = 1.2
# A resumable stream without its first event is moved to another engine after this
# multiple of the expected wait, but not before the minimum. Only a silent engine takes
# that long; a busy one stays within twice the expectation.
SILENCE_FACTOR = 4.0
MIN_SILENCE_S = 0.8
# Time after its first event from which on a run shows that its prompt doesn't crash
# engines.
SURVIVED_S = 0.5


async def serve_stream(exchange):
    """Serve a stream of events.

    Parameters
    ----------
    exchange : Exchange
        The request; when this returns, its response is complete.
    """
    stream = _Stream(exchange)
    try:
        await stream.run()
    finally:
        stream.free_handle()
        exchange.release_limit()


class _Stream:
    """One stream: the location of its prefilled prompt, and what was forwarded."""

    def __init__(self, exchange):
        self._exchange = exchange
        self._context = exchange.context
        self._generation = exchange.request.generation
        service = exchange.context.configuration.services.get(exchange.service)
        self._limits = None if service is None else service.engine
        self._tried_ids = set()
        self._prefilled_prompt = None
        self._last_event_id = exchange.request.last_event_id
        self._failed_response = None

    async def run(self):
        """Prefill the prompt, then send until a stream is complete or none can be."""
        exchange, context = self._exchange, self._context
        if self._is_too_large():
            self._refuse_as_too_large()
            return
        reason = await self._check_version()
        wait_s = self._expected_wait_s()
        if reason is None and not exchange.ends_before_stop(wait_s):
            exchange.refuse_as_stopping(wait_s)
            return
        context.record_request(exchange.service)
        if reason is not None:
            exchange.log(
                "info",
                "request_refused",
                reason=reason,
                service=exchange.service,
                software=exchange.software_version,
            )
            exchange.refuse(503, reason, NO_CAPACITY_RETRY_AFTER_S)
            return
        try:
            if self._is_generation():
                exchange.share = context.account_demand.on_request(
                    exchange, self._limits
                )
                self._prefilled_prompt = await prefill_prompt(exchange, self._limits)
            is_complete, error = await self._send_until_complete()
        except NoRetryError as withheld:
            is_complete, error = False, withheld
        if not is_complete:
            exchange.finish_unanswered(
                self._failed_response, error, self._retry_after_s()
            )

    def _is_too_large(self):
        """Return whether no engine of the service can hold the prompt."""
        if not self._is_generation() or self._limits.max_prompt_tokens is None:
            return False
        return self._generation.prompt_tokens > self._limits.max_prompt_tokens

    def _refuse_as_too_large(self):
        """Refuse the prompt for good: callers don't repeat a request after a 413."""
        self._exchange.log(
            "info",
            "request_refused",
            reason=PROMPT_TOO_LARGE,
            tokens=self._generation.prompt_tokens,
            max_tokens=self._limits.max_prompt_tokens,
        )
        self._exchange.refuse(413, PROMPT_TOO_LARGE)

    def _expected_wait_s(self):
        """Return the expected time until the first event if the host stops, else 0."""
        exchange, context = self._exchange, self._context
        if context.requests_end_at_s is None or not self._is_generation():
            return 0.0
        engine_pool = context.engine_pool(
            exchange.service, self._limits, exchange.stream_endpoints()
        )
        prefill = choose_prefill(
            context.clock(), engine_pool, exchange.routing_request, context.draw_uniform
        )
        return 0.0 if prefill is None else prefill.expected_s

    async def _check_version(self):
        """Find out at which software version the stream may run.

        Returns
        -------
        str or None
            Why the stream can't run now; None if it can.
        """
        exchange, context = self._exchange, self._context
        if not exchange.is_resumed:
            await context.version_records.prepare(exchange.service)
            return None
        if not context.endpoints.versions.present(exchange.service):
            return NO_ENDPOINT
        found = await context.begun_streams.find(exchange)
        if found is None:
            return VERSION_UNKNOWN
        service, version = found
        if service != exchange.service:
            exchange.service = service
            configuration = context.configuration.services.get(service)
            self._limits = None if configuration is None else configuration.engine
        exchange.software_version = version
        if version not in context.endpoints.versions.present(service):
            return VERSION_GONE
        return None

    async def _send_until_complete(self):
        """Send until a stream is complete; return success and the last error."""
        exchange = self._exchange
        error = None
        for _ in range(MAX_SENDS):
            if exchange.send_counter.arrivals >= MAX_SENDS or not may_send_again(
                exchange
            ):
                break
            state, prefill = self._choose()
            if state is None:
                break
            exchange.reserve_send()
            error = await self._run_at(state, prefill)
            if error is None:
                return True, None
            self._tried_ids.add(state.record.endpoint_id)
        return False, error

    def free_handle(self):
        """Have the engine free the prefilled prompt, if no engine fetched it."""
        prompt, self._prefilled_prompt = self._prefilled_prompt, None
        if prompt is not None:
            self._context.spawn(prompt.free(self._context))

    def _retry_after_s(self):
        """Return the ``Retry-After`` of a refusal, in seconds.

        When no engine decodes, the earliest useful time is after one has changed its
        stage.
        """
        if not self._is_generation():
            return NO_CAPACITY_RETRY_AFTER_S
        states = self._context.endpoints.of_service(self._exchange.service)
        if any(state.stage != "prefill" for state in states):
            return NO_CAPACITY_RETRY_AFTER_S
        return self._limits.role_change_s

    def _is_generation(self):
        """Return whether the request has a prompt and its service has engines."""
        return self._generation is not None and self._limits is not None

    def _choose(self):
        """Return the engine for the decode, and how the prompt is prefilled there."""
        exchange, context = self._exchange, self._context
        reserved = exchange.reserved_state
        if self._prefilled_prompt is not None and reserved is not None:
            if context.endpoints.is_current(reserved):
                return reserved, None
        exchange.release_limit()
        now_s = context.clock()
        states = exchange.stream_endpoints()
        untried = [s for s in states if s.record.endpoint_id not in self._tried_ids]
        states = untried or states
        if not self._is_generation():
            zone = context.settings.zone
            state = choose_endpoint(now_s, states, set(), zone, context.draw_uniform)
            return state, None
        engine_pool = context.engine_pool(exchange.service, self._limits, states)
        if self._prefilled_prompt is not None:
            zone = self._prefilled_prompt.state.record.zone
            state = choose_decode(
                now_s, engine_pool, exchange.routing_request, zone, context.draw_uniform
            )
            return state, None
        decoding = [s for s in states if s.stage != "prefill"]
        engine_pool = engine_pool._replace(states=decoding)
        prefill = choose_prefill(
            now_s, engine_pool, exchange.routing_request, context.draw_uniform
        )
        if prefill is None:
            return None, None
        if prefill.lane == HOPELESS:
            if not exchange.may_have_run:
                context.notify_prompt(exchange, prefill, is_begun=False)
                raise OverloadedError(
                    prefill.expected_s, exchange.first_event_limits.abandoned_s
                )
            # After a failed run the request goes on all the same: nothing else would
            # resume it.
            lane = LATE if exchange.share.is_limited else TIMELY
            prefill = prefill._replace(lane=lane)
        return prefill.state, prefill

    async def _run_at(self, state, prefill):
        """Run the request at one engine; return the error that ended it, or None."""
        exchange, context = self._exchange, self._context
        prompt, self._prefilled_prompt = self._prefilled_prompt, None
        send = SendOptions(
            state.record.endpoint_id,
            exchange.endpoint_time_limit_s,
            urgency=urgency_of(
                exchange.sent_rank, TIMELY if prefill is None else prefill.lane
            ),
            kv_source=None if prompt is None else prompt.source,
            kv_fetch=None if prefill is None else prefill.fetch_address,
            last_event_id=self._last_event_id,
            account=exchange.account_name,
        )
        possible_run = exchange.runs.begin()
        run = _EngineRun(state, prefill, context.clock(), prompt, possible_run)
        expected_s = 0.0 if prefill is None else prefill.expected_s
        pending = context.stall_monitor.begin(
            exchange.request.request_id,
            state,
            FIRST_EVENT_SLACK_S + 2.0 * expected_s,
        )
        response = None
        exchange.has_run_events = exchange.has_run_survived = False
        run.begin()
        try:
            if prefill is not None:
                context.notify_prefill_start()
                context.notify_prompt(exchange, prefill, is_begun=True)
            response = await start_send(exchange, state, send, possible_run)
            pending.relay = response.relay
            await self._forward_events(response, run, pending)
        except CallError as error:
            record_failure(exchange, state, error, kv_source=send.kv_source)
            if prompt is not None and not error.may_have_run:
                # The engine didn't fetch the prompt: another engine still can, or it
                # has to be freed.
                self._prefilled_prompt = prompt if error.step == "connect" else None
                if self._prefilled_prompt is None:
                    context.spawn(prompt.free(context))
            # Without its traceback, which would keep what was received.
            return error.with_traceback(None)
        finally:
            run.end()
            context.stall_monitor.end(pending)
            if response is not None:
                response.close()
        state.health.on_success(context.clock())
        if run.has_started:
            context.crash_reports.on_answered(exchange)
        return None

    async def _forward_events(self, response, run, pending):
        """Forward the events of one response.

        Raises
        ------
        CallError
            When the response isn't a complete stream.
        """
        exchange = self._exchange
        head = await self._await_head(response, run)
        check_response_head(exchange, run.state, head, run.possible_run)
        if not 200 <= head.status < 300:
            await self._forward_error(response, head, run.state.record.address)
            return
        splitter = EventSplitter()
        try:
            while True:
                data = await response.read()
                if not data:
                    break
                now_s = self._context.clock()
                pending.due_s = now_s + NEXT_EVENT_TIMEOUT_S
                run.state.on_answer_bytes(now_s)
                for event in self._split(splitter, data, run):
                    self._forward_event(head, event, run)
                await exchange.reply.drain()
        finally:
            exchange.reply.hold(-splitter.held_bytes)
        self._check_end(response, run, splitter)
        if not exchange.reply.is_started:
            exchange.reply.start(head.status, head.headers)
        exchange.reply.write(splitter.incomplete)
        exchange.reply.end()
        exchange.record_duration()
        if self._is_generation() and exchange.event_count:
            exchange.tokens_per_event.learn(
                exchange.estimated_tokens, exchange.event_count
            )
        exchange.outcome = f"{head.status}:streamed"

    def _split(self, splitter, data, run):
        """Return the complete events; count what the splitter holds back.

        Raises
        ------
        CallError
            When an event is too large.
        """
        held_bytes = splitter.held_bytes
        try:
            return splitter.feed(data)
        except OversizedEvent as error:
            peer = run.state.record.address
            raise CallError("run", peer, "garbled", True) from error
        finally:
            self._exchange.reply.hold(splitter.held_bytes - held_bytes - len(data))

    def _check_end(self, response, run, splitter):
        """Raise CallError if a response has ended before its stream.

        The end of a connection alone doesn't show that a stream is complete: an
        endpoint that breaks off may close it like one that is done.
        """
        is_cut = splitter.is_within_event or (
            response.ends_with_connection and not run.has_started
        )
        if response.ends_with_connection or is_cut:
            self._exchange.log(
                "info",
                "stream_ended",
                endpoint=run.state.record.endpoint_id,
                ends_with_connection=response.ends_with_connection,
                incomplete_bytes=len(splitter.incomplete),
                events=self._exchange.event_count,
                is_cut=is_cut,
            )
        if is_cut:
            raise CallError("run", run.state.record.address, "broken", True)

    async def _await_head(self, response, run):
        """Return the response head; abandon a silent engine if the route allows it."""
        route = self._exchange.route
        if not route.is_resumable:
            return await response.head()
        expected_s = 0.0 if run.prefill is None else run.prefill.expected_s
        limit_s = max(MIN_SILENCE_S, SILENCE_FACTOR * expected_s)
        if self._exchange.share.is_limited and run.prefill is not None:
            # Prompts that arrive later are prefilled first, and a second engine would
            # do the same work again.
            limit_s = max(limit_s, self._exchange.first_event_limits.abandoned_s)
        try:
            async with silence_timeout(
                self._exchange, limit_s, self._exchange.remaining_s
            ):
                return await response.head()
        except TimeoutError as error:
            peer = run.state.record.address
            raise CallError("run", peer, "silent", True) from error

    async def _forward_error(self, response, head, peer):
        """Forward an endpoint's error response, unless another may succeed."""
        exchange = self._exchange
        response.limit_body(SMALL_BODY_MAX_BYTES)
        body = await response.body()
        if exchange.reply.is_started or head.status >= 500:
            self._failed_response = (head, body)
            raise CallError("run", peer, f"status_{head.status}", True)
        exchange.forward_response(head, body)

    def _forward_event(self, head, event, run):
        """Forward one complete event."""
        exchange = self._exchange
        now_s = self._context.clock()
        if not run.has_started:
            self._check_run_version(run)
            run.on_first_event(self._context, self._generation)
            exchange.record_usage(now_s)
            self._record_first_event(run, now_s)
            run.first_event_s = now_s
            exchange.has_run_events = True
        else:
            if not exchange.has_run_survived:
                self._check_survival(run, now_s)
            pause_s = now_s - run.last_event_s
            exchange.longest_pause_s = max(exchange.longest_pause_s, pause_s)
            if self._generation is not None:
                self._record_gap(run.state, now_s, pause_s)
        run.last_event_s = now_s
        if not exchange.reply.is_started:
            exchange.first_output_at_s = now_s
            exchange.reply.start(head.status, head.headers)
        exchange.reply.write(event.raw)
        exchange.event_count += 1
        if event.event_id is not None:
            self._last_event_id = str(event.event_id)

    def _check_survival(self, run, now_s):
        """Record that a run has gone on for a while after its first event."""
        if now_s - run.first_event_s < SURVIVED_S:
            return
        self._exchange.has_run_survived = True
        self._context.crash_reports.on_parts_answered(self._exchange)

    def _check_run_version(self, run):
        """Record which software version begins the stream, before its first event.

        Raises
        ------
        CallError
            When the run is of another version than the stream. The endpoint's entry may
            have changed since it was chosen.
        """
        exchange = self._exchange
        version = run.state.record.software_version
        expected = exchange.software_version
        if version != run.software_version or expected not in (None, version):
            exchange.log(
                "error",
                "version_changed",
                endpoint=run.state.record.endpoint_id,
                software=version,
                software_sent_to=run.software_version,
                software_before=expected,
            )
            peer = run.state.record.address
            raise CallError("run", peer, OTHER_VERSION, True)
        exchange.software_version = version
        if not exchange.event_count:
            self._context.begun_streams.on_first_event(exchange, version)

    def _record_first_event(self, run, now_s):
        """Record the time to the first event as a cost of prefill or transfer."""
        took_s = now_s - run.sent_s
        if run.prompt is not None:
            transfer_time_s = cache_transfer_s(
                self._generation.prompt_tokens, self._limits
            )
            self._context.cost_model(self._exchange.service).on_handover(
                took_s, transfer_time_s
            )
        elif run.prefill is not None:
            record_prefill(self._exchange, run.prefill, took_s)

    def _record_gap(self, state, now_s, gap_s):
        """Record the time between two events, in seconds."""
        allowed_s = self._allowed_gap_s()
        state.on_event_gap(gap_s, allowed_s, now_s)
        self._context.cost_model(self._exchange.service).on_event_gap(
            gap_s, allowed_s, state.slowdown.factor(now_s)
        )

    def _allowed_gap_s(self):
        """Return the longest gap between events with which the stream ends in time."""
        exchange = self._exchange
        limit_s = exchange.route.max_event_gap_s or exchange.remaining_s
        expected = exchange.expected_event_count
        if expected is None:
            return limit_s
        left = max(1.0, expected - exchange.event_count)
        return min(limit_s, max(0.0, exchange.remaining_s) / left)


class _EngineRun:
    """Load counts of one run at one engine."""

    def __init__(self, state, prefill, sent_s, prompt, possible_run):
        self.state = state
        self.prefill = prefill
        self.sent_s = sent_s
        self.prompt = prompt
        self.possible_run = possible_run
        self.software_version = state.record.software_version
        self.has_started = False
        self.first_event_s = self.last_event_s = 0.0
        self._is_prefilling = False

    def begin(self):
        """Count the run, and the prefill that it includes."""
        self.state.own_running += 1
        if self.prefill is not None:
            self._is_prefilling = True
            self.state.begin_prefill(self.prefill.cost_s, self.prefill.lane)

    def on_first_event(self, context, generation):
        """Record that the prompt is prefilled and cached at the engine."""
        self.has_started = True
        self._end_prefill()
        if generation is not None:
            context.record_prefix_placement(self.state, generation.parts)

    def end(self):
        """Remove the run from the load counts."""
        self.state.own_running -= 1
        self._end_prefill()

    def _end_prefill(self):
        if self._is_prefilling:
            self._is_prefilling = False
            self.state.end_prefill(self.prefill.cost_s, self.prefill.lane)
