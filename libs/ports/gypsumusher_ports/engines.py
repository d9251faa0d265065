"""Engines' status reports and the outcomes of orders sent to engines."""

from enum import Enum
from typing import NamedTuple

__all__ = ["EngineReport", "OrderOutcome"]


class EngineReport(NamedTuple):
    """Status report of an engine; its content is some tenths of a second old.

    Attributes
    ----------
    stage : {"prefill", "decode"}
        Stage of generation that the engine runs.
    is_busy : bool
        Whether the engine is executing an order.
    order_count : int
        Number of orders that the engine has accepted since its start.
    """

    stage: str
    is_busy: bool
    order_count: int


class OrderOutcome(Enum):
    """Outcome of sending an order once, as far as the response tells."""

    # The engine executes the order, or is already in the state that it asks for.
    ACCEPTED = "accepted"
    # The engine is executing another order, or has accepted others meanwhile.
    CONFLICT = "conflict"
    # The engine won't execute the order.
    REFUSED = "refused"
    # No response came: the engine may have accepted the order, or may do so later.
    UNKNOWN = "unknown"
