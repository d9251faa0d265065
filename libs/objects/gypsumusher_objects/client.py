"""Client of the platform's object API; it never retries a call by itself."""

import json
import time
from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

import aiohttp
from returns.result import Failure, Result, Success
from yarl import URL

from gypsumusher_http import decode_tolerantly
from gypsumusher_objects.budget import READ, WRITE, CallBudget
from gypsumusher_objects.errors import (
    BUDGET,
    CONFLICT,
    INVALID,
    THROTTLED,
    UNAVAILABLE,
    PlatformError,
)
from gypsumusher_objects.response_body import CHUNK_BYTES, BodyTooLarge, read_body
from gypsumusher_objects.retries import disable_retries
from gypsumusher_objects.types import (
    ListedHost,
    Listing,
    PlatformObject,
    VersionedValue,
    WatchResult,
)

# A platform on the same network accepts a connection within milliseconds. An address
# that has not within a second is down, and the next call uses the next address.
CONNECT_TIMEOUT_S = 1.0
# Enough for the few watches of a host and its group commits at the same time.
CONNECTION_LIMIT = 32
KEEPALIVE_S = 15.0
# Largest response body. A value has at most one megabyte, and the largest listing
# holds one kind of object for a whole fleet; a larger body is refused before it
# exhausts the memory of a small host.
RESPONSE_LIMIT_BYTES = 32 * 1024 * 1024
# Levels of a page down to the fields of its objects, and down to its endpoints.
OBJECT_LEVELS, ENDPOINT_LEVELS = 3, 2
# Statuses by which the platform says that it will never accept the call as it is.
INVALID_STATUSES = frozenset({400, 401, 403, 405, 413, 415, 422})


class PlatformResponse(NamedTuple):
    """Status and decoded body of a response.

    The body is the decoded JSON for the statuses 200, 201 and 409, the seconds to wait
    for 429, and the first 200 bytes as text for any other status.
    """

    status: int
    body: Any


class BadAnswer(Exception):
    """The platform's response is not JSON, lacks a field or has one of a wrong type."""


def boottime_s() -> float:
    """Return the seconds since boot, including time that the host was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class PlatformClient:
    """Calls the object API within a call budget.

    Every method sends at most one call and returns a ``Result``. Retrying is left to
    the caller, because only it knows whether a write that may have taken effect can
    be repeated.

    Parameters
    ----------
    urls : sequence of str
        Base URLs of the platform; after a call that got no usable response, the next
        URL is used.
    token : str
        Bearer token.
    client_name : str
        Name under which the platform counts this client's calls.
    timeout_s : float
        Longest time of one call, including the connect; a watch may take as much
        longer as it waits for changes.
    budget : CallBudget
        Rate limit and back-off of this host's calls.
    clock : callable
        Clock of the budget, in seconds.
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
            raise ValueError("urls: at least one platform URL is needed")
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
        self._url_index = 0
        self._session: aiohttp.ClientSession | None = None

    async def start(self) -> None:
        """Open the HTTP session; the calls open its connections."""
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
            read_bufsize=CHUNK_BYTES,
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
        """Return whether the last failed call, if any, was followed by a success."""
        return not self.budget.is_failing()

    async def read(
        self, kind: str, name: str, urgent: bool = False
    ) -> Result[VersionedValue | None, PlatformError]:
        """Read one object; None if it does not exist."""
        call = _PlatformCall(
            "GET", f"/v1/objects/{_quote(kind)}/{_quote(name)}", READ, urgent
        )
        return await self._execute(call, _parse_read)

    async def write(
        self, kind: str, name: str, value: Any, if_version: int, urgent: bool = False
    ) -> Result[int, PlatformError]:
        """Write one object if its version is `if_version` (0: must not exist).

        Returns
        -------
        Result[int, PlatformError]
            The new version. On an error with ``sent`` true the write may have taken
            effect: read the object to find out.
        """
        body = {"value": value, "if_version": if_version}
        path = f"/v1/objects/{_quote(kind)}/{_quote(name)}"
        call = _PlatformCall("PUT", path, WRITE, urgent, body)
        return await self._execute(call, _parse_write)

    async def delete(
        self, kind: str, name: str, if_version: int, urgent: bool = False
    ) -> Result[int, PlatformError]:
        """Delete one object if its version is `if_version`.

        An object that does not exist is a conflict whose ``stored`` is None.
        """
        query = urlencode({"if_version": if_version})
        path = f"/v1/objects/{_quote(kind)}/{_quote(name)}?{query}"
        return await self._execute(
            _PlatformCall("DELETE", path, WRITE, urgent), _parse_write
        )

    async def watch(
        self,
        kind: str,
        after: int,
        timeout_s: float,
        name: str | None = None,
        urgent: bool = False,
    ) -> Result[WatchResult, PlatformError]:
        """Wait for changes of a kind after revision `after`, at most `timeout_s`."""
        query = {"after": after, "timeout_s": timeout_s}
        if name is not None:
            query["name"] = name
        path = f"/v1/watch/{_quote(kind)}?{urlencode(query)}"
        call = _PlatformCall(
            "WATCH", path, READ, urgent, wait_s=timeout_s, levels=OBJECT_LEVELS
        )
        return await self._execute(call, _parse_change)

    async def list_hosts(
        self, urgent: bool = False
    ) -> Result[list[ListedHost], PlatformError]:
        """Read the platform's list of endpoints, which may be out of date."""
        call = _PlatformCall("GET", "/v1/hosts", READ, urgent, levels=ENDPOINT_LEVELS)
        return await self._execute(call, _parse_hosts)

    # Defined last: from here on its name hides the built-in list in the class body.
    async def list(
        self, kind: str, urgent: bool = False
    ) -> Result[Listing, PlatformError]:
        """Read all objects of a kind."""
        path = f"/v1/objects/{_quote(kind)}"
        call = _PlatformCall("GET", path, READ, urgent, levels=OBJECT_LEVELS)
        return await self._execute(call, _parse_listing)

    async def _execute(self, call, parse) -> Result[Any, PlatformError]:
        peer = self.urls[self._url_index % len(self.urls)]
        error = PlatformError(
            UNAVAILABLE, f"{call.operation} {call.path}", peer, sent=True
        )
        started_s = self.clock()
        wait_s = self.budget.take(started_s, call.budget_kind, call.urgent)
        if wait_s > 0.0:
            detail = "refused by this host's own call budget or back-off"
            return Failure(
                error._replace(
                    kind=BUDGET, sent=False, retry_after_s=wait_s, detail=detail
                )
            )
        self.calls[call.operation] += 1
        try:
            response = await self._send(peer, call)
            result = _to_result(response, error, parse)
        except (
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ) as exc:
            # Only these two are raised before a connection exists, so that no byte of
            # the request was sent. After any other failure a write may have taken
            # effect.
            result = Failure(error._replace(sent=False, detail=repr(exc)))
        except (
            aiohttp.ClientError,
            TimeoutError,
            OSError,
            BadAnswer,
            BodyTooLarge,
        ) as exc:
            result = Failure(error._replace(detail=repr(exc)))
        self._update_budget(result, started_s)
        return result

    async def _send(self, peer: str, call) -> PlatformResponse:
        if self._session is None:
            raise RuntimeError("PlatformClient.start was not called")
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
        method = "GET" if call.operation == "WATCH" else call.operation
        async with self._session.request(
            method,
            URL(peer + call.path, encoded=True),
            data=body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            payload = await read_body(response, RESPONSE_LIMIT_BYTES)
            return _decode(response, payload, call.levels)

    def _update_budget(
        self, result: Result[Any, PlatformError], started_s: float
    ) -> None:
        if not isinstance(result, Failure):
            self.budget.on_success(started_s)
            return
        error = result.failure()
        if error.kind == THROTTLED:
            self.budget.on_failure(self.clock(), started_s, error.retry_after_s)
            return
        if error.kind == UNAVAILABLE:
            self.budget.on_failure(self.clock(), started_s)
            self._url_index += 1
            return
        self.budget.on_success(started_s)


class _PlatformCall(NamedTuple):
    operation: str
    path: str
    budget_kind: str
    urgent: bool
    body: Any = None
    wait_s: float = 0.0
    # Levels of the response that are decoded one by one; see `decode_tolerantly`.
    levels: int = 0


def _decode(
    response: aiohttp.ClientResponse, payload: bytes, levels: int
) -> PlatformResponse:
    if response.status == 429:
        return PlatformResponse(
            429, _retry_after_s(response.headers.get("Retry-After"))
        )
    if response.status not in {200, 201, 409}:
        return PlatformResponse(
            response.status, payload[:200].decode("utf-8", "replace")
        )
    try:
        body = (
            json.loads(payload)
            if not levels
            else decode_tolerantly(payload.decode(), levels)
        )
        return PlatformResponse(response.status, body)
    except (ValueError, RecursionError) as exc:
        raise BadAnswer(f"response is not JSON: {exc}") from exc


def _retry_after_s(header: str | None) -> float:
    try:
        return max(0.0, float(header or 1.0))
    except ValueError:
        return 1.0


def _to_result(
    response: PlatformResponse, error: PlatformError, parse
) -> Result[Any, PlatformError]:
    """Return the parsed value, or an error whose ``sent`` follows from the status."""
    if response.status in {200, 201}:
        return Success(_parse_body(parse, response.body))
    if response.status == 404 and parse is _parse_read:
        return Success(None)
    if response.status == 404 and parse is _parse_write:
        return Failure(error._replace(kind=CONFLICT, sent=False, detail="absent"))
    if response.status == 409:
        stored = _parse_body(_parse_stored, response.body)
        return Failure(error._replace(kind=CONFLICT, sent=False, stored=stored))
    if response.status == 429:
        return Failure(
            error._replace(kind=THROTTLED, sent=False, retry_after_s=response.body)
        )
    detail = f"status {response.status}: {response.body}"
    if response.status in INVALID_STATUSES:
        return Failure(error._replace(kind=INVALID, sent=False, detail=detail))
    # ``sent`` stays true: a 503 may come from a front end that lost its connection to
    # the store after it had passed on the write.
    return Failure(error._replace(detail=detail))


def _parse_body(parse, body: Any) -> Any:
    try:
        return parse(body)
    except (KeyError, TypeError, ValueError, AttributeError) as exc:
        raise BadAnswer(f"response lacks a field or has a wrong type: {exc!r}") from exc


def _quote(text: str) -> str:
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
        raise TypeError(f"version: expected an integer, got {version!r}")
    return version


def _parse_items(items: Any) -> list[PlatformObject]:
    """Return the objects of a page, without those whose value can't be decoded."""
    return [
        PlatformObject(item["kind"], item["name"], _version(item), item["value"])
        for item in items
        if item["value"] is not None
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
        if item is not None
    ]
