"""Snapshots in the store of what hosts have learned, for hosts that restart.

The first active host that the store answers writes one object for each service with
engines. A host that restarts reads them once, beside the configuration, and serves
without them until they arrive.
"""

import asyncio

from returns.result import Failure

from gypsumusher_ports import DecodeError
from gypsumusher_routing import (
    LearnedHost,
    LearnedState,
    decode_learned_state,
    encode_learned_state,
    has_changed,
    learned_speeds,
    merge_learned_states,
    restore_speed,
)

__all__ = ["LEARNED_STATE_KIND", "LearnedStateRecords"]

# A kind of this project; the platform stores its objects without interpreting them.
LEARNED_STATE_KIND = "learned-state"
# Pause between two checks whether a snapshot is to be written. The first one comes as
# long after the start: by then hosts that start together know which of them are active.
WRITE_INTERVAL_S = 10.0
# Time after the start within which snapshots are read and applied. Later the host has
# learned the same from answers.
READ_PERIOD_S = 5.0
MIN_PAUSE_S, MAX_PAUSE_S = 0.2, 1.0
# Pause between two checks for engines whose entries have arrived.
POLL_S = 0.05


class LearnedStateRecords:
    """Reads the snapshots when the host starts, and writes them while it is first.

    Parameters
    ----------
    context : Context
        Cost models, engines and hosts.
    store : StoreClient
        Holds the snapshots.
    """

    def __init__(self, context, store):
        self._context = context
        self._store = store
        self._hosts = {}
        # State and revision of the stored objects by service, as this host has read or
        # written them last; revision None where there is no object.
        self._stored = {}

    def start(self):
        """Start to read the snapshots, and to write them when that is up to this host.

        Does nothing while the switch `kept_knowledge` is off.
        """
        context = self._context
        if not context.policy.kept_knowledge:
            return
        if not context.settings.is_first_start:
            context.spawn(self._load())
        context.keep_running(self._run)

    def hosts(self, service):
        """Return the hosts that the service's snapshot names; none until it is read."""
        return self._hosts.get(service, ())

    async def _load(self):
        """Read the snapshots until the store has answered once, and apply them."""
        context = self._context
        until_s = context.clock() + READ_PERIOD_S
        pause_s = MIN_PAUSE_S
        while True:
            result = await self._store.list(LEARNED_STATE_KIND, allow_stale=True)
            if not isinstance(result, Failure):
                break
            if context.clock() > until_s:
                return
            await asyncio.sleep(pause_s * (0.5 + context.draw_uniform()))
            pause_s = min(MAX_PAUSE_S, 2.0 * pause_s)
        speeds = {}
        for item in result.unwrap().objects:
            learned = self._decode(item)
            if learned is None:
                continue
            context.cost_model(item.name).restore(learned.estimates)
            self._hosts[item.name] = learned.hosts
            speeds.update(learned.engines)
            context.log(
                "info",
                "learned_state_read",
                service=item.name,
                revision=item.revision,
                stages=len(learned.estimates.costs_s),
                engines=len(learned.engines),
                hosts=len(learned.hosts),
                after_s=round(context.clock() - context.started_s, 3),
            )
        while speeds and context.clock() < until_s:
            self._restore_speeds(speeds)
            await asyncio.sleep(POLL_S)

    def _restore_speeds(self, speeds):
        """Apply the speeds of engines whose entries have arrived, and remove them."""
        for endpoint_id in speeds.keys() & self._context.endpoints.states.keys():
            state = self._context.endpoints.states[endpoint_id]
            restore_speed(state, speeds.pop(endpoint_id))

    def _decode(self, item):
        """Return the state in an object; None, with a log line, if it is unreadable."""
        try:
            return decode_learned_state(item.name, item.content)
        except DecodeError as error:
            self._context.log(
                "warning",
                "learned_state_rejected",
                service=item.name[:64],
                revision=item.revision,
                error=error,
            )
            return None

    async def _run(self):
        """Write the snapshots that have changed, at most once in an interval."""
        context = self._context
        while True:
            await asyncio.sleep(WRITE_INTERVAL_S)
            if context.configuration is None or not context.should_order_stages():
                # Another host may write meanwhile.
                self._stored.clear()
                continue
            for service in list(context.configuration.services.values()):
                if service.engine is not None:
                    await self._update(service.name)

    async def _update(self, service):
        """Write the snapshot of a service if it has changed."""
        if service not in self._stored and not await self._read(service):
            return
        context = self._context
        stored, revision = self._stored[service]
        states = context.endpoints.of_service(service)
        own = LearnedState(
            context.cost_model(service).snapshot(),
            learned_speeds(states),
            tuple(LearnedHost(host.name, host.ip) for host in context.active_hosts()),
        )
        current = merge_learned_states(stored, own, states)
        if not has_changed(stored, current):
            return
        content = encode_learned_state(current)
        if revision is None:
            result = await self._store.create(LEARNED_STATE_KIND, service, content)
        else:
            result = await self._store.replace(
                LEARNED_STATE_KIND, service, content, revision
            )
        if isinstance(result, Failure):
            # Read again in the next interval: another host may have written, or the
            # store may have written without an answer.
            del self._stored[service]
            self._log_failure("write", service, result.failure())
            return
        self._stored[service] = current, result.unwrap().revision
        context.log(
            "info",
            "learned_state_written",
            service=service,
            revision=result.unwrap().revision,
            stages=len(current.estimates.costs_s),
            engines=len(current.engines),
            hosts=len(current.hosts),
        )

    async def _read(self, service):
        """Read what is stored of a service; return whether the store answered."""
        result = await self._store.get(LEARNED_STATE_KIND, service)
        if not isinstance(result, Failure):
            item = result.unwrap()
            # An unreadable object is replaced.
            self._stored[service] = self._decode(item), item.revision
            return True
        if result.failure().code == "absent":
            self._stored[service] = None, None
            return True
        self._log_failure("read", service, result.failure())
        return False

    def _log_failure(self, step, service, error):
        """Log a failed call to the store."""
        self._context.log(
            "info",
            "learned_state_not_written",
            service=service,
            step=step,
            code=error.code,
            detail=error.detail,
        )
