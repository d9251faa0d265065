"""Pauses of failed endpoints, and when non-idempotent requests are allowed again."""

from gypsumusher_policy.health import (
    INITIAL_PAUSE_S,
    MAX_CONSECUTIVE_FAILURES,
    NON_IDEMPOTENT_PAUSE_S,
    EndpointHealth,
)


def test_non_idempotent_requests_alone_return_to_a_failed_endpoint():
    """Guards against requests that wait until their deadline for healthy engines.

    Each engine breaks one connection. In a deployment with non-idempotent requests
    only, no idempotent request follows that would show that the engines have
    recovered.
    """
    health = EndpointHealth()
    health.on_failure(10.0, "broken")
    assert not health.allows(10.0 + NON_IDEMPOTENT_PAUSE_S / 2, idempotent=False)
    assert health.allows(10.0 + NON_IDEMPOTENT_PAUSE_S / 2, idempotent=True)
    assert health.allows(10.0 + NON_IDEMPOTENT_PAUSE_S, idempotent=False)


def test_non_idempotent_request_probes_a_paused_endpoint_after_idempotent_ones():
    health = EndpointHealth()
    for _ in range(MAX_CONSECUTIVE_FAILURES):
        health.on_failure(10.0, "error")
    pause_end_s = 10.0 + INITIAL_PAUSE_S
    assert not health.allows(pause_end_s - 0.1, idempotent=True)
    assert health.allows(pause_end_s, idempotent=True)
    assert not health.allows(pause_end_s, idempotent=False)
    assert health.allows(pause_end_s + NON_IDEMPOTENT_PAUSE_S, idempotent=False)
    health.on_start()
    assert not health.allows(pause_end_s + NON_IDEMPOTENT_PAUSE_S, idempotent=True)
    health.on_success()
    assert health.allows(pause_end_s, idempotent=False)
