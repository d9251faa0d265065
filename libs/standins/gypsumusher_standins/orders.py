"""The orders that a stand-in engine takes, without input or output."""

from typing import Any, NamedTuple


class OrderRefusal(NamedTuple):
    """Why an order was refused: the code, and the newest term where it is stale."""

    code: str
    term: int


class Order:
    """One order that took effect, and how far it is."""

    def __init__(self, order_id, term, goal):
        self.order_id = order_id
        self.term = term
        self.goal: dict[str, Any] = goal
        self.state = "running"
        self.detail = ""

    def as_json(self):
        """Return the order in the form of the engine's answers."""
        return {
            "order_id": self.order_id,
            "term": self.term,
            "state": self.state,
            "goal": self.goal,
            "detail": self.detail,
        }


class OrderLog:
    """All orders that took effect on one engine.

    Parameters
    ----------
    checks_terms : bool
        Whether an order with an old term is refused.
    """

    def __init__(self, checks_terms):
        self.checks_terms = checks_terms
        self.highest_term = 0
        self.orders = []

    def find(self, order_id):
        """Return the order with an id, or None."""
        for order in self.orders:
            if order.order_id == order_id:
                return order
        return None

    def take(self, order_id, term, goal):
        """Take a new order.

        Returns
        -------
        Order or OrderRefusal
            The order, which is now running, or why it was refused.
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
        """Return the newest order, or the answer that there is none."""
        if not self.orders:
            return {"order_id": "", "term": 0, "state": "none", "goal": None}
        return self.orders[-1].as_json()
