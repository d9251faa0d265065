"""One order that changes an engine's stage, from the decision to its certain end.

An order may get no answer, and be carried out seconds later. Guarded against: a second
order that then undoes the first, or two orders where one was meant. Each send of one
order names the same number of orders that the engine must have accepted so far, so at
most one of them takes effect, whenever it does.
"""

from gypsumusher_ports import EngineReport, OrderOutcome

__all__ = ["ASK", "DONE", "GIVEN_UP", "SEND", "WAIT", "StageOrder"]

# What is to be done next: ask the engine for a report, send the order, wait; or
# nothing, since it has the stage, or since the order is given up.
ASK, SEND, WAIT = "ask", "send", "wait"
DONE, GIVEN_UP = "done", "given_up"
# Time between two reports, in seconds. A change takes seconds, and each report is paid
# for as a health check is.
POLL_S = 0.5
# Reports tell of the past, some tenths of a second ago; an order that they don't show
# after this time, in seconds, has not been taken so far.
LAG_S = 1.0
# Sends of one order. Three lost answers in a row mean that the engine is cut off.
MAX_SENDS = 3
# An order that is on its way for longer is given up, in seconds: the engine lets its
# running streams end first, which takes as long as the longest.
LONGEST_S = 30.0


class StageOrder:
    """The progress of one order.

    Parameters
    ----------
    stage : {"prefill", "decode"}
        The stage that is wanted.
    now_s : float
        The present time, in seconds.
    """

    def __init__(self, stage: str, now_s: float):
        self.stage = stage
        # Orders that the engine must have accepted so far; None before a report.
        self.order_count = None
        self.sends = 0
        self._began_s = now_s
        self._sent_s = None
        self._next_s = now_s
        self._step = ASK

    @property
    def may_take_effect(self) -> bool:
        """Whether the engine may be on its way to the new stage."""
        return self.sends > 0 and self._step != GIVEN_UP

    def next_step(self, now_s: float) -> str:
        """Return what is to be done now."""
        if self._step in (DONE, GIVEN_UP, SEND):
            return self._step
        if now_s - self._began_s > LONGEST_S:
            self._step = GIVEN_UP
            return GIVEN_UP
        return ASK if now_s >= self._next_s else WAIT

    def on_report(self, now_s: float, report: EngineReport | None) -> None:
        """Take in a report; None when none came."""
        self._next_s = now_s + POLL_S
        if report is None:
            return
        if report.stage == self.stage and not report.is_busy:
            self._step = DONE
            return
        if report.is_busy:
            return
        if self.order_count is None:
            self.order_count = report.order_count
            self._step = SEND
            return
        if report.order_count != self.order_count:
            # Taken, or another order was: the stage tells which.
            self._end_unless_recent(now_s)
            return
        if now_s - self._sent_s >= LAG_S:
            self._step = SEND if self.sends < MAX_SENDS else GIVEN_UP

    def on_send(self, now_s: float) -> None:
        """Note that the order goes out now."""
        self.sends += 1
        self._sent_s = now_s
        self._step = ASK
        self._next_s = now_s + POLL_S

    def on_answer(self, outcome: OrderOutcome) -> None:
        """Take in the answer to a send."""
        if outcome == OrderOutcome.REFUSED:
            self._step = GIVEN_UP
        if outcome == OrderOutcome.CONFLICT and self.sends == 1:
            # Nothing of this order is with the engine.
            self._step = GIVEN_UP

    def _end_unless_recent(self, now_s):
        """Give up when the engine has done an order that brought another stage."""
        if now_s - self._sent_s > LAG_S + LONGEST_S / 2.0:
            self._step = GIVEN_UP
