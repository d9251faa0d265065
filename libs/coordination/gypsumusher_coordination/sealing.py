"""Sealing the journal of a home that has died, so that its record is final."""

from gypsumusher_coordination.effects import (
    CallFailed,
    PeerJournalSealed,
    ReadDone,
    ReadObject,
    WriteConflict,
    WriteDone,
    WriteObject,
)
from gypsumusher_coordination.journal import JOURNAL_KIND, SEALED_BY_HOME
from gypsumusher_coordination.keys import parse_key, segment_name

# A home numbers its writes from one, so zero marks a segment that a survivor created.
_CREATED_SEALED = 0
# Sealing is rare (a dead home) and callers wait for its outcome, so the retry is quick
# at first; the limit spares a platform that is down.
_RETRY_FIRST_S = 0.2
_RETRY_LIMIT_S = 5.0


class JournalSealer:
    """Seals all segments of another home's journal, then tells what became of keys.

    Parameters
    ----------
    incarnation : str
        The home whose journal is to be sealed.
    sealing_host : str
        The host that seals; not the word "home".

    Raises
    ------
    ValueError
        If `sealing_host` is the word that marks a home's own seal.

    Notes
    -----
    A wrong suspicion is harmless: a home that lives is shut out, refuses what waits
    with a true "not run", and starts a new incarnation.
    """

    def __init__(self, incarnation, sealing_host):
        if sealing_host == SEALED_BY_HOME:
            raise ValueError(f"sealing_host: {sealing_host!r} marks a home's own seal")
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
        """Begin with the first segment.

        Parameters
        ----------
        now_s : float
            Reading of this host's clock, in seconds.

        Returns
        -------
        list
            Effects; `PeerJournalSealed` comes at the end.
        """
        if self._is_started:
            return []
        self._is_started = True
        return [self._read()]

    def tick(self, now_s):
        """Repeat a failed call when its time has come.

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
        if self._call_tag is None or event.tag != self._call_tag:
            return []
        self._call_tag = None
        if isinstance(event, CallFailed):
            # Reading again also settles a write that took effect unseen: it shows
            # this segment sealed, by whomever.
            wait_s = min(_RETRY_LIMIT_S, _RETRY_FIRST_S * 2.0 ** min(self._failures, 8))
            self._failures += 1
            self._retry_at_s = now_s + wait_s
            return []
        self._failures = 0
        if isinstance(event, WriteDone):
            return self._on_sealed_segment(self._sealed_value)
        if not isinstance(event, (ReadDone, WriteConflict)):
            raise TypeError(f"event: no answer to a sealer's call: {event!r}")
        if event.stored is None:
            return [self._create_sealed()]
        value = event.stored.value
        if value["sealed"] is None:
            sealed_value = {**value, "sealed": self._sealing_host}
            return [self._write(sealed_value, event.stored.version)]
        return self._on_sealed_segment(value)

    def outcome(self, key):
        """Tell what became of a key of the sealed home.

        Parameters
        ----------
        key : str
            The key.

        Returns
        -------
        str
            "not_run" when the key was never granted and never will be, else
            "unknown"; "unknown" also as long as the seal isn't complete.

        Raises
        ------
        ValueError
            If the key names another home.
        """
        parts = parse_key(key)
        if parts is None or parts.incarnation != self.incarnation:
            raise ValueError(f"key: not one of home {self.incarnation!r}: {key!r}")
        if not self._is_done or key in self._keys:
            return "unknown"
        if parts.unjournaled:
            # The home may have run it from memory while the platform was down.
            return "unknown"
        if parts.segment < self._first_segment:
            # Older than the journal's retention: its entry may have been removed.
            return "unknown"
        return "not_run"

    def _on_sealed_segment(self, value):
        self._keys.update(value["keys"])
        is_last = (
            value["sealed"] == SEALED_BY_HOME or value["sequence"] == _CREATED_SEALED
        )
        if is_last:
            self._is_done = True
            return [PeerJournalSealed(self.incarnation, dict(self._keys))]
        if self._segment == 0:
            # Segments that the home removed after their retention are passed over;
            # one of them, found missing, would look like the journal's end.
            self._first_segment = value.get("first_segment", 0)
        self._segment = max(self._segment + 1, self._first_segment)
        return [self._read()]

    def _create_sealed(self):
        # Guards against the home that was paused before it created this segment: a
        # seal on the earlier ones wouldn't stop it, and a key could be granted after
        # a caller was told "not run". Now its create conflicts.
        value = {
            "incarnation": self.incarnation,
            "segment": self._segment,
            "writer": self._sealing_host,
            "sequence": _CREATED_SEALED,
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
