"""Queue of a host: strict by class, fair between tenants, earliest deadline first.

Each rank has up to two queues, one for prefill-heavy and one for decode-heavy
requests. Without strict class order, urgent interactive requests would wait behind
batches when one class saturates the engines. Without fair shares, a batch of one
tenant would push the requests of all other tenants past their deadlines.
"""

import heapq
from typing import NamedTuple

from gypsumusher_policy.admission import Work
from gypsumusher_policy.types import Request

ZERO_WORK = Work(0.0, 0.0)


def add_work(one: Work, other: Work) -> Work:
    """Return the sum of two amounts of work."""
    return Work(one.prefill_s + other.prefill_s, one.decode_s + other.decode_s)


class QueuedRequest(NamedTuple):
    """A request that waits on the host.

    Parameters
    ----------
    request : Request
        The request.
    rank : int
        Rank of its class.
    work : Work
        Expected engine time.
    latest_start_s : float
        Last start time at which it still meets its deadline, in seconds.
    sort_s : float
        Time by which the requests of a tenant are ordered, in seconds: the deadline,
        or earlier for a request with a retry reservation.
    """

    request: Request
    rank: int
    work: Work
    latest_start_s: float
    sort_s: float


class QueueKey(NamedTuple):
    """Key of the queue in which a request waits.

    Prefill-heavy and decode-heavy requests wait in separate queues, so that a
    shortage of engines for one kind does not leave the engines for the other idle.

    Parameters
    ----------
    rank : int
        Rank of the request's class.
    prefill_heavy : bool
        Whether prefill takes more engine time than decode.
    """

    rank: int
    prefill_heavy: bool


def queue_key_of(rank: int, work: Work) -> QueueKey:
    """Return the queue key of a request of a rank with this expected work."""
    return QueueKey(rank, work.prefill_s > work.decode_s)


class FairQueue:
    """The waiting requests of one queue key.

    Tenants are served by start-time fair queueing: next comes the tenant that has
    received the least service in proportion to its weight. Within a tenant, the
    request with the earliest sort time is served first.

    Attributes
    ----------
    heap_by_tenant : dict of str to list
        Heap of the waiting requests of each tenant.
    service_s : dict of str to float
        Service received by each tenant, in engine seconds divided by its weight.
    tenant_heap : list of (float, str)
        Heap of the tenants with waiting requests, by service.
    virtual_time_s : float
        ``service_s`` of the tenant that was served last, before that service.
    """

    def __init__(self):
        self.heap_by_tenant = {}
        self.service_s = {}
        self.tenant_heap = []
        self.virtual_time_s = 0.0

    def push(self, item, weight):
        """Add an item of a tenant with fair-share ``weight``."""
        tenant = item.request.tenant
        heap = self.heap_by_tenant.get(tenant)
        if heap is None:
            heap = self.heap_by_tenant[tenant] = []
            # A tenant earns no credit while it is idle; otherwise its first burst
            # would block all other tenants.
            service_s = max(self.service_s.get(tenant, 0.0), self.virtual_time_s)
            self.service_s[tenant] = service_s
            heapq.heappush(self.tenant_heap, (service_s, tenant))
        key = (item.sort_s, item.request.request_id)
        heapq.heappush(heap, (key, item, weight))

    def peek(self, waiting):
        """Return the item to serve next, or None if there is none.

        Items that are no longer in ``waiting``, a dict by request id, are discarded.
        """
        while self.tenant_heap:
            _, tenant = self.tenant_heap[0]
            heap = self.heap_by_tenant[tenant]
            while heap and waiting.get(heap[0][1].request.request_id) is not heap[0][1]:
                heapq.heappop(heap)
            if heap:
                return heap[0][1]
            heapq.heappop(self.tenant_heap)
            del self.heap_by_tenant[tenant]
            if self.service_s[tenant] <= self.virtual_time_s:
                del self.service_s[tenant]
        self.service_s.clear()
        self.virtual_time_s = 0.0
        return None

    def pop(self):
        """Remove and return the item that `peek` has just returned."""
        service_s, tenant = heapq.heappop(self.tenant_heap)
        _, item, weight = heapq.heappop(self.heap_by_tenant[tenant])
        self.virtual_time_s = service_s
        service_s += sum(item.work) / weight
        self.service_s[tenant] = service_s
        heapq.heappush(self.tenant_heap, (service_s, tenant))
        return item


class RequestQueue:
    """All waiting requests of one host and deployment.

    Attributes
    ----------
    waiting : dict of str to QueuedRequest
        The waiting requests by id.
    fair_queues : dict of QueueKey to FairQueue
        Queues in the order in which they are served.
    work_by_rank : dict of int to Work
        Sum of the waiting work of each rank.
    """

    def __init__(self):
        self.waiting = {}
        self.fair_queues = {}
        self.work_by_rank = {}
        self._expiry_heap = []

    def __len__(self):
        return len(self.waiting)

    def push(self, item: QueuedRequest, weight: float) -> None:
        """Add an item; ``weight`` is its tenant's fair share."""
        self.waiting[item.request.request_id] = item
        key = queue_key_of(item.rank, item.work)
        fair_queue = self.fair_queues.get(key)
        if fair_queue is None:
            fair_queue = self.fair_queues[key] = FairQueue()
            self.fair_queues = dict(sorted(self.fair_queues.items()))
        fair_queue.push(item, weight)
        key = (item.latest_start_s, item.request.request_id)
        heapq.heappush(self._expiry_heap, (key, item))
        queued_work = self.work_by_rank.get(item.rank, ZERO_WORK)
        self.work_by_rank[item.rank] = add_work(queued_work, item.work)

    def peek(self, key: QueueKey) -> QueuedRequest | None:
        """Return the item of a queue to serve next, or None if it is empty."""
        return self.fair_queues[key].peek(self.waiting)

    def pop(self, key: QueueKey) -> QueuedRequest:
        """Remove and return the item that `peek` has just returned."""
        item = self.fair_queues[key].pop()
        self._discard(item)
        return item

    def remove(self, request_id: str) -> QueuedRequest | None:
        """Remove and return a request; None if it is not waiting."""
        item = self.waiting.get(request_id)
        if item is not None:
            self._discard(item)
        return item

    def pop_expired(self, now_s: float) -> QueuedRequest | None:
        """Remove and return an item past its latest start; None if there is none."""
        expiry_s = self.next_expiry_s()
        if expiry_s is None or expiry_s > now_s:
            return None
        _, item = heapq.heappop(self._expiry_heap)
        self._discard(item)
        return item

    def next_expiry_s(self) -> float | None:
        """Return the earliest latest start time of a waiting item, or None."""
        while self._expiry_heap:
            key, item = self._expiry_heap[0]
            if self.waiting.get(key[1]) is item:
                return key[0]
            heapq.heappop(self._expiry_heap)
        return None

    def work_ahead(self, rank: int) -> Work:
        """Return the waiting work of a rank and of all ranks served before it."""
        total = ZERO_WORK
        for other, work in self.work_by_rank.items():
            if other <= rank:
                total = add_work(total, work)
        return total

    def _discard(self, item):
        """Stop counting an item; `peek` and `next_expiry_s` drop its heap entries."""
        del self.waiting[item.request.request_id]
        queued_work = self.work_by_rank[item.rank]
        self.work_by_rank[item.rank] = Work(
            max(0.0, queued_work.prefill_s - item.work.prefill_s),
            max(0.0, queued_work.decode_s - item.work.decode_s),
        )
        if not self.waiting:
            # Resetting the sums whenever the queue is empty keeps rounding errors
            # from adding up over weeks.
            self.work_by_rank.clear()
