"""Counters and latency histograms of one entry host."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

__all__ = ["Metrics"]

# From the network's own time to the longest deadline, in seconds.
BUCKETS_S = [0.01, 0.03, 0.06, 0.125, 0.25, 0.5, 0.8, 1.5, 3.0, 6.0, 10.0]


class Metrics:
    """The host's metrics; the routes' names are the only open-ended label."""

    def __init__(self):
        self.registry = Registry()
        self._ended = Counter(
            "gypsumusher_requests_total",
            "Requests of callers by route and outcome",
            registry=self.registry,
        )
        self._running = Gauge(
            "gypsumusher_requests_running",
            "Requests that are being served",
            registry=self.registry,
        )
        self._whole = Histogram(
            "gypsumusher_answer_s",
            "Arrival to the end of the answer",
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self._first = Histogram(
            "gypsumusher_first_s",
            "Arrival to the answer, of a stream to its first event",
            buckets=BUCKETS_S,
            registry=self.registry,
        )
        self._stage_orders = Counter(
            "gypsumusher_stage_orders_total",
            "Orders that change an engine's stage, by stage and outcome",
            registry=self.registry,
        )
        self._version = Gauge(
            "gypsumusher_configuration_version",
            "Version of the configuration in force",
            registry=self.registry,
        )
        self._lag = Gauge(
            "gypsumusher_news_lag_s",
            "Time for which peers have known more, by kind of news",
            registry=self.registry,
        )
        self._count = 0

    def began(self):
        """Count a request in."""
        self._count += 1

    def ended(self, route, outcome, took_s, first_s):
        """Count a request out.

        Parameters
        ----------
        route : str
            Name of its route.
        outcome : str
            Status and reason.
        took_s : float
            From arrival to the end, in seconds.
        first_s : float or None
            From arrival to the first of the answer, in seconds.
        """
        self._count -= 1
        self._ended.inc({"route": route, "outcome": outcome or "none"})
        self._whole.observe({"route": route}, took_s)
        if first_s is not None:
            self._first.observe({"route": route}, first_s)

    def stage_ordered(self, stage, outcome):
        """Count an order to an engine that has ended.

        Parameters
        ----------
        stage : str
            The stage that was wanted.
        outcome : str
            How it ended.
        """
        labels = {"stage": stage, "outcome": outcome or "left"}
        self._stage_orders.inc(labels)

    def configured(self, version):
        """Note the version of the configuration in force."""
        self._version.set({}, version)

    def lagged(self, kind, lag_s):
        """Note for how long peers have known more of a kind of news, in seconds."""
        self._lag.set({"kind": kind}, lag_s)

    def render(self):
        """Return the body and the headers of the metrics page."""
        self._running.set({}, self._count)
        return render(self.registry, [])
