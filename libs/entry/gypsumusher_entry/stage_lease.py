"""The lease of the one host that gives orders and makes calls to the platform."""

import secrets

from gypsumusher_coordination.effects import StoredObject
from gypsumusher_coordination.lease import Lease, LeaseGained, LeaseLost
from gypsumusher_entry.store_calls import perform_store_call

__all__ = ["StageLease"]

# One lease covers the engines of all services, their number and the usage reports.
LEASE_NAME = "stages"
TICK_INTERVAL_S = 0.1
# Keys of a stored lease, as written by `Lease`.
_STORED_FIELDS = {"holder", "incarnation", "term", "duration_s", "released", "nonce"}


class StageLease:
    """Acquires and renews the lease while this host should order stages.

    Parameters
    ----------
    context : Context
        Decides which host should order stages.
    store : StoreClient
        Holds the lease.
    clock : callable
        Clock in seconds that also advances while the host is suspended: after a resume
        a host must not take an expired lease for its own.
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
            # Keeps orders of two holders apart by the operator's bound, even if the
            # first holder's last order was delayed because its process was suspended.
            bounds.lease_s + bounds.resume_margin_s,
            lambda: secrets.token_hex(8),
        )

    @property
    def known_holder(self):
        """Name of the host that last held the lease, as far as known; None if not."""
        known = self._lease.last_stored()
        return None if known is None else known.value["holder"]

    @property
    def term(self):
        """The fencing number of this host's orders."""
        return self._lease.term

    async def start(self):
        """Start to maintain the lease, until the context is closed."""
        self._context.keep_running(self._run)

    def known_state(self):
        """Return the last known state of the lease for gossip; None when unknown."""
        known = self._lease.last_stored()
        return None if known is None else list(known)

    def on_peer_state(self, state):
        """Update the lease from the state that a peer knows."""
        version, value = state
        if (
            type(version) is int
            and isinstance(value, dict)
            and _STORED_FIELDS <= value.keys()
        ):
            self._lease.on_stored_received(self._clock(), StoredObject(version, value))

    def is_held_for(self, reserve_s):
        """Return whether this host may give orders for the next `reserve_s` seconds."""
        return self._lease.is_held(self._clock() + reserve_s)

    async def _run(self):
        """Acquire the lease while this host should hold it, and renew it while held."""
        while True:
            await self._context.wait_for_tick(TICK_INTERVAL_S)
            holds_lease = self._lease.is_held(self._clock())
            if not (holds_lease or self._context.should_order_stages()):
                continue
            await self._perform(self._lease.tick(self._clock()))

    async def _perform(self, effects):
        """Perform effects, and the effects that their events lead to."""
        pending_effects = list(effects)
        while pending_effects:
            effect = pending_effects.pop(0)
            if isinstance(effect, LeaseGained):
                self._context.log("info", "stage_lease_gained", term=effect.term)
            elif isinstance(effect, LeaseLost):
                self._context.log("info", "stage_lease_lost", term=effect.term)
            else:
                event = await perform_store_call(self._store, effect)
                pending_effects += self._lease.handle(self._clock(), event)
