"""Metrics of the host: counters, gauges and histograms."""

import hashlib

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["TENANT_GROUPS", "Metrics", "tenant_group"]

# With 6,500 client accounts a tenant label would give 6,500 series per histogram; 16
# groups keep a host's metrics at a few thousand lines and still separate a tenant
# with unusual load from most others.
TENANT_GROUPS = 16
# Include the latency targets: 27 ms between tokens, 1.5 s to the first token, 60 s
# for a complete answer.
WAIT_BUCKETS_S = [0.001, 0.005, 0.027, 0.1, 0.3, 0.75, 1.5, 3.0, 10.0, 60.0, 600.0]


def tenant_group(tenant):
    """Return the group label of a tenant, the same on all hosts and after restarts.

    Parameters
    ----------
    tenant : str
        Client account.
    """
    digest = hashlib.blake2b(tenant.encode(), digest_size=2).digest()
    return f"g{int.from_bytes(digest, 'big') % TENANT_GROUPS:02d}"


class Metrics:
    """The metrics of one host, in their own registry."""

    def __init__(self):
        self.registry = Registry()
        self.requests = self._add(Counter, "requests_total", "Requests by outcome")
        self.attempts = self._add(
            Counter, "attempts_failed_total", "Failed attempts by reason"
        )
        self.refusals = self._add(Counter, "refusals_total", "Refusals by code")
        self.orders = self._add(Counter, "orders_total", "Orders to engines by end")
        self.running = self._add(Gauge, "requests_running", "Requests now in the host")
        self.config = self._add(Gauge, "config_number", "Configuration in force")
        self.queue_wait_s = self._add_histogram(
            "queue_wait_s", "Wait before the first send"
        )
        self.first_token_s = self._add_histogram(
            "first_token_s", "Arrival to first token"
        )
        self.whole_answer_s = self._add_histogram(
            "whole_answer_s", "Arrival to whole answer"
        )

    def _add(self, kind, name, text):
        """Register a metric."""
        return kind(f"gypsumusher_{name}", text, registry=self.registry)

    def _add_histogram(self, name, text):
        """Register a histogram of durations in seconds."""
        return Histogram(
            f"gypsumusher_{name}", text, buckets=WAIT_BUCKETS_S, registry=self.registry
        )

    def request_began(self, call):
        """Count a request that starts to run."""
        self.running.inc({"deployment": call.deployment})

    def request_ended(self, call, outcome, took_s):
        """Count a request that ended, ``took_s`` after its arrival."""
        self.running.dec({"deployment": call.deployment})
        self.requests.inc({"deployment": call.deployment, "outcome": outcome})
        if outcome == "done":
            self.whole_answer_s.observe(_labels(call), took_s)

    def queue_waited(self, call, wait_s):
        """Observe how long a request waited before it was first sent."""
        self.queue_wait_s.observe(_labels(call), wait_s)

    def first_token(self, call, wait_s):
        """Observe how long a request waited for its first token."""
        self.first_token_s.observe(_labels(call), wait_s)

    def refused(self, call, code):
        """Count a refusal."""
        self.refusals.inc({"deployment": call.deployment, "code": code})

    def attempt_failed(self, call, reason):
        """Count an attempt that failed."""
        self.attempts.inc({"deployment": call.deployment, "reason": reason})

    def order_ended(self, deployment, goal, state):
        """Count an order that ended in a state; ``goal`` has its kind as only key."""
        kind = next(iter(goal))
        labels = {"deployment": deployment, "goal": kind, "state": state}
        self.orders.inc(labels)

    def render(self, accept):
        """Return the body and headers of the metrics page.

        Parameters
        ----------
        accept : list of str
            The caller's ``Accept`` headers.
        """
        return render(self.registry, accept)


def _labels(call):
    """Return the labels of a request's histograms."""
    return {
        "deployment": call.deployment,
        "class": call.class_name,
        "tenants": tenant_group(call.tenant),
    }
