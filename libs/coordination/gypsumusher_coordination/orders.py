"""Orders of a lease holder to engines, with at most one unfinished order per engine."""

from collections.abc import Callable, Iterable
from typing import Any

from gypsumusher_coordination.effects import (
    CallEvent,
    CallFailed,
    ReadDone,
    ReadObject,
    StoredObject,
    WriteDone,
    WriteObject,
)
from gypsumusher_coordination.lease import CLOCK_DRIFT_FRACTION, OpenTerm, TermValidity
from gypsumusher_coordination.order_effects import (
    ACCEPTED,
    FAILED,
    INTENDED,
    ORDER_UNKNOWN_DETAIL,
    REFUSALS,
    RUNNING,
    OrderCallFailed,
    OrderEffect,
    OrderEnded,
    OrderReply,
    QueryOrder,
    SendOrder,
    TermsClosed,
)

ORDER_KIND = "orders"
REFUSES = "refuses"
# A role change takes seconds. Polling every half second is a negligible load for the
# engine and makes it available soon after the change.
POLL_INTERVAL_S = 0.5
RETRY_DELAY_S = 0.5

# Steps of an engine's order. READ reads the intent record, SETTLE finds out about an
# unfinished order of an earlier term, CLOSE writes the outcome to the intent record.
READ = "read"
IDLE = "idle"
SETTLE = "settle"
SEND = "send"
POLL = "poll"
CLOSE = "close"


class _EngineState:
    """State of one engine's order."""

    def __init__(self, name: str):
        self.name = name
        self.step = READ
        self.version = 0
        # The unfinished order, or the newest intent whose write is in flight.
        self.order: dict[str, Any] | None = None
        self.outcome: tuple[str, str] | None = None
        self.pending_goal: dict[str, Any] | None = None
        self.tag: str | None = None
        self.is_listed = True
        # Whether the intent record has been read in this term.
        self.is_intent_read = False
        self.not_before_s = float("-inf")


class OrderController:
    """Sends a deployment's orders to its engines while this host holds the lease.

    Failures that it handles:

    * A lease holder is paused between its check of the lease and its write, another
      host takes over, and the delayed order arrives after the first host resumes. An
      engine that checks fencing numbers refuses the order by its old term. For engines
      that ignore fencing numbers the new holder first waits for ``order_timeout_s``.
      The paused host opened its connection under its own lease and the engine closes
      it within that time, so the delayed write fails. If the engine has no such
      timeout, no order is sent until each former holder has released its lease or an
      operator has confirmed that it is dead.
    * A lease holder dies between sending an order and receiving the reply. The intent
      record is written to the platform before the order is sent, so the next holder
      finds it and settles that order with the engine first. An engine that checks
      fencing numbers is sent the same order_id again under the new term. If the first
      copy ran, the engine recognises the repeat; if the first copy arrives later, the
      engine recognises that as the repeat. An engine that ignores fencing numbers is
      queried after the wait, when no copy can be in flight.
    * A reply is lost. The same order_id is sent again, never a new one.
    * An engine crashes during an order and no longer knows it. The order ends as
      failed before another one is sent.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    fencing : str
        Whether engines refuse or ignore old fencing numbers: the deployment's setting
        ``fencing``, ``refuses`` or ``ignores``.
    order_timeout_s : float or None
        Time in seconds after which the engine closes a connection for orders; None
        for no timeout.
    term_validity : callable
        Returns the lease's current `TermValidity` (`Lease.term_validity`).
    """

    def __init__(
        self,
        deployment: str,
        fencing: str,
        order_timeout_s: float | None,
        term_validity: Callable[[], TermValidity],
    ):
        self.deployment = deployment
        self.fencing = fencing
        self.order_timeout_s = order_timeout_s
        self.term_validity = term_validity
        self.term = 0
        self._open_terms: tuple[OpenTerm, ...] = ()
        self._gained_s = float("-inf")
        self._engines: dict[str, _EngineState] = {}
        # Tags of the sends that may still be in flight, by this host's term.
        self._sends_in_flight: dict[int, set[str]] = {}
        self._call_count = 0
        self._order_count = 0

    def on_lease_gained(
        self, now_s: float, term: int, open_terms: Iterable[OpenTerm]
    ) -> list[OrderEffect]:
        """Start a term: discard cached states and read all intent records."""
        self.term = term
        self._gained_s = now_s
        self._open_terms = tuple(open_terms)
        for name in list(self._engines):
            self._engines[name] = _EngineState(name)
        effects = self._close_own_terms()
        return effects + self.tick(now_s)

    def on_lease_lost(self, now_s: float) -> None:
        """End the term; nothing is written or sent until the next one starts."""
        self.term = 0

    def set_fencing(self, fencing: str, order_timeout_s: float | None) -> None:
        """Apply changed settings, also to a wait that has already started."""
        self.fencing = fencing
        self.order_timeout_s = order_timeout_s

    def set_engines(self, now_s: float, engines: Iterable[str]) -> list[OrderEffect]:
        """Set the deployment's engines; unfinished orders of new ones are settled.

        An engine that disappears from the list during an order is kept, because the
        list lags and may omit an engine for a moment. If the engine were dropped,
        another order could be sent before a copy that is still in flight arrives.
        """
        names = set(engines)
        for name, state in sorted(self._engines.items()):
            state.is_listed = name in names
            if not state.is_listed and state.order is None and state.tag is None:
                del self._engines[name]
        for name in sorted(names - set(self._engines)):
            self._engines[name] = _EngineState(name)
        return self.tick(now_s)

    def set_goal(
        self, now_s: float, engine: str, goal: dict[str, Any]
    ) -> list[OrderEffect]:
        """Set an engine's target state; replaces one that was not yet ordered."""
        state = self._engines.setdefault(engine, _EngineState(engine))
        if self._is_ordered(state, goal):
            state.pending_goal = None
            return []
        state.pending_goal = goal
        return self._advance(now_s, state)

    def confirm_holder_dead(self, now_s: float, term: int) -> list[OrderEffect]:
        """Close a former term whose holder an operator has confirmed dead."""
        if all(open_term.term != term for open_term in self._open_terms):
            return []
        return self._close_terms((term,)) + self.tick(now_s)

    def blocking_terms(self) -> tuple[OpenTerm, ...]:
        """Return the former terms that block new orders, for operators."""
        return () if self.fencing == REFUSES else self._open_terms

    def busy_engines(self) -> set[str]:
        """Return the engines with an unfinished, pending or not yet read order."""
        return {
            name
            for name, state in self._engines.items()
            if state.step != IDLE or state.pending_goal is not None
        }

    def has_orders_in_flight(self) -> bool:
        """Return whether an order may be in flight; the lease must be kept then."""
        return bool(self._sends_in_flight.get(self.term))

    def tick(self, now_s: float) -> list[OrderEffect]:
        """Perform the next step for every engine that is due."""
        effects = self._close_expired_terms(now_s)
        for name in sorted(self._engines):
            effects.extend(self._advance(now_s, self._engines[name]))
        return effects

    def handle(
        self, now_s: float, event: CallEvent | OrderReply | OrderCallFailed
    ) -> list[OrderEffect]:
        """Handle an event of the platform or of an engine."""
        self._remove_answered_send(event)
        for state in self._engines.values():
            if state.tag != event.tag:
                continue
            state.tag = None
            if isinstance(event, OrderReply):
                effects = self._on_reply(now_s, state, event)
            elif isinstance(event, OrderCallFailed):
                effects = self._on_call_failed(now_s, state)
            else:
                effects = self._on_store_event(now_s, state, event)
            return effects + self._advance(now_s, state)
        return []

    # Validity of the lease, former terms

    def _holds_lease(self, now_s: float) -> bool:
        """Return whether this host holds the lease in the current term."""
        validity = self.term_validity()
        if self.term == 0 or validity.term != self.term:
            return False
        return now_s < validity.valid_until_s

    def _may_order(self) -> bool:
        """Return whether no order of a former holder can still take effect."""
        return self.fencing == REFUSES or not self._open_terms

    def _close_expired_terms(self, now_s: float) -> list[OrderEffect]:
        if not self._open_terms or self.order_timeout_s is None:
            return []
        wait_s = self.order_timeout_s * (1.0 + CLOCK_DRIFT_FRACTION)
        # Every former lease had expired when this host gained its own, so each former
        # connection was opened before that.
        if self.term == 0 or now_s < self._gained_s + wait_s:
            return []
        return self._close_terms(tuple(term.term for term in self._open_terms))

    def _close_own_terms(self) -> list[OrderEffect]:
        """Close this process's former terms if none of its orders is in flight."""
        incarnation = self.term_validity().incarnation
        closed_terms = tuple(
            open_term.term
            for open_term in self._open_terms
            if open_term.incarnation == incarnation
            and not any(self._sends_in_flight.values())
        )
        return self._close_terms(closed_terms) if closed_terms else []

    def _close_terms(self, terms: tuple[int, ...]) -> list[OrderEffect]:
        self._open_terms = tuple(
            open_term for open_term in self._open_terms if open_term.term not in terms
        )
        return [TermsClosed(terms)]

    def _remove_answered_send(self, event: Any) -> None:
        """Remove a send from those in flight if it was answered or never written.

        A send with an unknown outcome is removed once the engine has accepted a later
        send of the same order, because a late copy is a repeat from then on. After a
        refusal it stays, because the engine doesn't know the order.
        """
        is_reply = isinstance(event, OrderReply)
        if not is_reply and not (isinstance(event, OrderCallFailed) and not event.sent):
            return
        for sends in self._sends_in_flight.values():
            if event.tag not in sends:
                continue
            sends.discard(event.tag)
            if is_reply and event.state not in REFUSALS:
                prefix = _send_prefix(event.engine, event.order_id)
                sends.difference_update(
                    [tag for tag in sends if tag.startswith(prefix)]
                )

    # Steps of one engine

    def _advance(self, now_s: float, state: _EngineState) -> list[OrderEffect]:
        if state.tag is not None or now_s < state.not_before_s:
            return []
        if not self._holds_lease(now_s):
            return []
        if not state.is_listed and state.step in {IDLE, SETTLE, SEND, POLL}:
            return []
        if state.step == READ:
            return [ReadObject(self._next_tag(state), ORDER_KIND, state.name)]
        # Nothing is sent to or queried from an engine while an order of a former holder
        # may still arrive.
        if not self._may_order():
            return []
        if state.step == IDLE:
            return self._write_intent(state)
        if state.step == SETTLE:
            return self._settle_unknown_order(state)
        if state.step == SEND:
            return [self._send(state)]
        if state.step == POLL:
            return [QueryOrder(state.name, self._next_tag(state))]
        return self._write_outcome(state)

    def _write_intent(self, state: _EngineState) -> list[OrderEffect]:
        if state.pending_goal is None:
            return []
        self._order_count += 1
        incarnation = self.term_validity().incarnation
        state.order = {
            "order_id": f"{incarnation}.{self.term}.{self._order_count}",
            "term": self.term,
            "goal": state.pending_goal,
            "state": INTENDED,
            "detail": "",
        }
        state.outcome = None
        state.pending_goal = None
        return [self._write(state, dict(state.order))]

    def _settle_unknown_order(self, state: _EngineState) -> list[OrderEffect]:
        """Send or query an order of a former term to learn its outcome."""
        if self.fencing == REFUSES:
            return [self._send(state)]
        return [QueryOrder(state.name, self._next_tag(state))]

    def _send(self, state: _EngineState) -> SendOrder:
        order = state.order
        self._call_count += 1
        state.tag = _send_prefix(state.name, order["order_id"]) + str(self._call_count)
        self._sends_in_flight.setdefault(self.term, set()).add(state.tag)
        return SendOrder(
            state.name,
            order["order_id"],
            self.term,
            order["goal"],
            self.term_validity().valid_until_s,
            state.tag,
        )

    def _write_outcome(self, state: _EngineState) -> list[OrderEffect]:
        end_state, detail = state.outcome
        return [
            self._write(state, {**state.order, "state": end_state, "detail": detail})
        ]

    def _write(self, state: _EngineState, value: dict[str, Any]) -> WriteObject:
        tag = self._next_tag(state)
        return WriteObject(tag, ORDER_KIND, state.name, value, state.version)

    def _on_store_event(
        self, now_s: float, state: _EngineState, event: CallEvent
    ) -> list[OrderEffect]:
        if isinstance(event, WriteDone):
            state.version = event.version
            return self._on_written(state)
        if isinstance(event, ReadDone):
            return self._on_read(state, event.stored)
        if isinstance(event, CallFailed) and not event.sent and state.step == CLOSE:
            state.not_before_s = now_s + RETRY_DELAY_S
            return []
        # The response was lost or the version differed; the read shows which.
        state.step = READ
        if isinstance(event, CallFailed):
            state.not_before_s = now_s + RETRY_DELAY_S
        return []

    def _on_written(self, state: _EngineState) -> list[OrderEffect]:
        if state.step == CLOSE:
            return self._on_outcome_written(state)
        state.step = SEND
        return []

    def _on_read(
        self, state: _EngineState, stored: StoredObject | None
    ) -> list[OrderEffect]:
        """Continue from the intent record on the platform."""
        state.version = 0 if stored is None else stored.version
        intent = None if stored is None else stored.value
        own_order = state.order
        if own_order is not None and intent is not None:
            if intent["order_id"] == own_order["order_id"]:
                return self._on_own_intent(state, intent)
        if (
            own_order is not None
            and state.outcome is None
            and state.pending_goal is None
        ):
            # The intent was not written, so the order was never sent.
            state.pending_goal = own_order["goal"]
        state.order = None
        is_open = intent is not None and intent["state"] == INTENDED
        # An order is sent only after its intent is written and under a valid lease. An
        # intent that appeared after this term's first read was written by a host that
        # had lost its lease, or by an abandoned write of this host. Its order was not
        # sent and never will be, so the intent is overwritten and not executed.
        is_void = state.is_intent_read
        state.is_intent_read = True
        if not is_open or is_void:
            state.step = IDLE
            return []
        state.order = intent
        state.outcome = None
        state.step = SETTLE
        return []

    def _on_own_intent(self, state: _EngineState, intent: dict) -> list[OrderEffect]:
        if intent["state"] != INTENDED:
            return self._on_outcome_written(state)
        state.step = SEND if state.outcome is None else CLOSE
        return []

    def _on_outcome_written(self, state: _EngineState) -> list[OrderEffect]:
        order = state.order
        end_state, detail = state.outcome or (FAILED, "")
        state.order = None
        state.step = IDLE
        return [
            OrderEnded(state.name, order["order_id"], order["goal"], end_state, detail)
        ]

    def _on_reply(
        self, now_s: float, state: _EngineState, reply: OrderReply
    ) -> list[OrderEffect]:
        state.not_before_s = now_s + POLL_INTERVAL_S
        order = state.order
        if reply.state in REFUSALS:
            # This copy was not executed; the same order is sent again later.
            return []
        if reply.order_id != order["order_id"]:
            return self._on_other_order(state, reply)
        if reply.state in {ACCEPTED, RUNNING}:
            state.step = POLL
            return []
        return self._set_outcome(state, reply.state, reply.detail)

    def _on_other_order(
        self, state: _EngineState, reply: OrderReply
    ) -> list[OrderEffect]:
        """Handle a query reply about another order or none."""
        if reply.state == RUNNING:
            return []
        return self._set_outcome(state, FAILED, ORDER_UNKNOWN_DETAIL)

    def _set_outcome(
        self, state: _EngineState, end_state: str, detail: str
    ) -> list[OrderEffect]:
        state.outcome = (end_state, detail)
        state.step = CLOSE
        state.not_before_s = float("-inf")
        return []

    def _on_call_failed(self, now_s: float, state: _EngineState) -> list[OrderEffect]:
        state.not_before_s = now_s + RETRY_DELAY_S
        return []

    def _is_ordered(self, state: _EngineState, goal: dict[str, Any]) -> bool:
        if state.order is None or state.outcome is not None:
            return False
        return state.order["goal"] == goal

    def _next_tag(self, state: _EngineState) -> str:
        self._call_count += 1
        state.tag = f"orders:{state.name}:{self._call_count}"
        return state.tag


def _send_prefix(engine: str, order_id: str) -> str:
    return f"send:{engine}:{order_id}:"
