"""HTTP handlers for the orders of a stand-in engine, and their execution."""

import asyncio

from aiohttp import web

from gypsumusher_standins.orders import Order
from gypsumusher_standins.serving import abort_connection

# Interval of the checks whether all accepted requests have finished.
IDLE_POLL_S = 0.005
# Simulated time to load an adapter.
ADAPTER_LOAD_S = 0.05
ROLES = {"prefill", "decode", "mixed"}


async def execute_order(state, order):
    """Execute an accepted order and set its final state."""
    goal = order.goal
    if "drain" in goal:
        state.draining = bool(goal["drain"])
        order.state = "done"
        return
    if "adapter" in goal:
        await asyncio.sleep(ADAPTER_LOAD_S)
        complete_load(state, order)
        return
    # The engine refuses new requests while it is reconfiguring; the requests that it
    # has accepted run to their end first.
    state.reconfiguring = True
    while not state.scheduler.is_idle():
        await asyncio.sleep(IDLE_POLL_S)
    if "role" in goal:
        await asyncio.sleep(state.options.role_change_s)
        state.role = goal["role"]
        order.state = "done"
    else:
        await asyncio.sleep(state.options.model_load_s)
        complete_load(state, order)
    state.reconfiguring = False


def complete_load(state, order):
    """Activate the loaded model or adapter, or fail if the weight store fails."""
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


def is_valid_goal(goal):
    """Return whether a goal asks for a change that the engine supports."""
    if not isinstance(goal, dict):
        return False
    if "role" in goal:
        return goal["role"] in ROLES
    if "model" in goal:
        return "version" in goal
    return "adapter" in goal or "drain" in goal


class OrderHandlers:
    """Handlers of ``/orders``, with the age limit on their connections.

    An order that arrives on a connection older than ``--order-timeout-s`` is not
    executed. A sender that was suspended after it opened the connection can't have a
    stale order executed, even on an engine that doesn't check terms.

    Parameters
    ----------
    state : EngineState
        State of the engine.
    connections : ConnectionTracker
        Tracker of the engine's connections.
    """

    def __init__(self, state, connections):
        self.state = state
        self.connections = connections
        self.tasks = set()
        connections.on_open = self.schedule_close

    def schedule_close(self, protocol):
        """Close a connection at the age limit, unless it then serves other calls."""
        loop = asyncio.get_running_loop()
        loop.call_later(
            self.state.options.order_timeout_s,
            self._close_unless_for_other_calls,
            protocol,
        )

    def _close_unless_for_other_calls(self, protocol):
        if self.connections.purposes.get(protocol) == "other":
            return
        if protocol.transport is not None:
            protocol.transport.abort()

    def is_expired(self, request):
        """Return whether the request's connection has reached the age limit.

        The event loop may read a late order before it runs the timer that closes the
        connection, for instance after the whole machine was suspended. The handlers
        therefore check the age as well.
        """
        limit_s = self.state.options.order_timeout_s
        return self.connections.age_s(request) >= limit_s

    async def get(self, request):
        """Handle ``GET /orders``: return the newest order."""
        self.connections.purposes[request.protocol] = "orders"
        if self.is_expired(request):
            return abort_connection(request)
        if self.state.settings["hang_orders"]:
            await asyncio.sleep(self.state.options.order_timeout_s)
            return abort_connection(request)
        return web.json_response(self.state.orders.last_as_json())

    async def post(self, request):
        """Handle ``POST /orders``: accept an order and start its execution."""
        self.connections.purposes[request.protocol] = "orders"
        try:
            body = await request.json()
            order_id, term = str(body["order_id"]), int(body["term"])
            goal = body["goal"]
        except (ValueError, KeyError, TypeError):
            return web.json_response({"error": {"code": "malformed"}}, status=400)
        if self.is_expired(request):
            return abort_connection(request)
        if not is_valid_goal(goal):
            return web.json_response({"error": {"code": "malformed"}}, status=400)
        if self.state.settings["hang_orders"]:
            await asyncio.sleep(self.state.options.order_timeout_s)
            return abort_connection(request)
        return self._accept(request, order_id, term, goal)

    def _accept(self, request, order_id, term, goal):
        order_log = self.state.orders
        existing = order_log.find(order_id)
        if existing is not None:
            return web.json_response(existing.as_json())
        result = order_log.accept(order_id, term, goal)
        if not isinstance(result, Order):
            error = {"code": result.code, "term": result.term}
            return web.json_response({"error": error}, status=409)
        task = asyncio.get_running_loop().create_task(execute_order(self.state, result))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        if self.state.consume_fault("lose_order_answers"):
            return abort_connection(request)
        payload = {"order_id": order_id, "state": "accepted"}
        return web.json_response(payload, status=202)
