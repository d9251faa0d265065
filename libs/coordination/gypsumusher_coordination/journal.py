"""The journal in which a home records each key on the platform before it runs it.

Notes
-----
A minted key names its home, and only that home's incarnation is ever granted it, so
two hosts can't both run a request: no lease and no clock takes part in the argument.
The journal serves the other promise, that "not run" is true when the home has died.
A key is granted only after it stands in a segment on the platform, and a survivor
seals the segments by conditional writes before it says anything. A key that is absent
from a sealed journal was therefore never granted and never will be.

Segments form a chain without gaps: the home creates segment N + 1 only after segment
N stood on the platform. A survivor that has sealed all segments and created the next
one sealed has therefore shut the home out, wherever the home was paused.

Deployments may allow running without the journal while the platform is down
(``run_unjournaled``). Absence proves nothing for such a key, so the key itself has to
say so: it carries another prefix. A flag in the journal instead would have to be
written before the outage that it is for, and would turn each key of the incarnation
into "unknown" after a crash, also those of deployments that refuse. A flag in the key
needs no platform, holds for exactly the keys concerned, and reaches whoever asks. Its
price: a key minted without the flag is refused during an outage, and its caller mints
another one.
"""

import hashlib
from typing import Any, NamedTuple

from gypsumusher_coordination.effects import (
    CallFailed,
    ClaimGranted,
    ClaimRefused,
    OwnJournalSealed,
    ReadDone,
    ReadObject,
    StoredObject,
    WriteConflict,
    WriteDone,
    WriteObject,
)
from gypsumusher_coordination.expiry import SegmentExpiry
from gypsumusher_coordination.key_table import KeyRecord, KeyState, KeyTable
from gypsumusher_coordination.keys import (
    KeyParts,
    format_key,
    parse_key,
    segment_name,
)

JOURNAL_KIND = "journals"
SEALED_BY_HOME = "home"

# Quotes, colon, comma and blank around one key and its fingerprint in JSON.
_ENTRY_OVERHEAD_BYTES = 7


class JournalPolicy(NamedTuple):
    """The limits of one home's journal.

    Parameters
    ----------
    writes_per_s : float
        Calls a second that the journal may start at most. The platform takes several
        hundred writes a second from all hosts: 16 homes at 10 leave room for leases
        and configuration. Keys that gather meanwhile share the next write.
    claim_timeout_s : float
        A claim that isn't on the platform after this time is refused. Shorter than a
        caller's patience, so that it hears a true "not run" and may go elsewhere.
    retention_s : float
        How long a finished key is remembered, and how long a segment stands after the
        home has left it. Later repeats hear "unknown".
    segment_max_bytes : int
        Size at which a segment is left for the next. Each write carries the whole
        segment, so a large one multiplies the bytes of every write by its fill, and a
        small one gives a survivor more segments to seal. 16 KiB holds about 150 keys.
    segment_max_age_s : float
        Age at which a segment is left for the next. A host with few keys would fill a
        segment over minutes and send it again with each key. Ten seconds keep one
        key a second under a node's 2 KB/s; a survivor then finds about 70 segments.
    max_keys : int
        Keys kept in memory, about 330 bytes each as measured.
    max_waiting_claims : int
        Claims that may wait for the platform at one time; further ones are refused.
    backoff_initial_s, backoff_max_s : float
        Wait after the first failed call, doubled up to the limit. The limit keeps a
        fleet from beating on a platform that is coming back.
    """

    writes_per_s: float = 10.0
    claim_timeout_s: float = 2.0
    retention_s: float = 600.0
    segment_max_bytes: int = 16 * 1024
    segment_max_age_s: float = 10.0
    max_keys: int = 50_000
    max_waiting_claims: int = 2_000
    backoff_initial_s: float = 0.1
    backoff_max_s: float = 5.0


DEFAULT_POLICY = JournalPolicy()


class _Call(NamedTuple):
    """The journal's one call in flight; `value` is None for a read."""

    tag: str
    value: dict[str, Any] | None


class ClaimJournal:
    """The keys of one incarnation of one host, and their journal on the platform.

    Parameters
    ----------
    incarnation : str
        Random id of this incarnation: up to 64 letters, digits, ``-`` and ``_``.
    writer : str
        Random id of this object, by which it recognises its own writes.
    policy : JournalPolicy, optional
        Limits.

    Raises
    ------
    ValueError
        If the incarnation can't stand in a key.
    """

    def __init__(self, incarnation, writer, policy=DEFAULT_POLICY):
        format_key(KeyParts(incarnation, 0, 0, False), "0" * 8)
        self.incarnation = incarnation
        self._writer = writer
        self._policy = policy
        self._memory = KeyTable(policy.max_keys, policy.retention_s)
        self._waiting = {}
        self._running = 0
        self._minted = 0
        self._segment = 0
        self._segment_opened_s = 0.0
        self._version = 0
        self._journaled = {}
        self._journaled_bytes = 0
        self._sequence = 0
        self._confirmed_sequence = 0
        self._expiry = SegmentExpiry(JOURNAL_KIND, incarnation, policy.retention_s)
        self._call = None
        self._calls = 0
        self._is_unsettled = False
        self._not_before_s = 0.0
        self._failures = 0
        self._is_stopping = False
        self._is_sealed = False
        self._is_sealed_out = False
        # Hosts that lost the platform together must not come back in step; the
        # incarnation is random, so its digest spreads their retries.
        digest = hashlib.blake2b(incarnation.encode(), digest_size=1).digest()
        self._spread = 0.5 + digest[0] / 512

    @property
    def is_fenced(self):
        """Whether a survivor has sealed this journal: no key is granted any more."""
        return self._is_sealed_out

    @property
    def is_platform_reachable(self):
        """Whether the last call to the platform was answered."""
        return self._failures == 0

    @property
    def key_count(self):
        """How many keys are held in memory."""
        return len(self._memory)

    def mint(self, random_hex, unjournaled=False):
        """Return a new key of this home.

        Parameters
        ----------
        random_hex : str
            8 to 64 hexadecimal digits that nobody can guess.
        unjournaled : bool, optional
            True for a deployment that may run it while the platform is unreachable.
            Mint such keys only while it is (see `is_platform_reachable`): a crash
            turns their outcome into "unknown".

        Returns
        -------
        str
            The key.

        Raises
        ------
        ValueError
            If `random_hex` can't stand in a key.
        """
        key = format_key(self.next_parts(unjournaled), random_hex)
        self._minted += 1
        return key

    def next_parts(self, unjournaled=False):
        """Return what the next minted key will say, for a signature in its last part.

        Parameters
        ----------
        unjournaled : bool, optional
            As in `mint`.

        Returns
        -------
        KeyParts
            The parts.
        """
        return KeyParts(self.incarnation, self._segment, self._minted, unjournaled)

    def claim(self, now_s, key, fingerprint):
        """Ask for the licence to send the request that carries this key.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        key : str
            A key of this home.
        fingerprint : str
            Digest of the request's content.

        Returns
        -------
        list
            Effects: `ClaimGranted`, `ClaimRefused`, or object calls after which one
            of the two follows from `handle` or `tick`.

        Raises
        ------
        ValueError
            If the key names another home.
        """
        parts = self._parts_of(key)
        record = self._memory.find(key)
        if record is not None:
            return [_refuse_repeat(key, fingerprint, record)]
        if self._memory.is_expired(parts.count):
            # The home has forgotten what became of keys this old, so it must not run
            # them again, and can't deny that it did.
            return [ClaimRefused(key, "key_unknown_outcome", "unknown")]
        if parts.count >= self._minted or parts.segment > self._segment:
            # A made-up key may be minted later and granted then, so no promise that
            # it never runs is given here.
            return [ClaimRefused(key, "malformed", "unknown")]
        refusal = self._refusal_of_new_claims()
        if refusal is not None:
            self._remember(now_s, key, parts, fingerprint, KeyState.WITHDRAWN)
            return [ClaimRefused(key, refusal, "no")]
        self._remember(now_s, key, parts, fingerprint, KeyState.WAITING)
        if parts.unjournaled and not self.is_platform_reachable:
            return [self._grant(key)]
        self._waiting[key] = parts
        return self._advance(now_s)

    def finish(self, now_s, key):
        """Note that a granted key's request has been answered for good.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        key : str
            A key that was granted; others are ignored.

        Returns
        -------
        list
            Effects.
        """
        record = self._memory.find(key)
        if record is None or record.state is not KeyState.RUNNING:
            return []
        self._memory.finish(key)
        self._running -= 1
        return self._advance(now_s)

    def resolve(self, now_s, key):
        """Say what became of a key of this home.

        A key that wasn't claimed yet is withdrawn by the question: else a delayed
        copy of its request could run after the caller heard "not_run".

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        key : str
            A key of this home.

        Returns
        -------
        str
            "not_run", "running", "done" or "unknown".

        Raises
        ------
        ValueError
            If the key names another home.
        """
        parts = self._parts_of(key)
        record = self._memory.find(key)
        if record is None:
            is_forgotten = self._memory.is_expired(parts.count)
            if is_forgotten or parts.count >= self._minted:
                return "unknown"
            self._remember(now_s, key, parts, None, KeyState.WITHDRAWN)
            return "not_run"
        if record.state is KeyState.WITHDRAWN:
            return "not_run"
        if record.state is KeyState.DONE:
            return "done"
        return "running"

    def seal(self, now_s):
        """Take no new claim, and seal the journal once the granted work is finished.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.

        Returns
        -------
        list
            Effects; `OwnJournalSealed` follows, now or later.
        """
        if self._is_sealed_out and not self._is_stopping:
            self._is_stopping = True
            return [OwnJournalSealed()]
        self._is_stopping = True
        return self._advance(now_s)

    def tick(self, now_s):
        """Refuse claims that waited too long, and go on with calls that are due.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.

        Returns
        -------
        list
            Effects.
        """
        effects = []
        for key in list(self._waiting):
            if self._memory.find(key).deadline_s > now_s:
                # Claims wait in the order in which they came.
                break
            effects.append(self._withdraw(key))
        self._memory.expire(now_s, self._minted)
        effects.extend(self._advance(now_s))
        if not self._is_sealed and not self._is_sealed_out:
            effects.extend(self._expiry.tick(now_s))
        return effects

    def handle(self, now_s, event):
        """Take the answer to a call.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        event : ReadDone, WriteDone, WriteConflict or CallFailed
            The answer. Answers to other calls than the one in flight are ignored.

        Returns
        -------
        list
            Effects.
        """
        self._expiry.handle(now_s, event)
        is_closed = self._is_sealed or self._is_sealed_out
        if self._expiry.is_fenced and not is_closed:
            return self._shut_out()
        call = self._call
        if call is None or event.tag != call.tag:
            return []
        self._call = None
        if isinstance(event, CallFailed):
            return self._on_failed(now_s, call, event.sent)
        self._failures = 0
        if isinstance(event, WriteDone):
            effects = self._on_stored(StoredObject(event.version, call.value))
        elif isinstance(event, (ReadDone, WriteConflict)):
            effects = self._settle(event.stored)
        else:
            raise TypeError(f"event: no answer to a journal call: {event!r}")
        effects.extend(self._advance(now_s))
        return effects

    def _parts_of(self, key):
        parts = parse_key(key)
        if parts is None or parts.incarnation != self.incarnation:
            raise ValueError(f"key: not one of home {self.incarnation!r}: {key!r}")
        return parts

    def _refusal_of_new_claims(self):
        if self._is_stopping:
            return "stopping"
        if self._is_sealed_out:
            return "journal_unavailable"
        if len(self._waiting) >= self._policy.max_waiting_claims:
            return "overloaded"
        return None

    def _remember(self, now_s, key, parts, fingerprint, state):
        deadline_s = now_s + self._policy.claim_timeout_s
        self._memory.add(key, KeyRecord(parts.count, fingerprint, state, deadline_s))

    def _grant(self, key):
        self._memory.find(key).state = KeyState.RUNNING
        self._running += 1
        return ClaimGranted(key)

    def _withdraw(self, key):
        # Guards against the write in flight that lands after its claim was refused:
        # the caller was told "not run" and may have run its request under another
        # key, so a grant now would run it twice. The state is final for the key, and
        # a landing write grants only keys that still wait.
        del self._waiting[key]
        self._memory.find(key).state = KeyState.WITHDRAWN
        return ClaimRefused(key, "journal_unavailable", "no")

    def _advance(self, now_s):
        """Start the next call if one is due, none is in flight, the rate allows."""
        if self._call is not None or now_s < self._not_before_s:
            return []
        if self._is_sealed or self._is_sealed_out:
            return []
        if self._is_unsettled:
            return [self._read(now_s)]
        if self._waiting:
            return [self._write_waiting(now_s)]
        if self._is_stopping and self._running == 0:
            return [self._write(now_s, self._journaled, SEALED_BY_HOME)]
        return []

    def _write_waiting(self, now_s):
        is_full = self._journaled_bytes >= self._policy.segment_max_bytes
        is_old = now_s - self._segment_opened_s >= self._policy.segment_max_age_s
        if self._journaled and (is_full or is_old):
            self._open_next_segment(now_s)
        if not self._journaled:
            self._segment_opened_s = now_s
        keys = dict(self._journaled)
        size_bytes = self._journaled_bytes
        for key in self._waiting:
            if size_bytes >= self._policy.segment_max_bytes:
                break
            fingerprint = self._memory.find(key).fingerprint
            keys[key] = fingerprint
            size_bytes += _entry_bytes(key, fingerprint)
        return self._write(now_s, keys, None)

    def _open_next_segment(self, now_s):
        # The present segment is known to stand on the platform, else no key of it
        # would be noted as journaled: the chain has no gap in which a survivor could
        # take a missing segment for the end while the home is already past it.
        stored = StoredObject(self._version, self._segment_value(self._journaled, None))
        self._expiry.on_closed(now_s, self._segment, stored)
        self._segment += 1
        self._version = 0
        self._journaled = {}
        self._journaled_bytes = 0

    def _write(self, now_s, keys, sealed):
        self._sequence += 1
        value = self._segment_value(keys, sealed)
        self._start_call(now_s, value)
        name = segment_name(self.incarnation, self._segment)
        # The version guards against the survivor that sealed this segment while the
        # home was paused: the write conflicts, and the home grants nothing.
        return WriteObject(self._call.tag, JOURNAL_KIND, name, value, self._version)

    def _segment_value(self, keys, sealed):
        return {
            "incarnation": self.incarnation,
            "segment": self._segment,
            "writer": self._writer,
            "sequence": self._sequence,
            "sealed": sealed,
            "keys": keys,
        }

    def _read(self, now_s):
        self._start_call(now_s, None)
        name = segment_name(self.incarnation, self._segment)
        return ReadObject(self._call.tag, JOURNAL_KIND, name)

    def _start_call(self, now_s, value):
        self._calls += 1
        self._call = _Call(f"journal.{self.incarnation}.{self._calls}", value)
        self._not_before_s = now_s + 1.0 / self._policy.writes_per_s

    def _on_failed(self, now_s, call, sent):
        if call.value is not None and sent:
            # The write may have landed, or may land yet. Reading shows which, and
            # nothing is granted on a guess.
            self._is_unsettled = True
        self._failures += 1
        wait_s = min(
            self._policy.backoff_max_s,
            self._policy.backoff_initial_s * 2.0 ** min(self._failures - 1, 16),
        )
        self._not_before_s = max(self._not_before_s, now_s + wait_s * self._spread)
        effects = []
        for key, parts in list(self._waiting.items()):
            if not parts.unjournaled:
                continue
            del self._waiting[key]
            effects.append(self._grant(key))
        return effects

    def _settle(self, stored):
        """Take what stands after a lost answer or a conflict."""
        self._is_unsettled = False
        if stored is None:
            if self._version == 0:
                # Nothing of this segment has landed; the next write creates it, or
                # conflicts with an earlier one that lands late.
                return []
            return self._shut_out()
        if stored.version == self._version:
            return []
        # Guards against the lost answer to a write that took effect: without it the
        # home would take its own write for a stranger's. Only this object uses this
        # writer id, and any write it issued after the last confirmed one may be the
        # one that landed.
        is_own_write = (
            stored.value["writer"] == self._writer
            and self._confirmed_sequence < stored.value["sequence"] <= self._sequence
        )
        is_sealed_by_other = stored.value["sealed"] not in (None, SEALED_BY_HOME)
        if is_own_write and not is_sealed_by_other:
            return self._on_stored(stored)
        return self._shut_out()

    def _on_stored(self, stored):
        """Grant the waiting keys that a write of this home has put on the platform."""
        value = stored.value
        self._version = stored.version
        self._confirmed_sequence = value["sequence"]
        self._journaled = value["keys"]
        self._journaled_bytes = _keys_bytes(value["keys"])
        if value["sealed"] is not None:
            self._is_sealed = True
            return [OwnJournalSealed()]
        effects = []
        for key in list(self._waiting):
            if key not in value["keys"]:
                continue
            del self._waiting[key]
            effects.append(self._grant(key))
        return effects

    def _shut_out(self):
        """Refuse all that waits: a survivor has sealed the journal."""
        self._is_sealed_out = True
        effects = [self._withdraw(key) for key in list(self._waiting)]
        if self._is_stopping:
            effects.append(OwnJournalSealed())
        return effects


def _refuse_repeat(key, fingerprint, record):
    if record.fingerprint not in (None, fingerprint):
        return ClaimRefused(key, "key_reused", "no")
    if record.state is KeyState.WITHDRAWN:
        return ClaimRefused(key, "key_not_run", "no")
    if record.state is KeyState.DONE:
        return ClaimRefused(key, "done", "unknown")
    return ClaimRefused(key, "in_progress", "unknown")


def _entry_bytes(key, fingerprint):
    return len(key) + len(fingerprint) + _ENTRY_OVERHEAD_BYTES


def _keys_bytes(keys):
    return sum(_entry_bytes(key, fingerprint) for key, fingerprint in keys.items())
