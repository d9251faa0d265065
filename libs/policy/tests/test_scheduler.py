"""Answers and refusals of one host's scheduler under load and faults."""

import heapq

import pytest

from gypsumusher_policy import (
    ClassPolicy,
    DeploymentPolicy,
    Endpoint,
    LoadReport,
    Quarantine,
    Refuse,
    Request,
    Scheduler,
    Start,
)

CLASSES = {
    "counter": ClassPolicy("counter", 0, 1.5, 0.05, 10.0),
    "standard": ClassPolicy("standard", 1, 5.0, 0.1, 60.0),
    "bulk": ClassPolicy("bulk", 2, 30.0, 0.2, 600.0),
}
POLICY = DeploymentPolicy(
    "letters", CLASSES, "standard", {}, 2.0, 5.0, 60.0, True, 0.1, 8, 2
)


def create_scheduler(roles=("mixed",), quarantine=None):
    scheduler = Scheduler(POLICY, "host-0", "anyang", 1, quarantine)
    endpoints = []
    for number, role in enumerate(roles):
        endpoints.append(Endpoint(f"e{number}", "anyang", role, False))
    scheduler.set_endpoints(0.0, endpoints)
    for number, role in enumerate(roles):
        scheduler.on_report(
            0.0,
            LoadReport(
                f"e{number}", 1, 0.0, role, False, 0, 0, 0, 8, 0, 200_000, 8e3, 2e3
            ),
        )
    return scheduler


def create_request(name, class_name="standard", at_s=0.0, tenant="t", **changes):
    request = Request(
        name, tenant, class_name, 100, 100, at_s, at_s + 60.0, (), True, f"f-{name}"
    )
    return request._replace(**changes)


def serve(scheduler, arrivals, service_s, until_s):
    """Simulate engines with the service time ``service_s(name)``; return the results.

    An engine with a service time below 0.02 s fails each request. The result of a
    request is its outcome, the time, and the last action.
    """
    due = [(at_s, 0, name, request) for at_s, name, request in arrivals]
    heapq.heapify(due)
    ends = {}

    def carry_out(now_s, actions):
        for action in actions:
            if isinstance(action, Refuse):
                ends[action.request_id] = (action.code, now_s, action)
                continue
            end_s = now_s + service_s(action.endpoint)
            heapq.heappush(due, (end_s, 1, action.request_id, action))

    while due and due[0][0] <= until_s:
        wakeup_s = scheduler.next_wakeup_s()
        if wakeup_s is not None and wakeup_s < due[0][0]:
            carry_out(wakeup_s, scheduler.tick(wakeup_s))
            continue
        now_s, kind, name, item = heapq.heappop(due)
        if kind == 0:
            carry_out(now_s, scheduler.submit(now_s, item))
            continue
        if service_s(item.endpoint) < 0.02:
            carry_out(now_s, scheduler.on_failed(now_s, name, "error", "unknown"))
            continue
        scheduler.on_first_token(now_s, name)
        ends[name] = ("done", now_s, item)
        carry_out(now_s, scheduler.on_done(now_s, name, 50))
    return ends


def test_all_requests_of_a_burst_are_answered():
    scheduler = create_scheduler(["mixed", "mixed"])
    arrivals = [(0.0, f"r{n}", create_request(f"r{n}")) for n in range(100)]
    ends = serve(scheduler, arrivals, lambda name: 1.0, 50.0)
    assert len(ends) == 100
    assert {end[0] for end in ends.values()} == {"done"}


def test_tenant_with_many_requests_leaves_others_their_share():
    scheduler = create_scheduler()
    arrivals = []
    for number in range(200):
        request = create_request(f"big{number}", tenant="big")
        arrivals.append((0.0, request.request_id, request))
    for number in range(10):
        request = create_request(f"small{number}", tenant="small", at_s=0.1)
        arrivals.append((0.1, request.request_id, request))
    ends = serve(scheduler, arrivals, lambda name: 1.0, 8.0)
    served = [name for name, end in ends.items() if end[0] == "done"]
    assert sum(name.startswith("small") for name in served) == 10


def test_urgent_requests_pass_a_full_queue_without_starving_it():
    scheduler = create_scheduler()
    arrivals = []
    for number in range(100):
        request = create_request(f"long{number}", "bulk", deadline_s=600.0)
        arrivals.append((0.0, request.request_id, request))
    for number in range(20):
        at_s = 1.0 + number
        request = create_request(
            f"check{number}", "counter", at_s, deadline_s=at_s + 10
        )
        arrivals.append((at_s, request.request_id, request))
    ends = serve(scheduler, arrivals, lambda name: 2.0, 30.0)
    for number in range(20):
        code, end_s, _ = ends[f"check{number}"]
        assert code == "done"
        assert end_s - (1.0 + number) <= 2.1
    assert sum(name.startswith("long") for name in ends) >= 50


def test_saturation_refuses_in_time_with_a_retry_after():
    scheduler = create_scheduler()
    arrivals = []
    for number in range(3000):
        at_s = number * 0.01
        request = create_request(f"r{number}", at_s=at_s, deadline_s=at_s + 5.0)
        arrivals.append((at_s, request.request_id, request))
    ends = serve(scheduler, arrivals, lambda name: 1.0, 60.0)
    refusals = [end[2] for end in ends.values() if end[0] == "overloaded"]
    assert len(ends) == 3000
    assert refusals
    for refusal in refusals:
        assert refusal.run == "no"
        assert refusal.retry_after_s > 0.0
    for name, end in ends.items():
        if end[0] == "overloaded":
            refused_after_s = end[1] - int(name[1:]) * 0.01
            assert refused_after_s <= 5.0, "a refusal came after the deadline"


def test_slow_endpoint_gets_few_requests():
    scheduler = create_scheduler(["mixed", "mixed"])
    arrivals = []
    for number in range(400):
        at_s = number * 0.1
        arrivals.append((at_s, f"r{number}", create_request(f"r{number}", at_s=at_s)))
    ends = serve(scheduler, arrivals, lambda name: 4.0 if name == "e0" else 0.4, 60.0)
    slow = sum(end[2].endpoint == "e0" for end in ends.values())
    assert len(ends) == 400
    assert slow < 100


def test_endpoint_that_fails_at_once_is_paused_after_few_failures():
    """Guards against an engine that answers every request at once with an error.

    It always looks idle, so that least-loaded placement would send it most requests
    and they would fail although the other engine is healthy.
    """
    scheduler = create_scheduler(["mixed", "mixed"])
    arrivals = []
    for number in range(300):
        at_s = number * 0.05
        arrivals.append((at_s, f"r{number}", create_request(f"r{number}", at_s=at_s)))
    ends = serve(scheduler, arrivals, lambda name: 0.01 if name == "e0" else 0.3, 60.0)
    assert {end[0] for end in ends.values()} == {"done"}
    assert len(ends) == 300


def test_leaving_endpoint_keeps_its_requests_and_gets_no_new_ones():
    scheduler = create_scheduler(["mixed", "mixed"])
    start = scheduler.submit(0.0, create_request("a"))[0]
    endpoints = []
    for name in ("e0", "e1"):
        leaving = name == start.endpoint
        endpoints.append(Endpoint(name, "anyang", "mixed", leaving))
    scheduler.set_endpoints(0.1, endpoints)
    assert scheduler.own_load()[start.endpoint][0] == 1
    for number in range(6):
        later = scheduler.submit(0.2, create_request(f"b{number}"))
        assert later[0].endpoint != start.endpoint
    assert scheduler.on_done(1.0, "a", 10) == []
    assert start.endpoint not in scheduler.own_load()


def test_endpoint_that_is_briefly_not_listed_keeps_its_load():
    """Guards against a busy engine that looks idle after a gap in the list.

    The platform's list lags and omits an engine that runs a request for a second. If
    its load were forgotten, all hosts would send their requests to it.
    """
    scheduler = create_scheduler(["mixed", "mixed"])
    start = scheduler.submit(0.0, create_request("a"))[0]
    both = [Endpoint(name, "anyang", "mixed", False) for name in ("e0", "e1")]
    scheduler.set_endpoints(1.0, [one for one in both if one.name != start.endpoint])
    scheduler.set_endpoints(2.0, both)
    assert scheduler.own_load()[start.endpoint][0] == 1
    assert scheduler.submit(2.0, create_request("b"))[0].endpoint != start.endpoint


def test_only_endpoint_is_retried_after_a_failed_connection():
    scheduler = create_scheduler()
    scheduler.submit(0.0, create_request("a"))
    assert scheduler.on_failed(0.1, "a", "connect", "no") == []
    wakeup_s = scheduler.next_wakeup_s()
    assert wakeup_s <= 2.0
    assert scheduler.tick(wakeup_s) == [Start("a", "e0", "whole", 1, 2)]


def test_request_is_refused_at_once_without_endpoints():
    scheduler = create_scheduler()
    scheduler.set_endpoints(0.0, [Endpoint("e0", "anyang", "mixed", True)])
    refusal = scheduler.submit(0.0, create_request("a"))[0]
    assert (refusal.code, refusal.run) == ("no_endpoint", "no")


def test_prefill_and_decode_run_on_engines_of_their_roles():
    scheduler = create_scheduler(["prefill", "decode"])
    first = scheduler.submit(0.0, create_request("a"))
    second = scheduler.on_prefill_done(0.1, "a")
    assert first == [Start("a", "e0", "prefill", 1, 1)]
    assert second == [Start("a", "e1", "decode", 1, 1)]


@pytest.mark.parametrize(
    ("ran", "idempotent", "retried"),
    [("no", False, True), ("unknown", True, True), ("unknown", False, False)],
)
def test_retry_only_if_the_request_cannot_run_twice_by_mistake(
    ran, idempotent, retried
):
    """Guards against a non-idempotent request, such as a booking, that runs twice.

    Its connection breaks after the request was sent, so the first attempt may have
    run. The caller must get a refusal that says that the outcome is unknown.
    """
    scheduler = create_scheduler(["mixed", "mixed"])
    start = scheduler.submit(0.0, create_request("a", idempotent=idempotent))[0]
    action = scheduler.on_failed(0.5, "a", "broken", ran)[0]
    if retried:
        assert action.endpoint != start.endpoint
        assert action.attempt == 2
        return
    assert action.code == "endpoint_failed"
    assert action.run == "unknown"


def test_refusal_says_that_an_earlier_attempt_may_have_run():
    scheduler = create_scheduler()
    scheduler.submit(0.0, create_request("a"))
    actions = scheduler.on_failed(0.1, "a", "broken", "unknown")
    for number in range(3):
        actions = actions or scheduler.tick(0.2 + number)
    while isinstance(actions[-1], Start):
        actions = scheduler.on_failed(5.0, "a", "connect", "no")
        actions = actions or scheduler.tick(scheduler.next_wakeup_s())
    assert actions[-1].run == "unknown"


def test_convicted_request_is_refused_and_other_suspects_run():
    """Guards against harmless suspects that are refused or never run.

    A request crashes its engine, is retried on another and crashes that too. The
    other requests on the first engine were suspects as well and must run again.
    """
    quarantine = Quarantine()
    scheduler = create_scheduler(["mixed"], quarantine)
    for name in ("bad", "good"):
        start = scheduler.submit(0.0, create_request(name, prompt_tokens=10))[0]
        quarantine.on_start(0.0, f"f-{name}", start.endpoint)
    more = [Endpoint(f"e{n}", "anyang", "mixed", False) for n in range(3)]
    scheduler.set_endpoints(0.5, more)
    quarantine.on_crash(1.0, "e0")
    actions = scheduler.on_failed(1.0, "bad", "crash", "unknown")
    actions += scheduler.on_failed(1.0, "good", "crash", "unknown")
    assert len(actions) == 1, "suspects run one at a time"
    again = actions[0]
    quarantine.on_start(1.0, f"f-{again.request_id}", again.endpoint)
    assert again.request_id == "bad"
    assert again.endpoint != "e0"
    convictions = quarantine.on_crash(2.0, again.endpoint)
    assert [conviction.fingerprint for conviction in convictions] == ["f-bad"]
    actions = scheduler.on_failed(2.0, "bad", "crash", "unknown")
    assert actions[0].code == "crashing_request"
    assert actions[1].request_id == "good"
    assert scheduler.submit(3.0, create_request("bad"))[0].code == "crashing_request"
