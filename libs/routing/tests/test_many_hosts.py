"""Hundreds of hosts that tell each other of their loads many times a second."""

import pytest
from samples import engine

from gypsumusher_routing import (
    TIMELY,
    CostModel,
    EndpointTable,
    HostStatus,
    Load,
    PrefillObservation,
    choose_active_hosts,
)
from gypsumusher_routing.estimates import Slowdown

HOSTS, ENGINES = 195, 59
NOW_S = 10.0


def host(number, capacity):
    return HostStatus(
        f"host-{number}", 1, 1, "10.0.0.1", "abcde"[number % 5], "", "", True, 1, 1,
        capacity, True, 1.0, 0.45, 0,
    )  # fmt: skip


def fleet(strong, weak):
    hosts = [host(number, 2.0) for number in range(strong)]
    return hosts + [host(strong + number, 0.0) for number in range(weak)]


class CountedStates(dict):
    """The states of a table, counting how often one is looked up."""

    def __init__(self, states):
        super().__init__(states)
        self.lookups = 0

    def get(self, key, default=None):
        self.lookups += 1
        return super().get(key, default)

    def items(self):
        raise AssertionError("all endpoints are gone through for one message")

    values = items


def table():
    found = EndpointTable()
    for number in range(ENGINES):
        state = engine(f"e-{number}")
        found.states[state.record.endpoint_id] = state
    found.states = CountedStates(found.states)
    return found


def test_a_message_costs_what_it_names_and_not_all_endpoints():
    """A host spent its processor on messages of hosts with nothing under way."""
    endpoints = table()
    for number in range(HOSTS):
        endpoints.on_peer_loads(NOW_S, f"host-{number}", {})
    assert endpoints.states.lookups == 0
    endpoints.on_peer_loads(NOW_S, "host-1", {"e-1": (Load(2), 0.0)})
    endpoints.on_peer_loads(NOW_S, "host-1", {"e-2": (Load(1), 0.0)})
    assert endpoints.states.lookups <= 3


def test_what_a_peer_no_longer_names_has_ended():
    """An engine kept counting as busy, and as failing, after a peer's work there."""
    endpoints = table()
    state = endpoints.states["e-1"]
    endpoints.on_peer_loads(NOW_S, "host-1", {"e-1": (Load(2), 1.0)})
    endpoints.on_peer_loads(NOW_S, "host-2", {"e-1": (Load(3), 0.0)})
    assert state.load(NOW_S).running == 5
    assert state.health.is_avoided(NOW_S)
    endpoints.on_peer_loads(NOW_S, "host-1", {"e-2": (Load(1), 0.0)})
    assert state.load(NOW_S).running == 3
    assert not state.health.is_avoided(NOW_S)


def test_a_peer_that_names_an_unknown_endpoint_changes_nothing():
    """One host knows an endpoint before the others do."""
    endpoints = table()
    endpoints.on_peer_loads(NOW_S, "host-1", {"new": (Load(2), 1.0)})
    endpoints.on_peer_loads(NOW_S, "host-1", {})
    assert "new" not in endpoints.states


@pytest.mark.parametrize("strong, weak", [(0, 195), (15, 180), (5, 190), (195, 0)])
def test_a_host_that_hears_of_the_active_ones_alone_names_all_of_them(strong, weak):
    """Callers of two hundred hosts were sent to five: a part of a part."""
    hosts = fleet(strong, weak)
    active = choose_active_hosts(hosts)
    assert len(active) >= 15
    quiet = next(news for news in hosts if news not in active)
    assert choose_active_hosts([*active, quiet], len(hosts)) == active


def test_strong_hosts_take_the_callers_alone_where_they_are_some():
    """Weak hosts tell of their readings late, and send to engines that are busy."""
    active = choose_active_hosts(fleet(15, 180))
    assert len(active) == 15
    assert all(news.capacity for news in active)


def test_a_few_strong_hosts_do_not_carry_the_load_of_all():
    """Five strong hosts of hundreds would each take seven times its share."""
    assert len(choose_active_hosts(fleet(5, 325))) >= 55


def test_an_engine_that_reads_for_other_hosts_too_is_not_silent():
    """Readings that had begun were given up, and read a second time elsewhere."""
    learnt, expected_s = CostModel(), 0.3
    # Of ten prompts three meet one that another host has sent at the same time.
    for number in range(400):
        took_s = expected_s * (2.8 if number % 10 < 3 else 0.9)
        seen = PrefillObservation(
            "prefill", TIMELY, 4000, 0, 0.0, expected_s, 0.0, took_s
        )
        learnt.on_prefill(0.05 * number, Slowdown(), seen)
    assert learnt.prefill_timeout_s("prefill", expected_s) > 1.5 * 2.8 * expected_s


def test_an_engine_that_answers_as_expected_is_soon_known_as_silent():
    """Prompts waited for seconds at an engine that was down."""
    learnt, expected_s = CostModel(), 0.3
    for number in range(400):
        seen = PrefillObservation(
            "prefill", TIMELY, 4000, 0, 0.0, expected_s, 0.0, expected_s
        )
        learnt.on_prefill(0.05 * number, Slowdown(), seen)
    assert learnt.prefill_timeout_s("prefill", expected_s) < 4.0 * expected_s
