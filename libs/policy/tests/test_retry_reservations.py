"""Priority for callers that retry at the time given in a refusal."""

from gypsumusher_policy.retry_reservations import RESERVATION_VALID_S, RetryReservations


def test_reservation_counts_once_and_only_from_its_time_on():
    reservations = RetryReservations()
    reservations.add("f", 10.0)
    assert not reservations.redeem(9.0, "f"), "an early retry has no priority"
    assert reservations.redeem(10.5, "f")
    assert not reservations.redeem(10.6, "f"), "a reservation counts once"


def test_reservation_expires():
    reservations = RetryReservations()
    reservations.add("f", 10.0)
    assert not reservations.redeem(10.0 + RESERVATION_VALID_S + 1.0, "f")
