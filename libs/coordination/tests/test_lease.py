"""`Lease`: one holder at a time, without comparing the clocks of two hosts."""

import itertools

import pytest

from gypsumusher_coordination import (
    CallFailed,
    Lease,
    LeaseGained,
    LeaseLost,
    OpenTerm,
    ReadDone,
    ReadObject,
    StoredObject,
    WriteConflict,
    WriteDone,
)

DURATION_S = 6.0


class Store:
    """The lease object, with conditional writes."""

    def __init__(self):
        self.stored = None
        self.revisions = itertools.count(1)

    def apply(self, call):
        if isinstance(call, ReadObject):
            return ReadDone(call.tag, self.stored)
        if (self.stored.version if self.stored else 0) != call.if_version:
            return WriteConflict(call.tag, self.stored)
        self.stored = StoredObject(next(self.revisions), call.value)
        return WriteDone(call.tag, self.stored.version)


def make_lease(host):
    nonces = (f"{host}-{number}" for number in itertools.count())
    return Lease("d", host, f"{host}-1", DURATION_S, lambda: next(nonces))


def run(lease, store, now_s, effects=None):
    """Perform all calls immediately; return the other effects."""
    effects = lease.tick(now_s) if effects is None else effects
    outcomes = []
    while effects:
        effect = effects.pop(0)
        if isinstance(effect, LeaseGained | LeaseLost):
            outcomes.append(effect)
            continue
        effects.extend(lease.handle(now_s, store.apply(effect)))
    return outcomes


def acquire(lease, store, now_s):
    run(lease, store, now_s)
    (gained,) = run(lease, store, now_s)
    return gained


def test_first_host_acquires_the_lease_and_renews_it():
    store = Store()
    lease = make_lease("a")
    assert acquire(lease, store, 0.0) == LeaseGained(1, ())
    for step in range(1, 200):
        assert run(lease, store, step * 0.5) == []
        assert lease.is_held(step * 0.5)
    assert store.stored.value["term"] == 1
    # Renewals are a third of the duration apart, so 100 s take about 50 of them.
    assert store.stored.version <= 52


def test_term_counts_from_before_the_write_was_sent():
    """The platform takes 5 s to respond to a write of the lease.

    Counted from the response, the holder's term would end 5 s later than the written
    lease, and two hosts could send orders in between.
    """
    store = Store()
    lease = make_lease("a")
    run(lease, store, 0.0)
    (write,) = lease.tick(1.0)
    (gained,) = lease.handle(6.0, store.apply(write))
    assert isinstance(gained, LeaseGained)
    assert lease.valid_until_s == 1.0 + DURATION_S
    assert lease.is_held(6.9) and not lease.is_held(7.0)


def test_response_after_the_whole_duration_gives_no_lease():
    store = Store()
    lease = make_lease("a")
    run(lease, store, 0.0)
    (write,) = lease.tick(1.0)
    assert lease.handle(7.5, store.apply(write)) == []
    assert not lease.is_held(7.5)
    (gained,) = run(lease, store, 7.6)
    assert gained.term == 2


def test_paused_holder_detects_expiry_at_its_first_clock_reading():
    store = Store()
    lease = make_lease("a")
    acquire(lease, store, 0.0)
    assert not lease.is_held(100.0)
    assert lease.term_validity().valid_until_s < 100.0
    outcomes = run(lease, store, 100.0)
    assert outcomes[0] == LeaseLost(1)


def test_no_takeover_before_the_lease_was_unchanged_for_its_duration():
    """A host reads the lease of a holder that renews it.

    It counts on its own clock from its first read of the current version, and each
    renewal restarts the count. Otherwise it would take over from a live holder, whose
    orders would then be refused.
    """
    store = Store()
    holder, observer = make_lease("a"), make_lease("b")
    acquire(holder, store, 0.0)
    run(observer, store, 5.0)
    for now_s in (7.0, 9.0, 10.9):
        assert run(observer, store, now_s) == []
    renewed = StoredObject(50, {**store.stored.value, "nonce": "a-renewal"})
    store.stored = renewed
    assert run(observer, store, 11.1) == []
    for now_s in (14.0, 17.0, 17.1):
        assert run(observer, store, now_s) == []
    (gained,) = run(observer, store, 17.3)
    assert gained == LeaseGained(2, (OpenTerm(1, "a", "a-1"),))


def test_clock_drift_never_leads_to_two_holders():
    """The holder's clock runs slow and the observer's fast, each by 4 in 1,000.

    Without the allowance for clock drift both would hold the lease for some hundredths
    of a second.
    """
    store = Store()
    holder, observer = make_lease("a"), make_lease("b")
    acquire(holder, store, 0.0)
    run(observer, store, 0.0)
    for step in range(500, 700):
        real_s = step / 100
        run(observer, store, real_s * 1.004)
        both = holder.is_held(real_s * 0.996) and observer.is_held(real_s * 1.004)
        assert not both, real_s
    assert observer.is_held(7.0)


def test_two_observers_race_and_one_wins():
    store = Store()
    acquire(make_lease("a"), store, 0.0)
    observers = [make_lease("b"), make_lease("c")]
    for observer in observers:
        run(observer, store, 1.0)
    writes = [observer.tick(8.0)[0] for observer in observers]
    answers = [store.apply(write) for write in writes]
    outcomes = [
        observer.handle(8.1, answer) for observer, answer in zip(observers, answers)
    ]
    assert [len(effects) for effects in outcomes] == [1, 0]
    assert [observer.is_held(8.1) for observer in observers] == [True, False]


def test_renewal_in_flight_during_a_takeover_fails_its_condition():
    store = Store()
    holder, observer = make_lease("a"), make_lease("b")
    acquire(holder, store, 0.0)
    run(observer, store, 0.0)
    (renewal,) = holder.tick(5.9)
    run(observer, store, 6.1)
    assert observer.is_held(6.1)
    assert holder.handle(6.2, store.apply(renewal)) == [LeaseLost(1)]
    assert store.stored.value["holder"] == "b"


@pytest.mark.parametrize("took_effect", [True, False])
def test_lost_response_is_resolved_by_reading(took_effect):
    """The response to a renewal is lost, whether the renewal took effect or not.

    If it did, the read returns its nonce, and the term counts from when the renewal was
    sent, not from the read. Otherwise the lease would expire despite the renewal.
    """
    store = Store()
    lease = make_lease("a")
    acquire(lease, store, 0.0)
    (renewal,) = lease.tick(2.0)
    if took_effect:
        store.apply(renewal)
    effects = lease.handle(3.0, CallFailed(renewal.tag, sent=True))
    assert run(lease, store, 3.1, effects) == []
    assert lease.valid_until_s == (8.0 if took_effect else 6.0)
    run(lease, store, 4.0)
    assert lease.valid_until_s == 10.0


def test_lost_write_that_takes_effect_late_is_recognised():
    store = Store()
    lease = make_lease("a")
    acquire(lease, store, 0.0)
    (lost,) = lease.tick(2.0)
    (read,) = lease.handle(2.5, CallFailed(lost.tag, sent=True))
    lease.handle(2.6, store.apply(read))
    (again,) = lease.tick(2.7)
    store.apply(lost)
    assert lease.handle(2.8, store.apply(again)) == []
    assert lease.valid_until_s == 2.0 + DURATION_S


def test_outage_ends_the_term_and_pending_writes_are_bounded():
    store = Store()
    lease = make_lease("a")
    acquire(lease, store, 0.0)
    outcomes = []
    for step in range(1, 400):
        effects = lease.tick(step * 0.5)
        while effects:
            effect = effects.pop(0)
            if isinstance(effect, LeaseLost):
                outcomes.append((step * 0.5, effect))
                continue
            effects.extend(lease.handle(step * 0.5, CallFailed(effect.tag, sent=True)))
    assert outcomes == [(6.0, LeaseLost(1))]
    assert len(lease._pending_writes_s) < 20
    (gained,) = run(lease, store, 300.0)
    assert gained.term == 2


def test_released_lease_is_free_at_once_and_leaves_no_open_term():
    store = Store()
    holder, observer = make_lease("a"), make_lease("b")
    acquire(holder, store, 0.0)
    assert run(holder, store, 1.0, holder.release(1.0)) == [LeaseLost(1)]
    assert holder.is_released and not holder.is_held(1.0)
    assert holder.tick(50.0) == []
    run(observer, store, 1.1)
    assert run(observer, store, 1.1) == [LeaseGained(2, ())]


def test_release_waits_for_a_write_in_flight():
    store = Store()
    lease = make_lease("a")
    run(lease, store, 0.0)
    (write,) = lease.tick(0.0)
    assert lease.release(0.1) == []
    assert run(lease, store, 0.2, lease.handle(0.2, store.apply(write))) == []
    assert run(lease, store, 0.3) == []
    assert lease.is_released
    assert store.stored.value["released"]


def test_open_terms_outlast_a_second_takeover():
    """The holder before last may still have an order in flight.

    The first holder dies without releasing the lease; the second takes over and stops
    in a planned way. Without the list of open terms the third would see a released
    lease and not wait for the first one's late order.
    """
    store = Store()
    first, second, third = make_lease("a"), make_lease("b"), make_lease("c")
    acquire(first, store, 0.0)
    run(second, store, 0.0)
    assert run(second, store, 7.0) == [LeaseGained(2, (OpenTerm(1, "a", "a-1"),))]
    run(second, store, 7.5, second.release(7.5))
    run(third, store, 8.0)
    assert run(third, store, 8.0) == [LeaseGained(3, (OpenTerm(1, "a", "a-1"),))]
    third.close_terms((1,))
    run(third, store, 11.0)
    assert store.stored.value["open_terms"] == []


def test_host_that_received_the_last_version_takes_over_at_its_expiry():
    # The platform is down for eight seconds, and the holder stops during that time. The
    # next host received the lease from a peer before, so once the platform is back it
    # need not wait for the whole duration again.
    store, holder, successor = Store(), make_lease("a"), make_lease("b")
    acquire(holder, store, 0.0)
    successor.on_stored_received(0.5, store.stored)
    assert successor.last_stored() == store.stored
    (gained,) = run(successor, store, 0.5 + 1.02 * DURATION_S)
    assert gained.term == 2
    assert not holder.is_held(0.5 + 1.02 * DURATION_S)


def test_no_takeover_if_a_renewal_was_not_received():
    store, holder, successor = Store(), make_lease("a"), make_lease("b")
    acquire(holder, store, 0.0)
    successor.on_stored_received(0.5, store.stored)
    run(holder, store, 3.0)
    assert not run(successor, store, 0.5 + 1.02 * DURATION_S)
    assert holder.is_held(0.5 + 1.02 * DURATION_S)


def test_older_version_received_late_is_ignored():
    store, holder, successor = Store(), make_lease("a"), make_lease("b")
    acquire(holder, store, 0.0)
    old = store.stored
    run(holder, store, 3.0)
    successor.on_stored_received(3.1, store.stored)
    successor.on_stored_received(9.0, old)
    assert successor.last_stored() == store.stored
