"""Plain services: choosing a replica, calling it once, and judging its answer."""

from typing import NamedTuple

import aiohttp

from gypsumusher_daemon.refusals import Refusal

__all__ = ["ServiceAnswer", "ServiceCall", "Services"]

ANSWER_BYTES_MAX = 64 * 1_048_576
# Two tries find a live replica when one of three has just gone; more would only
# spread a failing call over all of them.
ATTEMPTS_MAX = 3
RETRY_AFTER_S = 1.0
# A replica that refused a connection gets nothing for this long, doubled up to the
# limit while it goes on, and then one call as a probe.
PAUSE_FIRST_S = 0.5
PAUSE_LIMIT_S = 16.0
HOP_BY_HOP = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class ServiceCall(NamedTuple):
    """A caller's call of a plain service.

    Attributes
    ----------
    service, method, path, query : str
        What is called; ``path`` begins with a slash.
    headers : list of (str, str)
        The caller's headers.
    body : bytes
        The body.
    request_id : str
        Unique id, passed to the replica.
    repeatable : bool
        Whether it may run more than once.
    timeout_s : float
        Longest time for one attempt.
    """

    service: str
    method: str
    path: str
    query: str
    headers: list[tuple[str, str]]
    body: bytes
    request_id: str
    repeatable: bool
    timeout_s: float


class ServiceAnswer(NamedTuple):
    """A replica's whole answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    endpoint: str


class _Replica:
    """What this host has seen of one replica."""

    def __init__(self):
        self.in_flight = 0
        self.failures = 0
        self.paused_until_s = 0.0


class Services:
    """Calls plain services through their replicas.

    Parameters
    ----------
    sessions : EngineSessions
        HTTP to endpoints.
    endpoints : EndpointTable
        The replicas.
    zone : str
        This host's availability zone.
    clock, log : callable
        Boot-time clock and structured log.
    """

    def __init__(self, sessions, endpoints, zone, clock, log):
        self._sessions = sessions
        self._endpoints = endpoints
        self._zone = zone
        self._clock = clock
        self._log = log
        self._replicas = {}

    async def call(self, call, on_send):
        """Call a service, on another replica where that is safe.

        Parameters
        ----------
        call : ServiceCall
            The call.
        on_send : callable
            Called just before the first byte may leave, and with False when it is
            known that none did.

        Returns
        -------
        ServiceAnswer or Refusal
        """
        tried = set()
        may_have_run = False
        refusal = None
        for _ in range(ATTEMPTS_MAX):
            entry = self._choose(call.service, tried)
            if entry is None:
                break
            tried.add(entry.name)
            on_send(True)
            result, ran = await self._attempt(call, entry)
            if isinstance(result, ServiceAnswer):
                return result
            if ran == "no" and not may_have_run:
                on_send(False)
            may_have_run = may_have_run or ran != "no"
            refusal = result._replace(run="unknown" if may_have_run else "no")
            if may_have_run and not call.repeatable:
                # Another replica would run it a second time.
                return refusal._replace(retry_after_s=None)
        if refusal is not None:
            return refusal
        return Refusal(
            "no_endpoint",
            f"no replica of {call.service} takes calls now",
            step="place",
            peer=call.service,
            retry_after_s=RETRY_AFTER_S,
        )

    def _choose(self, service, tried):
        """Return the replica to call, or None.

        Made for three or four replicas a service at a few hundred calls a second.
        The zone comes first, as a call over zones pays the latency twice; then the
        fewest calls in flight, which also turns away from a slow replica. A paused
        one is used only when nothing else is left.
        """
        now_s = self._clock()
        best = None
        for entry in self._endpoints.group("service", service):
            if entry.name in tried or self._endpoints.is_leaving(entry):
                continue
            replica = self._replicas.setdefault(entry.name, _Replica())
            probing = replica.failures > 0 and replica.in_flight > 0
            paused = probing or now_s < replica.paused_until_s
            rank = (paused, entry.zone != self._zone, replica.in_flight, entry.name)
            if best is None or rank < best[0]:
                best = (rank, entry)
        return None if best is None else best[1]

    async def _attempt(self, call, entry):
        """Call one replica; return its answer or a refusal, and whether it ran."""
        replica = self._replicas.setdefault(entry.name, _Replica())
        replica.in_flight += 1
        try:
            answer = await self._exchange(call, entry)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            self._pause(replica)
            return self._refusal(call, entry, error), "no"
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            return self._refusal(call, entry, error), "unknown"
        finally:
            replica.in_flight -= 1
        replica.failures = 0
        replica.paused_until_s = 0.0
        return answer, "yes"

    async def _exchange(self, call, entry):
        """Send a call and read the whole answer."""
        # The shared session may repeat an idempotent method by itself and may meet
        # a connection that the replica has just closed; neither is allowed for a
        # call that must not run twice.
        session = self._sessions.shared if call.repeatable else self._sessions.fresh
        headers = [
            (name, value)
            for name, value in call.headers
            if name.lower() not in HOP_BY_HOP
        ]
        headers.append(("X-Request-Id", call.request_id))
        url = f"http://{entry.address}{call.path}"
        if call.query:
            url = f"{url}?{call.query}"
        async with session.request(
            call.method,
            aiohttp.client.URL(url, encoded=True),
            data=call.body or None,
            headers=headers,
            allow_redirects=False,
            timeout=aiohttp.ClientTimeout(total=call.timeout_s),
        ) as response:
            body = await _read_whole(response, call.method)
            kept = {
                name: value
                for name, value in response.headers.items()
                if name.lower() not in HOP_BY_HOP
            }
            return ServiceAnswer(response.status, kept, body, entry.name)

    def _pause(self, replica):
        """Give a replica that refused a connection nothing for a while."""
        pause_s = min(PAUSE_LIMIT_S, PAUSE_FIRST_S * 2**replica.failures)
        replica.failures += 1
        replica.paused_until_s = self._clock() + pause_s

    def _refusal(self, call, entry, error):
        """Return the refusal for a failed attempt."""
        self._log(
            "warning",
            "service_call_failed",
            request=call.request_id,
            service=call.service,
            endpoint=entry.name,
            error=repr(error),
        )
        return Refusal(
            "endpoint_failed",
            f"the replica failed: {type(error).__name__}",
            step="call",
            peer=entry.name,
            retry_after_s=RETRY_AFTER_S,
        )


async def _read_whole(response, method):
    """Return an answer's body when its framing shows that it is whole.

    Raises
    ------
    ValueError
        When it is too long, or framed by the connection's end alone: a replica that
        dies in mid-answer then looks like one that has finished.
    """
    framed = (
        "Content-Length" in response.headers
        or response.headers.get("Transfer-Encoding", "").lower() == "chunked"
        or response.status in (204, 304)
        or method == "HEAD"
    )
    if not framed:
        raise ValueError("answer has neither a length nor chunked framing")
    parts = []
    size_bytes = 0
    async for part in response.content.iter_any():
        size_bytes += len(part)
        if size_bytes > ANSWER_BYTES_MAX:
            raise ValueError(f"answer is over {ANSWER_BYTES_MAX} bytes")
        parts.append(part)
    return b"".join(parts)
