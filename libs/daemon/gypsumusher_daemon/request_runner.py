"""The ways a caller's request takes through this host."""

import asyncio
import secrets

from gypsumusher_daemon.delivery import Delivery
from gypsumusher_daemon.refusals import Refusal
from gypsumusher_daemon.request_execution import Exchange
from gypsumusher_daemon.service_requests import read_service_call, service_fingerprint
from gypsumusher_daemon.stream_resume import begin_resume

__all__ = ["RequestFlows", "Running"]

# The first report of an engine comes within one interval and a round trip.
FIRST_REPORT_S = 2.0
FIRST_REPORT_POLL_S = 0.05


class Running:
    """A request in this host, for those who may have to end it.

    Attributes
    ----------
    delivery : Delivery
        Its answer.
    task : asyncio.Task
        Sees it through.
    exchange : Exchange
        Knows where its stream is.
    """

    def __init__(self, delivery, exchange):
        self.delivery = delivery
        self.exchange = exchange
        self.task = None

    @property
    def place(self):
        """Where its stream is, or None."""
        return self.exchange.place


class RequestFlows:
    """Begins callers' requests and finds those that run.

    Parameters
    ----------
    host : EntryHost
        Its parts serve them.
    """

    def __init__(self, host):
        self._host = host

    def new_request_id(self):
        """Return an id for a request, unique over hosts and restarts."""
        return f"{self._host.name}-{secrets.token_hex(8)}"

    async def follow_deployment(self, deployment):
        """Follow the engines of a deployment whose cell this host isn't in.

        A caller may come to any host. It is served directly: the host reads the
        engines' reports for a while, as the members of the cell do.
        """
        if deployment in self._host.reports.deployments:
            return
        self._host.reports.visit(deployment)
        end_s = self._host.clock() + FIRST_REPORT_S
        while self._host.clock() < end_s:
            entries = self._host.endpoints.group("engine", deployment)
            if any(entry.name in self._host.endpoints.roles for entry in entries):
                return
            await asyncio.sleep(FIRST_REPORT_POLL_S)

    def begin_model(self, call):
        """Begin idempotent model work; return it as `Running`."""
        delivery = Delivery()
        exchange = Exchange(self._host.context, call, self.new_request_id(), delivery)
        running = Running(delivery, exchange)
        running.task = self._host.track(asyncio.ensure_future(exchange.run()))
        return running

    def model_runner(self, call, key):
        """Return the coroutine function that runs keyed model work."""

        async def run(entry, claim):
            exchange = Exchange(
                self._host.context,
                call,
                self.new_request_id(),
                entry.delivery,
                claim,
                {"Idempotency-Key": key},
            )
            try:
                await exchange.run()
            finally:
                entry.sent = entry.sent or exchange.sent

        return run

    def service_call(self, request, name, path):
        """Return the service call that a request means, or the refusal."""
        return read_service_call(
            request, name, path, self.new_request_id(), self._host.document
        )

    def service_fingerprint(self, call):
        """Return a hash of what decides a call's effect."""
        return service_fingerprint(call)

    def begin_service(self, call):
        """Begin a service call; return the delivery of its answer."""
        return self._host.service_flow.begin(call)

    def service_runner(self, call, key):
        """Return the coroutine function that runs a keyed service call."""
        return self._host.service_flow.runner(call, key)

    async def serve_keyed(self, key, fingerprint, run, request, forwarded):
        """Serve a keyed request where it belongs; return a delivery or a refusal."""
        answer = await self._host.keyed_flow.serve(
            key, fingerprint, run, request, forwarded
        )
        entry = self._host.keyed.find(key)
        if entry is not None and not entry.task.done():
            self._host.track(entry.task)
        return answer

    async def key_outcome(self, key, forwarded=False):
        """Return what became of a key."""
        return await self._host.keyed_flow.outcome(key, forwarded)

    def mint_key(self, deployment):
        """Return a new key that names this host as its home."""
        section = (self._host.document or {}).get("deployments", {}).get(deployment, {})
        unjournaled = section.get("platform_down", "refuse") == "run_unjournaled"
        return self._host.journals.mint(unjournaled)

    def abandon(self, running):
        """Note that the caller of a stream has gone."""
        self._host.abandoned.leave(running.task, lambda: running.place)

    async def begin_resume(self, token, after):
        """Take up a stream; return it or a refusal."""
        resumed = begin_resume(
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
        place = resumed.place
        self._host.abandoned.taken_up(place.stream_id)
        if place.host != self._host.name:
            message = {"type": "resumed", "stream_id": place.stream_id}
            self._host.track(
                asyncio.ensure_future(self._host.cell.ask(place.host, message))
            )
        return resumed
