"""DirectPath and RelayTable: when a link is down, and which host is asked next."""

from typing import NamedTuple

from gypsumusher_routing import DirectPath, RelayTable


class Host(NamedTuple):
    """What `RelayTable.choose` reads of a host."""

    name: str


HOSTS = [Host(f"h-{number}") for number in range(6)]


def draw_first():
    return 0.0


def test_link_is_down_from_a_bypass_until_a_connection_opens():
    path = DirectPath()
    assert not path.is_down and not path.on_connected()
    assert path.on_bypassed(1.0) and not path.on_bypassed(2.0)
    assert (path.is_down, path.down_since_s) == (True, 1.0)
    assert path.on_connected() and not path.is_down


def test_link_that_is_down_is_tried_once_a_second():
    path = DirectPath()
    path.on_bypassed(1.0)
    assert [path.take_try(at_s) for at_s in (1.5, 2.0, 2.5, 3.0)] == [
        False, True, False, True,
    ]  # fmt: skip


def test_host_that_failed_is_not_asked_again_for_the_same_endpoint():
    relays = RelayTable()
    relays.on_failed(1.0, "e-1", "h-0")
    assert relays.choose(1.5, "e-1", HOSTS, draw_first).name == "h-1"
    assert relays.choose(1.5, "e-2", HOSTS, draw_first).name == "h-0"
    assert relays.choose(3.0, "e-1", HOSTS, draw_first).name == "h-0"


def test_endpoint_that_three_hosts_do_not_reach_is_asked_for_no_more():
    relays = RelayTable()
    for number in range(3):
        relays.on_failed(1.0, "e-1", f"h-{number}")
    assert relays.choose(1.5, "e-1", HOSTS, draw_first) is None
    # A host that reaches other endpoints is asked all the same.
    relays.on_reached(1.2, "e-2", "h-4")
    assert relays.choose(1.5, "e-1", HOSTS, draw_first).name == "h-4"
    assert relays.choose(1.5, "e-1", [], draw_first) is None
