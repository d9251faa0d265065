"""Exchange of engine speeds and gap ratios between hosts."""

from types import SimpleNamespace

import msgpack
import pytest
from host_harness import settings

from gypsumusher_entry.context import Context
from gypsumusher_entry.gossip import Gossip
from gypsumusher_entry.metrics import Metrics
from gypsumusher_ports import EndpointRecord
from gypsumusher_routing import ALL_ON

ENTRY = ["e-0", 1, "decode", 500, 20, 900, 30]
BAD_VALUES = [None, True, 0.5, float("nan"), 2**63, -(2**63), [], {}, b"x"]


class Hosts:
    """Active hosts that know the same decode engines, without a network."""

    def __init__(self, engines=1, hosts=2, policy=ALL_ON):
        self.now_s, self.sent, self.is_link_up = 100.0, 0, True
        self.log_lines = []
        self.ips = [f"10.0.0.{number}" for number in range(hosts)]
        self.contexts = [self._context(ip, engines, policy) for ip in self.ips]

    def _context(self, ip, engines, policy):
        def log(level, event, **fields):
            self.log_lines.append((event, fields))

        context = Context(settings("", ip), lambda: self.now_s, log, Metrics(), policy)
        for number in range(engines):
            place = f"e-{number}", 1, "llm", f"10.1.0.{number}:80", "a", 64
            record = EndpointRecord(*place, False, 0.0, "decode", 1)
            context.endpoints.on_record(record, 1)
        hosts = [SimpleNamespace(name="host-1", ip=other) for other in self.ips]
        context.active_hosts = lambda: hosts
        context.keep_running = lambda function: None
        context.engine_estimates.start(lambda *message: self._send(ip, *message))
        return context

    def _send(self, source, kind, fields, ip):
        self.sent += 1
        if self.is_link_up:
            self.receive(*fields, number=self.ips.index(ip), source=source, kind=kind)

    def receive(self, *fields, number=0, source="10.0.0.9", kind="engine_estimates"):
        data = msgpack.packb([kind, *fields])
        Gossip(self.contexts[number]).datagram_received(data, (source, 1))

    def state(self, host, number=0):
        return self.contexts[host].endpoints.states[f"e-{number}"]

    def observe(self, host, ratio=1.7, number=0):
        for _ in range(10):
            self.state(host, number).slowdown.learn(self.now_s, ratio, 1.0)

    def observations(self, host):
        return self.state(host).slowdown.mean_report.observations

    def tick(self, count=1):
        """Let all hosts work for some intervals; return the number of datagrams."""
        self.sent = 0
        for _ in range(count):
            self.now_s += 0.5
            for context in self.contexts:
                context.engine_estimates.tick()
        return self.sent


def test_hosts_use_each_others_observations_once():
    """Guards against observations that are lost, or come back from another host."""
    hosts = Hosts()
    hosts.is_link_up = False
    for host in range(2):
        hosts.observe(host)
    assert hosts.tick() == 2
    assert [hosts.observations(host) for host in range(2)] == [10, 10]
    # The content of lost datagrams is repeated once, and unchanged content rarely.
    hosts.is_link_up = True
    assert hosts.tick(3) == 2
    assert [hosts.observations(host) for host in range(2)] == [20, 20]
    assert hosts.tick(30) <= 4


@pytest.mark.parametrize("field, value", [(0, "e-7"), (1, 2), (2, "prefill")])
def test_estimates_of_another_engine_start_or_stage_are_ignored(field, value):
    """Guards against the speed of an engine before it restarted."""
    hosts, off = Hosts(), Hosts(policy=ALL_ON._replace(shared_speeds=False))
    hosts.receive([[*ENTRY[:field], value, *ENTRY[field + 1 :]]])
    assert not hosts.log_lines and hosts.observations(0) == 0
    hosts.receive([ENTRY])
    assert (hosts.observations(0), hosts.state(0).event_gap_ratio) == (20, 0.9)
    # With the switch off, no other host's estimate is used.
    off.receive([ENTRY])
    assert not off.log_lines and off.state(0).event_gap_ratio == 0.2


def test_malformed_datagram_is_rejected_as_a_whole():
    """Guards against datagrams that stop the receiver or are half applied."""
    hosts = Hosts()
    malformed = [[], [ENTRY], [[ENTRY], 1], [[ENTRY] * 201], [None], [[ENTRY, 7]]]
    for field in range(len(ENTRY)):
        malformed.append([[ENTRY, ENTRY[:field]]])
        for value in BAD_VALUES:
            malformed.append([[ENTRY, [*ENTRY[:field], value, *ENTRY[field + 1 :]]]])
    for fields in malformed:
        hosts.log_lines.clear()
        hosts.receive(*fields)
        assert [event for event, _ in hosts.log_lines] == ["gossip_unreadable"], fields
    assert hosts.observations(0) == 0


def test_notable_changes_are_logged_once_and_shown_as_a_range():
    """Guards against slow engines that operators can't see, and against log floods."""
    hosts = Hosts(engines=40, hosts=1)
    for number in range(40):
        hosts.observe(0, 1.7 if number % 2 else 0.7, number)
    hosts.tick()
    assert len(hosts.log_lines) == 4
    hosts.tick(40)
    names = [fields["endpoint"] for _, fields in hosts.log_lines]
    assert len(names) == len(set(names)) == 40
    page = hosts.contexts[0].metrics.render()[0].decode()
    assert 'gypsumusher_engine_speed_factor{bound="max"' in page
