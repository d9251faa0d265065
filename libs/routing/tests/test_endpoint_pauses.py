"""Pauses of endpoints that want no requests for some time."""

from hypothesis import given
from hypothesis import strategies as st

from gypsumusher_routing.endpoint_pauses import (
    KEPT_FOR_S,
    KEPT_MAX,
    MAX_PAUSE_S,
    MAX_SPREAD_S,
    SPREAD_SHARE,
    TRIAL_S,
    EndpointPauses,
)

KEYS = st.sampled_from("ab")
TIMES_S = st.floats(0.0, 8.0)
EVENTS = st.lists(
    st.tuples(TIMES_S, KEYS, st.sampled_from(("away", "accepted", "sent")), TIMES_S),
    max_size=30,
)


# Guards against a pause that any order of responses and sends ends too early, or keeps.
@given(EVENTS, st.floats(0.0, 1.0, exclude_max=True))
def test_pause_lasts_as_long_as_the_longest_time_that_was_told(events, chance):
    pauses = EndpointPauses(lambda: chance)
    until_s, now_s = {"a": 0.0, "b": 0.0}, 0.0
    for passed_s, key, event, for_s in events:
        now_s += passed_s
        if event == "away":
            pauses.on_turned_away(now_s, key, for_s)
            until_s[key] = max(until_s[key], now_s + for_s)
        elif event == "accepted":
            pauses.on_accepted(now_s, key)
        else:
            pauses.on_send(now_s, key)
        for name, ends_s in until_s.items():
            left_s = max(0.0, ends_s - now_s)
            spread_s = min(MAX_SPREAD_S, SPREAD_SHARE * 8.0)
            assert left_s - 1e-6 <= pauses.left_s(now_s, name) <= left_s + spread_s
            assert not (pauses.left_s(now_s, name) and pauses.is_on_trial(now_s, name))


def test_endpoint_is_on_trial_from_the_first_send_until_it_accepts_one():
    pauses = EndpointPauses(lambda: 0.0)
    pauses.on_turned_away(0.0, "a", 2.0)
    pauses.on_send(1.0, "a")
    assert not pauses.is_on_trial(2.0, "a")
    pauses.on_send(2.0, "a")
    assert pauses.is_on_trial(2.1, "a")
    assert not pauses.is_on_trial(2.0 + TRIAL_S, "a")
    pauses.on_send(4.0, "a")
    pauses.on_accepted(4.1, "a")
    assert not pauses.is_on_trial(4.2, "a") and not pauses.has_pauses


def test_pauses_are_bounded_in_length_and_number():
    pauses = EndpointPauses(lambda: 0.0)
    pauses.on_turned_away(0.0, "a", 1e9)
    assert pauses.left_s(0.0, "a") == MAX_PAUSE_S
    for number in range(3 * KEPT_MAX):
        pauses.on_turned_away(number * KEPT_FOR_S, number, 1.0)
    assert len(pauses._pauses) <= KEPT_MAX + 2
