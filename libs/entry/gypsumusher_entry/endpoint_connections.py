"""Connections to endpoints, over this host's own links or through other hosts."""

import asyncio
import contextlib

from gypsumusher_http import CallError
from gypsumusher_routing import RelayTable

__all__ = ["EndpointConnections", "connection_key"]

# Time that a direct connection is given before another host is asked as well. Most open
# within a few milliseconds.
DIRECT_HEAD_START_S = 0.1
# Longest time to open a connection through another host. A host that has lost its own
# link may only learn so from this attempt, and would take longer to say no.
RELAY_TIMEOUT_S = 0.2
# Hosts that are asked in turn for one connection, and the longest time for all of them.
MAX_RELAY_TRIES, RELAYS_TIMEOUT_S = 3, 0.35


class EndpointConnections:
    """Opens connections to endpoints by whatever path reaches them.

    Opening a connection sends no request, so any number of paths may be tried.

    Parameters
    ----------
    context : Context
        Endpoints, hosts and the connection pool.
    """

    def __init__(self, context):
        self._context = context
        self._relays = RelayTable()
        # Responses that are given up when the link to their endpoint goes down.
        self._waiting = {}

    async def acquire(self, state, max_connections, requires_new, used=()):
        """Return an idle or a new connection to an endpoint.

        Parameters
        ----------
        state : EndpointState
            The endpoint.
        max_connections : int
            Limit on this host's connections to it.
        requires_new : bool
            Whether idle connections are closed instead of reused.
        used : collection of _Connection
            Connections on which the request was sent before. They are closed instead of
            reused: a second copy of the response to that send would carry the id of
            this one as well.

        Returns
        -------
        _Connection

        Raises
        ------
        CallError
            When the limit is reached, or no path reaches the endpoint.
        """
        pool, path = self._context.connection_pool, state.path
        if path.take_try(self._context.clock()):
            self._context.spawn(self._try_direct(state))
        key = connection_key(state.record, is_relayed=path.is_down)
        ready = ()
        if path.is_down:
            ready = {host.name for host in self._ready_hosts(state.record)}

        def may_reuse(connection):
            is_usable = connection.relay is None or connection.relay in ready
            return is_usable and not requires_new and connection not in used

        connection = pool.take_idle(key, may_reuse)
        if connection is not None:
            return connection
        pool.check_limit(key, state.record.address, max_connections)
        if not path.is_down:
            return await self._open(state)
        connection = await self._open_through_relays(state)
        if connection is not None:
            return connection
        return await self._connect_directly(state)

    @contextlib.contextmanager
    def fails_with_link(self, state, response):
        """Let a response fail once this host's link to its endpoint is down for sure.

        For calls that may be made again elsewhere. While one waits, all hosts count its
        work as a part of the endpoint's queue, although the endpoint may not have it.
        """
        if response.relay is not None:
            yield
            return
        waiting = self._waiting.setdefault(connection_key(state.record), set())
        waiting.add(response)
        try:
            yield
        finally:
            waiting.discard(response)
            if not waiting:
                self._waiting.pop(connection_key(state.record), None)

    def close_idle_through(self, host):
        """Close idle connections through a host that accepts no more requests."""
        self._context.connection_pool.close_idle(lambda c: c.relay == host)

    async def _open(self, state):
        """Open a connection directly, or through another host if that is faster."""
        direct = asyncio.ensure_future(self._connect_directly(state))
        tasks, chosen = [direct], None
        try:
            await asyncio.wait(tasks, timeout=DIRECT_HEAD_START_S)
            if not direct.done() or direct.exception() is not None:
                tasks.append(asyncio.ensure_future(self._open_through_relays(state)))
            chosen = await _first_connection(tasks)
            if chosen is None:
                return direct.result()
            if chosen.relay is not None:
                self._on_bypassed(state, chosen.relay)
            return chosen
        finally:
            for task in tasks:
                _drop(task, chosen)

    async def _connect_directly(self, state):
        """Open a connection over this host's own link."""
        pool, record = self._context.connection_pool, state.record
        connection = await pool.connect(connection_key(record), record.address)
        if state.path.on_connected():
            self._log_path(state, None)
        return connection

    async def _try_direct(self, state):
        """Find out whether a link that was down works again."""
        try:
            connection = await self._connect_directly(state)
        except CallError:
            # The link is still down, which `endpoint_path_changed` has said.
            self._fail_waiting(state)
            return
        self._context.connection_pool.release(connection)

    async def _open_through_relays(self, state):
        """Open a connection through another host; return None if none reaches it."""
        context, record = self._context, state.record
        ends_s = context.clock() + RELAYS_TIMEOUT_S
        for _ in range(MAX_RELAY_TRIES):
            left_s = ends_s - context.clock()
            if left_s <= 0.0:
                return None
            relay = self._relays.choose(
                context.clock(),
                record.endpoint_id,
                self._ready_hosts(record),
                context.draw_uniform,
            )
            if relay is None:
                return None
            try:
                connection = await context.connection_pool.connect(
                    connection_key(record, is_relayed=True),
                    record.address,
                    (relay.name, relay.peers_address),
                    min(RELAY_TIMEOUT_S, left_s),
                )
            except CallError as error:
                self._relays.on_failed(context.clock(), record.endpoint_id, relay.name)
                context.log(
                    "info",
                    "relay_failed",
                    endpoint=record.endpoint_id,
                    relay=relay.name,
                    error=repr(error.__cause__),
                )
                continue
            self._relays.on_reached(context.clock(), record.endpoint_id, relay.name)
            return connection
        return None

    def _ready_hosts(self, record):
        """Return the other hosts through which requests may go to an endpoint."""
        context = self._context
        pause_left_s = context.endpoint_notices.pause_left_s
        return [
            host
            for host in context.hosts.live(context.clock())
            if host.is_ready and not pause_left_s(record, host.name)
        ]

    def _on_bypassed(self, state, relay):
        """Record that another host reaches an endpoint that this one doesn't."""
        context = self._context
        states = context.endpoints.states
        was_down = [other for other in states.values() if other.path.is_down]
        if not state.path.on_bypassed(context.clock()):
            return
        self._relays.forget(states)
        self._log_path(state, relay)
        # What failed here shows nothing of the endpoint.
        state.health.clear_own()
        suspects = [state]
        if was_down:
            # One connection that fails to open may be a lost packet, two links are not.
            for down in (state, *was_down):
                self._fail_waiting(down)
            # Links to endpoints that have been silent since may be down too, and
            # requests on their idle connections would be lost.
            first_down_s = min(other.path.down_since_s for other in was_down)
            suspects += [
                other
                for other in states.values()
                if not other.has_answered_since(first_down_s)
            ]
        keys = {connection_key(suspect.record) for suspect in suspects}
        context.connection_pool.close_idle(lambda connection: connection.key in keys)

    def _fail_waiting(self, state):
        """Fail the responses that are given up with the link to an endpoint."""
        error = CallError("prefill", state.record.address, "link_down", False)
        for response in list(self._waiting.get(connection_key(state.record), ())):
            response.on_failed(error)

    def _log_path(self, state, relay):
        """Log that the path to an endpoint has changed."""
        states = self._context.endpoints.states.values()
        self._context.log(
            "info",
            "endpoint_path_changed",
            endpoint=state.record.endpoint_id,
            path="direct" if relay is None else "relay",
            relay=relay,
            links_down=sum(other.path.is_down for other in states),
            endpoints=len(states),
        )


async def _first_connection(tasks):
    """Return the connection that opens first, the first task's if several have.

    Returns
    -------
    _Connection or None
        None if all tasks have failed or returned None.
    """
    while True:
        for task in tasks:
            if task.done() and task.exception() is None and task.result() is not None:
                return task.result()
        pending = [task for task in tasks if not task.done()]
        if not pending:
            return None
        await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)


def _drop(task, chosen):
    """End an attempt to connect, and close its connection unless it was chosen."""
    if not task.done():
        task.cancel()
        return
    if task.cancelled() or task.exception() is not None:
        return
    connection = task.result()
    if connection is not None and connection is not chosen:
        connection.abort()


def connection_key(record, is_relayed=False):
    """Return the key in the pool of direct or of relayed connections to an endpoint."""
    key = (*record.incarnation, record.address)
    return (*key, "relayed") if is_relayed else key
