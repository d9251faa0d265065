"""Whether this host may use its part of what all hosts share.

All hosts together keep to a common bound when each divides it by at least the number of
hosts that use a part. A host can't see that number while it is cut off from the others,
so the right to a part is a lease, which ends by itself:

* A host joins once every other host that it knows of divides by as large a number as it
  does itself, and one of them has joined before; or once it has waited for longer than
  any host that doesn't count it may use its part.
* A host that has not seen its own record in the store for `MEMBER_FOR_S` uses no part.
* A host is counted until its part has ended for certain: its record is marked before it
  is deleted, and a missing record counts on for `ABSENT_FOR_S`.
"""

from enum import Enum
from typing import NamedTuple

__all__ = [
    "ABSENT_FOR_S",
    "MEMBER_FOR_S",
    "Acknowledgement",
    "Membership",
    "RecordState",
]

# Time for which a host that has seen its own record uses its part without seeing it
# again: longer than usual outages of the store.
MEMBER_FOR_S = 300.0
# Time for which a host is counted whose record is missing or marked, and after which a
# host that no other host counts yet may use its part. Longer than the above by the time
# until all hosts have read the records again, by the age of stale reads, and by a
# window of the retry budget.
ABSENT_FOR_S = MEMBER_FOR_S + 60.0


class RecordState(Enum):
    """State of a host, as its record in the store tells.

    Attributes
    ----------
    MEMBER
        The host uses its part.
    JOINING
        Other hosts may not count it yet, and it uses no part.
    SILENT
        Another host has not heard from it for long. A host that finds its own record in
        this state writes it again; otherwise the record is deleted in the end.
    """

    MEMBER = "member"
    JOINING = "joining"
    SILENT = "silent"


class Acknowledgement(NamedTuple):
    """What a host that wants to join knows of the others.

    Attributes
    ----------
    count : int
        Number of hosts by which this host would divide; 0 if unknown.
    acknowledged : int
        Live other hosts that divide by at least that number.
    has_member : bool
        Whether one of them has joined.
    is_alone : bool
        Whether this host's record is the only one.
    """

    count: int
    acknowledged: int
    has_member: bool
    is_alone: bool


class Membership:
    """The right of this host to its part, from its own record and from its peers.

    Parameters
    ----------
    is_first_start : bool
        Whether all hosts start for the first time, so that none is without a record.
    """

    def __init__(self, is_first_start: bool = False):
        self._joining_since_s = None
        self._confirmed_s = None
        # When this host last saw its own record, in any state but `SILENT`.
        self._seen_s = None
        # When this host's record may tell that it has joined.
        self._settled_s = float("-inf")
        self._is_founder = is_first_start

    def is_member(self, now_s: float) -> bool:
        """Return whether this host may use its part.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        """
        if self._confirmed_s is None:
            return False
        return now_s - self._confirmed_s <= MEMBER_FOR_S

    def has_joined(self) -> bool:
        """Return whether this host has joined, with a valid lease or without."""
        return self._confirmed_s is not None

    def record_state(self, now_s: float) -> RecordState:
        """Return the state that this host's record should have.

        A process that restarts relies on its record. After a loss of records it could
        find its own and miss that of an isolated host, so the record doesn't tell that
        this host has joined before any such host has ended the use of its part.
        """
        if self.has_joined() and now_s >= self._settled_s:
            return RecordState.MEMBER
        return RecordState.JOINING

    def on_own_record(self, read_s: float, state: RecordState | None) -> None:
        """Process this host's record, as found in the store.

        Parameters
        ----------
        read_s : float
            When the read of the record began, in seconds.
        state : RecordState or None
            State in the record; None if there was no record.
        """
        if state is None:
            # Hosts that have read the records since may count it no longer.
            self._is_founder = self._is_founder and not self.has_joined()
            self._confirmed_s = self._joining_since_s = self._seen_s = None
            return
        if state is not RecordState.SILENT:
            self._seen_s = read_s
            if state is RecordState.MEMBER or self.has_joined():
                self._confirmed_s = max(read_s, self._confirmed_s or read_s)
        if not self.has_joined() and self._joining_since_s is None:
            self._joining_since_s = read_s

    def try_join(self, now_s: float, acknowledgement: Acknowledgement) -> bool:
        """Join if all others count this host by now; return whether it has joined.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        acknowledgement : Acknowledgement
            What the others have told, or the records.
        """
        if self.has_joined():
            return True
        count, acknowledged, has_member, is_alone = acknowledgement
        is_counted = count > 1 and acknowledged >= count - 1
        is_over = (
            self._seen_s is not None
            and self._joining_since_s is not None
            and now_s - self._joining_since_s > ABSENT_FOR_S
        )
        # Hosts that have all just started may miss an isolated one, unless the operator
        # says that none has served before.
        if is_counted and (has_member or self._is_founder):
            self._confirmed_s = now_s
        elif is_alone and self._is_founder:
            self._confirmed_s = now_s
        elif is_over:
            # The others count this host because of its record.
            self._confirmed_s = self._seen_s
        if self.has_joined():
            self._settled_s = now_s + (0.0 if self._is_founder else ABSENT_FOR_S)
        return self.has_joined()
