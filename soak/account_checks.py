"""Checks of client accounts: whose key ran, and what was reported of their usage."""

__all__ = ["KEY_BOUND_S", "USAGE_LATE_S", "USAGE_WINDOW_S", "find_account_violations"]

# The operator's bounds in a soak run, in seconds.
KEY_BOUND_S = 3.0
USAGE_WINDOW_S, USAGE_LATE_S = 2.0, 5.0
# A new or withdrawn key must have its effect after this long without a fault.
KEY_EFFECT_S = 4.0
# Time that a request may take from its first event at the endpoint to its count.
COUNT_SLACK_S = 0.5
# Time before a run within which the soak's process may have delayed it by a standstill:
# the host counts when it sends, and the endpoint is in the soak's process.
STALL_SPAN_S = 3.0
# Least share of an account's requests that has to be served, relative to all accounts,
# and the number of requests from which it is judged.
SERVED_SHARE_MIN, COUNTED_MIN = 0.25, 30


def find_account_violations(records, ends_s):
    """Return one line for each violation that concerns client accounts.

    Parameters
    ----------
    records : Records
        What callers, endpoints, the operator and the platform observed.
    ends_s : float
        When the run ended, in seconds since it began.
    """
    found = []
    for run in records.account_runs:
        found += _check_run(records, run)
    for outcome in records.outcomes:
        found += _check_refusal(records, outcome)
    found += _check_reports(records)
    found += _check_counts(records, ends_s)
    found += _check_shares(records)
    return found


def _check_shares(records):
    """Return the accounts that are served far less often than all together."""
    counts = {}
    for outcome in records.outcomes:
        key, _ = records.keys_sent.get(outcome.request_id, (None, 0.0))
        if key is None or records.keys[key].withdrawn_s is not None:
            continue
        account = records.keys[key].account
        is_served = outcome.status == 200 and not outcome.problem
        served, asked = counts.get(account, (0, 0))
        counts[account] = (served + is_served, asked + 1)
    all_served = sum(served for served, _ in counts.values())
    all_asked = sum(asked for _, asked in counts.values())
    found = []
    for account, (served, asked) in sorted(counts.items()):
        if asked < COUNTED_MIN:
            continue
        if served * all_asked < SERVED_SHARE_MIN * all_served * asked:
            found.append(
                f"{served} of {asked} requests of {account} were served, and"
                f" {all_served} of {all_asked} of all accounts"
            )
    return found


def _check_run(records, run):
    """Return the violations in what an endpoint saw of one request."""
    key, sent_s = records.keys_sent[run.request_id]
    if run.has_key:
        yield f"an endpoint was sent the key: {run}"
    holder = records.keys[key]
    if run.account != holder.account:
        yield f"ran for another account than {holder.account}: {run}"
    if holder.withdrawn_s is not None and sent_s > holder.withdrawn_s + KEY_BOUND_S:
        late_s = sent_s - holder.withdrawn_s
        yield f"ran with a key that was withdrawn {late_s:.2f} s earlier: {run}"


def _check_refusal(records, outcome):
    """Return the violations in a refusal for the key of a request."""
    if outcome.status != 401:
        return
    holder = records.keys[records.keys_sent[outcome.request_id][0]]
    if holder.withdrawn_s is None or outcome.ended_s < holder.withdrawn_s:
        # A host that has missed an added key for long must not reject it for good.
        if outcome.sent_s > holder.added_s + KEY_EFFECT_S:
            yield f"rejected a key in force: {outcome}"


def _check_reports(records):
    """Return windows with two reports, and fencing numbers that fell."""
    first, newest = {}, None
    for report in records.usage_reports:
        known = first.setdefault(report.window, report)
        if known.counts != report.counts:
            yield f"two reports for window {report.window}: {known}, {report}"
        if newest is not None and report.fence < newest.fence:
            yield f"fencing number fell: {newest}, {report}"
        if newest is not None and report.fence == newest.fence:
            if report.holder != newest.holder:
                yield f"two holders with one fencing number: {newest}, {report}"
        newest = report


def _check_counts(records, ends_s):
    """Return windows whose report is missing without a fault, or counts too much."""
    reported = {report.window: report.counts for report in records.usage_reports}
    for window, counts in reported.items():
        begin_s = window * USAGE_WINDOW_S - records.began_unix_s
        end_s = begin_s + USAGE_WINDOW_S
        for account, number in counts.items():
            began = {
                run.request_id
                for run in records.account_runs
                if run.account == account
                and begin_s - COUNT_SLACK_S <= run.at_s
                and run.at_s - _delay_s(records, run) <= end_s + COUNT_SLACK_S
            }
            if number > len(began):
                yield f"window {window}: {number} of {account}, {len(began)} began"
    first = int(records.began_unix_s // USAGE_WINDOW_S) + 1
    last = int((records.began_unix_s + ends_s - USAGE_LATE_S) // USAGE_WINDOW_S) - 1
    for window in range(first, last + 1):
        begin_s = window * USAGE_WINDOW_S - records.began_unix_s
        due_s = begin_s + USAGE_WINDOW_S + USAGE_LATE_S
        if window not in reported and not _is_disturbed(records, begin_s, due_s):
            yield f"window {window} was not reported"


def _delay_s(records, run):
    """Return by how much the soak's own standstills may have delayed a run."""
    return records.stalled_s(run.at_s - STALL_SPAN_S, run.at_s)


def _is_disturbed(records, begin_s, end_s):
    """Return whether any fault overlaps a span of time."""
    return any(
        from_s <= end_s and to_s + KEY_EFFECT_S >= begin_s
        for _, _, from_s, to_s in records.spans
    )
