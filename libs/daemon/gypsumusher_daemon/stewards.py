"""Holds deployments' leases and orders role changes and model loads under them."""

import asyncio
import secrets

from gypsumusher_coordination import (
    Lease,
    LeaseGained,
    LeaseLost,
    OrderController,
    OrderEnded,
    QueryOrder,
    SendOrder,
    TermsClosed,
)
from gypsumusher_daemon.cell_members import cell_of
from gypsumusher_daemon.dispatch import deployment_policy
from gypsumusher_daemon.machine_runner import MachineRunner
from gypsumusher_daemon.order_sender import OrderSender
from gypsumusher_policy import (
    RoleChangePlanner,
    RolloutPlanner,
)
from gypsumusher_policy.rollout import engines_needed
from gypsumusher_process import keep_running

__all__ = ["Stewards"]

# Hosts per deployment that try to acquire its lease. With all of 330 hosts and 40
# deployments, 13,200 leases would be read every few seconds; three candidates
# tolerate the failure of two.
CANDIDATES_MAX = 3
# Leases and orders are ticked this many times within the duration of a lease.
TICKS_PER_LEASE = 30
# Longest wait for an engine's answer to an order.
ORDER_TIMEOUT_S = 5.0
# A planned stop waits this long for orders in flight and for released leases.
RELEASE_TIMEOUT_S = 3.0
# A host's demand counts no longer than this after its last update.
DEMAND_AGE_MAX_S = 10.0


class _Stewardship:
    """This host's lease, order controller and planners for one deployment."""

    def __init__(self, lease, orders):
        self.lease = lease
        self.orders = orders
        self.role_planner = None
        self.rollout_planner = None
        self.planned_s = float("-inf")


class Stewards:
    """Acquires leases for the deployments whose candidate this host is.

    The holder of a deployment's lease, its steward, plans role changes and model
    loads and orders them from the engines.

    Parameters
    ----------
    host : EntryHost
        The host whose components are used.
    """

    def __init__(self, host):
        self._host = host
        self._stewardships = {}
        self._runners = {}
        self._demands = {}
        self._sender = OrderSender(host.clock, ORDER_TIMEOUT_S)
        self._task = None
        self._sends = set()

    async def start(self):
        """Start acquiring leases."""
        await self._sender.start()
        self._task = keep_running(self._tick_loop, self._host.log)

    async def close(self):
        """Stop at once; leases that are held expire."""
        tasks = [*self._sends]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for lease_runner, order_runner in self._runners.values():
            await lease_runner.close()
            await order_runner.close()
        await self._sender.close()

    async def release(self):
        """Release the leases for a planned stop, once no order is in flight."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        end_s = self._host.clock() + RELEASE_TIMEOUT_S
        while self._host.clock() < end_s:
            if not any(
                s.orders.has_orders_in_flight() for s in self._stewardships.values()
            ):
                break
            await asyncio.sleep(self._tick_s())
        for name, stewardship in self._stewardships.items():
            if stewardship.orders.has_orders_in_flight():
                continue
            runner = self._runners[name][0]
            runner.execute(stewardship.lease.release(self._host.clock()))
        while self._host.clock() < end_s:
            if all(s.lease.is_released for s in self._stewardships.values()):
                return
            await asyncio.sleep(self._tick_s())
            for lease_runner, _ in self._runners.values():
                lease_runner.tick()

    def on_peer_demands(self, peer, demands):
        """Store the demands that a peer reported.

        Parameters
        ----------
        peer : str
            The host.
        demands : dict
            Demand by deployment.
        """
        now_s = self._host.clock()
        for deployment, demand in demands.items():
            self._demands.setdefault(deployment, {})[peer] = (now_s, demand)

    def rows(self):
        """Return one row per lease that this host holds, for the status answer."""
        now_s = self._host.clock()
        rows = []
        for name, stewardship in sorted(self._stewardships.items()):
            if not stewardship.lease.is_held(now_s):
                continue
            waiting = [term.holder for term in stewardship.orders.blocking_terms()]
            rows.append(
                {
                    "deployment": name,
                    "holder": self._host.name,
                    "term": stewardship.lease.term,
                    "unfinished": sorted(stewardship.orders.busy_engines()),
                    "waiting_for": waiting,
                }
            )
        return rows

    def confirm_dead(self, deployment, term):
        """Record an operator's confirmation that a former lease holder is dead.

        Parameters
        ----------
        deployment : str
            The deployment.
        term : int
            Term of the former holder.

        Returns
        -------
        bool
            Whether this host was waiting for the end of that term.
        """
        stewardship = self._stewardships.get(deployment)
        if stewardship is None:
            return False
        known = any(t.term == term for t in stewardship.orders.blocking_terms())
        effects = stewardship.orders.confirm_holder_dead(self._host.clock(), term)
        self._runners[deployment][1].execute(effects)
        return known

    def _tick_s(self):
        """Return the interval at which leases and orders are ticked, in seconds."""
        return self._host.settings["stewards.lease_s"] / TICKS_PER_LEASE

    async def _tick_loop(self):
        """Tick the leases and orders of all deployments, until cancelled."""
        while True:
            await asyncio.sleep(self._tick_s())
            document = self._host.document
            if document is None:
                continue
            for name, section in document["deployments"].items():
                self._tick(name, section)

    def _is_candidate(self, deployment):
        """Return whether this host should try to acquire a deployment's lease."""
        host = self._host
        # Candidates are taken from the cell because its members receive the
        # deployment's demand in gossip.
        cell = cell_of(host.document, host.hosts_with_self(), deployment)
        return host.name in cell[:CANDIDATES_MAX]

    def _tick(self, name, section):
        """Tick one deployment's lease and orders; plan when a plan is due."""
        stewardship = self._stewardships.get(name)
        if stewardship is None:
            if not self._is_candidate(name):
                return
            stewardship = self._open_stewardship(name, section)
        lease_runner, order_runner = self._runners[name]
        lease_runner.tick()
        now_s = self._host.clock()
        if not stewardship.lease.is_held(now_s):
            return
        orders = stewardship.orders
        orders.set_fencing(section["fencing"], section["order_timeout_s"])
        engines = [e.name for e in self._host.endpoints.group("engine", name)]
        order_runner.execute(orders.set_engines(now_s, engines))
        if now_s - stewardship.planned_s >= self._host.settings["stewards.plan_s"]:
            stewardship.planned_s = now_s
            self._plan(name, section, stewardship)

    def _open_stewardship(self, name, section):
        """Create the lease and order controller of a deployment."""
        host = self._host
        lease = Lease(
            name,
            host.name,
            host.incarnation,
            host.settings["stewards.lease_s"],
            lambda: secrets.token_hex(8),
        )
        orders = OrderController(
            name, section["fencing"], section["order_timeout_s"], lease.term_validity
        )
        stewardship = self._stewardships[name] = _Stewardship(lease, orders)

        def on_lease(effect):
            self._on_lease(name, stewardship, effect)

        def on_order_effect(effect):
            self._on_order_effect(name, stewardship, effect)

        self._runners[name] = (
            MachineRunner(lease, host.client, host.clock, on_lease),
            MachineRunner(orders, host.client, host.clock, on_order_effect),
        )
        return stewardship

    def _on_lease(self, name, stewardship, effect):
        """Handle the gain or loss of a lease."""
        host = self._host
        now_s = host.clock()
        if isinstance(effect, LeaseGained):
            host.log("info", "lease_gained", deployment=name, term=effect.term)
            effects = stewardship.orders.on_lease_gained(
                now_s, effect.term, effect.open_terms
            )
            self._runners[name][1].execute(effects)
            return
        if isinstance(effect, LeaseLost):
            host.log("info", "lease_lost", deployment=name, term=effect.term)
            stewardship.orders.on_lease_lost(now_s)

    def _on_order_effect(self, name, stewardship, effect):
        """Execute an effect of an order controller."""
        if isinstance(effect, TermsClosed):
            stewardship.lease.close_terms(effect.terms)
            return
        if isinstance(effect, OrderEnded):
            self._host.log(
                "info",
                "order_settled",
                deployment=name,
                endpoint=effect.engine,
                order=effect.order_id,
                goal=effect.goal,
                state=effect.state,
                detail=effect.detail or None,
            )
            self._host.metrics.order_ended(name, effect.goal, effect.state)
            return
        task = asyncio.ensure_future(self._send_to_engine(name, effect))
        self._sends.add(task)
        task.add_done_callback(self._sends.discard)

    async def _send_to_engine(self, name, effect):
        """Send an order or a query to an engine; pass the result to the controller."""
        entry = self._host.endpoints.find(effect.engine)
        address = entry.address if entry is not None else "127.0.0.1:0"
        if isinstance(effect, SendOrder):
            self._host.log(
                "info",
                "order_sent",
                deployment=name,
                endpoint=effect.engine,
                order=effect.order_id,
                term=effect.term,
                goal=effect.goal,
            )
            event = await self._sender.send(address, effect)
        elif isinstance(effect, QueryOrder):
            event = await self._sender.query(address, effect)
        else:
            raise TypeError(f"unknown effect {effect!r}")
        order_runner = self._runners[name][1]
        order_runner.execute(order_runner.machine.handle(self._host.clock(), event))

    def _plan(self, name, section, stewardship):
        """Plan model loads, or role changes when no load is due, and order them."""
        host = self._host
        policy = deployment_policy(name, section)
        if stewardship.role_planner is None:
            stewardship.role_planner = RoleChangePlanner(policy)
            stewardship.rollout_planner = RolloutPlanner(policy)
        stewardship.role_planner.policy = policy
        stewardship.rollout_planner.policy = policy
        roles, engines = self._usable_engines(name)
        if not roles:
            return
        demands = self._fresh_demands(name)
        busy = stewardship.orders.busy_engines()
        now_s = host.clock()
        target = (section["model"], str(section["version"]))
        loads = stewardship.rollout_planner.plan(
            now_s, engines, target, engines_needed(demands), busy
        )
        for load in loads:
            goal = {"model": load.model, "version": load.version}
            self._set_goal(name, stewardship, load.endpoint, goal)
        if loads:
            return
        for change in stewardship.role_planner.plan(now_s, roles, demands, busy):
            self._set_goal(name, stewardship, change.endpoint, {"role": change.role})

    def _set_goal(self, name, stewardship, engine, goal):
        """Set an engine's goal in the order controller."""
        effects = stewardship.orders.set_goal(self._host.clock(), engine, goal)
        self._runners[name][1].execute(effects)

    def _usable_engines(self, name):
        """Return the roles of the usable engines, and their models and running load.

        Returns
        -------
        dict
            Role by engine.
        dict
            Model, version and number of running requests by engine.
        """
        endpoints = self._host.endpoints
        roles, engines = {}, {}
        for entry in endpoints.group("engine", name):
            usable = entry.name in endpoints.roles
            usable &= not endpoints.is_silent(entry.name)
            usable &= not endpoints.is_leaving(entry)
            if not usable:
                continue
            roles[entry.name] = endpoints.roles[entry.name]
            models = endpoints.models.get(entry.name) or [("", "")]
            running = endpoints.reports[entry.name].running
            engines[entry.name] = (*models[0], running)
        return roles, engines

    def _fresh_demands(self, name):
        """Return the demands for a deployment reported by this host and its peers."""
        host = self._host
        now_s = host.clock()
        demands = []
        scheduler = host.dispatcher.schedulers.get(name)
        if scheduler is not None:
            demands.append(scheduler.demand())
        for received_s, demand in self._demands.get(name, {}).values():
            if now_s - received_s <= DEMAND_AGE_MAX_S:
                demands.append(demand)
        return demands
