"""Tests of the components that do no I/O: text, cache, orders, objects, rate limits."""

from gypsumusher_standins import expected_text, expected_words, prefix_hashes
from gypsumusher_standins.orders import Order, OrderLog, OrderRefusal
from gypsumusher_standins.prefix_cache import PrefixCache
from gypsumusher_standins.token_bucket import TokenBucket
from gypsumusher_standins.versioned_objects import ABSENT, VersionedObjects


def test_generated_words_depend_on_prompt_and_position():
    words = expected_words("a prompt", 100)
    assert len(set(words)) == 100
    assert not set(words) & set(expected_words("another prompt", 100))
    assert expected_text("a prompt", 100).startswith(expected_text("a prompt", 99))


def test_prefix_hashes_are_chained():
    text = "x" * 256 + "y" * 256 + "z" * 10
    assert len(prefix_hashes(text)) == 2
    assert prefix_hashes(text)[0] == prefix_hashes("x" * 300)[0]
    assert prefix_hashes("x" * 512)[1] != prefix_hashes("x" * 256)[0]


def test_cache_evicts_least_recently_used_and_publishes_with_delay():
    cache = PrefixCache(2, 1.0, 8)
    cache.insert(0.0, [1, 2])
    assert cache.match_prefix([1]) == 1
    cache.insert(5.0, [3])
    assert cache.match_prefix([1, 3]) == 2
    assert cache.events_after(0.5, 0)["events"] == []
    assert cache.events_after(5.5, 0)["sequence"] == 1
    assert cache.events_after(6.0, 1)["events"][0]["remove"] == [2]


def test_event_log_drops_oldest_events_at_its_limit():
    cache = PrefixCache(100, 0.0, 2)
    for number in range(5):
        cache.insert(float(number), [number])
    answer = cache.events_after(10.0, 0)
    assert answer["first_sequence"] == 4
    assert answer["sequence"] == 5


def test_lower_terms_are_refused_only_if_terms_are_checked():
    checking, ignoring = OrderLog(True), OrderLog(False)
    for order_log in (checking, ignoring):
        order_log.accept("o1", 5, {"drain": True}).state = "done"
    assert checking.accept("o2", 4, {}) == OrderRefusal("stale_term", 5)
    assert isinstance(ignoring.accept("o2", 4, {}), Order)


def test_order_is_refused_while_another_is_running():
    order_log = OrderLog(True)
    order = order_log.accept("o1", 1, {})
    assert order_log.accept("o2", 2, {}).code == "busy"
    order.state = "done"
    assert isinstance(order_log.accept("o2", 2, {}), Order)
    assert order_log.find("o1") is order


def test_objects_change_only_at_the_expected_version():
    store = VersionedObjects()
    assert store.write("k", "n", 1, 0)
    assert not store.write("k", "n", 2, 0)
    assert store.write("k", "n", 2, 1)
    assert store.changed_items("k", after=1)[0]["value"] == 2
    assert not store.delete("k", "n", 1)
    assert store.delete("k", "n", 2)
    assert store.read("k", "n") is ABSENT
    assert store.deleted_names("k", 2) == ["n"]
    assert store.write("k", "n", 3, 0)
    assert store.deleted_names("k", 2) == []


def test_token_bucket_limits_the_rate():
    bucket = TokenBucket(2, 0.0)
    assert [bucket.take(0.0) for _ in range(3)] == [0.0, 0.0, 0.5]
    assert bucket.take(0.5) == 0.0
