"""HTTP routes for callers: model requests, plain services, keys and entry hosts."""

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

__all__ = ["create_callers_app", "is_busy", "send_delivery", "refusal_response"]

JSON = "application/json"
METHODS = ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]
# Longer than any answer takes: an answer is bounded by the engine's silence limit and
# the caller's deadline, not by the HTTP library.
RESPONSE_TIMEOUT_S = 86_400
# An idle connection of a caller is closed after this.
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
            # Sanic's touch-up rewrites its own methods for the first app of a
            # process and fails for the second one.
            "TOUCHUP": False,
        }
    )

    async def completions(request):
        return await _serve_model(host, request)

    async def service(request, name, path=""):
        return await _serve_service(host, request, name, path)

    async def entry(request):
        return _json_response(entry_answer(host, request.args))

    async def models(request):
        return _json_response(models_answer(host))

    async def mint_key(request):
        refusal = host.readiness.current_refusal()
        if refusal is not None:
            return refusal_response(refusal, "")
        deployment = request.args.get("deployment")
        return _json_response({"key": host.request_runner.mint_key(deployment)})

    async def find_key(request, key):
        forwarded = FORWARDED_HEADER in request.headers
        return _json_response(
            await host.request_runner.key_outcome(unquote(key), forwarded)
        )

    async def resume(request):
        return await _resume(host, request)

    async def healthz(request):
        return _json_response({"host": host.name, "state": host.state})

    async def readyz(request):
        ready = host.readiness.is_ready()
        body = {
            "ready": ready,
            "state": host.state,
            "config_number": host.config_number,
        }
        return _json_response(body, 200 if ready else 503)

    async def metrics(request):
        body, headers = host.metrics.render(request.headers.getall("accept", []))
        return raw(body, headers=headers)

    completions = with_bounded_body(completions, settings)
    service = with_bounded_body(service, settings)
    mint_key = with_bounded_body(mint_key, settings)
    model_routes = {"methods": ["POST"], "stream": True}
    app.add_route(completions, COMPLETIONS, name="completions", **model_routes)
    app.add_route(completions, CHAT_COMPLETIONS, name="chat", **model_routes)
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
    app.error_handler.add(
        Exception, lambda request, error: _on_unhandled_error(host, error)
    )
    return app


def with_bounded_body(handler, settings):
    """Return a handler that first reads the request body, limited in time and size.

    Guards against a sender that stops in the middle of the body or never ends it.
    The HTTP library limits only the time of the headers, so a slow sender would hold
    a connection for `RESPONSE_TIMEOUT_S`, and it limits the size only of a body that
    it reads itself.

    Parameters
    ----------
    handler : coroutine function
        Called with the request once ``request.body`` is complete.
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
            await _refuse_and_close(request, refusal)
            return None
        request.body = body
        return await handler(request, **arguments)

    return handle


async def _read_body(request, max_bytes):
    """Return the complete body of a request; raise PayloadTooLarge when over limit."""
    parts = []
    size_bytes = 0
    async for part in request.stream:
        size_bytes += len(part)
        if size_bytes > max_bytes:
            raise PayloadTooLarge("body")
        parts.append(part)
    return b"".join(parts)


async def _refuse_and_close(request, refusal):
    """Refuse a request whose body is incomplete, and close its connection.

    The library would read the rest of the body before it serves the next request on
    the connection, and a slow sender would keep it waiting without limit.
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
    """Return whether a connection serves a request or has unsent bytes of an answer.

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
    """Return the refusal for a request that the HTTP library itself rejected."""
    status = getattr(error, "status_code", 500)
    code = "too_large" if status == 413 else "malformed"
    refusal = Refusal(code, str(error)[:200], step="http")
    response = refusal_response(refusal, "")
    response.status = status
    return response


def _on_unhandled_error(host, error):
    """Log an unhandled exception and answer without its traceback."""
    host.log("error", "handler_failed", error=repr(error))
    refusal = Refusal("endpoint_failed", "internal error", "unknown", "handler")
    return refusal_response(refusal, "")


def _json_response(body, status=200):
    """Return a JSON response."""
    return raw(json.dumps(body).encode(), status=status, content_type=JSON)


def refusal_response(refusal, request_id):
    """Return the HTTP response for a refusal.

    Parameters
    ----------
    refusal : Refusal
        Why the request is not served.
    request_id : str
        Id of the request, empty when it has none yet.
    """
    return raw(
        refusal_body(refusal, request_id),
        status=STATUS_BY_CODE.get(refusal.code, 503),
        headers=refusal_headers(refusal),
        content_type=JSON,
    )


async def send_delivery(request, delivery, on_gone):
    """Send an answer to the caller: a stream as it arrives, any other when complete.

    Parameters
    ----------
    request : sanic.Request
        The caller's request.
    delivery : Delivery
        Its answer.
    on_gone : callable
        Called when the caller disconnects before the end.

    Returns
    -------
    sanic.HTTPResponse or None
        None when the answer was streamed.
    """
    try:
        head = await delivery.wait_head()
        if head is None:
            refusal = Refusal(
                "key_unknown_outcome",
                "the connection to the endpoint was lost before an answer began",
                "unknown",
                "relay",
            )
            return refusal_response(refusal, "")
        content_type = head.headers.get("Content-Type", JSON)
        if not content_type.startswith("text/event-stream"):
            return await _complete_response(delivery, head, content_type)
        response = await request.respond(
            status=head.status, headers=head.headers, content_type=content_type
        )
        async for chunk in delivery.read():
            await response.send(chunk)
        if not delivery.complete:
            # Aborting leaves the chunked body without its end, so a client that
            # ignores the missing end marker still sees that the answer is truncated.
            request.transport.abort()
            return None
        await response.eof()
    except asyncio.CancelledError:
        delivery.abandon()
        on_gone()
        raise
    return None


async def _complete_response(delivery, head, content_type):
    """Return the response for an answer with its length, or a refusal if truncated."""
    parts = [chunk async for chunk in delivery.read()]
    if not delivery.complete:
        refusal = Refusal(
            "key_unknown_outcome", "the answer was truncated", "unknown", "relay"
        )
        return refusal_response(refusal, "")
    headers = {k: v for k, v in head.headers.items() if k != "Content-Type"}
    return raw(
        b"".join(parts), status=head.status, headers=headers, content_type=content_type
    )


def _with_unknown_run(refusal, request):
    """Return the refusal with ``run`` set to unknown if the request carries a key.

    A keyed request may have run through another host. When its caller, who got no
    answer, repeats it through a host that refuses before looking the key up, "not
    run" would make the caller send the request again under another key, and it would
    run twice.
    """
    if "idempotency-key" not in request.headers or refusal.code == "malformed":
        return refusal
    return refusal._replace(run="unknown")


async def _serve_model(host, request):
    """Serve a completion or chat completion request."""
    refusal = host.readiness.current_refusal()
    if refusal is not None:
        return refusal_response(_with_unknown_run(refusal, request), "")
    call = parse_model_request(
        request.path, request.headers, request.body, host.document
    )
    if isinstance(call, Refusal):
        return refusal_response(_with_unknown_run(call, request), "")
    await host.request_runner.ensure_polled(call.deployment)
    if call.idempotent:
        running = host.request_runner.start_model(call)
        return await send_delivery(
            request, running.delivery, lambda: host.request_runner.abandon(running)
        )
    key = call.key or host.request_runner.mint_key(call.deployment)
    forwarded = FORWARDED_HEADER in request.headers
    answer = await host.request_runner.run_keyed(
        key,
        call.fingerprint,
        host.request_runner.model_runner(call, key),
        request,
        forwarded,
    )
    if isinstance(answer, Refusal):
        return refusal_response(answer, "")
    return await send_delivery(request, answer, lambda: None)


async def _serve_service(host, request, name, path):
    """Serve a request to a plain service."""
    refusal = host.readiness.current_refusal()
    if refusal is not None:
        return refusal_response(_with_unknown_run(refusal, request), "")
    call = host.request_runner.service_call(request, name, "/" + path)
    if isinstance(call, Refusal):
        return refusal_response(_with_unknown_run(call, request), "")
    key = request.headers.get("idempotency-key")
    if key is None:
        delivery = host.request_runner.start_service(call)
        return await send_delivery(request, delivery, lambda: None)
    forwarded = FORWARDED_HEADER in request.headers
    fingerprint = host.request_runner.service_fingerprint(call)
    answer = await host.request_runner.run_keyed(
        key,
        fingerprint,
        host.request_runner.service_runner(call, key),
        request,
        forwarded,
    )
    if isinstance(answer, Refusal):
        return refusal_response(answer, "")
    return await send_delivery(request, answer, lambda: None)


async def _resume(host, request):
    """Resume a stream that was started on another connection or host."""
    token = request.headers.get("gypsumusher-resume", "")
    last = request.headers.get("last-event-id", "0")
    if not last.isdigit() or len(last) > 9:
        refusal = Refusal("malformed", "Last-Event-ID must be a number", step="resume")
        return refusal_response(refusal, "")
    resumed = await host.request_runner.start_resume(token, int(last))
    if isinstance(resumed, Refusal):
        return refusal_response(resumed, "")
    return await send_delivery(
        request, resumed.delivery, lambda: host.request_runner.abandon(resumed)
    )
