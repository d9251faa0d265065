"""Claim journal: the owner of a key records it on the platform before running it.

Notes
-----
A minted key encodes its owner, and only that host incarnation is ever granted the key.
Two hosts therefore can't both run a request; this depends neither on a lease nor on a
clock. The journal makes a "not run" outcome reliable after the owner has died. A key is
granted only after it has been written to a segment on the platform, and a surviving
host seals the segments by conditional writes before it reports any outcome. A key that
is missing from a sealed journal was therefore never granted and never will be.

Segments form a chain without gaps: the owner creates segment N + 1 only after segment
N exists on the platform. A sealer that has sealed all segments and has created the next
one as sealed has therefore fenced the owner, wherever the owner was paused.

Deployments may allow requests to run without the journal while the platform is down
(``run_unjournaled``). A missing entry proves nothing for such a key, so the key is
marked by another prefix. A flag in the journal would have to be written before the
outage, and after a crash it would make the outcome of every key of the incarnation
"unknown", including those of deployments that refuse such requests. A flag in the key
needs no platform, applies to exactly the keys concerned, and is visible to every host
that is asked. Its drawback is that a key minted without the flag is refused during an
outage, and the caller has to mint another one.
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
# Value of ``sealed`` in a segment that its owner sealed.
SEALED_BY_OWNER = "home"

# Quotes, colon, comma and space around one key and its fingerprint in JSON.
_ENTRY_OVERHEAD_BYTES = 7


class JournalPolicy(NamedTuple):
    """Limits of one owner's journal.

    Parameters
    ----------
    writes_per_s : float
        Maximum rate at which the journal starts calls. The platform handles several
        hundred writes per second from all hosts: 16 hosts at 10 leave room for leases
        and configuration. Claims that arrive between two writes share the next write.
    claim_timeout_s : float
        Time after which a claim that is not yet on the platform is refused. Shorter
        than the timeout of callers, so that they receive a reliable "not run" and
        can send the request elsewhere.
    retention_s : float
        How long a finished key is kept in memory, and a closed segment on the
        platform. The outcome of an older key is "unknown".
    segment_max_bytes : int
        Size at which the next segment is opened. Each write contains the whole
        segment, so large segments increase the size of every write, and small ones
        increase the number of segments that a sealer has to seal. 16 KiB holds about
        150 keys.
    segment_max_age_s : float
        Age at which the next segment is opened. A host with few keys would otherwise
        fill a segment over minutes and write it again with each key. With 10 s, one
        key per second stays below the limit of 2 KB/s per host, and a sealer finds
        about 70 segments.
    max_keys : int
        Number of keys kept in memory, at about 330 bytes each.
    max_waiting_claims : int
        Number of claims that may wait for the platform; further ones are refused.
    backoff_initial_s, backoff_max_s : float
        Delay after the first failed call, and the maximum up to which it doubles. The
        backoff keeps the hosts from overloading a platform that recovers.
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
    """The journal's only call in flight; `value` is None for a read."""

    tag: str
    value: dict[str, Any] | None


class ClaimJournal:
    """Grants the keys of one host incarnation and writes them to its journal.

    Parameters
    ----------
    incarnation : str
        Random id of this incarnation: up to 64 letters, digits, ``-`` and ``_``.
    writer : str
        Random id of this instance, by which it recognises its own writes.
    policy : JournalPolicy, optional
        Limits.

    Raises
    ------
    ValueError
        If the key format can't represent the incarnation.
    """

    def __init__(self, incarnation, writer, policy=DEFAULT_POLICY):
        format_key(KeyParts(incarnation, 0, 0, False), "0" * 8)
        self.incarnation = incarnation
        self._writer = writer
        self._policy = policy
        self._key_table = KeyTable(policy.max_keys, policy.retention_s)
        self._waiting = {}
        self._running_count = 0
        self._minted_count = 0
        self._segment = 0
        self._segment_opened_s = 0.0
        self._version = 0
        self._journaled_keys = {}
        self._journaled_bytes = 0
        self._sequence = 0
        self._confirmed_sequence = 0
        self._expiry = SegmentExpiry(JOURNAL_KIND, incarnation, policy.retention_s)
        self._call = None
        self._call_count = 0
        self._must_read = False
        self._not_before_s = 0.0
        self._failures = 0
        self._is_stopping = False
        self._is_sealed = False
        self._is_fenced = False
        # Retry jitter from 0.5 to 1, from a digest of the random incarnation. Hosts
        # that lost the platform at the same time must not retry simultaneously.
        digest = hashlib.blake2b(incarnation.encode(), digest_size=1).digest()
        self._retry_jitter = 0.5 + digest[0] / 512

    @property
    def is_fenced(self):
        """Whether another host has sealed this journal; it grants no more keys then."""
        return self._is_fenced

    @property
    def is_platform_reachable(self):
        """Whether the last call to the platform was answered."""
        return self._failures == 0

    @property
    def key_count(self):
        """Number of keys in memory."""
        return len(self._key_table)

    def mint(self, random_hex, unjournaled=False):
        """Return a new key owned by this incarnation.

        Parameters
        ----------
        random_hex : str
            8 to 64 hexadecimal digits that can't be guessed.
        unjournaled : bool, optional
            True for a deployment that may run the key while the platform is
            unreachable. Such keys should be minted only during an outage (see
            `is_platform_reachable`), because after a crash their outcome is "unknown".

        Returns
        -------
        str
            The key.

        Raises
        ------
        ValueError
            If the key format can't represent `random_hex`.
        """
        key = format_key(self.next_parts(unjournaled), random_hex)
        self._minted_count += 1
        return key

    def next_parts(self, unjournaled=False):
        """Return the fields of the next minted key, so that they can be signed.

        Parameters
        ----------
        unjournaled : bool, optional
            As in `mint`.

        Returns
        -------
        KeyParts
            The fields.
        """
        return KeyParts(
            self.incarnation, self._segment, self._minted_count, unjournaled
        )

    def claim(self, now_s, key, fingerprint):
        """Claim a key, to be allowed to send the request with this key.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        key : str
            A key that this incarnation owns.
        fingerprint : str
            Digest of the request's content.

        Returns
        -------
        list
            Effects: `ClaimGranted`, `ClaimRefused`, or platform calls after which
            `handle` or `tick` returns one of the two.

        Raises
        ------
        ValueError
            If the key has another owner.
        """
        parts = self._parse_own_key(key)
        record = self._key_table.find(key)
        if record is not None:
            return [_refuse_repeat(key, fingerprint, record)]
        if self._key_table.is_expired(parts.count):
            # Records of keys this old have been evicted, so the key may have run: it
            # must neither run again nor be reported as "not run".
            return [ClaimRefused(key, "key_unknown_outcome", "unknown")]
        if parts.count >= self._minted_count or parts.segment > self._segment:
            # A forged key may be minted and granted later, so it is not reported as
            # "not run".
            return [ClaimRefused(key, "malformed", "unknown")]
        refusal = self._find_refusal_code()
        if refusal is not None:
            self._add_record(now_s, key, parts, fingerprint, KeyState.WITHDRAWN)
            return [ClaimRefused(key, refusal, "no")]
        self._add_record(now_s, key, parts, fingerprint, KeyState.WAITING)
        if parts.unjournaled and not self.is_platform_reachable:
            return [self._grant(key)]
        self._waiting[key] = parts
        return self._start_due_calls(now_s)

    def finish(self, now_s, key):
        """Mark a granted key as done once its request has the final response.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        key : str
            A granted key; others are ignored.

        Returns
        -------
        list
            Effects.
        """
        record = self._key_table.find(key)
        if record is None or record.state is not KeyState.RUNNING:
            return []
        self._key_table.finish(key)
        self._running_count -= 1
        return self._start_due_calls(now_s)

    def resolve(self, now_s, key):
        """Return the outcome of a key; withdraw it if it was not claimed yet.

        Without the withdrawal, a delayed copy of the request could run after the
        caller was told "not_run".

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        key : str
            A key that this incarnation owns.

        Returns
        -------
        str
            "not_run", "running", "done" or "unknown".

        Raises
        ------
        ValueError
            If the key has another owner.
        """
        parts = self._parse_own_key(key)
        record = self._key_table.find(key)
        if record is None:
            is_expired_key = self._key_table.is_expired(parts.count)
            if is_expired_key or parts.count >= self._minted_count:
                return "unknown"
            self._add_record(now_s, key, parts, None, KeyState.WITHDRAWN)
            return "not_run"
        if record.state is KeyState.WITHDRAWN:
            return "not_run"
        if record.state is KeyState.DONE:
            return "done"
        return "running"

    def seal(self, now_s):
        """Refuse new claims, and seal the journal once all granted keys are done.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.

        Returns
        -------
        list
            Effects. `OwnJournalSealed` is among them or follows from a later call.
        """
        if self._is_fenced and not self._is_stopping:
            self._is_stopping = True
            return [OwnJournalSealed()]
        self._is_stopping = True
        return self._start_due_calls(now_s)

    def tick(self, now_s):
        """Refuse claims that have timed out, and start calls that are due.

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
            if self._key_table.find(key).deadline_s > now_s:
                # Claims are in order of arrival and have the same timeout.
                break
            effects.append(self._refuse_waiting(key))
        self._key_table.expire(now_s, self._minted_count)
        effects.extend(self._start_due_calls(now_s))
        if not self._is_sealed and not self._is_fenced:
            effects.extend(self._expiry.tick(now_s))
        return effects

    def handle(self, now_s, event):
        """Handle the response to a call.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        event : ReadDone, WriteDone, WriteConflict or CallFailed
            The response. Events of any call but those in flight are ignored.

        Returns
        -------
        list
            Effects.
        """
        self._expiry.handle(now_s, event)
        is_closed = self._is_sealed or self._is_fenced
        if self._expiry.is_fenced and not is_closed:
            return self._fence()
        call = self._call
        if call is None or event.tag != call.tag:
            return []
        self._call = None
        if isinstance(event, CallFailed):
            return self._on_failed(now_s, call, event.sent)
        self._failures = 0
        if isinstance(event, WriteDone):
            effects = self._on_own_segment(StoredObject(event.version, call.value))
        elif isinstance(event, (ReadDone, WriteConflict)):
            effects = self._on_segment_read(event.stored)
        else:
            raise TypeError(f"event: not a response to a journal call: {event!r}")
        effects.extend(self._start_due_calls(now_s))
        return effects

    def _parse_own_key(self, key):
        parts = parse_key(key)
        if parts is None or parts.incarnation != self.incarnation:
            raise ValueError(f"key: owner is not {self.incarnation!r}: {key!r}")
        return parts

    def _find_refusal_code(self):
        if self._is_stopping:
            return "stopping"
        if self._is_fenced:
            return "journal_unavailable"
        if len(self._waiting) >= self._policy.max_waiting_claims:
            return "overloaded"
        return None

    def _add_record(self, now_s, key, parts, fingerprint, state):
        deadline_s = now_s + self._policy.claim_timeout_s
        self._key_table.add(key, KeyRecord(parts.count, fingerprint, state, deadline_s))

    def _grant(self, key):
        self._key_table.find(key).state = KeyState.RUNNING
        self._running_count += 1
        return ClaimGranted(key)

    def _refuse_waiting(self, key):
        # A write in flight may take effect after its claim was refused. The caller was
        # told "not run" and may have sent its request under another key, so granting
        # this key then would run the request twice. WITHDRAWN is final, and a write
        # that takes effect grants only keys that still wait.
        del self._waiting[key]
        self._key_table.find(key).state = KeyState.WITHDRAWN
        return ClaimRefused(key, "journal_unavailable", "no")

    def _start_due_calls(self, now_s):
        """Start the next call if one is due and none is in flight."""
        if self._call is not None or now_s < self._not_before_s:
            return []
        if self._is_sealed or self._is_fenced:
            return []
        if self._must_read:
            return [self._read(now_s)]
        if self._waiting:
            return [self._write_waiting(now_s)]
        if self._is_stopping and self._running_count == 0:
            return [self._write(now_s, self._journaled_keys, SEALED_BY_OWNER)]
        return []

    def _write_waiting(self, now_s):
        is_full = self._journaled_bytes >= self._policy.segment_max_bytes
        is_old = now_s - self._segment_opened_s >= self._policy.segment_max_age_s
        if self._journaled_keys and (is_full or is_old):
            self._open_next_segment(now_s)
        if not self._journaled_keys:
            self._segment_opened_s = now_s
        keys = dict(self._journaled_keys)
        size_bytes = self._journaled_bytes
        for key in self._waiting:
            if size_bytes >= self._policy.segment_max_bytes:
                break
            fingerprint = self._key_table.find(key).fingerprint
            keys[key] = fingerprint
            size_bytes += _entry_bytes(key, fingerprint)
        return self._write(now_s, keys, None)

    def _open_next_segment(self, now_s):
        # The current segment exists on the platform, otherwise no key would be in
        # `_journaled_keys`. The chain of segments therefore has no gap that a sealer
        # could take for the end of the journal.
        stored = StoredObject(
            self._version, self._segment_value(self._journaled_keys, None)
        )
        self._expiry.on_closed(now_s, self._segment, stored)
        self._segment += 1
        self._version = 0
        self._journaled_keys = {}
        self._journaled_bytes = 0

    def _write(self, now_s, keys, sealed):
        self._sequence += 1
        value = self._segment_value(keys, sealed)
        self._start_call(now_s, value)
        name = segment_name(self.incarnation, self._segment)
        # If a sealer sealed this segment while this host was paused, the version makes
        # the write conflict, and no key is granted.
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
        self._call_count += 1
        self._call = _Call(f"journal.{self.incarnation}.{self._call_count}", value)
        self._not_before_s = now_s + 1.0 / self._policy.writes_per_s

    def _on_failed(self, now_s, call, sent):
        if call.value is not None and sent:
            # The write may have taken effect or may still do so. The segment is read
            # before any key is granted.
            self._must_read = True
        self._failures += 1
        delay_s = min(
            self._policy.backoff_max_s,
            self._policy.backoff_initial_s * 2.0 ** min(self._failures - 1, 16),
        )
        self._not_before_s = max(
            self._not_before_s, now_s + delay_s * self._retry_jitter
        )
        effects = []
        for key, parts in list(self._waiting.items()):
            if not parts.unjournaled:
                continue
            del self._waiting[key]
            effects.append(self._grant(key))
        return effects

    def _on_segment_read(self, stored):
        """Handle the current segment object after a lost response or a conflict."""
        self._must_read = False
        if stored is None:
            if self._version == 0:
                # No write of this segment has taken effect. The next write creates it
                # or conflicts with a delayed earlier one.
                return []
            return self._fence()
        if stored.version == self._version:
            return []
        # If the response to an effective write was lost, the segment holds this host's
        # own write, which must not be taken for that of another host. Only this
        # instance uses this writer id, and any write that it sent after the last
        # confirmed one may be the one that took effect.
        is_own_write = (
            stored.value["writer"] == self._writer
            and self._confirmed_sequence < stored.value["sequence"] <= self._sequence
        )
        is_sealed_by_other = stored.value["sealed"] not in (None, SEALED_BY_OWNER)
        if is_own_write and not is_sealed_by_other:
            return self._on_own_segment(stored)
        return self._fence()

    def _on_own_segment(self, stored):
        """Grant the waiting keys that are in the segment on the platform."""
        value = stored.value
        self._version = stored.version
        self._confirmed_sequence = value["sequence"]
        self._journaled_keys = value["keys"]
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

    def _fence(self):
        """Refuse all waiting claims after another host has sealed the journal."""
        self._is_fenced = True
        effects = [self._refuse_waiting(key) for key in list(self._waiting)]
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
