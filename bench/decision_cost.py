"""Measures the wall-clock cost of decisions, also at the size planned for two years."""

import random
import time

from engine_model import EngineSettings
from simulation import Run, Scenario
from workload import HANBIT, Phase, make_arrivals

from gypsumusher_policy import Endpoint, LoadReport, Request, Scheduler, choose_cell

# Decisions per measurement.
DECISIONS = 4000
# Hosts that serve one deployment.
HOSTS_PER_CELL = 8
# Size of the system that is expected in two years.
TWO_YEARS = {"hosts": 330, "replicas": 910, "models": 40, "requests_per_s": 7400.0}


def measure_decision(replicas: int) -> dict:
    """Return the wall-clock cost of decisions in a cell of ``replicas`` engines.

    Each decision is one arrival; finishing requests to make room is not measured.
    """
    scheduler = _make_scheduler(replicas)
    costs_s, refusals_s = [], []
    running = []
    for number in range(DECISIONS):
        now_s = 1.0 + number * 0.002
        request = _request(number, now_s)
        begin_s = time.perf_counter()
        actions = scheduler.submit(now_s, request)
        costs_s.append(time.perf_counter() - begin_s)
        running += [action.request_id for action in actions]
        while len(running) > 4 * replicas:
            scheduler.on_done(now_s, running.pop(0), 50)
    # No request finishes any more, so the queue grows; the last decisions count.
    crowded_s = []
    for number in range(DECISIONS, 2 * DECISIONS):
        request = _request(number, 10.0)
        begin_s = time.perf_counter()
        scheduler.submit(10.0, request)
        crowded_s.append(time.perf_counter() - begin_s)
    crowded_s = sorted(crowded_s[-500:])
    # Requests whose deadline has passed are refused at once.
    for number in range(200):
        late = _request(9 * DECISIONS + number, 100.0)._replace(deadline_s=99.0)
        begin_s = time.perf_counter()
        scheduler.submit(100.0, late)
        refusals_s.append(time.perf_counter() - begin_s)
    costs_s.sort()
    refusals_s.sort()
    return {
        "measure": "decision_cost",
        "replicas": replicas,
        "median_us": round(costs_s[len(costs_s) // 2] * 1e6, 1),
        "p99_us": round(costs_s[int(0.99 * len(costs_s))] * 1e6, 1),
        "crowded_median_us": round(crowded_s[250] * 1e6, 1),
        "crowded_p99_us": round(crowded_s[494] * 1e6, 1),
        "refusal_p99_us": round(refusals_s[int(0.99 * len(refusals_s))] * 1e6, 1),
    }


def _make_scheduler(replicas):
    """Return a scheduler that has reports of all engines and loads of all hosts."""
    rng = random.Random(5)
    scheduler = Scheduler(HANBIT.policy, "host-0", "anyang", 1)
    names = [f"engine-{number}" for number in range(replicas)]
    endpoints = [Endpoint(name, "anyang", "mixed", False) for name in names]
    scheduler.set_endpoints(0.0, endpoints)
    for name in names:
        report = LoadReport(
            name, 1, 0.5, "mixed", False, 0, 0, 0, 64, 0, 900_000, 8e3, 2e3
        )
        scheduler.on_report(0.5, report)
    for peer in range(1, HOSTS_PER_CELL):
        load = {name: (rng.randrange(4), 0) for name in names}
        scheduler.on_peer_load(0.6, f"host-{peer}", load)
    return scheduler


def _request(number, now_s):
    return Request(
        f"r{number}",
        f"tenant-{number % 40}",
        "standard",
        100,
        100,
        now_s,
        now_s + 60.0,
        (number % 50, number % 50 + 1000),
        True,
        f"f{number}",
    )


def run_two_years(seconds: float = 8.0) -> dict:
    """Simulate the cell of one deployment at the two-year size, and choose all cells.

    The cell serves one of 40 equal deployments: 8 hosts, 23 replicas, a fortieth of the
    requests, on engines fast enough for them. The other 39 share only hosts with it.
    """
    sizes = TWO_YEARS
    replicas = round(sizes["replicas"] / sizes["models"])
    rate_per_s = sizes["requests_per_s"] / sizes["models"]
    user = HANBIT._replace(hosts=HOSTS_PER_CELL, engines=replicas)
    phases = (Phase(seconds, 0.7, 0.26),)
    settings = EngineSettings()
    arrivals = make_arrivals(user, phases, 31, settings, 1.0, replicas)
    speed = rate_per_s * seconds / len(arrivals)
    settings = EngineSettings(
        prefill_tokens_per_s=speed * 8000.0,
        decode_tokens_per_s=speed * 2000.0,
        slots=int(speed * 32),
    )
    arrivals = make_arrivals(user, phases, 31, settings, 1.0, replicas)
    begin_s = time.perf_counter()
    run = Run(user, Scenario("two_years", phases), "policy", 31, settings)
    result = run.run(arrivals)
    run_s = time.perf_counter() - begin_s
    hosts = [(f"host-{number}", f"zone-{number % 6}") for number in range(330)]
    cells_per_host = dict.fromkeys((name for name, _ in hosts), 0)
    begin_s = time.perf_counter()
    for model in range(sizes["models"]):
        for name in choose_cell(hosts, f"model-{model}", HOSTS_PER_CELL):
            cells_per_host[name] += 1
    return {
        "measure": "two_years",
        "requests": len(arrivals),
        "requests_per_s": round(len(arrivals) / seconds, 1),
        "goodput_share": result.goodput_share,
        "urgent_p95_s": result.urgent_p95_s,
        "role_changes": result.role_changes,
        "run_wall_s": round(run_s, 1),
        "cells_wall_ms": round((time.perf_counter() - begin_s) * 1e3, 1),
        "most_cells_on_a_host": max(cells_per_host.values()),
    }
