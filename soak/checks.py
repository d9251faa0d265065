"""The guarantees that must hold in a soak run, checked against its records."""

from plan import RECOVERED_S
from records import IDEMPOTENT, NON_IDEMPOTENT, STREAM

__all__ = ["RETRY_RATIO", "RETRY_SLACK", "RETRY_WINDOW_S", "find_violations"]

# How often endpoints may run a request of each kind: the attempts of its route.
RUNS_MAX = {IDEMPOTENT: 2, NON_IDEMPOTENT: 1, STREAM: 2}
# Deadline that callers set, and the time that a host has on top to report that the
# deadline has passed.
DEADLINE_S = 1.5
RESPONSE_SLACK_S = 1.0
# After a fault of a host, its outcomes stay excused for this long, until the requests
# that were in flight have ended.
AFTER_FAULT_S = 1.0
# A draining endpoint must get no new work after this long: the bound of 2 s, plus the
# time to renew a watch on a new connection.
DRAIN_S = 4.0
# A configuration must be in force on every host after this long without a fault.
CONFIGURATION_S = 4.0
# A request that fails within this time of its send may have been sent while the host
# was closing the idle connection.
IDLE_CLOSE_RACE_S = 0.3
# The operator's limit on repeated sends, over all hosts: within each window at most a
# ratio of the requests plus a constant number.
RETRY_RATIO, RETRY_SLACK, RETRY_WINDOW_S = 0.2, 30, 10.0
# Faults of a host that excuse failed requests to it.
_HOST_FAULTS = ("host_kill", "host_pause", "all_hosts_kill")
# Prefixes of faults that may cut off a response in its body.
_CUTTING = ("endpoint_restart", "endpoint_break", "endpoint_leave", "link_")


def find_violations(records, ends_s):
    """Return one line for each violation of a guarantee.

    Parameters
    ----------
    records : Records
        What callers, endpoints and the operator observed.
    ends_s : float
        When the run ended, in seconds since it began.
    """
    runs = {}
    for arrival in records.arrivals:
        runs[arrival.request_id] = runs.get(arrival.request_id, 0) + 1
    found = []
    for outcome in records.outcomes:
        for problem in _check_outcome(
            records, outcome, runs.get(outcome.request_id, 0)
        ):
            found.append(f"{problem}: {outcome}")
    found += _check_retry_limit(records)
    found += _check_draining(records)
    found += _check_versions(records)
    found += _check_recovery(records, ends_s)
    return found


def _check_outcome(records, outcome, runs):
    """Return the violations in the outcome of one request."""
    found = []
    if runs > RUNS_MAX[outcome.kind]:
        found.append(f"ran {runs} times")
    if outcome.problem in ("wrong_body", "wrong_id"):
        found.append("response belongs to another request")
    if outcome.status == 200 and not outcome.is_sealed:
        found.append("status 200 without an endpoint's seal")
    if outcome.status in (429, 503) and not outcome.is_sealed:
        if outcome.kind == NON_IDEMPOTENT and runs:
            found.append("reported as not run, but an endpoint ran it")
        if outcome.retry_after is None:
            found.append("refused without Retry-After")
    if _is_disturbed(records, outcome.host, outcome.sent_s, outcome.ended_s):
        return found
    took_s = outcome.ended_s - outcome.sent_s
    if took_s > DEADLINE_S + RESPONSE_SLACK_S:
        found.append(f"no response within {took_s:.2f} s")
    if outcome.problem == "cut" and (runs or took_s > IDLE_CLOSE_RACE_S):
        found.append("connection closed without a response")
    if outcome.problem == "broken" and not _may_be_cut_off(records, outcome):
        found.append("response cut off without a fault that explains it")
    return found


def _is_disturbed(records, host, began_s, ended_s):
    """Return whether a host was killed or paused around a span of time."""
    for kind, target, from_s, to_s in records.spans:
        if kind not in _HOST_FAULTS or target not in (host, ""):
            continue
        if from_s <= ended_s + 0.05 and to_s + AFTER_FAULT_S >= began_s:
            return True
    return False


def _may_be_cut_off(records, outcome):
    """Return whether a fault explains a response that was cut off in its body."""
    for kind, _, from_s, to_s in records.spans:
        if not kind.startswith(_CUTTING):
            continue
        if from_s <= outcome.ended_s and to_s + AFTER_FAULT_S >= outcome.sent_s:
            return True
    return False


def _check_retry_limit(records):
    """Return the first window with more repeated sends than the operator allows."""
    arrived = sorted(records.arrivals + records.rejections, key=lambda a: a.at_s)
    sent_s = {outcome.request_id: outcome.sent_s for outcome in records.outcomes}
    seen, repeats_s = set(), []
    for arrival in arrived:
        if arrival.request_id in seen:
            repeats_s.append(arrival.at_s)
        seen.add(arrival.request_id)
        # Abandoned requests have no outcome.
        sent_s.setdefault(arrival.request_id, arrival.at_s)
    for begin_s in repeats_s:
        repeats = _count(repeats_s, begin_s)
        # The limit follows the busiest of three windows: this one, the one half a
        # window earlier and the one before.
        begins_s = [begin_s - share * RETRY_WINDOW_S for share in (0.0, 0.5, 1.0)]
        requests = max(_count(sent_s.values(), earlier_s) for earlier_s in begins_s)
        allowed = RETRY_RATIO * requests + RETRY_SLACK
        if repeats > allowed:
            return [f"{repeats} repeats from {begin_s:.2f} s, {allowed:.0f} allowed"]
    return []


def _count(times_s, begin_s):
    """Return how many times lie in the retry window that begins at ``begin_s``."""
    return sum(begin_s <= at_s < begin_s + RETRY_WINDOW_S for at_s in times_s)


def _check_draining(records):
    """Return the requests that draining endpoints got after `DRAIN_S`."""
    found = []
    for endpoint, leaves_s, gone_s in records.leaves:
        known_s = leaves_s
        for kind, _, from_s, to_s in records.spans:
            # Hosts learn of it later while the store or they themselves are down.
            if not kind.startswith(("store_", "host_", "all_hosts_")):
                continue
            if from_s <= known_s + DRAIN_S:
                known_s = max(known_s, to_s)
        for arrival in records.arrivals:
            if arrival.endpoint == endpoint and (
                known_s + DRAIN_S < arrival.at_s < gone_s
            ):
                found.append(f"request sent to a draining endpoint: {arrival}")
    return found


def _check_versions(records):
    """Return the hosts whose process went back to an older configuration."""
    found = []
    newest = {}
    for process, at_s, version in records.versions:
        if version < newest.get(process, 0):
            found.append(f"{process} went back to version {version} at {at_s:.2f} s")
        newest[process] = max(version, newest.get(process, 0))
    return found


def _check_recovery(records, ends_s):
    """Return what has not recovered after the last fault."""
    found = []
    newest = max((version for _, version in records.written), default=1)
    last = {process: (at_s, version) for process, at_s, version in records.versions}
    for process, (at_s, version) in last.items():
        if at_s > ends_s - RECOVERED_S and version < newest:
            found.append(f"{process} has version {version}, not {newest}, at the end")
    served = 0
    for outcome in records.outcomes:
        if outcome.sent_s < ends_s - RECOVERED_S:
            continue
        served += outcome.status == 200
        if outcome.status != 200 or outcome.problem:
            found.append(f"request failed after the last fault: {outcome}")
    if not served:
        found.append("no request succeeded after the last fault")
    return found
