"""Register an endpoint in the platform's host list, as the platform's agent would."""

import asyncio

import aiohttp

ATTEMPTS = 20
PAUSE_S = 0.1
TIMEOUT_S = 2.0


async def change_listing(platform_url, token, method, path, item):
    """Make one call to the platform's host list, again while it can't be reached.

    Parameters
    ----------
    platform_url : str
        ``http://IP:PORT`` of the platform.
    token : str
        The platform's bearer token.
    method : str
        HTTP method.
    path : str
        Path of the call.
    item : dict or None
        The body.

    Raises
    ------
    aiohttp.ClientError
        If the platform stays out of reach or refuses.
    """
    headers = {"Authorization": f"Bearer {token}", "X-Client-Name": "agent"}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        for attempt in range(ATTEMPTS):
            try:
                call = session.request(method, platform_url + path, json=item)
                async with call as answer:
                    answer.raise_for_status()
                    return
            except (aiohttp.ClientConnectionError, TimeoutError):
                if attempt == ATTEMPTS - 1:
                    raise
            await asyncio.sleep(PAUSE_S)


def listing_item(options, kind, group, address, state):
    """Return the host list's item for an endpoint with the given options."""
    return {
        "name": options.name,
        "kind": kind,
        "group": group,
        "address": address,
        "zone": options.zone,
        "region": options.region,
        "state": state,
    }


async def announce(options, kind, group, address, state):
    """List the endpoint in the given state, if it was told of a platform."""
    if options.platform is None:
        return
    item = listing_item(options, kind, group, address, state)
    token = options.platform_token
    await change_listing(options.platform, token, "POST", "/v1/hosts", item)


async def withdraw(options):
    """Take the endpoint off the list at a planned stop."""
    if options.platform is None:
        return
    token = options.platform_token
    path = f"/v1/hosts/{options.name}"
    await change_listing(options.platform, token, "DELETE", path, None)
