"""Tests with hundreds of hosts that send each other their loads."""

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
from gypsumusher_routing.active_hosts import WATCHERS, max_store_pause_s
from gypsumusher_routing.estimates import Slowdown

HOSTS, ENGINES = 195, 59
NOW_S = 10.0


def host(number, capacity):
    return HostStatus(
        f"host-{number}", 1, 1, "10.0.0.1", "abcde"[number % 5], "", "", True, 1, 1,
        capacity, True, 1.0, 0.45, 0, 0, True,
    )  # fmt: skip


def hosts_of(strong, weak):
    hosts = [host(number, 2.0) for number in range(strong)]
    return hosts + [host(strong + number, 0.0) for number in range(weak)]


class CountedStates(dict):
    """States of a table that count lookups and reject iteration."""

    def __init__(self, states):
        super().__init__(states)
        self.lookups = 0

    def get(self, key, default=None):
        self.lookups += 1
        return super().get(key, default)

    def items(self):
        raise AssertionError("one message iterates over all endpoints")

    values = items


def endpoint_table():
    table = EndpointTable()
    for number in range(ENGINES):
        state = engine(f"e-{number}")
        table.states[state.record.endpoint_id] = state
    table.states = CountedStates(table.states)
    return table


def test_cost_of_a_message_grows_with_the_endpoints_it_names():
    """Guards against high CPU load from messages of hosts without any load."""
    endpoints = endpoint_table()
    for number in range(HOSTS):
        endpoints.on_peer_loads(NOW_S, f"host-{number}", {})
    assert endpoints.states.lookups == 0
    endpoints.on_peer_loads(NOW_S, "host-1", {"e-1": (Load(2), 0.0)})
    endpoints.on_peer_loads(NOW_S, "host-1", {"e-2": (Load(1), 0.0)})
    assert endpoints.states.lookups <= 3


def test_load_and_penalty_end_when_a_peer_omits_the_endpoint():
    """Guards against engines that stay busy, or avoided, after a peer's requests."""
    endpoints = endpoint_table()
    state = endpoints.states["e-1"]
    endpoints.on_peer_loads(NOW_S, "host-1", {"e-1": (Load(2), 1.0)})
    endpoints.on_peer_loads(NOW_S, "host-2", {"e-1": (Load(3), 0.0)})
    assert state.load(NOW_S).running == 5
    assert state.health.is_avoided(NOW_S)
    endpoints.on_peer_loads(NOW_S, "host-1", {"e-2": (Load(1), 0.0)})
    assert state.load(NOW_S).running == 3
    assert not state.health.is_avoided(NOW_S)


def test_load_at_an_unknown_endpoint_is_ignored():
    """A peer may know an endpoint before this host does."""
    endpoints = endpoint_table()
    endpoints.on_peer_loads(NOW_S, "host-1", {"new": (Load(2), 1.0)})
    endpoints.on_peer_loads(NOW_S, "host-1", {})
    assert "new" not in endpoints.states


@pytest.mark.parametrize("strong, weak", [(0, 195), (15, 180), (5, 190), (195, 0)])
def test_host_that_knows_only_the_active_hosts_chooses_all_of_them(strong, weak):
    """Guards against a share of a share: five active hosts out of two hundred."""
    hosts = hosts_of(strong, weak)
    active = choose_active_hosts(hosts)
    assert len(active) >= 15
    inactive = next(status for status in hosts if status not in active)
    assert choose_active_hosts([*active, inactive], len(hosts)) == active


def test_only_strong_hosts_are_active_if_there_are_enough():
    """Weak hosts report their prefills late, and send prompts to busy engines."""
    active = choose_active_hosts(hosts_of(15, 180))
    assert len(active) == 15
    assert all(status.capacity for status in active)


def test_weak_hosts_are_active_too_if_there_are_few_strong_ones():
    """Five strong hosts out of hundreds would each get seven times their share."""
    assert len(choose_active_hosts(hosts_of(5, 325))) >= 55


def test_engine_that_prefills_for_other_hosts_does_not_time_out():
    """Guards against prefills that are given up too early and repeated elsewhere."""
    cost_model, expected_s = CostModel(), 0.3
    # Three of ten prompts arrive together with a prompt from another host.
    for number in range(400):
        took_s = expected_s * (2.8 if number % 10 < 3 else 0.9)
        observation = PrefillObservation(
            "prefill", TIMELY, 4000, 0, 0.0, expected_s, 0.0, took_s
        )
        cost_model.on_prefill(0.05 * number, Slowdown(), observation)
    assert cost_model.prefill_timeout_s("prefill", expected_s) > 1.5 * 2.8 * expected_s


def test_timeout_is_short_if_answers_come_as_expected():
    """Guards against prompts that wait for seconds at an engine that is down."""
    cost_model, expected_s = CostModel(), 0.3
    for number in range(400):
        observation = PrefillObservation(
            "prefill", TIMELY, 4000, 0, 0.0, expected_s, 0.0, expected_s
        )
        cost_model.on_prefill(0.05 * number, Slowdown(), observation)
    assert cost_model.prefill_timeout_s("prefill", expected_s) < 4.0 * expected_s


def test_hosts_without_the_store_call_it_less_where_they_are_many():
    """Guards against hundreds of hosts that all poll a store that is down."""
    assert max_store_pause_s(False, 0) == max_store_pause_s(False, 8) == 0.5
    assert max_store_pause_s(True, 330) == 0.5
    kinds = 2
    for hosts in (69, 195, 330):
        others_per_s = kinds * (hosts - WATCHERS) / max_store_pause_s(False, hosts)
        assert others_per_s <= hosts
