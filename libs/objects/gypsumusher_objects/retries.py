"""Switches off the automatic retries of the HTTP client library."""

import aiohttp


def disable_retries(session: aiohttp.ClientSession) -> None:
    """Switch off aiohttp's automatic retry of GET, PUT and DELETE.

    Parameters
    ----------
    session : aiohttp.ClientSession
        A session that has sent no request yet.

    Raises
    ------
    RuntimeError
        If this version of aiohttp lacks the switch.

    Notes
    -----
    When a connection breaks after the server has read the request, even on a
    connection opened for that request alone, aiohttp would send the request again. A
    conditional write that took effect would then meet its own result and report a
    conflict, so that a lease held by this host looks like somebody else's; a service
    call that may run once would run twice. The attribute is aiohttp's own switch (its
    test server uses it) but has no public name: if a version drops it, starting fails
    here, instead of requests being retried unnoticed.
    """
    if not hasattr(session, "_retry_connection"):
        raise RuntimeError("this aiohttp version cannot disable automatic retries")
    session._retry_connection = False
