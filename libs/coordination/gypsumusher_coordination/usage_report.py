"""Usage reports: each window is reported once, or repeated exactly.

The platform can't be asked what it has accepted, and a call without an answer may have
been accepted. So a report is fixed in the store before it is sent for the first time,
by a write that names the version before it, and only what the store holds is sent. A
host that takes over sends the same again. Windows are fixed in order, so that a window
is never fixed twice, whatever the clocks of two holders say.
"""

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

__all__ = [
    "USAGE_KIND",
    "SendUsage",
    "UsageMissed",
    "UsageReporter",
    "UsageSent",
    "UsageTimes",
]

USAGE_KIND = "usage-reports"
# All windows are fixed in one object, whose version orders the writes.
USAGE_NAME = "fixed"
# Pauses after a call that failed.
MIN_PAUSE_S, MAX_PAUSE_S = 0.3, 1.0
# Fixed windows that the object keeps. Older ones are past their time.
MAX_FIXED = 8


class UsageTimes(NamedTuple):
    """Times of the windows.

    Attributes
    ----------
    window_s : float
        Length of a window; window k begins at k times this, in seconds of true time.
    settle_s : float
        Time after the end of a window before it is fixed, in seconds: counts of other
        hosts arrive in it.
    late_s : float
        Time after the end of a window at which its report is due, in seconds.
    """

    window_s: float
    settle_s: float
    late_s: float

    def end_s(self, window: int) -> float:
        """Return the end of a window, in seconds of true time."""
        return (window + 1) * self.window_s

    def first_in_time(self, true_s: float) -> int:
        """Return the first window whose report isn't overdue."""
        return int((true_s - self.late_s) // self.window_s)


class SendUsage(NamedTuple):
    """Effect: send a report; the event `UsageSent` tells the outcome.

    Attributes
    ----------
    tag : str
        Id of this call.
    window : int
        Number of the window.
    counts : dict of str to int
        Requests by account.
    """

    tag: str
    window: int
    counts: dict[str, int]


class UsageMissed(NamedTuple):
    """Effect: these windows are overdue and won't be reported any more."""

    first: int
    last: int


class UsageSent(NamedTuple):
    """Event: how sending a report ended.

    Attributes
    ----------
    tag : str
        Id of the call.
    is_done : bool
        Whether the platform has accepted or rejected the report for good. Otherwise it
        may have accepted it, and the same report is sent again.
    """

    tag: str
    is_done: bool


class UsageReporter:
    """State machine of the host that may report, one call at a time.

    Parameters
    ----------
    times : UsageTimes
        Times of the windows.
    nonce_source : callable
        Returns a new random string for each write, so that no two are equal.
    """

    def __init__(self, times: UsageTimes, nonce_source: Callable[[], str]):
        self._times = times
        self._nonce_source = nonce_source
        self._calls = 0
        self._forget()

    def _forget(self):
        self._tag = None
        self._is_read = False
        self._stored = None
        self._written = None
        self._sending = None
        self._sent = set()
        self._pause_s = MIN_PAUSE_S
        self._next_call_s = float("-inf")

    def on_authority_lost(self) -> None:
        """Forget the state of the store; another host may change it from now on."""
        self._forget()

    def tick(
        self,
        now_s: float,
        true_s: float,
        read_totals: Callable[[int], dict[str, int]],
    ) -> list:
        """Return the next call, if one is due and none is under way.

        Only the host with the authority to report calls this.

        Parameters
        ----------
        now_s, true_s : float
            Reading of the steady clock, and true time, in seconds.
        read_totals : callable
            Returns the counts of a window by account.
        """
        if self._tag is not None or now_s < self._next_call_s:
            return []
        if not self._is_read:
            return [ReadObject(self._next_tag(), USAGE_KIND, USAGE_NAME)]
        unsent = self._next_unsent(true_s)
        if unsent is not None:
            self._sending = unsent
            counts = dict(self._value()["reports"][str(unsent)])
            return [SendUsage(self._next_tag(), unsent, counts)]
        return self._fix_next(true_s, read_totals)

    def handle(self, now_s: float, event: CallEvent | UsageSent) -> None:
        """Handle how a call ended."""
        if event.tag != self._tag:
            return
        self._tag = None
        if isinstance(event, CallFailed):
            # The write may have been performed, or may be later.
            self._is_read = False
            self._pause(now_s)
            return
        if isinstance(event, UsageSent):
            if event.is_done:
                self._sent.add(self._sending)
                self._pause_s = MIN_PAUSE_S
            else:
                self._pause(now_s)
            return
        self._pause_s = MIN_PAUSE_S
        self._is_read = True
        if isinstance(event, WriteDone):
            self._stored = StoredObject(event.version, self._written)
        else:
            self._stored = event.stored

    def _fix_next(self, true_s, read_totals):
        """Return the write that fixes the next window, once its counts are in."""
        times = self._times
        in_time = times.first_in_time(true_s)
        value = self._value()
        if self._stored is None:
            # Nothing has ever been reported; callers may have come before the holder.
            return [self._write(in_time - 1, {})]
        window = max(value["through"] + 1, in_time)
        effects = []
        if times.end_s(window) + times.settle_s > true_s:
            return effects
        if window > value["through"] + 1:
            effects.append(UsageMissed(value["through"] + 1, window - 1))
        reports = {**value["reports"], str(window): read_totals(window)}
        return [*effects, self._write(window, reports)]

    def _write(self, through, reports):
        """Return the write of the fixed windows."""
        kept = sorted(reports, key=int)[-MAX_FIXED:]
        sent = {*self._value()["sent"], *self._sent}
        self._sent = {window for window in self._sent if str(window) in kept}
        self._written = {
            "through": through,
            "reports": {window: reports[window] for window in kept},
            "sent": sorted(window for window in sent if str(window) in kept),
            "nonce": self._nonce_source(),
        }
        version = 0 if self._stored is None else self._stored.version
        return WriteObject(
            self._next_tag(), USAGE_KIND, USAGE_NAME, self._written, version
        )

    def _next_unsent(self, true_s):
        """Return the first fixed window that still has to be sent, or None."""
        value = self._value()
        in_time = self._times.first_in_time(true_s)
        for window in sorted(int(window) for window in value["reports"]):
            if window < in_time or window in value["sent"] or window in self._sent:
                continue
            return window
        return None

    def _value(self) -> dict[str, Any]:
        """Return the value of the stored object, or that of an empty one."""
        if self._stored is None:
            return {"through": 0, "reports": {}, "sent": []}
        return self._stored.value

    def _pause(self, now_s):
        """Wait before the next call, longer after each failure."""
        self._next_call_s = now_s + self._pause_s
        self._pause_s = min(MAX_PAUSE_S, 2.0 * self._pause_s)

    def _next_tag(self):
        self._calls += 1
        self._tag = f"usage:{self._calls}"
        return self._tag
