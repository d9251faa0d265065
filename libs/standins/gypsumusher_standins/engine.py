"""A stand-in of a model engine: OpenAI-compatible, batched, with orders and faults."""

import asyncio
import os
import secrets

import aiohttp
from aiohttp import web

from gypsumusher_standins.engine_orders import OrderCalls
from gypsumusher_standins.engine_state import (
    CRASH_EXIT_CODE,
    EngineState,
    run_batch,
    take_snapshots,
)
from gypsumusher_standins.registration import announce, withdraw
from gypsumusher_standins.serving import (
    MAX_BODY_BYTES,
    Connections,
    close_connection,
    serve,
)
from gypsumusher_standins.streams import Stream
from gypsumusher_standins.text import count_tokens, prompt_text

DEFAULT_MAX_TOKENS = 16
OVERLONG_TOKENS = 50
STOP_POLL_S = 0.01
KV_FETCH_TIMEOUT_S = 5.0

STATE = web.AppKey("state", EngineState)
CONNECTIONS = web.AppKey("connections", Connections)


def refusal(code, status=503):
    """Return a refusal, which says that nothing of the request ran."""
    error = {"code": code, "message": f"refused: {code}", "type": "engine"}
    return web.json_response({"error": error}, status=status)


def role_allows(role, body):
    """Return whether an engine of a role takes this stage of a request."""
    if role == "mixed":
        return True
    if body.get("kv_export"):
        return role == "prefill"
    if body.get("kv_import"):
        return role == "decode"
    return False


def refusal_code(state, body, kv_tokens):
    """Return why a request is refused before anything of it runs, or None."""
    if state.draining:
        return "draining"
    if body.get("model") not in state.names() | {None}:
        return "no_model"
    if state.changing or not role_allows(state.role, body):
        return "wrong_role"
    if len(state.batch.waiting) >= state.options.queue_limit:
        return "overloaded"
    if kv_tokens > state.options.kv_limit_tokens:
        return "overloaded"
    return None


async def fetch_kv(source):
    """Fetch the KV cache that another engine exported.

    Parameters
    ----------
    source : dict
        The engine's address and the handle.

    Returns
    -------
    bool
        Whether the other engine still had it.
    """
    url = f"http://{source.get('engine')}/v1/kv/{source.get('handle')}"
    timeout = aiohttp.ClientTimeout(total=KV_FETCH_TIMEOUT_S)
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            async with session.get(url) as answer:
                return answer.status == 200
    except (aiohttp.ClientError, TimeoutError, ValueError):
        return False


async def complete(request):
    """Answer a completion or chat completion, streamed or whole."""
    state = request.app[STATE]
    request.app[CONNECTIONS].used_for[request.protocol] = "other"
    try:
        body = await request.json()
        prompt = prompt_text(body)
        max_tokens = body.get("max_tokens", body.get("max_completion_tokens"))
        max_tokens = DEFAULT_MAX_TOKENS if max_tokens is None else int(max_tokens)
        priority = int(request.headers.get("X-Priority", "0"))
    except (ValueError, TypeError, AttributeError):
        return refusal("malformed", 400)
    if max_tokens < 1:
        return refusal("malformed", 400)
    if state.errs():
        return refusal("internal", 500)
    prompt_tokens = count_tokens(prompt)
    code = refusal_code(state, body, prompt_tokens + max_tokens)
    if code is not None:
        return refusal(code)
    if body.get("kv_import"):
        if not await fetch_kv(body["kv_import"]):
            return refusal("kv_unavailable")
    attempt = request.headers.get("X-Request-Id", secrets.token_hex(8))
    stream = build_stream(state, request, attempt, body, prompt, max_tokens)
    state.start_stream(attempt, prompt, stream, body, priority)
    if state.spend("close_after_read"):
        return close_connection(request)
    headers = {"X-Stream-Id": stream.stream_id, "X-Request-Id": attempt}
    if body.get("stream"):
        limit = state.settings["break_after_events"]
        if state.spend("truncate_next"):
            return await send_events(
                request, stream, 0, headers, max(1, max_tokens // 2), True
            )
        return await send_events(request, stream, 0, headers, limit, False)
    return await answer_whole(request, state, stream, headers, body)


def build_stream(state, request, attempt, body, prompt, max_tokens):
    """Return the stream of a request, or another request's where answers cross."""
    is_chat = request.path.endswith("/chat/completions")
    prefix = "chatcmpl" if is_chat else "cmpl"
    answer_id = f"{prefix}-{attempt}"
    prompt_tokens = count_tokens(prompt)
    if state.spend("cross_next"):
        answer_id += "-crossed"
        prompt = f"another caller's {prompt}"
    if state.spend("overlong_next"):
        max_tokens = 2 * max_tokens + OVERLONG_TOKENS
    usage = (body.get("stream_options") or {}).get("include_usage", False)
    return Stream(
        secrets.token_hex(8),
        answer_id,
        is_chat,
        body.get("model") or state.model,
        prompt,
        prompt_tokens,
        max_tokens,
        usage,
    )


async def send_events(request, stream, after, headers, limit, ends_cleanly):
    """Send a stream's events over one connection.

    Parameters
    ----------
    request : aiohttp.web.Request
        The request to answer.
    stream : Stream
        The stream; it goes on when the connection breaks.
    after : int
        Number of the last event that the caller has.
    headers : dict
        Headers of the answer.
    limit : int
        Events after which the answer ends early; 0 for none.
    ends_cleanly : bool
        Whether an early end looks like a proper one, or as a broken connection.

    Returns
    -------
    aiohttp.web.StreamResponse
        The response, ended.
    """
    response = web.StreamResponse(
        headers={**headers, "Content-Type": "text/event-stream"}
    )
    await response.prepare(request)
    sent = after
    while True:
        changed = stream.changed
        batch = stream.events[sent:]
        if limit and sent + len(batch) >= limit:
            batch = batch[: max(0, limit - sent)]
        if batch:
            await response.write(b"".join(batch))
        sent += len(batch)
        if limit and sent >= limit:
            if not ends_cleanly:
                request.transport.abort()
            break
        if sent < len(stream.events):
            continue
        if stream.finished:
            break
        await changed.wait()
    await response.write_eof()
    return response


async def answer_whole(request, state, stream, headers, body):
    """Wait for the end of the work, then answer with one JSON body."""
    while not stream.finished:
        await stream.changed.wait()
    answer = stream.whole_answer()
    if body.get("kv_export"):
        handle = secrets.token_hex(8)
        state.exports[handle] = stream.prompt_tokens
        answer["kv"] = {"engine": state.address, "handle": handle}
    response = web.json_response(answer, headers=headers)
    if not state.spend("truncate_next"):
        return response
    half = web.StreamResponse(
        headers={
            **headers,
            "Content-Type": "application/json",
            "Content-Length": str(len(response.body)),
        }
    )
    await half.prepare(request)
    await half.write(response.body[: len(response.body) // 2])
    request.transport.close()
    return half


async def resume_stream(request):
    """Answer ``GET /v1/streams/ID?after=N``."""
    state = request.app[STATE]
    request.app[CONNECTIONS].used_for[request.protocol] = "other"
    stream = state.streams.get(request.match_info["stream_id"])
    if stream is None:
        return refusal("unknown_stream", 404)
    attempt = stream.answer_id.split("-", 1)[1]
    headers = {"X-Stream-Id": stream.stream_id, "X-Request-Id": attempt}
    after = int(request.query.get("after", "0"))
    return await send_events(request, stream, after, headers, 0, False)


async def cancel_stream(request):
    """Answer ``DELETE /v1/streams/ID``."""
    state = request.app[STATE]
    request.app[CONNECTIONS].used_for[request.protocol] = "other"
    stream = state.streams.get(request.match_info["stream_id"])
    if stream is None:
        return refusal("unknown_stream", 404)
    state.cancel(stream)
    return web.json_response({"cancelled": stream.stream_id})


async def export_kv(request):
    """Answer ``GET /v1/kv/HANDLE`` to another engine, after the transfer's time."""
    state = request.app[STATE]
    request.app[CONNECTIONS].used_for[request.protocol] = "other"
    prompt_tokens = state.exports.get(request.match_info["handle"])
    if prompt_tokens is None:
        return refusal("unknown_handle", 404)
    rate_per_s = state.options.kv_tokens_per_s * state.options.speed
    await asyncio.sleep(prompt_tokens / rate_per_s)
    return web.json_response({"prompt_tokens": prompt_tokens})


async def list_models(request):
    """Answer ``GET /v1/models``."""
    state = request.app[STATE]
    request.app[CONNECTIONS].used_for[request.protocol] = "other"
    names = [state.model, *state.adapters]
    data = [
        {"id": name, "object": "model", "created": 0, "owned_by": "standin"}
        for name in names
    ]
    return web.json_response({"object": "list", "data": data})


async def load(request):
    """Answer ``GET /load``."""
    request.app[CONNECTIONS].used_for[request.protocol] = "other"
    return web.json_response(request.app[STATE].load_report())


async def cache_events(request):
    """Answer ``GET /cache/events?after=SEQ``."""
    request.app[CONNECTIONS].used_for[request.protocol] = "other"
    now_s = asyncio.get_running_loop().time()
    after = int(request.query.get("after", "0"))
    return web.json_response(request.app[STATE].cache.events_after(now_s, after))


async def set_control(request):
    """Answer ``POST /control``: set faults, or crash at once."""
    state = request.app[STATE]
    request.app[CONNECTIONS].used_for[request.protocol] = "other"
    changes = await request.json()
    if changes.pop("crash", False):
        os._exit(CRASH_EXIT_CODE)
    unknown = set(changes) - set(state.settings)
    if unknown:
        return refusal(f"unknown settings {sorted(unknown)}", 400)
    state.settings.update(changes)
    return web.json_response(state.settings)


async def get_control(request):
    """Answer ``GET /control``: counters and faults."""
    state = request.app[STATE]
    request.app[CONNECTIONS].used_for[request.protocol] = "other"
    answer = {
        "requests": state.requests,
        "prompts": state.prompts,
        "prefills": state.prefills,
        "orders": [order.as_json() for order in state.orders.orders],
        "running": len(state.batch.running),
        "waiting": len(state.batch.waiting),
        "role": state.role,
        "settings": state.settings,
    }
    return web.json_response(answer)


def build_app(state, connections):
    """Return the engine stand-in's web application around its state."""
    app = web.Application(client_max_size=MAX_BODY_BYTES)
    app[STATE] = state
    app[CONNECTIONS] = connections
    orders = OrderCalls(state, connections)
    app.add_routes(
        [
            web.post("/v1/completions", complete),
            web.post("/v1/chat/completions", complete),
            web.get("/v1/models", list_models),
            web.get("/v1/streams/{stream_id}", resume_stream),
            web.delete("/v1/streams/{stream_id}", cancel_stream),
            web.get("/v1/kv/{handle}", export_kv),
            web.get("/load", load),
            web.get("/cache/events", cache_events),
            web.get("/orders", orders.get),
            web.post("/orders", orders.post),
            web.post("/control", set_control),
            web.get("/control", get_control),
        ]
    )
    return app


async def run_engine(options):
    """Run an engine stand-in until SIGTERM, which lets accepted work finish.

    Parameters
    ----------
    options : argparse.Namespace
        The command line's options.
    """
    state = EngineState(options)
    connections = Connections()
    app = build_app(state, connections)
    tasks = [
        asyncio.create_task(run_batch(state)),
        asyncio.create_task(take_snapshots(state)),
    ]

    async def on_ready(address):
        state.address = address
        await announce(options, "engine", options.deployment, address, "live")

    async def on_stop():
        state.draining = True
        await announce(options, "engine", options.deployment, state.address, "leaving")
        while not state.batch.is_idle():
            await asyncio.sleep(STOP_POLL_S)
        await withdraw(options)

    await serve(app, connections, options.ip, options.port, on_ready, on_stop)
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
