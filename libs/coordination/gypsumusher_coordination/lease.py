"""The lease by which one host at a time is a deployment's steward."""

from collections.abc import Callable
from typing import Any, NamedTuple

from gypsumusher_coordination.effects import (
    CallEvent,
    CallFailed,
    ReadObject,
    StoredObject,
    WriteDone,
    WriteObject,
)

LEASE_KIND = "leases"
# A renewal at a third of the duration leaves time for two more tries.
RENEW_SHARE = 1.0 / 3.0
# Other hosts look twice in a lease, so that a dead holder's lapses are seen about
# half a duration late, at two reads a duration for each host of the cell.
OBSERVE_SHARE = 0.5
RETRY_SHARE = 0.1
# A crystal is off by less than a ten-thousandth; a hundredth more waiting covers the
# holder's clock running slow against the observer's.
CLOCK_DRIFT = 0.01


class OpenTerm(NamedTuple):
    """A former term whose holder may still have orders on the way.

    It stays in the lease, through later holders too, until the engines' own limit
    has passed, or an operator confirmed the holder dead. Without it, a second
    takeover would forget the holder before last.
    """

    term: int
    holder: str
    incarnation: str


class TermValidity(NamedTuple):
    """Until when, by this host's clock, its term holds; the past when it does not."""

    incarnation: str
    term: int
    valid_until_s: float


class LeaseGained(NamedTuple):
    """Effect: this host now holds the lease.

    Parameters
    ----------
    term : int
        The fencing number, higher than any before.
    previous : tuple of OpenTerm
        Former terms that may still have orders on the way; hand it to the orders.
    """

    term: int
    open_terms: tuple[OpenTerm, ...]


class LeaseLost(NamedTuple):
    """Effect: this host's term is over."""

    term: int


LeaseEffect = ReadObject | WriteObject | LeaseGained | LeaseLost


class Lease:
    """One host's side of one deployment's lease.

    Failure guarded against: a holder is paused, its lease lapses, another host takes
    over, and the first wakes up and still believes that it holds the lease. Two
    stewards then order the same engines about. Three things keep their terms apart,
    none of which compares two hosts' clocks:

    * A holder counts from before its write was sent, so that its belief ends before
      the written lease does, however long the write took.
    * Another host takes over only after it has seen one version unchanged for the
      whole duration, counted on its own clock from when the read was answered, which
      is after the write.
    * Every takeover is a conditional write with a higher term; a renewal that was
      under way meanwhile fails on its condition.

    Parameters
    ----------
    deployment : str
        Name of the lease object.
    host, incarnation : str
        This process.
    duration_s : float
        How long a renewal lasts; the same on all hosts.
    nonce_source : callable
        Returns a new random text for each write. A write whose answer was lost is
        recognised by it.
    """

    def __init__(
        self,
        deployment: str,
        host: str,
        incarnation: str,
        duration_s: float,
        nonce_source: Callable[[], str],
    ):
        self.deployment = deployment
        self.host = host
        self.incarnation = incarnation
        self.duration_s = duration_s
        self.nonce_source = nonce_source
        self.term = 0
        self.valid_until_s = float("-inf")
        self.is_released = False
        self._held = False
        self._releasing = False
        self._open_terms: tuple[OpenTerm, ...] = ()
        # What stands on the platform, as far as known, and since when unchanged.
        self._stored: StoredObject | None = None
        self._seen_s = float("-inf")
        # When each own write was sent whose outcome is open, by nonce.
        self._sent_s: dict[str, float] = {}
        self._written: dict[str, Any] = {}
        self._writing = False
        self._tag: str | None = None
        self._calls = 0
        self._next_s = float("-inf")

    def is_held(self, now_s: float) -> bool:
        """Return whether this host holds the lease at this very moment."""
        return self._held and now_s < self.valid_until_s

    def term_validity(self) -> TermValidity:
        """Return the term and until when it may be acted on."""
        valid_until_s = self.valid_until_s if self._held else float("-inf")
        return TermValidity(self.incarnation, self.term, valid_until_s)

    def open_terms(self) -> tuple[OpenTerm, ...]:
        """Return the former terms that may still have orders on the way."""
        return self._open_terms

    def close_terms(self, terms: tuple[int, ...]) -> None:
        """Drop open terms whose orders can come no more; the next renewal says so."""
        self._open_terms = tuple(
            term for term in self._open_terms if term.term not in terms
        )

    def tick(self, now_s: float) -> list[LeaseEffect]:
        """Renew, observe, take over or lapse, whichever is due."""
        effects = self._lapse(now_s)
        if self._tag is not None or self.is_released or now_s < self._next_s:
            return effects
        if self._held or (self._releasing and self._stands()):
            return effects + self._write_own(now_s)
        if not self._releasing and self._may_take_over(now_s):
            return effects + self._take_over(now_s)
        return effects + [self._read(now_s)]

    def handle(self, now_s: float, event: CallEvent) -> list[LeaseEffect]:
        """Take the answer to a call."""
        if event.tag != self._tag:
            return []
        self._tag = None
        effects = self._lapse(now_s)
        if isinstance(event, CallFailed):
            return effects + self._on_failed(now_s, event.sent)
        if isinstance(event, WriteDone):
            stored = StoredObject(event.version, self._written)
            return effects + self._on_stored(now_s, stored)
        return effects + self._on_stored(now_s, event.stored)

    def last_stored(self) -> StoredObject | None:
        """Return what is known to stand on the platform, for other hosts."""
        return self._stored

    def on_stored_received(self, now_s: float, stored: StoredObject) -> None:
        """Take in what another host knows to stand; an older version changes nothing.

        A host that hears of each version can take over as soon as the last one has
        lapsed, also when the platform was away meanwhile; one that has to read it
        first waits for the whole duration from there. The takeover is conditional on
        that version, so one that has been renewed unheard is not taken.
        """
        if self._held or self._tag is not None or self._sent_s:
            return
        known = 0 if self._stored is None else self._stored.version
        if stored.version > known:
            self._stored = stored
            self._seen_s = now_s

    def release(self, now_s: float) -> list[LeaseEffect]:
        """Give the lease up for a planned stop; it is not sought again.

        Call it only when no order's connection is open any more: a released lease
        tells the next holder that it need not wait. The belief ends at once, the
        write follows; `released` turns true when it stands.
        """
        if not self._held and not self._sent_s:
            self.is_released = True
            return []
        self._releasing = True
        self._next_s = now_s
        effects = self._end_term() if self._held else []
        return effects + self.tick(now_s)

    def _lapse(self, now_s: float) -> list[LeaseEffect]:
        if not self._held or now_s < self.valid_until_s:
            return []
        return self._end_term()

    def _end_term(self) -> list[LeaseEffect]:
        self._held = False
        self.valid_until_s = float("-inf")
        return [LeaseLost(self.term)]

    def _stands(self) -> bool:
        """Return whether a write of this process is the newest known one."""
        if self._stored is None:
            return False
        return self._stored.value["incarnation"] == self.incarnation

    def _may_take_over(self, now_s: float) -> bool:
        if self._seen_s == float("-inf"):
            return False
        return now_s >= self._lapses_s()

    def _lapses_s(self) -> float:
        """Return when nobody else can believe in the lease that stands."""
        if self._stored is None or self._stored.value["released"] or self._stands():
            return self._seen_s
        duration_s = self._stored.value["duration_s"]
        return self._seen_s + duration_s * (1.0 + CLOCK_DRIFT)

    def _take_over(self, now_s: float) -> list[LeaseEffect]:
        open_terms: tuple[OpenTerm, ...] = ()
        term = self.term + 1
        if self._stored is not None:
            value = self._stored.value
            term = max(term, value["term"] + 1)
            open_terms = _read_open_terms(value)
            if not value["released"]:
                former = OpenTerm(value["term"], value["holder"], value["incarnation"])
                open_terms = _with_term(open_terms, former)
        return [self._write(now_s, self._value(term, open_terms))]

    def _write_own(self, now_s: float) -> list[LeaseEffect]:
        value = self._value(self.term, self._open_terms, released=self._releasing)
        return [self._write(now_s, value)]

    def _on_failed(self, now_s: float, sent: bool) -> list[LeaseEffect]:
        self._next_s = now_s + self.duration_s * RETRY_SHARE
        if not sent or not self._writing:
            return []
        # The write may stand. Reading settles it by the nonce; until then the belief
        # ends when the last renewal that is known to stand runs out.
        return [self._read(now_s)]

    def _on_stored(
        self, now_s: float, stored: StoredObject | None
    ) -> list[LeaseEffect]:
        """Take what stands on the platform, from whichever answer."""
        version = 0 if stored is None else stored.version
        known = 0 if self._stored is None else self._stored.version
        if version != known or self._seen_s == float("-inf"):
            self._seen_s = now_s
        self._stored = stored
        nonce = None if stored is None else stored.value["nonce"]
        sent_s = self._sent_s.get(nonce)
        if version != known:
            # One write won, so that no other one on the old version can land.
            self._sent_s.clear()
        if sent_s is not None:
            self._sent_s[nonce] = sent_s
            return self._on_own(now_s, stored.value, sent_s)
        self._next_s = now_s + self.duration_s * OBSERVE_SHARE
        self._next_s = min(self._next_s, max(now_s, self._lapses_s()))
        if self._releasing:
            self._releasing = False
            self.is_released = True
        return self._end_term() if self._held else []

    def _on_own(self, now_s: float, value: dict, sent_s: float) -> list[LeaseEffect]:
        """Take a write of ours that stands."""
        if value["released"]:
            self._releasing = False
            self.is_released = True
            return []
        if self._releasing:
            self.term = max(self.term, value["term"])
            self._open_terms = _read_open_terms(value)
            self._next_s = now_s
            return []
        self._next_s = sent_s + self.duration_s * RENEW_SHARE
        valid_until_s = sent_s + self.duration_s
        if self._held:
            self.valid_until_s = valid_until_s
            return []
        if value["term"] <= self.term or now_s >= valid_until_s:
            # A renewal or a takeover that was answered after it had lapsed: the
            # term is over, and the next tick takes a new one.
            self.term = max(self.term, value["term"])
            self._next_s = now_s
            return []
        self.term = value["term"]
        self.valid_until_s = valid_until_s
        self._open_terms = _read_open_terms(value)
        self._held = True
        return [LeaseGained(self.term, self._open_terms)]

    def _value(
        self, term: int, open_terms: tuple[OpenTerm, ...], released: bool = False
    ) -> dict[str, Any]:
        return {
            "holder": self.host,
            "incarnation": self.incarnation,
            "term": term,
            "duration_s": self.duration_s,
            "released": released,
            "nonce": self.nonce_source(),
            "open_terms": [list(open_term) for open_term in open_terms],
        }

    def _read(self, now_s: float) -> ReadObject:
        self._next_s = now_s + self.duration_s * RETRY_SHARE
        self._writing = False
        return ReadObject(self._next_tag(), LEASE_KIND, self.deployment)

    def _write(self, now_s: float, value: dict[str, Any]) -> WriteObject:
        self._next_s = now_s + self.duration_s * RETRY_SHARE
        self._written = value
        self._writing = True
        # A write older than the duration is worth nothing even if it still lands, so
        # that a long outage does not pile up nonces.
        for nonce, sent_s in list(self._sent_s.items()):
            if now_s > sent_s + self.duration_s:
                del self._sent_s[nonce]
        self._sent_s[value["nonce"]] = now_s
        version = 0 if self._stored is None else self._stored.version
        return WriteObject(
            self._next_tag(), LEASE_KIND, self.deployment, value, version
        )

    def _next_tag(self) -> str:
        self._calls += 1
        self._tag = f"lease:{self.deployment}:{self._calls}"
        return self._tag


def _read_open_terms(value: dict[str, Any]) -> tuple[OpenTerm, ...]:
    return tuple(OpenTerm(*fields) for fields in value.get("open_terms", []))


def _with_term(
    open_terms: tuple[OpenTerm, ...], former: OpenTerm
) -> tuple[OpenTerm, ...]:
    """Add a term; an incarnation's newer term stands for its older ones."""
    others = [term for term in open_terms if term.incarnation != former.incarnation]
    return (*others, former)
