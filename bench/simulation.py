"""Runs one scenario with one decider in virtual time and measures what callers saw."""

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

GOSSIP_S = 0.25
GOSSIP_LAG_S = 0.1
REPORT_S = 0.5
STEWARD_S = 1.0
# From the steward's decision until every host has stopped placing, in seconds.
ORDER_LAG_S = 0.5
LIST_S = 1.0
# Time after the last arrival in which work may still end on time, in seconds.
DRAIN_S = 60.0
# Seconds that a load from the weight store takes when it runs alone.
LOAD_S = 15.0

DECIDERS = ("policy", "static", "least_loaded", "eager")


class Scenario(NamedTuple):
    """One run: the work, the view's lag, and what goes wrong.

    Parameters
    ----------
    name : str
        Name in the results.
    phases : tuple of Phase
        Loads and mixes.
    report_lag_s : float
        Age of a load report when it arrives.
    skew : float
        Skew of the tenants.
    faults : tuple of (at_s, kind, value)
        What happens to the engines.
    obey : bool
        Whether refused callers come again when they are told to.
    repeat_failed : bool
        Whether a caller whose request failed sends it again.
    plot : bool
        Whether the run is plotted.
    """

    name: str
    phases: tuple
    report_lag_s: float = 0.5
    skew: float = 1.0
    faults: tuple = ()
    obey: bool = False
    repeat_failed: bool = False
    plot: bool = False


class Result(NamedTuple):
    """What one run gave; work is in engine seconds."""

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
    """One scenario under one decider."""

    def __init__(self, user, scenario, decider, seed, settings=None, time_scale=1.0):
        self.user = user
        self.scenario = scenario
        self.decider = decider
        self.seed = seed
        self.settings = settings or EngineSettings()
        self.time_scale = time_scale
        self.clock = VirtualClock()
        self.draw = random.Random(seed + 1)
        self.fleet = {}
        self.hosts = []
        self.changing = {}
        self.outcomes = []
        self.comebacks = Counter()
        self.failed_innocents = set()
        self.samples = []
        self.arrived_work = []
        self.least_serving = user.engines
        self.rollout = None

    def run(self, arrivals) -> Result:
        """Play the arrivals and return what callers saw."""
        self.arrivals = arrivals
        self.seconds = sum(phase.seconds for phase in self.scenario.phases)
        self.end_s = self.seconds + DRAIN_S
        self._make_fleet()
        self._make_hosts()
        self._schedule()
        self.clock.run_until(self.end_s)
        return self._result()

    def _make_fleet(self):
        count = self.user.engines
        prefill, _ = best_static_split(self.arrivals, self.settings, count, 0)
        zones = self.user.zones
        for number in range(count):
            # Every zone gets some of each role, as an operator would set it up.
            role = "prefill" if number < prefill else "decode"
            name = f"engine-{number}"
            zone = zones[number % len(zones)]
            engine = Engine(self.clock, name, zone, role, self.settings, self.draw)
            self.fleet[name] = engine

    def _make_hosts(self):
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
            host.tell_crash = self._tell_crash
            self.hosts.append(host)
        self.planner = None
        if self.decider == "policy":
            self.planner = RoleChangePlanner(self.user.policy)
        if self.decider == "eager":
            self.planner = EagerPlanner(self.user.policy)

    def _make_scheduler(self, name, zone, number):
        policy = self.user.policy
        if self.decider == "static":
            return SimpleScheduler(policy, make_round_robin())
        if self.decider == "least_loaded":
            draw = random.Random(self.seed + 100 + number)
            return SimpleScheduler(policy, make_least_loaded(draw))
        return Scheduler(policy, name, zone, self.seed + number, Quarantine())

    def _schedule(self):
        clock = self.clock
        for arrival in self.arrivals:
            clock.at(arrival.request.arrived_s, self._arrive(arrival))
        clock.every(LIST_S, 0.0, self._list)
        clock.every(GOSSIP_S, 0.05, self._gossip)
        clock.every(REPORT_S, 0.0, self._report)
        clock.every(STEWARD_S, 0.9, self._steer)
        clock.every(1.0, 0.0, self._sample)
        clock.every(0.5, 0.25, self._tick)
        for at_s, kind, value in self.scenario.faults:
            clock.at(at_s * self.time_scale, self._fault(kind, value))

    def _arrive(self, arrival):
        def act():
            host = self.draw.choice(self.hosts)
            host.submit(arrival, arrival.request)

        return act

    def _list(self):
        view = {}
        for name, engine in self.fleet.items():
            if engine.alive:
                view[name] = (engine.zone, engine.role)
        for host in self.hosts:
            self.clock.after(2.0, lambda host=host: host.hear_endpoints(view))
        if self.clock.now_s == 0.0:
            for host in self.hosts:
                host.hear_endpoints(view)

    def _gossip(self):
        for host in self.hosts:
            load = host.scheduler.own_load()
            quarantine = host.scheduler.quarantine
            convictions = dict(quarantine.convictions) if quarantine else {}
            for other in self.hosts:
                if other is host:
                    continue
                self.clock.after(GOSSIP_LAG_S, self._hear_peer(other, host.name, load))
                if convictions:
                    self._hear_convictions(other, convictions)

    def _hear_peer(self, host, peer, load):
        def act():
            scheduler = host.scheduler
            host.run(scheduler.on_peer_load(self.clock.now_s, peer, load))

        return act

    def _hear_convictions(self, host, convictions):
        def act():
            quarantine = host.scheduler.quarantine
            for fingerprint, reason in convictions.items():
                if quarantine.status_of(fingerprint) != "convicted":
                    quarantine.add_conviction(fingerprint, reason, self.clock.now_s)

        self.clock.after(GOSSIP_LAG_S, act)

    def _tell_crash(self, host, suspicions):
        """Tell the peers what ran on an engine that crashed, once."""
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

    def _report(self):
        lag_s = self.scenario.report_lag_s
        for engine in self.fleet.values():
            if not engine.alive:
                continue
            report = engine.report()._replace(age_s=lag_s)
            events = engine.take_cache_events()
            for host in self.hosts:
                self.clock.after(lag_s, self._hear_report(host, report, events))

    def _hear_report(self, host, report, events):
        def act():
            now_s, scheduler = self.clock.now_s, host.scheduler
            host.run(scheduler.on_report(now_s, report))
            scheduler.on_cache_events(now_s, report.endpoint, *events)

        return act

    def _tick(self):
        for host in self.hosts:
            host.tick()

    def _steer(self):
        demands = [host.scheduler.demand() for host in self.hosts]
        self._steer_loads(demands)
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
            self._order(change.endpoint, change.role)

    def _steer_loads(self, demands):
        if self.rollout is None:
            return
        engines = {}
        for name, engine in self.fleet.items():
            if engine.alive:
                engines[name] = ("model", engine.version, len(engine.batch))
        # The deciders without a demand of their own roll out one engine at a time.
        need = len(engines) - 1
        if demands and demands[0]:
            need = engines_needed(demands)
        orders = self.rollout.plan(
            self.clock.now_s, engines, ("model", "2"), need, set(self.changing)
        )
        for order in orders:
            self._order_load(order.endpoint)

    def _order_load(self, name):
        engine = self.fleet[name]
        loads = 1 + sum(1 for goal in self.changing.values() if goal == engine.role)
        self._order(name, engine.role, LOAD_S * max(1, loads), "2")

    def _order(self, name, role, seconds=None, version=None):
        """Tell the hosts first, then the engine: it must not refuse placed work."""
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
                self.clock.after(GOSSIP_LAG_S, self._hear_role(host, name, engine))

        self.clock.after(ORDER_LAG_S, lambda: engine.change(seconds, apply))

    def _hear_role(self, host, name, engine):
        def act():
            if name in host.view:
                host.view = {**host.view, name: (engine.zone, engine.role)}
            host.set_leaving(self.changing)

        return act

    def _fault(self, kind, value):
        def act():
            engines = list(self.fleet.values())
            if kind == "slow":
                engines[value].speed = 0.2
            if kind == "withdraw":
                self._lose(engines[value])
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

    def _lose(self, engine):
        engine.crash(restart_s=None)
        self.changing.pop(engine.name, None)

    def _on_crash(self, engine):
        self.changing.pop(engine.name, None)

    def _sample(self):
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
        self.outcomes.append((arrival, request, outcome))
        poison = request.fingerprint == "poison"
        if outcome.code == "done" or (poison and outcome.code == "crashing_request"):
            return
        again_s = None
        if self.scenario.obey and outcome.retry_after_s is not None:
            again_s = outcome.retry_after_s
        if self.scenario.repeat_failed and poison:
            again_s = 1.0
        if again_s is not None:
            self._come_again(host, arrival, request, again_s)

    def _come_again(self, host, arrival, request, again_s):
        """Send it once more, as a new request of the same content.

        Callers keep the address of a host for a while, so that one that was told to
        come back comes back to the same; one that failed tries any.
        """
        turn = 1 + int(request.request_id.partition("~")[2] or 0)
        if request.fingerprint != "poison" and turn > 3:
            return

        def act():
            now_s = self.clock.now_s
            span_s = request.deadline_s - request.arrived_s
            again = request._replace(
                request_id=f"{arrival.request.request_id}~{turn}",
                arrived_s=now_s,
                deadline_s=now_s + span_s,
            )
            back = host if self.scenario.obey else self.draw.choice(self.hosts)
            back.submit(arrival, again)

        self.clock.after(again_s, act)

    def _result(self):
        last = {}
        refusals = comebacks = comebacks_in = 0
        for arrival, request, outcome in self.outcomes:
            last[arrival.request.request_id] = (arrival, request, outcome)
            refused = outcome.code in ("overloaded", "no_endpoint", "deadline_passed")
            refusals += refused
            # Only what came back after being told when counts; each comeback once.
            if "~" in request.request_id and request.fingerprint != "poison":
                comebacks += 1
                comebacks_in += not refused
        on_time, goodput_s, late, failed = 0, 0.0, 0, 0
        urgent, classes = [], Counter()
        innocents = 0
        for arrival, request, outcome in last.values():
            rank = self.user.policy.classes[request.class_name].rank
            good = outcome.code == "done" and outcome.at_s <= request.deadline_s
            if outcome.code == "done" and rank == 0:
                urgent.append(outcome.first_token_s - request.arrived_s)
            late += outcome.code == "done" and not good
            failed += outcome.code == "endpoint_failed"
            lost = outcome.code in ("endpoint_failed", "crashing_request")
            if lost and request.fingerprint != "poison":
                innocents += request.idempotent
            if good:
                on_time += 1
                goodput_s += arrival.work_s
                classes[rank] += 1
        asked = Counter()
        for arrival in self.arrivals:
            rank = self.user.policy.classes[arrival.request.class_name].rank
            asked[rank] += 1
        urgent.sort()
        p95_s = urgent[int(0.95 * len(urgent))] if urgent else 0.0
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
            round(classes[0] / max(1, asked[0]), 4),
            round(classes[2] / max(1, asked[2]), 4),
            comebacks,
            comebacks_in,
            sum(engine.crashes for engine in self.fleet.values()),
            innocents,
            round(busy_s - goodput_s, 1),
            self.least_serving,
        )

    def bound_s(self):
        """Return the clairvoyant bound for this run, in engine seconds."""
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
        if self.scenario.obey:
            # Callers who come again have until the end, for the bound as well.
            arrivals = []
            for arrival in self.arrivals:
                request = arrival.request._replace(deadline_s=self.end_s)
                arrivals.append(arrival._replace(request=request))
        return clairvoyant_work_s(arrivals, capacity, self.end_s)
