"""Runs a model request: queues it, sends it to engines, retries and answers it."""

import asyncio
from typing import NamedTuple

from gypsumusher_daemon.attempts import (
    EXTRA_EVENTS,
    Attempt,
    AttemptResult,
    run_attempt,
)
from gypsumusher_daemon.dispatch import create_request
from gypsumusher_daemon.refusals import (
    STATUS_BY_CODE,
    Refusal,
    refusal_body,
    refusal_headers,
)
from gypsumusher_daemon.resume_tokens import StreamLocation, write_token
from gypsumusher_policy import Refuse

__all__ = ["RequestExecution", "ExecutionContext", "deliver_refusal"]

EVENT_STREAM = "text/event-stream"
JSON = "application/json"
# Retry-After of an idempotent request that failed on an engine.
RETRY_FAILED_S = 1.0


class ExecutionContext(NamedTuple):
    """Components of the host that all request executions share.

    Attributes
    ----------
    host : str
        Name of this host.
    keys : list of KeySettings
        Shared secrets that sign resume tokens.
    clock, log : callable
        Boot-time clock and structured log.
    sessions : EngineSessions
        HTTP sessions to endpoints.
    dispatcher : Dispatcher
        The schedulers.
    endpoints : EndpointTable
        Addresses of endpoints; told of crashed and draining ones.
    metrics : Metrics
        Counters and histograms.
    history : RequestHistory
        Records the events of each request.
    quarantine : Quarantine
        Told which request runs on which engine.
    """

    host: str
    keys: list
    clock: object
    log: object
    sessions: object
    dispatcher: object
    endpoints: object
    metrics: object
    history: object
    quarantine: object


async def deliver_refusal(delivery, refusal, request_id, headers=None):
    """Answer a request with a refusal.

    Parameters
    ----------
    delivery : Delivery
        The caller's answer, without a head.
    refusal : Refusal
        Why the request is not served.
    request_id : str
        The request.
    headers : dict or None
        Additional response headers.
    """
    merged = {"Content-Type": JSON, **(headers or {}), **refusal_headers(refusal)}
    delivery.set_head(STATUS_BY_CODE.get(refusal.code, 503), merged)
    await delivery.put(refusal_body(refusal, request_id))
    delivery.close(complete=True)


class RequestExecution:
    """Runs one model request from its submission to the last byte of its answer.

    Parameters
    ----------
    context : ExecutionContext
        Shared components of the host.
    call : ModelRequest
        The validated request.
    request_id : str
        Unique id.
    delivery : Delivery
        Receives the answer.
    claim : coroutine function or None
        ``await claim()`` returns None when the request may be sent, or a Refusal.
        Called once, before the first byte is sent. None for idempotent requests.
    headers : dict
        Additional response headers.

    Attributes
    ----------
    sent : bool
        Whether a byte may have reached an engine.
    location : StreamLocation or None
        Where the stream of the current attempt is.
    outcome : str
        How the request ended: ``done``, ``rejected``, ``cancelled`` or the code of
        the refusal; empty while it runs.
    """

    def __init__(self, context, call, request_id, delivery, claim=None, headers=None):
        self.context = context
        self.call = call
        self.request_id = request_id
        self.delivery = delivery
        self.sent = False
        self.location = None
        self.outcome = ""
        self._claim = claim
        self._headers = {
            "Gypsumusher-Request-Id": request_id,
            "Gypsumusher-Host": context.host,
            **(headers or {}),
        }
        self._ticket = None
        self._arrived_s = context.clock()
        self._may_have_run = False
        self._kv = None
        self._first_token_seen = False

    async def run(self):
        """Run the request to its final answer; raises nothing but CancelledError."""
        context = self.context
        request = create_request(self.request_id, self.call, self._arrived_s)
        context.metrics.request_began(self.call)
        self._ticket = context.dispatcher.submit(self.call.deployment, request)
        try:
            await self._execute_actions()
        except asyncio.CancelledError:
            self._record("cancelled")
            self._call_scheduler("cancel", self.request_id)
            self.outcome = self.outcome or "cancelled"
            raise
        except Exception as error:
            # An internal error must not leave the caller without an answer or the
            # scheduler with a slot that is never released.
            context.log(
                "error", "exchange_failed", request=self.request_id, error=error
            )
            self._call_scheduler("cancel", self.request_id)
            await self._refuse(self._failure_refusal("internal error", "exchange"))
        finally:
            context.dispatcher.discard(self._ticket)
            if not self.delivery.closed:
                self.delivery.close(complete=False)
            took_s = context.clock() - self._arrived_s
            context.metrics.request_ended(self.call, self.outcome, took_s)
            context.log(
                "info",
                "request",
                request=self.request_id,
                deployment=self.call.deployment,
                work_class=self.call.class_name,
                tenant=self.call.tenant,
                outcome=self.outcome,
                took_s=took_s,
            )

    async def _execute_actions(self):
        """Execute the scheduler's actions until the request has its final answer."""
        claimed = self._claim is None
        while True:
            action = await self._ticket.actions.get()
            if isinstance(action, Refuse):
                await self._refuse(self._refusal_of(action))
                return
            waited_s = self.context.clock() - self._arrived_s
            if not self.sent:
                self.context.metrics.queue_waited(self.call, waited_s)
            if not claimed:
                refusal = await self._claim()
                if refusal is not None:
                    self._call_scheduler("cancel", self.request_id)
                    await self._refuse(refusal)
                    return
                claimed = True
            if await self._attempt(action):
                return

    async def _attempt(self, action):
        """Send the request to the chosen engine; return True after a final answer."""
        endpoint = self.context.endpoints.find(action.endpoint)
        if endpoint is None:
            self._call_scheduler("on_failed", self.request_id, "connect", "no")
            return False
        if not await self._may_send_to(endpoint):
            self._call_scheduler("on_failed", self.request_id, "connect", "no")
            return False
        attempt = self._create_attempt(action, endpoint.address)
        self._record(
            "start",
            endpoint=action.endpoint,
            stage=action.stage,
            attempt=action.attempt,
            waited_s=round(self.context.clock() - self._arrived_s, 6),
        )
        self.location = None
        was_sent = self.sent
        self.sent = True
        result = await self._run_tracked(action, attempt)
        if result.reason in ("connect", "refused"):
            self.sent = was_sent
        self._record("end", endpoint=action.endpoint, reason=result.reason)
        if result.reason == "done":
            return await self._finish_stage(action, result)
        if result.reason == "rejected":
            await self._deliver_rejection(result)
            return True
        return await self._on_attempt_failed(action, result)

    async def _may_send_to(self, endpoint):
        """Return whether the request may be sent to an engine.

        A suspect request goes only to an engine that has just answered a probe.
        Otherwise, when a rack fails, an innocent request could be retried on a second
        engine that is already failing, and the loss of two engines would convict it
        permanently. The crash of an engine that has just answered is evidence.
        """
        status = self.context.quarantine.status_of(self.call.fingerprint)
        if status != "suspect":
            return True
        return await self.context.sessions.responds(endpoint.address)

    async def _run_tracked(self, action, attempt):
        """Run an attempt, telling the quarantine its start, its end and a crash."""
        quarantine, fingerprint = self.context.quarantine, self.call.fingerprint
        started_s = self.context.clock()
        quarantine.on_start(started_s, fingerprint, action.endpoint)
        completed = False
        try:
            result = await self._run_until_silent(action, attempt)
            if result.reason == "crash":
                # Before `on_end`, so that this request counts among the suspects.
                self.context.endpoints.on_crash(action.endpoint, started_s)
            completed = result.reason == "done"
            return result
        finally:
            quarantine.on_end(
                self.context.clock(), fingerprint, action.endpoint, completed
            )

    async def _run_until_silent(self, action, attempt):
        """Run an attempt; abort it if its engine becomes silent before it answers.

        When an engine is paused or loses its network, its connections stay open, and
        callers would wait until it recovers or until the silence limit of a minute.
        Only an idempotent request is aborted, and only before its caller has received
        any of the answer.
        """
        task = asyncio.ensure_future(
            run_attempt(
                self.context.sessions,
                attempt,
                lambda stream_id: self._set_location(action, attempt, stream_id),
                self._on_events,
            )
        )
        engine_silent = False

        def abort():
            nonlocal engine_silent
            if self.call.idempotent and self.delivery.head is None:
                engine_silent = True
                task.cancel()

        remove_listener = self.context.endpoints.add_silence_listener(
            action.endpoint, abort
        )
        try:
            return await task
        except asyncio.CancelledError:
            if not engine_silent or asyncio.current_task().cancelling():
                task.cancel()
                raise
            return AttemptResult("broken", "unknown", detail="engine became silent")
        finally:
            remove_listener()

    def _create_attempt(self, action, address):
        """Return the attempt for one stage: prefill, decode, or whole for both."""
        body = dict(self.call.body)
        if action.stage == "prefill":
            body["stream"] = False
            body.pop("stream_options", None)
            body.pop("max_completion_tokens", None)
            body["max_tokens"] = 1
            body["kv_export"] = True
        if action.stage == "decode" and self._kv is not None:
            body["kv_import"] = self._kv
        choices = body.get("n") if isinstance(body.get("n"), int) else 1
        suffix = "p" if action.stage == "prefill" else ""
        return Attempt(
            attempt=f"{self.request_id}-{action.attempt}{suffix}",
            endpoint=action.endpoint,
            address=address,
            path=self.call.path,
            body=body,
            priority=action.priority,
            fresh=not self.call.idempotent,
            events_max=self.call.max_output_tokens * choices + EXTRA_EVENTS,
        )

    def _set_location(self, action, attempt, stream_id):
        """Record where the stream is, so that any host can resume it."""
        self.location = StreamLocation(
            self.context.host,
            self.call.deployment,
            action.endpoint,
            attempt.address,
            stream_id,
            attempt.attempt,
        )

    async def _on_events(self, raw):
        """Deliver complete events; the first ones also set the head."""
        if self.delivery.head is None:
            headers = {"Content-Type": EVENT_STREAM, "Cache-Control": "no-store"}
            if self.location is not None and self.location.stream_id:
                token = write_token(self.location, self.context.keys)
                headers["Gypsumusher-Resume"] = token
            self.delivery.set_head(200, {**self._headers, **headers})
        self._record_first_token()
        await self.delivery.put(raw)

    def _record_first_token(self):
        """Report the first token to the scheduler and the metrics, once."""
        if self._first_token_seen:
            return
        self._first_token_seen = True
        self._call_scheduler("on_first_token", self.request_id)
        waited_s = self.context.clock() - self._arrived_s
        self.context.metrics.first_token(self.call, waited_s)

    async def _finish_stage(self, action, result):
        """Finish a successful stage; return True when the answer is complete."""
        if action.stage == "prefill":
            self._kv = result.kv
            # The prefill has run, so no refusal may say "not run" from here on.
            self._may_have_run = True
            self._call_scheduler("on_prefill_done", self.request_id)
            return False
        self._record_first_token()
        if not self.call.stream:
            self.delivery.set_head(200, {**self._headers, "Content-Type": JSON})
            await self.delivery.put(result.raw)
        self.outcome = "done"
        self._call_scheduler("on_done", self.request_id, result.output_tokens)
        self.delivery.close(complete=True)
        return True

    async def _deliver_rejection(self, result):
        """Deliver an engine's rejection of an invalid request."""
        self.outcome = "rejected"
        self._call_scheduler("on_done", self.request_id, 0)
        headers = {**self._headers, "Content-Type": JSON, "Gypsumusher-Run": "no"}
        self.delivery.set_head(result.status, headers)
        await self.delivery.put(result.raw)
        self.delivery.close(complete=True)

    async def _on_attempt_failed(self, action, result):
        """Report a failed attempt; return True if the request has its final answer."""
        self.context.log(
            "warning",
            "attempt_failed",
            request=self.request_id,
            endpoint=action.endpoint,
            reason=result.reason,
            detail=result.detail,
        )
        self.context.metrics.attempt_failed(self.call, result.reason)
        if result.ran != "no":
            self._may_have_run = True
        if result.reason == "refused" and result.detail == "draining":
            self.context.endpoints.on_draining(action.endpoint)
        if self.delivery.head is not None:
            # The caller has the beginning of this attempt's answer. Another attempt
            # would generate different text, so the two must not be joined: the
            # stream ends with an error and without the end marker.
            self._call_scheduler(
                "on_failed", self.request_id, result.reason, result.ran
            )
            self._call_scheduler("cancel", self.request_id)
            refusal = self._failure_refusal(
                "the engine failed before the answer was complete", action.endpoint
            )
            await self._end_broken_stream(refusal)
            return True
        self._call_scheduler("on_failed", self.request_id, result.reason, result.ran)
        return False

    async def _end_broken_stream(self, refusal):
        """End a started stream with an error event and without the end marker."""
        self.outcome = refusal.code
        body = refusal_body(refusal, self.request_id)
        await self.delivery.put(b"event: error\ndata: " + body + b"\n\n")
        self.delivery.close(complete=False)

    def _failure_refusal(self, message, peer):
        """Return an ``endpoint_failed`` refusal, with ``run`` unknown once sent."""
        run = "unknown" if self.sent or self._may_have_run else "no"
        return Refusal("endpoint_failed", message, run, "attempt", peer, 1.0)

    def _refusal_of(self, action):
        """Return the refusal for a scheduler's Refuse action.

        A caller that reads ``run`` as "no" may send its request elsewhere, so it is
        "no" only if that holds for every attempt, not just for the last one.
        """
        run = "unknown" if self._may_have_run else action.run
        retry_after_s = action.retry_after_s
        if action.code == "endpoint_failed" and self.call.idempotent:
            # Engines fail one at a time, so a retry soon reaches a healthy one.
            retry_after_s = RETRY_FAILED_S
        return Refusal(
            action.code,
            f"{action.code.replace('_', ' ')}: not served in time for its deadline"
            if action.code == "overloaded"
            else action.code.replace("_", " "),
            run,
            action.step,
            action.peer or None,
            retry_after_s,
        )

    async def _refuse(self, refusal):
        """Answer the caller with a refusal, within the stream if it has started."""
        self.outcome = refusal.code
        self._record("refused", code=refusal.code, run=refusal.run, step=refusal.step)
        self.context.metrics.refused(self.call, refusal.code)
        if self.delivery.head is not None:
            await self._end_broken_stream(refusal)
            return
        await deliver_refusal(self.delivery, refusal, self.request_id, self._headers)

    def _call_scheduler(self, method, *arguments):
        """Call a method of the deployment's scheduler."""
        self.context.dispatcher.call_scheduler(self.call.deployment, method, *arguments)

    def _record(self, event, **fields):
        """Add an event to the request's history, which operators can query."""
        self.context.history.add(self.request_id, self.context.clock(), event, **fields)
