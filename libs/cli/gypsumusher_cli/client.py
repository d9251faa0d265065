"""Calls the operators' API of the first entry host that takes the connection."""

from typing import Any, NamedTuple

import aiohttp
from returns.result import Failure, Result, Success

CONNECT_TIMEOUT_S = 2.0
# Above the longest time that a daemon waits for the platform on an operator's behalf.
CALL_TIMEOUT_S = 30.0


class Answer(NamedTuple):
    """What a host answered: its HTTP status and the JSON body."""

    peer: str
    status: int
    body: dict[str, Any]


class ClientError(NamedTuple):
    """A call that got no answer.

    ``sent`` tells whether the call may have taken effect all the same.
    """

    step: str
    peer: str
    sent: bool
    detail: str


class OperatorsClient:
    """A session with the operators' API.

    Parameters
    ----------
    access : Access
        Addresses to try in their order, and the token.
    """

    def __init__(self, access):
        self._access = access
        self._session = None

    async def start(self):
        """Open the session."""
        timeout = aiohttp.ClientTimeout(
            total=CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        # Connections are not kept: aiohttp silently repeats a GET when a kept
        # connection breaks, and a tool that makes three calls gains nothing by it.
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True),
            timeout=timeout,
            headers={"Authorization": f"Bearer {self._access.token}"},
        )

    async def close(self):
        """Close the session."""
        await self._session.close()

    async def call(self, method, path, body=None) -> Result[Answer, ClientError]:
        """Make a call at the first host that takes the connection.

        Parameters
        ----------
        method : str
            The HTTP method.
        path : str
            From ``/admin`` on.
        body : dict, optional
            What to send as JSON.

        Returns
        -------
        Result[Answer, ClientError]
            Any HTTP status is an answer.
        """
        failed = None
        for address in self._access.operators:
            result = await self.call_at(address, method, path, body)
            if isinstance(result, Success):
                return result
            failed = result
            if result.failure().sent and method != "GET":
                return result
        return failed

    async def call_at(self, address, method, path, body=None):
        """Make a call at one given host; as `call`."""
        url = f"http://{address}{path}"
        try:
            async with self._session.request(method, url, json=body) as answer:
                content = await answer.json(content_type=None)
        except aiohttp.ClientConnectorError as error:
            return Failure(ClientError("connect", address, False, _one_line(error)))
        except aiohttp.ConnectionTimeoutError as error:
            return Failure(ClientError("connect", address, False, _one_line(error)))
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(ClientError("call", address, True, _one_line(error)))
        except ValueError:
            detail = f"status {answer.status} without JSON"
            return Failure(ClientError("answer", address, True, detail))
        if not isinstance(content, dict):
            return Failure(ClientError("answer", address, True, f"got {content!r}"))
        return Success(Answer(address, answer.status, content))


def _one_line(error):
    return " ".join(str(error).split()) or type(error).__name__
