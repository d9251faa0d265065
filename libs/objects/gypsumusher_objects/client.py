"""Client of the platform's object API, one call at a time and never a hidden repeat."""

import json
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import aiohttp
from returns.result import Failure, Result, Success
from yarl import URL

from gypsumusher_objects.budget import READ, WRITE, CallBudget
from gypsumusher_objects.errors import (
    BUDGET,
    CONFLICT,
    INVALID,
    THROTTLED,
    UNAVAILABLE,
    PlatformError,
)
from gypsumusher_objects.response_body import PIECE_BYTES, BodyTooLarge, read_body
from gypsumusher_objects.retries import disable_retries
from gypsumusher_objects.types import (
    ListedHost,
    Listing,
    PlatformObject,
    VersionedValue,
    WatchResult,
)

# A platform on the same network answers a connect within milliseconds; an address
# that has not after a second is dead, and the next address should have its turn.
CONNECT_TIMEOUT_S = 1.0
# Enough for a host's handful of watches and its group commits side by side.
CONNECTION_LIMIT = 32
KEEPALIVE_S = 15.0
# Values end at a megabyte, and the largest listing is one kind of a fleet; a body
# beyond this is refused before it can fill the memory of a small host.
ANSWER_LIMIT_BYTES = 32 * 1024 * 1024
# Answers by which the platform says that the call will never be taken as it stands.
INVALID_STATUSES = frozenset({400, 401, 403, 405, 413, 415, 422})


class Answer(NamedTuple):
    """A complete answer of the platform: status and decoded JSON body."""

    status: int
    body: Any


class BadAnswer(Exception):
    """The platform's answer is too large, not JSON, or lacks a field."""


def boottime_s() -> float:
    """Return seconds since boot, counted through suspends of the host."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PlatformClient:
    """Calls the object API within a budget.

    Every method makes at most one call and returns a ``Result``; when to try again
    is the caller's decision, because only it knows whether a write that may have
    taken effect can be repeated.

    Parameters
    ----------
    urls : sequence of str
        Base URLs of the platform; after a failure the next one is used.
    token : str
        Bearer token.
    client_name : str
        Name under which the platform counts this client's calls.
    timeout_s : float
        Seconds that one call may take, connect included.
    budget : CallBudget
        Limit of this host's calls.
    clock : callable
        Clock that the budget is kept by, in seconds.
    """

    def __init__(
        self,
        urls: Sequence[str],
        token: str,
        client_name: str,
        timeout_s: float,
        budget: CallBudget,
        clock: Callable[[], float] = boottime_s,
    ):
        if not urls:
            raise ValueError("urls names no address of the platform")
        self.urls = [url.rstrip("/") for url in urls]
        self.timeout_s = timeout_s
        self.budget = budget
        self.clock = clock
        self.calls: Counter[str] = Counter()
        self._headers = {
            "Authorization": f"Bearer {token}",
            "X-Client-Name": client_name,
            "Accept-Encoding": "identity",
        }
        self._turn = 0
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the session; connections are made by the calls."""
        connector = aiohttp.TCPConnector(
            limit=CONNECTION_LIMIT,
            limit_per_host=CONNECTION_LIMIT,
            keepalive_timeout=KEEPALIVE_S,
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            headers=self._headers,
            cookie_jar=aiohttp.DummyCookieJar(),
            trust_env=False,
            auto_decompress=False,
            read_bufsize=PIECE_BYTES,
        )
        disable_retries(self._session)

    async def close(self) -> None:
        """Close the session and its connections."""
        if self._session is None:
            return
        session = self._session
        self._session = None
        await session.close()

    def is_up(self) -> bool:
        """Return whether the last call that was answered or broke was answered."""
        return not self.budget.is_failing()

    async def read(
        self, kind: str, name: str, urgent: bool = False
    ) -> Result[VersionedValue | None, PlatformError]:
        """Read one object; None when it does not exist."""
        call = _Call("GET", f"/v1/objects/{_part(kind)}/{_part(name)}", READ, urgent)
        return await self._run(call, _parse_read)

    async def write(
        self, kind: str, name: str, value: Any, if_version: int, urgent: bool = False
    ) -> Result[int, PlatformError]:
        """Write one object if its version is `if_version` (0: must not exist).

        Returns
        -------
        Result[int, PlatformError]
            The new version. With ``sent`` true the write may have taken effect:
            read the object before acting on either belief.
        """
        body = {"value": value, "if_version": if_version}
        path = f"/v1/objects/{_part(kind)}/{_part(name)}"
        call = _Call("PUT", path, WRITE, urgent, body)
        return await self._run(call, _parse_write)

    async def delete(
        self, kind: str, name: str, if_version: int, urgent: bool = False
    ) -> Result[int, PlatformError]:
        """Delete one object if its version is `if_version`.

        An object that does not exist is a conflict whose ``stored`` is None.
        """
        query = urlencode({"if_version": if_version})
        path = f"/v1/objects/{_part(kind)}/{_part(name)}?{query}"
        return await self._run(_Call("DELETE", path, WRITE, urgent), _parse_write)

    async def watch(
        self,
        kind: str,
        after: int,
        timeout_s: float,
        name: str | None = None,
        urgent: bool = False,
    ) -> Result[WatchResult, PlatformError]:
        """Wait until a kind changes after revision `after`, at most `timeout_s`."""
        query = {"after": after, "timeout_s": timeout_s}
        if name is not None:
            query["name"] = name
        path = f"/v1/watch/{_part(kind)}?{urlencode(query)}"
        call = _Call("WATCH", path, READ, urgent, wait_s=timeout_s)
        return await self._run(call, _parse_change)

    async def list_hosts(
        self, urgent: bool = False
    ) -> Result[list[ListedHost], PlatformError]:
        """Read the platform's lagging list of endpoints."""
        call = _Call("GET", "/v1/hosts", READ, urgent)
        return await self._run(call, _parse_hosts)

    # Last, because in the class body its name hides the built-in list from here on.
    async def list(
        self, kind: str, urgent: bool = False
    ) -> Result[Listing, PlatformError]:
        """Read all objects of a kind."""
        call = _Call("GET", f"/v1/objects/{_part(kind)}", READ, urgent)
        return await self._run(call, _parse_listing)

    async def _run(self, call, parse) -> Result[Any, PlatformError]:
        peer = self.urls[self._turn % len(self.urls)]
        error = PlatformError(UNAVAILABLE, f"{call.name} {call.path}", peer, sent=True)
        started_s = self.clock()
        wait_s = self.budget.take(started_s, call.budget_kind, call.urgent)
        if wait_s > 0.0:
            detail = "the host's own call budget or back-off"
            return Failure(
                error._replace(
                    kind=BUDGET, sent=False, retry_after_s=wait_s, detail=detail
                )
            )
        self.calls[call.name] += 1
        try:
            answer = await self._exchange(peer, call)
            result = _judge(answer, error, parse)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            # Only these two are raised before a connection exists, so that no byte
            # of the request can have left; every other failure is an unknown.
            result = Failure(error._replace(sent=False, detail=repr(exc)))
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            BadAnswer,
            BodyTooLarge,
        ) as exc:
            result = Failure(error._replace(detail=repr(exc)))
        self._note(result, started_s)
        return result

    async def _exchange(self, peer: str, call) -> Answer:
        if self._session is None:
            raise RuntimeError("PlatformClient is not started")
        timeout = aiohttp.ClientTimeout(
            total=call.wait_s + self.timeout_s,
            connect=min(self.timeout_s, CONNECT_TIMEOUT_S),
            sock_connect=min(self.timeout_s, CONNECT_TIMEOUT_S),
            sock_read=call.wait_s + self.timeout_s,
        )
        body = None
        headers = {}
        if call.body is not None:
            body = json.dumps(call.body, separators=(",", ":")).encode()
            headers["Content-Type"] = "application/json"
        method = "GET" if call.name == "WATCH" else call.name
        async with self._session.request(
            method,
            URL(peer + call.path, encoded=True),
            data=body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            payload = await read_body(response, ANSWER_LIMIT_BYTES)
            return _decode(response, payload)

    def _note(self, result: Result[Any, PlatformError], started_s: float) -> None:
        if not isinstance(result, Failure):
            self.budget.on_success(started_s)
            return
        error = result.failure()
        if error.kind == THROTTLED:
            self.budget.on_failure(self.clock(), started_s, error.retry_after_s)
            return
        if error.kind == UNAVAILABLE:
            self.budget.on_failure(self.clock(), started_s)
            self._turn += 1
            return
        self.budget.on_success(started_s)


class _Call(NamedTuple):
    name: str
    path: str
    budget_kind: str
    urgent: bool
    body: Any = None
    wait_s: float = 0.0


def _decode(response: aiohttp.ClientResponse, payload: bytes) -> Answer:
    if response.status == 429:
        return Answer(429, _retry_after_s(response.headers.get("Retry-After")))
    if response.status not in {200, 201, 409}:
        return Answer(response.status, payload[:200].decode("utf-8", "replace"))
    try:
        return Answer(response.status, json.loads(payload))
    except (ValueError, RecursionError) as exc:
        raise BadAnswer(f"the answer is not JSON: {exc}") from exc


def _retry_after_s(header: str | None) -> float:
    try:
        return max(0.0, float(header or 1.0))
    except ValueError:
        return 1.0


def _judge(answer: Answer, error: PlatformError, parse) -> Result[Any, PlatformError]:
    """Turn an answer into a value or into an error that says whether it took effect."""
    if answer.status in {200, 201}:
        return Success(_parsed(parse, answer.body))
    if answer.status == 404 and parse is _parse_read:
        return Success(None)
    if answer.status == 404 and parse is _parse_write:
        return Failure(error._replace(kind=CONFLICT, sent=False, detail="absent"))
    if answer.status == 409:
        stored = _parsed(_parse_stored, answer.body)
        return Failure(error._replace(kind=CONFLICT, sent=False, stored=stored))
    if answer.status == 429:
        return Failure(
            error._replace(kind=THROTTLED, sent=False, retry_after_s=answer.body)
        )
    detail = f"status {answer.status}: {answer.body}"
    if answer.status in INVALID_STATUSES:
        return Failure(error._replace(kind=INVALID, sent=False, detail=detail))
    # A 503 may come from a front that lost the store after it had the write.
    return Failure(error._replace(detail=detail))


def _parsed(parse, body: Any) -> Any:
    try:
        return parse(body)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise BadAnswer(f"the answer lacks a field: {exc!r}") from exc


def _part(text: str) -> str:
    return quote(text, safe="")


def _parse_read(body: Any) -> VersionedValue:
    return VersionedValue(_version(body), body["value"])


def _parse_stored(body: Any) -> VersionedValue | None:
    stored = VersionedValue(_version(body), body["value"])
    return stored if stored.version > 0 else None


def _parse_write(body: Any) -> int:
    return _version(body)


def _version(body: Any) -> int:
    version = body["version"]
    if type(version) is not int:
        raise TypeError(f"version is {version!r}")
    return version


def _parse_items(items: Any) -> list[PlatformObject]:
    return [
        PlatformObject(item["kind"], item["name"], _version(item), item["value"])
        for item in items
    ]


def _parse_listing(body: Any) -> Listing:
    return Listing(int(body["revision"]), _parse_items(body["items"]))


def _parse_change(body: Any) -> WatchResult:
    deleted = [str(name) for name in body["deleted"]]
    return WatchResult(int(body["revision"]), _parse_items(body["items"]), deleted)


def _parse_hosts(body: Any) -> list[ListedHost]:
    return [
        ListedHost(*(str(item[field]) for field in ListedHost._fields))
        for item in body["items"]
    ]
