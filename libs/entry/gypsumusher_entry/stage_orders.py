"""Orders that change engines' stages, sent by the one host that holds the lease."""

import asyncio

from gypsumusher_entry.sending_to_endpoints import SMALL_BODY_MAX_BYTES, call_engine
from gypsumusher_http import CallError
from gypsumusher_platform import (
    decode_engine_report,
    decode_order_status,
    encode_report_request,
    encode_stage_order,
)
from gypsumusher_ports import DecodeError, OrderOutcome
from gypsumusher_routing import (
    ASK,
    DONE,
    GIVEN_UP,
    SEND,
    EngineView,
    OrderedStage,
    StageOrder,
    StagePlanner,
)

__all__ = ["StageOrders"]

# How often the demand is evaluated: several times within the 1 s for which a stage may
# be missing.
PLAN_INTERVAL_S = 0.2
POLL_S = 0.1
# Time limit of a call to an engine, which answers within milliseconds.
CALL_TIMEOUT_S = 0.8
# Least remaining time of the lease when an order is sent: the order may be in transit
# for as long as its response is waited for.
MIN_LEASE_S = CALL_TIMEOUT_S
# Time after which an engine's entry shows its new stage, by its heartbeat interval and
# the store's lag. Until then hosts rely on this host's announcement.
STAGE_ANNOUNCEMENT_S = 6.0


class StageOrders:
    """Plans stages and carries out the changes while this host holds the lease.

    Parameters
    ----------
    context : Context
        State of the engines and the demand.
    lease : StageLease
        Authority to give orders.
    """

    def __init__(self, context, lease):
        self._context = context
        self._lease = lease
        self._planners = {}
        self._orders = {}

    async def start(self):
        """Start to plan, until the context is closed."""
        if not self._context.policy.stages:
            return
        self._context.keep_running(self._run)

    async def _run(self):
        """Plan at each tick at which this host holds the lease for long enough."""
        while True:
            await self._context.wait_for_tick(PLAN_INTERVAL_S)
            if self._lease.is_held_for(MIN_LEASE_S):
                self._plan()

    def _plan(self):
        """Plan the stages of each service, and start the changes."""
        context = self._context
        if context.configuration is None:
            return
        for service in context.configuration.services.values():
            if service.engine is None:
                continue
            planner = self._planners.setdefault(service.name, StagePlanner())
            change = planner.next_change(context.clock(), self._views(service.name))
            if change is not None:
                self._begin(service.name, change)

    def _begin(self, service, change):
        """Start to carry out a change."""
        context = self._context
        # The state before the change: the missing stage makes all requests be refused.
        context.log(
            "warning",
            "stage_missing",
            service=service,
            stage=change.stage,
            missing_s=round(change.missing_s, 1),
            endpoint=change.endpoint_id,
            engines=len(context.endpoints.of_service(service)),
            term=self._lease.term,
        )
        state = context.endpoints.states[change.endpoint_id]
        order = StageOrder(change.stage, context.clock())
        self._orders[change.endpoint_id] = order
        context.spawn(self._carry_out(state, order))

    def _views(self, service):
        """Return the planner's view of the engines of a service."""
        context = self._context
        now_s = context.clock()
        views = []
        for endpoint_id, state in context.endpoints.states.items():
            if state.record.service != service or state.stage is None:
                continue
            record, load = state.record, state.load(now_s)
            ordered = state.ordered_stage
            order = self._orders.get(endpoint_id)
            is_switching = order is not None or (
                ordered is not None and ordered.is_switching
            )
            # An engine that changes its stage refuses work, which isn't a failure.
            is_sound = is_switching or not state.health.is_avoided(now_s)
            if record.is_draining or state.is_address_taken:
                is_sound = False
            views.append(
                EngineView(
                    endpoint_id,
                    state.stage if order is None else order.stage,
                    is_sound,
                    record.is_draining,
                    # One that wants no requests from this host gets no order either.
                    is_switching or context.endpoint_notices.pause_left_s(record) > 0.0,
                    load.running,
                )
            )
        return views

    async def _carry_out(self, state, order):
        """Carry out one order until it is done or abandoned."""
        context, record = self._context, state.record
        step = None
        try:
            while context.endpoints.states.get(record.endpoint_id) is state:
                step = order.next_step(context.clock())
                if step in (DONE, GIVEN_UP):
                    break
                if context.endpoint_notices.pause_left_s(record):
                    await asyncio.sleep(POLL_S)
                    continue
                if step == ASK:
                    order.on_report(context.clock(), await self._fetch_report(record))
                elif step == SEND:
                    if not self._lease.is_held_for(MIN_LEASE_S):
                        break
                    await self._send(state, order)
                else:
                    await asyncio.sleep(POLL_S)
        finally:
            del self._orders[record.endpoint_id]
            self._announce(state, None)
            if step == DONE:
                ordered = OrderedStage(order.stage, False)
                state.on_stage_ordered(context.clock(), ordered, STAGE_ANNOUNCEMENT_S)
                self._announce(state, ordered)
            elif order.sends:
                state.expire_ordered_stage(float("inf"))
        context.metrics.on_stage_order_end(order.stage, step)
        context.log(
            "info",
            "stage_order_ended",
            endpoint=record.endpoint_id,
            stage=order.stage,
            outcome=step,
            sends=order.sends,
            term=self._lease.term,
        )
        if step == DONE:
            await asyncio.sleep(STAGE_ANNOUNCEMENT_S)
            self._announce(state, None)

    async def _fetch_report(self, record):
        """Return an engine's report, or None when none arrived."""
        call = encode_report_request(record.address)
        try:
            reply = await call_engine(
                self._context, record, call, CALL_TIMEOUT_S, SMALL_BODY_MAX_BYTES
            )
            return decode_engine_report(record.endpoint_id, reply.body)
        except (CallError, DecodeError, TimeoutError) as error:
            self._context.log(
                "info",
                "engine_report_missing",
                endpoint=record.endpoint_id,
                error=str(error) or "timeout",
            )
            return None

    async def _send(self, state, order):
        """Send an order once and record the outcome."""
        context, record = self._context, state.record
        # The engine may refuse work from the first byte of the order on, so no host
        # sends it any.
        ordered = OrderedStage(order.stage, True)
        state.on_stage_ordered(context.clock(), ordered, float("inf"))
        self._announce(state, ordered)
        order.on_send(context.clock())
        call = encode_stage_order(
            record,
            order.stage,
            context.settings.name,
            self._lease.term,
            order.order_count,
        )
        try:
            reply = await call_engine(
                context, record, call, CALL_TIMEOUT_S, SMALL_BODY_MAX_BYTES
            )
            outcome, detail = decode_order_status(reply.status), None
        except (CallError, TimeoutError) as error:
            outcome, detail = OrderOutcome.UNKNOWN, str(error) or "timeout"
        order.on_answer(outcome)
        context.log(
            "info",
            "stage_ordered",
            endpoint=record.endpoint_id,
            stage=order.stage,
            order_count=order.order_count,
            sends=order.sends,
            term=self._lease.term,
            outcome=outcome.value,
            detail=detail,
        )

    def _announce(self, state, ordered):
        """Set what gossip announces of an engine's stage; None ends that."""
        context, record = self._context, state.record
        announced = [
            item for item in context.ordered_stages if item[0] != record.endpoint_id
        ]
        if ordered is not None:
            announced.append([*record.incarnation, ordered.stage, ordered.is_switching])
        context.ordered_stages = announced
