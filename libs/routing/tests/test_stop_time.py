"""Tests of the decision whether a request can end before its host stops."""

import pytest

from gypsumusher_routing import ResponseTimes, ends_in_time


@pytest.mark.parametrize(
    ("expected_s", "limit_s", "left_s", "is_repeatable", "is_served"),
    [
        (2.0, 10.0, 2.5, True, True),
        (2.0, 10.0, 1.5, True, False),
        # One that may run at most once needs more time than is expected of it.
        (2.0, 10.0, 2.5, False, False),
        (2.0, 10.0, 3.5, False, True),
        # A request ends by its own time limit in any case.
        (20.0, 1.0, 1.5, False, True),
        # Nothing is known of the route, whose objective is 0.5 s.
        (None, 10.0, 1.0, True, True),
        (None, 10.0, 0.4, True, False),
        (None, 10.0, 1.0, False, False),
        (None, 0.1, 0.0, True, False),
    ],
)
def test_request_is_served_if_it_can_end_in_time(
    expected_s, limit_s, left_s, is_repeatable, is_served
):
    assert ends_in_time(expected_s, 0.5, limit_s, left_s, is_repeatable) is is_served


def test_expected_time_follows_the_slow_responses_of_each_route():
    times = ResponseTimes()
    assert times.expected_s("a") is None
    for _ in range(100):
        for took_s in (0.1, 0.1, 0.1, 6.0):
            times.learn("a", took_s)
        times.learn("b", 0.1)
    assert times.expected_s("a") > 4.0
    assert times.expected_s("b") < 0.2
