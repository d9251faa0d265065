"""One attempt of a request on one engine, from its first byte to its last."""

import asyncio
import json
from typing import Any, NamedTuple

import aiohttp

from gypsumusher_daemon.engine_responses import (
    NOT_RUN_CODES,
    AnswerProblem,
    StreamChecker,
    check_whole_answer,
    read_engine_refusal,
)
from gypsumusher_routing.events import OversizedEvent

__all__ = ["Attempt", "AttemptResult", "relay_stream", "run_attempt"]

ANSWER_BYTES_MAX = 64 * 1_048_576
# Takes up a broken stream on the same engine: a connection that breaks while the
# engine lives is repaired by the second try; more tries only delay the refusal.
RESUMES_MAX = 4
RESUME_PAUSE_S = 0.1
# Answers by which an engine says that the request itself is bad, before it runs.
REJECTING_STATUSES = frozenset({400, 404, 413, 415, 422})
# Beyond the asked tokens a stream holds a usage event, an end marker and a few
# events with no token in them.
EXTRA_EVENTS = 16


class Attempt(NamedTuple):
    """What is sent to which engine.

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
        Whether to send on a new connection: a kept-alive one may have been closed by
        the engine a moment ago, which can't be told from a request that ran.
    events_max : int
        Bound on the events of the answer.
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
        ``done``; ``rejected`` for an engine's final word on a bad request;
        ``connect``, ``refused``, ``broken``, ``error``, ``crossed`` or ``crash``.
    ran : str
        ``no`` or ``unknown``; ``yes`` when it is done.
    output_tokens : int
        Tokens of the answer.
    detail : str
        What was seen, for logs.
    status : int
        Status of the engine's answer, 0 when there was none.
    raw : bytes
        Body of an answer that came as one piece.
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
    """Send a request to an engine and see its answer through.

    Parameters
    ----------
    sessions : EngineSessions
        The HTTP sessions.
    attempt : Attempt
        What to send where.
    on_stream : callable
        ``on_stream(stream_id)``, called when the engine has named its stream.
    on_events : coroutine function
        ``await on_events(raw)`` takes whole events of a stream.

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
        # No connection, so no byte of the request was written: "not run" is true.
        return AttemptResult("connect", "no", detail=str(error))
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = "broken" if await sessions.answers(attempt.address) else "crash"
        return AttemptResult(reason, "unknown", detail=repr(error))
    try:
        return await _see_through(sessions, attempt, response, on_stream, on_events)
    finally:
        response.close()


async def _see_through(sessions, attempt, response, on_stream, on_events):
    """Read an answer whose head has come."""
    if response.status != 200:
        return await _failed_answer(sessions, attempt, response)
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
        answer = check_whole_answer(raw, attempt.attempt, attempt.events_max)
    except AnswerProblem as problem:
        return AttemptResult(problem.reason, "unknown", detail=problem.detail)
    except (aiohttp.ClientError, TimeoutError, OSError) as error:
        reason = "broken" if await sessions.answers(attempt.address) else "crash"
        return AttemptResult(reason, "unknown", detail=repr(error))
    return AttemptResult(
        "done", "yes", answer.output_tokens, status=200, raw=raw, kv=answer.kv
    )


async def _failed_answer(sessions, attempt, response):
    """Judge an answer that is no success."""
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
    """Return a body, or raise when it is longer than any answer."""
    parts = []
    size_bytes = 0
    async for part in response.content.iter_any():
        size_bytes += len(part)
        if size_bytes > ANSWER_BYTES_MAX:
            raise AnswerProblem("error", f"answer is over {ANSWER_BYTES_MAX} bytes")
        parts.append(part)
    return b"".join(parts)


async def relay_stream(sessions, address, stream_id, checker, on_events, response=None):
    """Pass on a stream's events to its end, over new connections where one breaks.

    Parameters
    ----------
    sessions : EngineSessions
        The HTTP sessions.
    address : str
        ``IP:PORT`` of the engine.
    stream_id : str
        The engine's name of the stream; it can't be taken up when empty.
    checker : StreamChecker
        Where the stream stands.
    on_events : coroutine function
        ``await on_events(raw)`` takes whole events.
    response : aiohttp.ClientResponse or None
        An answer that has begun; None takes the stream up.

    Returns
    -------
    AttemptResult
        Only the same engine's same stream is ever taken up, so that an answer is
        never put together from two attempts.
    """
    detail = ""
    for resume in range(RESUMES_MAX + 1):
        if response is None:
            response = await _take_up(sessions, address, stream_id, checker.last_id)
        if isinstance(response, AttemptResult):
            return response
        if response is not None:
            try:
                await _pass_on(response, checker, on_events)
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
    reason = "broken" if await sessions.answers(address) else "crash"
    return AttemptResult(reason, "unknown", detail=detail or "stream ended early")


async def _take_up(sessions, address, stream_id, after):
    """Open a stream again; a result when the engine no longer has it."""
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
        return AttemptResult("broken", "unknown", detail="engine forgot the stream")
    if response.status != 200:
        response.close()
        return None
    return response


async def _pass_on(response, checker, on_events):
    """Pass on whole events until the end marker or the connection's end."""
    async for data in response.content.iter_any():
        raw = checker.feed(data)
        if raw:
            await on_events(raw)
        if checker.done:
            return
