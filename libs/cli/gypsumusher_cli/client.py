"""HTTP client of the operators' API, with failover between entry hosts."""

from typing import Any, NamedTuple

import aiohttp
from returns.result import Failure, Result, Success

CONNECT_TIMEOUT_S = 2.0
# Longer than a daemon waits for the platform when it serves an operator's request, so
# that the daemon's own error response arrives before the client gives up.
CALL_TIMEOUT_S = 30.0


class Response(NamedTuple):
    """A response of any HTTP status, with its JSON body.

    ``peer`` is the ``IP:PORT`` of the host that sent it.
    """

    peer: str
    status: int
    body: dict[str, Any]


class ClientError(NamedTuple):
    """A call that got no usable response.

    ``request_sent`` tells whether the call may have taken effect all the same;
    ``step`` is the step that failed, as a word for messages.
    """

    step: str
    peer: str
    request_sent: bool
    detail: str


class OperatorsClient:
    """An HTTP session for calls to the operators' API.

    Parameters
    ----------
    access : Access
        The addresses, tried in their order, and the token.
    """

    def __init__(self, access):
        self._access = access
        self._session = None

    async def start(self):
        """Open the HTTP session."""
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        # No keep-alive: aiohttp silently repeats a GET when a reused connection
        # breaks, and a tool that makes about three calls gains nothing from reuse.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=timeout,
            headers={"Authorization": f"Bearer {self._access.token}"},
        )

    async def close(self):
        """Close the HTTP session."""
        await self._session.close()

    async def call(self, method, path, body=None) -> Result[Response, ClientError]:
        """Send a request to the first host that accepts the connection.

        After a failed call other than GET that may have reached a host, no further
        host is tried, since the call could then take effect twice.

        Parameters
        ----------
        method : str
            The HTTP method.
        path : str
            The URL's path, starting with ``/admin``.
        body : dict, optional
            The request's body, sent as JSON.

        Returns
        -------
        Result[Response, ClientError]
            A response of any HTTP status counts as a success.
        """
        failed = None
        for address in self._access.operators:
            result = await self.call_host(address, method, path, body)
            if isinstance(result, Success):
                return result
            failed = result
            if result.failure().request_sent and method != "GET":
                return result
        return failed

    async def call_host(self, address, method, path, body=None):
        """Send a request to the host at ``address``; otherwise as `call`."""
        url = f"http://{address}{path}"
        try:
            async with self._session.request(method, url, json=body) as response:
                content = await response.json(content_type=None)
        except aiohttp.ClientConnectorError as error:
            return Failure(ClientError("connect", address, False, _one_line(error)))
        except aiohttp.ConnectionTimeoutError as error:
            return Failure(ClientError("connect", address, False, _one_line(error)))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(ClientError("request", address, True, _one_line(error)))
        except ValueError:
            detail = f"response with status {response.status} is not JSON"
            return Failure(ClientError("request", address, True, detail))
        if not isinstance(content, dict):
            return Failure(
                ClientError("request", address, True, f"response is {content!r}")
            )
        return Success(Response(address, response.status, content))


def _one_line(error):
    return " ".join(str(error).split()) or type(error).__name__
