"""Parses callers' requests to plain services and runs them."""

import asyncio
import hashlib

from gypsumusher_daemon.delivery import Delivery
from gypsumusher_daemon.forwarding import FORWARDED_HEADER
from gypsumusher_daemon.refusals import Refusal
from gypsumusher_daemon.request_execution import deliver_refusal
from gypsumusher_daemon.services import ServiceCall

__all__ = ["ServiceRequests", "read_service_call", "service_fingerprint"]

# Headers that are not passed to the replica. Idempotency-Key is passed, since the
# replica may check it as well.
OWN_HEADERS = frozenset(
    {
        FORWARDED_HEADER.lower(),
        "gypsumusher-class",
        "gypsumusher-deadline-s",
        "gypsumusher-idempotent",
        "x-request-id",
    }
)


def read_service_call(request, name, path, request_id, document):
    """Parse a caller's request to a plain service.

    Parameters
    ----------
    request : sanic.Request
        The request.
    name, path : str
        The service and the path within it.
    request_id : str
        Unique id.
    document : dict
        The configuration document.

    Returns
    -------
    ServiceCall or Refusal
    """
    service = document.get("services", {}).get(name)
    if service is None:
        known = ", ".join(sorted(document.get("services", {}))) or "none"
        return Refusal(
            "unknown_deployment",
            f"{name[:80]!r} is no service; there are: {known}",
            step="parse",
        )
    headers = []
    for header, value in request.headers.items():
        if header.lower() not in OWN_HEADERS:
            headers.append((header, value))
    keyed = "idempotency-key" in request.headers
    at_most_once = request.headers.get("gypsumusher-idempotent", "yes").lower() == "no"
    return ServiceCall(
        service=name,
        method=request.method,
        path=path,
        query=request.query_string,
        headers=headers,
        body=request.body,
        request_id=request_id,
        repeatable=request.method in service["repeatable_methods"]
        and not keyed
        and not at_most_once,
        timeout_s=service["timeout_s"],
    )


class ServiceRequests:
    """Runs each service call in its own task, which a disconnect does not cancel.

    Parameters
    ----------
    host : str
        Name of this host.
    services : Services
        Makes the calls.
    track : callable
        ``track(task)`` holds a reference to a task until it is done.
    """

    def __init__(self, host, services, track):
        self._host = host
        self._services = services
        self._track = track

    def start(self, call):
        """Start a call; return the delivery of its answer.

        Notes
        -----
        The call continues when its caller disconnects: a call that must not be
        repeated may have run already, and cancelling it would only hide the outcome.
        """
        delivery = Delivery()
        self._track(asyncio.ensure_future(self._run(call, delivery, lambda _: None)))
        return delivery

    def runner(self, call, key):
        """Return the coroutine function that runs a keyed call."""

        async def run(entry, claim):
            refusal = await claim()
            if refusal is not None:
                await deliver_refusal(entry.delivery, refusal, call.request_id)
                return

            def on_send(sent):
                entry.sent = sent

            await self._run(call, entry.delivery, on_send, {"Idempotency-Key": key})

        return run

    async def _run(self, call, delivery, on_send, headers=None):
        """Make a call and deliver the answer or the refusal."""
        own_headers = {
            "Gypsumusher-Request-Id": call.request_id,
            "Gypsumusher-Host": self._host,
            **(headers or {}),
        }
        try:
            result = await self._services.call(call, on_send)
            if isinstance(result, Refusal):
                await deliver_refusal(delivery, result, call.request_id, own_headers)
                return
            delivery.set_head(result.status, {**result.headers, **own_headers})
            await delivery.put(result.body)
            delivery.close(complete=True)
        finally:
            if not delivery.closed:
                delivery.close(complete=False)


def service_fingerprint(call):
    """Return a hash of the content that determines a call's effect."""
    digest = hashlib.sha256()
    for part in (call.service, call.method, call.path, call.query):
        digest.update(part.encode() + b"\0")
    digest.update(call.body)
    return digest.hexdigest()[:32]
