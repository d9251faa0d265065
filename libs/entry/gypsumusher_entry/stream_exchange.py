"""Requests to engines: the prompt is read, tokens are made, events are passed on."""

from gypsumusher_entry.errors import NoRetryError, OverloadedError
from gypsumusher_entry.prefill import prefill_prompt, record_prefill
from gypsumusher_entry.sending_to_endpoints import (
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
    TIMELY,
    EventSplitter,
    cache_transfer_s,
    choose_decode,
    choose_endpoint,
    choose_prefill,
    urgency_of,
)

__all__ = ["serve_stream"]

# Sends of one request, refused ones among them.
MAX_SENDS = 4
NO_ROOM_RETRY_S = 1.0
# An engine that hasn't sent the first event after this time and twice the expected
# wait, or the next one after the second time, counts as silent, in seconds. Pieces
# come each tenth of a second, and under full load each fifth.
FIRST_EVENT_SLACK_S = 1.0
NEXT_EVENT_S = 1.2
# A resumable stream without its first event is taken up elsewhere after this many times
# the expected wait, and not before the least one, in seconds. Only a silent engine
# takes so long; a busy one is within twice the expectation.
SILENCE_FACTOR = 4.0
LEAST_SILENCE_S = 0.8


async def serve_stream(exchange):
    """Serve a stream of events.

    Parameters
    ----------
    exchange : Exchange
        The request; its answer is given when this returns.
    """
    stream = _Stream(exchange)
    try:
        await stream.run()
    finally:
        stream.free_handle()


class _Stream:
    """One stream: where its prompt lies, and what of it was passed on."""

    def __init__(self, exchange):
        self._exchange = exchange
        self._context = exchange.context
        self._generation = exchange.request.generation
        service = exchange.context.configuration.services.get(exchange.service)
        self._limits = None if service is None else service.engine
        self._tried = set()
        self._prompt = None
        self._last_event_id = exchange.request.last_event_id
        self._failed_answer = None

    async def run(self):
        """Read the prompt, and send until a stream is whole or none can come."""
        exchange, context = self._exchange, self._context
        context.note_request(exchange.service)
        try:
            if self._is_generation():
                self._prompt = await prefill_prompt(exchange, self._limits)
            is_whole, error = await self._try_in_turn()
        except NoRetryError as withheld:
            is_whole, error = False, withheld
        if not is_whole:
            exchange.give_up(self._failed_answer, error, self._retry_after_s())

    async def _try_in_turn(self):
        """Send until a stream is whole; return whether one is, and the last error."""
        exchange = self._exchange
        error = None
        for _ in range(MAX_SENDS):
            if exchange.account.arrivals >= MAX_SENDS or not may_send_again(exchange):
                break
            state, reading = self._choose()
            if state is None:
                break
            exchange.reserve_send()
            error = await self._try(state, reading)
            if error is None:
                return True, None
            self._tried.add(state.record.endpoint_id)
        return False, error

    def free_handle(self):
        """Have the engine that read the prompt free it, if nobody took it."""
        prompt, self._prompt = self._prompt, None
        if prompt is not None:
            self._context.spawn(prompt.free(self._context))

    def _retry_after_s(self):
        """Return when it is of use to come back, in seconds.

        When no engine makes tokens, one that is ordered to is there after a change of
        its stage; sooner there is nothing to come back to.
        """
        if not self._is_generation():
            return NO_ROOM_RETRY_S
        states = self._context.endpoints.of_service(self._exchange.service)
        if any(state.stage != "prefill" for state in states):
            return NO_ROOM_RETRY_S
        return self._limits.role_change_s

    def _is_generation(self):
        return self._generation is not None and self._limits is not None

    def _choose(self):
        """Return where the tokens are made, and how the prompt is read there."""
        exchange, context = self._exchange, self._context
        now_s = context.clock()
        states = context.endpoints.of_service(exchange.service)
        fresh = [s for s in states if s.record.endpoint_id not in self._tried]
        states = fresh or states
        if not self._is_generation():
            zone = context.settings.zone
            state = choose_endpoint(now_s, states, self._tried, zone, context.draw)
            return state, None
        fleet = context.fleet(exchange.service, self._limits, states)
        if self._prompt is not None:
            zone = self._prompt.state.record.zone
            state = choose_decode(now_s, fleet, exchange.wish, zone, context.draw)
            return state, None
        decodes = [s for s in states if s.stage != "prefill"]
        fleet = fleet._replace(states=decodes)
        reading = choose_prefill(now_s, fleet, exchange.wish, context.draw)
        if reading is None:
            return None, None
        if reading.lane == HOPELESS:
            if not exchange.may_have_run:
                raise OverloadedError(
                    reading.expected_s, exchange.first_event_limits.abandoned_s
                )
            # It goes on after a broken try: nobody else would take it up.
            reading = reading._replace(lane=TIMELY)
        return reading.state, reading

    async def _try(self, state, reading):
        """Run the request at one engine; return the error that ended it, or None."""
        exchange, context = self._exchange, self._context
        prompt, self._prompt = self._prompt, None
        send = SendOptions(
            state.record.endpoint_id,
            exchange.patience_s,
            urgency=urgency_of(
                exchange.route.priority, TIMELY if reading is None else reading.lane
            ),
            kv_source=None if prompt is None else prompt.source,
            kv_fetch=None if reading is None else reading.fetch_address,
            last_event_id=self._last_event_id,
        )
        run = _Run(state, reading, context.clock(), prompt)
        expected_s = 0.0 if reading is None else reading.expected_s
        wait = context.overdue.begin(
            exchange.request.request_id,
            state,
            FIRST_EVENT_SLACK_S + 2.0 * expected_s,
        )
        answer = None
        run.begin()
        if reading is not None:
            context.note_reading_begun()
        try:
            answer = await start_send(exchange, state, send)
            await self._pass_on(answer, run, wait)
        except CallError as error:
            record_failure(exchange, state, error, kv_source=send.kv_source)
            if prompt is not None and not error.may_have_run:
                # Not taken: another engine may still have it, or it is to be freed.
                self._prompt = prompt if error.step == "connect" else None
                if self._prompt is None:
                    context.spawn(prompt.free(context))
            return error
        finally:
            run.end()
            context.overdue.end(wait)
            if answer is not None:
                answer.close()
        state.health.on_success(context.clock())
        return None

    async def _pass_on(self, answer, run, wait):
        """Pass the events of one answer on.

        Raises
        ------
        CallError
            When it isn't a whole stream.
        """
        exchange = self._exchange
        head = await self._head_in_time(answer, run)
        check_response_head(exchange, run.state, head)
        if not 200 <= head.status < 300:
            await self._pass_failure_on(answer, head, run.state.record.address)
            return
        splitter = EventSplitter()
        while True:
            data = await answer.read()
            if not data:
                break
            now_s = self._context.clock()
            wait.due_s = now_s + NEXT_EVENT_S
            run.state.on_answer_bytes(now_s)
            for event in splitter.feed(data):
                self._pass_event_on(head, event, run)
            await exchange.reply.drain()
        if not exchange.reply.is_started:
            exchange.reply.start(head.status, head.headers)
        exchange.reply.end()
        if self._is_generation() and exchange.events:
            exchange.event_tokens.learn(exchange.estimated_tokens, exchange.events)
        exchange.outcome = f"{head.status}:streamed"

    async def _head_in_time(self, answer, run):
        """Return the answer's head; give a silent engine up where that is allowed."""
        route = self._exchange.route
        if not route.is_resumable:
            return await answer.head()
        expected_s = 0.0 if run.reading is None else run.reading.expected_s
        limit_s = max(LEAST_SILENCE_S, SILENCE_FACTOR * expected_s)
        try:
            async with silence_timeout(self._exchange, limit_s, self._exchange.left_s):
                return await answer.head()
        except TimeoutError as error:
            peer = run.state.record.address
            raise CallError("run", peer, "silent", True) from error

    async def _pass_failure_on(self, answer, head, peer):
        """Pass an endpoint's own failure on, unless another one may do better."""
        exchange = self._exchange
        body = await answer.body()
        if exchange.reply.is_started or head.status >= 500:
            self._failed_answer = (head, body)
            raise CallError("run", peer, f"status_{head.status}", True)
        exchange.deliver(head, body)

    def _pass_event_on(self, head, event, run):
        """Write one whole event."""
        exchange = self._exchange
        now_s = self._context.clock()
        if not run.is_begun:
            run.on_first_event(self._context, self._generation)
            self._learn_first_event(run, now_s)
        else:
            pause_s = now_s - run.event_s
            exchange.longest_pause_s = max(exchange.longest_pause_s, pause_s)
            if self._generation is not None:
                run.state.on_event_gap(pause_s, self._allowed_gap_s())
        run.event_s = now_s
        if not exchange.reply.is_started:
            exchange.first_s = now_s
            exchange.reply.start(head.status, head.headers)
        exchange.reply.write(event.raw)
        exchange.events += 1
        if event.event_id is not None:
            self._last_event_id = str(event.event_id)

    def _learn_first_event(self, run, now_s):
        """Take in what the first event tells of the reading, or of the hand-over."""
        took_s = now_s - run.sent_s
        if run.prompt is not None:
            moved_s = cache_transfer_s(self._generation.prompt_tokens, self._limits)
            self._context.learnt(self._exchange.service).on_handover(took_s, moved_s)
        elif run.reading is not None:
            record_prefill(self._exchange, run.reading, took_s)

    def _allowed_gap_s(self):
        """Return how far apart the events may be for the stream to end in time."""
        exchange = self._exchange
        limit_s = exchange.route.max_event_gap_s or exchange.left_s
        expected = exchange.expected_events
        if expected is None:
            return limit_s
        left = max(1.0, expected - exchange.events)
        return min(limit_s, max(0.0, exchange.left_s) / left)


class _Run:
    """The counts of one run at one engine."""

    def __init__(self, state, reading, sent_s, prompt):
        self.state = state
        self.reading = reading
        self.sent_s = sent_s
        self.prompt = prompt
        self.is_begun = False
        self.event_s = 0.0
        self._is_reading = False

    def begin(self):
        """Count the run, and the prompt that is to be read for it."""
        self.state.own_running += 1
        if self.reading is not None:
            self._is_reading = True
            self.state.begin_prefill(self.reading.cost_s, self.reading.lane)

    def on_first_event(self, context, generation):
        """Note that the prompt is read, and is kept there now."""
        self.is_begun = True
        self._end_reading()
        if generation is not None:
            context.note_placement(self.state, generation.parts)

    def end(self):
        """Take the run out of the counts."""
        self.state.own_running -= 1
        self._end_reading()

    def _end_reading(self):
        if self._is_reading:
            self._is_reading = False
            self.state.end_prefill(self.reading.cost_s, self.reading.lane)
