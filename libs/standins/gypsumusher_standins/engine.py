"""Stand-in of a model engine with an OpenAI-compatible HTTP API.

It simulates continuous batching, a prefix cache and the transfer of KV caches, executes
orders, and simulates the faults that a test sets by ``POST /control``.
"""

import asyncio
import os
import secrets

import aiohttp
from aiohttp import web

from gypsumusher_standins.engine_orders import OrderHandlers
from gypsumusher_standins.engine_state import (
    CRASH_EXIT_CODE,
    EngineState,
    record_snapshots,
    run_scheduler,
)
from gypsumusher_standins.registration import deregister_endpoint, register_endpoint
from gypsumusher_standins.serving import (
    MAX_BODY_BYTES,
    ConnectionTracker,
    abort_connection,
    serve,
)
from gypsumusher_standins.streams import Stream
from gypsumusher_standins.text import count_tokens, prompt_text

DEFAULT_MAX_TOKENS = 16
# Tokens that the fault overlong_next adds to twice the requested number.
OVERLONG_EXTRA_TOKENS = 50
# Interval of the checks at shutdown whether all accepted requests have finished.
DRAIN_POLL_S = 0.01
# Limit on the fetch of a KV cache; without it, a request would wait for a hung engine.
KV_FETCH_TIMEOUT_S = 5.0

STATE = web.AppKey("state", EngineState)
CONNECTIONS = web.AppKey("connections", ConnectionTracker)


def error_response(code, status=503):
    """Return an error response, which states that no part of the request ran."""
    error = {"code": code, "message": f"refused: {code}", "type": "engine"}
    return web.json_response({"error": error}, status=status)


def role_accepts(role, body):
    """Return whether an engine with a role accepts this stage of a request."""
    if role == "mixed":
        return True
    if body.get("kv_export"):
        return role == "prefill"
    if body.get("kv_import"):
        return role == "decode"
    return False


def refusal_code(state, body, kv_tokens):
    """Return the code with which a request is refused before it runs, or None."""
    if state.draining:
        return "draining"
    if body.get("model") not in state.model_names() | {None}:
        return "no_model"
    if state.reconfiguring or not role_accepts(state.role, body):
        return "wrong_role"
    if len(state.scheduler.waiting) >= state.options.queue_limit:
        return "overloaded"
    if kv_tokens > state.options.kv_limit_tokens:
        return "overloaded"
    return None


async def fetch_kv(source):
    """Fetch the KV cache that another engine exported.

    The response carries no KV data; its delay simulates the transfer.

    Parameters
    ----------
    source : dict
        ``engine``, the address of the exporting engine, and ``handle``.

    Returns
    -------
    bool
        Whether the other engine still had the KV cache and could be reached.
    """
    url = f"http://{source.get('engine')}/v1/kv/{source.get('handle')}"
    timeout = aiohttp.ClientTimeout(total=KV_FETCH_TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(url) as response:
                return response.status == 200
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return False


async def handle_completion(request):
    """Handle a completion or chat completion request, streamed or not."""
    state = request.app[STATE]
    request.app[CONNECTIONS].purposes[request.protocol] = "other"
    try:
        body = await request.json()
        prompt = prompt_text(body)
        max_tokens = body.get("max_tokens", body.get("max_completion_tokens"))
        max_tokens = DEFAULT_MAX_TOKENS if max_tokens is None else int(max_tokens)
        priority = int(request.headers.get("X-Priority", "0"))
    except (ValueError, TypeError, AttributeError):
        return error_response("malformed", 400)
    if max_tokens < 1:
        return error_response("malformed", 400)
    if state.should_fail():
        return error_response("internal", 500)
    prompt_tokens = count_tokens(prompt)
    code = refusal_code(state, body, prompt_tokens + max_tokens)
    if code is not None:
        return error_response(code)
    if body.get("kv_import"):
        if not await fetch_kv(body["kv_import"]):
            return error_response("kv_unavailable")
    attempt_id = request.headers.get("X-Request-Id", secrets.token_hex(8))
    stream = build_stream(state, request, attempt_id, body, prompt, max_tokens)
    state.start_stream(attempt_id, prompt, stream, body, priority)
    if state.consume_fault("close_after_read"):
        return abort_connection(request)
    headers = {"X-Stream-Id": stream.stream_id, "X-Request-Id": attempt_id}
    if body.get("stream"):
        max_events = state.settings["break_after_events"]
        if state.consume_fault("truncate_next"):
            return await send_events(
                request, stream, 0, headers, max(1, max_tokens // 2), True
            )
        return await send_events(request, stream, 0, headers, max_events, False)
    return await send_whole_response(request, state, stream, headers, body)


def build_stream(state, request, attempt_id, body, prompt, max_tokens):
    """Return the stream of a request, changed by the faults that are set.

    ``cross_next`` generates the response to another prompt, and ``overlong_next`` more
    tokens than the request allows.
    """
    is_chat = request.path.endswith("/chat/completions")
    prefix = "chatcmpl" if is_chat else "cmpl"
    completion_id = f"{prefix}-{attempt_id}"
    prompt_tokens = count_tokens(prompt)
    if state.consume_fault("cross_next"):
        completion_id += "-crossed"
        prompt = f"another caller's {prompt}"
    if state.consume_fault("overlong_next"):
        max_tokens = 2 * max_tokens + OVERLONG_EXTRA_TOKENS
    usage = (body.get("stream_options") or {}).get("include_usage", False)
    return Stream(
        secrets.token_hex(8),
        completion_id,
        is_chat,
        body.get("model") or state.model,
        prompt,
        prompt_tokens,
        max_tokens,
        usage,
    )


async def send_events(request, stream, after_event, headers, max_events, ends_cleanly):
    """Send a stream's events over one connection.

    Parameters
    ----------
    request : aiohttp.web.Request
        The request to answer.
    stream : Stream
        The stream; its generation continues if the connection breaks.
    after_event : int
        Number of the last event that the caller has received; 0 for none.
    headers : dict
        Headers of the response.
    max_events : int
        Number of the event after which the response ends early; 0 for no limit.
    ends_cleanly : bool
        Whether an early end completes the HTTP response; otherwise, the connection is
        aborted.

    Returns
    -------
    aiohttp.web.StreamResponse
        The response, which has ended.
    """
    response = web.StreamResponse(
        headers={**headers, "Content-Type": "text/event-stream"}
    )
    await response.prepare(request)
    sent_events = after_event
    while True:
        change_event = stream.change_event
        new_events = stream.events[sent_events:]
        if max_events and sent_events + len(new_events) >= max_events:
            new_events = new_events[: max(0, max_events - sent_events)]
        if new_events:
            await response.write(b"".join(new_events))
        sent_events += len(new_events)
        if max_events and sent_events >= max_events:
            if not ends_cleanly:
                request.transport.abort()
            break
        if sent_events < len(stream.events):
            continue
        if stream.is_finished:
            break
        await change_event.wait()
    await response.write_eof()
    return response


async def send_whole_response(request, state, stream, headers, body):
    """Wait until the stream has finished, then respond with one JSON body."""
    while not stream.is_finished:
        await stream.change_event.wait()
    payload = stream.whole_response()
    if body.get("kv_export"):
        handle = secrets.token_hex(8)
        state.exported_kv_tokens[handle] = stream.prompt_tokens
        payload["kv"] = {"engine": state.address, "handle": handle}
    response = web.json_response(payload, headers=headers)
    if not state.consume_fault("truncate_next"):
        return response
    truncated_response = web.StreamResponse(
        headers={
            **headers,
            "Content-Type": "application/json",
            "Content-Length": str(len(response.body)),
        }
    )
    await truncated_response.prepare(request)
    await truncated_response.write(response.body[: len(response.body) // 2])
    request.transport.close()
    return truncated_response


async def resume_stream(request):
    """Handle ``GET /v1/streams/ID?after=N``: send the events after number N."""
    state = request.app[STATE]
    request.app[CONNECTIONS].purposes[request.protocol] = "other"
    stream = state.streams.get(request.match_info["stream_id"])
    if stream is None:
        return error_response("unknown_stream", 404)
    attempt_id = stream.completion_id.split("-", 1)[1]
    headers = {"X-Stream-Id": stream.stream_id, "X-Request-Id": attempt_id}
    after_event = int(request.query.get("after", "0"))
    return await send_events(request, stream, after_event, headers, 0, False)


async def cancel_stream(request):
    """Handle ``DELETE /v1/streams/ID``: cancel the stream."""
    state = request.app[STATE]
    request.app[CONNECTIONS].purposes[request.protocol] = "other"
    stream = state.streams.get(request.match_info["stream_id"])
    if stream is None:
        return error_response("unknown_stream", 404)
    state.cancel(stream)
    return web.json_response({"cancelled": stream.stream_id})


async def export_kv(request):
    """Handle ``GET /v1/kv/HANDLE``: respond after the simulated transfer time."""
    state = request.app[STATE]
    request.app[CONNECTIONS].purposes[request.protocol] = "other"
    prompt_tokens = state.exported_kv_tokens.get(request.match_info["handle"])
    if prompt_tokens is None:
        return error_response("unknown_handle", 404)
    rate_per_s = state.options.kv_tokens_per_s * state.options.speed
    await asyncio.sleep(prompt_tokens / rate_per_s)
    return web.json_response({"prompt_tokens": prompt_tokens})


async def list_models(request):
    """Handle ``GET /v1/models``: list the model and the adapters."""
    state = request.app[STATE]
    request.app[CONNECTIONS].purposes[request.protocol] = "other"
    names = [state.model, *state.adapters]
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "standin"}
        for name in names
    ]
    return web.json_response({"object": "list", "data": data})


async def get_load(request):
    """Handle ``GET /load``: return the load report."""
    request.app[CONNECTIONS].purposes[request.protocol] = "other"
    return web.json_response(request.app[STATE].load_report())


async def get_cache_events(request):
    """Handle ``GET /cache/events?after=SEQ``: return changes of the prefix cache."""
    request.app[CONNECTIONS].purposes[request.protocol] = "other"
    now_s = asyncio.get_running_loop().time()
    after_sequence = int(request.query.get("after", "0"))
    return web.json_response(
        request.app[STATE].cache.events_after(now_s, after_sequence)
    )


async def set_control(request):
    """Handle ``POST /control``: set faults, or exit at once as in a crash."""
    state = request.app[STATE]
    request.app[CONNECTIONS].purposes[request.protocol] = "other"
    changes = await request.json()
    if changes.pop("crash", False):
        os._exit(CRASH_EXIT_CODE)
    unknown = set(changes) - set(state.settings)
    if unknown:
        return error_response(f"unknown settings {sorted(unknown)}", 400)
    state.settings.update(changes)
    return web.json_response(state.settings)


async def get_control(request):
    """Handle ``GET /control``: return the counters and the faults that are set."""
    state = request.app[STATE]
    request.app[CONNECTIONS].purposes[request.protocol] = "other"
    payload = {
        "requests": state.runs_by_request_id,
        "prompts": state.runs_by_prompt,
        "prefills": state.prefill_runs_by_prompt,
        "orders": [order.as_json() for order in state.orders.orders],
        "running": len(state.scheduler.running),
        "waiting": len(state.scheduler.waiting),
        "role": state.role,
        "settings": state.settings,
    }
    return web.json_response(payload)


def build_app(state, connections):
    """Return the web application of an engine stand-in with the given state."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app[STATE] = state
    app[CONNECTIONS] = connections
    orders = OrderHandlers(state, connections)
    app.add_routes(
        [
            web.post("/v1/completions", handle_completion),
            web.post("/v1/chat/completions", handle_completion),
            web.get("/v1/models", list_models),
            web.get("/v1/streams/{stream_id}", resume_stream),
            web.delete("/v1/streams/{stream_id}", cancel_stream),
            web.get("/v1/kv/{handle}", export_kv),
            web.get("/load", get_load),
            web.get("/cache/events", get_cache_events),
            web.get("/orders", orders.get),
            web.post("/orders", orders.post),
            web.post("/control", set_control),
            web.get("/control", get_control),
        ]
    )
    return app


async def run_engine(options):
    """Run an engine stand-in until SIGTERM, then finish the accepted requests.

    Parameters
    ----------
    options : argparse.Namespace
        The command-line options.
    """
    state = EngineState(options)
    connections = ConnectionTracker()
    app = build_app(state, connections)
    tasks = [
        asyncio.create_task(run_scheduler(state)),
        asyncio.create_task(record_snapshots(state)),
    ]

    async def on_ready(address):
        state.address = address
        await register_endpoint(options, "engine", options.deployment, address, "live")

    async def on_stop():
        state.draining = True
        await register_endpoint(
            options, "engine", options.deployment, state.address, "leaving"
        )
        while not state.scheduler.is_idle():
            await asyncio.sleep(DRAIN_POLL_S)
        await deregister_endpoint(options)

    await serve(app, connections, options.ip, options.port, on_ready, on_stop)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
