"""Schedules a few requests with the policy library, in virtual time."""

from gypsumusher_policy import (
    ClassPolicy,
    DeploymentPolicy,
    Endpoint,
    LoadReport,
    Request,
    Scheduler,
    Start,
)

URGENT = ClassPolicy("urgent", 0, 1.5, 0.05, 10.0)
POLICY = DeploymentPolicy(
    "letters", {"urgent": URGENT}, "urgent", {}, 2.0, 5.0, 60.0, True, 0.1, 8, 2
)
ENGINES = ("engine-1", "engine-2")


def make_request(now_s, name, idempotent=True):
    """Return a request of 8,000 prompt tokens and at most 100 output tokens."""
    end_s = now_s + URGENT.deadline_s
    return Request(
        name, "acme", "urgent", 8000, 100, now_s, end_s, (), idempotent, name
    )


def describe(action):
    """Return what an embedding program would send to an engine or a caller."""
    if isinstance(action, Start):
        return f"start {action.request_id} #{action.attempt} on {action.endpoint}"
    return f"refuse {action.request_id}: {action.code}, run={action.run}"


def show(now_s, event, actions):
    """Print an event and the actions that it caused."""
    descriptions = [describe(action) for action in actions] or ["nothing"]
    print(f"{now_s:.1f} {event} -> {'; '.join(descriptions)}")


def main():
    """Print events that lead to a refusal, a start, a retry and queueing."""
    sched = Scheduler(POLICY, host="host-1", zone="zone-a", seed=1)
    show(0.0, "early arrives", sched.submit(0.0, make_request(0.0, "early")))
    sched.set_endpoints(0.1, [Endpoint(e, "zone-a", "mixed", False) for e in ENGINES])
    for name in ENGINES:
        idle = LoadReport(name, 1, 0.0, "mixed", False, 0, 0, 0, 4, 0, 90000, 4e3, 4e2)
        show(0.1, f"{name} reports", sched.on_report(0.1, idle))
    show(0.2, "letter arrives", sched.submit(0.2, make_request(0.2, "letter")))
    show(0.3, "booking arrives", sched.submit(0.3, make_request(0.3, "booking", False)))
    show(0.4, "letter breaks", sched.on_failed(0.4, "letter", "broken", "unknown"))
    show(0.5, "booking breaks", sched.on_failed(0.5, "booking", "broken", "unknown"))
    for name in (f"burst-{number}" for number in range(20)):
        show(0.6, f"{name} arrives", sched.submit(0.6, make_request(0.6, name)))


if __name__ == "__main__":
    main()
