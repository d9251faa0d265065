"""Starts callers' requests, keyed or not, and resumes their streams."""

import asyncio
import secrets

from gypsumusher_daemon.delivery import Delivery
from gypsumusher_daemon.refusals import Refusal
from gypsumusher_daemon.request_execution import RequestExecution
from gypsumusher_daemon.service_requests import read_service_call, service_fingerprint
from gypsumusher_daemon.stream_resume import start_resume

__all__ = ["RequestRunner", "RunningRequest"]

# Longest wait for the first load report of a newly polled deployment, which arrives
# within one poll interval and a round trip.
FIRST_REPORT_TIMEOUT_S = 2.0
FIRST_REPORT_POLL_S = 0.05


class RunningRequest:
    """An idempotent model request that runs on this host.

    Attributes
    ----------
    delivery : Delivery
        Its answer.
    task : asyncio.Task
        Runs the request.
    execution : RequestExecution
        Execution of the request.
    """

    def __init__(self, delivery, execution):
        self.delivery = delivery
        self.execution = execution
        self.task = None

    @property
    def location(self):
        """Where the request's stream is, or None while it has none."""
        return self.execution.location


class RequestRunner:
    """Starts callers' requests on the components of a host.

    Parameters
    ----------
    host : EntryHost
        The host that serves the requests.
    """

    def __init__(self, host):
        self._host = host

    def new_request_id(self):
        """Return a request id, unique over all hosts and restarts."""
        return f"{self._host.name}-{secrets.token_hex(8)}"

    async def ensure_polled(self, deployment):
        """Poll the engines of a deployment outside this host's cells, if not polled.

        Any host serves any caller directly: it polls the engines for a while, as the
        members of the deployment's cell do. Returns after the first load report or
        `FIRST_REPORT_TIMEOUT_S`.
        """
        if deployment in self._host.report_poller.deployments:
            return
        self._host.report_poller.poll_temporarily(deployment)
        end_s = self._host.clock() + FIRST_REPORT_TIMEOUT_S
        while self._host.clock() < end_s:
            entries = self._host.endpoints.group("engine", deployment)
            if any(entry.name in self._host.endpoints.roles for entry in entries):
                return
            await asyncio.sleep(FIRST_REPORT_POLL_S)

    def start_model(self, call):
        """Start an idempotent model request; return it as `RunningRequest`."""
        delivery = Delivery()
        execution = RequestExecution(
            self._host.context, call, self.new_request_id(), delivery
        )
        running = RunningRequest(delivery, execution)
        running.task = self._host.track(asyncio.ensure_future(execution.run()))
        return running

    def model_runner(self, call, key):
        """Return the coroutine function that runs a keyed model request."""

        async def run(entry, claim):
            execution = RequestExecution(
                self._host.context,
                call,
                self.new_request_id(),
                entry.delivery,
                claim,
                {"Idempotency-Key": key},
            )
            try:
                await execution.run()
            finally:
                entry.sent = entry.sent or execution.sent

        return run

    def service_call(self, request, name, path):
        """Return the service call for a caller's request, or a refusal."""
        return read_service_call(
            request, name, path, self.new_request_id(), self._host.document
        )

    def service_fingerprint(self, call):
        """Return a hash of the content that determines a call's effect."""
        return service_fingerprint(call)

    def start_service(self, call):
        """Start a service call; return the delivery of its answer."""
        return self._host.service_requests.start(call)

    def service_runner(self, call, key):
        """Return the coroutine function that runs a keyed service call."""
        return self._host.service_requests.runner(call, key)

    async def run_keyed(self, key, fingerprint, run, request, forwarded):
        """Run a keyed request or forward it; return its delivery or a refusal."""
        answer = await self._host.keyed_router.serve(
            key, fingerprint, run, request, forwarded
        )
        entry = self._host.keyed_requests.find(key)
        if entry is not None and not entry.task.done():
            self._host.track(entry.task)
        return answer

    async def key_outcome(self, key, forwarded=False):
        """Return the outcome of a key."""
        return await self._host.keyed_router.outcome(key, forwarded)

    def mint_key(self, deployment):
        """Return a new key owned by this host."""
        section = (self._host.document or {}).get("deployments", {}).get(deployment, {})
        unjournaled = section.get("platform_down", "refuse") == "run_unjournaled"
        return self._host.journals.mint(unjournaled)

    def abandon(self, running):
        """Handle the disconnection of a running request's caller."""
        self._host.abandoned_streams.on_caller_gone(
            running.task, lambda: running.location
        )

    async def start_resume(self, token, after):
        """Resume a stream after an event; return a `ResumedStream` or a refusal."""
        resumed = start_resume(
            token,
            after,
            self._host.context.keys,
            self._host.name,
            self._host.endpoints,
            self._host.sessions,
        )
        if isinstance(resumed, Refusal):
            return resumed
        self._host.track(resumed.task)
        location = resumed.location
        self._host.abandoned_streams.on_resumed(location.stream_id)
        if location.host != self._host.name:
            message = {"type": "resumed", "stream_id": location.stream_id}
            self._host.track(
                asyncio.ensure_future(
                    self._host.peer_network.request(location.host, message)
                )
            )
        return resumed
