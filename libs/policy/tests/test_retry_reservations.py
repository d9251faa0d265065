"""A caller that obeys its retry-after goes before the newcomers."""

from gypsumusher_policy.retry_reservations import KEPT_S, Promises


def test_only_who_comes_when_told_and_once_goes_first():
    promises = Promises()
    promises.add("f", 10.0)
    assert not promises.take(9.0, "f"), "sooner gets nothing"
    assert promises.take(10.5, "f")
    assert not promises.take(10.6, "f"), "each promise holds once"


def test_old_promise_has_ended():
    promises = Promises()
    promises.add("f", 10.0)
    assert not promises.take(10.0 + KEPT_S + 1.0, "f")
