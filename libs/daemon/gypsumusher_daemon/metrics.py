"""Counters and histograms by deployment, class and tenant group."""

import hashlib

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["TENANT_GROUPS", "Metrics", "tenant_group"]

# 6,500 accounts would make 6,500 series of each histogram; 16 groups keep the
# metrics of a host at a few thousand lines and still set noisy tenants apart.
TENANT_GROUPS = 16
# Around the targets: 27 ms between tokens, 1.5 s to the first, a minute in all.
WAIT_BUCKETS_S = [0.001, 0.005, 0.027, 0.1, 0.3, 0.75, 1.5, 3.0, 10.0, 60.0, 600.0]


def tenant_group(tenant):
    """Return the group of a tenant, stable over hosts and restarts.

    Parameters
    ----------
    tenant : str
        Client account.
    """
    digest = hashlib.blake2b(tenant.encode(), digest_size=2).digest()
    return f"g{int.from_bytes(digest, 'big') % TENANT_GROUPS:02d}"


class Metrics:
    """The host's metrics, in a registry of its own."""

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
        self.wait = self._add_histogram("queue_wait_s", "Wait before the first send")
        self.first = self._add_histogram("first_token_s", "Arrival to first token")
        self.whole = self._add_histogram("whole_answer_s", "Arrival to whole answer")

    def _add(self, kind, name, text):
        """Register a metric."""
        return kind(f"gypsumusher_{name}", text, registry=self.registry)

    def _add_histogram(self, name, text):
        """Register a histogram of waits."""
        return Histogram(
            f"gypsumusher_{name}", text, buckets=WAIT_BUCKETS_S, registry=self.registry
        )

    def request_began(self, call):
        """Count a request in."""
        self.running.inc({"deployment": call.deployment})

    def request_ended(self, call, outcome, took_s):
        """Count a request out; ``took_s`` from arrival to its last byte."""
        self.running.dec({"deployment": call.deployment})
        self.requests.inc({"deployment": call.deployment, "outcome": outcome})
        if outcome == "done":
            self.whole.observe(_labels(call), took_s)

    def queue_waited(self, call, wait_s):
        """Note how long a request waited before it was sent."""
        self.wait.observe(_labels(call), wait_s)

    def first_token(self, call, wait_s):
        """Note how long a request waited for its first token."""
        self.first.observe(_labels(call), wait_s)

    def refused(self, call, code):
        """Count a refusal."""
        self.refusals.inc({"deployment": call.deployment, "code": code})

    def attempt_failed(self, call, reason):
        """Count an attempt that failed."""
        self.attempts.inc({"deployment": call.deployment, "reason": reason})

    def order_settled(self, deployment, goal, state):
        """Count an order that has ended; ``goal`` tells what it was for."""
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
