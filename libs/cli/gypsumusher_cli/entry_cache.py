"""Caches the entry hosts that a caller should use, as returned by ``/v1/entry``."""

import asyncio
from typing import NamedTuple

import aiohttp

QUERY_TIMEOUT_S = 2.0
# For a response without max_age_s: short, but long enough to keep queries rare.
DEFAULT_MAX_AGE_S = 1.0


class CachedHosts(NamedTuple):
    """The hosts of one response, and the loop's time until which they are valid."""

    addresses: tuple[str, ...]
    expires_at_s: float


class EntryHostCache:
    """The last response of ``/v1/entry`` per deployment, queried again when expired.

    Parameters
    ----------
    session : aiohttp.ClientSession
        The HTTP session for queries.
    seeds : sequence of str
        Addresses (``IP:PORT``) of hosts to query when no cached host responds.
    zone : str
        The caller's availability zone, or an empty string.
    """

    def __init__(self, session, seeds, zone=""):
        self._session = session
        self._seed_addresses = tuple(seeds)
        self._zone = zone
        self._cached = {}
        self._pending_queries = {}

    async def addresses(self, now_s, deployment):
        """Return the addresses to use for a deployment, best first.

        Parameters
        ----------
        now_s : float
            The loop's time.
        deployment : str
            The deployment's name, or an empty string for plain services.

        Returns
        -------
        tuple of str
            Never empty: the seeds when no host responds.
        """
        cached = self._cached.get(deployment)
        if cached is not None and now_s < cached.expires_at_s:
            return cached.addresses
        # One query at a time per deployment: otherwise thousands of waiting requests
        # would send the same query at once.
        task = self._pending_queries.get(deployment)
        if task is None:
            task = asyncio.ensure_future(self._query_hosts(now_s, deployment))
            self._pending_queries[deployment] = task
            task.add_done_callback(
                lambda _: self._pending_queries.pop(deployment, None)
            )
        return await asyncio.shield(task)

    def remove_address(self, deployment, address):
        """Remove an address that refused a connection; the others stay cached."""
        cached = self._cached.get(deployment)
        if cached is None:
            return
        rest = tuple(item for item in cached.addresses if item != address)
        if rest:
            self._cached[deployment] = cached._replace(addresses=rest)
            return
        del self._cached[deployment]

    async def _query_hosts(self, now_s, deployment):
        """Query hosts until one responds, cache its response, return the addresses."""
        params = {}
        if deployment:
            params["deployment"] = deployment
        if self._zone:
            params["zone"] = self._zone
        cached = self._cached.get(deployment)
        candidates = [*(cached.addresses if cached else ()), *self._seed_addresses]
        for address in dict.fromkeys(candidates):
            response = await self._query_host(address, params)
            if response is None:
                continue
            addresses, max_age_s = response
            self._cached[deployment] = CachedHosts(addresses, now_s + max_age_s)
            return addresses
        return self._seed_addresses

    async def _query_host(self, address, params):
        """Return a host's (addresses, max_age_s); None without a usable response."""
        timeout = aiohttp.ClientTimeout(total=QUERY_TIMEOUT_S)
        url = f"http://{address}/v1/entry"
        try:
            async with self._session.get(
                url, params=params, timeout=timeout
            ) as response:
                if response.status != 200:
                    return None
                body = await response.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None
        addresses = tuple(item["address"] for item in body.get("hosts", ()))
        if not addresses:
            return None
        return addresses, float(body.get("max_age_s", DEFAULT_MAX_AGE_S))
