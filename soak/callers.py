"""Callers of the soak run: find hosts, reuse connections and check every response."""

import asyncio
import itertools
import random
import zlib

import aiohttp
from records import (
    EVENTS,
    PROMPT,
    STREAM,
    Outcome,
    StreamTry,
    deadline_s,
    expected_body,
    parse_events,
)

from gypsumusher_objects import disable_retries

__all__ = ["TOKEN_COUNTS", "Caller", "Demand", "draw_parts", "encode_parts"]

# Kinds of requests whose responses are streams of events.
STREAMED = (STREAM, PROMPT)
# Tokens of the prompts of streams, and the limit on their output: a prompt that is
# prefilled on a separate engine, and one that is not worth it.
TOKEN_COUNTS = {PROMPT: "30000,8", STREAM: "600,8"}
# How long a caller caches the list of hosts that the directory returned.
DIRECTORY_CACHE_S = 1.0
# Share of the requests that the caller abandons, and the range of the time after which
# it closes the connection.
ABANDONED_SHARE, ABANDON_AFTER_S = 0.05, (0.0, 0.1)
# Time that callers wait beyond the deadline of a request; after it, the request has the
# problem "late".
TIMEOUT_MARGIN_S = 2.0
CONNECT_TIMEOUT_S = 0.5
# Share of the requests that are of the favoured kind, if there is one.
FAVOURED_SHARE = 0.5
# How often a caller that doesn't wait repeats a request that failed.
IMPATIENT_REPEATS = 3
# Attempts that a caller makes at a stream until it has all events, the longest pause
# between two of them, and the share of the first ones that it leaves after some events.
STREAM_TRIES, STREAM_PAUSE_S, STREAM_LEFT_SHARE = 4, 0.3, 0.3


# Parts that prompts share, by their place.
SHARED_PARTS = (("a1", "a2", "a3"), ("b1", "b2", "b3", "b4"))
PART_TOKENS = 200


def draw_parts(rng, own_part):
    """Return the ids of a prompt's parts: shared ones, then its own."""
    return [*(rng.choice(parts) for parts in SHARED_PARTS), own_part]


def encode_parts(parts):
    """Return the header that names the parts of a prompt."""
    return ",".join(f"{part}:{PART_TOKENS}" for part in parts)


class Demand:
    """What all callers ask for at the moment; faults change it.

    Attributes
    ----------
    rate : float
        Multiple of the usual rate of requests.
    favoured_kind : str or None
        Kind of `FAVOURED_SHARE` of the requests; None for the usual kinds alone.
    repeating_share : float
        Share of failed requests that are sent again at once, as new requests.
    leaving_share : float
        Share of the requests that callers abandon, besides the usual one.
    flooding_share : float
        Share of the requests that the first client account sends, besides its usual
        one.
    """

    def __init__(self):
        self.rate = 1.0
        self.favoured_kind = None
        self.repeating_share = 0.0
        self.leaving_share = 0.0
        self.flooding_share = 0.0


class Caller:
    """Sends one request after another until it is closed.

    Parameters
    ----------
    number, seed : int
        Number of the caller and seed of the run; together they seed its draws.
    clock : callable
        Returns the seconds since the run began.
    records : Records
        Receives each request, and the outcome of those that were not abandoned.
    deployment : Deployment
        Kinds of requests, and the delays between them.
    directories : list of str
        Addresses of the listeners that return the hosts to call.
    demand : Demand
        What the caller asks for at the moment.
    """

    def __init__(self, number, seed, clock, records, deployment, directories, demand):
        self._rng = random.Random(f"{seed}/{number}")
        self._ids = (f"r{seed}-{number}-{count}" for count in itertools.count())
        self._clock = clock
        self._records = records
        self._deployment = deployment
        self._directories = directories
        self._demand = demand
        self._hosts = []
        self._hosts_expire_s = 0.0
        self._session = None
        self._task = None
        self._requests = set()
        self._is_closing = False

    async def start(self):
        """Start sending requests."""
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S)
        self._session = aiohttp.ClientSession(timeout=timeout)
        disable_retries(self._session)
        self._task = asyncio.ensure_future(self._run())

    async def close(self):
        """Stop sending, and wait for the request in flight."""
        self._is_closing = True
        longest_s = max(map(deadline_s, self._deployment.request_kinds))
        await asyncio.wait([self._task], timeout=longest_s + TIMEOUT_MARGIN_S + 1.0)
        self._task.cancel()
        results = await asyncio.gather(self._task, return_exceptions=True)
        await self._session.close()
        for result in results:
            if isinstance(result, Exception):
                raise result

    async def _run(self):
        while not self._is_closing:
            interval_s = self._rng.uniform(*self._deployment.request_interval_s)
            await asyncio.sleep(interval_s / self._demand.rate)
            kind = self._rng.choice(self._deployment.request_kinds)
            favoured_kind = self._demand.favoured_kind
            if favoured_kind and self._rng.random() < FAVOURED_SHARE:
                kind = favoured_kind
            request = asyncio.ensure_future(self._request_and_repeat(kind))
            self._requests.add(request)
            request.add_done_callback(self._forget)
            if self._deployment.callers_wait:
                await request
        if self._requests:
            await asyncio.gather(*self._requests)

    def _forget(self, request):
        """Forget a request that has ended as it should."""
        if not request.cancelled() and request.exception() is None:
            self._requests.discard(request)

    async def _request_and_repeat(self, kind):
        """Send one request, and again at once for as long as it is to be repeated."""
        for _ in range(1 + IMPATIENT_REPEATS):
            await self._resolve_hosts()
            if not self._hosts or not await self._request(kind):
                return

    async def _request(self, kind):
        """Send one request; return whether to send it again at once."""
        host = self._rng.choice(self._hosts)
        if kind == STREAM and self._deployment.callers_take_up_streams:
            await self._follow_stream(host)
            return False
        call = self._send(host, kind, next(self._ids))
        if self._rng.random() < ABANDONED_SHARE + self._demand.leaving_share:
            await self._abandon(call)
            return False
        outcome, _ = await call
        self._records.outcomes.append(outcome)
        if outcome.problem == "connect":
            # Like a real client: try other addresses, then resolve again.
            self._hosts = [other for other in self._hosts if other != host]
        if not outcome.problem and outcome.status < 500:
            return False
        share = self._demand.repeating_share
        return share > 0.0 and self._rng.random() < share

    async def _follow_stream(self, host):
        """Begin a stream, and take it up where it broke off until it is whole."""
        first_id = began_id = None
        had_events = 0
        for number in range(STREAM_TRIES):
            request_id = next(self._ids)
            first_id = first_id or request_id
            leaves_after = None
            if number == 0 and self._rng.random() < STREAM_LEFT_SHARE:
                leaves_after = self._rng.randrange(1, EVENTS)
            outcome, events = await self._send(
                host, STREAM, request_id, began_id, had_events, leaves_after
            )
            if leaves_after is None or len(events) < leaves_after:
                self._records.outcomes.append(outcome)
            versions = tuple(version for _, version in events)
            self._records.stream_tries.append(
                StreamTry(
                    first_id, request_id, host, outcome.sent_s, outcome.ended_s,
                    had_events, versions,
                )
            )  # fmt: skip
            if events and began_id is None:
                began_id = request_id
            had_events += len(events)
            if had_events >= EVENTS:
                return
            await asyncio.sleep(self._rng.uniform(0.0, STREAM_PAUSE_S))
            if outcome.problem == "connect":
                self._hosts = [other for other in self._hosts if other != host]
            await self._resolve_hosts()
            if not self._hosts:
                return
            host = self._rng.choice(self._hosts)

    def _own_part(self, request_id):
        """Return the last part of a prompt, which only this request has."""
        return f"f{zlib.crc32(request_id.encode()):x}"

    async def _abandon(self, call):
        """Cancel a request after a random time, which closes its connection."""
        try:
            async with asyncio.timeout(self._rng.uniform(*ABANDON_AFTER_S)):
                await call
        except TimeoutError:
            return

    async def _resolve_hosts(self):
        if self._hosts and self._clock() < self._hosts_expire_s:
            return
        address = self._rng.choice(self._directories)
        try:
            call = self._session.get(f"http://{address}/v1/resolve")
            async with asyncio.timeout(CONNECT_TIMEOUT_S), call as response:
                if response.status != 200:
                    return
                self._hosts = (await response.json())["addresses"]
                self._hosts_expire_s = self._clock() + DIRECTORY_CACHE_S
        except (aiohttp.ClientError, TimeoutError, OSError):
            return

    async def _send(
        self, host, kind, request_id, began_id=None, had_events=0, leaves_after=None
    ):
        """Send one request and check the response.

        Parameters
        ----------
        host, kind, request_id : str
            Address of the host, and kind and id of the request.
        began_id : str or None
            Id of the attempt that brought the first event of the stream to be taken up.
        had_events : int
            Number of events that the caller has of it.
        leaves_after : int or None
            Number of events after which the caller closes the connection.

        Returns
        -------
        (Outcome, list of (int, str))
            The outcome, and the number and software version of each event that came.
        """
        sent_s = self._clock()
        self._records.sent[request_id] = (self._deployment.service_of(kind), sent_s)
        self._records.hosts[request_id] = host
        status, problem, is_sealed, retry_after = 0, "", False, None
        headers = {
            "Host": "shop.example",
            "X-Gypsumusher-Request-Id": request_id,
            "X-Gypsumusher-Deadline-Ms": str(int(deadline_s(kind) * 1000)),
        }
        if self._records.keys:
            # Also keys that were taken away: their callers don't know it.
            keys = sorted(self._records.keys)
            share = self._demand.flooding_share
            is_flood = share > 0.0 and self._rng.random() < share
            key = keys[0] if is_flood else self._rng.choice(keys)
            headers["X-Gypsumusher-Key"] = key
            self._records.keys_sent[request_id] = (key, sent_s)
        if began_id is not None:
            headers["Resumes"] = began_id
            headers["Last-Event-Id"] = str(had_events - 1)
        if kind in TOKEN_COUNTS and self._deployment.has_engines:
            headers["X-Gypsumusher-Token-Count"] = TOKEN_COUNTS[kind]
            if self._deployment.has_parts:
                parts = draw_parts(self._rng, self._own_part(request_id))
                self._records.first_parts[request_id] = parts[0]
                headers["X-Gypsumusher-Prompt-Prefix"] = encode_parts(parts)
        timeout = aiohttp.ClientTimeout(
            total=deadline_s(kind) + TIMEOUT_MARGIN_S, sock_connect=CONNECT_TIMEOUT_S
        )
        url = f"http://{host}/{kind}/x"
        body = b"question" if self._deployment.shares_content else request_id.encode()
        data, events = b"", []
        try:
            call = self._session.post(url, data=body, headers=headers, timeout=timeout)
            async with call as response:
                status = response.status
                is_sealed = "X-Gypsumusher-Server-Seal" in response.headers
                retry_after = response.headers.get("Retry-After")
                if response.headers.get("X-Gypsumusher-Request-Id") != request_id:
                    problem = "wrong_id"
                async for piece in response.content.iter_any():
                    data += piece
                    if kind in STREAMED and status == 200:
                        events = parse_events(request_id, data) or []
                    if leaves_after is not None and len(events) >= leaves_after:
                        break
                else:
                    if status == 200 and not problem:
                        expected = _is_expected(kind, request_id, data, had_events)
                        problem = "" if expected else "wrong_body"
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            problem = "connect"
        except TimeoutError:
            problem = "late"
        except (aiohttp.ClientError, OSError):
            problem = "broken" if status else "cut"
        if [number for number, _ in events] != list(
            range(had_events, had_events + len(events))
        ):
            problem = "wrong_body"
        outcome = Outcome(
            request_id, kind, host, sent_s, self._clock(), status, problem, is_sealed,
            retry_after,
        )  # fmt: skip
        return outcome, events


def _is_expected(kind, request_id, data, had_events):
    """Return whether a body is the whole valid response to a request."""
    if kind not in STREAMED:
        return data == expected_body(request_id)
    events = parse_events(request_id, data)
    if events is None or not data.endswith(b"\n\n"):
        return False
    return [number for number, _ in events] == list(range(had_events, EVENTS))
