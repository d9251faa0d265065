"""The steward's duties: one lease a deployment, role changes and model loads."""

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
from gypsumusher_daemon.effects import MachineRunner
from gypsumusher_daemon.order_sender import OrderSender
from gypsumusher_policy import (
    RoleChangePlanner,
    RolloutPlanner,
)
from gypsumusher_policy.rollout import engines_needed

__all__ = ["Stewards"]

# Hosts that seek a deployment's lease. At 330 hosts and 40 deployments all of them
# would read 13,200 leases every few seconds; three are enough for two to fail.
CANDIDATES = 3
TICKS_A_LEASE = 30
ORDER_TIMEOUT_S = 5.0
RELEASE_TIMEOUT_S = 3.0
# A demand that was not renewed for this long is no longer a host's word.
DEMAND_AGE_MAX_S = 10.0


class _Stewardship:
    """This host's side of one deployment's lease and orders."""

    def __init__(self, lease, book):
        self.lease = lease
        self.book = book
        self.shift = None
        self.rollout = None
        self.planned_s = float("-inf")


class Stewards:
    """Seeks leases for the deployments that choose this host, and acts under them.

    Parameters
    ----------
    host : EntryHost
        Its parts are used here.
    """

    def __init__(self, host):
        self._host = host
        self._held = {}
        self._runners = {}
        self._demands = {}
        self._sender = OrderSender(host.clock, ORDER_TIMEOUT_S)
        self._task = None
        self._sends = set()

    async def start(self):
        """Begin to seek leases."""
        await self._sender.start()
        self._task = asyncio.ensure_future(self._tick_on())

    async def close(self):
        """Stop at once; leases lapse by themselves."""
        tasks = [*self._sends]
        if self._task is not None:
            tasks.append(self._task)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for lease_runner, book_runner in self._runners.values():
            await lease_runner.close()
            await book_runner.close()
        await self._sender.close()

    async def release(self):
        """Give the leases up for a planned stop, once no order is on its way."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
            self._task = None
        end_s = self._host.clock() + RELEASE_TIMEOUT_S
        while self._host.clock() < end_s:
            if not any(s.book.has_orders_in_flight() for s in self._held.values()):
                break
            await asyncio.sleep(self._tick_s())
        for name, stewardship in self._held.items():
            if stewardship.book.has_orders_in_flight():
                continue
            runner = self._runners[name][0]
            runner.drive(stewardship.lease.release(self._host.clock()))
        while self._host.clock() < end_s:
            if all(s.lease.is_released for s in self._held.values()):
                return
            await asyncio.sleep(self._tick_s())
            for lease_runner, _ in self._runners.values():
                lease_runner.tick()

    def hear(self, peer, demands):
        """Take another host's demand for each deployment.

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
        """Return the leases that this host holds, as operators see them."""
        now_s = self._host.clock()
        rows = []
        for name, stewardship in sorted(self._held.items()):
            if not stewardship.lease.is_held(now_s):
                continue
            waiting = [term.holder for term in stewardship.book.blocking_terms()]
            rows.append(
                {
                    "deployment": name,
                    "holder": self._host.name,
                    "term": stewardship.lease.term,
                    "unfinished": sorted(stewardship.book.busy_engines()),
                    "waiting_for": waiting,
                }
            )
        return rows

    def confirm_dead(self, deployment, term):
        """Take an operator's word that a former holder is dead; True if it helps."""
        stewardship = self._held.get(deployment)
        if stewardship is None:
            return False
        known = any(t.term == term for t in stewardship.book.blocking_terms())
        effects = stewardship.book.confirm_holder_dead(self._host.clock(), term)
        self._runners[deployment][1].drive(effects)
        return known

    def _tick_s(self):
        """Return the interval in which leases are looked at."""
        return self._host.settings["stewards.lease_s"] / TICKS_A_LEASE

    async def _tick_on(self):
        """Look at the leases again and again."""
        while True:
            await asyncio.sleep(self._tick_s())
            document = self._host.document
            if document is None:
                continue
            for name, section in document["deployments"].items():
                self._tick(name, section)

    def _is_candidate(self, deployment):
        """Return whether this host should seek a deployment's lease."""
        host = self._host
        # The first members of the deployment's own cell: they hear of its demand.
        cell = cell_of(host.document, host.hosts_with_self(), deployment)
        return host.name in cell[:CANDIDATES]

    def _tick(self, name, section):
        """Look at one deployment's lease and orders."""
        stewardship = self._held.get(name)
        if stewardship is None:
            if not self._is_candidate(name):
                return
            stewardship = self._open(name, section)
        lease_runner, book_runner = self._runners[name]
        lease_runner.tick()
        now_s = self._host.clock()
        if not stewardship.lease.is_held(now_s):
            return
        book = stewardship.book
        book.set_fencing(section["fencing"], section["order_timeout_s"])
        engines = [e.name for e in self._host.endpoints.group("engine", name)]
        book_runner.drive(book.set_engines(now_s, engines))
        if now_s - stewardship.planned_s >= self._host.settings["stewards.plan_s"]:
            stewardship.planned_s = now_s
            self._plan(name, section, stewardship)

    def _open(self, name, section):
        """Begin to seek a deployment's lease."""
        host = self._host
        lease = Lease(
            name,
            host.name,
            host.incarnation,
            host.settings["stewards.lease_s"],
            lambda: secrets.token_hex(8),
        )
        book = OrderController(
            name, section["fencing"], section["order_timeout_s"], lease.term_validity
        )
        stewardship = self._held[name] = _Stewardship(lease, book)

        def on_lease(effect):
            self._on_lease(name, stewardship, effect)

        def on_book(effect):
            self._on_book(name, stewardship, effect)

        self._runners[name] = (
            MachineRunner(lease, host.client, host.clock, on_lease),
            MachineRunner(book, host.client, host.clock, on_book),
        )
        return stewardship

    def _on_lease(self, name, stewardship, effect):
        """Take a lease that was gained or lost."""
        host = self._host
        now_s = host.clock()
        if isinstance(effect, LeaseGained):
            host.log("info", "lease_gained", deployment=name, term=effect.term)
            effects = stewardship.book.on_lease_gained(
                now_s, effect.term, effect.open_terms
            )
            self._runners[name][1].drive(effects)
            return
        if isinstance(effect, LeaseLost):
            host.log("info", "lease_lost", deployment=name, term=effect.term)
            stewardship.book.on_lease_lost(now_s)

    def _on_book(self, name, stewardship, effect):
        """Carry out what the order book decided."""
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
            self._host.metrics.order_settled(name, effect.goal, effect.state)
            return
        task = asyncio.ensure_future(self._exchange(name, effect))
        self._sends.add(task)
        task.add_done_callback(self._sends.discard)

    async def _exchange(self, name, effect):
        """Send an order or a question to an engine, and tell the book."""
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
        book_runner = self._runners[name][1]
        book_runner.drive(book_runner.machine.handle(self._host.clock(), event))

    def _plan(self, name, section, stewardship):
        """Decide on role changes and model loads, and want them."""
        host = self._host
        policy = deployment_policy(name, section)
        if stewardship.shift is None:
            stewardship.shift = RoleChangePlanner(policy)
            stewardship.rollout = RolloutPlanner(policy)
        stewardship.shift.policy = policy
        stewardship.rollout.policy = policy
        roles, engines = self._engines(name)
        if not roles:
            return
        demands = self._fresh_demands(name)
        busy = stewardship.book.busy_engines()
        now_s = host.clock()
        target = (section["model"], str(section["version"]))
        loads = stewardship.rollout.plan(
            now_s, engines, target, engines_needed(demands), busy
        )
        for load in loads:
            goal = {"model": load.model, "version": load.version}
            self._want(name, stewardship, load.endpoint, goal)
        if loads:
            return
        for change in stewardship.shift.plan(now_s, roles, demands, busy):
            self._want(name, stewardship, change.endpoint, {"role": change.role})

    def _want(self, name, stewardship, engine, goal):
        """Ask the order book for a goal."""
        effects = stewardship.book.set_goal(self._host.clock(), engine, goal)
        self._runners[name][1].drive(effects)

    def _engines(self, name):
        """Return the roles, and the models with the load, of the usable engines."""
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
        """Return what this host and its peers say of a deployment's demand."""
        host = self._host
        now_s = host.clock()
        demands = []
        scheduler = host.dispatcher.schedulers.get(name)
        if scheduler is not None:
            demands.append(scheduler.demand())
        for heard_s, demand in self._demands.get(name, {}).values():
            if now_s - heard_s <= DEMAND_AGE_MAX_S:
                demands.append(demand)
        return demands
