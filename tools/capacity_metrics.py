"""Measures what the metrics of a host cost against the series that it holds."""

import time
from typing import NamedTuple

from capacity_fit import fit_line
from capacity_objects import kept_bytes, sweep

from gypsumusher_daemon.metrics import Metrics

ROUNDS = 5


class Call(NamedTuple):
    """What the metrics want to know of a request."""

    deployment: str
    class_name: str
    tenant: str


def make_metrics(sets):
    """Return metrics that saw each of some sets of labels, three histograms each.

    Tenants enter by their group, so that distinct groups need many tenants; here each
    set has a class of its own instead, which costs the same.
    """
    metrics = Metrics()
    for number in range(sets):
        call = Call("letter-models", f"class-{number}", "tenant")
        metrics.queue_waited(call, 0.01)
        metrics.first_token(call, 0.5)
        metrics.whole.observe(
            {"deployment": call.deployment, "class": call.class_name, "tenants": "g00"},
            1.0,
        )
    return metrics


def page_bytes(sets):
    """Return the size of one page of metrics."""
    body, _ = make_metrics(sets).render([])
    return len(body)


def page_ms(sets):
    """Return the time to render one page, in milliseconds."""
    metrics = make_metrics(sets)
    start_s = time.process_time()
    metrics.render([])
    return (time.process_time() - start_s) * 1e3


def metrics_bytes(sets):
    """Return the memory of the metrics."""
    return kept_bytes(lambda: make_metrics(sets))


def measure_metrics():
    """Return the lines of the metrics."""
    sizes = (12, 24, 48, 96)
    unit = "label sets"
    return [
        fit_line("a page of metrics", unit, "bytes", sweep(page_bytes, sizes)),
        fit_line("a page of metrics made", unit, "ms", sweep(page_ms, sizes, ROUNDS)),
        fit_line("metrics kept", unit, "bytes", sweep(metrics_bytes, sizes)),
    ]
