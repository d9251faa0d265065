"""The queue of a host: strict by class, fair between tenants, earliest deadline first.

Made for long saturation by one class or one tenant: without the class order a
counter's check would wait behind letter bundles, and without the fair share one
tenant's batch would push every other tenant past its deadline.
"""

import heapq
from typing import NamedTuple

from gypsumusher_policy.admission import Work
from gypsumusher_policy.types import Request

NO_WORK = Work(0.0, 0.0)


def add_work(one: Work, other: Work) -> Work:
    """Return the sum of two amounts of work."""
    return Work(one.prefill_s + other.prefill_s, one.decode_s + other.decode_s)


class Queued(NamedTuple):
    """A request that waits on the host.

    Parameters
    ----------
    request : Request
        The request.
    rank : int
        Rank of its class.
    work : Work
        Engine seconds that it is expected to take.
    latest_start_s : float
        Time after which it can't be on time any longer.
    order_s : float
        Its place within its tenant's work: the deadline, or earlier.
    """

    request: Request
    rank: int
    work: Work
    latest_start_s: float
    order_s: float


class LaneKey(NamedTuple):
    """Where a request waits: its class's rank, and which engines it needs most.

    Work that is mostly prompt and work that is mostly output wait apart, so that a
    shortage of engines for the one doesn't leave the engines for the other idle.
    """

    rank: int
    mostly_prompt: bool


def lane_of(rank: int, work: Work) -> LaneKey:
    """Return the lane of a request."""
    return LaneKey(rank, work.prefill_s > work.decode_s)


class ClassLane:
    """The waiting requests of one lane.

    Between tenants the one with the least service per weight goes first (start-time
    fair queueing); within a tenant the earliest deadline goes first.
    """

    def __init__(self):
        self.heaps = {}
        self.served_s = {}
        self.order = []
        self.virtual_s = 0.0

    def push(self, item, weight):
        """Add an item of a tenant with fair-share ``weight``."""
        tenant = item.request.tenant
        heap = self.heaps.get(tenant)
        if heap is None:
            heap = self.heaps[tenant] = []
            # A tenant that was idle gets no credit for the time it didn't ask:
            # otherwise its first burst would shut out everyone else.
            served_s = max(self.served_s.get(tenant, 0.0), self.virtual_s)
            self.served_s[tenant] = served_s
            heapq.heappush(self.order, (served_s, tenant))
        key = (item.order_s, item.request.request_id)
        heapq.heappush(heap, (key, item, weight))

    def peek(self, live):
        """Return the item to serve next, or None; forget those not in ``live``."""
        while self.order:
            _, tenant = self.order[0]
            heap = self.heaps[tenant]
            while heap and live.get(heap[0][1].request.request_id) is not heap[0][1]:
                heapq.heappop(heap)
            if heap:
                return heap[0][1]
            heapq.heappop(self.order)
            del self.heaps[tenant]
            if self.served_s[tenant] <= self.virtual_s:
                del self.served_s[tenant]
        self.served_s.clear()
        self.virtual_s = 0.0
        return None

    def pop(self):
        """Remove the item that `peek` has just returned."""
        served_s, tenant = heapq.heappop(self.order)
        _, item, weight = heapq.heappop(self.heaps[tenant])
        self.virtual_s = served_s
        served_s += sum(item.work) / weight
        self.served_s[tenant] = served_s
        heapq.heappush(self.order, (served_s, tenant))
        return item


class RequestQueue:
    """All waiting requests of one host and deployment."""

    def __init__(self):
        self.live = {}
        self.lanes = {}
        self.work_by_rank = {}
        self._latest = []

    def __len__(self):
        return len(self.live)

    def push(self, item: Queued, weight: float) -> None:
        """Add an item; ``weight`` is its tenant's fair share."""
        self.live[item.request.request_id] = item
        key = lane_of(item.rank, item.work)
        lane = self.lanes.get(key)
        if lane is None:
            lane = self.lanes[key] = ClassLane()
            self.lanes = dict(sorted(self.lanes.items()))
        lane.push(item, weight)
        key = (item.latest_start_s, item.request.request_id)
        heapq.heappush(self._latest, (key, item))
        known = self.work_by_rank.get(item.rank, NO_WORK)
        self.work_by_rank[item.rank] = add_work(known, item.work)

    def peek(self, key: LaneKey) -> Queued | None:
        """Return the item of this lane to serve next."""
        return self.lanes[key].peek(self.live)

    def pop(self, key: LaneKey) -> Queued:
        """Remove the item that `peek` has just returned."""
        item = self.lanes[key].pop()
        self._forget(item)
        return item

    def remove(self, request_id: str) -> Queued | None:
        """Remove one request wherever it stands; None when it isn't waiting."""
        item = self.live.get(request_id)
        if item is not None:
            self._forget(item)
        return item

    def pop_late(self, now_s: float) -> Queued | None:
        """Remove one item that can't be on time any longer; None when all can."""
        due_s = self.next_late_s()
        if due_s is None or due_s > now_s:
            return None
        _, item = heapq.heappop(self._latest)
        self._forget(item)
        return item

    def next_late_s(self) -> float | None:
        """Return when the next item becomes too late, or None."""
        while self._latest:
            key, item = self._latest[0]
            if self.live.get(key[1]) is item:
                return key[0]
            heapq.heappop(self._latest)
        return None

    def ahead(self, rank: int) -> Work:
        """Return the work that waits at this rank or before it."""
        total = NO_WORK
        for other, work in self.work_by_rank.items():
            if other <= rank:
                total = add_work(total, work)
        return total

    def _forget(self, item):
        del self.live[item.request.request_id]
        known = self.work_by_rank[item.rank]
        self.work_by_rank[item.rank] = Work(
            max(0.0, known.prefill_s - item.work.prefill_s),
            max(0.0, known.decode_s - item.work.decode_s),
        )
        if not self.live:
            # The sums are exact again whenever nothing waits, so that rounding
            # errors can't add up over weeks.
            self.work_by_rank.clear()
