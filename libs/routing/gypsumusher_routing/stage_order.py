"""State machine of one stage order to an engine, from the decision to its outcome.

An order may get no answer and still be carried out seconds later. A second order must
not undo it, and the same order must not take effect twice. Therefore each send of one
order names the same number of orders that the engine must have accepted before, so that
at most one of the sends takes effect, whenever it arrives.
"""

from gypsumusher_ports import EngineReport, OrderOutcome

__all__ = ["ASK", "DONE", "GIVEN_UP", "SEND", "WAIT", "StageOrder"]

# Next step of an order: request a report from the engine, send the order, or wait; in
# the end the engine has the stage, or the order is abandoned.
ASK, SEND, WAIT = "ask", "send", "wait"
DONE, GIVEN_UP = "done", "given_up"
# Time between two reports. A stage change takes seconds, and each report is paid for as
# a health check is.
POLL_S = 0.5
# Reports describe the engine some tenths of a second ago. An order that they don't show
# after this time has not been accepted so far.
REPORT_LAG_S = 1.0
# Maximum number of sends of one order. After three lost answers in a row the engine
# counts as unreachable.
MAX_SENDS = 3
# Time after which an order is abandoned. The engine first finishes its running streams,
# so a stage change takes as long as the longest of them.
ORDER_TIMEOUT_S = 30.0


class StageOrder:
    """Progress of one stage order.

    Parameters
    ----------
    stage : {"prefill", "decode"}
        The stage that the engine shall take.
    now_s : float
        Current time, in seconds.
    """

    def __init__(self, stage: str, now_s: float):
        self.stage = stage
        # Orders that the engine must have accepted before; None until the first report.
        self.order_count = None
        self.sends = 0
        self._began_s = now_s
        self._sent_s = None
        self._next_report_s = now_s
        self._step = ASK

    @property
    def may_take_effect(self) -> bool:
        """Whether the engine may be changing to the ordered stage."""
        return self.sends > 0 and self._step != GIVEN_UP

    def next_step(self, now_s: float) -> str:
        """Return the next step: ASK, SEND, WAIT, DONE or GIVEN_UP."""
        if self._step in (DONE, GIVEN_UP, SEND):
            return self._step
        if now_s - self._began_s > ORDER_TIMEOUT_S:
            self._step = GIVEN_UP
            return GIVEN_UP
        return ASK if now_s >= self._next_report_s else WAIT

    def on_report(self, now_s: float, report: EngineReport | None) -> None:
        """Process a report of the engine; None if the request for it failed."""
        self._next_report_s = now_s + POLL_S
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
            # The engine has accepted this order or another one; its stage will show
            # which.
            self._give_up_unless_recent(now_s)
            return
        if now_s - self._sent_s >= REPORT_LAG_S:
            self._step = SEND if self.sends < MAX_SENDS else GIVEN_UP

    def on_send(self, now_s: float) -> None:
        """Record that the order is being sent."""
        self.sends += 1
        self._sent_s = now_s
        self._step = ASK
        self._next_report_s = now_s + POLL_S

    def on_answer(self, outcome: OrderOutcome) -> None:
        """Process the answer to a send."""
        if outcome == OrderOutcome.REFUSED:
            self._step = GIVEN_UP
        if outcome == OrderOutcome.CONFLICT and self.sends == 1:
            # No earlier send of this order can have caused the conflict.
            self._step = GIVEN_UP

    def _give_up_unless_recent(self, now_s):
        """Abandon the order if the engine has taken another stage for a while."""
        if now_s - self._sent_s > REPORT_LAG_S + ORDER_TIMEOUT_S / 2.0:
            self._step = GIVEN_UP
