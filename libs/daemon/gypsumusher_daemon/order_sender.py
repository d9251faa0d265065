"""Sends a steward's orders to engines and reads their answers."""

import json

import aiohttp

from gypsumusher_coordination import OrderCallFailed, OrderReply
from gypsumusher_objects import disable_retries, read_body

__all__ = ["OrderSender"]

# Bounds the memory that an engine's answer can take.
ANSWER_BYTES_MAX = 65_536
# Valid states of an order in an engine's answer.
ORDER_STATES = frozenset({"accepted", "running", "done", "failed", "none"})
REFUSALS = frozenset({"busy", "stale_term"})
# Statuses with which an engine rejects an order permanently.
REJECTING_STATUSES = frozenset({400, 404, 405, 422, 501})


class LeaseEnded(aiohttp.ClientError):
    """The lease ended while the connection for an order was being opened."""


class OrderSender:
    """Sends orders to engines, each on a new connection opened under a valid lease.

    Guards against an engine that follows two stewards: this process could be paused
    between checking its lease and writing the order, another steward takes over, and
    this process resumes and writes. Therefore the connection is opened first and the
    lease is checked after that. A pause before the check is detected by the check. A
    pause after it leaves the order on a connection that was opened under the old
    lease; the engine closes that connection after its own time limit, and the new
    steward waits for this limit.

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
        disable_retries(self._session)

    async def close(self):
        """Close the session."""
        if self._session is not None:
            await self._session.close()

    async def send(self, address, order):
        """Send an order; return the event for its result.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the engine.
        order : SendOrder
            The order, and the time after which it must not be written.

        Returns
        -------
        OrderReply or OrderCallFailed
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
                return _result_event(order, response.status, answer)
        except (
            LeaseEnded,
            aiohttp.ClientConnectorError,
            aiohttp.ConnectionTimeoutError,
        ):
            return OrderCallFailed(order.engine, order.order_id, False, order.tag)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return OrderCallFailed(order.engine, order.order_id, True, order.tag)

    async def query(self, address, query):
        """Query an engine for its newest order; return the event for the result.

        Parameters
        ----------
        address : str
            ``IP:PORT`` of the engine.
        query : QueryOrder
            The query.

        Returns
        -------
        OrderReply or OrderCallFailed
        """
        try:
            async with self._session.get(
                f"http://{address}/orders", allow_redirects=False
            ) as response:
                answer = await _read_json(response)
                if response.status != 200:
                    return OrderCallFailed(query.engine, "", True, query.tag)
                return _order_reply(query, answer)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError):
            return OrderCallFailed(query.engine, "", False, query.tag)

    async def _check_lease(self, session, context, parameters):
        """Raise LeaseEnded when the lease ended before the connection was open."""
        not_after_s = context.trace_request_ctx
        if not_after_s is not None and self._clock() >= not_after_s:
            raise LeaseEnded("the lease ended before the order was written")


async def _read_json(response):
    """Return the JSON object of an answer of at most `ANSWER_BYTES_MAX`."""
    raw = await read_body(response, ANSWER_BYTES_MAX)
    try:
        answer = json.loads(raw)
    except RecursionError as error:
        raise ValueError("answer is nested too deeply") from error
    if not isinstance(answer, dict):
        raise ValueError("answer is not a JSON object")
    return answer


def _result_event(order, status, answer):
    """Return the event for an engine's answer to an order."""
    if status in (200, 202):
        return _order_reply(order, answer)
    code = answer.get("error", {}).get("code")
    if status == 409 and code in REFUSALS:
        return OrderReply(order.engine, order.order_id, code, order.tag)
    if status in REJECTING_STATUSES:
        # Sending the order again can't succeed, whichever steward does it.
        return OrderReply(order.engine, order.order_id, "failed", order.tag, str(code))
    return OrderCallFailed(order.engine, order.order_id, True, order.tag)


def _order_reply(effect, answer):
    """Return the event for an answer that reports the state of an order."""
    state = answer.get("state")
    if state not in ORDER_STATES:
        raise ValueError(f"unknown order state: {state!r:.80}")
    order_id = answer.get("order_id") or ""
    detail = str(answer.get("detail") or "")[:200]
    return OrderReply(effect.engine, order_id, state, effect.tag, detail)
