"""A steward's orders to engines: one unfinished order an engine, settled for sure."""

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
from gypsumusher_coordination.lease import CLOCK_DRIFT, OpenTerm, TermValidity
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
# A role change takes seconds; asking each half second costs an engine next to nothing
# and frees it for new work soon after it is done.
POLL_S = 0.5
RETRY_S = 0.5

# Steps that an engine's order goes through.
READ = "read"
IDLE = "idle"
SETTLE = "settle"
SEND = "send"
POLL = "poll"
CLOSE = "close"


class _Engine:
    """One engine's order and the next step with it."""

    def __init__(self, name: str):
        self.name = name
        self.step = READ
        self.version = 0
        # The unfinished order, or the newest intent whose write is open.
        self.order: dict[str, Any] | None = None
        self.outcome: tuple[str, str] | None = None
        self.wanted: dict[str, Any] | None = None
        self.tag: str | None = None
        self.listed = True
        # Whether the intent was read under this term.
        self.known = False
        self.not_before_s = float("-inf")


class OrderController:
    """Orders of one deployment's steward; passive while the lease is elsewhere.

    Failures guarded against, and why the guards hold:

    * A steward is paused between its check and its write, another takes over, the
      first resumes and its order arrives. The order carries the old term, which an
      engine that refuses old numbers turns away. For engines that ignore numbers
      the new steward waits out ``order_timeout_s`` first: the paused steward's
      connection was opened under its own lease, and the engine closes it by then,
      so that the late write meets a closed connection. Where the engine has no such
      limit, nothing is ordered until each former holder has released its lease or
      an operator has confirmed it dead.
    * A steward dies between an order and its answer. The intent stands on the
      platform before the order goes out, so the next steward finds it and settles it
      with the engine before anything else. An engine that refuses numbers gets the
      same order_id again under the new term: if the first copy ran, the engine
      knows it; if not, the late copy meets an id that is known. One that ignores
      numbers is asked, after the wait, when no copy can be on its way.
    * An answer is lost. The same order_id is sent again, never another one.
    * An engine crashes in the middle. It no longer knows an order that it had
      accepted; the order is settled as failed, and only then may another follow.

    Parameters
    ----------
    deployment : str
        Name of the deployment.
    fencing : str
        ``refuses`` or ``ignores``, as the deployment's setting says.
    order_timeout_s : float or None
        After which the engine closes an orders connection; None for no limit.
    authority : callable
        Returns the lease's `TermValidity` at this moment (`Lease.term_validity`).
    """

    def __init__(
        self,
        deployment: str,
        fencing: str,
        order_timeout_s: float | None,
        authority: Callable[[], TermValidity],
    ):
        self.deployment = deployment
        self.fencing = fencing
        self.order_timeout_s = order_timeout_s
        self.authority = authority
        self.term = 0
        self._open_terms: tuple[OpenTerm, ...] = ()
        self._gained_s = float("-inf")
        self._engines: dict[str, _Engine] = {}
        # Sends of each own term that may still be on their way, by tag.
        self._open_sends: dict[int, set[str]] = {}
        self._calls = 0
        self._orders = 0

    def on_lease_gained(
        self, now_s: float, term: int, previous: Iterable[OpenTerm]
    ) -> list[OrderEffect]:
        """Begin a term: forget what was believed and read the intents anew."""
        self.term = term
        self._gained_s = now_s
        self._open_terms = tuple(previous)
        for name in list(self._engines):
            self._engines[name] = _Engine(name)
        effects = self._settle_own_terms()
        return effects + self.tick(now_s)

    def on_lease_lost(self, now_s: float) -> None:
        """End the term; nothing is written or ordered until the next one."""
        self.term = 0

    def set_fencing(self, fencing: str, order_timeout_s: float | None) -> None:
        """Take changed settings; they hold for the wait that is under way too."""
        self.fencing = fencing
        self.order_timeout_s = order_timeout_s

    def set_engines(self, now_s: float, engines: Iterable[str]) -> list[OrderEffect]:
        """Take the deployment's engines; unfinished orders of new ones are settled.

        An engine that left the list while its order is unfinished is remembered: the
        list lags and flickers, and forgetting a copy that is still on its way would
        let another order go out before it.
        """
        names = set(engines)
        for name, state in sorted(self._engines.items()):
            state.listed = name in names
            if not state.listed and state.order is None and state.tag is None:
                del self._engines[name]
        for name in sorted(names - set(self._engines)):
            self._engines[name] = _Engine(name)
        return self.tick(now_s)

    def set_goal(
        self, now_s: float, engine: str, goal: dict[str, Any]
    ) -> list[OrderEffect]:
        """Ask for a goal; it replaces an earlier one that was not yet ordered."""
        state = self._engines.setdefault(engine, _Engine(engine))
        if self._is_under_way(state, goal):
            state.wanted = None
            return []
        state.wanted = goal
        return self._advance(now_s, state)

    def confirm_holder_dead(self, now_s: float, term: int) -> list[OrderEffect]:
        """Take an operator's word that the holder of a former term is dead."""
        if all(open_term.term != term for open_term in self._open_terms):
            return []
        return self._settle_terms((term,)) + self.tick(now_s)

    def blocking_terms(self) -> tuple[OpenTerm, ...]:
        """Return the former terms that hold orders back, for operators."""
        return () if self.fencing == REFUSES else self._open_terms

    def busy_engines(self) -> set[str]:
        """Return the engines with an unfinished order, or one not yet known."""
        return {
            name
            for name, state in self._engines.items()
            if state.step != IDLE or state.wanted is not None
        }

    def has_orders_in_flight(self) -> bool:
        """Return whether an order may be on its way; then don't release the lease."""
        return bool(self._open_sends.get(self.term))

    def tick(self, now_s: float) -> list[OrderEffect]:
        """Go on with every engine that is due."""
        effects = self._settle_waited_out(now_s)
        for name in sorted(self._engines):
            effects.extend(self._advance(now_s, self._engines[name]))
        return effects

    def handle(
        self, now_s: float, event: CallEvent | OrderReply | OrderCallFailed
    ) -> list[OrderEffect]:
        """Take an answer of the platform or of an engine."""
        self._note_send(event)
        for state in self._engines.values():
            if state.tag != event.tag:
                continue
            state.tag = None
            if isinstance(event, OrderReply):
                effects = self._on_answer(now_s, state, event)
            elif isinstance(event, OrderCallFailed):
                effects = self._on_order_failed(now_s, state)
            else:
                effects = self._on_platform(now_s, state, event)
            return effects + self._advance(now_s, state)
        return []

    # Lease and former terms

    def _may_act(self, now_s: float) -> bool:
        """Return whether the lease holds now, under the term that this book is at."""
        authority = self.authority()
        if self.term == 0 or authority.term != self.term:
            return False
        return now_s < authority.valid_until_s

    def _is_ready(self) -> bool:
        """Return whether no former steward's order can arrive and take effect."""
        return self.fencing == REFUSES or not self._open_terms

    def _settle_waited_out(self, now_s: float) -> list[OrderEffect]:
        if not self._open_terms or self.order_timeout_s is None:
            return []
        wait_s = self.order_timeout_s * (1.0 + CLOCK_DRIFT)
        # Every former lease had ended when ours was gained, so that each former
        # connection is older than that.
        if self.term == 0 or now_s < self._gained_s + wait_s:
            return []
        return self._settle_terms(tuple(term.term for term in self._open_terms))

    def _settle_own_terms(self) -> list[OrderEffect]:
        """Drop own former terms with no order on its way: this process knows."""
        incarnation = self.authority().incarnation
        clean = tuple(
            open_term.term
            for open_term in self._open_terms
            if open_term.incarnation == incarnation
            and not any(self._open_sends.values())
        )
        return self._settle_terms(clean) if clean else []

    def _settle_terms(self, terms: tuple[int, ...]) -> list[OrderEffect]:
        self._open_terms = tuple(
            open_term for open_term in self._open_terms if open_term.term not in terms
        )
        return [TermsClosed(terms)]

    def _note_send(self, event: Any) -> None:
        """Forget a send that was answered, or of which no byte was written.

        A send of unknown outcome is forgotten once the engine has taken a later one
        of the same order: from then on a late copy is a repeat to it. A refusal
        leaves it open, as the engine does not know the order.
        """
        is_answer = isinstance(event, OrderReply)
        if not is_answer and not (
            isinstance(event, OrderCallFailed) and not event.sent
        ):
            return
        for sends in self._open_sends.values():
            if event.tag not in sends:
                continue
            sends.discard(event.tag)
            if is_answer and event.state not in REFUSALS:
                prefix = _send_prefix(event.engine, event.order_id)
                sends.difference_update(
                    [tag for tag in sends if tag.startswith(prefix)]
                )

    # One engine's steps

    def _advance(self, now_s: float, state: _Engine) -> list[OrderEffect]:
        if state.tag is not None or now_s < state.not_before_s:
            return []
        if not self._may_act(now_s):
            return []
        if not state.listed and state.step in {IDLE, SETTLE, SEND, POLL}:
            return []
        if state.step == READ:
            return [ReadObject(self._tag(state), ORDER_KIND, state.name)]
        # A former steward's order may still arrive: nothing about this engine is
        # settled before it can't.
        if not self._is_ready():
            return []
        if state.step == IDLE:
            return self._write_intent(state)
        if state.step == SETTLE:
            return self._settle(state)
        if state.step == SEND:
            return [self._send(state)]
        if state.step == POLL:
            return [QueryOrder(state.name, self._tag(state))]
        return self._write_outcome(state)

    def _write_intent(self, state: _Engine) -> list[OrderEffect]:
        if state.wanted is None:
            return []
        self._orders += 1
        incarnation = self.authority().incarnation
        state.order = {
            "order_id": f"{incarnation}.{self.term}.{self._orders}",
            "term": self.term,
            "goal": state.wanted,
            "state": INTENDED,
            "detail": "",
        }
        state.outcome = None
        state.wanted = None
        return [self._write(state, dict(state.order))]

    def _settle(self, state: _Engine) -> list[OrderEffect]:
        """Find out about an order whose fate this steward does not know."""
        if self.fencing == REFUSES:
            return [self._send(state)]
        return [QueryOrder(state.name, self._tag(state))]

    def _send(self, state: _Engine) -> SendOrder:
        order = state.order
        self._calls += 1
        state.tag = _send_prefix(state.name, order["order_id"]) + str(self._calls)
        self._open_sends.setdefault(self.term, set()).add(state.tag)
        return SendOrder(
            state.name,
            order["order_id"],
            self.term,
            order["goal"],
            self.authority().valid_until_s,
            state.tag,
        )

    def _write_outcome(self, state: _Engine) -> list[OrderEffect]:
        ended, detail = state.outcome
        return [self._write(state, {**state.order, "state": ended, "detail": detail})]

    def _write(self, state: _Engine, value: dict[str, Any]) -> WriteObject:
        tag = self._tag(state)
        return WriteObject(tag, ORDER_KIND, state.name, value, state.version)

    def _on_platform(
        self, now_s: float, state: _Engine, event: CallEvent
    ) -> list[OrderEffect]:
        if isinstance(event, WriteDone):
            state.version = event.version
            return self._on_written(state)
        if isinstance(event, ReadDone):
            return self._on_read(state, event.stored)
        if isinstance(event, CallFailed) and not event.sent and state.step == CLOSE:
            state.not_before_s = now_s + RETRY_S
            return []
        # A lost answer, or another version stands: reading tells which.
        state.step = READ
        if isinstance(event, CallFailed):
            state.not_before_s = now_s + RETRY_S
        return []

    def _on_written(self, state: _Engine) -> list[OrderEffect]:
        if state.step == CLOSE:
            return self._on_closed(state)
        state.step = SEND
        return []

    def _on_read(
        self, state: _Engine, stored: StoredObject | None
    ) -> list[OrderEffect]:
        """Go on from the intent that stands on the platform."""
        state.version = 0 if stored is None else stored.version
        intent = None if stored is None else stored.value
        own = state.order
        if own is not None and intent is not None:
            if intent["order_id"] == own["order_id"]:
                return self._on_own_intent(state, intent)
        if own is not None and state.outcome is None and state.wanted is None:
            # The intent did not arrive, so the order never went out.
            state.wanted = own["goal"]
        state.order = None
        is_open = intent is not None and intent["state"] == INTENDED
        # An order goes out only after its intent stands, and under a valid lease. An
        # intent that came after this term's first read was written by a steward that
        # had lost its lease, or is an own write that was given up: it was not sent
        # and never will be, so it is written over and not carried out.
        is_void = state.known
        state.known = True
        if not is_open or is_void:
            state.step = IDLE
            return []
        state.order = intent
        state.outcome = None
        state.step = SETTLE
        return []

    def _on_own_intent(self, state: _Engine, intent: dict) -> list[OrderEffect]:
        if intent["state"] != INTENDED:
            return self._on_closed(state)
        state.step = SEND if state.outcome is None else CLOSE
        return []

    def _on_closed(self, state: _Engine) -> list[OrderEffect]:
        order = state.order
        ended, detail = state.outcome or (FAILED, "")
        state.order = None
        state.step = IDLE
        return [OrderEnded(state.name, order["order_id"], order["goal"], ended, detail)]

    def _on_answer(
        self, now_s: float, state: _Engine, answer: OrderReply
    ) -> list[OrderEffect]:
        state.not_before_s = now_s + POLL_S
        order = state.order
        if answer.state in REFUSALS:
            # Nothing of this copy ran; the same order is sent again later.
            return []
        if answer.order_id != order["order_id"]:
            return self._on_unknown_to_engine(state, answer)
        if answer.state in {ACCEPTED, RUNNING}:
            state.step = POLL
            return []
        return self._end(state, answer.state, answer.detail)

    def _on_unknown_to_engine(
        self, state: _Engine, answer: OrderReply
    ) -> list[OrderEffect]:
        """Take a query's answer that speaks of another order or of none."""
        if answer.state == RUNNING:
            return []
        return self._end(state, FAILED, ORDER_UNKNOWN_DETAIL)

    def _end(self, state: _Engine, ended: str, detail: str) -> list[OrderEffect]:
        state.outcome = (ended, detail)
        state.step = CLOSE
        state.not_before_s = float("-inf")
        return []

    def _on_order_failed(self, now_s: float, state: _Engine) -> list[OrderEffect]:
        state.not_before_s = now_s + RETRY_S
        return []

    def _is_under_way(self, state: _Engine, goal: dict[str, Any]) -> bool:
        if state.order is None or state.outcome is not None:
            return False
        return state.order["goal"] == goal

    def _tag(self, state: _Engine) -> str:
        self._calls += 1
        state.tag = f"orders:{state.name}:{self._calls}"
        return state.tag


def _send_prefix(engine: str, order_id: str) -> str:
    return f"send:{engine}:{order_id}:"
