"""What the policy is compared with: three simple deciders and a bound from above."""

import heapq

from gypsumusher_policy import LoadReport, Refuse, RoleChange, Start
from gypsumusher_policy.role_planner import (
    all_role_counts,
    count_roles,
    served_fraction,
)

MAX_ATTEMPTS = 3


class SimpleScheduler:
    """Sends each request at once to the engine that ``pick`` names, and never refuses.

    Parameters
    ----------
    pick : callable
        Takes the names of the engines of one stage and their reports.
    """

    def __init__(self, policy, pick):
        self.policy = policy
        self.pick = pick
        self.quarantine = None
        self.endpoints = {}
        self.reports = {}
        self.flights = {}

    def set_endpoints(self, now_s, endpoints):
        """Take the list of endpoints."""
        self.endpoints = {item.name: item for item in endpoints if not item.leaving}
        return []

    def on_report(self, now_s, report: LoadReport):
        """Remember the last report."""
        self.reports[report.endpoint] = report
        return []

    def on_peer_load(self, now_s, peer, load):
        """Ignore the peers: these deciders act on reports alone or on nothing."""
        return []

    def own_load(self):
        """Return nothing for the peers."""
        return {}

    def on_cache_events(self, now_s, endpoint, add, remove):
        """Ignore the caches."""

    def submit(self, now_s, request):
        """Start a request at once."""
        self.flights[request.request_id] = [request, 0, ""]
        return self._start(now_s, request.request_id, ("prefill", "mixed"))

    def on_prefill_done(self, now_s, request_id):
        """Start the second stage at once."""
        return self._start(now_s, request_id, ("decode", "mixed"))

    def on_first_token(self, now_s, request_id):
        """Nothing depends on it."""

    def on_done(self, now_s, request_id, output_tokens):
        """Forget the request."""
        del self.flights[request_id]
        return []

    def on_failed(self, now_s, request_id, reason, ran):
        """Try again on another engine, as the retry of a client library would."""
        request, attempts, stage = self.flights[request_id]
        retry = ran == "no" or request.idempotent
        if not retry or attempts >= MAX_ATTEMPTS:
            return self._refuse(request_id)
        roles = ("prefill", "mixed") if stage != "decode" else ("decode", "mixed")
        return self._start(now_s, request_id, roles)

    def tick(self, now_s):
        """Nothing waits here."""
        return []

    def next_wakeup_s(self):
        """Nothing is ever due."""
        return None

    def demand(self):
        """Return nothing: these deciders change no roles."""
        return {}

    def _refuse(self, request_id):
        del self.flights[request_id]
        return [Refuse(request_id, "endpoint_failed", "unknown", None, "baseline", "")]

    def _start(self, now_s, request_id, roles):
        flight = self.flights[request_id]
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
    """Return a pick that takes one engine after another."""
    turn = 0

    def pick(names, reports):
        nonlocal turn
        turn += 1
        return names[turn % len(names)]

    return pick


def make_least_loaded(draw):
    """Return a pick that takes the engine whose last report shows the least load."""

    def pick(names, reports):
        loads = []
        for name in names:
            report = reports.get(name)
            load = report.running + report.waiting if report else 0
            loads.append((load, draw.random(), name))
        return min(loads)[2]

    return pick


class EagerPlanner:
    """Shifts at once on every swing: no price, no dwell time, all changes together."""

    def __init__(self, policy):
        self.policy = policy

    def plan(self, now_s, roles, demands, busy):
        """Return the changes to the split that serves the present demand best."""
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
    """Return the (prefill, decode) split that suits the whole run's mix best.

    The static baseline gets the best split that hindsight can find.
    """
    decode_s = 0.0
    for arrival in arrivals:
        decode_s += arrival.output_tokens / settings.decode_tokens_per_s
    total_s = sum(arrival.work_s for arrival in arrivals)
    share = 1.0 - decode_s / total_s
    prefill = min(engines - 1, max(1, round(share * engines)))
    return prefill, engines - prefill


def clairvoyant_work_s(arrivals, capacity, end_s):
    """Return the most on-time work that any planner could do, in engine seconds.

    It knows the whole arrival list and is given what no real fleet has: engines that
    do either kind of work at full rate and change at no cost, a request that may be
    spread over all engines at once, every prefix shared by all caches, and credit for
    the part of a request done in time. Under these, earliest deadline first does the
    most work inside the requests' windows, so that no planner can do more.

    Parameters
    ----------
    arrivals : list of Arrival
        All requests, in order of arrival.
    capacity : list of (from_s, engines)
        Engines there, at full speed, from each time on.
    end_s : float
        End of the measurement, in seconds.
    """
    changes = sorted(capacity)
    events = [(arrival.request.arrived_s, 1, arrival) for arrival in arrivals]
    events += [(at_s, 0, engines) for at_s, engines in changes]
    events.sort(key=lambda event: event[:2])
    events.append((end_s, 2, None))
    waiting, order, engines, now_s, done_s = [], 0, 0.0, 0.0, 0.0
    for at_s, what, value in events:
        done_s += _work_until(waiting, now_s, min(at_s, end_s), engines)
        now_s = at_s
        if what == 0:
            engines = value
        if what == 1:
            order += 1
            deadline_s = min(end_s, value.request.deadline_s)
            heapq.heappush(waiting, [deadline_s, order, value.work_s])
    return done_s


def _work_until(waiting, now_s, until_s, engines):
    done_s = 0.0
    while waiting and now_s < until_s and engines > 0:
        first = waiting[0]
        stop_s = min(until_s, first[0])
        if stop_s <= now_s:
            heapq.heappop(waiting)
            continue
        room_s = (stop_s - now_s) * engines
        used_s = min(room_s, first[2])
        done_s += used_s
        first[2] -= used_s
        now_s += used_s / engines
        if first[2] <= 1e-12:
            heapq.heappop(waiting)
        elif now_s >= first[0] - 1e-12:
            heapq.heappop(waiting)
    return done_s
