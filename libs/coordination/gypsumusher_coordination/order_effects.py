"""Effects that `OrderController` returns and events that it takes from engines."""

from typing import Any, NamedTuple

from gypsumusher_coordination.effects import ReadObject, WriteObject

# States of an intent record on the platform. Engines report the last two as well.
INTENDED = "intended"
DONE = "done"
FAILED = "failed"

# Other states that an engine replies.
ACCEPTED = "accepted"
RUNNING = "running"
BUSY = "busy"
STALE_TERM = "stale_term"
REFUSALS = frozenset({BUSY, STALE_TERM})
ORDER_UNKNOWN_DETAIL = "the engine does not know the order"


class SendOrder(NamedTuple):
    """Effect: send one order to an engine on a new connection.

    The receiver opens the connection, then reads the clock, and writes only if the
    reading is before `not_after_s`. Otherwise it closes the connection and returns
    `OrderCallFailed` with ``sent`` false. Each effect is answered by exactly one event
    with the same tag.

    Parameters
    ----------
    engine, order_id : str
        The engine's name, and the order's id by which the engine detects a repeat.
    term : int
        The fencing number.
    goal : dict
        Target state of the engine, in the form of the engine's interface.
    not_after_s : float
        End of the lease, as a reading of this host's clock in seconds.
    tag : str
        Id of this effect.
    """

    engine: str
    order_id: str
    term: int
    goal: dict[str, Any]
    not_after_s: float
    tag: str


class QueryOrder(NamedTuple):
    """Effect: query the engine's newest order; answered by exactly one event."""

    engine: str
    tag: str


class OrderEnded(NamedTuple):
    """Effect: an order has ended; the engine may be sent another one."""

    engine: str
    order_id: str
    goal: dict[str, Any]
    state: str
    detail: str


class TermsClosed(NamedTuple):
    """Effect: no order of these former terms can arrive; pass it to the lease."""

    terms: tuple[int, ...]


class OrderReply(NamedTuple):
    """Event: the engine replied.

    Parameters
    ----------
    engine, order_id : str
        The engine and the order that the reply is about, empty if it has none.
    state : str
        ``accepted``, ``running``, ``done``, ``failed``, ``none``, or a refusal:
        ``busy``, ``stale_term``.
    tag : str
        The effect's tag.
    detail : str
        Text of the engine, for operators.
    """

    engine: str
    order_id: str
    state: str
    tag: str
    detail: str = ""


class OrderCallFailed(NamedTuple):
    """Event: no usable reply; ``sent`` is false only if no byte was written."""

    engine: str
    order_id: str
    sent: bool
    tag: str


OrderEffect = (
    ReadObject | WriteObject | SendOrder | QueryOrder | OrderEnded | TermsClosed
)
