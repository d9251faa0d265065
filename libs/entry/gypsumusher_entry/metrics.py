"""Counters and latency histograms of one entry host."""

from typing import Any, NamedTuple

__all__ = ["Metrics"]

# From the network overhead to the longest deadline.
HISTOGRAM_BUCKETS_S = [0.01, 0.03, 0.06, 0.125, 0.25, 0.5, 0.8, 1.5, 3.0, 6.0, 10.0]


class _Collectors(NamedTuple):
    """Collectors of the metrics library."""

    registry: Any
    requests: Any
    running: Any
    total_time: Any
    first_output_time: Any
    stage_orders: Any
    fleet_orders: Any
    engines_wanted: Any
    engines_needed: Any
    streams_resumed: Any
    endpoint_notices: Any
    peer_bytes: Any
    prompts_demoted: Any
    prompts_protected: Any
    contention: Any
    demand: Any
    version: Any
    lag: Any
    engine_speed: Any


class Metrics:
    """Metrics of the host; route names are the only label with an open set of values.

    The library is imported at the end of the first request: after a loss of all hosts,
    callers are waiting for each host to start.
    """

    def __init__(self):
        self._collectors = None
        self._running_count = 0
        self._configuration_version = 0
        self._lags_s = {}
        self._speed_ranges = {}
        # Set before the library is imported.
        self._engines_wanted = {}
        self._engines_needed = {}
        # Counted here, since the first requests after a start may be resumed streams.
        self._streams_resumed = {}
        self._endpoint_notices = {}
        self._peer_bytes = {}
        # By route, for the shares of client accounts.
        self._prompts_demoted = {}
        self._prompts_protected = {}
        # Set once there are client accounts.
        self._contention = None

    def on_request_start(self):
        """Count a request that starts."""
        self._running_count += 1

    def on_request_end(self, route, outcome, took_s, first_s):
        """Count a request that ends.

        Parameters
        ----------
        route : str
            Name of its route.
        outcome : str
            Status and reason.
        took_s : float
            Time from arrival to the end, in seconds.
        first_s : float or None
            Time from arrival to the first part of the response, in seconds.
        """
        self._running_count -= 1
        collectors = self._load()
        collectors.requests.inc({"route": route, "outcome": outcome or "none"})
        collectors.total_time.observe({"route": route}, took_s)
        if first_s is not None:
            collectors.first_output_time.observe({"route": route}, first_s)

    def on_stage_order_end(self, stage, outcome):
        """Count a stage order that ended.

        Parameters
        ----------
        stage : str
            The ordered stage.
        outcome : str
            Its outcome.
        """
        labels = {"stage": stage, "outcome": outcome or "left"}
        self._load().stage_orders.inc(labels)

    def on_fleet_order(self, service, outcome):
        """Count an order for engines.

        Parameters
        ----------
        service : str
            The service.
        outcome : str
            ``accepted``, or the code of the error.
        """
        labels = {"service": service, "outcome": outcome}
        self._load().fleet_orders.inc(labels)

    def set_wanted_engines(self, service, wanted, needs):
        """Set the wanted number of engines, and what each part of the work needs.

        Parameters
        ----------
        service : str
            The service.
        wanted : int
            Wanted number.
        needs : EngineNeeds
            Number that each part of the work needs.
        """
        self._engines_wanted[service] = wanted
        for name, count in needs._asdict().items():
            self._engines_needed[service, name] = count

    def on_stream_resumed(self, source):
        """Count a stream that a caller takes up.

        Parameters
        ----------
        source : str
            What tells its software version: ``own`` table, ``hosts``, ``store`` or
            ``none``.
        """
        self._streams_resumed[source] = self._streams_resumed.get(source, 0) + 1

    def on_endpoint_notice(self, event):
        """Count what an endpoint has said of itself; `event` is that of the log."""
        count = self._endpoint_notices.get(event, 0)
        self._endpoint_notices[event] = count + 1

    def on_datagrams_sent(self, kind, size_bytes):
        """Count bytes sent to other hosts.

        Parameters
        ----------
        kind : str
            Kind of the message: ``status``, or that of the datagram.
        size_bytes : int
            Total size of the payloads.
        """
        self._peer_bytes[kind] = self._peer_bytes.get(kind, 0) + size_bytes

    def on_prompt_demoted(self, route):
        """Count a prompt that is treated as late, as its account asks for too much."""
        self._prompts_demoted[route] = self._prompts_demoted.get(route, 0) + 1

    def on_prompt_protected(self, route):
        """Count a prompt that has the first rank, as its route would starve."""
        self._prompts_protected[route] = self._prompts_protected.get(route, 0) + 1

    def set_contention(self, contention):
        """Set the demand of all accounts compared with the capacity; a `Contention`."""
        self._contention = contention

    def set_configuration_version(self, version):
        """Set the version of the configuration in force."""
        self._configuration_version = version

    def set_lag(self, kind, lag_s):
        """Set the time for which peers have had newer state of a kind, in seconds."""
        self._lags_s[kind] = lag_s

    def set_engine_speeds(self, ranges):
        """Set the range of the engines' speed factors.

        Parameters
        ----------
        ranges : dict of (str, str) to (float, float)
            Least and greatest lasting factor, by service and stage.
        """
        self._speed_ranges = ranges

    def render(self):
        """Return the body and the headers of the metrics page."""
        from aioprometheus.renderer import render

        collectors = self._load()
        collectors.running.set({}, self._running_count)
        collectors.version.set({}, self._configuration_version)
        for source, count in self._streams_resumed.items():
            collectors.streams_resumed.set({"source": source}, count)
        for event, count in self._endpoint_notices.items():
            collectors.endpoint_notices.set({"event": event}, count)
        for service, count in self._engines_wanted.items():
            collectors.engines_wanted.set({"service": service}, count)
        for (service, work), count in self._engines_needed.items():
            collectors.engines_needed.set({"service": service, "work": work}, count)
        for kind, size_bytes in self._peer_bytes.items():
            collectors.peer_bytes.set({"kind": kind}, size_bytes)
        for route, count in self._prompts_demoted.items():
            collectors.prompts_demoted.set({"route": route}, count)
        for route, count in self._prompts_protected.items():
            collectors.prompts_protected.set({"route": route}, count)
        if self._contention is not None:
            contention = self._contention
            collectors.contention.set({}, int(contention.is_contended))
            collectors.demand.set({"of": "accounts"}, contention.demand)
            collectors.demand.set({"of": "engines"}, contention.capacity)
        for kind, lag_s in self._lags_s.items():
            collectors.lag.set({"kind": kind}, lag_s)
        for (service, stage), factors in self._speed_ranges.items():
            for bound, factor in zip(("min", "max"), factors, strict=True):
                labels = {"service": service, "stage": stage, "bound": bound}
                collectors.engine_speed.set(labels, factor)
        return render(collectors.registry, [])

    def _load(self):
        """Return the collectors, creating them at the first call."""
        if self._collectors is None:
            self._collectors = _create_collectors()
        return self._collectors


def _create_collectors():
    """Import the metrics library and create the collectors."""
    from aioprometheus import Counter, Gauge, Histogram, Registry

    registry = Registry()
    return _Collectors(
        registry=registry,
        requests=Counter(
            "gypsumusher_requests_total",
            "Requests of callers by route and outcome",
            registry=registry,
        ),
        running=Gauge(
            "gypsumusher_requests_running",
            "Requests that are being served",
            registry=registry,
        ),
        total_time=Histogram(
            "gypsumusher_answer_s",
            "Arrival to the end of the answer",
            buckets=HISTOGRAM_BUCKETS_S,
            registry=registry,
        ),
        first_output_time=Histogram(
            "gypsumusher_first_s",
            "Arrival to the answer, of a stream to its first event",
            buckets=HISTOGRAM_BUCKETS_S,
            registry=registry,
        ),
        stage_orders=Counter(
            "gypsumusher_stage_orders_total",
            "Orders that change an engine's stage, by stage and outcome",
            registry=registry,
        ),
        fleet_orders=Counter(
            "gypsumusher_fleet_orders_total",
            "Orders for engines, by service and outcome",
            registry=registry,
        ),
        engines_wanted=Gauge(
            "gypsumusher_engines_wanted",
            "Wanted engines by service, at the host that orders them",
            registry=registry,
        ),
        engines_needed=Gauge(
            "gypsumusher_engines_needed",
            "Engines that the load needs, by service and part of the work",
            registry=registry,
        ),
        streams_resumed=Counter(
            "gypsumusher_streams_resumed_total",
            "Streams that callers take up, by what tells their software version",
            registry=registry,
        ),
        endpoint_notices=Counter(
            "gypsumusher_endpoint_notices_total",
            "Endpoints that leave or pause by their responses, or another host's word",
            registry=registry,
        ),
        peer_bytes=Counter(
            "gypsumusher_peer_sent_bytes_total",
            "Bytes of datagrams sent to other hosts, by kind of message",
            registry=registry,
        ),
        prompts_demoted=Counter(
            "gypsumusher_prompts_demoted_total",
            "Prompts treated as late for the share of their account, by route",
            registry=registry,
        ),
        prompts_protected=Counter(
            "gypsumusher_prompts_protected_total",
            "Prompts of routes that would starve, sent with the first rank, by route",
            registry=registry,
        ),
        contention=Gauge(
            "gypsumusher_account_contention",
            "1 while client accounts ask for more prefill than engines can do in time",
            registry=registry,
        ),
        demand=Gauge(
            "gypsumusher_prefill_demand",
            "Engine seconds per second that accounts ask for, and engines can do",
            registry=registry,
        ),
        version=Gauge(
            "gypsumusher_configuration_version",
            "Version of the configuration in force",
            registry=registry,
        ),
        lag=Gauge(
            "gypsumusher_news_lag_s",
            "Time for which peers have known more, by kind of news",
            registry=registry,
        ),
        engine_speed=Gauge(
            "gypsumusher_engine_speed_factor",
            "Least and greatest duration relative to the usual one, over the engines",
            registry=registry,
        ),
    )
