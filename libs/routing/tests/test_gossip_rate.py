"""How often hosts tell of their loads, by what their links carry."""

import pytest

from gypsumusher_routing import GossipRateLimiter

# A message of the loads of thirty engines to each of eleven other active hosts.
MESSAGE_BYTES, HOSTS = 900, 11
# Hosts look for changes twenty times a second.
LOOK_S = 0.05


def told_a_second(link_mbps):
    """Return how many messages a host sends whose loads change all the time."""
    share, told = GossipRateLimiter(link_mbps), 0
    for look in range(20):
        if share.may_send(look * LOOK_S):
            share.on_sent(look * LOOK_S, HOSTS * MESSAGE_BYTES)
            told += HOSTS
    return told


@pytest.mark.parametrize("link_mbps", [100.0, 200.0, 1000.0])
def test_a_strong_link_holds_no_message_back(link_mbps):
    assert told_a_second(link_mbps) == 20 * HOSTS


@pytest.mark.parametrize("link_mbps", [5.0, 10.0, 20.0])
def test_loads_leave_a_weak_link_to_the_callers(link_mbps):
    # Under full load every look finds a change, and each message would take a tenth of
    # a second of the weakest link. One message is always let through.
    sent_bytes = told_a_second(link_mbps) * MESSAGE_BYTES
    link_bytes = link_mbps * 1e6 / 8.0
    assert sent_bytes <= 0.05 * link_bytes + HOSTS * MESSAGE_BYTES


def test_a_share_that_was_at_rest_saves_nothing_up():
    share = GossipRateLimiter(5.0)
    share.on_sent(0.0, MESSAGE_BYTES)
    share.on_sent(100.0, HOSTS * MESSAGE_BYTES)
    assert not share.may_send(100.1)
    assert share.may_send(101.0)
