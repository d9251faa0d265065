"""Tests of one stage order whose answers are lost, late or repeated."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gypsumusher_ports import EngineReport, OrderOutcome
from gypsumusher_routing import ASK, DONE, GIVEN_UP, SEND, WAIT, StageOrder

REPORT_BEFORE = EngineReport("decode", False, 4)


def sent_order(now_s=0.0):
    """Return an order that has just been sent."""
    order = StageOrder("prefill", now_s)
    assert order.next_step(now_s) == ASK
    order.on_report(now_s, REPORT_BEFORE)
    assert order.next_step(now_s) == SEND
    order.on_send(now_s)
    return order


def test_order_uses_the_count_from_the_report_and_ends_when_the_stage_is_taken():
    order = sent_order()
    assert order.order_count == 4
    order.on_answer(OrderOutcome.ACCEPTED)
    assert order.next_step(0.1) == WAIT
    order.on_report(0.5, EngineReport("decode", True, 5))
    order.on_report(3.0, EngineReport("prefill", True, 5))
    assert order.next_step(4.0) == ASK
    order.on_report(4.0, EngineReport("prefill", False, 5))
    assert order.next_step(4.0) == DONE


def test_order_without_an_answer_is_sent_again_with_the_same_count():
    # The engine does not answer an order and may carry it out seconds later. A second
    # send with another count would then take effect as well.
    order = sent_order()
    order.on_answer(OrderOutcome.UNKNOWN)
    order.on_report(0.5, REPORT_BEFORE)
    assert order.next_step(0.6) == WAIT
    order.on_report(1.2, REPORT_BEFORE)
    assert order.next_step(1.2) == SEND
    order.on_send(1.2)
    assert order.order_count == 4


def test_order_is_abandoned_if_no_send_is_answered():
    order = sent_order()
    for now_s in (1.2, 2.4, 3.6):
        order.on_answer(OrderOutcome.UNKNOWN)
        order.on_report(now_s, REPORT_BEFORE)
        if order.next_step(now_s) == SEND:
            order.on_send(now_s)
    assert order.next_step(3.6) == GIVEN_UP
    assert not order.may_take_effect


@pytest.mark.parametrize("outcome", [OrderOutcome.REFUSED, OrderOutcome.CONFLICT])
def test_order_is_abandoned_if_its_first_send_is_rejected(outcome):
    order = sent_order()
    order.on_answer(outcome)
    assert order.next_step(0.1) == GIVEN_UP


def test_conflict_of_a_repeated_send_may_be_with_its_own_first_send():
    # The first send was accepted, but its answer was lost. The second one gets a
    # conflict because the same order is in progress.
    order = sent_order()
    order.on_answer(OrderOutcome.UNKNOWN)
    order.on_report(1.2, REPORT_BEFORE)
    order.on_send(1.2)
    order.on_answer(OrderOutcome.CONFLICT)
    order.on_report(2.0, EngineReport("prefill", False, 5))
    assert order.next_step(2.0) == DONE


def test_nothing_is_sent_if_the_engine_has_the_stage_already():
    order = StageOrder("prefill", 0.0)
    order.on_report(0.0, EngineReport("prefill", False, 7))
    assert order.next_step(0.0) == DONE
    assert order.sends == 0


class OrderedEngine(RuleBasedStateMachine):
    """One order to an engine that loses and delays sends and answers.

    The order must take effect at most once, and must end.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.order = StageOrder("prefill", 0.0)
        self.stage, self.order_count, self.busy_until_s = "decode", 2, -1.0
        self.delayed = []
        self.accepted = 0
        self.sent_counts = set()

    def _arrive(self, count):
        """Process an order as the platform specifies; return its outcome."""
        if self.busy_until_s > self.now_s or count != self.order_count:
            return OrderOutcome.CONFLICT
        self.order_count += 1
        self.accepted += 1
        self.stage = "prefill"
        self.busy_until_s = self.now_s + 3.0
        return OrderOutcome.ACCEPTED

    @rule(step_s=st.sampled_from([0.1, 0.5, 2.0]))
    def wait(self, step_s):
        self.now_s += step_s

    @precondition(lambda self: self.order.next_step(self.now_s) == ASK)
    @rule(is_lost=st.booleans())
    def report(self, is_lost):
        is_busy = self.busy_until_s > self.now_s
        report = EngineReport(self.stage, is_busy, self.order_count)
        self.order.on_report(self.now_s, None if is_lost else report)

    @precondition(lambda self: self.order.next_step(self.now_s) == SEND)
    @rule(delivery=st.sampled_from(["delivered", "answer lost", "late", "lost"]))
    def send(self, delivery):
        self.order.on_send(self.now_s)
        self.sent_counts.add(self.order.order_count)
        outcome = OrderOutcome.UNKNOWN
        if delivery in ("delivered", "answer lost"):
            arrived = self._arrive(self.order.order_count)
            outcome = arrived if delivery == "delivered" else outcome
        if delivery == "late":
            self.delayed.append(self.order.order_count)
        self.order.on_answer(outcome)

    @precondition(lambda self: self.delayed)
    @rule()
    def carry_out_delayed(self):
        self._arrive(self.delayed.pop(0))

    @invariant()
    def takes_effect_at_most_once(self):
        assert self.accepted <= 1
        assert len(self.sent_counts) <= 1

    @invariant()
    def is_done_only_if_the_engine_has_the_stage(self):
        if self.order.next_step(self.now_s) == DONE:
            assert self.stage == "prefill"

    def teardown(self):
        # The order must end, whatever happened before.
        for _ in range(400):
            self.now_s += 0.5
            step = self.order.next_step(self.now_s)
            if step in (DONE, GIVEN_UP):
                return
            if step == ASK:
                is_busy = self.busy_until_s > self.now_s
                report = EngineReport(self.stage, is_busy, self.order_count)
                self.order.on_report(self.now_s, report)
            if step == SEND:
                self.order.on_send(self.now_s)
                self.order.on_answer(self._arrive(self.order.order_count))
        raise AssertionError("the order does not end within 200 s")


TestOrderedEngine = OrderedEngine.TestCase
TestOrderedEngine.settings = settings(max_examples=150, stateful_step_count=25)
