"""What one host sends beyond first sends arrives within its bound in every window.

Guards against retries whose sends are forgotten before they arrive: of requests with
several retries, to paused endpoints, after lapsed entries and lost connections.
"""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from samples import engine

from gypsumusher_routing import EndpointTable, RetryBudget, SendCounter, SentRequest

RATIO, SLACK, WINDOW_S = 0.2, 10.0, 10.0
# Endpoints hold sends for less than the time after which these count as arrived.
HELD_MAX_S = 28.0
REQUESTS = 8
NAMES = ["e-0", "e-1"]
ENDPOINTS = st.sampled_from(NAMES)
PAUSES_S = st.sampled_from([0.5, 3.0, 6.0])


class Request:
    """One request of a caller, and when its sends arrived."""

    def __init__(self):
        self.counter = SendCounter()
        self.arrivals_s = []


class RetryBudgetMachine(RuleBasedStateMachine):
    """One host with two endpoints that pause, lose their entries and go on."""

    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.budget = RetryBudget(RATIO, SLACK, WINDOW_S, -100.0)
        self.table = EndpointTable()
        self.revision = 0
        self.records = {name: engine(name).record for name in NAMES}
        # When each paused endpoint was paused, and what it is sent meanwhile.
        self.paused_s, self.held = {}, {name: [] for name in NAMES}
        self.requests, self.requests_s = [], []
        for name in NAMES:
            self._list(name)

    def _list(self, name):
        self.revision += 1
        self.table.on_record(self.records[name], self.revision)

    def _send(self, request, name):
        """Send a request to an endpoint; one that isn't paused rejects it at once."""
        state = self.table.states.get(name)
        if state is None or request.counter.has_ended:
            return
        if request.counter.needs_retry():
            decision = self.budget.take(self.now_s, 1, request.counter)
            if not decision.is_allowed:
                return
        send = SentRequest(state.delivery, self.now_s)
        request.counter.begin()
        request.counter.on_sent(send)
        if name in self.paused_s:
            self.held[name].append((request, send))
            return
        request.arrivals_s.append(self.now_s)
        send.on_head_or_lost(True)

    @rule(names=st.lists(ENDPOINTS, min_size=2, max_size=4), pause_s=PAUSES_S)
    def begin_requests(self, names, pause_s):
        """Begin requests that are sent on until no retry is left, and wait."""
        for _ in range(REQUESTS):
            self.requests.append(Request())
            self.requests_s.append(self.now_s)
            self.budget.on_first_send(self.now_s, 1)
            for name in names:
                self._send(self.requests[-1], name)
        self.wait(pause_s)

    @precondition(lambda self: self.requests)
    @rule(data=st.data(), name=ENDPOINTS)
    def send_again(self, data, name):
        self._send(data.draw(st.sampled_from(self.requests[-20:])), name)

    @rule()
    def end_requests(self):
        for request in self.requests:
            request.counter.has_ended = True

    @rule(name=ENDPOINTS)
    def pause(self, name):
        self.paused_s.setdefault(name, self.now_s)

    def _go_on(self, name):
        """Let an endpoint read what it was sent, and renew its entry."""
        if self.paused_s.pop(name, None) is None:
            return
        for request, _ in self.held[name]:
            request.arrivals_s.append(self.now_s)
        self.held[name].clear()
        self._list(name)

    @rule(name=ENDPOINTS, returns=st.booleans())
    def lapse(self, name, returns):
        self.revision += 1
        self.table.on_deleted(self.now_s, name, self.revision)
        if returns or name not in self.paused_s:
            self._list(name)

    @rule(name=ENDPOINTS)
    def reset_connections(self, name):
        """Reset the host's side alone; the endpoint is paused, and listed."""
        if name not in self.table.states:
            return
        for _, send in self.held[name]:
            send.on_head_or_lost(False)

    @rule(pause_s=PAUSES_S)
    def wait(self, pause_s):
        self.now_s += pause_s
        for name, since_s in list(self.paused_s.items()):
            if self.now_s - since_s > HELD_MAX_S:
                self._go_on(name)

    @invariant()
    def arrivals_stay_within_the_bound(self):
        repeats_s = sorted(
            at_s for request in self.requests for at_s in request.arrivals_s[1:]
        )
        for begin_s in repeats_s:
            end_s = begin_s + WINDOW_S
            repeats = sum(begin_s <= at_s < end_s for at_s in repeats_s)
            requests = sum(begin_s <= at_s < end_s for at_s in self.requests_s)
            before = sum(begin_s - WINDOW_S <= s < begin_s for s in self.requests_s)
            assert repeats <= RATIO * max(requests, before) + SLACK


RetryBudgetMachine.TestCase.settings = settings(
    max_examples=300, stateful_step_count=30, deadline=None, derandomize=True
)
TestRetryBudget = RetryBudgetMachine.TestCase
