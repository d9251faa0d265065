"""Routes a keyed request: runs it here, forwards it to its owner, or refuses it."""

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
from gypsumusher_daemon.forwarding import FORWARDED_HEADER, lost_forward_refusal
from gypsumusher_daemon.keyed_requests import refusal_of_claim
from gypsumusher_daemon.refusals import Refusal

__all__ = ["KeyedRouter"]

# Connections tried to a key's owner and the pause after each; repeated failures are
# not caused by a lost packet.
CONNECT_TRIES = 3
CONNECT_PAUSE_S = 0.2
# Interval at which a wait for the owner's answer checks whether the owner is suspect.
SUSPECT_POLL_S = 0.1
# Longest wait for the platform to seal a dead owner's journal.
SEAL_TIMEOUT_S = 5.0
# Longest wait for the owner's answer to an outcome query.
OWNER_QUERY_TIMEOUT_S = 3.0
# Retry-After when the outcome of a key can't be determined now.
RETRY_UNKNOWN_S = 3.0


class KeyedRouter:
    """Decides for each keyed request which host may run it.

    Parameters
    ----------
    host : str
        This host.
    journals : Journals
        Claims keys and seals journals.
    keyed_requests : KeyedRequests
        The keyed requests that this host runs or has run.
    directory : HostsDirectory
        Finds the host of an incarnation.
    forwarder : Forwarder
        Forwards requests to owners.
    sessions : EngineSessions
        HTTP sessions for outcome queries to owners.
    is_suspect : callable
        ``is_suspect(host)`` returns whether a host doesn't answer its peers.
    log : callable
        Structured log.
    """

    def __init__(
        self,
        host,
        journals,
        keyed_requests,
        directory,
        forwarder,
        sessions,
        is_suspect,
        log,
    ):
        self._host = host
        self._journals = journals
        self._keyed_requests = keyed_requests
        self._directory = directory
        self._forwarder = forwarder
        self._sessions = sessions
        self._is_suspect = is_suspect
        self._log = log
        self._claiming = {}
        self._tasks = set()

    async def serve(self, key, fingerprint, run, request, forwarded):
        """Run a keyed request here or forward it to its owner.

        Parameters
        ----------
        key : str
            A key minted by an entry host, or one that the caller chose.
        fingerprint : str
            Fingerprint of the request.
        run : coroutine function
            ``await run(entry, claim)`` runs the request on this host.
        request : sanic.Request
            The caller's request, which may be forwarded.
        forwarded : bool
            Whether another host forwarded the request to this one.

        Returns
        -------
        Delivery or Refusal
        """
        parts = parse_key(key)
        if parts is None:
            return await self._serve_caller_key(key, fingerprint, run, request)
        if self._journals.owns(parts.incarnation):
            return _delivery_of(
                self._keyed_requests.attach_or_start(key, fingerprint, run)
            )
        if forwarded:
            # The sender took this host for the owner. Forwarding again could loop
            # while hosts have not yet received each other's new incarnations.
            return Refusal(
                "key_unknown_outcome",
                "this host is not the key's owner",
                "unknown",
                "forward",
                self._host,
                RETRY_UNKNOWN_S,
            )
        return await self._send_to_owner(key, parts.incarnation, request)

    async def outcome(self, key, forwarded=False):
        """Return the outcome of a key.

        Parameters
        ----------
        key : str
            A minted key or one that a caller chose.
        forwarded : bool
            Whether the query comes from another host.

        Returns
        -------
        dict
            ``key``, ``outcome`` (not_run, running, done or unknown) and ``detail``.
            The query withdraws a key that is not claimed yet, so that ``not_run``
            stays true whatever request arrives later.
        """
        own_outcome = self._keyed_requests.outcome(key)
        if own_outcome is not None:
            return _outcome(key, own_outcome, "known to its owner")
        parts = parse_key(key)
        if parts is None:
            return await self._outcome_of_caller_key(key)
        if forwarded:
            return _outcome(key, "unknown", "this host is not the key's owner")
        record = self._directory.find_incarnation(parts.incarnation)
        if record is not None and not self._is_suspect(record.name):
            answer = await self._query_owner(record.callers, key)
            if answer is not None:
                return answer
        found = await self._journals.resolve_by_sealing(
            key, parts.incarnation, SEAL_TIMEOUT_S
        )
        if found is None:
            return _outcome(key, "unknown", "the platform gave no answer; ask again")
        return _outcome(key, found, "its owner is gone and its journal is sealed")

    async def _serve_caller_key(self, key, fingerprint, run, request):
        """Serve a key that a caller chose: one conditional create assigns its owner."""
        while key in self._claiming:
            await asyncio.wait([self._claiming[key]])
        if self._keyed_requests.find(key) is not None:
            return _delivery_of(
                self._keyed_requests.attach_or_start(key, fingerprint, run)
            )
        claiming = asyncio.get_running_loop().create_future()
        self._claiming[key] = claiming
        try:
            claim = await self._journals.claim_caller_key(key, fingerprint)
            if isinstance(claim, ClaimGranted):
                entry = self._keyed_requests.attach_or_start(
                    key, fingerprint, run, granted=True
                )
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
            # This host claimed the key, but no longer has the request in memory.
            return _unknown_outcome(self._host)
        return await self._send_to_owner(key, claim.owner, request)

    async def _send_to_owner(self, key, incarnation, request):
        """Forward a request to its owner; without one, refuse it with its outcome."""
        record = self._directory.find_incarnation(incarnation)
        if record is not None:
            delivery = await self._forward(record, request)
            if delivery is not None:
                return delivery
        if parse_key(key) is None:
            # The claim is stored on the platform, so its owner may have sent the
            # request.
            return _unknown_outcome(incarnation)
        found = await self._journals.resolve_by_sealing(
            key, incarnation, SEAL_TIMEOUT_S
        )
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
            "neither the key's host nor the platform gave an answer; ask again",
            "unknown",
            "seal",
            incarnation,
            RETRY_UNKNOWN_S,
        )

    async def _forward(self, record, request):
        """Forward a request to its owner.

        Returns
        -------
        Delivery, Refusal or None
            None when the owner can't be reached or stops answering.
        """
        target = request.path
        if request.query_string:
            target = f"{target}?{request.query_string}"
        for _ in range(CONNECT_TRIES):
            delivery = Delivery()
            forwarding = asyncio.ensure_future(
                self._forwarder.forward(
                    record.callers,
                    request.method,
                    target,
                    request.headers.items(),
                    request.body,
                    delivery,
                )
            )
            self._tasks.add(forwarding)
            forwarding.add_done_callback(self._tasks.discard)
            if await self._wait_for_head(record.name, forwarding, delivery):
                return delivery
            if not forwarding.done():
                forwarding.cancel()
                return None
            if await forwarding:
                return lost_forward_refusal(record.name)
            await asyncio.sleep(CONNECT_PAUSE_S)
        self._log("warning", "home_unreachable", home=record.name)
        return None

    async def _wait_for_head(self, owner, forwarding, delivery):
        """Wait for the head of the owner's answer; return False when there is none.

        The wait ends when the owner becomes suspect: an owner that is paused or cut
        off after its kernel accepted the connection would never answer. Its sealed
        journal then determines the outcome, so a wrong suspicion at worst yields
        "unknown". For a live owner there is no limit.
        """
        head_task = asyncio.ensure_future(delivery.wait_head())
        try:
            while not forwarding.done() and not head_task.done():
                await asyncio.wait(
                    [forwarding, head_task],
                    timeout=SUSPECT_POLL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if self._is_suspect(owner):
                    break
        finally:
            head_task.cancel()
        return delivery.head is not None

    async def _query_owner(self, address, key):
        """Query the owner for a key's outcome; return None if it can't be reached."""
        try:
            async with self._sessions.fresh.get(
                f"http://{address}/v1/keys/{key}",
                headers={FORWARDED_HEADER: self._host},
                timeout=aiohttp.ClientTimeout(total=OWNER_QUERY_TIMEOUT_S),
            ) as response:
                answer = json.loads(await response.read())
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
            return None
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return _outcome(key, "unknown", "its owner gave no answer; ask again")
        if not isinstance(answer, dict) or "outcome" not in answer:
            return _outcome(key, "unknown", "its owner is not ready; ask again")
        return answer

    async def _outcome_of_caller_key(self, key):
        """Withdraw a caller's own key, or return the outcome if it was claimed."""
        claim = await self._journals.claim_caller_key(key, WITHDRAWN, WITHDRAWN)
        if isinstance(claim, ClaimGranted):
            return _outcome(key, "not_run", "it was not claimed and is withdrawn now")
        if isinstance(claim, ClaimOwnedElsewhere) and claim.owner == WITHDRAWN:
            return _outcome(key, "not_run", "it was withdrawn before it was claimed")
        if not isinstance(claim, ClaimOwnedElsewhere):
            return _outcome(key, "unknown", "the platform gave no answer; ask again")
        record = self._directory.find_incarnation(claim.owner)
        if record is None or self._journals.owns(claim.owner):
            return _outcome(key, "unknown", "its owner is gone")
        answer = await self._query_owner(record.callers, key)
        return answer or _outcome(key, "unknown", "its owner is gone")


def _delivery_of(entry):
    """Return the delivery of a keyed entry; a refusal is returned unchanged."""
    return entry if isinstance(entry, Refusal) else entry.delivery


def _outcome(key, outcome, detail):
    """Return the body of the answer to an outcome query."""
    return {"key": key, "outcome": outcome, "detail": detail}


def _unknown_outcome(peer):
    """Return the refusal for a key whose outcome can't be determined any more."""
    return Refusal(
        "key_unknown_outcome",
        "the key's host is gone; whether the request ran is not known",
        "unknown",
        "claim",
        peer,
    )
