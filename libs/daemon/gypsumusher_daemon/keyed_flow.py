"""Where a keyed request runs: here, at its home, or nowhere any more."""

import asyncio
import json

import aiohttp

from gypsumusher_coordination import (
    ClaimGranted,
    ClaimOwnedElsewhere,
    parse_key,
)
from gypsumusher_coordination.claims import WITHDRAWN
from gypsumusher_daemon.delivery import Delivery
from gypsumusher_daemon.forwarding import FORWARDED_HEADER, broken_forward
from gypsumusher_daemon.keyed_requests import refusal_of_claim
from gypsumusher_daemon.refusals import Refusal

__all__ = ["KeyedFlow"]

# A connection that is refused twice in this time is no lost packet.
CONNECT_TRIES = 3
CONNECT_PAUSE_S = 0.2
SUSPECT_POLL_S = 0.1
SEAL_TIMEOUT_S = 5.0
ASK_HOME_TIMEOUT_S = 3.0
RETRY_UNKNOWN_S = 3.0


class KeyedFlow:
    """Decides for each keyed request which host may run it.

    Parameters
    ----------
    host : str
        This host.
    journals : Journals
        Claims and sealing.
    keyed : KeyedRequests
        What this home remembers.
    directory : HostsDirectory
        Finds a home by its incarnation.
    forwarder : Forwarder
        Passes requests on.
    sessions : EngineSessions
        HTTP, for questions to homes.
    is_suspect : callable
        ``is_suspect(host)`` says whether a host doesn't answer its peers.
    log : callable
        Structured log.
    """

    def __init__(
        self,
        host,
        journals,
        keyed,
        directory,
        forwarder,
        sessions,
        is_suspect,
        log,
    ):
        self._host = host
        self._journals = journals
        self._keyed = keyed
        self._directory = directory
        self._forwarder = forwarder
        self._sessions = sessions
        self._is_suspect = is_suspect
        self._log = log
        self._claiming = {}
        self._tasks = set()

    async def serve(self, key, fingerprint, run, request, forwarded):
        """Serve a keyed request wherever it belongs.

        Parameters
        ----------
        key : str
            Minted by one of our hosts, or the caller's own.
        fingerprint : str
            Of the request.
        run : coroutine function
            ``await run(entry, claim)`` runs it here.
        request : sanic.Request
            The caller's request, to pass on.
        forwarded : bool
            Whether another host has passed it on already.

        Returns
        -------
        Delivery or Refusal
        """
        parts = parse_key(key)
        if parts is None:
            return await self._serve_caller_key(key, fingerprint, run, request)
        if self._journals.owns(parts.incarnation):
            return _delivery_of(self._keyed.begin(key, fingerprint, run))
        if forwarded:
            # The sender took this host for the home. A second hop could go round in
            # a circle while hosts learn of each other's new incarnations.
            return Refusal(
                "key_unknown_outcome",
                "this host is not the key's home",
                "unknown",
                "forward",
                self._host,
                RETRY_UNKNOWN_S,
            )
        return await self._send_home(key, parts.incarnation, request)

    async def outcome(self, key, forwarded=False):
        """Return what became of a key.

        Parameters
        ----------
        key : str
            Any key.
        forwarded : bool
            Whether another host asks.

        Returns
        -------
        dict
            ``key``, ``outcome`` (not_run, running, done or unknown) and ``detail``.
            A key that was not claimed yet is withdrawn by the question, so that
            ``not_run`` stays true whatever arrives later.
        """
        known = self._keyed.outcome(key)
        if known is not None:
            return _outcome(key, known, "known to its home")
        parts = parse_key(key)
        if parts is None:
            return await self._outcome_of_caller_key(key)
        if forwarded:
            return _outcome(key, "unknown", "this host is not the key's home")
        record = self._directory.find_incarnation(parts.incarnation)
        if record is not None and not self._is_suspect(record.name):
            answer = await self._ask_home(record.callers, key)
            if answer is not None:
                return answer
        found = await self._journals.resolve_dead(
            key, parts.incarnation, SEAL_TIMEOUT_S
        )
        if found is None:
            return _outcome(key, "unknown", "the platform gave no answer; ask again")
        return _outcome(key, found, "its home is gone and its journal is sealed")

    async def _serve_caller_key(self, key, fingerprint, run, request):
        """Serve a key that names no home: one conditional create decides."""
        while key in self._claiming:
            await asyncio.wait([self._claiming[key]])
        if self._keyed.find(key) is not None:
            return _delivery_of(self._keyed.begin(key, fingerprint, run))
        claiming = asyncio.get_running_loop().create_future()
        self._claiming[key] = claiming
        try:
            claim = await self._journals.claim_caller_key(key, fingerprint)
            if isinstance(claim, ClaimGranted):
                entry = self._keyed.begin(key, fingerprint, run, granted=True)
                return _delivery_of(entry)
        finally:
            del self._claiming[key]
            claiming.set_result(None)
        if not isinstance(claim, ClaimOwnedElsewhere):
            return refusal_of_claim(claim)
        if claim.owner == WITHDRAWN:
            return Refusal(
                "key_not_run",
                "this key was withdrawn and never runs; use a new key",
                step="claim",
            )
        if self._journals.owns(claim.owner) or FORWARDED_HEADER in request.headers:
            # Claimed here, and the memory of it is gone.
            return _unknown_outcome(self._host)
        return await self._send_home(key, claim.owner, request)

    async def _send_home(self, key, incarnation, request):
        """Pass a request on to its home, or say what is known when that is gone."""
        record = self._directory.find_incarnation(incarnation)
        if record is not None:
            delivery = await self._forward(record, request)
            if delivery is not None:
                return delivery
        if parse_key(key) is None:
            # The claim stands on the platform, so its home may have sent it.
            return _unknown_outcome(incarnation)
        found = await self._journals.resolve_dead(key, incarnation, SEAL_TIMEOUT_S)
        if found == "not_run":
            return Refusal(
                "key_not_run",
                "the key's host is gone and never sent it; send it under a new key",
                step="seal",
                peer=incarnation,
            )
        if found == "unknown":
            return _unknown_outcome(incarnation)
        return Refusal(
            "key_unknown_outcome",
            "the key's host is not reached and the platform gave no answer; ask again",
            "unknown",
            "seal",
            incarnation,
            RETRY_UNKNOWN_S,
        )

    async def _forward(self, record, request):
        """Return the home's answer on its way, or None when it can't be reached."""
        target = request.path
        if request.query_string:
            target = f"{target}?{request.query_string}"
        for _ in range(CONNECT_TRIES):
            delivery = Delivery()
            begun = asyncio.ensure_future(
                self._forwarder.forward(
                    record.callers,
                    request.method,
                    target,
                    request.headers.items(),
                    request.body,
                    delivery,
                )
            )
            self._tasks.add(begun)
            begun.add_done_callback(self._tasks.discard)
            if await self._wait_for_head(record.name, begun, delivery):
                return delivery
            if not begun.done():
                begun.cancel()
                return None
            if await begun:
                return broken_forward(record.name)
            await asyncio.sleep(CONNECT_PAUSE_S)
        self._log("warning", "home_unreachable", home=record.name)
        return None

    async def _wait_for_head(self, home, begun, delivery):
        """Wait for the home's answer to begin; False when there won't be one.

        Failure guarded against: the home is paused or cut off after its kernel has
        taken the connection, and the caller waits for an answer that nobody gives.
        A home that is suspected meanwhile is waited for no longer; its sealed
        journal then decides what may be said, so a wrong suspicion costs an
        "unknown" at worst. A home that lives is waited for as long as it takes.
        """
        head = asyncio.ensure_future(delivery.wait_head())
        try:
            while not begun.done() and not head.done():
                await asyncio.wait(
                    [begun, head],
                    timeout=SUSPECT_POLL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if self._is_suspect(home):
                    break
        finally:
            head.cancel()
        return delivery.head is not None

    async def _ask_home(self, address, key):
        """Return the home's word on a key, or None when it can't be reached."""
        try:
            async with self._sessions.fresh.get(
                f"http://{address}/v1/keys/{key}",
                headers={FORWARDED_HEADER: self._host},
                timeout=aiohttp.ClientTimeout(total=ASK_HOME_TIMEOUT_S),
            ) as response:
                answer = json.loads(await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return _outcome(key, "unknown", "its home gave no answer; ask again")
        if not isinstance(answer, dict) or "outcome" not in answer:
            return _outcome(key, "unknown", "its home is not ready; ask again")
        return answer

    async def _outcome_of_caller_key(self, key):
        """Withdraw a caller's own key, or say that it was claimed."""
        claim = await self._journals.claim_caller_key(key, WITHDRAWN, WITHDRAWN)
        if isinstance(claim, ClaimGranted):
            return _outcome(key, "not_run", "it was not claimed and is withdrawn now")
        if isinstance(claim, ClaimOwnedElsewhere) and claim.owner == WITHDRAWN:
            return _outcome(key, "not_run", "it was withdrawn before it was claimed")
        if not isinstance(claim, ClaimOwnedElsewhere):
            return _outcome(key, "unknown", "the platform gave no answer; ask again")
        record = self._directory.find_incarnation(claim.owner)
        if record is None or self._journals.owns(claim.owner):
            return _outcome(key, "unknown", "its home is gone")
        answer = await self._ask_home(record.callers, key)
        return answer or _outcome(key, "unknown", "its home is gone")


def _delivery_of(entry):
    """Return the delivery of a key's entry, or the refusal."""
    return entry if isinstance(entry, Refusal) else entry.delivery


def _outcome(key, outcome, detail):
    """Return the answer to a question about a key."""
    return {"key": key, "outcome": outcome, "detail": detail}


def _unknown_outcome(peer):
    """Return the refusal of a key whose outcome nobody can know any more."""
    return Refusal(
        "key_unknown_outcome",
        "the key's host is gone; whether the request ran is not known",
        "unknown",
        "claim",
        peer,
    )
