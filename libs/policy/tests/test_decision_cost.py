"""A decision's work grows no worse than the logarithm of a cell's replicas."""

from gypsumusher_policy import Endpoint
from gypsumusher_policy.endpoint_state import EndpointState
from gypsumusher_policy.placement import SHORTLIST, EndpointIndex
from gypsumusher_policy.prefix_index import CacheTable


class CountedState(EndpointState):
    looks = 0

    def takes_work(self, now_s, idempotent):
        CountedState.looks += 1
        return super().takes_work(now_s, idempotent)


def count_looks(replicas):
    index = EndpointIndex()
    for number in range(replicas):
        index.add(CountedState(Endpoint(f"e{number}", "z", "mixed", False)))
    CountedState.looks = 0
    index.shortlist("mixed", 0.0, True, set())
    return CountedState.looks


def test_a_decision_looks_at_the_same_few_endpoints():
    assert count_looks(25) == count_looks(400) == SHORTLIST


def test_prefix_lookup_takes_the_logarithm_of_the_parts():
    class CountedHolders(dict):
        gets = 0

        def get(self, key, default=None):
            CountedHolders.gets += 1
            return super().get(key, default)

    table = CacheTable()
    table.holders = CountedHolders((part, ("e0",)) for part in range(700))
    assert table.longest(tuple(range(1024))) == (("e0",), 700)
    assert CountedHolders.gets <= 11
