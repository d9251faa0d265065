"""Carries a steward's orders to engines and their answers back."""

import json

import aiohttp

from gypsumusher_coordination import OrderCallFailed, OrderReply
from gypsumusher_objects import forbid_repeats, read_limited

__all__ = ["OrderSender"]

ANSWER_BYTES_MAX = 65_536
# States of an order that an engine names; anything else is no usable answer.
ORDER_STATES = frozenset({"accepted", "running", "done", "failed", "none"})
REFUSALS = frozenset({"busy", "stale_term"})
NEVER_TAKEN_STATUSES = frozenset({400, 404, 405, 422, 501})


class LeaseEnded(aiohttp.ClientError):
    """The lease ended while the connection for an order was being opened."""


class OrderSender:
    """Sends orders, each on a connection opened for it alone.

    Failure guarded against: this process is paused between its look at the lease
    and its write, another steward takes over, and the process wakes and writes. It
    shows as an engine that follows two stewards. The connection is opened first and
    the clock is read after that, so a pause before the look is seen by the look, and
    a pause after it leaves the order on a connection that was opened under the old
    lease, which the engine closes after its own time limit, for which the new
    steward waits.

    Parameters
    ----------
    clock : callable
        Boot-time clock.
    timeout_s : float
        Longest wait for an engine's answer.
    """

    def __init__(self, clock, timeout_s):
        self._clock = clock
        self._timeout_s = timeout_s
        self._session = None

    async def start(self):
        """Open the session."""
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(self._check_lease)
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True),
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=self._timeout_s),
            trace_configs=[trace],
            trust_env=False,
        )
        forbid_repeats(self._session)

    async def close(self):
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def send(self, address, order):
        """Send an order; return the event that answers it.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the engine.
        order : SendOrder
            What to send, and until when it may be written.

        Returns
        -------
        OrderAnswer or OrderFailed
        """
        body = {"order_id": order.order_id, "term": order.term, "goal": order.goal}
        try:
            async with self._session.post(
                f"http://{address}/orders",
                data=json.dumps(body).encode(),
                headers={"Content-Type": "application/json"},
                trace_request_ctx=order.not_after_s,
                allow_redirects=False,
            ) as response:
                answer = await _read_json(response)
                return _answer_event(order, response.status, answer)
        except (
            LeaseEnded,
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            return OrderCallFailed(order.engine, order.order_id, False, order.tag)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return OrderCallFailed(order.engine, order.order_id, True, order.tag)

    async def query(self, address, query):
        """Ask an engine for its newest order; return the event that answers.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the engine.
        query : QueryOrder
            The question.
        """
        try:
            async with self._session.get(
                f"http://{address}/orders", allow_redirects=False
            ) as response:
                answer = await _read_json(response)
                if response.status != 200:
                    return OrderCallFailed(query.engine, "", True, query.tag)
                return _order_state(query, answer)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return OrderCallFailed(query.engine, "", False, query.tag)

    async def _check_lease(self, session, context, parameters):
        """Refuse to write on a connection that came after the lease's end."""
        not_after_s = context.trace_request_ctx
        if not_after_s is not None and self._clock() >= not_after_s:
            raise LeaseEnded("the lease ended before the order was written")


async def _read_json(response):
    """Return the JSON of a small answer."""
    raw = await read_limited(response, ANSWER_BYTES_MAX)
    answer = json.loads(raw)
    if not isinstance(answer, dict):
        raise ValueError("answer is not a JSON object")
    return answer


def _answer_event(order, status, answer):
    """Return the event for an engine's answer to an order."""
    if status in (200, 202):
        return _order_state(order, answer)
    code = answer.get("error", {}).get("code")
    if status == 409 and code in REFUSALS:
        return OrderReply(order.engine, order.order_id, code, order.tag)
    if status in NEVER_TAKEN_STATUSES:
        # The engine will never take this order, whoever sends it again.
        return OrderReply(order.engine, order.order_id, "failed", order.tag, str(code))
    return OrderCallFailed(order.engine, order.order_id, True, order.tag)


def _order_state(effect, answer):
    """Return the event for an order that an engine tells of."""
    state = answer.get("state")
    if state not in ORDER_STATES:
        raise ValueError(f"unknown state of an order: {state!r:.80}")
    order_id = answer.get("order_id") or ""
    detail = str(answer.get("detail") or "")[:200]
    return OrderReply(effect.engine, order_id, state, effect.tag, detail)
