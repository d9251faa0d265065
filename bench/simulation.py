"""Runs a scenario under one decider in virtual time and measures its outcomes."""

import random
from collections import Counter
from typing import NamedTuple

from baselines import (
    EagerPlanner,
    SimpleScheduler,
    best_static_split,
    clairvoyant_work_s,
    make_least_loaded,
    make_round_robin,
)
from engine_model import Engine, EngineSettings
from hosts import Host
from virtual_time import VirtualClock

from gypsumusher_policy import Quarantine, RoleChangePlanner, RolloutPlanner, Scheduler
from gypsumusher_policy.rollout import engines_needed

# Period and delivery delay of state updates between hosts.
GOSSIP_PERIOD_S = 0.25
GOSSIP_LAG_S = 0.1
# Period of the engines' load reports.
REPORT_PERIOD_S = 0.5
# Period at which role changes and rollouts are planned.
PLANNING_PERIOD_S = 1.0
# From the decision to change an engine until every host has stopped sending it work.
ORDER_LAG_S = 0.5
# Period at which hosts receive the list of engines.
ENDPOINT_LIST_PERIOD_S = 1.0
# Time after the last arrival in which requests may still finish on time.
DRAIN_S = 60.0
# Duration of a model load from the weight store, if no other runs at the same time.
MODEL_LOAD_S = 15.0

# Compared deciders: the library's policy and three baselines.
DECIDERS = ("policy", "static", "least_loaded", "eager")


class Scenario(NamedTuple):
    """The load, the report lag and the faults of one run.

    Parameters
    ----------
    name : str
        Name in the results.
    phases : tuple of Phase
        Loads and mixes, one after another.
    report_lag_s : float
        Age of a load report when it arrives.
    skew : float
        Exponent of the tenants' Zipf weights.
    faults : tuple of (at_s, kind, value)
        Faults of engines; the value is the index of an engine or a fingerprint.
    obey_retry_after : bool
        Whether refused callers send the request again after Retry-After.
    resend_failed : bool
        Whether the caller of the crashing request sends it again.
    plot : bool
        Whether to plot the run.
    """

    name: str
    phases: tuple
    report_lag_s: float = 0.5
    skew: float = 1.0
    faults: tuple = ()
    obey_retry_after: bool = False
    resend_failed: bool = False
    plot: bool = False


class Result(NamedTuple):
    """The measures of one run.

    Goodput, bound and wasted work are in engine seconds. Comebacks are requests sent
    again after Retry-After, `comebacks_in` those that were not refused again.
    """

    scenario: str
    user: str
    decider: str
    requests: int
    on_time: int
    goodput_s: float
    bound_s: float
    goodput_share: float
    role_changes: int
    refusals: int
    late: int
    failed: int
    urgent_p95_s: float
    urgent_on_time_share: float
    long_on_time_share: float
    comebacks: int
    comebacks_in: int
    engines_lost: int
    innocents_lost: int
    wasted_s: float
    least_serving: int


class Run:
    """One run of a scenario under one decider."""

    def __init__(self, user, scenario, decider, seed, settings=None, time_scale=1.0):
        self.user = user
        self.scenario = scenario
        self.decider = decider
        self.seed = seed
        self.settings = settings or EngineSettings()
        self.time_scale = time_scale
        self.clock = VirtualClock()
        self.rng = random.Random(seed + 1)
        self.fleet = {}
        self.hosts = []
        # Role that each engine has after its pending change, by engine name.
        self.changing = {}
        self.outcomes = []
        self.comebacks = Counter()
        self.failed_innocents = set()
        self.samples = []
        self.arrived_work = []
        self.least_serving = user.engines
        self.rollout = None

    def run(self, arrivals) -> Result:
        """Simulate the arrivals and return the measures of the run."""
        self.arrivals = arrivals
        self.seconds = sum(phase.seconds for phase in self.scenario.phases)
        self.end_s = self.seconds + DRAIN_S
        self._make_fleet()
        self._make_hosts()
        self._schedule_events()
        self.clock.run_until(self.end_s)
        return self._result()

    def _make_fleet(self):
        """Create the engines, with the best static split of roles in hindsight."""
        count = self.user.engines
        prefill, _ = best_static_split(self.arrivals, self.settings, count, 0)
        zones = self.user.zones
        for number in range(count):
            # Both roles are spread over the zones, as an operator would set it up.
            role = "prefill" if number < prefill else "decode"
            name = f"engine-{number}"
            zone = zones[number % len(zones)]
            engine = Engine(self.clock, name, zone, role, self.settings, self.rng)
            self.fleet[name] = engine

    def _make_hosts(self):
        """Create the hosts and the decider's planner of role changes, if any."""
        zones = self.user.zones
        for number in range(self.user.hosts):
            name = f"host-{number}"
            zone = zones[number % len(zones)]
            host = Host(
                self.clock,
                name,
                zone,
                self._make_scheduler(name, zone, number),
                self.fleet,
                self.user.zone_delay_s,
                self._on_outcome,
            )
            host.on_engine_crash = self._send_suspicions
            self.hosts.append(host)
        self.planner = None
        if self.decider == "policy":
            self.planner = RoleChangePlanner(self.user.policy)
        if self.decider == "eager":
            self.planner = EagerPlanner(self.user.policy)

    def _make_scheduler(self, name, zone, number):
        """Return a host's scheduler; "policy" and "eager" use the same one."""
        policy = self.user.policy
        if self.decider == "static":
            return SimpleScheduler(policy, make_round_robin())
        if self.decider == "least_loaded":
            rng = random.Random(self.seed + 100 + number)
            return SimpleScheduler(policy, make_least_loaded(rng))
        return Scheduler(policy, name, zone, self.seed + number, Quarantine())

    def _schedule_events(self):
        clock = self.clock
        for arrival in self.arrivals:
            clock.at(arrival.request.arrived_s, self._submit_arrival(arrival))
        clock.every(ENDPOINT_LIST_PERIOD_S, 0.0, self._send_endpoint_list)
        clock.every(GOSSIP_PERIOD_S, 0.05, self._gossip)
        clock.every(REPORT_PERIOD_S, 0.0, self._send_reports)
        clock.every(PLANNING_PERIOD_S, 0.9, self._plan_changes)
        clock.every(1.0, 0.0, self._sample)
        clock.every(0.5, 0.25, self._tick_hosts)
        for at_s, kind, value in self.scenario.faults:
            clock.at(at_s * self.time_scale, self._fault(kind, value))

    def _submit_arrival(self, arrival):
        """Return the action that submits an arrival to a random host."""

        def act():
            host = self.rng.choice(self.hosts)
            host.submit(arrival, arrival.request)

        return act

    def _send_endpoint_list(self):
        """Send the list of running engines to all hosts; the first also at once."""
        endpoints = {}
        for name, engine in self.fleet.items():
            if engine.alive:
                endpoints[name] = (engine.zone, engine.role)
        for host in self.hosts:
            self.clock.after(2.0, lambda host=host: host.set_endpoint_list(endpoints))
        if self.clock.now_s == 0.0:
            for host in self.hosts:
                host.set_endpoint_list(endpoints)

    def _gossip(self):
        """Send each host's load and convictions to all other hosts."""
        for host in self.hosts:
            load = host.scheduler.own_load()
            quarantine = host.scheduler.quarantine
            convictions = dict(quarantine.convictions) if quarantine else {}
            for other in self.hosts:
                if other is host:
                    continue
                self.clock.after(
                    GOSSIP_LAG_S, self._deliver_peer_load(other, host.name, load)
                )
                if convictions:
                    self._deliver_convictions(other, convictions)

    def _deliver_peer_load(self, host, peer, load):
        """Return the action that passes a peer's load to a host."""

        def act():
            scheduler = host.scheduler
            host.execute(scheduler.on_peer_load(self.clock.now_s, peer, load))

        return act

    def _deliver_convictions(self, host, convictions):
        """Schedule the delivery of another host's convictions."""

        def act():
            quarantine = host.scheduler.quarantine
            for fingerprint, reason in convictions.items():
                if quarantine.status_of(fingerprint) != "convicted":
                    quarantine.add_conviction(fingerprint, reason, self.clock.now_s)

        self.clock.after(GOSSIP_LAG_S, act)

    def _send_suspicions(self, host, suspicions):
        """Send the requests that ran on a crashed engine to the other hosts, once."""
        for other in self.hosts:
            if other is host:
                continue
            quarantine = other.scheduler.quarantine
            self.clock.after(
                GOSSIP_LAG_S,
                lambda quarantine=quarantine: quarantine.on_suspicions(
                    self.clock.now_s, suspicions
                ),
            )

    def _send_reports(self):
        """Send load reports and cache events of running engines to all hosts."""
        lag_s = self.scenario.report_lag_s
        for engine in self.fleet.values():
            if not engine.alive:
                continue
            report = engine.report()._replace(age_s=lag_s)
            events = engine.take_cache_events()
            for host in self.hosts:
                self.clock.after(lag_s, self._deliver_report(host, report, events))

    def _deliver_report(self, host, report, events):
        """Return the action that passes a report and cache events to a host."""

        def act():
            now_s, scheduler = self.clock.now_s, host.scheduler
            host.execute(scheduler.on_report(now_s, report))
            scheduler.on_cache_events(now_s, report.endpoint, *events)

        return act

    def _tick_hosts(self):
        for host in self.hosts:
            host.tick()

    def _plan_changes(self):
        """Plan and order role changes, and the loads of a rollout."""
        demands = [host.scheduler.demand() for host in self.hosts]
        self._plan_rollout(demands)
        if self.planner is None:
            return
        roles = {}
        for name, engine in self.fleet.items():
            if engine.alive:
                roles[name] = self.changing.get(name, engine.role)
        changes = self.planner.plan(
            self.clock.now_s, roles, demands, set(self.changing)
        )
        for change in changes:
            self._order_change(change.endpoint, change.role)

    def _plan_rollout(self, demands):
        """Order the model loads that are due, if a rollout has started."""
        if self.rollout is None:
            return
        engines = {}
        for name, engine in self.fleet.items():
            if engine.alive:
                engines[name] = ("model", engine.version, len(engine.batch))
        # Deciders that measure no demand update one engine at a time.
        need = len(engines) - 1
        if demands and demands[0]:
            need = engines_needed(demands)
        orders = self.rollout.plan(
            self.clock.now_s, engines, ("model", "2"), need, set(self.changing)
        )
        for order in orders:
            self._order_model_load(order.endpoint)

    def _order_model_load(self, name):
        """Order a load of version 2; other pending changes to the role slow it down."""
        engine = self.fleet[name]
        loads = 1 + sum(1 for goal in self.changing.values() if goal == engine.role)
        self._order_change(name, engine.role, MODEL_LOAD_S * max(1, loads), "2")

    def _order_change(self, name, role, seconds=None, version=None):
        """Stop the hosts from sending work to an engine, then change it.

        The engine is told last, since it refuses requests while it changes.
        """
        self.changing[name] = role
        for host in self.hosts:
            self.clock.after(
                GOSSIP_LAG_S, lambda host=host: host.set_leaving(self.changing)
            )
        engine = self.fleet[name]
        seconds = seconds or self.user.policy.role_change_s

        def apply():
            engine.changes += engine.role != role
            engine.role = role
            engine.version = version or engine.version
            self.changing.pop(name, None)
            for host in self.hosts:
                self.clock.after(GOSSIP_LAG_S, self._deliver_role(host, name, engine))

        self.clock.after(ORDER_LAG_S, lambda: engine.change(seconds, apply))

    def _deliver_role(self, host, name, engine):
        """Return the action that tells a host that an engine's change has ended."""

        def act():
            if name in host.known_endpoints:
                host.known_endpoints = {
                    **host.known_endpoints,
                    name: (engine.zone, engine.role),
                }
            host.set_leaving(self.changing)

        return act

    def _fault(self, kind, value):
        """Return the action that applies a fault of the scenario."""

        def act():
            engines = list(self.fleet.values())
            if kind == "slow":
                engines[value].speed = 0.2
            if kind == "withdraw":
                self._withdraw(engines[value])
            if kind == "black_hole":
                engines[value].black_hole = True
            if kind == "heal":
                engines[value].black_hole = False
                engines[value].speed = 1.0
            if kind == "poison":
                for engine in engines:
                    engine.crash_fingerprint = value
                    engine.on_crash = self._on_crash
            if kind == "rollout":
                self.rollout = RolloutPlanner(self.user.policy)

        return act

    def _withdraw(self, engine):
        """Crash an engine without a restart and cancel its pending change."""
        engine.crash(restart_s=None)
        self.changing.pop(engine.name, None)

    def _on_crash(self, engine):
        """Forget the pending change of a crashed engine."""
        self.changing.pop(engine.name, None)

    def _sample(self):
        """Record how many engines serve in each role, and how many are away."""
        roles = Counter()
        for name, engine in self.fleet.items():
            if not engine.alive:
                roles["away"] += 1
            elif name in self.changing:
                roles["away"] += 1
            else:
                roles[engine.role] += 1
        self.least_serving = min(self.least_serving, self.user.engines - roles["away"])
        self.samples.append((self.clock.now_s, dict(roles)))

    def _on_outcome(self, host, arrival, request, outcome):
        """Record an outcome and schedule a resend if the scenario has one."""
        self.outcomes.append((arrival, request, outcome))
        poison = request.fingerprint == "poison"
        if outcome.code == "done" or (poison and outcome.code == "crashing_request"):
            return
        resend_delay_s = None
        if self.scenario.obey_retry_after and outcome.retry_after_s is not None:
            resend_delay_s = outcome.retry_after_s
        if self.scenario.resend_failed and poison:
            resend_delay_s = 1.0
        if resend_delay_s is not None:
            self._schedule_resend(host, arrival, request, resend_delay_s)

    def _schedule_resend(self, host, arrival, request, resend_delay_s):
        """Send a request again later, as a new request with the same content.

        Callers cache the address of a host, so a refused caller returns to the same
        host; the caller of a failed request tries any host.
        """
        resend_count = 1 + int(request.request_id.partition("~")[2] or 0)
        # Callers give up after three resends; the crashing request returns without end.
        if request.fingerprint != "poison" and resend_count > 3:
            return

        def act():
            now_s = self.clock.now_s
            span_s = request.deadline_s - request.arrived_s
            resent = request._replace(
                request_id=f"{arrival.request.request_id}~{resend_count}",
                arrived_s=now_s,
                deadline_s=now_s + span_s,
            )
            target = (
                host if self.scenario.obey_retry_after else self.rng.choice(self.hosts)
            )
            target.submit(arrival, resent)

        self.clock.after(resend_delay_s, act)

    def _result(self):
        """Compute the measures of the run; the last send of a request counts."""
        last = {}
        refusals = comebacks = comebacks_in = 0
        for arrival, request, outcome in self.outcomes:
            last[arrival.request.request_id] = (arrival, request, outcome)
            refused = outcome.code in ("overloaded", "no_endpoint", "deadline_passed")
            refusals += refused
            # Counts only requests sent again after Retry-After, each of them once.
            if "~" in request.request_id and request.fingerprint != "poison":
                comebacks += 1
                comebacks_in += not refused
        on_time, goodput_s, late, failed = 0, 0.0, 0, 0
        urgent_waits_s, on_time_by_rank = [], Counter()
        innocents_lost = 0
        for arrival, request, outcome in last.values():
            rank = self.user.policy.classes[request.class_name].rank
            is_on_time = outcome.code == "done" and outcome.at_s <= request.deadline_s
            if outcome.code == "done" and rank == 0:
                urgent_waits_s.append(outcome.first_token_s - request.arrived_s)
            late += outcome.code == "done" and not is_on_time
            failed += outcome.code == "endpoint_failed"
            lost = outcome.code in ("endpoint_failed", "crashing_request")
            # Counts idempotent requests only, other than the crashing one.
            if lost and request.fingerprint != "poison":
                innocents_lost += request.idempotent
            if is_on_time:
                on_time += 1
                goodput_s += arrival.work_s
                on_time_by_rank[rank] += 1
        requests_by_rank = Counter()
        for arrival in self.arrivals:
            rank = self.user.policy.classes[arrival.request.class_name].rank
            requests_by_rank[rank] += 1
        urgent_waits_s.sort()
        p95_s = (
            urgent_waits_s[int(0.95 * len(urgent_waits_s))] if urgent_waits_s else 0.0
        )
        bound_s = self.bound_s()
        busy_s = sum(engine.busy_s for engine in self.fleet.values())
        return Result(
            self.scenario.name,
            self.user.name,
            self.decider,
            len(self.arrivals),
            on_time,
            round(goodput_s, 3),
            round(bound_s, 3),
            round(goodput_s / bound_s, 4),
            sum(engine.changes for engine in self.fleet.values()),
            refusals,
            late,
            failed,
            round(p95_s, 3),
            round(on_time_by_rank[0] / max(1, requests_by_rank[0]), 4),
            round(on_time_by_rank[2] / max(1, requests_by_rank[2]), 4),
            comebacks,
            comebacks_in,
            sum(engine.crashes for engine in self.fleet.values()),
            innocents_lost,
            round(busy_s - goodput_s, 1),
            self.least_serving,
        )

    def bound_s(self):
        """Return the upper bound of the goodput of this run, in engine seconds."""
        speeds = [1.0] * self.user.engines
        capacity = [(0.0, float(self.user.engines))]
        for at_s, kind, value in sorted(self.scenario.faults, key=lambda item: item[0]):
            if kind == "slow":
                speeds[value] = 0.2
            if kind in ("withdraw", "black_hole"):
                speeds[value] = 0.0
            if kind == "heal":
                speeds[value] = 1.0
            capacity.append((at_s * self.time_scale, sum(speeds)))
        arrivals = self.arrivals
        if self.scenario.obey_retry_after:
            # Requests that are sent again have until the end, in the bound as well.
            arrivals = []
            for arrival in self.arrivals:
                request = arrival.request._replace(deadline_s=self.end_s)
                arrivals.append(arrival._replace(request=request))
        return clairvoyant_work_s(arrivals, capacity, self.end_s)
