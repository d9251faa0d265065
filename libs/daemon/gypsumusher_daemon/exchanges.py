"""One request's way through the host: wait, send, retry, deliver, account."""

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
from gypsumusher_daemon.resume_tokens import StreamPlace, write_token
from gypsumusher_policy import Refuse

__all__ = ["Exchange", "ExchangeContext", "deliver_refusal"]

EVENT_STREAM = "text/event-stream"
JSON = "application/json"
RETRY_FAILED_S = 1.0


class ExchangeContext(NamedTuple):
    """What every exchange on this host shares.

    Attributes
    ----------
    host : str
        This host.
    keys : list of KeySettings
        Shared secrets that sign resume tokens.
    clock, log : callable
        Boot-time clock and structured log.
    sessions : EngineSessions
        HTTP to endpoints.
    dispatcher : Dispatcher
        The schedulers.
    endpoints : EndpointTable
        Addresses of endpoints and who crashed.
    metrics : Metrics
        Counters and histograms.
    history : RequestsLog
        What became of each request.
    quarantine : Quarantine
        Told which content runs where.
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
    """Answer a request with its refusal, at once.

    Parameters
    ----------
    delivery : Delivery
        The caller's answer, not begun.
    refusal : Refusal
        Why.
    request_id : str
        The request.
    headers : dict or None
        More response headers.
    """
    merged = {"Content-Type": JSON, **(headers or {}), **refusal_headers(refusal)}
    delivery.set_head(STATUS_BY_CODE.get(refusal.code, 503), merged)
    await delivery.put(refusal_body(refusal, request_id))
    delivery.close(whole=True)


class Exchange:
    """A model request from its admission to its last byte.

    Parameters
    ----------
    context : ExchangeContext
        What the host shares.
    call : ModelRequest
        The checked request.
    request_id : str
        Unique id.
    delivery : Delivery
        Where the answer goes.
    claim : coroutine function or None
        ``await claim()`` returns None when the request may be sent, or the Refusal.
        Asked once, before the first byte goes out. None for idempotent work.
    headers : dict
        More response headers.

    Attributes
    ----------
    sent : bool
        Whether a byte may have reached an engine.
    place : StreamPlace or None
        Where the stream of the present attempt is.
    outcome : str
        How it ended: ``done``, ``rejected`` or the code of the refusal.
    """

    def __init__(self, context, call, request_id, delivery, claim=None, headers=None):
        self.context = context
        self.call = call
        self.request_id = request_id
        self.delivery = delivery
        self.sent = False
        self.place = None
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
        self._seen_first = False

    async def run(self):
        """See the request through; never raises but for cancellation."""
        context = self.context
        request = create_request(self.request_id, self.call, self._arrived_s)
        context.metrics.request_began(self.call)
        self._ticket = context.dispatcher.submit(self.call.deployment, request)
        try:
            await self._follow()
        except asyncio.CancelledError:
            self._note("cancelled")
            self._tell("cancel", self.request_id)
            self.outcome = self.outcome or "cancelled"
            raise
        except Exception as error:
            # A fault of ours must not leave the caller without an answer or the
            # scheduler with a slot that is never given back.
            context.log(
                "error", "exchange_failed", request=self.request_id, error=error
            )
            self._tell("cancel", self.request_id)
            await self._give_up(self._unknown("internal error", "exchange"))
        finally:
            context.dispatcher.forget(self._ticket)
            if not self.delivery.closed:
                self.delivery.close(whole=False)
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

    async def _follow(self):
        """Do what the scheduler decides until there is a final answer."""
        claimed = self._claim is None
        while True:
            action = await self._ticket.actions.get()
            if isinstance(action, Refuse):
                await self._give_up(self._refusal_of(action))
                return
            waited_s = self.context.clock() - self._arrived_s
            if not self.sent:
                self.context.metrics.queue_waited(self.call, waited_s)
            if not claimed:
                refusal = await self._claim()
                if refusal is not None:
                    self._tell("cancel", self.request_id)
                    await self._give_up(refusal)
                    return
                claimed = True
            if await self._attempt(action):
                return

    async def _attempt(self, action):
        """Send the request to the endpoint that was chosen; True when all is over."""
        endpoint = self.context.endpoints.find(action.endpoint)
        if endpoint is None:
            self._tell("on_failed", self.request_id, "connect", "no")
            return False
        if not await self._is_worth_risking(endpoint):
            self._tell("on_failed", self.request_id, "connect", "no")
            return False
        attempt = self._create_attempt(action, endpoint.address)
        self._note(
            "start",
            endpoint=action.endpoint,
            stage=action.stage,
            attempt=action.attempt,
            waited_s=round(self.context.clock() - self._arrived_s, 6),
        )
        self.place = None
        was_sent = self.sent
        self.sent = True
        result = await self._watch_attempt(action, attempt)
        if result.reason in ("connect", "refused"):
            self.sent = was_sent
        self._note("end", endpoint=action.endpoint, reason=result.reason)
        if result.reason == "done":
            return await self._done(action, result)
        if result.reason == "rejected":
            await self._reject(result)
            return True
        return await self._failed(action, result)

    async def _is_worth_risking(self, endpoint):
        """Return whether an engine lives, before a suspected request goes to it.

        Failure guarded against: a rack goes, an innocent request is retried on a
        second engine that is already dying, and two engines lost convict it for
        good. An engine that has just answered, and dies with the suspect, is proof.
        """
        verdict = self.context.quarantine.status_of(self.call.fingerprint)
        if verdict != "suspect":
            return True
        return await self.context.sessions.responds(endpoint.address)

    async def _watch_attempt(self, action, attempt):
        """Run an attempt and account for what it does to its engine."""
        quarantine, fingerprint = self.context.quarantine, self.call.fingerprint
        started_s = self.context.clock()
        quarantine.on_start(started_s, fingerprint, action.endpoint)
        completed = False
        try:
            result = await self._run_unless_stuck(action, attempt)
            if result.reason == "crash":
                # Before the request counts as ended: it is one of the suspects.
                self.context.endpoints.on_crash(action.endpoint, started_s)
            completed = result.reason == "done"
            return result
        finally:
            quarantine.on_end(
                self.context.clock(), fingerprint, action.endpoint, completed
            )

    async def _run_unless_stuck(self, action, attempt):
        """Run an attempt, but leave an engine that falls silent before it answers.

        Failure guarded against: an engine is paused or cut off after it has taken
        requests; its connections stay open, and callers wait until it comes back or
        the silence limit of a minute. Only work that may run again is taken away,
        and only while its caller has seen nothing of the answer.
        """
        task = asyncio.ensure_future(
            run_attempt(
                self.context.sessions,
                attempt,
                lambda stream_id: self._on_stream(action, attempt, stream_id),
                self._on_events,
            )
        )
        stuck = False

        def leave():
            nonlocal stuck
            if self.call.idempotent and self.delivery.head is None:
                stuck = True
                task.cancel()

        take_back = self.context.endpoints.listen_for_silence(action.endpoint, leave)
        try:
            return await task
        except asyncio.CancelledError:
            if not stuck or asyncio.current_task().cancelling():
                task.cancel()
                raise
            return AttemptResult("broken", "unknown", detail="the engine is silent")
        finally:
            take_back()

    def _create_attempt(self, action, address):
        """Return what to send for one stage of the work."""
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

    def _on_stream(self, action, attempt, stream_id):
        """Note where the stream is, for a resume through any host."""
        self.place = StreamPlace(
            self.context.host,
            self.call.deployment,
            action.endpoint,
            attempt.address,
            stream_id,
            attempt.attempt,
        )

    async def _on_events(self, raw):
        """Pass whole events on; the first one decides the head."""
        if self.delivery.head is None:
            headers = {"Content-Type": EVENT_STREAM, "Cache-Control": "no-store"}
            if self.place is not None and self.place.stream_id:
                token = write_token(self.place, self.context.keys)
                headers["Gypsumusher-Resume"] = token
            self.delivery.set_head(200, {**self._headers, **headers})
        self._first_token()
        await self.delivery.put(raw)

    def _first_token(self):
        """Account for the first token, once."""
        if self._seen_first:
            return
        self._seen_first = True
        self._tell("on_first_token", self.request_id)
        waited_s = self.context.clock() - self._arrived_s
        self.context.metrics.first_token(self.call, waited_s)

    async def _done(self, action, result):
        """Finish a stage; True when the answer is whole."""
        if action.stage == "prefill":
            self._kv = result.kv
            # A part of the work has run, so no refusal may say "not run" any more.
            self._may_have_run = True
            self._tell("on_prefill_done", self.request_id)
            return False
        self._first_token()
        if not self.call.stream:
            self.delivery.set_head(200, {**self._headers, "Content-Type": JSON})
            await self.delivery.put(result.raw)
        self.outcome = "done"
        self._tell("on_done", self.request_id, result.output_tokens)
        self.delivery.close(whole=True)
        return True

    async def _reject(self, result):
        """Pass on an engine's final word that the request itself is bad."""
        self.outcome = "rejected"
        self._tell("on_done", self.request_id, 0)
        headers = {**self._headers, "Content-Type": JSON, "Gypsumusher-Run": "no"}
        self.delivery.set_head(result.status, headers)
        await self.delivery.put(result.raw)
        self.delivery.close(whole=True)

    async def _failed(self, action, result):
        """Tell the scheduler of a failure; True when all is over."""
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
            # would word it differently, so the two must not be joined: the stream
            # ends with an error and without the end marker.
            self._tell("on_failed", self.request_id, result.reason, result.ran)
            self._tell("cancel", self.request_id)
            refusal = self._unknown("the engine failed in mid-answer", action.endpoint)
            await self._end_broken_stream(refusal)
            return True
        self._tell("on_failed", self.request_id, result.reason, result.ran)
        return False

    async def _end_broken_stream(self, refusal):
        """End a begun stream so that no client takes it for a whole one."""
        self.outcome = refusal.code
        body = refusal_body(refusal, self.request_id)
        await self.delivery.put(b"event: error\ndata: " + body + b"\n\n")
        self.delivery.close(whole=False)

    def _unknown(self, message, peer):
        """Return a refusal after which nobody knows whether the request ran."""
        run = "unknown" if self.sent or self._may_have_run else "no"
        return Refusal("endpoint_failed", message, run, "attempt", peer, 1.0)

    def _refusal_of(self, action):
        """Return the refusal that the scheduler decided on.

        A caller that reads "no" may send its request elsewhere, so "no" stands only
        if it holds for every attempt, not just for the last one.
        """
        run = "unknown" if self._may_have_run else action.run
        retry_after_s = action.retry_after_s
        if action.code == "endpoint_failed" and self.call.idempotent:
            # Engines fail one at a time; a repeat soon meets others.
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

    async def _give_up(self, refusal):
        """Give the caller its final answer at once."""
        self.outcome = refusal.code
        self._note("refused", code=refusal.code, run=refusal.run, step=refusal.step)
        self.context.metrics.refused(self.call, refusal.code)
        if self.delivery.head is not None:
            await self._end_broken_stream(refusal)
            return
        await deliver_refusal(self.delivery, refusal, self.request_id, self._headers)

    def _tell(self, method, *arguments):
        """Tell the scheduler something."""
        self.context.dispatcher.apply(self.call.deployment, method, *arguments)

    def _note(self, event, **fields):
        """Keep an event for operators who ask."""
        self.context.history.add(self.request_id, self.context.clock(), event, **fields)
