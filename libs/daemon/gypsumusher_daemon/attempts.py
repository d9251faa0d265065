"""Sends one attempt of a model request to one engine and reads its answer."""

import asyncio
import json
from typing import Any, NamedTuple

import aiohttp

from gypsumusher_daemon.engine_responses import (
    NOT_RUN_CODES,
    AnswerProblem,
    StreamChecker,
    check_complete_answer,
    read_engine_refusal,
)
from gypsumusher_routing.events import OversizedEvent

__all__ = ["Attempt", "AttemptResult", "relay_stream", "run_attempt"]

# Bounds the memory that a single answer can take.
ANSWER_BYTES_MAX = 64 * 1_048_576
# Reconnections to a broken stream on the same engine. If the engine is alive, the
# second one succeeds; more of them only delay the refusal.
RESUMES_MAX = 4
# The n-th reconnection waits n times this long.
RESUME_PAUSE_S = 0.1
# Statuses with which an engine rejects an invalid request before running it.
REJECTING_STATUSES = frozenset({400, 404, 413, 415, 422})
# Beyond the requested tokens a stream holds a usage event, an end marker and a few
# events without a token.
EXTRA_EVENTS = 16


class Attempt(NamedTuple):
    """One request to one engine.

    Attributes
    ----------
    attempt : str
        Unique request id that the engine echoes.
    endpoint, address : str
        The engine's name and ``IP:PORT``.
    path : str
        Path of the request.
    body : dict
        JSON body.
    priority : int
        Priority on the engine, smaller first.
    fresh : bool
        Whether to send on a new connection: a kept-alive one may have just been
        closed by the engine, which can't be told from a request that ran.
    events_max : int
        Most events, or tokens of a JSON answer, that the answer may have.
    """

    attempt: str
    endpoint: str
    address: str
    path: str
    body: dict[str, Any]
    priority: int
    fresh: bool
    events_max: int


class AttemptResult(NamedTuple):
    """How an attempt ended.

    Attributes
    ----------
    reason : str
        ``done``; ``rejected`` when the engine found the request invalid; ``connect``
        when there was no connection; ``refused`` when the engine took no work;
        ``broken`` for a lost connection; ``error`` for an invalid answer;
        ``crossed`` for the answer to another request; ``crash`` when the engine
        refuses connections.
    ran : str
        Whether the engine ran the request: ``yes``, ``no`` or ``unknown``.
    output_tokens : int
        Tokens of the answer.
    detail : str
        Cause of a failure, for logs.
    status : int
        HTTP status of the engine's answer, 0 when there was none.
    raw : bytes
        Body of an answer that was not streamed.
    kv : dict or None
        Where the KV cache can be fetched, after a prefill.
    """

    reason: str
    ran: str
    output_tokens: int = 0
    detail: str = ""
    status: int = 0
    raw: bytes = b""
    kv: dict[str, Any] | None = None


async def run_attempt(sessions, attempt, on_stream, on_events):
    """Send a request to an engine and read its answer to the end.

    Parameters
    ----------
    sessions : EngineSessions
        The HTTP sessions.
    attempt : Attempt
        What to send to which engine.
    on_stream : callable
        ``on_stream(stream_id)``, called when the engine has named its stream.
    on_events : coroutine function
        ``await on_events(raw)`` gets the bytes of complete events of a stream.

    Returns
    -------
    AttemptResult
    """
    session = sessions.fresh if attempt.fresh else sessions.shared
    headers = {
        "X-Request-Id": attempt.attempt,
        "X-Priority": str(attempt.priority),
        "Content-Type": "application/json",
    }
    try:
        response = await session.post(
            f"http://{attempt.address}{attempt.path}",
            data=json.dumps(attempt.body).encode(),
            headers=headers,
            allow_redirects=False,
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
        # Without a connection no byte of the request was written, so it did not run.
        return AttemptResult("connect", "no", detail=str(error))
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = (
            "broken" if await sessions.accepts_connections(attempt.address) else "crash"
        )
        return AttemptResult(reason, "unknown", detail=repr(error))
    try:
        return await _read_response(sessions, attempt, response, on_stream, on_events)
    finally:
        response.close()


async def _read_response(sessions, attempt, response, on_stream, on_events):
    """Read an answer whose status line and headers have been received."""
    if response.status != 200:
        return await _error_result(sessions, attempt, response)
    echoed = response.headers.get("X-Request-Id")
    if echoed != attempt.attempt:
        return AttemptResult("crossed", "unknown", detail=f"echoed id {echoed!r:.80}")
    if attempt.body.get("stream"):
        stream_id = response.headers.get("X-Stream-Id", "")
        on_stream(stream_id)
        checker = StreamChecker(attempt.attempt, attempt.events_max)
        return await relay_stream(
            sessions, attempt.address, stream_id, checker, on_events, response
        )
    try:
        raw = await _read_bounded(response)
        answer = check_complete_answer(raw, attempt.attempt, attempt.events_max)
    except AnswerProblem as problem:
        return AttemptResult(problem.reason, "unknown", detail=problem.detail)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = (
            "broken" if await sessions.accepts_connections(attempt.address) else "crash"
        )
        return AttemptResult(reason, "unknown", detail=repr(error))
    return AttemptResult(
        "done", "yes", answer.output_tokens, status=200, raw=raw, kv=answer.kv
    )


async def _error_result(sessions, attempt, response):
    """Return the result that an engine's error answer stands for."""
    try:
        raw = await _read_bounded(response)
    except (aiohttp.ClientError, TimeoutError, OSError, AnswerProblem) as error:
        return AttemptResult("error", "unknown", detail=repr(error))
    code = read_engine_refusal(raw)
    if response.status == 503 and code in NOT_RUN_CODES:
        return AttemptResult("refused", "no", detail=code, status=503)
    if response.status in REJECTING_STATUSES:
        return AttemptResult(
            "rejected", "no", detail=code, status=response.status, raw=raw
        )
    return AttemptResult(
        "error", "unknown", detail=f"status {response.status}", status=response.status
    )


async def _read_bounded(response):
    """Return a body; raise AnswerProblem when it is over `ANSWER_BYTES_MAX`."""
    parts = []
    size_bytes = 0
    async for part in response.content.iter_any():
        size_bytes += len(part)
        if size_bytes > ANSWER_BYTES_MAX:
            raise AnswerProblem("error", f"answer exceeds {ANSWER_BYTES_MAX} bytes")
        parts.append(part)
    return b"".join(parts)


async def relay_stream(sessions, address, stream_id, checker, on_events, response=None):
    """Relay a stream's events to its end, reconnecting when the connection breaks.

    Parameters
    ----------
    sessions : EngineSessions
        The HTTP sessions.
    address : str
        ``IP:PORT`` of the engine.
    stream_id : str
        The stream's id on its engine; empty when the stream can't be resumed.
    checker : StreamChecker
        Checks the events and holds the position in the stream.
    on_events : coroutine function
        ``await on_events(raw)`` gets the bytes of complete events.
    response : aiohttp.ClientResponse or None
        An open response of the stream; None opens one.

    Returns
    -------
    AttemptResult

    Notes
    -----
    Only the same stream of the same engine is resumed, so that an answer is never
    put together from two attempts.
    """
    detail = ""
    for resume in range(RESUMES_MAX + 1):
        if response is None:
            response = await _reopen_stream(
                sessions, address, stream_id, checker.last_id
            )
        if isinstance(response, AttemptResult):
            return response
        if response is not None:
            try:
                await _relay_events(response, checker, on_events)
            except (AnswerProblem, OversizedEvent) as problem:
                reason = getattr(problem, "reason", "error")
                detail = str(problem)
                if reason != "broken":
                    await sessions.cancel(address, stream_id)
                    return AttemptResult(reason, "unknown", detail=detail)
            except (aiohttp.ClientError, TimeoutError, OSError) as error:
                detail = repr(error)
            finally:
                response.close()
                response = None
        if checker.done:
            return AttemptResult("done", "yes", checker.events, status=200)
        if not stream_id:
            break
        checker.restart()
        await asyncio.sleep(RESUME_PAUSE_S * resume)
    reason = "broken" if await sessions.accepts_connections(address) else "crash"
    return AttemptResult(reason, "unknown", detail=detail or "stream ended early")


async def _reopen_stream(sessions, address, stream_id, after):
    """Resume a stream after an event.

    Returns
    -------
    aiohttp.ClientResponse, AttemptResult or None
        A result when the stream or its engine is gone, None when another try may
        succeed.
    """
    try:
        response = await sessions.shared.get(
            f"http://{address}/v1/streams/{stream_id}",
            params={"after": str(after)},
            allow_redirects=False,
        )
    except aiohttp.ClientConnectorError as error:
        return AttemptResult("crash", "unknown", detail=str(error))
    except (aiohttp.ClientError, TimeoutError, OSError):
        return None
    if response.status == 404:
        response.close()
        return AttemptResult("broken", "unknown", detail="engine no longer has stream")
    if response.status != 200:
        response.close()
        return None
    return response


async def _relay_events(response, checker, on_events):
    """Relay complete events until the end marker or the end of the connection."""
    async for data in response.content.iter_any():
        raw = checker.feed(data)
        if raw:
            await on_events(raw)
        if checker.done:
            return
