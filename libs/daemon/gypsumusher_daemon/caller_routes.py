"""The callers' HTTP routes: model work, plain services, keys, entry answers."""

import asyncio
import json
from urllib.parse import unquote

from sanic import Sanic
from sanic.exceptions import PayloadTooLarge, SanicException
from sanic.http.constants import Stage
from sanic.response import raw

from gypsumusher_daemon.forwarding import FORWARDED_HEADER
from gypsumusher_daemon.host_views import entry_answer, models_answer
from gypsumusher_daemon.model_requests import (
    CHAT_COMPLETIONS,
    COMPLETIONS,
    parse_model_request,
)
from gypsumusher_daemon.refusals import (
    STATUS_BY_CODE,
    Refusal,
    refusal_body,
    refusal_headers,
)

__all__ = ["create_callers_app", "is_busy", "send_delivery", "send_refusal"]

JSON = "application/json"
METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
# Longer than any answer takes: what bounds an answer is the engine's silence limit
# and the caller's deadline, not the HTTP library.
RESPONSE_TIMEOUT_S = 86_400
KEEP_ALIVE_S = 75
HEADER_BYTES_MAX = 16_384
RETRY_STARTING_S = 1.0


def create_callers_app(host):
    """Return the sanic app of the callers' listener.

    Parameters
    ----------
    host : EntryHost
        Serves the requests.

    Returns
    -------
    sanic.Sanic
    """
    app = Sanic(f"callers-{host.incarnation}", configure_logging=False)
    settings = host.settings
    app.config.update(
        {
            "REQUEST_MAX_SIZE": settings["callers.max_body_bytes"],
            "REQUEST_MAX_HEADER_SIZE": HEADER_BYTES_MAX,
            "REQUEST_TIMEOUT": settings["callers.body_timeout_s"],
            "RESPONSE_TIMEOUT": RESPONSE_TIMEOUT_S,
            "KEEP_ALIVE_TIMEOUT": KEEP_ALIVE_S,
            "ACCESS_LOG": False,
            # The library rewrites its own methods for the first app of a process
            # and fails at the second one.
            "TOUCHUP": False,
        }
    )

    async def model_work(request):
        return await _serve_model(host, request)

    async def service(request, name, path=""):
        return await _serve_service(host, request, name, path)

    async def entry(request):
        return _answer_json(entry_answer(host, request.args))

    async def models(request):
        return _answer_json(models_answer(host))

    async def mint_key(request):
        refusal = host.readiness.refusal_of_state()
        if refusal is not None:
            return send_refusal(refusal, "")
        deployment = request.args.get("deployment")
        return _answer_json({"key": host.flows.mint_key(deployment)})

    async def find_key(request, key):
        forwarded = FORWARDED_HEADER in request.headers
        return _answer_json(await host.flows.key_outcome(unquote(key), forwarded))

    async def resume(request):
        return await _resume(host, request)

    async def healthz(request):
        return _answer_json({"host": host.name, "state": host.state})

    async def readyz(request):
        ready = host.readiness.is_ready()
        body = {"ready": ready, "state": host.state, "config_number": host.number}
        return _answer_json(body, 200 if ready else 503)

    async def metrics(request):
        body, headers = host.metrics.render(request.headers.getall("accept", []))
        return raw(body, headers=headers)

    model_work = with_body(model_work, settings)
    service = with_body(service, settings)
    mint_key = with_body(mint_key, settings)
    model_routes = {"methods": ["POST"], "stream": True}
    app.add_route(model_work, COMPLETIONS, name="completions", **model_routes)
    app.add_route(model_work, CHAT_COMPLETIONS, name="chat", **model_routes)
    app.add_route(models, "/v1/models")
    app.add_route(entry, "/v1/entry")
    service_routes = {"methods": METHODS, "stream": True}
    app.add_route(
        service, "/v1/services/<name:str>", name="service_root", **service_routes
    )
    app.add_route(
        service, "/v1/services/<name:str>/<path:path>", name="service", **service_routes
    )
    app.add_route(mint_key, "/v1/keys", methods=["POST"], stream=True, name="mint")
    app.add_route(find_key, "/v1/keys/<key:str>")
    app.add_route(resume, "/v1/resume")
    app.add_route(healthz, "/healthz")
    app.add_route(readyz, "/readyz")
    app.add_route(metrics, "/metrics")
    app.error_handler.add(SanicException, _on_http_error)
    app.error_handler.add(Exception, lambda request, error: _on_fault(host, error))
    return app


def with_body(handler, settings):
    """Return a handler that reads the request's body first, within bounds.

    Failure guarded against: a sender that stops in mid-body, or never stops. The HTTP
    library limits the time of the headers only, so that each slow sender would hold
    a connection for as long as an answer may take, and it limits the size only where
    it reads the body itself.

    Parameters
    ----------
    handler : coroutine function
        Takes the request with its whole body.
    settings : dict
        The daemon's settings.
    """
    timeout_s = settings["callers.body_timeout_s"]
    max_bytes = settings["callers.max_body_bytes"]

    async def handle(request, **arguments):
        refusal = None
        try:
            async with asyncio.timeout(timeout_s):
                body = await _read_body(request, max_bytes)
        except TimeoutError:
            refusal = Refusal("body_timeout", "the body came too slowly", step="http")
        except PayloadTooLarge:
            message = f"the body is over {max_bytes} bytes"
            refusal = Refusal("too_large", message, step="http")
        if refusal is not None:
            await _refuse_and_hang_up(request, refusal)
            return None
        request.body = body
        return await handler(request, **arguments)

    return handle


async def _read_body(request, max_bytes):
    """Return the whole body of a request."""
    parts = []
    size_bytes = 0
    async for part in request.stream:
        size_bytes += len(part)
        if size_bytes > max_bytes:
            raise PayloadTooLarge("body")
        parts.append(part)
    return b"".join(parts)


async def _refuse_and_hang_up(request, refusal):
    """Refuse a request whose body has not come whole, and end its connection.

    The library would go on to read the rest of the body before it serves the next
    request on the connection; a slow sender has it wait for ever.
    """
    response = await request.respond(
        status=STATUS_BY_CODE[refusal.code],
        headers=refusal_headers(refusal),
        content_type=JSON,
    )
    await response.send(refusal_body(refusal, ""))
    await response.eof()
    request.transport.close()


def is_busy(connection):
    """Return whether a connection has a request or unsent bytes of an answer.

    Parameters
    ----------
    connection : sanic.server.protocols.http_protocol.HttpProtocol
        One connection of a listener.
    """
    if connection.transport is None or connection.transport.is_closing():
        return False
    if connection.transport.get_write_buffer_size() > 0:
        return True
    return connection.http is not None and connection.http.stage is not Stage.IDLE


def _on_http_error(request, error):
    """Answer what the HTTP library itself refuses, in our own form."""
    status = getattr(error, "status_code", 500)
    code = "too_large" if status == 413 else "malformed"
    refusal = Refusal(code, str(error)[:200], step="http")
    response = send_refusal(refusal, "")
    response.status = status
    return response


def _on_fault(host, error):
    """Answer a fault of ours without its traceback."""
    host.log("error", "handler_failed", error=repr(error))
    refusal = Refusal("endpoint_failed", "internal error", "unknown", "handler")
    return send_refusal(refusal, "")


def _answer_json(body, status=200):
    """Return a small JSON answer."""
    return raw(json.dumps(body).encode(), status=status, content_type=JSON)


def send_refusal(refusal, request_id):
    """Return the response that carries a refusal.

    Parameters
    ----------
    refusal : Refusal
        Why.
    request_id : str
        The request, empty when it has no id yet.
    """
    return raw(
        refusal_body(refusal, request_id),
        status=STATUS_BY_CODE.get(refusal.code, 503),
        headers=refusal_headers(refusal),
        content_type=JSON,
    )


async def send_delivery(request, delivery, on_gone):
    """Send an answer to the caller as it comes.

    Parameters
    ----------
    request : sanic.Request
        The caller's request.
    delivery : Delivery
        Its answer.
    on_gone : callable
        Called when the caller breaks off before the end.
    """
    try:
        head = await delivery.wait_head()
        if head is None:
            refusal = Refusal(
                "key_unknown_outcome",
                "the answer broke off before it began",
                "unknown",
                "relay",
            )
            return send_refusal(refusal, "")
        content_type = head.headers.get("Content-Type", JSON)
        if not content_type.startswith("text/event-stream"):
            return await _send_whole(delivery, head, content_type)
        response = await request.respond(
            status=head.status, headers=head.headers, content_type=content_type
        )
        async for chunk in delivery.read():
            await response.send(chunk)
        if not delivery.whole:
            # No regular end of the body: a client that ignores the missing end
            # marker still sees that the answer was cut.
            request.transport.abort()
            return None
        await response.eof()
    except asyncio.CancelledError:
        delivery.abandon()
        on_gone()
        raise
    return None


async def _send_whole(delivery, head, content_type):
    """Return an answer with its length, once it is known to be whole."""
    parts = [chunk async for chunk in delivery.read()]
    if not delivery.whole:
        refusal = Refusal(
            "key_unknown_outcome", "the answer was cut", "unknown", "relay"
        )
        return send_refusal(refusal, "")
    headers = {k: v for k, v in head.headers.items() if k != "Content-Type"}
    return raw(
        b"".join(parts), status=head.status, headers=headers, content_type=content_type
    )


def _careful(refusal, request):
    """Return a refusal that speaks for the key too, not for this attempt alone.

    Failure guarded against: a booking ran through one host, and its caller, who got
    no answer, repeats the key through a host that refuses before it has looked the
    key up. "Not run" would have the caller book anew under another key.
    """
    if "idempotency-key" not in request.headers or refusal.code == "malformed":
        return refusal
    return refusal._replace(run="unknown")


async def _serve_model(host, request):
    """Serve one request for model work."""
    refusal = host.readiness.refusal_of_state()
    if refusal is not None:
        return send_refusal(_careful(refusal, request), "")
    call = parse_model_request(
        request.path, request.headers, request.body, host.document
    )
    if isinstance(call, Refusal):
        return send_refusal(_careful(call, request), "")
    await host.flows.follow_deployment(call.deployment)
    if call.idempotent:
        running = host.flows.begin_model(call)
        return await send_delivery(
            request, running.delivery, lambda: host.flows.abandon(running)
        )
    key = call.key or host.flows.mint_key(call.deployment)
    forwarded = FORWARDED_HEADER in request.headers
    answer = await host.flows.serve_keyed(
        key, call.fingerprint, host.flows.model_runner(call, key), request, forwarded
    )
    if isinstance(answer, Refusal):
        return send_refusal(answer, "")
    return await send_delivery(request, answer, lambda: None)


async def _serve_service(host, request, name, path):
    """Serve one call of a plain service."""
    refusal = host.readiness.refusal_of_state()
    if refusal is not None:
        return send_refusal(_careful(refusal, request), "")
    call = host.flows.service_call(request, name, "/" + path)
    if isinstance(call, Refusal):
        return send_refusal(_careful(call, request), "")
    key = request.headers.get("idempotency-key")
    if key is None:
        delivery = host.flows.begin_service(call)
        return await send_delivery(request, delivery, lambda: None)
    forwarded = FORWARDED_HEADER in request.headers
    fingerprint = host.flows.service_fingerprint(call)
    answer = await host.flows.serve_keyed(
        key, fingerprint, host.flows.service_runner(call, key), request, forwarded
    )
    if isinstance(answer, Refusal):
        return send_refusal(answer, "")
    return await send_delivery(request, answer, lambda: None)


async def _resume(host, request):
    """Take up a stream that another connection or host began."""
    token = request.headers.get("gypsumusher-resume", "")
    last = request.headers.get("last-event-id", "0")
    if not last.isdigit() or len(last) > 9:
        refusal = Refusal("malformed", "Last-Event-ID must be a number", step="resume")
        return send_refusal(refusal, "")
    resumed = await host.flows.begin_resume(token, int(last))
    if isinstance(resumed, Refusal):
        return send_refusal(resumed, "")
    return await send_delivery(
        request, resumed.delivery, lambda: host.flows.abandon(resumed)
    )
