"""Which requests may run, by the key of their client account."""

from gypsumusher_ports import (
    ANY_TIMES,
    ClientAccount,
    Configuration,
    Limits,
    Route,
    ServiceShare,
)
from gypsumusher_routing import AccountTable, check_access

LIMITS = Limits(1000, 1000, 1.0, 1.0)
ROUTE = Route(
    "r", "h", "/", ANY_TIMES, 1.0, 0.1, 2, (ServiceShare("s", 1.0),), 1, False, None
)
ACCOUNT = ClientAccount("shop", ("k-1", "k-2"), 0)
TABLE = AccountTable(Configuration(1, (ROUTE,), {}, LIMITS, (ACCOUNT,)))


def access(key, route=ROUTE, table=TABLE, is_confirmed=True, is_recent=True):
    return check_access(table, route, key, is_confirmed, is_recent)


def test_each_key_of_an_account_names_it():
    assert access("k-1").account is ACCOUNT
    assert access("k-2").account is ACCOUNT


def test_unknown_or_missing_key_is_rejected_for_good():
    for key in ("other", "", None):
        assert access(key).refusal.status == 401


def test_unknown_key_of_an_old_configuration_may_come_again():
    """Guards against a 401 for a key that the newest configuration has added."""
    refusal = access("new", is_recent=False).refusal
    assert refusal.status == 503
    assert refusal.retry_after_s > 0


def test_known_key_is_refused_while_the_age_cannot_be_shown():
    """Guards against a withdrawn key at a host that hears nothing any more."""
    refusal = access("k-1", is_confirmed=False, is_recent=False).refusal
    assert refusal.status == 503
    assert refusal.retry_after_s > 0


def test_route_without_keys_runs_whatever_the_caller_sends():
    """Guards against an outage of the store that stops routes without keys."""
    open_route = ROUTE._replace(requires_key=False)
    for key in (None, "k-1", "other"):
        found = access(key, open_route, is_confirmed=False, is_recent=False)
        assert found == (None, None)


def test_configuration_without_accounts_needs_no_key():
    table = AccountTable(Configuration(1, (ROUTE,), {}, LIMITS))
    assert access(None, table=table, is_confirmed=False) == (None, None)


def test_keys_do_not_appear_in_the_text_of_an_account():
    """Guards against keys in log lines."""
    assert "k-1" not in f"{ACCOUNT} {ACCOUNT!r}"
