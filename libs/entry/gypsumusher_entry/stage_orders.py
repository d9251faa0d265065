"""Orders that change engines' stages, by the one host that holds the lease for them."""

import asyncio

from gypsumusher_entry.sending_to_endpoints import call_engine
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

# How often the demand is looked at, in seconds: often against the second for which a
# stage may be missing.
LOOK_S = 0.2
STEP_S = 0.1
# Longest wait for an engine's answer to a call, in seconds; it answers in milliseconds.
CALL_TIMEOUT_S = 0.8
# Authority that must be left when an order goes out, in seconds: it may be on its way
# for as long as its answer is waited for.
AUTHORITY_S = CALL_TIMEOUT_S
# An engine's entry tells of its new stage within its heartbeat and the store's lag;
# until then, in seconds, hosts go by what is said here.
STAGE_KEPT_S = 6.0


class StageOrders:
    """Plans stages while this host holds the lease, and carries the changes out.

    Parameters
    ----------
    context : Context
        What is known of the engines, and of the demand.
    lease : StageLease
        Authority to give orders.
    """

    def __init__(self, context, lease):
        self._context = context
        self._lease = lease
        self._planners = {}
        self._orders = {}

    async def start(self):
        """Begin to plan, until the context is closed."""
        if not self._context.policy.stages:
            return
        self._context.spawn(self._run())

    async def _run(self):
        while True:
            await self._context.next_tick(LOOK_S)
            if self._lease.is_held_for(AUTHORITY_S):
                self._look()

    def _look(self):
        """Plan each service's stages, and begin the changes."""
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
        """Begin to carry a change out."""
        context = self._context
        # The state before: which stages there are, and what refuses all requests.
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
        """Return what the planner is to know of a service's engines."""
        context = self._context
        now_s = context.clock()
        views = []
        for endpoint_id, state in context.endpoints.states.items():
            if state.record.service != service or state.stage is None:
                continue
            load = state.load(now_s)
            news = state.ordered_stage
            order = self._orders.get(endpoint_id)
            is_switching = order is not None or (news is not None and news.is_switching)
            # One that changes its stage refuses work, which says nothing against it.
            is_sound = is_switching or not state.health.is_avoided(now_s)
            if state.record.is_draining or state.is_address_taken:
                is_sound = False
            views.append(
                EngineView(
                    endpoint_id,
                    state.stage if order is None else order.stage,
                    is_sound,
                    state.record.is_draining,
                    is_switching,
                    load.running,
                )
            )
        return views

    async def _carry_out(self, state, order):
        """Drive one order to its end."""
        context, record = self._context, state.record
        step = None
        try:
            while context.endpoints.states.get(record.endpoint_id) is state:
                step = order.next_step(context.clock())
                if step in (DONE, GIVEN_UP):
                    break
                if step == ASK:
                    order.on_report(context.clock(), await self._report(record))
                elif step == SEND:
                    if not self._lease.is_held_for(AUTHORITY_S):
                        break
                    await self._send(state, order)
                else:
                    await asyncio.sleep(STEP_S)
        finally:
            del self._orders[record.endpoint_id]
            self._tell(state, None)
            if step == DONE:
                news = OrderedStage(order.stage, False)
                state.on_stage_ordered(context.clock(), news, STAGE_KEPT_S)
                self._tell(state, news)
            elif order.sends:
                state.expire_ordered_stage(float("inf"))
        context.metrics.stage_ordered(order.stage, step)
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
            await asyncio.sleep(STAGE_KEPT_S)
            self._tell(state, None)

    async def _report(self, record):
        """Return an engine's report, or None when none came."""
        call = encode_report_request(record.address)
        try:
            reply = await call_engine(self._context, record, call, CALL_TIMEOUT_S)
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
        """Send an order once; note what its answer says."""
        context, record = self._context, state.record
        # From the first byte on the engine may refuse work, so no host sends it any.
        news = OrderedStage(order.stage, True)
        state.on_stage_ordered(context.clock(), news, float("inf"))
        self._tell(state, news)
        order.on_send(context.clock())
        call = encode_stage_order(
            record,
            order.stage,
            context.settings.name,
            self._lease.term,
            order.order_count,
        )
        try:
            reply = await call_engine(context, record, call, CALL_TIMEOUT_S)
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

    def _tell(self, state, news):
        """Have the peers told what was ordered of an engine; None ends that."""
        context, record = self._context, state.record
        told = [
            item for item in context.ordered_stages if item[0] != record.endpoint_id
        ]
        if news is not None:
            told.append([*record.incarnation, news.stage, news.is_switching])
        context.ordered_stages = told
