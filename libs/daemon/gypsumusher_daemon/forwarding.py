"""Passes a keyed request on to its home, the one host that may run it."""

import aiohttp

from gypsumusher_daemon.refusals import Refusal

__all__ = ["FORWARDED_HEADER", "Forwarder", "broken_forward"]

FORWARDED_HEADER = "Gypsumusher-Forwarded"
DROPPED_RESPONSE_HEADERS = frozenset(
    {"connection", "content-length", "keep-alive", "transfer-encoding", "alt-svc"}
)
DROPPED_REQUEST_HEADERS = frozenset(
    {"connection", "content-length", "host", "keep-alive", "transfer-encoding"}
)


class Forwarder:
    """Sends a request once to another entry host and relays its answer.

    Parameters
    ----------
    host : str
        This host.
    sessions : EngineSessions
        Its session of fresh connections: a reused one may break after the home has
        read the request, which couldn't be told from one that it never got.
    """

    def __init__(self, host, sessions):
        self._host = host
        self._sessions = sessions

    async def forward(self, address, method, target, headers, body, delivery):
        """Forward a request and deliver the home's answer.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the home's callers' listener.
        method, target : str
            The request line's.
        headers : iterable of (str, str)
            The caller's headers.
        body : bytes
            The body.
        delivery : Delivery
            Where the answer goes.

        Returns
        -------
        bool
            False when the home couldn't be reached, so that no byte of the request
            went out. True otherwise; the delivery is closed then.
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
            delivery.close(whole=False)
            return True
        try:
            kept = {
                name: value
                for name, value in response.headers.items()
                if name.lower() not in DROPPED_RESPONSE_HEADERS
            }
            delivery.set_head(response.status, kept)
            async for chunk in response.content.iter_any():
                await delivery.put(chunk)
            delivery.close(whole=True)
        except (aiohttp.ClientError, TimeoutError, OSError):
            delivery.close(whole=False)
        finally:
            response.close()
        return True


def broken_forward(home):
    """Return the refusal for a forward that broke before an answer came."""
    return Refusal(
        "key_unknown_outcome",
        "the key's home broke off; ask for the key's outcome, or send it again",
        run="unknown",
        step="forward",
        peer=home,
    )
