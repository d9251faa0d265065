"""An endpoint that fails is paused, and work that runs once is never shut out."""

from gypsumusher_policy.health import (
    FAILURES_IN_A_ROW,
    FIRST_PAUSE_S,
    ONCE_PAUSE_S,
    Health,
)


def test_bookings_alone_find_their_way_back_to_an_endpoint_that_failed():
    """Every booking waits until it is too late, though the engines are well again.

    Each engine breaks one connection; from then on a deployment of bookings alone
    has no request that may run twice and would show that they are well.
    """
    health = Health()
    health.on_failure(10.0, "broken")
    assert not health.allows(10.0 + ONCE_PAUSE_S / 2, idempotent=False)
    assert health.allows(10.0 + ONCE_PAUSE_S / 2, idempotent=True)
    assert health.allows(10.0 + ONCE_PAUSE_S, idempotent=False)


def test_a_booking_probes_a_paused_endpoint_only_after_others_had_their_turn():
    health = Health()
    for _ in range(FAILURES_IN_A_ROW):
        health.on_failure(10.0, "error")
    pause_ends_s = 10.0 + FIRST_PAUSE_S
    assert not health.allows(pause_ends_s - 0.1, idempotent=True)
    assert health.allows(pause_ends_s, idempotent=True)
    assert not health.allows(pause_ends_s, idempotent=False)
    assert health.allows(pause_ends_s + ONCE_PAUSE_S, idempotent=False)
    health.on_start()
    assert not health.allows(pause_ends_s + ONCE_PAUSE_S, idempotent=True)
    health.on_success()
    assert health.allows(pause_ends_s, idempotent=False)
