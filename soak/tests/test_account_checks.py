"""Each violation that concerns client accounts is found in records made for it."""

import pytest
from account_checks import KEY_BOUND_S, USAGE_WINDOW_S, find_account_violations
from records import AccountKey, AccountRun, Records, RetryLimit, UsageReport

# One window of the run is long past its time at the end.
ENDS_S = 12.0


def records_of(**changes):
    """Return records of one request that ran, and of all windows reported."""
    records = Records(RetryLimit(0.2, 10.0, 10.0))
    records.keys = {"key-1": AccountKey("shop", 0.0, None)}
    records.keys_sent = {"r-1": ("key-1", 2.5)}
    records.account_runs = [AccountRun("r-1", "e-0", 2.6, "shop", False)]
    records.usage_reports = [
        UsageReport(window * USAGE_WINDOW_S + 4.0, "host-0", 1, window, counts)
        for window, counts in ((1, {"shop": 1}), (2, {}))
    ]
    for name, value in changes.items():
        setattr(records, name, value)
    return records


def test_records_without_a_violation():
    assert list(find_account_violations(records_of(), ENDS_S)) == []


@pytest.mark.parametrize(
    ("changes", "problem"),
    [
        (
            {"account_runs": [AccountRun("r-1", "e-0", 2.6, "shop", True)]},
            "was sent the key",
        ),
        (
            {"account_runs": [AccountRun("r-1", "e-0", 2.6, "mill", False)]},
            "ran for another account",
        ),
        (
            {"keys": {"key-1": AccountKey("shop", 0.0, 2.4 - KEY_BOUND_S)}},
            "ran with a key that was withdrawn",
        ),
        (
            {
                "usage_reports": [
                    UsageReport(6.0, "host-0", 1, 1, {"shop": 1}),
                    UsageReport(7.0, "host-1", 2, 1, {"shop": 0}),
                    UsageReport(8.0, "host-1", 2, 2, {}),
                ]
            },
            "two reports for window 1",
        ),
        (
            {
                "usage_reports": [
                    UsageReport(6.0, "host-0", 2, 1, {"shop": 1}),
                    UsageReport(8.0, "host-1", 1, 2, {}),
                ]
            },
            "fencing number fell",
        ),
        (
            {
                "usage_reports": [
                    UsageReport(6.0, "host-0", 1, 1, {"shop": 1}),
                    UsageReport(8.0, "host-1", 1, 2, {}),
                ]
            },
            "two holders with one fencing number",
        ),
        (
            {
                "usage_reports": [
                    UsageReport(6.0, "host-0", 1, 1, {"shop": 2}),
                    UsageReport(8.0, "host-0", 1, 2, {}),
                ]
            },
            "2 of shop, 1 began",
        ),
        (
            {"usage_reports": [UsageReport(6.0, "host-0", 1, 1, {"shop": 1})]},
            "window 2 was not reported",
        ),
    ],
)
def test_violation_is_reported(changes, problem):
    found = list(find_account_violations(records_of(**changes), ENDS_S))
    assert any(problem in line for line in found), found


def test_run_counts_for_the_window_before_a_standstill_of_the_soak():
    """An endpoint read what was sent in the window before only after it."""
    run = AccountRun("r-1", "e-0", 4.7, "shop", False)
    records = records_of(account_runs=[run])
    assert list(find_account_violations(records, ENDS_S))
    records.stalls = [(3.9, 4.0)]
    assert list(find_account_violations(records, ENDS_S))
    records.stalls.append((4.1, 4.6))
    assert list(find_account_violations(records, ENDS_S)) == []
