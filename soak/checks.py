"""The guarantees that must hold in a soak run, checked against its records."""

import signal
from bisect import bisect_left
from itertools import pairwise
from typing import NamedTuple

from account_checks import find_account_violations
from notice_checks import find_notice_violations
from plan import RECOVERED_S
from records import IDEMPOTENT, NON_IDEMPOTENT, PROMPT, STREAM, deadline_s
from stream_checks import find_stream_violations

__all__ = ["find_violations", "peak_retry_usage"]

# How often endpoints may run a request of each kind: the attempts of its route.
RUNS_MAX = {IDEMPOTENT: 2, NON_IDEMPOTENT: 1, STREAM: 2, PROMPT: 1}
# Time that a host has to report that the deadline of a request has passed.
RESPONSE_SLACK_S = 1.0
# After a fault of a host, its outcomes stay excused for this long, until the requests
# that were in flight have ended.
AFTER_FAULT_S = 1.0
# A draining endpoint must get no new work after this long: the bound of 2 s, plus the
# time to renew a watch on a new connection.
DRAIN_S = 4.0
# A configuration must be in force on every host after this long without a fault.
CONFIGURATION_S = 4.0
# Endpoints that a request's content may crash before hosts have to know it, how long
# they may take to tell each other, and how often it may reach endpoints after that.
CRASHES_MAX, CRASH_KNOWN_S, CRASHING_SENDS_MAX = 3, 3.0, 3
# The same for a part of prompts, where each arrival at an endpoint counts.
PART_CRASHES_MAX = 5
# From twice the time above on, sound prompts with the same first part are served at
# least this share as often as without faults, if there are enough of both.
SOUND_SERVED_SHARE, SOUND_COUNTED_MIN = 0.5, 20
# Time after a fault in which requests don't count as undisturbed.
CALM_S = 3.0
# The bound on what a limited endpoint gets: window, factor, slack, the time from which
# a host counts that was told of the limit, and the time until the bound holds.
LIMIT_WINDOW_S, LIMIT_FACTOR, LIMIT_SLACK = 4.0, 1.5, 5
LIMIT_TOLD_S, LIMIT_STABLE_S = 0.5, 3.0
# Hosts that have lost their links to all endpoints serve at least this share of what
# the others serve, from this time on after the loss, or fail no more than the slack and
# a share of all requests.
LINKS_SERVED_SHARE, LINKS_STABLE_S = 2.0 / 3.0, 3.0
LINKS_FAILED_SLACK, LINKS_FAILED_SHARE = 10, 0.02
# A request that fails within this time of its send may have been sent while the host
# was closing the idle connection.
IDLE_CLOSE_RACE_S = 0.3
# Faults of a host that excuse failed requests to it.
_HOST_FAULTS = (
    "host_kill",
    "host_pause",
    "host_replace",
    "host_slow",
    "all_hosts_kill",
)
# Faults after which a host isn't compared with those that lost their links.
_PARTING_FAULTS = (*_HOST_FAULTS, "host_stop", "hosts_apart", "zone_lossy")
# Faults that hold back what hosts send to endpoints.
_HOLDING = (
    "link_silent",
    "link_one_way",
    "all_links_silent",
    "host_links_cut",
    "host_links_partly_cut",
)
# Prefixes of faults that may cut off a response in its body.
_CUTTING = (
    "endpoint_restart",
    "endpoint_break",
    "endpoint_leave",
    "endpoint_unframed",
    "link_",
    "all_links_",
    "host_links_",
)


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
    found += _check_crashing(records)
    found += _check_crashing_parts(records)
    found += _check_sound_prompts(records)
    found += _check_limits(records)
    found += _check_link_cuts(records)
    found += _check_host_ends(records)
    found += find_stream_violations(records, _is_disturbed)
    found += find_notice_violations(records, _is_disturbed)
    if records.keys:
        found += find_account_violations(records, ends_s)
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
        if outcome.kind in (NON_IDEMPOTENT, PROMPT) and runs:
            found.append("reported as not run, but an endpoint ran it")
        if outcome.retry_after is None:
            found.append("refused without Retry-After")
    if _is_disturbed(records, outcome.host, outcome.sent_s, outcome.ended_s):
        return found
    took_s = outcome.ended_s - outcome.sent_s
    limit_s = deadline_s(outcome.kind) + RESPONSE_SLACK_S
    if took_s - records.stalled_s(outcome.sent_s, outcome.ended_s) > limit_s:
        found.append(f"no response within {took_s:.2f} s")
    is_idle_close = not runs and took_s <= IDLE_CLOSE_RACE_S
    if outcome.problem == "cut" and not (is_idle_close or _is_held(records, outcome)):
        found.append("connection closed without a response")
    if outcome.problem == "broken" and not _may_be_cut_off(records, outcome):
        found.append("response cut off without a fault that explains it")
    return found


def _is_disturbed(records, host, began_s, ended_s, kinds=_HOST_FAULTS):
    """Return whether a host was killed or paused around a span of time."""
    for kind, target, from_s, to_s in records.spans:
        if kind not in kinds or target not in (host, ""):
            continue
        if from_s <= ended_s + 0.05 and to_s + AFTER_FAULT_S >= began_s:
            return True
    return False


def _is_held(records, outcome):
    """Return whether a link held a request back until the end of a planned stop.

    A host that stops waits for its requests until its stop period ends.
    """
    kinds = set()
    for kind, target, from_s, to_s in records.spans:
        if target in (outcome.host, "") and (
            from_s <= outcome.ended_s and to_s >= outcome.sent_s
        ):
            kinds.add(kind)
    return "host_stop" in kinds and not kinds.isdisjoint(_HOLDING)


def _may_be_cut_off(records, outcome):
    """Return whether a response may be cut off in its body.

    A fault may explain it, or the end of the deadline: a host has no other way to end a
    response that it has begun.
    """
    if outcome.ended_s - outcome.sent_s >= deadline_s(outcome.kind):
        return True
    for kind, _, from_s, to_s in records.spans:
        if not kind.startswith(_CUTTING):
            continue
        if from_s <= outcome.ended_s and to_s + AFTER_FAULT_S >= outcome.sent_s:
            return True
    return False


def peak_retry_usage(records):
    """Return the largest share of the allowed repeats that any window used.

    Parameters
    ----------
    records : Records
        What callers, endpoints and the operator observed.
    """
    usages = [
        w.repeats / w.allowed for _, windows in _windows(records) for w in windows
    ]
    return max(usages, default=0.0)


def _check_retry_limit(records):
    """Return, per service, the windows with more repeats than the operator allows."""
    found = []
    for service, windows in _windows(records):
        exceeded = [window for window in windows if window.repeats > window.allowed]
        if not exceeded:
            continue
        lines = []
        for window in (exceeded[0], max(exceeded, key=lambda w: w.repeats - w.allowed)):
            line = (
                f"{window.repeats} repeats from {window.begin_s:.2f} s,"
                f" {window.allowed:.0f} allowed"
            )
            if line not in lines:
                lines.append(line)
        found.append(f"{service}: {', worst '.join(lines)} ({len(exceeded)} windows)")
    return found


class _Window(NamedTuple):
    """Repeats in one retry window, and how many are allowed."""

    begin_s: float
    repeats: int
    allowed: float


def _windows(records):
    """Return for each service the windows that begin with a repeat."""
    limit = records.retry_limit
    found = []
    for service in sorted({service for service, _ in records.sent.values()}):
        sent_s = sorted(at_s for name, at_s in records.sent.values() if name == service)
        repeats_s = _repeats_s(records, service)
        windows = []
        for begin_s in repeats_s:
            # The limit follows the busiest of three windows: this one, the one half a
            # window earlier and the one before.
            requests = max(
                _count(sent_s, begin_s - share * limit.window_s, limit.window_s)
                for share in (0.0, 0.5, 1.0)
            )
            repeats = _count(repeats_s, begin_s, limit.window_s)
            allowed = limit.ratio * requests + limit.slack
            windows.append(_Window(begin_s, repeats, allowed))
        found.append((service, windows))
    return found


def _repeats_s(records, service):
    """Return when endpoints got repeats of requests to a service.

    Any arrival beyond the first of its request is one. The first prefill call that an
    engine accepts is no arrival in this sense, as the decode call has to follow it.
    """
    accepted_ids, exempt = set(), set()
    for arrival in sorted(records.prefills, key=lambda a: a.at_s):
        if arrival.request_id not in accepted_ids:
            exempt.add(arrival)
        accepted_ids.add(arrival.request_id)
    arrived = records.arrivals + records.rejections + records.prefills
    seen, repeats_s = set(), []
    for arrival in sorted(arrived, key=lambda a: a.at_s):
        is_of_service = records.sent[arrival.request_id][0] == service
        if not is_of_service or arrival in exempt:
            continue
        if arrival.request_id in seen:
            repeats_s.append(arrival.at_s)
        seen.add(arrival.request_id)
    return repeats_s


def _count(times_s, begin_s, window_s):
    """Return how many of some sorted times lie in the window that begins at a time."""
    return bisect_left(times_s, begin_s + window_s) - bisect_left(times_s, begin_s)


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


def _check_crashing(records):
    """Return the contents that went on to reach endpoints after crashing three.

    Sends of hosts that were disturbed shortly before don't count, and when all hosts
    were killed at once, what they knew is lost.
    """
    found = []
    crashes = {}
    for arrival in sorted(records.crashes, key=lambda a: a.at_s):
        path, host = records.crashing_sent[arrival.request_id]
        crashes.setdefault(path, []).append((arrival.at_s, host))
    killed_s = [span[2] for span in records.spans if span[0] == "all_hosts_kill"]
    for path, arrivals in crashes.items():
        for begin_s, end_s in pairwise((0.0, *sorted(killed_s), float("inf"))):
            within = [a for a in arrivals if begin_s <= a[0] < end_s]
            if len(within) < CRASHES_MAX:
                continue
            known_s = within[CRASHES_MAX - 1][0] + CRASH_KNOWN_S
            late = [
                at_s
                for at_s, host in within
                if at_s > known_s
                and not _is_disturbed(records, host, at_s - CRASH_KNOWN_S, at_s)
            ]
            if len(late) > CRASHING_SENDS_MAX:
                found.append(
                    f"content of {path} reached endpoints {len(late)} times from"
                    f" {late[0]:.2f} s, though hosts had to know it"
                )
    return found


def _check_crashing_parts(records):
    """Return the parts that went on to reach endpoints after crashing five.

    Sends don't count of hosts that were disturbed shortly before, or while the store
    was: hosts that start while it is can't read what is refused.
    """
    found = []
    for part, crashes_s in _crashes_by_part(records).items():
        if len(crashes_s) < PART_CRASHES_MAX:
            continue
        known_s = crashes_s[PART_CRASHES_MAX - 1] + CRASH_KNOWN_S
        late = [
            sent.at_s
            for sent in records.part_sends
            if sent.part == part
            and sent.at_s > known_s
            and not _is_out_of_touch(records, records.hosts[sent.request_id], sent.at_s)
        ]
        if len(late) > CRASHING_SENDS_MAX:
            found.append(
                f"prompts with {part} reached endpoints {len(late)} times from"
                f" {late[0]:.2f} s, though hosts had to know it from {known_s:.2f} s"
            )
    return found


def _crashes_by_part(records):
    """Return when each part crashed engines, in order, in seconds."""
    crashes_s = {}
    for crash in sorted(records.part_crashes, key=lambda crash: crash.at_s):
        crashes_s.setdefault(crash.part, []).append(crash.at_s)
    return crashes_s


def _is_out_of_touch(records, host, at_s):
    """Return whether a host, its links or the store were disturbed shortly before."""
    if _is_disturbed(records, host, at_s - CALM_S, at_s, _PARTING_FAULTS):
        return True
    return any(
        kind.startswith("store_") or kind in ("host_store_cut", "config_large")
        for kind, _, from_s, to_s in records.spans
        if from_s <= at_s and to_s + CALM_S >= at_s
    )


def _check_sound_prompts(records):
    """Return the first parts whose sound prompts are refused for another part.

    Prompts that are sent while a part that hosts have to know still comes are compared
    with those outside of all faults; other faults disturb neither.
    """
    others = [span for span in records.spans if span[0] != "crashing_part"]
    crashing = [span for span in records.spans if span[0] == "crashing_part"]
    counts = {}
    for outcome in records.outcomes:
        first_part = records.first_parts.get(outcome.request_id)
        if first_part is None or _is_within(others, outcome):
            continue
        is_beside = _is_within(crashing, outcome)
        if is_beside and not _must_know_parts(records, outcome.sent_s):
            continue
        served, asked = counts.get((first_part, is_beside), (0, 0))
        is_served = outcome.status == 200 and not outcome.problem
        counts[first_part, is_beside] = (served + is_served, asked + 1)
    found = []
    for first_part in sorted({part for part, _ in counts}):
        served, asked = counts.get((first_part, True), (0, 0))
        usual_served, usual = counts.get((first_part, False), (0, 0))
        if min(asked, usual) < SOUND_COUNTED_MIN:
            continue
        if served * usual < SOUND_SERVED_SHARE * usual_served * asked:
            found.append(
                f"{served} of {asked} sound prompts with {first_part} were served, and"
                f" {usual_served} of {usual} without faults"
            )
    return found


def _is_within(spans, outcome):
    """Return whether a request overlaps with any span, or the time after it."""
    return any(
        from_s <= outcome.ended_s and to_s + CALM_S >= outcome.sent_s
        for _, _, from_s, to_s in spans
    )


def _must_know_parts(records, at_s):
    """Return whether hosts have to know all parts that have crashed engines."""
    crashes = _crashes_by_part(records).values()
    begun = [times_s for times_s in crashes if times_s[0] < at_s]
    return all(
        times_s[min(PART_CRASHES_MAX, len(times_s)) - 1] + 2.0 * CRASH_KNOWN_S < at_s
        for times_s in begun
    )


def _check_limits(records):
    """Return the endpoints that got more than they had stated.

    Requests count of hosts that have passed on a response with the limit, and weren't
    disturbed lately.
    """
    ended_s = {o.request_id: o.ended_s for o in records.outcomes if o.is_sealed}
    found = []
    for limit in records.limits:
        told_s, counted_s = {}, []
        arrived = records.arrivals + records.rejections + records.prefills
        for arrival in sorted(arrived, key=lambda a: a.at_s):
            host = records.hosts.get(arrival.request_id)
            if arrival.endpoint != limit.endpoint or host is None:
                continue
            if not limit.began_s <= arrival.at_s <= limit.ended_s:
                continue
            known_s = told_s.get(host, float("inf")) + LIMIT_TOLD_S
            from_s = max(known_s, limit.began_s + LIMIT_STABLE_S)
            if arrival.at_s >= from_s and not _is_disturbed(
                records, host, arrival.at_s - LIMIT_WINDOW_S, arrival.at_s
            ):
                counted_s.append(arrival.at_s)
            if arrival.request_id in ended_s:
                at_s = ended_s[arrival.request_id]
                told_s[host] = min(at_s, told_s.get(host, at_s))
        allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * limit.limit_per_s + LIMIT_SLACK
        counts = [_count(counted_s, at_s, LIMIT_WINDOW_S) for at_s in counted_s]
        if max(counts, default=0) > allowed:
            found.append(
                f"{limit.endpoint} got {max(counts)} requests in"
                f" {LIMIT_WINDOW_S:.0f} s, {allowed:.0f} allowed: {limit}"
            )
    return found


def _check_host_ends(records):
    """Return the ends of hosts' processes that weren't planned stops or kills."""
    found = []
    for end in records.host_ends:
        statuses = set()
        if end.was_stopped:
            statuses.add(0)
        if end.was_killed:
            statuses.add(-signal.SIGKILL)
        if end.status not in statuses:
            found.append(f"host ended with status {end.status}: {end}")
    return found


def _check_link_cuts(records):
    """Return the spans in which hosts without links to endpoints served far worse.

    Hosts that were disturbed otherwise, or cut off from other hosts, don't count.
    """
    found = []
    for cut in records.link_cuts:
        from_s = cut.began_s + LINKS_STABLE_S
        cut_hosts = {
            host
            for other in records.link_cuts
            if other.began_s < cut.ended_s and other.ended_s > cut.began_s
            for host in other.hosts
        }
        # Numbers of served and of all requests, at the cut hosts and at the others.
        served, asked = [0, 0], [0, 0]
        for outcome in records.outcomes:
            host = outcome.host
            if not from_s <= outcome.sent_s < cut.ended_s:
                continue
            is_other = host not in cut.hosts
            if is_other and host in cut_hosts:
                continue
            if _is_disturbed(records, host, cut.began_s, cut.ended_s, _PARTING_FAULTS):
                continue
            asked[is_other] += 1
            served[is_other] += outcome.status == 200 and not outcome.problem
        failed = asked[0] - served[0]
        if failed <= LINKS_FAILED_SLACK + LINKS_FAILED_SHARE * sum(asked):
            continue
        if served[0] * asked[1] < LINKS_SERVED_SHARE * served[1] * asked[0]:
            found.append(
                f"hosts without links to endpoints ({cut.mode}) served {served[0]} of"
                f" {asked[0]} requests from {from_s:.2f} s, the others {served[1]} of"
                f" {asked[1]}"
            )
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
        if _has_withdrawn_key(records, outcome):
            if outcome.status != 401:
                found.append(f"withdrawn key not rejected after all: {outcome}")
            continue
        if outcome.status != 200 or outcome.problem:
            found.append(f"request failed after the last fault: {outcome}")
    if not served:
        found.append("no request succeeded after the last fault")
    return found


def _has_withdrawn_key(records, outcome):
    """Return whether a request was sent with a key that was taken away before."""
    if outcome.request_id not in records.keys_sent:
        return False
    key, sent_s = records.keys_sent[outcome.request_id]
    withdrawn_s = records.keys[key].withdrawn_s
    return withdrawn_s is not None and withdrawn_s < sent_s
