"""The lease by which one host at a time orders the engines' stages."""

import secrets

from returns.result import Failure, Success

from gypsumusher_coordination.effects import (
    CallFailed,
    ReadDone,
    ReadObject,
    StoredObject,
    WriteConflict,
    WriteDone,
    WriteObject,
)
from gypsumusher_coordination.lease import Lease, LeaseGained, LeaseLost

__all__ = ["StageLease"]

# Name of the one lease; all services' engines are ordered by one host.
LEASE_NAME = "stages"
TICK_S = 0.1
# What a lease holds, as `Lease` writes it.
_FIELDS = {"holder", "incarnation", "term", "duration_s", "released", "nonce"}


class StageLease:
    """Seeks and keeps the lease while this host is the one to give orders.

    Parameters
    ----------
    context : Context
        Says which host gives orders.
    store : StoreClient
        Holds the lease.
    clock : callable
        Clock that also counts while the host is suspended, in seconds: a host that
        wakes up must not take a lease for its own that has lapsed meanwhile.
    """

    def __init__(self, context, store, clock):
        settings = context.settings
        bounds = settings.bounds
        self._context = context
        self._store = store
        self._clock = clock
        self._lease = Lease(
            LEASE_NAME,
            settings.name,
            f"{settings.name}/{context.started_ms}",
            # Orders of two hosts stay as far apart as the operator asks, also when
            # the first one's last order was held up by its own pause.
            bounds.lease_s + bounds.resume_margin_s,
            lambda: secrets.token_hex(8),
        )

    @property
    def term(self):
        """The fencing number of this host's orders."""
        return self._lease.term

    async def start(self):
        """Begin to keep the lease, until the context is closed."""
        self._context.spawn(self._run())

    def told(self):
        """Return what this host knows of the lease, for its peers; None for nothing."""
        known = self._lease.last_stored()
        return None if known is None else list(known)

    def on_told(self, told):
        """Take in what a peer knows of the lease."""
        version, value = told
        if type(version) is int and isinstance(value, dict) and _FIELDS <= value.keys():
            self._lease.on_stored_received(self._clock(), StoredObject(version, value))

    def is_held_for(self, reserve_s):
        """Say whether this host may give orders for so long from now, in seconds."""
        return self._lease.is_held(self._clock() + reserve_s)

    async def _run(self):
        while True:
            await self._context.next_tick(TICK_S)
            is_held = self._lease.is_held(self._clock())
            if not (is_held or self._context.gives_orders()):
                continue
            await self._perform(self._lease.tick(self._clock()))

    async def _perform(self, effects):
        """Perform effects, and those that their events bring."""
        waiting = list(effects)
        while waiting:
            effect = waiting.pop(0)
            if isinstance(effect, LeaseGained):
                self._context.log("info", "stage_lease_gained", term=effect.term)
            elif isinstance(effect, LeaseLost):
                self._context.log("info", "stage_lease_lost", term=effect.term)
            else:
                event = await self._call(effect)
                waiting += self._lease.handle(self._clock(), event)

    async def _call(self, effect):
        """Make one call of the lease; return its event."""
        if isinstance(effect, ReadObject):
            return await self._read(effect)
        if isinstance(effect, WriteObject):
            return await self._write(effect)
        raise TypeError(f"a lease asks for {type(effect).__name__}")

    async def _read(self, effect):
        result = await self._store.get(effect.kind, effect.name)
        if isinstance(result, Success):
            return ReadDone(effect.tag, _stored(result.unwrap()))
        if result.failure().code == "absent":
            return ReadDone(effect.tag, None)
        return CallFailed(effect.tag, False)

    async def _write(self, effect):
        if effect.if_version == 0:
            result = await self._store.create(effect.kind, effect.name, effect.value)
        else:
            result = await self._store.replace(
                effect.kind, effect.name, effect.value, effect.if_version
            )
        if isinstance(result, Success):
            return WriteDone(effect.tag, result.unwrap().revision)
        code = result.failure().code
        if code == "conflict":
            return await self._on_conflict(effect)
        # A refused call was not done; any other may have been, or may be later.
        return CallFailed(effect.tag, code != "refused")

    async def _on_conflict(self, effect):
        """Return what stands in the way of a write."""
        result = await self._store.get(effect.kind, effect.name)
        if isinstance(result, Failure):
            return CallFailed(effect.tag, True)
        return WriteConflict(effect.tag, _stored(result.unwrap()))


def _stored(item):
    return StoredObject(item.revision, item.content)
