"""Seals the claim journal of a host that has died, which makes its entries final."""

from gypsumusher_coordination.effects import (
    CallFailed,
    PeerJournalSealed,
    ReadDone,
    ReadObject,
    WriteConflict,
    WriteDone,
    WriteObject,
)
from gypsumusher_coordination.journal import JOURNAL_KIND, SEALED_BY_OWNER
from gypsumusher_coordination.keys import parse_key, segment_name

# Sequence number of a segment that a sealer created. Owners number their writes from
# one.
_SEALER_SEQUENCE = 0
# Sealing is rare (only after a host died) and callers wait for its outcome, so the
# first retry comes soon. The maximum limits the load on a platform that is down.
_RETRY_INITIAL_S = 0.2
_RETRY_MAX_S = 5.0


class JournalSealer:
    """Seals all segments of another host's journal and reports the outcome of keys.

    Parameters
    ----------
    incarnation : str
        The owner of the journal to seal.
    sealing_host : str
        The host that seals; not "home".

    Raises
    ------
    ValueError
        If `sealing_host` is "home", which marks a journal sealed by its owner.

    Notes
    -----
    Sealing the journal of an owner that is alive is safe: the owner is fenced, refuses
    the waiting claims with a correct "not run", and starts a new incarnation.
    """

    def __init__(self, incarnation, sealing_host):
        if sealing_host == SEALED_BY_OWNER:
            raise ValueError(f"sealing_host: {sealing_host!r} is reserved for owners")
        self.incarnation = incarnation
        self._sealing_host = sealing_host
        self._segment = 0
        self._first_segment = 0
        self._keys = {}
        self._is_started = False
        self._is_done = False
        self._call_tag = None
        self._sealed_value = None
        self._calls = 0
        self._failures = 0
        self._retry_at_s = None

    @property
    def is_done(self):
        """Whether all segments are sealed."""
        return self._is_done

    def start(self, now_s):
        """Start with the first segment.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.

        Returns
        -------
        list
            Effects. `PeerJournalSealed` is the last effect, from `handle`.
        """
        if self._is_started:
            return []
        self._is_started = True
        return [self._read()]

    def tick(self, now_s):
        """Repeat a failed call when it is due.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.

        Returns
        -------
        list
            Effects.
        """
        if self._retry_at_s is None or now_s < self._retry_at_s:
            return []
        self._retry_at_s = None
        return [self._read()]

    def handle(self, now_s, event):
        """Handle the response to a call.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.
        event : ReadDone, WriteDone, WriteConflict or CallFailed
            The response. Events of any call but the one in flight are ignored.

        Returns
        -------
        list
            Effects.
        """
        if self._call_tag is None or event.tag != self._call_tag:
            return []
        self._call_tag = None
        if isinstance(event, CallFailed):
            # The retry reads the segment again. If a write whose response was lost took
            # effect, the read shows the segment as sealed.
            delay_s = min(
                _RETRY_MAX_S,
                _RETRY_INITIAL_S * 2.0 ** min(self._failures, 8),
            )
            self._failures += 1
            self._retry_at_s = now_s + delay_s
            return []
        self._failures = 0
        if isinstance(event, WriteDone):
            return self._on_segment_sealed(self._sealed_value)
        if not isinstance(event, (ReadDone, WriteConflict)):
            raise TypeError(f"event: not a response to a call of a sealer: {event!r}")
        if event.stored is None:
            return [self._create_sealed()]
        value = event.stored.value
        if value["sealed"] is None:
            sealed_value = {**value, "sealed": self._sealing_host}
            return [self._write(sealed_value, event.stored.version)]
        return self._on_segment_sealed(value)

    def outcome(self, key):
        """Return the outcome of a key of the sealed journal's owner.

        Parameters
        ----------
        key : str
            The key.

        Returns
        -------
        str
            "not_run" when the key was never granted and never will be, otherwise
            "unknown". "unknown" also until all segments are sealed.

        Raises
        ------
        ValueError
            If the key has another owner.
        """
        parts = parse_key(key)
        if parts is None or parts.incarnation != self.incarnation:
            raise ValueError(f"key: owner is not {self.incarnation!r}: {key!r}")
        if not self._is_done or key in self._keys:
            return "unknown"
        if parts.unjournaled:
            # The owner may have run it without a journal entry while the platform was
            # down.
            return "unknown"
        if parts.segment < self._first_segment:
            # Older than the journal's retention: its entry may have been deleted.
            return "unknown"
        return "not_run"

    def _on_segment_sealed(self, value):
        self._keys.update(value["keys"])
        is_last = (
            value["sealed"] == SEALED_BY_OWNER or value["sequence"] == _SEALER_SEQUENCE
        )
        if is_last:
            self._is_done = True
            return [PeerJournalSealed(self.incarnation, dict(self._keys))]
        if self._segment == 0:
            # Skips the segments that the owner deleted after their retention. A missing
            # segment would otherwise look like the end of the journal.
            self._first_segment = value.get("first_segment", 0)
        self._segment = max(self._segment + 1, self._first_segment)
        return [self._read()]

    def _create_sealed(self):
        # The owner may have been paused just before it created this segment. Sealing
        # the earlier segments would not stop that create, and a key could be granted
        # after a caller was told "not run". This object makes the create conflict.
        value = {
            "incarnation": self.incarnation,
            "segment": self._segment,
            "writer": self._sealing_host,
            "sequence": _SEALER_SEQUENCE,
            "sealed": self._sealing_host,
            "keys": {},
        }
        return self._write(value, 0)

    def _read(self):
        tag = self._next_tag()
        return ReadObject(
            tag, JOURNAL_KIND, segment_name(self.incarnation, self._segment)
        )

    def _write(self, value, if_version):
        self._sealed_value = value
        name = segment_name(self.incarnation, self._segment)
        return WriteObject(self._next_tag(), JOURNAL_KIND, name, value, if_version)

    def _next_tag(self):
        self._calls += 1
        self._call_tag = f"seal.{self.incarnation}.{self._sealing_host}.{self._calls}"
        return self._call_tag
