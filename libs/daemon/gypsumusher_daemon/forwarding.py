"""Forwards a keyed request to its key's owner, the only host that may run it."""

import aiohttp

from gypsumusher_daemon.refusals import Refusal

__all__ = ["FORWARDED_HEADER", "Forwarder", "lost_forward_refusal"]

FORWARDED_HEADER = "Gypsumusher-Forwarded"
DROPPED_RESPONSE_HEADERS = frozenset(
    {"connection", "content-length", "keep-alive", "transfer-encoding", "alt-svc"}
)
DROPPED_REQUEST_HEADERS = frozenset(
    {"connection", "content-length", "host", "keep-alive", "transfer-encoding"}
)


class Forwarder:
    """Sends a request once to another entry host and relays the answer.

    Parameters
    ----------
    host : str
        Name of this host.
    sessions : EngineSessions
        Its ``fresh`` session is used: a reused connection may be lost after the
        owner read the request, which can't be told from a request that it never got.
    """

    def __init__(self, host, sessions):
        self._host = host
        self._sessions = sessions

    async def forward(self, address, method, target, headers, body, delivery):
        """Forward a request and deliver the owner's answer.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the owner's listener for callers.
        method, target : str
            Method and target of the request line.
        headers : iterable of (str, str)
            The caller's headers.
        body : bytes
            The body.
        delivery : Delivery
            Receives the answer.

        Returns
        -------
        bool
            False when there was no connection to the owner, so no byte of the request
            was sent. True otherwise; the delivery is closed then.
        """
        sent_headers = [
            (name, value)
            for name, value in headers
            if name.lower() not in DROPPED_REQUEST_HEADERS
        ]
        sent_headers.append((FORWARDED_HEADER, self._host))
        try:
            response = await self._sessions.fresh.request(
                method,
                f"http://{address}{target}",
                headers=sent_headers,
                data=body or None,
                allow_redirects=False,
            )
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return False
        except (aiohttp.ClientError, TimeoutError, OSError):
            delivery.close(complete=False)
            return True
        try:
            headers_kept = {
                name: value
                for name, value in response.headers.items()
                if name.lower() not in DROPPED_RESPONSE_HEADERS
            }
            delivery.set_head(response.status, headers_kept)
            async for chunk in response.content.iter_any():
                await delivery.put(chunk)
            delivery.close(complete=True)
        except (aiohttp.ClientError, TimeoutError, OSError):
            delivery.close(complete=False)
        finally:
            response.close()
        return True


def lost_forward_refusal(owner):
    """Return the refusal for a forward whose connection was lost before an answer."""
    return Refusal(
        "key_unknown_outcome",
        "the connection to the key's owner was lost; ask for the key's outcome, or "
        "send it again",
        run="unknown",
        step="forward",
        peer=owner,
    )
