"""Engines by kind and zone: swings of load apart, what is reclaimed and what is dry."""

from hypothesis import given, settings
from hypothesis import strategies as st

from gypsumusher_ports import ScaleLimits
from gypsumusher_routing import FleetPlanner, FleetView

ZONES = ("a", "b", "c")
LIMITS = ScaleLimits(1, 30, 4.0, {"a": 0.85, "b": 1.2, "c": 1.0}, True)
WANTED = 45
ALL_USUAL = {(zone, False): 15 for zone in ZONES}
# Without those of any one zone, there are as many as wanted.
ALL_RECLAIMABLE = {("a", True): 23, ("b", True): 22, ("c", True): 23}


class Fleet:
    """A platform that carries out orders: engines boot, leave, and are reclaimed."""

    def __init__(self, counts, limits=LIMITS):
        self.planner = FleetPlanner(limits)
        self.limits = limits
        self.counts = dict(counts)
        self.booting = []
        self.now_s = 0.0
        self.dry_kinds = set()
        self.reclaimed = set()
        self.is_idle = False
        self.is_sight_complete = True
        self.wanted, self.is_by_load = WANTED, False
        self.orders = []
        self.least = sum(counts.values())

    def run(self, duration_s):
        until_s = self.now_s + duration_s
        while self.now_s < until_s:
            self.now_s += 0.5
            self.boot()
            view = FleetView(
                {key: count for key, count in self.counts.items() if count},
                frozenset(self.reclaimed),
                self.wanted,
                self.is_sight_complete,
                self.is_idle,
                self.is_by_load,
            )
            for order in self.planner.next_orders(self.now_s, view):
                self.give(order)
            self.least = min(self.least, self.ready())

    def boot(self):
        for item in [item for item in self.booting if item[0] <= self.now_s]:
            self.booting.remove(item)
            self.counts[item[1]] = self.counts.get(item[1], 0) + item[2]

    def give(self, order):
        key = (order.zone, order.is_reclaimable)
        self.orders.append((self.now_s, order))
        there = self.counts.get(key, 0)
        coming = sum(item[2] for item in self.booting if item[1] == key)
        added = order.count - there - coming
        if added > 0 and (order.is_reclaimable in self.dry_kinds):
            self.planner.on_none_available(self.now_s, order)
            return
        self.planner.on_ordered(self.now_s, order)
        if order.count < there:
            self.counts[key] = order.count
        if added > 0:
            self.booting.append((self.now_s + self.limits.boot_s, key, added))
        in_zone = sum(n for (zone, _), n in self.counts.items() if zone == order.zone)
        assert in_zone <= self.limits.max_count

    def reclaim(self, zone):
        self.counts[zone, True] = 0
        self.reclaimed = self.reclaimed | {zone}

    def ready(self):
        return sum(self.counts.values())

    def of_kind(self, is_reclaimable):
        return sum(n for (_, kind), n in self.counts.items() if kind == is_reclaimable)


def test_reclaimable_engines_replace_the_others_while_nothing_runs():
    """Guards against a day of paying for the dear kind, and against a gap meanwhile."""
    fleet = Fleet(ALL_USUAL)
    fleet.is_idle = True
    fleet.run(20.0)
    assert fleet.counts == {**ALL_RECLAIMABLE, **dict.fromkeys(ALL_USUAL, 0)}
    assert fleet.least >= WANTED


def test_engines_are_given_up_in_steps_while_requests_run():
    """Guards against the parts of prompts in half of the engines lost at once."""
    fleet = Fleet(ALL_USUAL)
    fleet.run(60.0)
    assert fleet.of_kind(False) == 0
    times = sorted({at_s for at_s, order in fleet.orders if not order.is_reclaimable})
    assert min(b - a for a, b in zip(times, times[1:])) >= 2.0
    assert len(times) >= WANTED // 4


def test_nothing_is_given_up_without_complete_sight():
    """Guards against engines given up because their replacements seem to be there."""
    fleet = Fleet(ALL_USUAL)
    fleet.is_sight_complete = False
    fleet.run(60.0)
    assert fleet.of_kind(False) == WANTED


def test_zone_reclaimed_at_the_crest_leaves_enough():
    """Guards against a third of the engines missing until others have booted."""
    fleet = Fleet(ALL_RECLAIMABLE)
    fleet.run(5.0)
    fleet.dry_kinds = {True}
    fleet.reclaim("c")
    assert fleet.ready() >= WANTED
    fleet.run(30.0)
    assert fleet.of_kind(False) == 0


def test_second_zone_reclaimed_while_all_are_dry():
    """Guards against engines missing while no reclaimable ones are to be had."""
    fleet = Fleet(ALL_RECLAIMABLE)
    fleet.run(5.0)
    fleet.dry_kinds = {True}
    fleet.reclaim("a")
    fleet.reclaim("b")
    fleet.run(6.0)
    assert fleet.ready() >= WANTED
    fleet.dry_kinds, fleet.reclaimed = set(), set()
    fleet.run(90.0)
    assert fleet.of_kind(False) == 0
    assert fleet.ready() >= WANTED


def test_zone_reclaimed_is_made_up_for_in_the_others():
    """Guards against waiting for a zone that may have none for a while."""
    fleet = Fleet(ALL_RECLAIMABLE)
    fleet.run(5.0)
    fleet.reclaim("a")
    fleet.run(0.5)
    orders = {tuple(order) for _, order in fleet.orders}
    assert orders == {("b", True, 30), ("c", True, 30)}


def test_order_without_effect_is_repeated_only_after_the_boot():
    """Guards against a call to the platform at each tick."""
    planner = FleetPlanner(LIMITS)
    view = FleetView({("a", True): 40}, frozenset(), 41, True, False)
    times = []
    for tick in range(40):
        for order in planner.next_orders(tick * 0.5, view):
            planner.on_ordered(tick * 0.5, order)
            times.append(tick * 0.5)
    times = sorted(set(times))
    assert len(times) > 2
    assert min(b - a for a, b in zip(times, times[1:])) >= 6.0


def left_after_loss(counts):
    """Return the engines that are left when one zone loses its reclaimable ones."""
    return sum(counts.values()) - max(counts.get((zone, True), 0) for zone in ZONES)


def test_lower_number_is_followed_in_steps_and_a_higher_one_at_once():
    """Guards against half of the cached prompts lost at once, and against none."""
    fleet = Fleet(ALL_RECLAIMABLE)
    fleet.wanted, fleet.is_by_load = 20, True
    fleet.dry_kinds, fleet.reclaimed = {True}, frozenset("c")
    fleet.run(20.0)
    assert fleet.counts == ALL_RECLAIMABLE
    fleet.dry_kinds, fleet.reclaimed = set(), frozenset()
    while fleet.ready() > 30:
        before = fleet.ready()
        fleet.run(2.0)
        assert left_after_loss(fleet.counts) >= 20
        assert fleet.ready() >= 0.9 * before - 1
        assert fleet.now_s < 42.0
    fleet.wanted = 40
    fleet.run(5.0)
    assert fleet.ready() == 60


@settings(max_examples=200, deadline=None)
@given(
    counts=st.dictionaries(
        st.tuples(st.sampled_from(ZONES), st.booleans()), st.integers(0, 15)
    ),
    wanted=st.integers(1, 90),
    reclaimed=st.frozensets(st.sampled_from(ZONES)),
    is_idle=st.booleans(),
    price=st.floats(0.1, 3.0),
    is_by_load=st.booleans(),
)
def test_orders_keep_to_the_limits_and_never_give_up_what_is_needed(
    counts, wanted, reclaimed, is_idle, price, is_by_load
):
    limits = LIMITS._replace(zone_prices={**LIMITS.zone_prices, "a": price})
    planner = FleetPlanner(limits)
    view = FleetView(counts, reclaimed, wanted, True, is_idle, is_by_load)
    planner.next_orders(0.0, view)
    after = dict(counts)
    for order in planner.next_orders(100.0, view):
        after[order.zone, order.is_reclaimable] = order.count
    removed = sum(max(0, counts[key] - after[key]) for key in counts)
    assert removed <= max(0, sum(counts.values()) - wanted)
    if is_by_load:
        # The others are given up as soon as enough engines are ready.
        kept = {key: min(count, counts.get(key, 0)) for key, count in after.items()}
        usual = {(zone, False): kept.get((zone, False), 0) for zone in ZONES}
        least = min(wanted, left_after_loss({**counts, **usual}))
        assert left_after_loss(kept) >= least
    for zone in ZONES:
        before, in_zone = (
            found.get((zone, True), 0) + found.get((zone, False), 0)
            for found in (counts, after)
        )
        assert min(limits.min_count, before) <= in_zone <= limits.max_count
