"""Tests of the rate limit for gossip about loads."""

import pytest

from gypsumusher_routing import GossipRateLimiter

# Size of a message with the loads of thirty engines, and number of active peers.
MESSAGE_BYTES, HOSTS = 900, 11
# Hosts check for changed loads twenty times a second.
CHECK_PERIOD_S = 0.05


def messages_per_s(link_mbps):
    """Return how many messages a host sends in a second if loads always change."""
    limiter, sent = GossipRateLimiter(link_mbps), 0
    for check in range(20):
        if limiter.may_send(check * CHECK_PERIOD_S):
            limiter.on_sent(check * CHECK_PERIOD_S, HOSTS * MESSAGE_BYTES)
            sent += HOSTS
    return sent


@pytest.mark.parametrize("link_mbps", [100.0, 200.0, 1000.0])
def test_fast_link_delays_no_message(link_mbps):
    assert messages_per_s(link_mbps) == 20 * HOSTS


@pytest.mark.parametrize("link_mbps", [5.0, 10.0, 20.0])
def test_gossip_uses_only_its_share_of_a_slow_link(link_mbps):
    # Under full load every check finds a change, and sending all of them would take a
    # third of the slowest link. One round of messages is always sent.
    sent_bytes = messages_per_s(link_mbps) * MESSAGE_BYTES
    link_bytes = link_mbps * 1e6 / 8.0
    assert sent_bytes <= 0.05 * link_bytes + HOSTS * MESSAGE_BYTES


def test_unused_bandwidth_is_not_saved_up():
    limiter = GossipRateLimiter(5.0)
    limiter.on_sent(0.0, MESSAGE_BYTES)
    limiter.on_sent(100.0, HOSTS * MESSAGE_BYTES)
    assert not limiter.may_send(100.1)
    assert limiter.may_send(101.0)
