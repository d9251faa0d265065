"""A withdrawn key starts no request after the operator's bound, at any host.

Guards against ages that look younger than they are: reads and answers that arrive late
or twice, hosts that restart, are suspended, or have slow clocks, and hosts that only
ever hear each other.
"""

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from gypsumusher_routing import (
    CONFIRM_FROM_PEER,
    CONFIRM_FROM_STORE,
    ConfigurationAge,
    ConfirmationPlan,
    ConfirmationRole,
    key_lease_s,
)

BOUND_S = 5.0
HOSTS = 3
NUMBERS = st.integers(0, HOSTS - 1)
READER = ConfirmationRole(True, True, True)
WATCHER = ConfirmationRole(False, True, True)
ACTIVE = ConfirmationRole(False, False, True)
INACTIVE = ConfirmationRole(False, False, False)


class Host:
    """One process of a host, with a clock of its own."""

    def __init__(self, clock_offset_s, clock_rate, first_question):
        self.clock_offset_s = clock_offset_s
        self.clock_rate = clock_rate
        self.age = ConfigurationAge(first_question)
        self.version = 0

    def now_s(self, true_s):
        return self.clock_offset_s + self.clock_rate * true_s

    def adopt(self, version):
        self.version = max(self.version, version)
        self.age.on_version_in_force(version)

    def may_use_keys(self, true_s):
        return self.age.age_s(self.now_s(true_s)) <= key_lease_s(BOUND_S)


class WithdrawalMachine(RuleBasedStateMachine):
    """Hosts that confirm their configuration over calls of any delay."""

    @initialize(rates=st.lists(st.floats(0.995, 1.005), min_size=3, max_size=3))
    def start(self, rates):
        self.true_s = 100.0
        self.accepted_s = {1: 0.0}
        self.processes = 0
        self.rates = rates
        self.hosts = [self._new_host(number) for number in range(HOSTS)]
        self.reads, self.questions, self.answers = [], [], []

    def _new_host(self, number):
        self.processes += 1
        first_question = 1000 * self.processes
        return Host(50.0 * number, self.rates[number], first_question)

    @rule(passed_s=st.sampled_from([0.01, 0.2, 1.0, 2.4, 4.9, 7.0]))
    def pass_time(self, passed_s):
        self.true_s += passed_s

    @rule()
    def withdraw_key(self):
        self.accepted_s[len(self.accepted_s) + 1] = self.true_s

    @rule(number=NUMBERS)
    def start_read(self, number):
        host = self.hosts[number]
        self.reads.append([host, host.now_s(self.true_s), None])

    @precondition(lambda self: self.reads)
    @rule(data=st.data())
    def serve_read(self, data):
        read = data.draw(st.sampled_from(self.reads))
        read[2] = len(self.accepted_s)

    @precondition(lambda self: any(read[2] for read in self.reads))
    @rule(data=st.data(), adopts=st.booleans())
    def finish_read(self, data, adopts):
        served = [read for read in self.reads if read[2]]
        read = data.draw(st.sampled_from(served))
        self.reads.remove(read)
        host, started_s, version = read
        if adopts:
            host.adopt(version)
        host.age.on_read(started_s, version)

    @rule(asker=NUMBERS, peer=NUMBERS)
    def ask(self, asker, peer):
        host = self.hosts[asker]
        self.questions.append((host, peer, host.age.ask(host.now_s(self.true_s))))

    @precondition(lambda self: self.questions)
    @rule(data=st.data(), is_repeated=st.booleans())
    def answer(self, data, is_repeated):
        found = data.draw(st.sampled_from(self.questions))
        if not is_repeated:
            self.questions.remove(found)
        asker, peer, question = found
        host = self.hosts[peer]
        answer = host.age.answer(host.now_s(self.true_s), question)
        self.answers.append((asker, answer))

    @precondition(lambda self: self.answers)
    @rule(data=st.data(), number=NUMBERS, is_misled=st.booleans())
    def receive_answer(self, data, number, is_misled):
        found = data.draw(st.sampled_from(self.answers))
        asker, answer = found
        # An answer to an earlier process may reach the one that replaced it.
        (self.hosts[number] if is_misled else asker).age.on_answer(answer)

    @rule(number=NUMBERS)
    def learn_version(self, number):
        newest = max(host.version for host in self.hosts)
        self.hosts[number].adopt(newest)

    @rule(number=NUMBERS)
    def restart(self, number):
        self.hosts[number] = self._new_host(number)

    @invariant()
    def no_key_is_used_after_the_bound(self):
        if not hasattr(self, "hosts"):
            return
        for host in self.hosts:
            if not host.may_use_keys(self.true_s):
                continue
            missed_s = self.accepted_s.get(host.version + 1, float("inf"))
            assert self.true_s - missed_s <= BOUND_S


TestWithdrawal = WithdrawalMachine.TestCase
TestWithdrawal.settings = settings(
    max_examples=150, stateful_step_count=60, deadline=None
)


def test_age_counts_from_before_the_read_was_sent():
    """Guards against a slow store that makes the configuration look fresh."""
    age = ConfigurationAge(1)
    age.on_version_in_force(7)
    age.on_read(100.0, 7)
    assert age.age_s(104.0) == 4.0


def test_answer_with_unknown_version_confirms_once_that_version_is_in_force():
    """Guards against a host that takes its old keys for confirmed by a newer peer."""
    asker, peer = ConfigurationAge(1), ConfigurationAge(1)
    asker.on_version_in_force(1)
    peer.on_version_in_force(2)
    peer.on_read(10.0, 2)
    asker.on_answer(peer.answer(10.5, asker.ask(500.0)))
    assert asker.age_s(501.0) == float("inf")
    asker.on_version_in_force(2)
    assert asker.age_s(501.0) == pytest.approx(1.5)


def test_answer_to_an_earlier_process_confirms_nothing():
    """Guards against a restarted host that takes a held-up answer for its own."""
    peer = ConfigurationAge(1)
    peer.on_version_in_force(1)
    peer.on_read(0.0, 1)
    earlier = ConfigurationAge(1)
    answer = peer.answer(0.1, earlier.ask(0.0))
    restarted = ConfigurationAge(1000)
    restarted.on_version_in_force(1)
    restarted.ask(60.0)
    assert not restarted.on_answer(answer)
    assert restarted.age_s(60.0) == float("inf")


def test_only_the_reader_calls_the_store_while_it_answers():
    """Guards against hundreds of hosts that each read the store every second."""
    plan = ConfirmationPlan(5.0)
    assert plan.next_call(10.0, 0.4, READER) == CONFIRM_FROM_STORE
    assert plan.next_call(10.3, 0.4, READER) is None
    for role in (WATCHER, ACTIVE, INACTIVE):
        assert ConfirmationPlan(5.0).next_call(10.0, 1.0, role) == CONFIRM_FROM_PEER


def test_other_hosts_read_the_store_when_the_reader_confirms_nothing():
    """Guards against a reader that is cut off, with all others waiting for it."""
    assert ConfirmationPlan(5.0).next_call(10.0, 1.6, WATCHER) == CONFIRM_FROM_STORE
    assert ConfirmationPlan(5.0).next_call(10.0, 1.6, ACTIVE) == CONFIRM_FROM_PEER
    assert ConfirmationPlan(5.0).next_call(10.0, 2.6, ACTIVE) == CONFIRM_FROM_STORE
    assert ConfirmationPlan(5.0).next_call(10.0, 4.1, INACTIVE) == CONFIRM_FROM_STORE


def test_hosts_read_a_store_that_fails_less_and_less_often():
    """Guards against hundreds of hosts that all call a store that is down."""
    plan = ConfirmationPlan(5.0)
    reads = 0
    for tick in range(100):
        if plan.next_call(tick * 0.1, 4.5, ACTIVE) == CONFIRM_FROM_STORE:
            reads += 1
            plan.on_read_ended(False)
    assert reads <= 8
    plan.on_read_ended(True)
    assert plan.next_call(12.0, 4.5, ACTIVE) == CONFIRM_FROM_STORE
    plan.on_read_ended(True)
    assert plan.next_call(12.5, 4.5, ACTIVE) == CONFIRM_FROM_STORE
