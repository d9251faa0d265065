"""Requests to plain services: whole answers, retries and a second try when slow."""

import asyncio
from typing import NamedTuple

from gypsumusher_entry.errors import NoRetryError
from gypsumusher_entry.sending_to_endpoints import (
    check_response_head,
    may_send_again,
    record_failure,
    start_send,
)
from gypsumusher_http import CallError
from gypsumusher_ports import ANY_TIMES, ResponseHead, SendOptions
from gypsumusher_routing import EndpointState, choose_endpoint

__all__ = ["serve_from_service"]

# Part of the objective after which an idempotent request that has no answer is sent to
# a second endpoint too: late enough that few do, early enough to be on time.
HEDGE_PART = 0.55
# Sends of one request, refused ones among them; more of them would only load endpoints
# that have no room.
MAX_SENDS = 4
NO_ROOM_RETRY_S = 0.5
# An endpoint without an answer after so many times the objective counts as silent; an
# answer that late is worth a third, and hardly any takes as long.
OVERDUE_OBJECTIVES = 4.0


class _Result(NamedTuple):
    """How one send ended: with an answer, or with an error."""

    state: EndpointState
    head: ResponseHead | None
    body: bytes
    error: CallError | NoRetryError | None


async def serve_from_service(exchange):
    """Serve a request from a plain service.

    Parameters
    ----------
    exchange : Exchange
        The request; its answer is given when this returns.
    """
    attempts = _Attempts(exchange)
    try:
        await attempts.run()
    finally:
        attempts.cancel()


class _Attempts:
    """The sends of one request, of which two may be under way."""

    def __init__(self, exchange):
        self._exchange = exchange
        self._tried = set()
        self._tasks = {}
        # Sends that have ended and may have run.
        self._runs = 0
        self._is_hedged = False
        self._failed_answer = None
        self._last_error = None

    def cancel(self):
        """Give up what is under way; its connections close."""
        for task in self._tasks:
            task.cancel()

    def _note_slow(self):
        """Count endpoints against which another one, asked later, has won."""
        now_s = self._exchange.context.clock()
        for state in self._tasks.values():
            state.health.on_failure(now_s, "slow")

    async def run(self):
        """Send until there is an answer, or none can come any more."""
        exchange = self._exchange
        context = exchange.context
        context.note_request(exchange.service)
        state = self._next()
        if state is None:
            exchange.refuse(503, "no_endpoint", NO_ROOM_RETRY_S)
            return
        self._begin(state)
        while self._tasks:
            done, _ = await asyncio.wait(
                self._tasks,
                timeout=self._hedge_after_s(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                self._is_hedged = True
                self._retry("slow")
                continue
            for task in done:
                del self._tasks[task]
                if self._settle(task.result()):
                    return
        exchange.give_up(self._failed_answer, self._last_error, NO_ROOM_RETRY_S)

    def _hedge_after_s(self):
        """Return the wait until a second endpoint is asked; None when never.

        It is tried once: a request that waits on, with no other endpoint or no retry
        left, would else ask for one a thousand times a second.
        """
        exchange = self._exchange
        hedges = exchange.context.policy.hedges
        if exchange.route.kind != ANY_TIMES or self._is_hedged or not hedges:
            return None
        due_s = exchange.arrived_s + HEDGE_PART * exchange.route.objective_s
        return max(0.001, due_s - exchange.context.clock())

    def _next(self):
        """Return the endpoint to send to next, or None when there is none."""
        context = self._exchange.context
        return choose_endpoint(
            context.clock(),
            context.endpoints.of_service(self._exchange.service),
            self._tried,
            context.settings.zone,
            context.draw,
        )

    def _begin(self, state):
        """Send to an endpoint."""
        self._tried.add(state.record.endpoint_id)
        self._tasks[asyncio.ensure_future(_send(self._exchange, state))] = state

    def _settle(self, result):
        """Take in the end of one send; say whether the caller has its answer."""
        exchange = self._exchange
        now_s = exchange.context.clock()
        if result.error is not None:
            self._last_error = result.error
            if isinstance(result.error, NoRetryError):
                return False
            self._runs += result.error.may_have_run
            record_failure(exchange, result.state, result.error)
            self._retry(result.error.reason)
            return False
        result.state.on_answer_bytes(now_s)
        result.state.health.on_success(now_s)
        if result.head.status < 500:
            self._note_slow()
            exchange.deliver(result.head, result.body)
            return True
        self._failed_answer = (result.head, result.body)
        self._runs += 1
        self._retry(f"status_{result.head.status}")
        return False

    def _retry(self, reason):
        """Send to another endpoint if that is allowed and of use."""
        exchange = self._exchange
        if len(self._tried) >= MAX_SENDS:
            return
        # A send whose connection is still being opened will run too. Counted from its
        # first byte only, a failure meanwhile would bring in one endpoint too many.
        if self._runs + len(self._tasks) >= exchange.route.max_endpoints:
            return
        state = self._next()
        if state is None or not may_send_again(exchange):
            return
        exchange.log("info", "request_retried", reason=reason)
        self._begin(state)


async def _send(exchange, state):
    """Send once; return how that ended."""
    send = SendOptions(state.record.endpoint_id, exchange.patience_s)
    answer = None
    limit_s = OVERDUE_OBJECTIVES * exchange.route.objective_s
    wait = exchange.context.overdue.begin(exchange.request.request_id, state, limit_s)
    state.own_running += 1
    try:
        answer = await start_send(exchange, state, send)
        head = await answer.head()
        body = await answer.body()
        check_response_head(exchange, state, head)
        return _Result(state, head, body, None)
    except (CallError, NoRetryError) as error:
        return _Result(state, None, b"", error)
    finally:
        state.own_running -= 1
        exchange.context.overdue.end(wait)
        if answer is not None:
            answer.close()
