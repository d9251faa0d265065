"""Lease that gives one host at a time the right to send a deployment's orders."""

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
# Share of the duration after which the holder renews. A third leaves time for two more
# attempts.
RENEW_FRACTION = 1.0 / 3.0
# Share of the duration between two reads of a host that doesn't hold the lease. It
# detects the expiry of a dead holder's lease about half a duration late, at the cost
# of two reads per duration and host of the cell.
READ_INTERVAL_FRACTION = 0.5
# Share of the duration between two attempts of a failed call.
RETRY_FRACTION = 0.1
# Share that other hosts add to the duration in case the holder's clock runs slower than
# theirs. Quartz clocks drift by less than 1e-4.
CLOCK_DRIFT_FRACTION = 0.01


class OpenTerm(NamedTuple):
    """A former term whose holder may still have orders in flight.

    The lease object lists open terms, also under later holders, until the engines have
    closed the former holder's connections or an operator has confirmed that it is dead.
    Without the list, a second takeover would lose track of the holder before last.
    """

    term: int
    holder: str
    incarnation: str


class TermValidity(NamedTuple):
    """This host's term and the end of its validity.

    Parameters
    ----------
    incarnation : str
        The host's incarnation.
    term : int
        The fencing number.
    valid_until_s : float
        End of the lease as a reading of this host's clock, in seconds; minus infinity
        when this host doesn't hold the lease.
    """

    incarnation: str
    term: int
    valid_until_s: float


class LeaseGained(NamedTuple):
    """Effect: this host now holds the lease.

    Parameters
    ----------
    term : int
        The fencing number, higher than any before.
    open_terms : tuple of OpenTerm
        Former terms that may still have orders in flight, for
        `OrderController.on_lease_gained`.
    """

    term: int
    open_terms: tuple[OpenTerm, ...]


class LeaseLost(NamedTuple):
    """Effect: this host's term has ended."""

    term: int


LeaseEffect = ReadObject | WriteObject | LeaseGained | LeaseLost


class Lease:
    """One host's state machine for one deployment's lease.

    A holder may be paused until its lease has expired and another host has taken over.
    If it still took itself for the holder when it resumed, two hosts would send orders
    to the same engines. Three rules prevent overlapping terms without comparing the
    clocks of two hosts:

    * A holder counts the duration from before it sent its write, so its own term ends
      before the written lease expires, however long the write took.
    * Another host takes over only after it has seen the same version unchanged for the
      whole duration. It counts on its own clock from the response to its read, which
      is later than the write.
    * A takeover is a conditional write with a higher term. A concurrent renewal by the
      former holder fails its condition.

    Parameters
    ----------
    deployment : str
        Name of the lease object.
    host, incarnation : str
        This process.
    duration_s : float
        Validity of a renewal in seconds; must be the same on all hosts.
    nonce_source : callable
        Returns a new random string for each write. After a lost response the nonce
        identifies this host's own write.
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
        self._is_holder = False
        self._is_releasing = False
        self._open_terms: tuple[OpenTerm, ...] = ()
        # Last known object on the platform, and since when it is known unchanged.
        self._stored: StoredObject | None = None
        self._unchanged_since_s = float("-inf")
        # Send times of this host's writes with an unknown outcome, by nonce.
        self._pending_writes_s: dict[str, float] = {}
        self._last_write: dict[str, Any] = {}
        self._is_writing = False
        self._tag: str | None = None
        self._calls = 0
        self._next_call_s = float("-inf")

    def is_held(self, now_s: float) -> bool:
        """Return whether this host holds the lease at `now_s`."""
        return self._is_holder and now_s < self.valid_until_s

    def term_validity(self) -> TermValidity:
        """Return this host's term and the end of its validity."""
        valid_until_s = self.valid_until_s if self._is_holder else float("-inf")
        return TermValidity(self.incarnation, self.term, valid_until_s)

    def open_terms(self) -> tuple[OpenTerm, ...]:
        """Return the former terms that may still have orders in flight."""
        return self._open_terms

    def close_terms(self, terms: tuple[int, ...]) -> None:
        """Remove these open terms; the next renewal writes the remaining ones."""
        self._open_terms = tuple(
            term for term in self._open_terms if term.term not in terms
        )

    def tick(self, now_s: float) -> list[LeaseEffect]:
        """Expire, renew, read or take over the lease, whichever is due."""
        effects = self._expire(now_s)
        if self._tag is not None or self.is_released or now_s < self._next_call_s:
            return effects
        if self._is_holder or (self._is_releasing and self._is_own_write()):
            return effects + self._renew(now_s)
        if not self._is_releasing and self._may_take_over(now_s):
            return effects + self._take_over(now_s)
        return effects + [self._read(now_s)]

    def handle(self, now_s: float, event: CallEvent) -> list[LeaseEffect]:
        """Handle the response to a call."""
        if event.tag != self._tag:
            return []
        self._tag = None
        effects = self._expire(now_s)
        if isinstance(event, CallFailed):
            return effects + self._on_failed(now_s, event.sent)
        if isinstance(event, WriteDone):
            stored = StoredObject(event.version, self._last_write)
            return effects + self._on_stored(now_s, stored)
        return effects + self._on_stored(now_s, event.stored)

    def last_stored(self) -> StoredObject | None:
        """Return the last known lease object, for sending to other hosts."""
        return self._stored

    def on_stored_received(self, now_s: float, stored: StoredObject) -> None:
        """Handle a lease object that another host sent; older versions are ignored.

        A host that receives every version can take over as soon as the last one has
        expired, even if the platform was unreachable in between. A host that has to
        read the object first waits for the whole duration after its read. The takeover
        is conditional on the known version, so it fails if the lease was renewed
        without this host receiving the renewal.
        """
        if self._is_holder or self._tag is not None or self._pending_writes_s:
            return
        known_version = 0 if self._stored is None else self._stored.version
        if stored.version > known_version:
            self._stored = stored
            self._unchanged_since_s = now_s

    def release(self, now_s: float) -> list[LeaseEffect]:
        """Release the lease for a planned stop; this host doesn't acquire it again.

        Call it only when no connection of an order is open, because the next holder of
        a released lease doesn't wait for orders in flight. The term ends immediately.
        `is_released` becomes true once the release is written.
        """
        if not self._is_holder and not self._pending_writes_s:
            self.is_released = True
            return []
        self._is_releasing = True
        self._next_call_s = now_s
        effects = self._end_term() if self._is_holder else []
        return effects + self.tick(now_s)

    def _expire(self, now_s: float) -> list[LeaseEffect]:
        if not self._is_holder or now_s < self.valid_until_s:
            return []
        return self._end_term()

    def _end_term(self) -> list[LeaseEffect]:
        self._is_holder = False
        self.valid_until_s = float("-inf")
        return [LeaseLost(self.term)]

    def _is_own_write(self) -> bool:
        """Return whether this process wrote the last known lease object."""
        if self._stored is None:
            return False
        return self._stored.value["incarnation"] == self.incarnation

    def _may_take_over(self, now_s: float) -> bool:
        if self._unchanged_since_s == float("-inf"):
            return False
        return now_s >= self._expires_at_s()

    def _expires_at_s(self) -> float:
        """Return when no other host can hold the last known lease."""
        if (
            self._stored is None
            or self._stored.value["released"]
            or self._is_own_write()
        ):
            return self._unchanged_since_s
        duration_s = self._stored.value["duration_s"]
        return self._unchanged_since_s + duration_s * (1.0 + CLOCK_DRIFT_FRACTION)

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
        return [self._write(now_s, self._lease_value(term, open_terms))]

    def _renew(self, now_s: float) -> list[LeaseEffect]:
        value = self._lease_value(
            self.term, self._open_terms, released=self._is_releasing
        )
        return [self._write(now_s, value)]

    def _on_failed(self, now_s: float, sent: bool) -> list[LeaseEffect]:
        self._next_call_s = now_s + self.duration_s * RETRY_FRACTION
        if not sent or not self._is_writing:
            return []
        # The write may have taken effect; the read shows it by the nonce. Until then
        # the term ends with the last renewal that is known to have succeeded.
        return [self._read(now_s)]

    def _on_stored(
        self, now_s: float, stored: StoredObject | None
    ) -> list[LeaseEffect]:
        """Handle the current lease object, from a read, a write or a conflict."""
        version = 0 if stored is None else stored.version
        known_version = 0 if self._stored is None else self._stored.version
        if version != known_version or self._unchanged_since_s == float("-inf"):
            self._unchanged_since_s = now_s
        self._stored = stored
        nonce = None if stored is None else stored.value["nonce"]
        sent_s = self._pending_writes_s.get(nonce)
        if version != known_version:
            # The version changed, so no other pending write on the old version can
            # succeed.
            self._pending_writes_s.clear()
        if sent_s is not None:
            self._pending_writes_s[nonce] = sent_s
            return self._on_own_write(now_s, stored.value, sent_s)
        self._next_call_s = now_s + self.duration_s * READ_INTERVAL_FRACTION
        self._next_call_s = min(self._next_call_s, max(now_s, self._expires_at_s()))
        if self._is_releasing:
            self._is_releasing = False
            self.is_released = True
        return self._end_term() if self._is_holder else []

    def _on_own_write(
        self, now_s: float, value: dict, sent_s: float
    ) -> list[LeaseEffect]:
        """Handle a write of this host that took effect."""
        if value["released"]:
            self._is_releasing = False
            self.is_released = True
            return []
        if self._is_releasing:
            self.term = max(self.term, value["term"])
            self._open_terms = _read_open_terms(value)
            self._next_call_s = now_s
            return []
        self._next_call_s = sent_s + self.duration_s * RENEW_FRACTION
        valid_until_s = sent_s + self.duration_s
        if self._is_holder:
            self.valid_until_s = valid_until_s
            return []
        if value["term"] <= self.term or now_s >= valid_until_s:
            # The response to the renewal or takeover came after its validity had ended.
            # The term is over, and the next tick starts a new one.
            self.term = max(self.term, value["term"])
            self._next_call_s = now_s
            return []
        self.term = value["term"]
        self.valid_until_s = valid_until_s
        self._open_terms = _read_open_terms(value)
        self._is_holder = True
        return [LeaseGained(self.term, self._open_terms)]

    def _lease_value(
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
        self._next_call_s = now_s + self.duration_s * RETRY_FRACTION
        self._is_writing = False
        return ReadObject(self._next_tag(), LEASE_KIND, self.deployment)

    def _write(self, now_s: float, value: dict[str, Any]) -> WriteObject:
        self._next_call_s = now_s + self.duration_s * RETRY_FRACTION
        self._last_write = value
        self._is_writing = True
        # A write older than the duration is expired even if it still takes effect.
        # Dropping its nonce bounds the dict during a long outage.
        for nonce, sent_s in list(self._pending_writes_s.items()):
            if now_s > sent_s + self.duration_s:
                del self._pending_writes_s[nonce]
        self._pending_writes_s[value["nonce"]] = now_s
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
    """Add a term; it replaces older terms of the same incarnation."""
    others = [term for term in open_terms if term.incarnation != former.incarnation]
    return (*others, former)
