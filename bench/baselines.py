"""Baselines for the policy: three simple deciders and an upper bound."""

import heapq

from gypsumusher_policy import LoadReport, Refuse, RoleChange, Start
from gypsumusher_policy.role_planner import (
    all_role_counts,
    count_roles,
    served_fraction,
)

ATTEMPTS_MAX = 3


class SimpleScheduler:
    """Starts each request at once on the engine that ``pick`` returns.

    Parameters
    ----------
    pick : callable
        Takes the engine names of one stage and the last reports; returns a name.
    """

    def __init__(self, policy, pick):
        self.policy = policy
        self.pick = pick
        self.quarantine = None
        self.endpoints = {}
        self.reports = {}
        self.in_flight = {}

    def set_endpoints(self, now_s, endpoints):
        """Store the list of endpoints, without those that are leaving."""
        self.endpoints = {item.name: item for item in endpoints if not item.leaving}
        return []

    def on_report(self, now_s, report: LoadReport):
        """Store the last report of an engine."""
        self.reports[report.endpoint] = report
        return []

    def on_peer_load(self, now_s, peer, load):
        """Ignore the load of other hosts."""
        return []

    def own_load(self):
        """Return no load for other hosts."""
        return {}

    def on_cache_events(self, now_s, endpoint, add, remove):
        """Ignore prefix caches."""

    def submit(self, now_s, request):
        """Start a request at once."""
        self.in_flight[request.request_id] = [request, 0, ""]
        return self._start(now_s, request.request_id, ("prefill", "mixed"))

    def on_prefill_done(self, now_s, request_id):
        """Start the decode stage at once."""
        return self._start(now_s, request_id, ("decode", "mixed"))

    def on_first_token(self, now_s, request_id):
        """Ignore first tokens."""

    def on_done(self, now_s, request_id, output_tokens):
        """Remove the request."""
        del self.in_flight[request_id]
        return []

    def on_failed(self, now_s, request_id, reason, ran):
        """Retry on the next engine that is picked, as a client library would."""
        request, attempts, stage = self.in_flight[request_id]
        retry = ran == "no" or request.idempotent
        if not retry or attempts >= ATTEMPTS_MAX:
            return self._refuse(request_id)
        roles = ("prefill", "mixed") if stage != "decode" else ("decode", "mixed")
        return self._start(now_s, request_id, roles)

    def tick(self, now_s):
        """Return no actions, since no request waits."""
        return []

    def next_wakeup_s(self):
        """Return None, since nothing is ever due."""
        return None

    def demand(self):
        """Return no demand, since these deciders change no roles."""
        return {}

    def _refuse(self, request_id):
        del self.in_flight[request_id]
        return [Refuse(request_id, "endpoint_failed", "unknown", None, "baseline", "")]

    def _start(self, now_s, request_id, roles):
        flight = self.in_flight[request_id]
        names = [name for name, item in self.endpoints.items() if item.role in roles]
        if not names:
            return self._refuse(request_id)
        name = self.pick(sorted(names), self.reports)
        role = self.endpoints[name].role
        stage = role if role != "mixed" else "whole"
        if role == "mixed" and roles[0] == "decode":
            stage = "decode"
        flight[1] += 1
        flight[2] = stage
        rank = self.policy.classes[flight[0].class_name].rank
        return [Start(request_id, name, stage, rank, flight[1])]


def make_round_robin():
    """Return a ``pick`` that takes the engines in turn."""
    turn = 0

    def pick(names, reports):
        nonlocal turn
        turn += 1
        return names[turn % len(names)]

    return pick


def make_least_loaded(rng):
    """Return a ``pick`` that takes the engine with the least load reported last."""

    def pick(names, reports):
        loads = []
        for name in names:
            report = reports.get(name)
            load = report.running + report.waiting if report else 0
            loads.append((load, rng.random(), name))
        return min(loads)[2]

    return pick


class EagerPlanner:
    """Changes all roles at once for the present demand, without price or dwell time."""

    def __init__(self, policy):
        self.policy = policy

    def plan(self, now_s, roles, demands, busy):
        """Return the changes to the roles that serve the present demand best."""
        prefill = sum(demand["prefill_rate"] for demand in demands)
        decode = sum(demand["decode_rate"] for demand in demands)
        if prefill + decode <= 0:
            return []
        old = count_roles(roles)
        best, best_key = old, None
        for split in all_role_counts(len(roles)):
            if split.prefill + split.mixed == 0 or split.decode + split.mixed == 0:
                continue
            key = (served_fraction(split, prefill, decode), split == old)
            if best_key is None or key > best_key:
                best, best_key = split, key
        wanted = []
        for role in best._fields:
            wanted += [role] * max(0, getattr(best, role) - getattr(old, role))
        changes = []
        spare = {r: getattr(old, r) - getattr(best, r) for r in best._fields}
        for name, role in sorted(roles.items()):
            if spare[role] <= 0 or name in busy or not wanted:
                continue
            spare[role] -= 1
            changes.append(RoleChange(name, wanted.pop()))
        return changes


def best_static_split(arrivals, settings, engines, seconds):
    """Return the engine counts (prefill, decode) that suit the mix of the whole run.

    The static baseline gets the best split in hindsight, so that it isn't handicapped.
    """
    decode_s = 0.0
    for arrival in arrivals:
        decode_s += arrival.output_tokens / settings.decode_tokens_per_s
    total_s = sum(arrival.work_s for arrival in arrivals)
    share = 1.0 - decode_s / total_s
    prefill = min(engines - 1, max(1, round(share * engines)))
    return prefill, engines - prefill


def clairvoyant_work_s(arrivals, capacity, end_s):
    """Return the most on-time work of any planner, in engine seconds.

    The bound relaxes the real problem: all arrivals are known, engines do prefill and
    decode at full rate and change roles at no cost, a request may run on all engines at
    once, caches share every prefix, and work on unfinished requests counts. Under these
    assumptions earliest deadline first does the most work, so no planner can exceed it.

    Parameters
    ----------
    arrivals : list of Arrival
        All requests, in order of arrival.
    capacity : list of (from_s, engines)
        Number of engines at full speed, from each time on.
    end_s : float
        End of the measurement, in seconds.
    """
    changes = sorted(capacity)
    events = [(arrival.request.arrived_s, 1, arrival) for arrival in arrivals]
    events += [(at_s, 0, engines) for at_s, engines in changes]
    events.sort(key=lambda event: event[:2])
    events.append((end_s, 2, None))
    waiting, order, engines, now_s, done_s = [], 0, 0.0, 0.0, 0.0
    for at_s, kind, value in events:
        done_s += _run_earliest_deadline_first(
            waiting, now_s, min(at_s, end_s), engines
        )
        now_s = at_s
        if kind == 0:
            engines = value
        if kind == 1:
            order += 1
            deadline_s = min(end_s, value.request.deadline_s)
            heapq.heappush(waiting, [deadline_s, order, value.work_s])
    return done_s


def _run_earliest_deadline_first(waiting, now_s, until_s, engines):
    """Run waiting requests until a time; return the work done, in engine seconds."""
    done_s = 0.0
    while waiting and now_s < until_s and engines > 0:
        first = waiting[0]
        stop_s = min(until_s, first[0])
        if stop_s <= now_s:
            heapq.heappop(waiting)
            continue
        available_s = (stop_s - now_s) * engines
        used_s = min(available_s, first[2])
        done_s += used_s
        first[2] -= used_s
        now_s += used_s / engines
        if first[2] <= 1e-12:
            heapq.heappop(waiting)
        elif now_s >= first[0] - 1e-12:
            heapq.heappop(waiting)
    return done_s
