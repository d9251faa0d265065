"""Orders of a stand-in engine: which ones it accepts and their state; does no I/O.

An order asks an engine to change its role, model, adapters or drain state. The term of
an order is the fencing token of the lease under which its sender acts.
"""

from typing import Any, NamedTuple


class OrderRefusal(NamedTuple):
    """Refusal of an order: the error code and the highest term received so far."""

    code: str
    term: int


class Order:
    """One accepted order and its state: running, done or failed."""

    def __init__(self, order_id, term, goal):
        self.order_id = order_id
        self.term = term
        self.goal: dict[str, Any] = goal
        self.state = "running"
        self.detail = ""

    def as_json(self):
        """Return the order as the engine's responses show it."""
        return {
            "order_id": self.order_id,
            "term": self.term,
            "state": self.state,
            "goal": self.goal,
            "detail": self.detail,
        }


class OrderLog:
    """All orders that one engine has accepted, oldest first.

    Parameters
    ----------
    checks_terms : bool
        Whether an order with a term below the highest one received is refused.
    """

    def __init__(self, checks_terms):
        self.checks_terms = checks_terms
        self.highest_term = 0
        self.orders = []

    def find(self, order_id):
        """Return the order with the given id, or None."""
        for order in self.orders:
            if order.order_id == order_id:
                return order
        return None

    def accept(self, order_id, term, goal):
        """Accept or refuse a new order.

        Returns
        -------
        Order or OrderRefusal
            The order, whose state is now running, or the refusal: ``stale_term``, or
            ``busy`` while the previous order is running.
        """
        if self.checks_terms and term < self.highest_term:
            return OrderRefusal("stale_term", self.highest_term)
        self.highest_term = max(self.highest_term, term)
        if self.orders and self.orders[-1].state == "running":
            return OrderRefusal("busy", self.highest_term)
        order = Order(order_id, term, goal)
        self.orders.append(order)
        return order

    def last_as_json(self):
        """Return the newest order as in responses; state ``none`` if there is none."""
        if not self.orders:
            return {"order_id": "", "term": 0, "state": "none", "goal": None}
        return self.orders[-1].as_json()
