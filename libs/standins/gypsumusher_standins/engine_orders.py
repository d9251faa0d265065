"""The order calls of a stand-in engine, and the carrying out of an order."""

import asyncio

from aiohttp import web

from gypsumusher_standins.orders import Order
from gypsumusher_standins.serving import close_connection

IDLE_POLL_S = 0.005
ADAPTER_LOAD_S = 0.05
ROLES = {"prefill", "decode", "mixed"}


async def carry_out(state, order):
    """Carry out an order that was taken, and note its end."""
    goal = order.goal
    if "drain" in goal:
        state.draining = bool(goal["drain"])
        order.state = "done"
        return
    if "adapter" in goal:
        await asyncio.sleep(ADAPTER_LOAD_S)
        finish_load(state, order)
        return
    # No new work is taken from here on, and what was accepted runs to its end.
    state.changing = True
    while not state.batch.is_idle():
        await asyncio.sleep(IDLE_POLL_S)
    if "role" in goal:
        await asyncio.sleep(state.options.role_change_s)
        state.role = goal["role"]
        order.state = "done"
    else:
        await asyncio.sleep(state.options.model_load_s)
        finish_load(state, order)
    state.changing = False


def finish_load(state, order):
    """Put what was loaded into service, unless the weight store failed."""
    if state.settings["weight_store_fail"]:
        order.state = "failed"
        order.detail = "weight store"
        return
    if "adapter" in order.goal:
        state.adapters.append(order.goal["adapter"])
    else:
        state.model = order.goal["model"]
        state.model_version = str(order.goal["version"])
    order.state = "done"


def is_goal(goal):
    """Return whether a goal is one that the engine knows."""
    if not isinstance(goal, dict):
        return False
    if "role" in goal:
        return goal["role"] in ROLES
    if "model" in goal:
        return "version" in goal
    return "adapter" in goal or "drain" in goal


class OrderCalls:
    """The handlers of ``/orders``, with the limit on open connections.

    Parameters
    ----------
    state : EngineState
        The engine.
    connections : Connections
        When each connection was opened.
    """

    def __init__(self, state, connections):
        self.state = state
        self.connections = connections
        self.tasks = set()
        connections.on_open = self.limit_connection

    def limit_connection(self, handler):
        """Close a connection at its limit, unless it serves other calls."""
        loop = asyncio.get_running_loop()
        loop.call_later(self.state.options.order_timeout_s, self._end, handler)

    def _end(self, handler):
        if self.connections.used_for.get(handler) == "other":
            return
        if handler.transport is not None:
            handler.transport.abort()

    def is_expired(self, request):
        """Return whether a connection is older than the limit for orders.

        The event loop may read a late order before it runs the timer that closes the
        connection, for instance after the whole machine stood still. The order's own
        handler therefore looks at the age as well.
        """
        limit_s = self.state.options.order_timeout_s
        return self.connections.age_s(request) >= limit_s

    async def get(self, request):
        """Answer ``GET /orders``."""
        self.connections.used_for[request.protocol] = "orders"
        if self.is_expired(request):
            return close_connection(request)
        if self.state.settings["hang_orders"]:
            await asyncio.sleep(self.state.options.order_timeout_s)
            return close_connection(request)
        return web.json_response(self.state.orders.last_as_json())

    async def post(self, request):
        """Answer ``POST /orders``."""
        self.connections.used_for[request.protocol] = "orders"
        try:
            body = await request.json()
            order_id, term = str(body["order_id"]), int(body["term"])
            goal = body["goal"]
        except (ValueError, KeyError, TypeError):
            return web.json_response({"error": {"code": "malformed"}}, status=400)
        if self.is_expired(request):
            return close_connection(request)
        if not is_goal(goal):
            return web.json_response({"error": {"code": "malformed"}}, status=400)
        if self.state.settings["hang_orders"]:
            await asyncio.sleep(self.state.options.order_timeout_s)
            return close_connection(request)
        return self._take(request, order_id, term, goal)

    def _take(self, request, order_id, term, goal):
        log = self.state.orders
        known = log.find(order_id)
        if known is not None:
            return web.json_response(known.as_json())
        taken = log.take(order_id, term, goal)
        if not isinstance(taken, Order):
            error = {"code": taken.code, "term": taken.term}
            return web.json_response({"error": error}, status=409)
        task = asyncio.get_running_loop().create_task(carry_out(self.state, taken))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if self.state.spend("lose_order_answers"):
            return close_connection(request)
        answer = {"order_id": order_id, "state": "accepted"}
        return web.json_response(answer, status=202)
