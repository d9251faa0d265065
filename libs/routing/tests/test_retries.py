"""Retries of a request and of a host, against the operator's bound."""

from hypothesis import given
from hypothesis import strategies as st

from gypsumusher_routing import SendAccount

# What becomes of a send: it doesn't leave, an endpoint rejects it, or it reads the
# prompt that it was only to read.
ENDS = st.lists(st.sampled_from(["unsent", "rejected", "read"]), max_size=8)


@given(ENDS)
def test_no_send_repeats_an_arrival_without_a_retry(ends):
    """A run after a rejected prefill reached a second engine and took no retry."""
    account = SendAccount()
    prompt_is_read = False
    for end in ends:
        account.retries += account.needs_retry()
        assert not account.needs_retry()
        account.begin()
        if end == "unsent":
            account.cancel()
            continue
        account.on_sent()
        if end == "read" and not prompt_is_read:
            prompt_is_read = True
            account.on_prompt_accepted()
        assert account.repeats <= account.retries
    assert account.retries <= len(ends)


def test_the_run_after_a_prompt_that_was_read_takes_no_retry():
    account = SendAccount()
    for _ in range(2):
        assert not account.needs_retry()
        account.begin()
        account.on_sent()
        account.on_prompt_accepted()
    assert (account.arrivals, account.repeats) == (2, 0)
    assert account.needs_retry()


def test_two_sends_under_way_at_once_take_one_retry():
    """A second try was begun while the first one's connection was still opening."""
    account = SendAccount()
    account.begin()
    assert account.needs_retry()
    account.cancel()
    assert not account.needs_retry()
