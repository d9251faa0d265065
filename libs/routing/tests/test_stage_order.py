"""One order to an engine, however its answers are lost, late or repeated."""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from gypsumusher_ports import EngineReport, OrderOutcome
from gypsumusher_routing import ASK, DONE, GIVEN_UP, SEND, WAIT, StageOrder

BEFORE = EngineReport("decode", False, 4)


def sent(now_s=0.0):
    """Return an order that has just gone out."""
    order = StageOrder("prefill", now_s)
    assert order.next_step(now_s) == ASK
    order.on_report(now_s, BEFORE)
    assert order.next_step(now_s) == SEND
    order.on_send(now_s)
    return order


def test_an_order_names_the_count_that_the_engine_reported():
    order = sent()
    assert order.order_count == 4
    order.on_answer(OrderOutcome.ACCEPTED)
    assert order.next_step(0.1) == WAIT
    order.on_report(0.5, EngineReport("decode", True, 5))
    order.on_report(3.0, EngineReport("prefill", True, 5))
    assert order.next_step(4.0) == ASK
    order.on_report(4.0, EngineReport("prefill", False, 5))
    assert order.next_step(4.0) == DONE


def test_an_order_without_an_answer_goes_out_again_for_the_same_count():
    # The engine leaves an order unanswered and may carry it out seconds later. A second
    # one for another count would then take effect too.
    order = sent()
    order.on_answer(OrderOutcome.UNKNOWN)
    order.on_report(0.5, BEFORE)
    assert order.next_step(0.6) == WAIT
    order.on_report(1.2, BEFORE)
    assert order.next_step(1.2) == SEND
    order.on_send(1.2)
    assert order.order_count == 4


def test_an_engine_that_does_not_answer_is_given_up():
    order = sent()
    for now_s in (1.2, 2.4, 3.6):
        order.on_answer(OrderOutcome.UNKNOWN)
        order.on_report(now_s, BEFORE)
        if order.next_step(now_s) == SEND:
            order.on_send(now_s)
    assert order.next_step(3.6) == GIVEN_UP
    assert not order.may_take_effect


@pytest.mark.parametrize("outcome", [OrderOutcome.REFUSED, OrderOutcome.CONFLICT])
def test_a_first_send_that_is_turned_away_leaves_nothing_behind(outcome):
    order = sent()
    order.on_answer(outcome)
    assert order.next_step(0.1) == GIVEN_UP


def test_a_repeated_send_that_meets_another_order_may_have_met_itself():
    # The first send got no answer, and was taken. The second one is told that an order
    # is in progress: it is this one.
    order = sent()
    order.on_answer(OrderOutcome.UNKNOWN)
    order.on_report(1.2, BEFORE)
    order.on_send(1.2)
    order.on_answer(OrderOutcome.CONFLICT)
    order.on_report(2.0, EngineReport("prefill", False, 5))
    assert order.next_step(2.0) == DONE


def test_a_stage_that_holds_already_needs_no_order():
    order = StageOrder("prefill", 0.0)
    order.on_report(0.0, EngineReport("prefill", False, 7))
    assert order.next_step(0.0) == DONE
    assert order.sends == 0


class OrderedEngine(RuleBasedStateMachine):
    """An engine that loses, delays and repeats, and an order that has to end."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.order = StageOrder("prefill", 0.0)
        self.stage, self.count, self.busy_until_s = "decode", 2, -1.0
        self.late = []
        self.taken = 0
        self.counts = set()

    def _arrive(self, count):
        """Take an order as the platform's pages say; return its outcome."""
        if self.busy_until_s > self.now_s or count != self.count:
            return OrderOutcome.CONFLICT
        self.count += 1
        self.taken += 1
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
        report = EngineReport(self.stage, is_busy, self.count)
        self.order.on_report(self.now_s, None if is_lost else report)

    @precondition(lambda self: self.order.next_step(self.now_s) == SEND)
    @rule(fate=st.sampled_from(["well", "answer lost", "late", "lost"]))
    def send(self, fate):
        self.order.on_send(self.now_s)
        self.counts.add(self.order.order_count)
        outcome = OrderOutcome.UNKNOWN
        if fate in ("well", "answer lost"):
            arrived = self._arrive(self.order.order_count)
            outcome = arrived if fate == "well" else outcome
        if fate == "late":
            self.late.append(self.order.order_count)
        self.order.on_answer(outcome)

    @precondition(lambda self: self.late)
    @rule()
    def carry_out_late(self):
        self._arrive(self.late.pop(0))

    @invariant()
    def takes_effect_once_at_most(self):
        assert self.taken <= 1
        assert len(self.counts) <= 1

    @invariant()
    def is_done_only_when_it_holds(self):
        if self.order.next_step(self.now_s) == DONE:
            assert self.stage == "prefill"

    def teardown(self):
        # Whatever happened, it ends.
        for _ in range(400):
            self.now_s += 0.5
            step = self.order.next_step(self.now_s)
            if step in (DONE, GIVEN_UP):
                return
            if step == ASK:
                is_busy = self.busy_until_s > self.now_s
                report = EngineReport(self.stage, is_busy, self.count)
                self.order.on_report(self.now_s, report)
            if step == SEND:
                self.order.on_send(self.now_s)
                self.order.on_answer(self._arrive(self.order.order_count))
        raise AssertionError("the order goes on for ever")


TestOrderedEngine = OrderedEngine.TestCase
TestOrderedEngine.settings = settings(max_examples=150, stateful_step_count=25)
