"""Remembers which entry hosts to use, as callers do, and asks again when it is old."""

import asyncio
from typing import NamedTuple

import aiohttp

ASK_TIMEOUT_S = 2.0
# An answer without an age is kept for as short a time as keeps the asking rare.
DEFAULT_MAX_AGE_S = 1.0


class KnownHosts(NamedTuple):
    """The hosts of one answer, and the time until which it may be used."""

    addresses: tuple[str, ...]
    until_s: float


class EntryCache:
    """What the system last answered to "which hosts do I use?", per target.

    Parameters
    ----------
    session : aiohttp.ClientSession
        The session to ask through.
    seeds : sequence of str
        Addresses (``IP:PORT``) of hosts that may be asked.
    zone : str
        The caller's own availability zone, or an empty string.
    """

    def __init__(self, session, seeds, zone=""):
        self._session = session
        self._seeds = tuple(seeds)
        self._zone = zone
        self._known = {}
        self._asking = {}

    async def addresses(self, now_s, deployment):
        """Return the addresses to use for a deployment, best first.

        Parameters
        ----------
        now_s : float
            The loop's time.
        deployment : str
            Its name, or an empty string for plain services.

        Returns
        -------
        tuple of str
            Never empty: the given hosts themselves when none of them answers.
        """
        known = self._known.get(deployment)
        if known is not None and now_s < known.until_s:
            return known.addresses
        # One question at a time a target: thousands of waiting requests would else ask
        # the same thing in the same instant.
        task = self._asking.get(deployment)
        if task is None:
            task = asyncio.ensure_future(self._ask(now_s, deployment))
            self._asking[deployment] = task
            task.add_done_callback(lambda _: self._asking.pop(deployment, None))
        return await asyncio.shield(task)

    def forget(self, deployment, address):
        """Drop an address that refused a connection; the rest stay in use."""
        known = self._known.get(deployment)
        if known is None:
            return
        rest = tuple(item for item in known.addresses if item != address)
        if rest:
            self._known[deployment] = known._replace(addresses=rest)
            return
        del self._known[deployment]

    async def _ask(self, now_s, deployment):
        params = {}
        if deployment:
            params["deployment"] = deployment
        if self._zone:
            params["zone"] = self._zone
        known = self._known.get(deployment)
        asked = [*(known.addresses if known else ()), *self._seeds]
        for address in dict.fromkeys(asked):
            answer = await self._ask_host(address, params)
            if answer is None:
                continue
            addresses, max_age_s = answer
            self._known[deployment] = KnownHosts(addresses, now_s + max_age_s)
            return addresses
        return self._seeds

    async def _ask_host(self, address, params):
        timeout = aiohttp.ClientTimeout(total=ASK_TIMEOUT_S)
        url = f"http://{address}/v1/entry"
        try:
            async with self._session.get(url, params=params, timeout=timeout) as answer:
                if answer.status != 200:
                    return None
                body = await answer.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return None
        addresses = tuple(item["address"] for item in body.get("hosts", ()))
        if not addresses:
            return None
        return addresses, float(body.get("max_age_s", DEFAULT_MAX_AGE_S))
