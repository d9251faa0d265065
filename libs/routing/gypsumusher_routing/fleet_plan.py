"""How many engines of a service run, of which kind, and in which zones.

Engines that the platform may reclaim cost a fraction of the others. It reclaims those
of a zone all at once, with a notice of seconds, and may then have none for a while. So
they are spread evenly over the zones, as many as are enough without those of one zone.
The others only fill what is missing. An engine is given up only when the remaining ones
are ready and enough.
"""

from typing import NamedTuple

from gypsumusher_ports import ScaleLimits

__all__ = ["FleetOrder", "FleetPlanner", "FleetView"]

# Time beyond an engine's start after which an order that has had no effect is repeated.
ORDER_MARGIN_S = 2.0
# Pauses before engines are ordered again in a zone that had none; each is twice the one
# before.
MIN_DRY_S, MAX_DRY_S = 2.0, 16.0
# Share of the wanted engines that may be given up at a time while requests run, and the
# pause after it: the parts of prompts that they keep have to be read again elsewhere.
STEP_SHARE = 0.1
STEP_PAUSE_S = 2.0
# Time for which there have to be more reclaimable engines than wanted before some are
# given up. They are cheap, and the zone that lost its own may lose them again. It is
# shorter where the load decides the number, which falls only after a wait of its own.
SURPLUS_S, LOAD_SURPLUS_S = 30.0, 10.0


class FleetView(NamedTuple):
    """What the planner sees.

    Attributes
    ----------
    counts : dict of (str, bool) to int
        Engines that accept work, by zone and whether they are reclaimable.
    reclaimed_zones : frozenset of str
        Zones whose reclaimable engines are about to be taken away.
    wanted_count : int
        Engines that the service needs in all zones together.
    is_sight_complete : bool
        Whether the entries of all engines are known and recent.
    is_idle : bool
        Whether no request runs.
    is_by_load : bool
        Whether the needed number follows the load.
    """

    counts: dict[tuple[str, bool], int]
    reclaimed_zones: frozenset[str]
    wanted_count: int
    is_sight_complete: bool
    is_idle: bool
    is_by_load: bool = False


class FleetOrder(NamedTuple):
    """Number of engines of one kind to be ordered in one zone."""

    zone: str
    is_reclaimable: bool
    count: int


class FleetPlanner:
    """Plans the engines of one service.

    Parameters
    ----------
    limits : ScaleLimits
        What the operator allows.
    """

    def __init__(self, limits: ScaleLimits):
        self._limits = limits
        # Number and time of the last order, by zone and kind.
        self._ordered = {}
        # End of the time in which a zone has no engines of a kind, and the next pause.
        self._dry_until_s = {}
        self._dry_pause_s = {}
        self._step_at_s = float("-inf")
        self._surplus_since_s = None

    def next_orders(self, now_s: float, view: FleetView) -> list[FleetOrder]:
        """Return the orders that are due, those that add engines first.

        Parameters
        ----------
        now_s : float
            Current time, in seconds.
        view : FleetView
            The engines, and how many are needed.
        """
        for zone in view.reclaimed_zones:
            self._set_dry(now_s, (zone, True), MIN_DRY_S)
        present = self._present(now_s, view)
        wanted = self._wanted(now_s, view, present)
        # Those that were ordered a moment ago aren't ordered again.
        orders = [
            FleetOrder(*key, count)
            for key, count in wanted.items()
            if count > present[key]
        ]
        if view.is_sight_complete:
            orders += self._removals(now_s, view, wanted)
        return orders

    def on_ordered(self, now_s: float, order: FleetOrder) -> None:
        """Record an order that was accepted, or that may have been."""
        key = (order.zone, order.is_reclaimable)
        self._ordered[key] = (order.count, now_s)
        self._dry_pause_s.pop(key, None)

    def on_none_available(self, now_s: float, order: FleetOrder) -> None:
        """Record that a zone has no engines of a kind at the moment."""
        key = (order.zone, order.is_reclaimable)
        pause_s = self._dry_pause_s.get(key, MIN_DRY_S)
        self._set_dry(now_s, key, pause_s)
        self._dry_pause_s[key] = min(MAX_DRY_S, 2.0 * pause_s)

    def is_short(self, now_s: float, view: FleetView) -> bool:
        """Return whether reclaimable engines can't be had or are taken in a zone."""
        return bool(view.reclaimed_zones) or any(
            is_reclaimable and now_s < until_s
            for (_, is_reclaimable), until_s in self._dry_until_s.items()
        )

    def _set_dry(self, now_s, key, pause_s):
        self._dry_until_s[key] = max(now_s + pause_s, self._dry_until_s.get(key, 0.0))

    def _has_room(self, now_s, key, numbers):
        """Return whether one more engine of a kind can be had in a zone."""
        zone, is_reclaimable = key
        if now_s < self._dry_until_s.get(key, float("-inf")):
            return False
        return numbers[zone, True] + numbers[zone, False] < self._limits.max_count

    def _present(self, now_s, view):
        """Return the engines that are there or ordered, by zone and kind."""
        present = {}
        for zone in self._limits.zone_prices:
            for key in ((zone, True), (zone, False)):
                there = view.counts.get(key, 0)
                ordered, ordered_s = self._ordered.get(key, (0, float("-inf")))
                is_coming = now_s < ordered_s + self._limits.boot_s + ORDER_MARGIN_S
                is_lost = key[1] and zone in view.reclaimed_zones
                present[key] = there
                if is_coming and not is_lost:
                    present[key] = max(there, ordered)
        return present

    def _reclaimable_count(self, wanted_count):
        """Return how many engines leave the wanted number when one zone loses its."""
        zones = len(self._limits.zone_prices)
        return wanted_count if zones < 2 else -(-wanted_count * zones // (zones - 1))

    def _wanted(self, now_s, view, present):
        """Return the wanted number of engines by zone and kind."""
        prices = self._limits.zone_prices
        wanted = dict(present)
        reclaimable = sum(wanted[zone, True] for zone in prices)
        missing = self._reclaimable_count(view.wanted_count) - reclaimable
        while missing > 0:
            zones = [z for z in prices if self._has_room(now_s, (z, True), wanted)]
            if not zones:
                break
            # Evenly, so that the loss of one zone's engines is as small as can be.
            zone = min(zones, key=lambda z: (wanted[z, True], prices[z], z))
            wanted[zone, True] += 1
            missing -= 1
        while missing < 0:
            zone = max(prices, key=lambda z: (wanted[z, True], prices[z], z))
            wanted[zone, True] -= 1
            missing += 1
        missing = view.wanted_count - sum(wanted[zone, True] for zone in prices)
        others = sum(wanted[zone, False] for zone in prices)
        for zone in sorted(prices, key=lambda z: (-prices[z], z)):
            removed = max(0, min(others - missing, wanted[zone, False]))
            wanted[zone, False] -= removed
            others -= removed
        while others < missing:
            zones = [z for z in prices if self._has_room(now_s, (z, False), wanted)]
            if not zones:
                break
            wanted[min(zones, key=lambda z: (prices[z], z)), False] += 1
            others += 1
        return wanted

    def _removals(self, now_s, view, wanted):
        """Return the orders that give up engines, of the dearest kind and zone first.

        No more than the ready engines exceed the need.
        """
        counts = dict(view.counts)
        surplus = sum(counts.values()) - view.wanted_count
        surplus_s = LOAD_SURPLUS_S if view.is_by_load else SURPLUS_S
        if surplus <= 0:
            self._surplus_since_s = None
            return []
        if self._surplus_since_s is None:
            self._surplus_since_s = now_s
        if now_s < self._step_at_s:
            return []
        if not view.is_idle:
            step_of = sum(counts.values()) if view.is_by_load else view.wanted_count
            surplus = min(surplus, max(1, int(STEP_SHARE * step_of)))
        orders = []
        prices = self._limits.zone_prices
        for key in sorted(wanted, key=lambda key: (key[1], -prices[key[0]], key[0])):
            zone, is_reclaimable = key
            there, other = counts.get(key, 0), (zone, not is_reclaimable)
            least = max(wanted[key], self._limits.min_count - counts.get(other, 0))
            removed = min(surplus, there - least)
            if is_reclaimable and view.is_by_load:
                removed = min(removed, self._spare(now_s, view, counts, key))
            if removed <= 0:
                continue
            if is_reclaimable and now_s - self._surplus_since_s < surplus_s:
                continue
            surplus -= removed
            counts[key] = there - removed
            orders.append(FleetOrder(zone, is_reclaimable, counts[key]))
        if orders:
            self._step_at_s = now_s + STEP_PAUSE_S
        return orders

    def _spare(self, now_s, view, counts, key):
        """Return how many reclaimable engines of a zone the load doesn't need.

        The ready ones have to be enough without those of any one zone.
        """
        if self.is_short(now_s, view):
            return 0
        total = sum(counts.values())
        losses = [
            total - count
            for other, count in counts.items()
            if other[1] and other != key
        ]
        return min(losses, default=total) - view.wanted_count
