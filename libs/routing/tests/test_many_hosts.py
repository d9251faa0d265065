"""Hundreds of hosts that tell each other of their loads many times a second."""

from samples import engine

from gypsumusher_routing import EndpointTable, Load

HOSTS, ENGINES = 195, 59
NOW_S = 10.0


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
