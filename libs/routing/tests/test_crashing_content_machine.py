"""Content that crashes endpoints is told from content that was only present."""

import hypothesis.strategies as st
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from gypsumusher_routing import ContentKeys, CrashedRun, CrashingContent

BAD, GOOD = b"bad content", b"good content"
CRASHES_MAX = 3


def no_survivors(crash):
    """Return that no endpoint is known to have survived."""
    return False


def lose(content, count, now_s=1.0, fingerprint=BAD):
    """Lose runs of a content at several endpoints; return the last refusal."""
    refused = None
    for number in range(count):
        crash = CrashedRun(ContentKeys(fingerprint), f"e-{now_s}-{number}", 1, now_s)
        refused = next(iter(content.on_lost(now_s, crash)), refused)
    return refused


def refused_for_s(content, now_s, key):
    """Return how long requests with a key are refused, in seconds; 0 if they aren't."""
    refused = content.find_refusal(now_s, frozenset((key,)))
    return 0.0 if refused is None else max(0.0, refused.until_s - now_s)


def answer(content, now_s, key):
    """Answer content; return whether it was suspected."""
    return bool(content.on_answered(now_s, frozenset((key,))))


def test_content_is_refused_after_losses_at_three_endpoints():
    content = CrashingContent(no_survivors)
    assert lose(content, CRASHES_MAX - 1) is None
    assert not refused_for_s(content, 1.0, BAD)
    assert lose(content, CRASHES_MAX).keys == {BAD}
    assert refused_for_s(content, 1.5, BAD) == 299.5
    assert not refused_for_s(content, 1.5, GOOD)


def test_runs_lost_at_one_endpoint_count_once():
    """Requests that an endpoint ran together were blamed for one crash many times."""
    content = CrashingContent(no_survivors)
    for _ in range(CRASHES_MAX):
        content.on_lost(1.0, CrashedRun(ContentKeys(BAD), "e-0", 1, 1.0))
    assert not refused_for_s(content, 1.0, BAD)


def test_answered_content_is_not_blamed_for_earlier_losses():
    content = CrashingContent(no_survivors)
    lose(content, CRASHES_MAX - 1)
    assert answer(content, 2.0, BAD)
    assert lose(content, 1, now_s=13.0) is None
    assert not answer(content, 14.0, GOOD)


def test_content_that_many_requests_share_is_not_blamed_for_crashes():
    """Content that every caller sends was refused: it was lost at each crash."""
    serving, starting = CrashingContent(no_survivors), CrashingContent(no_survivors)
    answer(serving, 1.0, GOOD)
    assert lose(serving, CRASHES_MAX, 1.1, GOOD) is None
    # A host that has answered it clears it for one that has just started.
    assert lose(starting, CRASHES_MAX, 1.1, GOOD) is not None
    serving.on_report(1.2, starting.report(1.2, False))
    starting.on_report(1.3, serving.report(1.3, False))
    assert not refused_for_s(starting, 1.3, GOOD)
    # It may still turn bad: without any answer, losses count after a while.
    assert lose(serving, CRASHES_MAX, 12.0, GOOD) is not None


def test_refusal_ends_when_endpoints_turn_out_to_live():
    """Connections that were reset made hosts refuse content of living endpoints."""
    living = set()
    content = CrashingContent(lambda crash: crash.endpoint_id in living)
    lose(content, CRASHES_MAX)
    assert refused_for_s(content, 2.0, BAD)
    living.add("e-1.0-0")
    refusal = content.report(2.0, repeats_refusals=True)
    assert not refused_for_s(content, 3.0, BAD)
    assert not content.on_report(3.1, refusal)
    assert lose(content, 1, now_s=4.0).keys == {BAD}


def test_content_is_tried_by_one_request_after_its_refusal():
    """Every host tried refused content at once when its time was over."""
    content, other = CrashingContent(no_survivors), CrashingContent(no_survivors)
    lose(content, CRASHES_MAX)
    other.on_report(1.1, content.report(1.1, False))
    refused = content.find_refusal(302.0, frozenset((BAD,)))
    assert refused.until_s < 302.0
    assert content.begin_trial(302.0, refused).for_s == 600.0
    # Until it is answered, all hosts refuse the others.
    other.on_report(302.1, content.report(302.1, False))
    for host in (content, other):
        assert refused_for_s(host, 302.1, BAD) == 599.9
    answer(content, 303.0, BAD)
    other.on_report(303.1, content.report(303.1, False))
    for host in (content, other):
        assert host.find_refusal(303.1, frozenset((BAD,))) is None


def test_refusals_reach_hosts_that_start_later():
    content, started = CrashingContent(no_survivors), CrashingContent(no_survivors)
    lose(content, CRASHES_MAX)
    assert not any(content.report(60.0, repeats_refusals=False))
    report = content.report(60.0, repeats_refusals=True)
    assert [r.keys for r in started.on_report(60.0, report)] == [{BAD}]
    assert refused_for_s(started, 60.0, BAD) == 241.0
    # A report that is repeated changes nothing.
    assert not started.on_report(61.0, report)


def test_refusal_is_told_by_hosts_that_began_it():
    """Each of hundreds of hosts told all others what one of them had told it."""
    content, other = CrashingContent(no_survivors), CrashingContent(no_survivors)
    lose(content, CRASHES_MAX)
    report = content.report(1.1, False)
    assert other.on_report(1.2, report)
    assert report.refused and not other.report(1.2, False).refused
    assert other.report(1.2, repeats_refusals=True).refused


def test_memory_of_losses_is_limited():
    """The loss of many endpoints filled the memory with the contents of their runs."""
    content = CrashingContent(no_survivors)
    for number in range(6000):
        crash = CrashedRun(
            ContentKeys(number.to_bytes(8, "big")), "e-0", 1, 0.001 * number
        )
        content.on_lost(0.001 * number, crash)
    content.report(8.0, repeats_refusals=False)
    assert len(content._losses) <= 4096
    assert not any(content.report(200.0, repeats_refusals=False))
    assert not content.has_suspects


class CrashingContentMachine(RuleBasedStateMachine):
    """Three hosts whose reports are lost, late or doubled.

    Bad content ends each endpoint that runs it. Good content is lost with endpoints
    that end for other reasons, and is answered by all others.
    """

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.hosts = [CrashingContent(no_survivors) for _ in range(3)]
        self.crashed = 0
        self.under_way = []

    hosts_drawn = st.integers(0, 2)

    @rule(host=hosts_drawn)
    def run_bad(self, host):
        if refused_for_s(self.hosts[host], self.now_s, BAD):
            return
        self.crashed += 1
        crash = CrashedRun(ContentKeys(BAD), f"e-{self.crashed}", 1, self.now_s)
        self.hosts[host].on_lost(self.now_s, crash)

    @rule(host=hosts_drawn)
    def lose_good(self, host):
        if refused_for_s(self.hosts[host], self.now_s, GOOD):
            return
        self.crashed += 1
        crash = CrashedRun(ContentKeys(GOOD), f"e-{self.crashed}", 1, self.now_s)
        self.hosts[host].on_lost(self.now_s, crash)

    @rule(host=hosts_drawn)
    def answer_good(self, host):
        if refused_for_s(self.hosts[host], self.now_s, GOOD):
            return
        answer(self.hosts[host], self.now_s, GOOD)
        assert not refused_for_s(self.hosts[host], self.now_s, GOOD)

    @rule(host=hosts_drawn, repeats=st.booleans())
    def report(self, host, repeats):
        self.under_way.append(
            (self.now_s, self.hosts[host].report(self.now_s, repeats))
        )

    @rule(data=st.data(), host=hosts_drawn, keep=st.booleans())
    def deliver(self, data, host, keep):
        if not self.under_way:
            return
        index = data.draw(st.integers(0, len(self.under_way) - 1))
        _, report = self.under_way[index] if keep else self.under_way.pop(index)
        self.hosts[host].on_report(self.now_s, report)

    @rule(passed_s=st.floats(0.1, 2.0))
    def wait(self, passed_s):
        self.now_s += passed_s

    @rule()
    def exchange_reports(self):
        """Deliver all hosts' reports twice; then all hosts agree on bad content.

        A loss in the first reports may be the third one that a single host knows of;
        the others learn of its refusal from the second ones.
        """
        for _ in range(2):
            reports = [host.report(self.now_s, True) for host in self.hosts]
            for host in self.hosts:
                for report in reports:
                    host.on_report(self.now_s, report)
        refused = [bool(refused_for_s(host, self.now_s, BAD)) for host in self.hosts]
        assert len(set(refused)) == 1

    @invariant()
    def three_losses_at_one_host_refuse(self):
        for host in self.hosts:
            losses = host._losses.get(BAD, {})
            if len(losses) >= CRASHES_MAX:
                assert refused_for_s(host, self.now_s, BAD)


CrashingContentMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestCrashingContentMachine = CrashingContentMachine.TestCase
