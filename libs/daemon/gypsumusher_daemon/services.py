"""Calls plain services: chooses a replica, sends the call and checks the answer."""

from typing import NamedTuple

import aiohttp

from gypsumusher_daemon.refusals import Refusal

__all__ = ["ServiceAnswer", "ServiceCall", "Services"]

# Bounds the memory that a single answer can take.
ANSWER_BYTES_MAX = 64 * 1_048_576
# Two attempts find a live replica when one of three has just failed; many more would
# only send a failing call to all of them.
ATTEMPTS_MAX = 3
RETRY_AFTER_S = 1.0
# A replica that refused a connection gets no calls for this long, doubled with each
# refusal in a row up to the maximum, and then a single call as a probe.
PAUSE_MIN_S = 0.5
PAUSE_MAX_S = 16.0
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
        Service, and the request to send; ``path`` starts with a slash.
    headers : list of (str, str)
        The caller's headers.
    body : bytes
        The body.
    request_id : str
        Unique id, sent to the replica.
    repeatable : bool
        Whether it may run more than once.
    timeout_s : float
        Time limit of one attempt.
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
    """A replica's complete answer."""

    status: int
    headers: dict[str, str]
    body: bytes
    endpoint: str


class _Replica:
    """Calls in flight to a replica and its refused connections in a row."""

    def __init__(self):
        self.in_flight = 0
        self.failures = 0
        self.paused_until_s = 0.0


class Services:
    """Calls plain services through their replicas.

    Parameters
    ----------
    sessions : EngineSessions
        HTTP sessions to endpoints.
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
        """Call a service; retry on other replicas while that is safe.

        Parameters
        ----------
        call : ServiceCall
            The call.
        on_send : callable
            Called with True before each attempt, and with False after an attempt of
            which no byte was sent, unless an earlier one may have run.

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

        Sized for three or four replicas per service and a few hundred calls per
        second. Replicas in this host's zone are preferred, since a call across zones
        adds the latency between zones twice; then those with the fewest calls in
        flight, which also avoids slow replicas. A paused replica is used only when
        there is no other.
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
        """Call one replica.

        Returns
        -------
        ServiceAnswer or Refusal
        str
            Whether the call ran: ``yes``, ``no`` or ``unknown``.
        """
        replica = self._replicas.setdefault(entry.name, _Replica())
        replica.in_flight += 1
        try:
            answer = await self._send(call, entry)
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

    async def _send(self, call, entry):
        """Send a call and return the complete answer."""
        # The shared session may repeat an idempotent method on its own and may use
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
            body = await _read_complete(response, call.method)
            headers_kept = {
                name: value
                for name, value in response.headers.items()
                if name.lower() not in HOP_BY_HOP
            }
            return ServiceAnswer(response.status, headers_kept, body, entry.name)

    def _pause(self, replica):
        """Pause a replica that refused a connection."""
        pause_s = min(PAUSE_MAX_S, PAUSE_MIN_S * 2**replica.failures)
        replica.failures += 1
        replica.paused_until_s = self._clock() + pause_s

    def _refusal(self, call, entry, error):
        """Log a failed attempt and return its refusal."""
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


async def _read_complete(response, method):
    """Return an answer's body if its framing shows that it is complete.

    Raises
    ------
    ValueError
        When the body is over `ANSWER_BYTES_MAX`, or ends only with the connection: a
        truncated answer of a failed replica would then look complete.
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
            raise ValueError(f"answer exceeds {ANSWER_BYTES_MAX} bytes")
        parts.append(part)
    return b"".join(parts)
