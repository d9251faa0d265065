"""Registration of an endpoint in the host list of the platform stand-in.

On a real platform, an agent of the platform makes these calls.
"""

import asyncio

import aiohttp

MAX_ATTEMPTS = 20
RETRY_INTERVAL_S = 0.1
REQUEST_TIMEOUT_S = 2.0


async def call_host_list(platform_url, token, method, path, body):
    """Make one call to the platform's host list, with retries on connection errors.

    Parameters
    ----------
    platform_url : str
        ``http://IP:PORT`` of the platform.
    token : str
        The platform's bearer token.
    method : str
        HTTP method of the call.
    path : str
        Path of the call.
    body : dict or None
        JSON body of the call.

    Raises
    ------
    aiohttp.ClientError
        If the platform can't be reached in any attempt, or responds with an error
        status.
    TimeoutError
        If the last attempt times out.
    """
    headers = {"Authorization": f"Bearer {token}", "X-Client-Name": "agent"}
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        for attempt in range(MAX_ATTEMPTS):
            try:
                call = session.request(method, platform_url + path, json=body)
                async with call as response:
                    response.raise_for_status()
                    return
            except (aiohttp.ClientConnectionError, TimeoutError):
                if attempt == MAX_ATTEMPTS - 1:
                    raise
            await asyncio.sleep(RETRY_INTERVAL_S)


def host_list_entry(options, kind, group, address, state):
    """Return the entry of the host list for an endpoint."""
    return {
        "name": options.name,
        "kind": kind,
        "group": group,
        "address": address,
        "zone": options.zone,
        "region": options.region,
        "state": state,
    }


async def register_endpoint(options, kind, group, address, state):
    """Create or replace the endpoint's host list entry, if ``--platform`` is set."""
    if options.platform is None:
        return
    body = host_list_entry(options, kind, group, address, state)
    token = options.platform_token
    await call_host_list(options.platform, token, "POST", "/v1/hosts", body)


async def deregister_endpoint(options):
    """Remove the endpoint's host list entry, if ``--platform`` is set."""
    if options.platform is None:
        return
    token = options.platform_token
    path = f"/v1/hosts/{options.name}"
    await call_host_list(options.platform, token, "DELETE", path, None)
