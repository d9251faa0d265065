"""Work of each service by host: measured here, sent to the holder of the lease.

Only for services whose reclaimable engines this system may order.
"""

from gypsumusher_routing import (
    WORK_REPORT_S,
    EngineDemand,
    EngineWork,
    EngineWorkWindow,
    WorkMeter,
    choose_watchers,
)

__all__ = ["WorkReports", "decode_work", "encode_work", "follows_load"]

# Kind of the datagram.
ENGINE_WORK = "engine_work"
# Greatest values that a report may have: prefill work in thousandths, streams, tokens
# and the late share in thousandths.
MAX_VALUES = (10**9, 10**7, 10**12, 1000)


class WorkReports:
    """Measures and sends the work of this host, and collects that of all hosts.

    Parameters
    ----------
    context : Context
        State of the engines, and the configuration.
    gossip : Gossip
        Sends and receives the reports.
    lease : StageLease
        Tells which host plans the engines.
    """

    def __init__(self, context, gossip, lease):
        self._context = context
        self._gossip = gossip
        self._lease = lease
        self._meters = {}
        self._windows = {}

    async def start(self):
        """Start to measure and to send, until the context is closed."""
        context = self._context
        # Hosts on which the switch is off receive the reports of the others.
        context.datagram_handlers[ENGINE_WORK] = self._on_report
        if context.policy.fleet and context.policy.engines_by_load:
            context.prompt_listeners.append(self._on_prompt)
            context.shared_part_listeners.append(self._on_shared_parts)
            context.keep_running(self._run)

    def demand(self, service: str, ahead_s: float) -> EngineDemand:
        """Return the demand of a service.

        Parameters
        ----------
        service : str
            Name of the service.
        ahead_s : float
            Time for which the work is forecast, in seconds.
        """
        context = self._context
        active = {host.ip for host in context.active_hosts()}
        window = self._windows.setdefault(service, EngineWorkWindow())
        return window.demand(context.clock(), active, ahead_s)

    async def _run(self):
        """Report at each tick."""
        context = self._context
        while True:
            await context.wait_for_tick(WORK_REPORT_S)
            if context.configuration is not None:
                self._report_all()

    def _report_all(self):
        """Measure and send the work of each service whose engines follow the load."""
        for service in self._context.configuration.services.values():
            if follows_load(service):
                self._report(service.name)

    def _report(self, service):
        """Measure the work of one service, and send it to the hosts that may plan."""
        context = self._context
        now_s = context.clock()
        window = self._windows.setdefault(service, EngineWorkWindow())
        work = self._meter(service).read(now_s, self._streams(service))
        if context.is_ready:
            window.on_report(now_s, context.settings.ip, work)
            # Most hosts have neither clients nor work.
            if any(work) or context.is_active():
                fields = encode_work(service, work)
                for ip in self._receivers():
                    self._gossip.send_datagram(ENGINE_WORK, fields, ip)
        window.sample(now_s)

    def _receivers(self):
        """Return the addresses of the hosts that plan engines, or may do so next."""
        context = self._context
        names = {host.name for host in choose_watchers(context.active_hosts())}
        names.add(self._lease.known_holder)
        names.discard(context.settings.name)
        live = context.hosts.live(context.clock())
        return [host.ip for host in live if host.name in names]

    def _streams(self, service):
        """Return the number of this host's streams at the engines of a service."""
        streams = 0
        for state in self._context.endpoints.states.values():
            if state.record.service != service:
                continue
            load = state.own_load()
            streams += max(0, load.running - load.prefills)
        return streams

    def _meter(self, service):
        return self._meters.setdefault(service, WorkMeter())

    def _follows_load(self, name):
        configuration = self._context.configuration
        service = None if configuration is None else configuration.services.get(name)
        return service is not None and follows_load(service)

    def _on_prompt(self, service, choice, objective_left_s, is_begun):
        """Count a prompt that is sent to an engine, or refused."""
        if self._follows_load(service):
            self._meter(service).on_prompt(choice, objective_left_s, is_begun)

    def _on_shared_parts(self, service, chain):
        """Record the use of shared parts, by this host or another."""
        if self._follows_load(service):
            self._meter(service).on_shared_parts(self._context.clock(), chain)

    def _on_report(self, fields, ip):
        """Store the report of another host."""
        service, work = decode_work(fields)
        context = self._context
        now_s = context.clock()
        is_known = any(host.ip == ip for host in context.hosts.live(now_s))
        if is_known and self._follows_load(service):
            window = self._windows.setdefault(service, EngineWorkWindow())
            window.on_report(now_s, ip, work)


def follows_load(service) -> bool:
    """Return whether the number of a service's engines may follow its load."""
    return (
        service.engine is not None
        and service.scale is not None
        and service.scale.has_reclaimable
    )


def encode_work(service: str, work: EngineWork) -> list:
    """Return the fields of a report."""
    return [
        service,
        round(1000 * work.prefill_s_per_s),
        work.streams,
        work.shared_tokens,
        round(1000 * work.late_share),
    ]


def decode_work(fields) -> tuple[str, EngineWork]:
    """Return the service and the work in a report.

    Raises
    ------
    ValueError
        When a field is missing, of a wrong type or out of range.
    """
    service, *values = fields
    if not isinstance(service, str) or len(values) != len(MAX_VALUES):
        raise ValueError("work report has a wrong format")
    for value, most in zip(values, MAX_VALUES):
        if type(value) is not int or not 0 <= value <= most:
            raise ValueError(f"work report has the value {value!r}"[:100])
    prefill_permille, streams, shared_tokens, late_permille = values
    work = EngineWork(
        prefill_permille / 1000.0, streams, shared_tokens, late_permille / 1000.0
    )
    return service, work
