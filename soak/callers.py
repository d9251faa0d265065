"""Callers of the soak: they ask for hosts, keep connections, and check each answer."""

import asyncio
import itertools
import random

import aiohttp
from checks import PATIENCE_S
from records import ANY_TIMES, EVENTS, ONCE, STREAM, Outcome, body_of, event_of

from gypsumusher_objects import disable_retries

__all__ = ["Caller"]

KINDS = (ANY_TIMES, ANY_TIMES, ONCE, STREAM)
# Pause between two requests of a caller, in seconds.
PAUSE_S = (0.01, 0.05)
# For how long a caller keeps the directory's answer, in seconds.
DIRECTORY_S = 1.0
# Part of the requests whose caller leaves before their end, and after how long, in
# seconds.
LEAVING, LEAVES_S = 0.05, (0.0, 0.1)
# After this the caller gives up and counts the request as late, in seconds.
GIVES_UP_S = PATIENCE_S + 2.0
CONNECT_TIMEOUT_S = 0.5


class Caller:
    """Sends one request after another until it is closed.

    Parameters
    ----------
    number, seed : int
        Which caller of which run.
    clock : callable
        Seconds of the run.
    outcomes : list of Outcome
        Takes how each request ended.
    directories : list of str
        Addresses that answer which hosts to use.
    """

    def __init__(self, number, seed, clock, outcomes, directories):
        self._draw = random.Random(f"{seed}/{number}")
        self._ids = (f"r{seed}-{number}-{count}" for count in itertools.count())
        self._clock = clock
        self._outcomes = outcomes
        self._directories = directories
        self._hosts = []
        self._known_until_s = 0.0
        self._session = None
        self._task = None
        self._is_closing = False

    async def start(self):
        """Begin to send."""
        timeout = aiohttp.ClientTimeout(
            total=GIVES_UP_S, sock_connect=CONNECT_TIMEOUT_S
        )
        self._session = aiohttp.ClientSession(timeout=timeout)
        disable_retries(self._session)
        self._task = asyncio.ensure_future(self._run())

    async def close(self):
        """Send no more; the request under way is awaited."""
        self._is_closing = True
        await asyncio.wait([self._task], timeout=GIVES_UP_S + 1.0)
        self._task.cancel()
        results = await asyncio.gather(self._task, return_exceptions=True)
        await self._session.close()
        for result in results:
            if isinstance(result, Exception):
                raise result

    async def _run(self):
        while not self._is_closing:
            await asyncio.sleep(self._draw.uniform(*PAUSE_S))
            await self._find_hosts()
            if not self._hosts:
                continue
            host = self._draw.choice(self._hosts)
            kind = self._draw.choice(KINDS)
            call = self._ask(host, kind, next(self._ids))
            if self._draw.random() < LEAVING:
                await self._leave_early(call)
                continue
            outcome = await call
            self._outcomes.append(outcome)
            if outcome.problem == "connect":
                # As callers do: another address, and the directory again.
                self._hosts = [other for other in self._hosts if other != host]

    async def _leave_early(self, call):
        """Close a request's connection in the middle."""
        try:
            async with asyncio.timeout(self._draw.uniform(*LEAVES_S)):
                await call
        except TimeoutError:
            return

    async def _find_hosts(self):
        if self._hosts and self._clock() < self._known_until_s:
            return
        address = self._draw.choice(self._directories)
        try:
            call = self._session.get(f"http://{address}/v1/resolve")
            async with asyncio.timeout(CONNECT_TIMEOUT_S), call as answer:
                self._hosts = (await answer.json())["addresses"]
                self._known_until_s = self._clock() + DIRECTORY_S
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def _ask(self, host, kind, request_id):
        """Send one request and judge its answer."""
        sent_s = self._clock()
        status, problem, is_sealed, retry_after = 0, "", False, None
        headers = {
            "Host": "shop.example",
            "X-Gypsumusher-Request-Id": request_id,
            "X-Gypsumusher-Deadline-Ms": str(int(PATIENCE_S * 1000)),
        }
        url = f"http://{host}/{kind}/x"
        try:
            call = self._session.post(url, data=b"question", headers=headers)
            async with call as answer:
                status = answer.status
                is_sealed = "X-Gypsumusher-Server-Seal" in answer.headers
                retry_after = answer.headers.get("Retry-After")
                body = await answer.read()
                if answer.headers.get("X-Gypsumusher-Request-Id") != request_id:
                    problem = "wrong_id"
                elif status == 200 and body != _right_body(kind, request_id):
                    problem = "wrong_body"
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            problem = "connect"
        except TimeoutError:
            problem = "late"
        except (aiohttp.ClientError, OSError):
            problem = "broken" if status else "cut"
        return Outcome(
            request_id, kind, host, sent_s, self._clock(), status, problem, is_sealed,
            retry_after,
        )  # fmt: skip


def _right_body(kind, request_id):
    if kind != STREAM:
        return body_of(request_id)
    return b"".join(event_of(request_id, number) for number in range(EVENTS))
