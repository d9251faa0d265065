"""A part that crashes endpoints is told from parts that were only present."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumusher_routing import ContentKeys, CrashedRun, CrashingContent

BAD = b"bad part"
SHARED = [b"shared %d" % number for number in range(3)]
# The evidence wanted of a part: losses, and losses that aren't simultaneous.
CRASHES, MOMENTS = 5, 3


def no_survivors(crash):
    """Return that no endpoint is known to have survived."""
    return False


def crash_of(number, now_s, *parts):
    """Return the loss of a run with a content of its own at an endpoint of its own."""
    keys = ContentKeys(b"whole %d" % number, frozenset(parts))
    return CrashedRun(keys, f"e-{number}", 1, now_s)


def lose(content, count, *parts, from_s=1.0, interval_s=0.3, first=0):
    """Lose runs with some parts one after the other; return the refusals."""
    refused = []
    for number in range(count):
        at_s = from_s + interval_s * number
        refused += content.on_lost(at_s, crash_of(first + number, at_s, *parts))
    return refused


def exchange(now_s, hosts):
    """Deliver the reports of all hosts to all others, twice; return the refusals."""
    refused = []
    for _ in range(2):
        reports = [host.report(now_s, True) for host in hosts]
        for host in hosts:
            for report in reports:
                refused += host.on_report(now_s, report)
    return refused


def is_refused(content, now_s, *keys):
    """Return whether a request with some keys is refused."""
    refused = content.find_refusal(now_s, frozenset(keys))
    return refused is not None and now_s < refused.until_s


def test_part_is_refused_after_five_losses_whatever_else_differs():
    content = CrashingContent(no_survivors)
    assert not lose(content, CRASHES - 1, BAD)
    (refused,) = lose(content, 1, BAD, from_s=2.2, first=10)
    assert refused.keys == {BAD}
    assert is_refused(content, 2.3, BAD, b"other", b"whole")
    assert not is_refused(content, 2.3, b"other", b"whole")


def test_losses_that_hosts_have_one_each_add_up():
    """Each host saw too few losses of a part, and no host saw all."""
    hosts = [CrashingContent(no_survivors) for _ in range(CRASHES)]
    for number, host in enumerate(hosts):
        at_s = 1.0 + 0.3 * number
        host.on_lost(at_s, crash_of(number, at_s, BAD))
        exchange(at_s, hosts)
    assert all(is_refused(host, 2.3, BAD) for host in hosts)


def test_runs_lost_at_one_endpoint_count_once_for_a_part():
    content = CrashingContent(no_survivors)
    for number in range(2 * CRASHES):
        at_s = 1.0 + 0.3 * number
        keys = ContentKeys(b"whole %d" % number, frozenset((BAD,)))
        assert not content.on_lost(at_s, CrashedRun(keys, "e-0", 1, at_s))


def test_endpoints_that_end_together_blame_no_part():
    """The loss of a rack was blamed on the part that its requests shared."""
    content = CrashingContent(no_survivors)
    assert not lose(content, 50, BAD, interval_s=0.001)
    assert not content.due_refusals(3.0)
    assert not is_refused(content, 3.0, BAD)


def test_answer_at_any_host_speaks_for_a_part():
    """A part that is answered at one host was refused for losses at the others."""
    losing, serving = CrashingContent(no_survivors), CrashingContent(no_survivors)
    serving.on_answered(0.5, frozenset((SHARED[0],)))
    lose(losing, CRASHES - 1, SHARED[0])
    # Hosts are asked before the last loss, and the answer is older than all losses.
    exchange(2.0, [losing, serving])
    assert not lose(losing, 3, SHARED[0], from_s=2.2, first=10)


def test_losses_in_quick_succession_wait_for_answers_of_other_hosts():
    """Hosts that know of an answer had no time to tell before a part was refused."""
    content = CrashingContent(no_survivors)
    assert not lose(content, CRASHES, BAD, interval_s=0.11)
    assert not content.due_refusals(1.6)
    (refused,) = content.due_refusals(1.8)
    assert refused.keys == {BAD}


def test_prompts_that_share_one_of_two_suspected_parts_are_served():
    """Sound prompts were refused for a part that all crashing ones had besides."""
    content = CrashingContent(no_survivors)
    (refused,) = lose(content, CRASHES, SHARED[0], BAD)
    assert refused.keys == {SHARED[0], BAD}
    assert not is_refused(content, 2.4, SHARED[0], b"whole")
    # Its answer leaves the other part alone.
    content.on_answered(2.5, frozenset((SHARED[0], b"whole")))
    assert is_refused(content, 2.6, BAD)
    assert not is_refused(content, 2.6, SHARED[0])


def test_runs_of_one_crash_that_are_reported_later_count_as_well():
    """A sound part was refused alone, as its own run was the first to be reported."""
    content = CrashingContent(no_survivors)
    refused = []
    for number in range(CRASHES):
        at_s = 1.0 + 0.6 * number
        for run, parts in enumerate(((SHARED[0],), (SHARED[0], BAD))):
            keys = ContentKeys(b"%d %d" % (run, number), frozenset(parts))
            crash = CrashedRun(keys, f"e-{number}", 1, at_s)
            refused += content.on_lost(at_s, crash)
    assert [r.keys for r in refused] == [{SHARED[0], BAD}]
    assert not is_refused(content, 4.0, SHARED[0])


def test_hosts_that_are_asked_tell_of_their_answers():
    """Hosts without a loss of a part kept to themselves that they had answered it."""
    counting, serving = CrashingContent(no_survivors), CrashingContent(no_survivors)
    serving.on_answered(0.5, frozenset((SHARED[0],)))
    lose(counting, CRASHES - 1, SHARED[0])
    report = counting.report(2.0, False)
    assert report.asked == (SHARED[0],)
    serving.on_report(2.1, report._replace(crashes=()))
    counting.on_report(2.2, serving.report(2.1, False))
    assert not lose(counting, 2, SHARED[0], from_s=2.3, first=10)


def test_host_that_knows_an_answer_ends_another_hosts_refusal():
    """A host that had answered a refused part ignored the refusal, and said nothing."""
    refusing, serving = CrashingContent(no_survivors), CrashingContent(no_survivors)
    serving.on_answered(0.5, frozenset((SHARED[0],)))
    lose(refusing, CRASHES, SHARED[0])
    assert is_refused(refusing, 2.4, SHARED[0])
    report = refusing.report(2.4, False)
    serving.on_report(2.5, report._replace(crashes=(), asked=()))
    assert not is_refused(serving, 2.5, SHARED[0])
    refusing.on_report(2.6, serving.report(2.5, False))
    assert not is_refused(refusing, 2.6, SHARED[0])


def test_losses_that_refused_content_explains_blame_nothing_else():
    """Runs that ended with an engine under refused content were blamed for it too."""
    content = CrashingContent(no_survivors)
    for number in range(CRASHES):
        at_s = 1.0 + 0.3 * number
        for parts in ((BAD,), (SHARED[0],)):
            keys = ContentKeys(b"%s %d" % (parts[0], number), frozenset(parts))
            content.on_lost(at_s, CrashedRun(keys, f"e-{number}", 1, at_s))
    assert is_refused(content, 2.4, BAD)
    assert not lose(content, CRASHES - 1, SHARED[0], from_s=2.5, first=20)
    assert not is_refused(content, 4.0, SHARED[0])


def test_same_content_and_its_parts_are_told_apart():
    """A repeated request is refused after three losses, and its parts aren't."""
    content = CrashingContent(no_survivors)
    for number in range(3):
        at_s = 1.0 + 0.3 * number
        keys = ContentKeys(b"whole", frozenset(SHARED))
        content.on_lost(at_s, CrashedRun(keys, f"e-{number}", 1, at_s))
    assert is_refused(content, 2.0, b"whole", *SHARED)
    assert not is_refused(content, 2.0, b"other", *SHARED)


def test_answered_combination_lifts_its_refusal_on_all_hosts():
    hosts = [CrashingContent(no_survivors) for _ in range(2)]
    lose(hosts[0], CRASHES, SHARED[0], BAD)
    exchange(2.4, hosts)
    assert is_refused(hosts[1], 2.5, SHARED[0], BAD)
    hosts[1].on_answered(2.6, frozenset((SHARED[0], BAD, b"whole")))
    exchange(2.7, hosts)
    assert not any(is_refused(host, 2.8, SHARED[0], BAD) for host in hosts)
    assert not any(host.has_refused for host in hosts)


def test_memory_of_many_parts_is_limited():
    """A wave of crashes under prompts of hundreds of parts filled the memory."""
    content = CrashingContent(no_survivors)
    lose(content, CRASHES - 1, BAD, from_s=-2.0)
    for number in range(300):
        parts = [b"%d %d" % (number, part) for part in range(256)]
        at_s = 0.001 * number
        content.on_lost(at_s, crash_of(100 + number, at_s, *parts))
        assert len(content._losses) <= 2 * 4096 + 257
    # What has most losses is forgotten last.
    (refused,) = lose(content, 1, BAD, from_s=2.4, first=500)
    assert refused.keys == {BAD}
    report = content.report(2.6, repeats_refusals=False)
    assert 0 < sum(len(crash.keys.all_keys) for crash in report.crashes) <= 2048
    content.report(3.6, repeats_refusals=False)
    assert len(content._losses) <= 4096


class CrashingPartsMachine(RuleBasedStateMachine):
    """Three hosts whose reports are lost, late or doubled.

    Prompts with the bad part end each endpoint that runs them. Prompts with the shared
    parts are lost with endpoints that end for other reasons, and are answered often.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.hosts = [CrashingContent(no_survivors) for _ in range(3)]
        self.crashes_s = []
        self.count = 0
        self.under_way = []

    hosts_drawn = st.integers(0, 2)
    shared_drawn = st.sets(st.sampled_from(SHARED), max_size=2)

    def lose_at(self, host, parts):
        self.count += 1
        crash = crash_of(self.count, self.now_s, *parts)
        self.hosts[host].on_lost(self.now_s, crash)

    @rule(host=hosts_drawn, shared=shared_drawn)
    def run_bad(self, host, shared):
        parts = {BAD, *shared}
        if is_refused(self.hosts[host], self.now_s, *parts):
            return
        self.lose_at(host, parts)
        self.crashes_s.append(self.now_s)

    @rule(host=hosts_drawn, shared=shared_drawn)
    def lose_sound(self, host, shared):
        self.lose_at(host, shared)

    @rule(host=hosts_drawn)
    def answer_sound(self, host):
        for key in SHARED:
            if not is_refused(self.hosts[host], self.now_s, key):
                keys = frozenset((key, b"sound"))
                self.hosts[host].on_answered(self.now_s, keys)

    @rule(host=hosts_drawn)
    def send_report(self, host):
        self.under_way.append(self.hosts[host].report(self.now_s, False))

    @rule(data=st.data(), host=hosts_drawn, keep=st.booleans())
    def deliver(self, data, host, keep):
        if not self.under_way:
            return
        index = data.draw(st.integers(0, len(self.under_way) - 1))
        report = self.under_way[index] if keep else self.under_way.pop(index)
        self.hosts[host].on_report(self.now_s, report)

    @rule(passed_s=st.floats(0.1, 1.0))
    def wait(self, passed_s):
        self.now_s += passed_s

    @rule()
    def exchange_reports(self):
        """Deliver all reports until each host knows what the others have seen."""
        for key in SHARED:
            self.hosts[0].on_answered(self.now_s, frozenset((key,)))
        for _ in range(2):
            exchange(self.now_s, self.hosts)
            self.now_s += 0.6
            for host in self.hosts:
                host.due_refusals(self.now_s)
        exchange(self.now_s, self.hosts)
        recent_s = sorted(at for at in self.crashes_s if at > self.now_s - 3.0)
        moments, last_s = 0, -1.0
        for at_s in recent_s:
            if at_s >= last_s + 0.11:
                moments, last_s = moments + 1, at_s
        is_known = [is_refused(host, self.now_s, BAD, *SHARED) for host in self.hosts]
        assert len(set(is_known)) == 1
        if len(recent_s) >= CRASHES and moments >= MOMENTS:
            assert all(is_known)

    @invariant()
    def sound_parts_that_are_answered_are_served(self):
        for host in self.hosts:
            for key in SHARED:
                if host._is_cleared(key, self.now_s):
                    assert not is_refused(host, self.now_s, key, b"sound")


CrashingPartsMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestCrashingPartsMachine = CrashingPartsMachine.TestCase
