"""Orders for engines by zone and kind, given by the host that holds the lease."""

from returns.result import Failure, Success

from gypsumusher_entry.staleness_monitor import ENDPOINTS
from gypsumusher_entry.work_reports import follows_load
from gypsumusher_routing import (
    WORK_REPORT_S,
    FleetPlanner,
    FleetView,
    WantedEngines,
    engines_needed,
)

__all__ = ["SCALE_DUTY", "FleetOrders"]

SCALE_DUTY = "scale"
TICK_S = 0.5
# Least remaining time of the lease when an order is given; see `UsageReports`.
MIN_LEASE_S = 1.0
# Kind of the objects that hold how many engines a service needs.
TARGETS_KIND = "fleet-targets"
COUNT = "count"
# The number that the load needs; the other one without it.
WANTED = "wanted"
# Least time between two writes of the wanted number. Calls to the store are paid, and a
# later holder of the lease releases nothing for longer than this.
KEEP_PAUSE_S = 5.0
# Time for which the number of engines has to be unchanged before it counts as the one
# that the operator has provided: at a first start entries appear one after the other.
STABLE_S = 1.5


class FleetOrders:
    """Plans and orders the engines of each service that allows it.

    Parameters
    ----------
    context : Context
        State of the engines, and the configuration.
    store : StoreClient
        Holds how many engines each service needs.
    lease : StageLease
        Authority to give orders.
    cloud : CloudClient
        Accepts the orders.
    work_reports : WorkReports or None
        The load of each service; without it the number doesn't follow the load.
    """

    def __init__(self, context, store, lease, cloud, work_reports=None):
        self._context = context
        self._store = store
        self._lease = lease
        self._cloud = cloud
        self._work_reports = work_reports
        self._term = 0
        self._planners = {}
        self._targets = {}
        # `WantedEngines`, the stored object and the time of the next write, by service.
        self._wanted = {}
        self._stored = {}
        self._keep_at_s = {}
        self._seen = {}

    async def start(self):
        """Start to plan, until the context is closed."""
        if self._context.policy.fleet:
            self._context.keep_running(self._run)

    async def _run(self):
        """Plan at each tick at which this host holds the lease for long enough."""
        context = self._context
        while True:
            await context.wait_for_tick(TICK_S)
            if context.configuration is None or not self._may_order():
                continue
            if self._lease.term != self._term:
                # Another host may have ordered meanwhile.
                self._term = self._lease.term
                self._planners.clear()
                self._targets.clear()
                self._wanted.clear()
                self._seen.clear()
            for service in list(context.configuration.services.values()):
                if service.scale is not None and service.scale.has_reclaimable:
                    await self._plan(service)

    def _may_order(self):
        return self._lease.is_held_for(MIN_LEASE_S)

    async def _plan(self, service):
        """Plan the engines of one service, and give the orders that are due."""
        context = self._context
        counts = self._counts(service.name)
        target = await self._target(service.name, counts)
        if target is None:
            return
        planner = self._planners.get(service.name)
        if planner is None:
            planner = self._planners[service.name] = FleetPlanner(service.scale)
        now_s = context.clock()
        view = self._view(service.name, counts, target)
        if service.name not in self._targets:
            # More engines may be about to appear; nothing is given up yet.
            view = view._replace(is_sight_complete=False)
        elif self._follows_load(service):
            wanted = self._follow_load(service, planner, view)
            view = view._replace(wanted_count=wanted, is_by_load=True)
        for order in planner.next_orders(now_s, view):
            if not self._may_order():
                return
            await self._give(service.name, planner, order, view)
        await self._keep_wanted(service.name)

    def _follows_load(self, service):
        policy = self._context.policy
        is_on = policy.engines_by_load and self._work_reports is not None
        return is_on and follows_load(service)

    def _follow_load(self, service, planner, view):
        """Return the wanted number of engines of a service, by its load."""
        context, name = self._context, service.name
        now_s = context.clock()
        provisioned = self._targets[name]
        if name not in self._wanted:
            stored = _wanted_of(self._stored[name].content)
            self._wanted[name] = WantedEngines(provisioned, stored, now_s)
        wanted = self._wanted[name]
        before = wanted.count
        # Until an engine that is ordered now is ready, and the next report has come.
        ahead_s = service.scale.boot_s + WORK_REPORT_S
        demand = self._work_reports.demand(name, ahead_s)
        work, engine = demand.work, service.engine
        needs = engines_needed(work, engine.slots, engine.kv_tokens)
        is_short = planner.is_short(now_s, view)
        may_lower = view.is_sight_complete and not is_short
        count = wanted.update(now_s, demand, needs, may_lower)
        context.metrics.set_wanted_engines(name, count, needs)
        if count != before:
            context.log(
                "info",
                "wanted_engines_changed",
                service=name,
                wanted=count,
                before=before,
                provisioned=provisioned,
                for_prefill=needs.prefill,
                for_streams=needs.streams,
                for_shared=needs.shared_prefixes,
                prefill=round(work.prefill_s_per_s, 2),
                streams=work.streams,
                shared_tokens=work.shared_tokens,
                late=round(work.late_share, 3),
                has_reports=demand.has_reports,
                all_reported=demand.is_complete,
                ready=sum(view.counts.values()),
                term=self._lease.term,
            )
        return count

    async def _keep_wanted(self, service):
        """Write the wanted number for the next holder of the lease, if it differs."""
        now_s = self._context.clock()
        if service not in self._wanted or now_s < self._keep_at_s.get(service, 0.0):
            return
        stored, count = self._stored[service], self._wanted[service].count
        if _wanted_of(stored.content) == count or not self._may_order():
            return
        self._keep_at_s[service] = now_s + KEEP_PAUSE_S
        content = {**stored.content, WANTED: count}
        result = await self._store.replace(
            TARGETS_KIND, service, content, stored.revision
        )
        if isinstance(result, Success):
            self._stored[service] = result.unwrap()
            return
        code = result.failure().code
        self._context.log(
            "warning", "wanted_engines_not_kept", service=service, code=code
        )
        if code in ("conflict", "absent"):
            # An operator may have changed the provisioned number.
            self._targets.pop(service, None)
            self._wanted.pop(service, None)

    async def _give(self, service, planner, order, view):
        """Give one order, and tell the planner how that ended."""
        context = self._context
        term = self._lease.term
        now_s = context.clock()
        result = await self._cloud.order_endpoints(
            term, service, order.zone, order.count, order.is_reclaimable
        )
        code = None if isinstance(result, Success) else result.failure().code
        if code in (None, "unknown"):
            planner.on_ordered(now_s, order)
        elif code != "refused":
            planner.on_none_available(now_s, order)
        context.metrics.on_fleet_order(service, code or "accepted")
        context.log(
            "info" if code is None else "warning",
            "engines_ordered",
            service=service,
            zone=order.zone,
            reclaimable=order.is_reclaimable,
            count=order.count,
            there=view.counts.get((order.zone, order.is_reclaimable), 0),
            wanted=view.wanted_count,
            ready=sum(view.counts.values()),
            term=term,
            outcome=code or "accepted",
        )

    def _view(self, service, counts, target):
        """Return what the planner sees of a service."""
        context = self._context
        now_s = context.clock()
        reclaimed, running = set(), 0
        for state in context.endpoints.states.values():
            if state.record.service != service:
                continue
            running += state.load(now_s).running
            if state.record.is_reclaimable and state.record.is_draining:
                reclaimed.add(state.record.zone)
        is_complete = (
            (context.sees_store or context.peers_see_store())
            and not context.staleness.is_overdue(ENDPOINTS)
            and not context.endpoints.is_in_grace_period(now_s)
        )
        return FleetView(counts, frozenset(reclaimed), target, is_complete, not running)

    def _counts(self, service):
        """Return the engines that accept work, by zone and kind."""
        counts = {}
        for state in self._context.endpoints.states.values():
            record = state.record
            if record.service != service or record.is_draining or state.is_gone:
                continue
            key = (record.zone, record.is_reclaimable)
            counts[key] = counts.get(key, 0) + 1
        return counts

    async def _target(self, service, counts):
        """Return how many engines a service needs; None if the store doesn't tell.

        It is the number that the operator has provided at the first start, kept in the
        store for later holders. Until that number is stable it is the number so far, so
        that the first replacements can be ordered at once.
        """
        if service in self._targets:
            return self._targets[service]
        result = await self._store.get(TARGETS_KIND, service)
        if isinstance(result, Failure) and result.failure().code == "absent":
            usual = [
                n for (_, is_reclaimable), n in counts.items() if not is_reclaimable
            ]
            # Reclaimable ones may be those that this host has just ordered.
            provided = sum(usual) or sum(counts.values())
            if not self._is_stable(service, provided):
                return provided
            content = {COUNT: provided}
            result = await self._store.create(TARGETS_KIND, service, content)
        if isinstance(result, Failure):
            return None
        self._stored[service] = result.unwrap()
        self._targets[service] = result.unwrap().content[COUNT]
        return self._targets[service]

    def _is_stable(self, service, count):
        """Return whether a service has had this number of engines for long enough."""
        now_s = self._context.clock()
        seen, since_s = self._seen.get(service, (0, now_s))
        if seen != count:
            self._seen[service] = (count, now_s)
            return False
        return count > 0 and now_s - since_s >= STABLE_S


def _wanted_of(content):
    """Return the wanted number in a stored object."""
    wanted = content.get(WANTED)
    return wanted if type(wanted) is int and wanted > 0 else content[COUNT]
