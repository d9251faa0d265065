"""Cost of a decision: at most logarithmic in the number of replicas of a cell."""

from gypsumusher_policy import Endpoint
from gypsumusher_policy.endpoint_state import EndpointState
from gypsumusher_policy.placement import MAX_CANDIDATES, EndpointIndex
from gypsumusher_policy.prefix_index import PrefixIndex


class CountingState(EndpointState):
    n_checks = 0

    def accepts_work(self, now_s, idempotent):
        CountingState.n_checks += 1
        return super().accepts_work(now_s, idempotent)


def count_checked_endpoints(replicas):
    index = EndpointIndex()
    for number in range(replicas):
        index.add(CountingState(Endpoint(f"e{number}", "z", "mixed", False)))
    CountingState.n_checks = 0
    index.candidates("mixed", 0.0, True, set())
    return CountingState.n_checks


def test_decision_checks_the_same_number_of_endpoints_in_any_cell():
    assert count_checked_endpoints(25) == count_checked_endpoints(400) == MAX_CANDIDATES


def test_prefix_lookup_is_logarithmic_in_the_number_of_blocks():
    class CountingPrefixes(dict):
        n_gets = 0

        def get(self, key, default=None):
            CountingPrefixes.n_gets += 1
            return super().get(key, default)

    index = PrefixIndex()
    index.endpoints_by_prefix = CountingPrefixes(
        (block, ("e0",)) for block in range(700)
    )
    assert index.longest_match(tuple(range(1024))) == (("e0",), 700)
    assert CountingPrefixes.n_gets <= 11
