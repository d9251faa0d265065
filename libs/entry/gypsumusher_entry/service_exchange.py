"""Requests to plain services: complete responses, retries and hedging."""

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

# An idempotent request without a response is sent to a second endpoint after this
# fraction of its objective: late enough that few requests are, early enough for the
# second response to meet the objective.
HEDGE_FRACTION = 0.55
# Limits the sends of one request, refused ones included; more would only load endpoints
# that have no capacity left.
MAX_SENDS = 4
NO_CAPACITY_RETRY_AFTER_S = 0.5
# An endpoint without a response after this multiple of the objective counts as silent.
# Hardly any response takes as long, and one that does is worth a third of one on time.
OVERDUE_OBJECTIVE_MULTIPLE = 4.0


class _Result(NamedTuple):
    """Outcome of one send: a response or an error."""

    state: EndpointState
    head: ResponseHead | None
    body: bytes
    error: CallError | NoRetryError | None


async def serve_from_service(exchange):
    """Serve a request from a plain service.

    Parameters
    ----------
    exchange : Exchange
        The request; when this returns, its response is complete.
    """
    attempts = _Attempts(exchange)
    try:
        await attempts.run()
    finally:
        attempts.cancel()


class _Attempts:
    """The sends of one request, of which two may run at a time."""

    def __init__(self, exchange):
        self._exchange = exchange
        self._tried_ids = set()
        self._tasks = {}
        self._is_hedged = False
        self._failed_response = None
        self._last_error = None

    def cancel(self):
        """Cancel the sends that are still running; their connections close."""
        for task in self._tasks:
            task.cancel()

    def _penalize_slow(self):
        """Penalize endpoints that a later send to another one has overtaken."""
        now_s = self._exchange.context.clock()
        for state in self._tasks.values():
            state.health.on_failure(now_s, "slow")

    async def run(self):
        """Send until there is a response, or none can come any more."""
        exchange = self._exchange
        context = exchange.context
        context.record_request(exchange.service)
        state = self._next_endpoint()
        if state is None:
            exchange.finish_unanswered(None, None, NO_CAPACITY_RETRY_AFTER_S)
            return
        self._begin(state)
        while self._tasks:
            done, _ = await asyncio.wait(
                self._tasks,
                timeout=self._hedge_delay_s(),
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                self._is_hedged = True
                self._retry("slow")
                continue
            for task in done:
                del self._tasks[task]
                if self._on_result(task.result()):
                    return
        exchange.finish_unanswered(
            self._failed_response, self._last_error, NO_CAPACITY_RETRY_AFTER_S
        )

    def _hedge_delay_s(self):
        """Return the time until a hedged second send; None when there is none.

        Hedging is attempted once: otherwise a request without another endpoint or a
        retry left would ask for one a thousand times a second.
        """
        exchange = self._exchange
        hedges = exchange.context.policy.hedges
        if exchange.route.kind != ANY_TIMES or self._is_hedged or not hedges:
            return None
        due_s = exchange.arrived_s + HEDGE_FRACTION * exchange.route.objective_s
        return max(0.001, due_s - exchange.context.clock())

    def _next_endpoint(self):
        """Return the endpoint to send to next, or None when there is none."""
        context = self._exchange.context
        return choose_endpoint(
            context.clock(),
            context.sendable_endpoints(self._exchange.service),
            self._tried_ids,
            context.settings.zone,
            context.draw_uniform,
        )

    def _begin(self, state):
        """Start a send to an endpoint."""
        self._tried_ids.add(state.record.endpoint_id)
        run = self._exchange.runs.begin()
        self._tasks[asyncio.ensure_future(_send(self._exchange, state, run))] = state

    def _on_result(self, result):
        """Process one outcome; return whether the caller has its response."""
        exchange = self._exchange
        now_s = exchange.context.clock()
        if result.error is not None:
            self._last_error = result.error
            if isinstance(result.error, NoRetryError):
                return False
            record_failure(exchange, result.state, result.error)
            self._retry(result.error.reason)
            return False
        result.state.on_answer_bytes(now_s)
        result.state.health.on_success(now_s)
        if 200 <= result.head.status < 300:
            exchange.context.crash_reports.on_answered(exchange)
        if result.head.status < 500:
            self._penalize_slow()
            exchange.forward_response(result.head, result.body)
            return True
        self._failed_response = (result.head, result.body)
        self._retry(f"status_{result.head.status}")
        return False

    def _retry(self, reason):
        """Send to another endpoint if that is allowed and one is left."""
        exchange = self._exchange
        if len(self._tried_ids) >= MAX_SENDS:
            return
        if not may_send_again(exchange):
            return
        state = self._next_endpoint()
        if state is None:
            return
        exchange.log("info", "request_retried", reason=reason)
        self._begin(state)


async def _send(exchange, state, run):
    """Send once; return the outcome."""
    send = SendOptions(
        state.record.endpoint_id,
        exchange.endpoint_time_limit_s,
        account=exchange.account_name,
    )
    response = None
    limit_s = OVERDUE_OBJECTIVE_MULTIPLE * exchange.route.objective_s
    pending = exchange.context.stall_monitor.begin(
        exchange.request.request_id, state, limit_s
    )
    state.own_running += 1
    try:
        response = await start_send(exchange, state, send, run)
        pending.relay = response.relay
        sent_s = exchange.last_sent_s
        head = await response.head()
        body = await response.body()
        check_response_head(exchange, state, head, run)
        exchange.record_usage(sent_s)
        return _Result(state, head, body, None)
    except (CallError, NoRetryError) as error:
        # Without its traceback, which would keep what was received.
        return _Result(state, None, b"", error.with_traceback(None))
    finally:
        state.own_running -= 1
        exchange.context.stall_monitor.end(pending)
        if response is not None:
            response.close()
