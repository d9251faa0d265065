"""Orders: one unfinished order an engine, and none without authority."""

import itertools

from gypsumusher_coordination import (
    CallFailed,
    OpenTerm,
    OrderCallFailed,
    OrderController,
    OrderEnded,
    OrderReply,
    QueryOrder,
    ReadDone,
    ReadObject,
    SendOrder,
    StoredObject,
    TermsClosed,
    TermValidity,
    WriteConflict,
    WriteDone,
    WriteObject,
)

PREFILL = {"role": "prefill"}
DECODE = {"role": "decode"}
OLD = (OpenTerm(1, "a", "a-1"),)


class Store:
    """The intents, with conditional writes."""

    def __init__(self, intents=()):
        self.revisions = itertools.count(1)
        self.objects = {}
        for engine, intent in dict(intents).items():
            self.objects[engine] = StoredObject(next(self.revisions), intent)

    def apply(self, call):
        stored = self.objects.get(call.name)
        if isinstance(call, ReadObject):
            return ReadDone(call.tag, stored)
        if (stored.version if stored else 0) != call.if_version:
            return WriteConflict(call.tag, stored)
        self.objects[call.name] = StoredObject(next(self.revisions), call.value)
        return WriteDone(call.tag, self.objects[call.name].version)

    def state(self, engine="e"):
        return self.objects[engine].value["state"]


class Steward:
    """A book with a lease that the test sets; platform calls are answered at once."""

    def __init__(self, store, term=2, fencing="refuses", timeout_s=2.0, previous=()):
        self.store = store
        self.valid_until_s = 1000.0
        self.term = term
        self.book = OrderController("d", fencing, timeout_s, self.authority)
        self.book.set_engines(0.0, ["e"])
        self.said = self.run(0.0, self.book.on_lease_gained(0.0, term, previous))

    def authority(self):
        return TermValidity("b-1", self.term, self.valid_until_s)

    def run(self, now_s, effects):
        """Answer platform calls; returns the other effects."""
        said = []
        while effects:
            effect = effects.pop(0)
            if not isinstance(effect, ReadObject | WriteObject):
                said.append(effect)
                continue
            effects.extend(self.book.handle(now_s, self.store.apply(effect)))
        return said

    def tick(self, now_s):
        return self.run(now_s, self.book.tick(now_s))

    def want(self, now_s, goal):
        return self.run(now_s, self.book.set_goal(now_s, "e", goal))

    def answer(self, now_s, effect, state, order_id=None):
        order_id = effect.order_id if order_id is None else order_id
        event = OrderReply("e", order_id, state, effect.tag)
        return self.run(now_s, self.book.handle(now_s, event))

    def fail(self, now_s, effect, sent):
        event = OrderCallFailed("e", getattr(effect, "order_id", ""), sent, effect.tag)
        return self.run(now_s, self.book.handle(now_s, event))


def intended(order_id="a-1.1.1", goal=None):
    return {
        "order_id": order_id,
        "term": 1,
        "goal": goal or PREFILL,
        "state": "intended",
        "detail": "",
    }


def test_order_goes_out_after_its_intent_and_is_settled():
    store = Store()
    steward = Steward(store)
    (send,) = steward.want(1.0, DECODE)
    assert isinstance(send, SendOrder)
    assert send[:5] == ("e", "b-1.2.1", 2, DECODE, 1000.0)
    assert store.objects["e"].value == intended("b-1.2.1", DECODE) | {"term": 2}
    assert steward.book.busy_engines() == {"e"}
    assert steward.answer(1.1, send, "accepted") == []
    (query,) = steward.tick(2.0)
    assert isinstance(query, QueryOrder)
    assert steward.answer(2.0, query, "running", "b-1.2.1") == []
    (query,) = steward.tick(3.0)
    (settled,) = steward.answer(3.0, query, "done", "b-1.2.1")
    assert settled == OrderEnded("e", "b-1.2.1", DECODE, "done", "")
    assert store.state() == "done"
    assert steward.book.busy_engines() == set()


def test_second_goal_waits_for_the_first_order():
    steward = Steward(Store())
    (send,) = steward.want(1.0, DECODE)
    assert steward.want(1.1, PREFILL) == []
    settled, second = steward.answer(1.2, send, "done")
    assert settled.goal == DECODE
    assert second.goal == PREFILL
    assert second.order_id != send.order_id


def test_goal_under_way_is_not_ordered_twice():
    steward = Steward(Store())
    (send,) = steward.want(1.0, DECODE)
    steward.want(1.1, DECODE)
    assert len(steward.answer(1.2, send, "done")) == 1


def test_lost_answer_repeats_the_same_order():
    steward = Steward(Store())
    (send,) = steward.want(1.0, DECODE)
    assert steward.fail(1.1, send, sent=True) == []
    assert steward.book.has_orders_in_flight()
    (again,) = steward.tick(2.0)
    assert again.order_id == send.order_id
    steward.answer(2.1, again, "running")
    assert not steward.book.has_orders_in_flight()


def test_busy_engine_gets_the_same_order_later():
    steward = Steward(Store())
    (send,) = steward.want(1.0, DECODE)
    assert steward.answer(1.1, send, "busy") == []
    (again,) = steward.tick(2.0)
    assert again.order_id == send.order_id


def test_refusal_leaves_an_earlier_copy_open():
    """A released steward's order runs after the next steward's.

    The first copy's answer was lost and the repeat was refused as busy, so that the
    engine does not know the order: the first copy may still arrive and run.
    """
    steward = Steward(Store())
    (send,) = steward.want(1.0, DECODE)
    steward.fail(1.1, send, sent=True)
    (again,) = steward.tick(2.0)
    steward.answer(2.1, again, "busy")
    assert steward.book.has_orders_in_flight()
    (third,) = steward.tick(3.0)
    steward.answer(3.1, third, "accepted")
    assert not steward.book.has_orders_in_flight()


def test_intent_that_came_after_the_takeover_is_never_carried_out():
    """An engine drains because a steward that was replaced had meant it to.

    The former steward is paused with its intent's write on the way; the next one
    reads that the engine is idle; the write lands. Its sender can't send the order
    any more, so the next steward must not do it in its place.
    """
    store = Store({"e": intended() | {"state": "done"}})
    steward = Steward(store, previous=OLD)
    version = store.objects["e"].version
    late = intended("a-1.1.2", {"drain": True})
    store.apply(WriteObject("late", "orders", "e", late, version))
    (send,) = steward.want(1.0, DECODE)
    assert (send.goal, send.term) == (DECODE, 2)
    assert store.objects["e"].value["goal"] == DECODE


def test_engine_missing_from_the_list_for_a_moment_keeps_its_order():
    """An engine changes to one role and, a second later, to another one.

    The lagging list drops the engine while an order's answer is lost, and shows it
    again. A steward that had forgotten the order would ask the engine, hear of none
    and order another goal, and then the first copy arrives.
    """
    steward = Steward(Store(), fencing="ignores")
    (send,) = steward.want(1.0, DECODE)
    steward.run(1.1, steward.book.set_engines(1.1, []))
    assert steward.fail(1.2, send, sent=True) == []
    assert steward.tick(5.0) == []
    (again,) = steward.run(6.0, steward.book.set_engines(6.0, ["e"]))
    assert isinstance(again, SendOrder)
    assert again.order_id == send.order_id
    assert steward.answer(6.1, again, "running") == []
    (query,) = steward.tick(7.0)
    steward.run(7.1, steward.book.set_engines(7.1, []))
    (settled,) = steward.answer(7.2, query, "done", send.order_id)
    assert settled.state == "done"
    steward.run(7.3, steward.book.set_engines(7.3, []))
    assert steward.book.busy_engines() == set()


def test_engine_that_crashed_in_the_middle_forgot_its_order():
    """An engine restarts in the middle of a role change and is given a second one.

    After the restart it knows no order. The steward asks, settles the order as
    failed, and only then orders something else.
    """
    steward = Steward(Store())
    (send,) = steward.want(1.0, DECODE)
    steward.answer(1.1, send, "accepted")
    steward.want(1.2, PREFILL)
    (query,) = steward.tick(2.0)
    settled, send = steward.answer(2.1, query, "none", "")
    assert (settled.state, settled.goal) == ("failed", DECODE)
    assert send.goal == PREFILL


def test_lapsed_lease_stops_orders_at_every_step():
    store = Store()
    steward = Steward(store)
    steward.valid_until_s = 5.0
    (write,) = steward.book.set_goal(4.9, "e", DECODE)
    # The steward is paused here; the write's answer is handled after the lapse.
    assert steward.book.handle(5.0, store.apply(write)) == []
    assert steward.tick(6.0) == []
    steward.valid_until_s = 100.0
    steward.term = 4
    assert steward.tick(7.0) == [], "a new term begins with on_lease"
    steward.book.on_lease_lost(7.0)
    assert steward.tick(8.0) == []


def test_new_steward_settles_an_intent_before_its_own_order():
    """Two goals reach one engine because a steward died between intent and answer.

    The engine refuses old numbers: it gets the very same order under the new term,
    so that the first copy, should it still come, is a repeat of a known id.
    """
    store = Store({"e": intended()})
    steward = Steward(store, previous=OLD)
    (repeat,) = steward.said
    assert (repeat.order_id, repeat.term, repeat.goal) == ("a-1.1.1", 2, PREFILL)
    assert steward.want(0.1, DECODE) == []
    assert steward.answer(0.2, repeat, "running") == []
    (query,) = steward.tick(1.0)
    settled, send = steward.answer(1.1, query, "done", "a-1.1.1")
    assert settled.order_id == "a-1.1.1"
    assert (send.goal, send.term) == (DECODE, 2)


def test_engine_that_ignores_numbers_is_left_alone_until_old_connections_closed():
    """A paused steward wakes up, and its order takes effect beside the new one's.

    It was paused between its check and its write, on a connection that was open.
    The engine closes that connection `order_timeout_s` after it was opened.
    """
    steward = Steward(Store({"e": intended()}), fencing="ignores", previous=OLD)
    assert steward.said == []
    assert steward.want(0.5, DECODE) == []
    assert steward.tick(2.0) == []
    assert steward.book.blocking_terms() == OLD
    terms, query = steward.tick(2.1)
    assert terms == TermsClosed((1,))
    assert isinstance(query, QueryOrder)
    settled, send = steward.answer(2.2, query, "none", "")
    assert (settled.order_id, settled.state) == ("a-1.1.1", "failed")
    assert send.goal == DECODE


def test_engine_without_any_limit_waits_for_an_operator():
    options = {"fencing": "ignores", "timeout_s": None, "previous": OLD}
    steward = Steward(Store(), **options)
    assert steward.want(1.0, DECODE) == []
    assert steward.tick(10_000.0) == []
    steward.valid_until_s = 20_000.0
    assert steward.book.confirm_holder_dead(10_001.0, 7) == []
    said = steward.run(10_002.0, steward.book.confirm_holder_dead(10_002.0, 1))
    assert said[0] == TermsClosed((1,))
    assert said[1].goal == DECODE
    released = Steward(Store(), **options | {"previous": ()})
    assert len(released.want(0.1, DECODE)) == 1


def test_own_former_term_needs_no_wait_unless_an_order_is_on_its_way():
    previous = (OpenTerm(2, "b", "b-1"),)
    for lost in (False, True):
        steward = Steward(Store(), fencing="ignores", timeout_s=None)
        (send,) = steward.want(1.0, DECODE)
        if lost:
            steward.fail(1.1, send, sent=True)
        else:
            steward.answer(1.1, send, "running")
        steward.term = 3
        steward.book.on_lease_lost(2.0)
        said = steward.run(2.0, steward.book.on_lease_gained(2.0, 3, previous))
        assert (TermsClosed((2,)) in said) == (not lost)
        assert steward.book.blocking_terms() == (previous if lost else ())


def test_platform_outage_means_no_new_orders():
    steward = Steward(Store())
    (write,) = steward.book.set_goal(1.0, "e", DECODE)
    for now_s in (2.0, 4.0, 6.0):
        assert steward.book.handle(now_s, CallFailed(write.tag, sent=True)) == []
        (write,) = steward.book.tick(now_s + 1.0)
        assert isinstance(write, ReadObject)


def test_lost_answer_to_the_intent_sends_one_order():
    for took_effect in (True, False):
        store = Store()
        steward = Steward(store)
        (write,) = steward.book.set_goal(1.0, "e", DECODE)
        if took_effect:
            store.apply(write)
        steward.book.handle(1.1, CallFailed(write.tag, sent=True))
        (send,) = steward.tick(2.0)
        assert send.order_id == store.objects["e"].value["order_id"]
        late = store.apply(write)
        assert isinstance(late, WriteConflict)


def test_lost_answer_to_the_outcome_is_settled_by_reading():
    for took_effect in (True, False):
        store = Store()
        steward = Steward(store)
        (send,) = steward.want(1.0, DECODE)
        event = OrderReply("e", send.order_id, "done", send.tag)
        (write,) = steward.book.handle(1.1, event)
        if took_effect:
            store.apply(write)
        steward.book.handle(1.2, CallFailed(write.tag, sent=True))
        (settled,) = steward.tick(2.0)
        assert settled.state == "done"
        assert store.state() == "done"


def test_late_and_foreign_answers_are_ignored():
    steward = Steward(Store())
    (send,) = steward.want(1.0, DECODE)
    late = OrderReply("e", send.order_id, "done", "send:e:other:1")
    assert steward.book.handle(1.1, late) == []
    steward.answer(1.2, send, "running")
    assert steward.answer(1.3, send, "done") == []
    steward.book.set_engines(1.4, [])
    assert steward.tick(5.0) == []
