"""Requests that run at most once: their keys, homes, and kept answers."""

import asyncio
from collections import OrderedDict

from gypsumusher_coordination import ClaimGranted, parse_key
from gypsumusher_daemon.delivery import Delivery
from gypsumusher_daemon.refusals import Refusal

__all__ = ["KeyedEntry", "KeyedRequests", "refusal_of_claim"]

KEPT_ANSWER_BYTES_MAX = 1_048_576
ENTRIES_MAX = 20_000
RETRY_JOURNAL_S = 2.0
RETRY_RUNNING_S = 1.0


class KeyedEntry:
    """One key's request in this home's memory.

    Attributes
    ----------
    fingerprint : str
        Of the request's content; another one under this key is refused.
    delivery : Delivery
        Its answer, kept whole if it isn't too large.
    task : asyncio.Task
        Sees the request through, whether or not a caller still listens.
    granted : bool
        Whether a claim licensed it to be sent.
    sent : bool
        Whether a byte may have reached an endpoint. A request that was licensed but
        never sent may be sent when its key comes again, under the same licence.
    finished_s : float or None
        When its answer was complete.
    """

    def __init__(self, fingerprint):
        self.fingerprint = fingerprint
        self.delivery = Delivery(KEPT_ANSWER_BYTES_MAX)
        self.task = None
        self.granted = False
        self.sent = False
        self.finished_s = None


def refusal_of_claim(claim):
    """Return the refusal that a refused claim means for the caller.

    Parameters
    ----------
    claim : ClaimRefused
        What the journal said.
    """
    messages = {
        "in_progress": "a request with this key is running; ask for its outcome",
        "key_reused": "this key was used for another request; use a new key",
        "key_not_run": "this key's request was not run and never will be; "
        "send it under a new key",
        "journal_unavailable": "the platform can't record the key now; nothing was "
        "run, and a key of ours never will be: come back with a new one",
        "done": "this key's request was answered; the answer is no longer kept",
        "key_unknown_outcome": "whether this key's request ran is not known",
        "stopping": "this host is stopping; use another one",
        "overloaded": "too many keys wait to be recorded; nothing was run",
        "malformed": "this key was never given out by its host",
    }
    code = "key_unknown_outcome" if claim.code == "done" else claim.code
    retry_after_s = None
    if claim.code in ("journal_unavailable", "overloaded", "stopping"):
        retry_after_s = RETRY_JOURNAL_S
    if claim.code == "in_progress":
        retry_after_s = RETRY_RUNNING_S
    message = messages.get(claim.code, claim.code.replace("_", " "))
    if claim.code == "journal_unavailable" and claim.run == "unknown":
        message = "the platform can't say now what became of this key; ask again"
    return Refusal(code, message, claim.run, "claim", None, retry_after_s)


class KeyedRequests:
    """The keyed requests of this home.

    Parameters
    ----------
    journals : Journals
        Grants claims.
    clock : callable
        Boot-time clock.
    retention_s : float
        How long answers are kept.
    answers_bytes : int
        Memory for kept answers.
    """

    def __init__(self, journals, clock, retention_s, answers_bytes):
        self._journals = journals
        self._clock = clock
        self._retention_s = retention_s
        self._answers_bytes = answers_bytes
        self._entries = OrderedDict()
        self._kept_bytes = 0

    def find(self, key):
        """Return the entry of a key, or None."""
        return self._entries.get(key)

    def begin(self, key, fingerprint, run, granted=False):
        """Attach to a key's request, or start it if it is new.

        Parameters
        ----------
        key : str
            The key; one of this process's own, or a caller's.
        fingerprint : str
            Of the request.
        run : coroutine function
            ``await run(entry, claim)`` sees the request through.
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
            if entry.delivery.closed and not entry.delivery.kept:
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
        """See a request through from its beginning."""
        entry.delivery = Delivery(KEPT_ANSWER_BYTES_MAX)
        entry.finished_s = None
        entry.task = asyncio.ensure_future(self._see_through(key, entry, run))
        return entry

    async def _see_through(self, key, entry, run):
        """Run a keyed request and keep or forget its answer."""
        try:
            await run(entry, lambda: self._claim(key, entry))
        finally:
            if not entry.delivery.closed:
                entry.delivery.close(whole=False)
            entry.finished_s = self._clock()
            self._kept_bytes += entry.delivery.size_bytes
            if entry.sent:
                self._finish(key)
            elif not entry.granted:
                # Nothing was claimed or sent, so the key may come again as new.
                self._remove(key)

    async def _claim(self, key, entry):
        """Return None when the request may be sent, or the refusal."""
        if entry.granted:
            return None
        incarnation = parse_key(key).incarnation
        claim = await self._journals.claim(incarnation, key, entry.fingerprint)
        if isinstance(claim, ClaimGranted):
            entry.granted = True
            return None
        return refusal_of_claim(claim)

    def _finish(self, key):
        """Tell the journal that a granted key has its final answer."""
        parts = parse_key(key)
        if parts is not None:
            self._journals.finish(key, parts.incarnation)

    def outcome(self, key):
        """Return what this home knows of a key: its state, or None.

        Parameters
        ----------
        key : str
            Any key.
        """
        entry = self._entries.get(key)
        if entry is not None:
            return "done" if entry.finished_s is not None else "running"
        parts = parse_key(key)
        if parts is None or not self._journals.owns(parts.incarnation):
            return None
        return self._journals.resolve(key, parts.incarnation)

    def give_up_unsent(self):
        """Finish the keys that were licensed and never sent, before a planned stop."""
        for key, entry in self._entries.items():
            if entry.granted and not entry.sent and entry.finished_s is not None:
                self._finish(key)

    def _evict(self):
        """Forget finished answers that are old or too many, oldest first."""
        now_s = self._clock()
        for key, entry in list(self._entries.items()):
            if entry.finished_s is None:
                continue
            old = now_s - entry.finished_s > self._retention_s
            full = self._kept_bytes > self._answers_bytes
            full |= len(self._entries) > ENTRIES_MAX
            if not old and not full:
                return
            if entry.granted and not entry.sent:
                self._finish(key)
            self._remove(key)

    def _remove(self, key):
        """Forget an entry that has its final answer."""
        entry = self._entries.pop(key)
        self._kept_bytes -= entry.delivery.size_bytes
