"""Prefill on a separate engine, which hands its KV cache to the decoding one."""

import asyncio

from gypsumusher_entry.errors import OverloadedError
from gypsumusher_entry.sending_to_endpoints import (
    SMALL_BODY_MAX_BYTES,
    call_engine,
    record_failure,
    silence_timeout,
    start_send,
)
from gypsumusher_http import CallError
from gypsumusher_platform import decode_prefill_result, encode_handle_release
from gypsumusher_ports import DecodeError, SendOptions
from gypsumusher_routing import (
    HOPELESS,
    TIMELY,
    PrefillObservation,
    choose_decode,
    choose_prefill,
    urgency_of,
)

__all__ = ["PrefilledPrompt", "prefill_prompt", "record_prefill"]

# Limits the engines asked for a separate prefill of one prompt; after that the engine
# that decodes prefills it itself.
MAX_PREFILL_ENGINES = 2
# Time limit of a call that frees a handle; the handle expires by itself soon after.
FREE_HANDLE_TIMEOUT_S = 1.0
# Longest time for which that call is put off while the engine wants no requests. The
# handle expires by itself soon after.
FREE_HANDLE_DELAY_MAX_S = 3.0


class PrefilledPrompt:
    """A prompt whose KV cache an engine keeps for a while.

    Parameters
    ----------
    state : EndpointState
        The engine.
    response : PrefillResult
        The engine's response.
    """

    def __init__(self, state, response):
        self.state = state
        self.handle = response.handle

    @property
    def source(self):
        """Location of the KV cache, for the engine that fetches it."""
        return f"{self.state.record.address}/{self.handle}"

    async def free(self, context):
        """Have the engine free the KV cache, which no engine will fetch any more."""
        record = self.state.record
        call = encode_handle_release(record.address, self.handle)
        delay_s = context.endpoint_notices.pause_left_s(record)
        await asyncio.sleep(min(FREE_HANDLE_DELAY_MAX_S, delay_s))
        try:
            await call_engine(
                context, record, call, FREE_HANDLE_TIMEOUT_S, SMALL_BODY_MAX_BYTES
            )
        except (CallError, TimeoutError) as error:
            # The handle expires by itself; until then it occupies memory.
            context.log(
                "info",
                "handle_not_freed",
                endpoint=record.endpoint_id,
                error=str(error) or "timeout",
            )


async def prefill_prompt(exchange, limits):
    """Prefill the prompt on a separate engine, where that is expected to be faster.

    Parameters
    ----------
    exchange : Exchange
        The request.
    limits : EngineLimits
        Limits that all engines of the service have in common.

    Returns
    -------
    PrefilledPrompt or None
        None when the engine that decodes is to prefill the prompt.

    Raises
    ------
    NoRetryError
        When an engine failed to prefill the prompt and it may not be sent again.
    OverloadedError
        When no engine would start before the caller gives up.
    """
    context = exchange.context
    tried_ids = set()
    for number in range(MAX_PREFILL_ENGINES):
        states = exchange.stream_endpoints()
        states = [s for s in states if s.record.endpoint_id not in tried_ids]
        engine_pool = context.engine_pool(exchange.service, limits, states)
        prefill = choose_prefill(
            context.clock(), engine_pool, exchange.routing_request, context.draw_uniform
        )
        if prefill is None:
            return None
        if number == 0:
            context.account_demand.on_placed(exchange, prefill)
        if prefill.lane == HOPELESS:
            context.notify_prompt(exchange, prefill, is_begun=False)
            raise OverloadedError(
                prefill.expected_s, exchange.first_event_limits.abandoned_s
            )
        if not prefill.is_disaggregated:
            return None
        exchange.reserve_send()
        if not _reserve_decode(exchange, engine_pool, prefill):
            return None
        tried_ids.add(prefill.state.record.endpoint_id)
        exchange.prefill_endpoint_id = prefill.state.record.endpoint_id
        prompt = await _prefill_at(exchange, prefill)
        exchange.prefill_endpoint_id = None
        if prompt is not None:
            return prompt
    return None


def _reserve_decode(exchange, engine_pool, prefill):
    """Reserve room to decode a prompt, if all engines that could have a limit.

    Otherwise other requests may use that room while the prompt is prefilled.

    Parameters
    ----------
    exchange : Exchange
        The request.
    engine_pool : EnginePool
        The engines that may get a request now.
    prefill : PrefillChoice
        The prefill that is about to start.

    Returns
    -------
    bool
        Whether the prompt may be prefilled.
    """
    context = exchange.context
    decoding = [state for state in engine_pool.states if state.stage != "prefill"]
    limits = context.endpoint_limits
    if exchange.reserved_state is not None or not limits.are_limited(decoding):
        return True
    state = choose_decode(
        context.clock(),
        engine_pool,
        exchange.routing_request,
        prefill.state.record.zone,
        context.draw_uniform,
    )
    if not limits.reserve(state):
        return False
    exchange.reserved_state = state
    return True


async def _prefill_at(exchange, prefill):
    """Have one engine prefill the prompt; return None when it doesn't."""
    context, state = exchange.context, prefill.state
    send = SendOptions(
        state.record.endpoint_id,
        exchange.endpoint_time_limit_s,
        urgency=urgency_of(exchange.sent_rank, prefill.lane),
        is_prefill=True,
        kv_fetch=prefill.fetch_address,
        account=exchange.account_name,
    )
    cost_model = context.cost_model(exchange.service)
    limit_s = cost_model.prefill_timeout_s(state.stage, prefill.expected_s)
    longest_s = exchange.first_event_limits.abandoned_s
    if prefill.lane != TIMELY:
        # At another engine the prompt would start at the end of the queue again.
        limit_s = longest_s
    parts = exchange.request.generation.parts
    began_s = context.clock()
    state.own_running += 1
    state.begin_prefill(prefill.cost_s, prefill.lane)
    try:
        context.record_prefix_placement(state, parts, wait_s=prefill.expected_s)
        context.notify_prefill_start()
        context.notify_prompt(exchange, prefill, is_begun=True)
        async with silence_timeout(exchange, limit_s, longest_s):
            response = await _request_prefill(exchange, state, send)
    except TimeoutError:
        reason = "behind" if state.has_answered_since(began_s) else "silent"
        error = CallError("prefill", state.record.address, reason, False)
        record_failure(exchange, state, error, waited_s=context.clock() - began_s)
        return None
    except CallError as error:
        record_failure(exchange, state, error)
        return None
    finally:
        state.own_running -= 1
        state.end_prefill(prefill.cost_s, prefill.lane)
    exchange.send_counter.on_prompt_accepted()
    took_s = context.clock() - began_s
    state.on_answer_bytes(context.clock())
    record_prefill(exchange, prefill, took_s)
    state.health.on_success(context.clock())
    context.record_prefix_placement(state, parts)
    exchange.log(
        "info",
        "prompt_read",
        endpoint=state.record.endpoint_id,
        tokens=exchange.request.generation.prompt_tokens,
        kept=prefill.cached_tokens,
        fetched_from=prefill.fetch_address,
        lane=prefill.lane,
        queue_ms=round(prefill.queue_s * 1000),
        expected_ms=round(prefill.expected_s * 1000),
        took_ms=round(took_s * 1000),
        cost_ms=round(prefill.cost_s * 1000),
        pace=round(state.slowdown.factor(context.clock()), 2),
        margin=round(cost_model.margin(state.stage), 2),
    )
    return PrefilledPrompt(state, response)


def record_prefill(exchange, prefill, took_s):
    """Record how long a prefill took, in seconds."""
    context, state = exchange.context, prefill.state
    observation = PrefillObservation(
        "prefill" if prefill.is_disaggregated else "decode",
        prefill.lane,
        prefill.new_tokens,
        prefill.cached_tokens,
        prefill.fetch_s,
        prefill.cost_s,
        prefill.queue_s,
        took_s,
    )
    context.cost_model(exchange.service).on_prefill(
        context.clock(), state.slowdown, observation
    )


async def _request_prefill(exchange, state, send):
    """Send the prompt to one engine; return its decoded response."""
    response = await start_send(exchange, state, send)
    response.limit_body(SMALL_BODY_MAX_BYTES)
    try:
        with exchange.context.endpoint_connections.fails_with_link(state, response):
            head = await response.head()
            body = await response.body()
    finally:
        response.close()
    peer = state.record.address
    if head.is_wrong_endpoint:
        exchange.context.endpoints.on_wrong_endpoint(state.record.endpoint_id)
    if head.status != 200:
        reason = "full" if head.is_not_run else f"status_{head.status}"
        raise CallError("prefill", peer, reason, False)
    try:
        return decode_prefill_result(peer, body)
    except DecodeError as error:
        raise CallError("prefill", peer, "garbled", False) from error
