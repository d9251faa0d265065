"""Measures what the libraries' objects cost, driven without any socket."""

import gc
import time
import tracemalloc

from capacity_fit import fit_line

from gypsumusher_policy import (
    ClassPolicy,
    DeploymentPolicy,
    Endpoint,
    LoadReport,
    Request,
    Scheduler,
    choose_cell,
    choose_entry,
)
from gypsumusher_policy.cache_table import CacheTable

# The least of several rounds counts: other work of the machine only adds time.
ROUNDS = 9
ZONES = ("zone-1", "zone-2", "zone-3", "zone-4", "zone-5", "zone-6")
PROMPT_TOKENS = 2000
OUTPUT_TOKENS = 200
# A slot count that never fills, where only the cost of one more request is wanted.
MANY_SLOTS = 100_000


def cpu_s(call):
    """Return the processor time of a call, in seconds."""
    start_s = time.process_time()
    call()
    return time.process_time() - start_s


def kept_bytes(build):
    """Return the bytes that what ``build`` returns keeps allocated."""
    gc.collect()
    tracemalloc.start()
    kept = build()
    gc.collect()
    size_bytes = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size_bytes


def make_policy():
    """Return a deployment's policy with three classes."""
    classes = {
        "counter": ClassPolicy("counter", 0, 1.5, 0.05, 10.0),
        "standard": ClassPolicy("standard", 1, 5.0, 0.1, 60.0),
        "bulk": ClassPolicy("bulk", 2, 30.0, 0.2, 600.0),
    }
    return DeploymentPolicy(
        name="letter-models",
        classes=classes,
        default_class="standard",
        tenant_weights={},
        role_change_price_s=2.0,
        role_change_s=5.0,
        dwell_s=60.0,
        shifting=True,
        retry_ratio=0.1,
        cell_hosts=8,
        loads_at_once=2,
    )


def make_request(number, tenant="tenant"):
    """Return one ordinary request."""
    return Request(
        request_id=f"request-{number}",
        tenant=tenant,
        class_name="standard",
        prompt_tokens=PROMPT_TOKENS,
        max_output_tokens=OUTPUT_TOKENS,
        arrived_s=0.0,
        deadline_s=1e6,
        prefix_hashes=(number, number + 1, number + 2, number + 3),
        idempotent=True,
        fingerprint=f"fingerprint-{number}",
    )


def make_report(endpoint, sequence, slots, running):
    """Return an engine's load report."""
    return LoadReport(
        endpoint=endpoint,
        sequence=sequence,
        age_s=0.2,
        role="mixed",
        draining=False,
        running=running,
        waiting=0,
        waiting_prompt_tokens=0,
        slots=slots,
        kv_used_tokens=0,
        kv_limit_tokens=10**12,
        prefill_tokens_per_s=20_000.0,
        decode_tokens_per_s=2_000.0,
    )


def make_scheduler(replicas, slots):
    """Return a scheduler that knows some replicas and their loads."""
    scheduler = Scheduler(make_policy(), "host-1", ZONES[0], 1)
    endpoints = [
        Endpoint(f"engine-{number}", ZONES[number % len(ZONES)], "mixed", False)
        for number in range(replicas)
    ]
    scheduler.set_endpoints(0.0, endpoints)
    for number, endpoint in enumerate(endpoints):
        scheduler.on_report(0.0, make_report(endpoint.name, 1, slots, number % 7))
    return scheduler


def decision_us(replicas, requests=2000):
    """Return a request's whole decision time, from arrival to end, in microseconds."""

    def run():
        scheduler = make_scheduler(replicas, MANY_SLOTS)
        start_s = time.process_time()
        for number in range(requests):
            now_s = number * 0.001
            request_id = f"request-{number}"
            scheduler.submit(now_s, make_request(number))
            scheduler.on_first_token(now_s, request_id)
            if number >= 50:
                scheduler.on_done(now_s, f"request-{number - 50}", OUTPUT_TOKENS)
        return time.process_time() - start_s

    return run() / requests * 1e6


def report_us(replicas, rounds=20):
    """Return the time to take in one load report, in microseconds."""
    scheduler = make_scheduler(replicas, MANY_SLOTS)
    sequence = [1]

    def run():
        for _ in range(rounds):
            sequence[0] += 1
            for number in range(replicas):
                name = f"engine-{number}"
                report = make_report(name, sequence[0], MANY_SLOTS, number % 5)
                scheduler.on_report(float(sequence[0]), report)

    return cpu_s(run) / (rounds * replicas) * 1e6


def peer_load_us(replicas, rounds=200):
    """Return the time to take in one peer's load message, in microseconds."""
    scheduler = make_scheduler(replicas, MANY_SLOTS)
    turn = [0]

    def run():
        for _ in range(rounds):
            turn[0] += 1
            load = {f"engine-{n}": (turn[0] % 5, 100) for n in range(replicas)}
            scheduler.on_peer_load(float(turn[0]), "host-2", load)

    return cpu_s(run) / rounds * 1e6


def in_flight_bytes(requests):
    """Return the memory of a scheduler with some requests in flight."""

    def build():
        scheduler = make_scheduler(24, MANY_SLOTS)
        for number in range(requests):
            scheduler.submit(0.0, make_request(number))
        return scheduler

    return kept_bytes(build)


def queued_bytes(requests):
    """Return the memory of a scheduler with some requests waiting."""

    def build():
        scheduler = make_scheduler(24, 1)
        for number in range(requests):
            scheduler.submit(0.0, make_request(number))
        return scheduler

    return kept_bytes(build)


def tenants_bytes(tenants):
    """Return the memory left by one ended request of each of some tenants."""

    def build():
        scheduler = make_scheduler(24, MANY_SLOTS)
        for number in range(tenants):
            request = make_request(number, f"tenant-{number}")
            scheduler.submit(0.0, request)
            scheduler.on_done(0.0, request.request_id, 10)
        return scheduler

    return kept_bytes(build)


def prefixes_bytes(prefixes):
    """Return the memory of a prefix table, each prefix held by two engines."""

    def build():
        table = CacheTable()
        for number in range(prefixes):
            table.add("engine-1", number * 2**40 + 1)
            table.add("engine-2", number * 2**40 + 1)
        return table

    return kept_bytes(build)


def make_hosts(count):
    """Return host names with their zones."""
    return [(f"host-{n}", ZONES[n % len(ZONES)]) for n in range(count)]


def cell_us(hosts, rounds=20):
    """Return the time to choose one cell anew, in microseconds."""
    members = make_hosts(hosts)

    def run():
        for number in range(rounds):
            choose_cell(members, f"deployment-{number}", 8)

    return cpu_s(run) / rounds * 1e6


def entry_us(hosts, rounds=200):
    """Return the time to choose the addresses of one entry answer, in microseconds."""
    members = make_hosts(hosts)
    cell = choose_cell(members, "deployment", 8)

    def run():
        for _ in range(rounds):
            choose_entry(members, cell, ZONES[0], 3)

    return cpu_s(run) / rounds * 1e6


def sweep(measure, sizes, rounds=1):
    """Return (size, measured) points, the least of some rounds over all sizes.

    Rounds go over all sizes in turn, so that a while in which the machine is slow
    doesn't fall on one size only and bend the slope.
    """
    best = {}
    for _ in range(rounds):
        for size in sizes:
            value = measure(size)
            best[size] = min(value, best.get(size, value))
    return sorted(best.items())


def measure_policy():
    """Return the lines of the decision logic."""
    replicas = (8, 16, 32, 64, 128)
    hosts = (42, 84, 168, 330)
    return [
        fit_line(
            "decision, one request from arrival to end",
            "replicas",
            "us",
            sweep(decision_us, replicas, ROUNDS),
            form="log2",
        ),
        fit_line(
            "one load report taken in",
            "replicas",
            "us",
            sweep(report_us, replicas, ROUNDS),
        ),
        fit_line(
            "one peer's load taken in",
            "replicas",
            "us",
            sweep(peer_load_us, replicas, ROUNDS),
        ),
        fit_line(
            "requests in flight",
            "requests",
            "bytes",
            sweep(in_flight_bytes, (200, 400, 800, 1600)),
        ),
        fit_line(
            "requests waiting",
            "requests",
            "bytes",
            sweep(queued_bytes, (200, 400, 800, 1600)),
        ),
        fit_line(
            "tenants seen",
            "tenants",
            "bytes",
            sweep(tenants_bytes, (4000, 8000, 12000, 16000)),
        ),
        fit_line(
            "prefix table",
            "prefixes",
            "bytes",
            sweep(prefixes_bytes, (2000, 4000, 8000, 16000)),
        ),
        fit_line("a cell chosen anew", "hosts", "us", sweep(cell_us, hosts, ROUNDS)),
        fit_line(
            "an entry answer chosen", "hosts", "us", sweep(entry_us, hosts, ROUNDS)
        ),
    ]
