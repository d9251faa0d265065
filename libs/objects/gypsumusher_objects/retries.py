"""Switches off the HTTP client's silent repeats."""

import aiohttp


def disable_retries(session: aiohttp.ClientSession) -> None:
    """Switch off aiohttp's silent repeat of GET, PUT and DELETE.

    Parameters
    ----------
    session : aiohttp.ClientSession
        A session that no request has used yet.

    Raises
    ------
    RuntimeError
        If this version of aiohttp has no such switch.

    Notes
    -----
    Failure guarded against: a connection breaks after the other side has read the
    request, also one that was opened for it alone. aiohttp would send it again. A
    conditional write that took effect would then meet itself and report a conflict,
    so that a lease that we hold looks like somebody else's; a service call that may
    run once would run twice. The attribute is aiohttp's own switch (its test server
    uses it), without a public name: if a version drops it, starting fails here rather
    than repeating in silence.
    """
    if not hasattr(session, "_retry_connection"):
        raise RuntimeError("this aiohttp has no switch for its silent repeats")
    session._retry_connection = False
