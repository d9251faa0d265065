"""Prompts that are read apart, by an engine that hands its KV cache on."""

from gypsumusher_entry.errors import OverloadedError
from gypsumusher_entry.sending_to_endpoints import (
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
    choose_prefill,
    urgency_of,
)

__all__ = ["PrefilledPrompt", "record_prefill", "prefill_prompt"]

# Engines that are asked to read one prompt; after that the engine that makes the tokens
# reads it itself.
MAX_READERS = 2
# Time for a call that frees a handle, in seconds; it lapses by itself soon after.
FREE_TIMEOUT_S = 1.0


class PrefilledPrompt:
    """A prompt that an engine has read and keeps for a while.

    Parameters
    ----------
    state : EndpointState
        The engine.
    answer : PrefillResult
        What it said.
    """

    def __init__(self, state, answer):
        self.state = state
        self.handle = answer.handle

    @property
    def source(self):
        """Where the KV cache lies, for the engine that fetches it."""
        return f"{self.state.record.address}/{self.handle}"

    async def free(self, context):
        """Have the engine free it: nobody will take it any more."""
        record = self.state.record
        call = encode_handle_release(record.address, self.handle)
        try:
            await call_engine(context, record, call, FREE_TIMEOUT_S)
        except (CallError, TimeoutError) as error:
            # It lapses by itself; until then it takes memory from others.
            context.log(
                "info",
                "handle_not_freed",
                endpoint=record.endpoint_id,
                error=str(error) or "timeout",
            )


async def prefill_prompt(exchange, limits):
    """Have the prompt read apart, where that is expected to be done first.

    Parameters
    ----------
    exchange : Exchange
        The request.
    limits : EngineLimits
        What the engines have in common.

    Returns
    -------
    PrefilledPrompt or None
        None when the engine that makes the tokens is to read it.

    Raises
    ------
    NoRetryError
        When an engine hasn't read it, and it may not be sent again.
    OverloadedError
        When no engine would begin before the caller gives up.
    """
    context = exchange.context
    tried = set()
    for _ in range(MAX_READERS):
        states = context.endpoints.of_service(exchange.service)
        states = [s for s in states if s.record.endpoint_id not in tried]
        fleet = context.fleet(exchange.service, limits, states)
        reading = choose_prefill(context.clock(), fleet, exchange.wish, context.draw)
        if reading is None:
            return None
        if reading.lane == HOPELESS:
            raise OverloadedError(
                reading.expected_s, exchange.first_event_limits.abandoned_s
            )
        if not reading.is_disaggregated:
            return None
        exchange.reserve_send()
        tried.add(reading.state.record.endpoint_id)
        exchange.waits_at = reading.state.record.endpoint_id
        prompt = await _read_at(exchange, reading)
        exchange.waits_at = None
        if prompt is not None:
            return prompt
    return None


async def _read_at(exchange, reading):
    """Have one engine read the prompt; None when it doesn't."""
    context, state = exchange.context, reading.state
    send = SendOptions(
        state.record.endpoint_id,
        exchange.patience_s,
        urgency=urgency_of(exchange.route.priority, reading.lane),
        is_prefill=True,
        kv_fetch=reading.fetch_address,
    )
    began_s = context.clock()
    state.own_running += 1
    state.begin_prefill(reading.cost_s, reading.lane)
    parts = exchange.request.generation.parts
    context.note_placement(state, parts, wait_s=reading.expected_s)
    context.note_reading_begun()
    learnt = context.learnt(exchange.service)
    limit_s = learnt.prefill_timeout_s(state.stage, reading.expected_s)
    longest_s = exchange.first_event_limits.abandoned_s
    if reading.lane != TIMELY:
        # Asked for elsewhere it would stand last again.
        limit_s = longest_s
    try:
        async with silence_timeout(exchange, limit_s, longest_s):
            answer = await _ask(exchange, state, send)
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
        state.end_prefill(reading.cost_s, reading.lane)
    exchange.account.on_prompt_accepted()
    took_s = context.clock() - began_s
    state.on_answer_bytes(context.clock())
    record_prefill(exchange, reading, took_s)
    state.health.on_success(context.clock())
    context.note_placement(state, parts)
    exchange.log(
        "info",
        "prompt_read",
        endpoint=state.record.endpoint_id,
        tokens=exchange.request.generation.prompt_tokens,
        kept=reading.cached_tokens,
        fetched_from=reading.fetch_address,
        lane=reading.lane,
        queue_ms=round(reading.queue_s * 1000),
        expected_ms=round(reading.expected_s * 1000),
        took_ms=round(took_s * 1000),
        cost_ms=round(reading.cost_s * 1000),
        pace=round(state.slowdown.factor(context.clock()), 2),
        margin=round(learnt.margin(state.stage), 2),
    )
    return PrefilledPrompt(state, answer)


def record_prefill(exchange, reading, took_s):
    """Take in what a reading took, in seconds."""
    context, state = exchange.context, reading.state
    seen = PrefillObservation(
        "prefill" if reading.is_disaggregated else "decode",
        reading.lane,
        reading.new_tokens,
        reading.cached_tokens,
        reading.fetch_s,
        reading.cost_s,
        reading.queue_s,
        took_s,
    )
    context.learnt(exchange.service).on_prefill(context.clock(), state.slowdown, seen)


async def _ask(exchange, state, send):
    """Send the prompt to one engine; return what it says of it."""
    answer = await start_send(exchange, state, send)
    try:
        head = await answer.head()
        body = await answer.body()
    finally:
        answer.close()
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
