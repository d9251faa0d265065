"""State machine test: membership under partitions, lagging lists and changes."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumusher_coordination.membership import (
    PLATFORM_SOURCE,
    Membership,
    max_message_bytes,
)

HOSTS = ("a", "b", "c")
ENDPOINTS = ("engine-1", "engine-2")
HOST = st.sampled_from(HOSTS)
ENDPOINT = st.sampled_from(ENDPOINTS)
MESSAGE_MAX_BYTES = 1_000


class MembershipMachine(RuleBasedStateMachine):
    """Three hosts and two endpoints; each host reads the list with its own lag."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.is_leaving = dict.fromkeys(ENDPOINTS, False)
        self.unreachable = set()
        self.delayed_probes = []
        self.incarnations = dict.fromkeys(HOSTS, 0)
        self.members = {}
        for host in HOSTS:
            self.start_host(host)

    def names(self):
        return {host: f"{host}{number}" for host, number in self.incarnations.items()}

    def start_host(self, host):
        self.members[host] = Membership(host, self.names()[host])
        for member in self.members.values():
            member.set_hosts(self.now_s, self.names())

    @rule(endpoint=ENDPOINT)
    def endpoint_leaves_or_comes_back(self, endpoint):
        self.is_leaving[endpoint] = not self.is_leaving[endpoint]

    @rule(host=HOST, endpoint=ENDPOINT)
    def read_list(self, host, endpoint):
        member = self.members[host]
        member.on_source_report(
            self.now_s, endpoint, PLATFORM_SOURCE, self.is_leaving[endpoint]
        )

    @rule(host=HOST)
    def restart(self, host):
        self.incarnations[host] += 1
        self.start_host(host)

    @rule(host=HOST)
    def cut_off(self, host):
        self.unreachable.add(host)

    @rule(host=HOST)
    def join_again(self, host):
        self.unreachable.discard(host)

    @rule(wait_s=st.sampled_from((0.1, 0.5, 2.0, 70.0)), is_late=st.booleans())
    def exchange(self, wait_s, is_late):
        self.now_s += wait_s
        for host, member in self.members.items():
            for probe in member.tick(self.now_s):
                assert max_message_bytes(probe.message) < MESSAGE_MAX_BYTES
                if is_late:
                    self.delayed_probes.append((host, probe))
                    continue
                self.deliver(host, probe)

    @rule(index=st.integers(0, 2**16))
    def deliver_late(self, index):
        if self.delayed_probes:
            self.deliver(*self.delayed_probes.pop(index % len(self.delayed_probes)))

    def deliver(self, host, probe):
        member = self.members[host]
        if host in self.unreachable or probe.host in self.unreachable:
            member.on_probe_failed(self.now_s, probe.host)
            return
        answer = self.members[probe.host].on_probe(self.now_s, host, probe.message)
        member.on_probe_answer(self.now_s, probe.host, answer)

    @invariant()
    def no_host_suspects_itself(self):
        for host, member in self.members.items():
            assert member.host_state(host) == "live"

    def teardown(self):
        """After all faults end, all hosts are live to each other and know the list."""
        self.unreachable.clear()
        self.delayed_probes.clear()
        for _ in range(6):
            for host in HOSTS:
                for endpoint in ENDPOINTS:
                    self.read_list(host, endpoint)
            for _ in range(6):
                self.exchange(3.0, False)
            self.exchange(60.0, False)
        for member in self.members.values():
            assert [member.host_state(other) for other in HOSTS] == ["live"] * len(
                HOSTS
            )
            for endpoint, is_leaving in self.is_leaving.items():
                assert member.is_endpoint_leaving(endpoint) == is_leaving


TestMembership = MembershipMachine.TestCase
TestMembership.settings = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=100,
    stateful_step_count=40,
)
