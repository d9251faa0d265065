"""The promises that must hold in a soak run, judged from its records."""

from plan import SERVED_S
from records import ANY_TIMES, ONCE, STREAM

__all__ = ["RETRY_RATIO", "RETRY_SLACK", "RETRY_WINDOW_S", "find_broken_promises"]

# Runs that each kind of request may have: its route's attempts.
RUNS_MAX = {ANY_TIMES: 2, ONCE: 1, STREAM: 2}
# The callers' patience and the slack for an answer that says it is over, in seconds.
PATIENCE_S = 1.5
ANSWER_SLACK_S = 1.0
# A host is judged again so long after it was disturbed, in seconds: what it had
# under way then has ended.
AFTER_FAULT_S = 1.0
# A leaving endpoint gets no new work after this long, in seconds: the bound of two,
# and a watch that has to be renewed on a new connection.
DRAIN_S = 4.0
# A configuration is in force everywhere after this long without a fault, in seconds.
CONFIGURATION_S = 4.0
# A request that crosses the close of a kept connection, in seconds after its send.
CROSSING_S = 0.3
# The operator's bound on what endpoints get beyond the first send of each request: a
# part of the requests of a window and a number on top, summed over all hosts.
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 30, 10.0
# Faults of one host that excuse what its callers see.
_HOST_FAULTS = ("host_kill", "host_pause", "all_hosts_kill")
# Faults by which an answer that has begun may break off.
_BREAKING = ("endpoint_restart", "endpoint_break", "endpoint_leave", "link_")


def find_broken_promises(records, ends_s):
    """Return what was broken, one line each.

    Parameters
    ----------
    records : Records
        What was seen.
    ends_s : float
        When the run ended, in seconds of the run.
    """
    runs = {}
    for arrival in records.arrivals:
        runs[arrival.request_id] = runs.get(arrival.request_id, 0) + 1
    found = []
    for outcome in records.outcomes:
        for problem in _judge(records, outcome, runs.get(outcome.request_id, 0)):
            found.append(f"{problem}: {outcome}")
    found += _judge_retries(records)
    found += _judge_leaving(records)
    found += _judge_versions(records)
    found += _judge_end(records, ends_s)
    return found


def _judge(records, outcome, runs):
    """Return what is wrong with the end of one request."""
    found = []
    if runs > RUNS_MAX[outcome.kind]:
        found.append(f"ran {runs} times")
    if outcome.problem in ("wrong_body", "wrong_id"):
        found.append("not the answer to this request")
    if outcome.status == 200 and not outcome.is_sealed:
        found.append("a success that no endpoint gave")
    if outcome.status in (429, 503) and not outcome.is_sealed:
        if outcome.kind == ONCE and runs:
            found.append("said not to have run, and has run")
        if outcome.retry_after is None:
            found.append("given up without a time to come back")
    if _is_disturbed(records, outcome.host, outcome.sent_s, outcome.ended_s):
        return found
    took_s = outcome.ended_s - outcome.sent_s
    if took_s > PATIENCE_S + ANSWER_SLACK_S:
        found.append(f"no answer after {took_s:.2f} s")
    if outcome.problem == "cut" and (runs or took_s > CROSSING_S):
        found.append("cut without an answer")
    if outcome.problem == "broken" and not _may_break(records, outcome):
        found.append("broke off without a fault that does so")
    return found


def _is_disturbed(records, host, began_s, ended_s):
    """Say whether a host was killed or stood still around a time."""
    for kind, target, from_s, to_s in records.spans:
        if kind not in _HOST_FAULTS or target not in (host, ""):
            continue
        if from_s <= ended_s + 0.05 and to_s + AFTER_FAULT_S >= began_s:
            return True
    return False


def _may_break(records, outcome):
    for kind, _, from_s, to_s in records.spans:
        if not kind.startswith(_BREAKING):
            continue
        if from_s <= outcome.ended_s and to_s + AFTER_FAULT_S >= outcome.sent_s:
            return True
    return False


def _judge_retries(records):
    """Return the windows with more repeats than the operator's bound."""
    arrived = sorted(records.arrivals + records.rejections, key=lambda a: a.at_s)
    sent_s = {outcome.request_id: outcome.sent_s for outcome in records.outcomes}
    seen, repeats_s = set(), []
    for arrival in arrived:
        if arrival.request_id in seen:
            repeats_s.append(arrival.at_s)
        seen.add(arrival.request_id)
        # Callers that left early have no outcome.
        sent_s.setdefault(arrival.request_id, arrival.at_s)
    for begin_s in repeats_s:
        repeats = _count(repeats_s, begin_s)
        # The bound goes by the window, the one before or the one half a window before.
        begins_s = [begin_s - part * RETRY_WINDOW_S for part in (0.0, 0.5, 1.0)]
        requests = max(_count(sent_s.values(), earlier_s) for earlier_s in begins_s)
        allowed = RETRY_RATIO * requests + RETRY_SLACK
        if repeats > allowed:
            return [f"{repeats} repeats from {begin_s:.2f} s, {allowed:.0f} allowed"]
    return []


def _count(moments_s, begin_s):
    """Return how many moments lie in the window that begins at one."""
    return sum(begin_s <= at_s < begin_s + RETRY_WINDOW_S for at_s in moments_s)


def _judge_leaving(records):
    """Return the work that leaving endpoints got too late."""
    found = []
    for endpoint, leaves_s, gone_s in records.leaves:
        known_s = leaves_s
        for kind, _, from_s, to_s in records.spans:
            # A store that is away, or a host that stood still, learns of it later.
            if not kind.startswith(("store_", "host_", "all_hosts_")):
                continue
            if from_s <= known_s + DRAIN_S:
                known_s = max(known_s, to_s)
        for arrival in records.arrivals:
            if arrival.endpoint == endpoint and (
                known_s + DRAIN_S < arrival.at_s < gone_s
            ):
                found.append(f"work for a leaving endpoint: {arrival}")
    return found


def _judge_versions(records):
    """Return configurations that reverted within one life of a host."""
    found = []
    newest = {}
    for life, at_s, version in records.versions:
        if version < newest.get(life, 0):
            found.append(f"{life} went back to version {version} at {at_s:.2f} s")
        newest[life] = max(version, newest.get(life, 0))
    return found


def _judge_end(records, ends_s):
    """Return what is wrong after all faults are over."""
    found = []
    newest = max((version for _, version in records.written), default=1)
    last = {life: (at_s, version) for life, at_s, version in records.versions}
    for life, (at_s, version) in last.items():
        if at_s > ends_s - SERVED_S and version < newest:
            found.append(f"{life} has version {version}, not {newest}, at the end")
    served = 0
    for outcome in records.outcomes:
        if outcome.sent_s < ends_s - SERVED_S:
            continue
        served += outcome.status == 200
        if outcome.status != 200 or outcome.problem:
            found.append(f"not served after all faults: {outcome}")
    if not served:
        found.append("nobody was served after all faults")
    return found
