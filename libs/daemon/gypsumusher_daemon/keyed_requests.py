"""Keyed requests, which run at most once, and their retained answers."""

import asyncio
from collections import OrderedDict

from gypsumusher_coordination import ClaimGranted, parse_key
from gypsumusher_daemon.delivery import Delivery
from gypsumusher_daemon.refusals import Refusal

__all__ = ["KeyedEntry", "KeyedRequests", "refusal_of_claim"]

# Largest answer that is retained for repeats of its key.
RETAINED_ANSWER_BYTES_MAX = 1_048_576
# Keyed requests held in memory; the oldest finished ones are evicted first.
ENTRIES_MAX = 20_000
# Retry-After when the journal can't record a key, and while its request is running.
RETRY_JOURNAL_S = 2.0
RETRY_RUNNING_S = 1.0


class KeyedEntry:
    """A keyed request that this host runs or has run.

    Attributes
    ----------
    fingerprint : str
        Hash of the request's content; another content under this key is refused.
    delivery : Delivery
        Its answer, retained unless it is over `RETAINED_ANSWER_BYTES_MAX`.
    task : asyncio.Task
        Runs the request to its end, also when its caller has disconnected.
    granted : bool
        Whether the journal granted the claim, so that the request may be sent.
    sent : bool
        Whether a byte may have reached an endpoint. A request that was granted but
        not sent may be sent under the same claim when its key is repeated.
    finished_s : float or None
        When the request ended, on the boot-time clock; None while it runs.
    """

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint
        self.delivery = Delivery(RETAINED_ANSWER_BYTES_MAX)
        self.task = None
        self.granted = False
        self.sent = False
        self.finished_s = None


def refusal_of_claim(claim):
    """Return the caller's refusal for a refused claim.

    Parameters
    ----------
    claim : ClaimRefused
        The journal's decision.
    """
    messages = {
        "in_progress": "a request with this key is running; ask for its outcome",
        "key_reused": "this key was used for another request; use a new key",
        "key_not_run": "this key's request was not run and never will be; "
        "send it under a new key",
        "journal_unavailable": "the platform can't record the key now; nothing was "
        "run, and a minted key never will be: retry with a new key",
        "done": "this key's request was answered; the answer is no longer kept",
        "key_unknown_outcome": "whether this key's request ran is not known",
        "stopping": "this host is stopping; use another one",
        "overloaded": "too many keys wait to be recorded; nothing was run",
        "malformed": "this key was never issued by its host",
    }
    code = "key_unknown_outcome" if claim.code == "done" else claim.code
    retry_after_s = None
    if claim.code in ("journal_unavailable", "overloaded", "stopping"):
        retry_after_s = RETRY_JOURNAL_S
    if claim.code == "in_progress":
        retry_after_s = RETRY_RUNNING_S
    message = messages.get(claim.code, claim.code.replace("_", " "))
    if claim.code == "journal_unavailable" and claim.run == "unknown":
        message = "the platform can't give the outcome of this key now; ask again"
    return Refusal(code, message, claim.run, "claim", None, retry_after_s)


class KeyedRequests:
    """The keyed requests that this host owns, with their retained answers.

    Parameters
    ----------
    journals : Journals
        Grants claims.
    clock : callable
        Boot-time clock.
    retention_s : float
        How long a finished answer is retained.
    answers_bytes : int
        Memory for retained answers.
    """

    def __init__(self, journals, clock, retention_s, answers_bytes):
        self._journals = journals
        self._clock = clock
        self._retention_s = retention_s
        self._answers_bytes = answers_bytes
        self._entries = OrderedDict()
        self._retained_bytes = 0

    def find(self, key):
        """Return the entry of a key, or None."""
        return self._entries.get(key)

    def attach_or_start(self, key, fingerprint, run, granted=False):
        """Return the entry of a key's request, starting the request if it is new.

        Parameters
        ----------
        key : str
            A key minted by this process, or one that a caller chose.
        fingerprint : str
            Fingerprint of the request.
        run : coroutine function
            ``await run(entry, claim)`` runs the request to its end.
        granted : bool
            Whether the claim has been granted already.

        Returns
        -------
        KeyedEntry or Refusal
        """
        entry = self._entries.get(key)
        if entry is not None:
            if entry.fingerprint != fingerprint:
                return Refusal(
                    "key_reused",
                    "this key was used for another request; use a new key",
                    step="claim",
                )
            if entry.finished_s is not None and not entry.sent:
                return self._start(key, entry, run)
            if entry.delivery.closed and not entry.delivery.is_retained:
                return Refusal(
                    "key_unknown_outcome",
                    "this key's request was answered; the answer is no longer kept",
                    run="unknown",
                    step="claim",
                )
            return entry
        entry = self._entries[key] = KeyedEntry(fingerprint)
        entry.granted = granted
        self._evict()
        return self._start(key, entry, run)

    def _start(self, key, entry, run):
        """Start the task that runs a request, with a new delivery."""
        entry.delivery = Delivery(RETAINED_ANSWER_BYTES_MAX)
        entry.finished_s = None
        entry.task = asyncio.ensure_future(self._run_to_end(key, entry, run))
        return entry

    async def _run_to_end(self, key, entry, run):
        """Run a keyed request; retain its answer if it was granted or sent."""
        try:
            await run(entry, lambda: self._claim(key, entry))
        finally:
            if not entry.delivery.closed:
                entry.delivery.close(complete=False)
            entry.finished_s = self._clock()
            self._retained_bytes += entry.delivery.size_bytes
            if entry.sent:
                self._finish(key)
            elif not entry.granted:
                # Nothing was claimed or sent, so a repeat of the key starts anew.
                self._remove(key)

    async def _claim(self, key, entry):
        """Claim the key; return None when the request may be sent, else a refusal."""
        if entry.granted:
            return None
        incarnation = parse_key(key).incarnation
        claim = await self._journals.claim(incarnation, key, entry.fingerprint)
        if isinstance(claim, ClaimGranted):
            entry.granted = True
            return None
        return refusal_of_claim(claim)

    def _finish(self, key):
        """Record in the journal that a minted key has its final answer."""
        parts = parse_key(key)
        if parts is not None:
            self._journals.finish(key, parts.incarnation)

    def outcome(self, key):
        """Return the outcome of a key that this host owns, or None for others.

        Parameters
        ----------
        key : str
            A minted key or one that a caller chose.

        Returns
        -------
        str or None
            ``not_run``, ``running``, ``done``, ``unknown`` or None.
        """
        entry = self._entries.get(key)
        if entry is not None:
            return "done" if entry.finished_s is not None else "running"
        parts = parse_key(key)
        if parts is None or not self._journals.owns(parts.incarnation):
            return None
        return self._journals.resolve(key, parts.incarnation)

    def finish_unsent(self):
        """Finish the keys that were granted but never sent, before a planned stop."""
        for key, entry in self._entries.items():
            if entry.granted and not entry.sent and entry.finished_s is not None:
                self._finish(key)

    def _evict(self):
        """Remove the oldest finished entries, if too old or too many."""
        now_s = self._clock()
        for key, entry in list(self._entries.items()):
            if entry.finished_s is None:
                continue
            old = now_s - entry.finished_s > self._retention_s
            full = self._retained_bytes > self._answers_bytes
            full |= len(self._entries) > ENTRIES_MAX
            if not old and not full:
                return
            if entry.granted and not entry.sent:
                self._finish(key)
            self._remove(key)

    def _remove(self, key):
        """Remove a finished entry."""
        entry = self._entries.pop(key)
        self._retained_bytes -= entry.delivery.size_bytes
