"""`OrderController`: one unfinished order per engine, none without the lease."""

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
FORMER_TERMS = (OpenTerm(1, "a", "a-1"),)


class Store:
    """The intent records, with conditional writes."""

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


class LeaseHolder:
    """A controller whose lease the test sets; platform calls succeed immediately."""

    def __init__(self, store, term=2, fencing="refuses", timeout_s=2.0, open_terms=()):
        self.store = store
        self.valid_until_s = 1000.0
        self.term = term
        self.controller = OrderController("d", fencing, timeout_s, self.term_validity)
        self.controller.set_engines(0.0, ["e"])
        self.effects = self.run(
            0.0, self.controller.on_lease_gained(0.0, term, open_terms)
        )

    def term_validity(self):
        return TermValidity("b-1", self.term, self.valid_until_s)

    def run(self, now_s, effects):
        """Perform platform calls; return the other effects."""
        others = []
        while effects:
            effect = effects.pop(0)
            if not isinstance(effect, ReadObject | WriteObject):
                others.append(effect)
                continue
            effects.extend(self.controller.handle(now_s, self.store.apply(effect)))
        return others

    def tick(self, now_s):
        return self.run(now_s, self.controller.tick(now_s))

    def set_goal(self, now_s, goal):
        return self.run(now_s, self.controller.set_goal(now_s, "e", goal))

    def answer(self, now_s, effect, state, order_id=None):
        order_id = effect.order_id if order_id is None else order_id
        event = OrderReply("e", order_id, state, effect.tag)
        return self.run(now_s, self.controller.handle(now_s, event))

    def fail(self, now_s, effect, sent):
        event = OrderCallFailed("e", getattr(effect, "order_id", ""), sent, effect.tag)
        return self.run(now_s, self.controller.handle(now_s, event))


def make_intent(order_id="a-1.1.1", goal=None):
    return {
        "order_id": order_id,
        "term": 1,
        "goal": goal or PREFILL,
        "state": "intended",
        "detail": "",
    }


def test_order_is_sent_after_its_intent_and_completes():
    store = Store()
    holder = LeaseHolder(store)
    (send,) = holder.set_goal(1.0, DECODE)
    assert isinstance(send, SendOrder)
    assert send[:5] == ("e", "b-1.2.1", 2, DECODE, 1000.0)
    assert store.objects["e"].value == make_intent("b-1.2.1", DECODE) | {"term": 2}
    assert holder.controller.busy_engines() == {"e"}
    assert holder.answer(1.1, send, "accepted") == []
    (query,) = holder.tick(2.0)
    assert isinstance(query, QueryOrder)
    assert holder.answer(2.0, query, "running", "b-1.2.1") == []
    (query,) = holder.tick(3.0)
    (settled,) = holder.answer(3.0, query, "done", "b-1.2.1")
    assert settled == OrderEnded("e", "b-1.2.1", DECODE, "done", "")
    assert store.state() == "done"
    assert holder.controller.busy_engines() == set()


def test_second_goal_waits_for_the_first_order():
    holder = LeaseHolder(Store())
    (send,) = holder.set_goal(1.0, DECODE)
    assert holder.set_goal(1.1, PREFILL) == []
    settled, second = holder.answer(1.2, send, "done")
    assert settled.goal == DECODE
    assert second.goal == PREFILL
    assert second.order_id != send.order_id


def test_goal_of_the_unfinished_order_is_not_ordered_twice():
    holder = LeaseHolder(Store())
    (send,) = holder.set_goal(1.0, DECODE)
    holder.set_goal(1.1, DECODE)
    assert len(holder.answer(1.2, send, "done")) == 1


def test_lost_reply_repeats_the_same_order():
    holder = LeaseHolder(Store())
    (send,) = holder.set_goal(1.0, DECODE)
    assert holder.fail(1.1, send, sent=True) == []
    assert holder.controller.has_orders_in_flight()
    (repeat,) = holder.tick(2.0)
    assert repeat.order_id == send.order_id
    holder.answer(2.1, repeat, "running")
    assert not holder.controller.has_orders_in_flight()


def test_busy_engine_is_sent_the_same_order_later():
    holder = LeaseHolder(Store())
    (send,) = holder.set_goal(1.0, DECODE)
    assert holder.answer(1.1, send, "busy") == []
    (repeat,) = holder.tick(2.0)
    assert repeat.order_id == send.order_id


def test_refusal_keeps_an_earlier_copy_in_flight():
    """The reply to an order was lost, and its repeat was refused as busy.

    The engine doesn't know the order, so the first copy may still arrive and run. If
    the lease were released, that could happen after the next holder's order.
    """
    holder = LeaseHolder(Store())
    (send,) = holder.set_goal(1.0, DECODE)
    holder.fail(1.1, send, sent=True)
    (repeat,) = holder.tick(2.0)
    holder.answer(2.1, repeat, "busy")
    assert holder.controller.has_orders_in_flight()
    (third,) = holder.tick(3.0)
    holder.answer(3.1, third, "accepted")
    assert not holder.controller.has_orders_in_flight()


def test_intent_written_after_the_takeover_is_not_executed():
    """The intent of a former lease holder is written after the next one's first read.

    The former holder is paused with the write in flight. It can't send the order any
    more, so the next holder must not send it either. Otherwise the engine would be
    drained by an abandoned order.
    """
    store = Store({"e": make_intent() | {"state": "done"}})
    holder = LeaseHolder(store, open_terms=FORMER_TERMS)
    version = store.objects["e"].version
    late = make_intent("a-1.1.2", {"drain": True})
    store.apply(WriteObject("late", "orders", "e", late, version))
    (send,) = holder.set_goal(1.0, DECODE)
    assert (send.goal, send.term) == (DECODE, 2)
    assert store.objects["e"].value["goal"] == DECODE


def test_engine_briefly_missing_from_the_list_keeps_its_order():
    """A lagging list omits the engine while an order's reply is lost.

    If the controller dropped the order, it would query the engine, learn of no order
    and send another one. Then the first copy would arrive, and the engine would change
    its role twice.
    """
    holder = LeaseHolder(Store(), fencing="ignores")
    (send,) = holder.set_goal(1.0, DECODE)
    holder.run(1.1, holder.controller.set_engines(1.1, []))
    assert holder.fail(1.2, send, sent=True) == []
    assert holder.tick(5.0) == []
    (repeat,) = holder.run(6.0, holder.controller.set_engines(6.0, ["e"]))
    assert isinstance(repeat, SendOrder)
    assert repeat.order_id == send.order_id
    assert holder.answer(6.1, repeat, "running") == []
    (query,) = holder.tick(7.0)
    holder.run(7.1, holder.controller.set_engines(7.1, []))
    (settled,) = holder.answer(7.2, query, "done", send.order_id)
    assert settled.state == "done"
    holder.run(7.3, holder.controller.set_engines(7.3, []))
    assert holder.controller.busy_engines() == set()


def test_order_unknown_after_an_engine_crash_ends_as_failed():
    """An engine restarts during a role change and knows no order afterwards.

    The controller queries it, ends the order as failed, and only then sends the next
    one.
    """
    holder = LeaseHolder(Store())
    (send,) = holder.set_goal(1.0, DECODE)
    holder.answer(1.1, send, "accepted")
    holder.set_goal(1.2, PREFILL)
    (query,) = holder.tick(2.0)
    settled, send = holder.answer(2.1, query, "none", "")
    assert (settled.state, settled.goal) == ("failed", DECODE)
    assert send.goal == PREFILL


def test_expired_lease_stops_orders_at_every_step():
    store = Store()
    holder = LeaseHolder(store)
    holder.valid_until_s = 5.0
    (write,) = holder.controller.set_goal(4.9, "e", DECODE)
    # The host is paused here; the response is handled after the lease has expired.
    assert holder.controller.handle(5.0, store.apply(write)) == []
    assert holder.tick(6.0) == []
    holder.valid_until_s = 100.0
    holder.term = 4
    assert holder.tick(7.0) == [], "a new term begins with on_lease_gained"
    holder.controller.on_lease_lost(7.0)
    assert holder.tick(8.0) == []


def test_new_holder_settles_an_intent_before_its_own_order():
    """A lease holder died between writing an intent and receiving the reply.

    The engine checks fencing numbers and is sent the same order under the new term.
    If the first copy arrives later, it is a repeat of a known id. Otherwise orders
    with two goals could run.
    """
    store = Store({"e": make_intent()})
    holder = LeaseHolder(store, open_terms=FORMER_TERMS)
    (repeat,) = holder.effects
    assert (repeat.order_id, repeat.term, repeat.goal) == ("a-1.1.1", 2, PREFILL)
    assert holder.set_goal(0.1, DECODE) == []
    assert holder.answer(0.2, repeat, "running") == []
    (query,) = holder.tick(1.0)
    settled, send = holder.answer(1.1, query, "done", "a-1.1.1")
    assert settled.order_id == "a-1.1.1"
    assert (send.goal, send.term) == (DECODE, 2)


def test_engine_that_ignores_fencing_gets_no_order_until_old_connections_close():
    """A holder is paused between its check of the lease and its write.

    Its connection was open, so its order could take effect beside that of the new
    holder. The engine closes the connection `order_timeout_s` after it was opened.
    """
    holder = LeaseHolder(
        Store({"e": make_intent()}), fencing="ignores", open_terms=FORMER_TERMS
    )
    assert holder.effects == []
    assert holder.set_goal(0.5, DECODE) == []
    assert holder.tick(2.0) == []
    assert holder.controller.blocking_terms() == FORMER_TERMS
    terms, query = holder.tick(2.1)
    assert terms == TermsClosed((1,))
    assert isinstance(query, QueryOrder)
    settled, send = holder.answer(2.2, query, "none", "")
    assert (settled.order_id, settled.state) == ("a-1.1.1", "failed")
    assert send.goal == DECODE


def test_engine_without_order_timeout_waits_for_an_operator():
    options = {"fencing": "ignores", "timeout_s": None, "open_terms": FORMER_TERMS}
    holder = LeaseHolder(Store(), **options)
    assert holder.set_goal(1.0, DECODE) == []
    assert holder.tick(10_000.0) == []
    holder.valid_until_s = 20_000.0
    assert holder.controller.confirm_holder_dead(10_001.0, 7) == []
    effects = holder.run(10_002.0, holder.controller.confirm_holder_dead(10_002.0, 1))
    assert effects[0] == TermsClosed((1,))
    assert effects[1].goal == DECODE
    released = LeaseHolder(Store(), **options | {"open_terms": ()})
    assert len(released.set_goal(0.1, DECODE)) == 1


def test_own_former_term_needs_no_wait_unless_an_order_is_in_flight():
    open_terms = (OpenTerm(2, "b", "b-1"),)
    for lost in (False, True):
        holder = LeaseHolder(Store(), fencing="ignores", timeout_s=None)
        (send,) = holder.set_goal(1.0, DECODE)
        if lost:
            holder.fail(1.1, send, sent=True)
        else:
            holder.answer(1.1, send, "running")
        holder.term = 3
        holder.controller.on_lease_lost(2.0)
        effects = holder.run(2.0, holder.controller.on_lease_gained(2.0, 3, open_terms))
        assert (TermsClosed((2,)) in effects) == (not lost)
        assert holder.controller.blocking_terms() == (open_terms if lost else ())


def test_platform_outage_means_no_new_orders():
    holder = LeaseHolder(Store())
    (write,) = holder.controller.set_goal(1.0, "e", DECODE)
    for now_s in (2.0, 4.0, 6.0):
        assert holder.controller.handle(now_s, CallFailed(write.tag, sent=True)) == []
        (write,) = holder.controller.tick(now_s + 1.0)
        assert isinstance(write, ReadObject)


def test_lost_response_to_the_intent_sends_one_order():
    for took_effect in (True, False):
        store = Store()
        holder = LeaseHolder(store)
        (write,) = holder.controller.set_goal(1.0, "e", DECODE)
        if took_effect:
            store.apply(write)
        holder.controller.handle(1.1, CallFailed(write.tag, sent=True))
        (send,) = holder.tick(2.0)
        assert send.order_id == store.objects["e"].value["order_id"]
        late = store.apply(write)
        assert isinstance(late, WriteConflict)


def test_lost_response_to_the_outcome_is_resolved_by_reading():
    for took_effect in (True, False):
        store = Store()
        holder = LeaseHolder(store)
        (send,) = holder.set_goal(1.0, DECODE)
        event = OrderReply("e", send.order_id, "done", send.tag)
        (write,) = holder.controller.handle(1.1, event)
        if took_effect:
            store.apply(write)
        holder.controller.handle(1.2, CallFailed(write.tag, sent=True))
        (settled,) = holder.tick(2.0)
        assert settled.state == "done"
        assert store.state() == "done"


def test_late_and_unrelated_replies_are_ignored():
    holder = LeaseHolder(Store())
    (send,) = holder.set_goal(1.0, DECODE)
    late = OrderReply("e", send.order_id, "done", "send:e:other:1")
    assert holder.controller.handle(1.1, late) == []
    holder.answer(1.2, send, "running")
    assert holder.answer(1.3, send, "done") == []
    holder.controller.set_engines(1.4, [])
    assert holder.tick(5.0) == []
