"""What the order book asks of engines, and what it hears from them."""

from typing import Any, NamedTuple

from gypsumusher_coordination.effects import ReadObject, WriteObject

# States of an intent on the platform; an engine tells the last two as well.
INTENDED = "intended"
DONE = "done"
FAILED = "failed"

# What else an engine answers.
ACCEPTED = "accepted"
RUNNING = "running"
BUSY = "busy"
STALE_TERM = "stale_term"
REFUSALS = frozenset({BUSY, STALE_TERM})
ORDER_UNKNOWN_DETAIL = "the engine does not know the order"


class SendOrder(NamedTuple):
    """Effect: post one order on a connection opened for it alone.

    Open the connection, then read the clock, and write only if it is still before
    `not_after_s`; otherwise close the connection and answer `OrderCallFailed` with
    ``sent`` false. Answer each effect by one event with its tag.

    Parameters
    ----------
    engine, order_id : str
        The engine's name and the order's id, by which the engine knows a repeat.
    term : int
        The fencing number.
    goal : dict
        The engine's goal, as its interface describes it.
    not_after_s : float
        When the lease ends on this host's clock.
    tag : str
        Names this effect.
    """

    engine: str
    order_id: str
    term: int
    goal: dict[str, Any]
    not_after_s: float
    tag: str


class QueryOrder(NamedTuple):
    """Effect: ask the engine for its newest order; answer by one event."""

    engine: str
    tag: str


class OrderEnded(NamedTuple):
    """Effect: an order has ended, and the engine may get another."""

    engine: str
    order_id: str
    goal: dict[str, Any]
    state: str
    detail: str


class TermsClosed(NamedTuple):
    """Effect: orders of these former terms can come no more; tell the lease."""

    terms: tuple[int, ...]


class OrderReply(NamedTuple):
    """Event: the engine answered.

    Parameters
    ----------
    engine, order_id : str
        The engine and the order that it spoke of, empty when it has none.
    state : str
        ``accepted``, ``running``, ``done``, ``failed``, ``none``, or a refusal:
        ``busy``, ``stale_term``.
    tag : str
        The effect's tag.
    detail : str
        The engine's own words, for operators.
    """

    engine: str
    order_id: str
    state: str
    tag: str
    detail: str = ""


class OrderCallFailed(NamedTuple):
    """Event: no usable answer; ``sent`` is false only if no byte was written."""

    engine: str
    order_id: str
    sent: bool
    tag: str


OrderEffect = (
    ReadObject | WriteObject | SendOrder | QueryOrder | OrderEnded | TermsClosed
)
