"""Configuration: replicas, sections, patches, and staleness of partitioned hosts."""

import itertools

import pytest

from gypsumusher_coordination import (
    CallFailed,
    ConfigAdopted,
    ConfigReplica,
    FetchSection,
    PatchAccepted,
    PatchAttempt,
    PatchInvalid,
    PatchOutdated,
    PatchUnavailable,
    PatchUnknown,
    Problem,
    ReadDone,
    ReadObject,
    StoredObject,
    WriteConflict,
    WriteDone,
    WriteObject,
    content_hash,
    join_sections,
    last_contact_s,
    may_serve,
    merge_patch,
    split_document,
)


class Store:
    """The platform's objects, with conditional writes."""

    def __init__(self):
        self.objects = {}
        self.revisions = itertools.count(1)

    def apply(self, call):
        stored = self.objects.get((call.kind, call.name))
        if isinstance(call, ReadObject):
            return ReadDone(call.tag, stored)
        if (stored.version if stored else 0) != call.if_version:
            return WriteConflict(call.tag, stored)
        version = next(self.revisions)
        self.objects[call.kind, call.name] = StoredObject(version, call.value)
        return WriteDone(call.tag, version)

    def head(self):
        return self.objects["config", "head"].value


def service(timeout_s):
    return {"services": {"counter-api": {"timeout_s": timeout_s}}}


def attempt_of(base_number, patch, patch_id, check=lambda document: []):
    return PatchAttempt(base_number, patch, patch_id, "kim", "note", check)


def run(store, attempt, now_s=0.0, calls=None):
    """Perform an attempt's calls until it finishes; return its outcome."""
    calls = attempt.start(now_s) if calls is None else calls
    while calls:
        call = calls.pop(0)
        if not isinstance(call, ReadObject | WriteObject):
            return call
        calls.extend(attempt.handle(now_s, store.apply(call)))
    return None


def same(effects, expected):
    """Compare also types, since named tuples of different types may be equal."""
    types = [type(effect) for effect in effects]
    return effects == expected and types == [type(effect) for effect in expected]


def run_to_head_write(store, attempt):
    calls = attempt.start(0.0)
    while not (isinstance(calls[0], WriteObject) and calls[0].kind == "config"):
        calls.extend(attempt.handle(0.0, store.apply(calls.pop(0))))
    return calls[0]


def feed(replica, store, head, now_s=0.0):
    adopted = []
    effects = replica.on_head(now_s, head)
    while effects:
        effect = effects.pop(0)
        if isinstance(effect, ConfigAdopted):
            adopted.append(effect.number)
            continue
        value = store.objects["configsections", effect.hash].value
        effects.extend(replica.on_section(now_s, effect.hash, value))
    return adopted


@pytest.mark.parametrize(
    "document, patch, merged",
    [
        ({"a": "b"}, {"a": "c"}, {"a": "c"}),
        ({"a": "b"}, {"b": "c"}, {"a": "b", "b": "c"}),
        ({"a": "b", "b": "c"}, {"a": None}, {"b": "c"}),
        ({"a": ["b"]}, {"a": "c"}, {"a": "c"}),
        ({"a": {"b": "c"}}, {"a": {"b": "d", "c": None}}, {"a": {"b": "d"}}),
        ({"a": [{"b": "c"}]}, {"a": [1]}, {"a": [1]}),
        (["a", "b"], ["c", "d"], ["c", "d"]),
        ({"a": "b"}, ["c"], ["c"]),
        ({"a": "foo"}, None, None),
        ({"e": None}, {"a": 1}, {"e": None, "a": 1}),
        ([1, 2], {"a": "b", "c": None}, {"a": "b"}),
        ({}, {"a": {"bb": {"ccc": None}}}, {"a": {"bb": {}}}),
    ],
)
def test_merge_patch_follows_the_test_cases_of_rfc_7396(document, patch, merged):
    assert merge_patch(document, patch) == merged


def test_merge_patch_changes_neither_argument_and_bounds_its_depth():
    document = {"a": {"b": 1}}
    patch = {"a": {"c": {"d": 2}}}
    merge_patch(document, patch)
    assert (document, patch) == ({"a": {"b": 1}}, {"a": {"c": {"d": 2}}})
    deep = {}
    for _ in range(50):
        deep = {"a": deep}
    with pytest.raises(ValueError, match="deeper"):
        merge_patch({}, deep)


def test_sections_round_trip_and_hash_by_content():
    document = {
        "deployments": {"d": {"model": "m"}},
        "services": {"s": {}},
        "hosts": {"drain": []},
    }
    assert join_sections(split_document(document)) == document
    assert content_hash({"a": 1, "b": 2}) == content_hash({"b": 2, "a": 1})
    assert content_hash({"a": 1}) != content_hash({"a": 2})


def test_accepted_patches_reach_a_replica_in_order():
    store = Store()
    replica = ConfigReplica("host-1")
    first = run(store, attempt_of(0, service(1.0), "p1"))
    assert first == PatchAccepted(1, ["services/counter-api"])
    old_head = store.head()
    assert feed(replica, store, old_head) == [1]
    assert run(store, attempt_of(1, {"hosts": {"drain": ["h"]}}, "p2")) == (
        PatchAccepted(2, ["hosts"])
    )
    assert feed(replica, store, store.head()) == [2]
    assert replica.document["hosts"]["drain"] == ["h"]
    assert replica.document["services"]["counter-api"]["timeout_s"] == 1.0
    assert len(replica.sections) == 2
    assert feed(replica, store, old_head) == []
    assert replica.number == 2


def test_older_head_never_replaces_a_pending_one():
    """A slow peer sends head 1 while the sections of head 2 are still being fetched.

    If the replica went back to head 1, a patch of head 2 would be undone: a drained
    host, for example, would get requests again.
    """
    store = Store()
    run(store, attempt_of(0, service(1.0), "p1"))
    first = store.head()
    run(store, attempt_of(1, service(2.0), "p2"))
    replica = ConfigReplica("host-1")
    (fetch,) = replica.on_head(0.0, store.head())
    assert replica.on_head(0.1, first) == []
    value = store.objects["configsections", fetch.hash].value
    (adopted,) = replica.on_section(0.2, fetch.hash, value)
    assert adopted.number == 2


def test_section_with_another_hash_is_dropped_and_fetched_again():
    """A response for another section, or a damaged copy, arrives under a needed hash.

    Without the hash check it would come into force unnoticed: a timeout of 9 s, for
    example, where the configuration says 30 s.
    """
    store = Store()
    run(store, attempt_of(0, service(30.0), "p1"))
    replica = ConfigReplica("host-1")
    (fetch,) = replica.on_head(0.0, store.head())
    assert replica.on_section(0.1, fetch.hash, {"timeout_s": 9.0}) == []
    assert replica.on_section(0.1, fetch.hash, {"timeout_s": float("nan")}) == []
    assert replica.number == 0
    assert replica.tick(0.2) == []
    assert replica.tick(1.0) == [FetchSection(fetch.hash)]
    assert feed(replica, store, store.head()) == []
    value = store.objects["configsections", fetch.hash].value
    assert replica.on_section(1.1, fetch.hash, value)[0].number == 1


@pytest.mark.parametrize(
    "head",
    [
        None,
        [],
        {"number": 2},
        {"number": True, "sections": {}, "patches": []},
        {"number": "2", "sections": {}, "patches": []},
        {"number": 2, "sections": {"x": "y"}, "patches": []},
        {"number": 2, "sections": {"hosts": "short"}, "patches": []},
        {"number": 2, "sections": {"hosts": 7}, "patches": []},
        {"number": 2, "sections": {}, "patches": None},
    ],
)
def test_malformed_heads_are_ignored(head):
    assert ConfigReplica("host-1").on_head(0.0, head) == []


def test_concurrent_patches_one_wins_and_the_other_gets_the_changes():
    """Two operators patch the same number, and both read it before either writes.

    Without the condition on the version that was read, the second write would undo the
    first one's drain without an error.
    """
    store = Store()
    run(store, attempt_of(0, service(1.0), "p1"))
    slow = attempt_of(1, service(2.0), "slow")
    slow_write = run_to_head_write(store, slow)
    fast = run(store, attempt_of(1, {"hosts": {"drain": ["h"]}}, "fast"))
    assert fast == PatchAccepted(2, ["hosts"])
    outcome = run(store, slow, calls=[slow_write])
    assert same([outcome], [PatchOutdated(2, ["hosts"])])
    assert [patch["patch_id"] for patch in store.head()["patches"]] == ["p1", "fast"]


def test_outdated_patch_is_refused_at_once():
    store = Store()
    run(store, attempt_of(0, service(1.0), "p1"))
    run(store, attempt_of(1, {"hosts": {"drain": ["h"]}}, "p2"))
    outcome = run(store, attempt_of(0, service(3.0), "p3"))
    assert same([outcome], [PatchOutdated(2, ["hosts", "services/counter-api"])])
    assert store.head()["number"] == 2


def test_lost_response_is_resolved_by_the_patch_id_under_later_patches():
    """The head write takes effect, its response is lost, and another patch follows.

    The read finds the first patch in the head's history under its own number.
    Otherwise the operator would get an error, and the retry would apply the patch
    again.
    """
    store = Store()
    attempt = attempt_of(0, service(1.0), "p1")
    write = run_to_head_write(store, attempt)
    store.apply(write)
    run(store, attempt_of(1, {"hosts": {"drain": ["h"]}}, "p2"))
    assert attempt.handle(0.1, CallFailed(write.tag, sent=True)) == []
    accepted = PatchAccepted(1, ["services/counter-api"])
    assert same([run(store, attempt, 1.0, attempt.tick(1.0))], [accepted])
    assert same([run(store, attempt_of(0, service(1.0), "p1"))], [accepted])
    assert store.head()["number"] == 2


def test_lost_write_that_did_not_take_effect_is_written_again_once():
    store = Store()
    attempt = attempt_of(0, service(1.0), "p1")
    write = run_to_head_write(store, attempt)
    attempt.handle(0.1, CallFailed(write.tag, sent=True))
    calls = attempt.tick(1.0)
    late = store.apply(write)
    outcome = run(store, attempt, 1.0, calls)
    assert same([outcome], [PatchAccepted(1, ["services/counter-api"])])
    assert attempt.handle(1.1, late) == []
    assert store.head()["number"] == 1


def test_patch_in_an_outage_reports_whether_it_may_take_effect():
    attempt = attempt_of(0, service(1.0), "p1")
    (read,) = attempt.start(0.0)
    attempt.handle(0.1, CallFailed(read.tag, sent=True))
    assert same(attempt.tick(9.0), [PatchUnavailable()])
    for sent, outcome in ((True, PatchUnknown()), (False, PatchUnavailable())):
        attempt = attempt_of(0, service(1.0), "p1")
        write = run_to_head_write(Store(), attempt)
        attempt.handle(0.1, CallFailed(write.tag, sent))
        assert same(attempt.tick(9.0), [outcome])
        assert attempt.tick(10.0) == []
    attempt = attempt_of(0, service(1.0), "p1")
    run_to_head_write(Store(), attempt)
    assert same(attempt.tick(9.0), [PatchUnknown()])


def test_used_id_bad_base_and_failed_check_are_invalid():
    store = Store()
    run(store, attempt_of(0, service(1.0), "p1"))
    for attempt, path in (
        (attempt_of(0, service(2.0), "p1"), "patch_id"),
        (attempt_of(1, service(1.0), "p1"), "patch_id"),
        (attempt_of(7, {}, "p2"), "base_number"),
        (attempt_of("1", {}, "p2"), "base_number"),
        (attempt_of(1, [], "p2"), "patch"),
        (attempt_of(1, {}, ""), "patch_id"),
        (attempt_of(1, {}, "p2", lambda document: [Problem("x", "", "")]), "x"),
    ):
        outcome = run(store, attempt)
        assert isinstance(outcome, PatchInvalid), outcome
        assert outcome.problems[0].path == path
    assert store.head()["number"] == 1


def test_history_is_bounded_and_unknown_once_pruned():
    store = Store()
    lost = attempt_of(0, service(0.5), "lost")
    write = run_to_head_write(store, lost)
    for number in range(70):
        run(store, attempt_of(number, service(number + 1.0), f"p{number}"))
    assert len(store.head()["patches"]) == 64
    lost.handle(0.1, CallFailed(write.tag, sent=True))
    assert same([run(store, lost, 1.0, lost.tick(1.0))], [PatchUnknown()])
    outcome = run(store, attempt_of(0, service(9.0), "old"))
    assert same([outcome], [PatchOutdated(70, ["services/counter-api"])])


def test_host_without_platform_and_majority_stops_serving():
    """A host is partitioned from the platform and from most of its peers.

    It can't learn of a newer configuration. If it kept serving by its old one, a
    drained engine, for example, would still get requests minutes after the drain.
    """
    hosts = ["a", "b", "c", "d", "e"]

    def serves(now_s, platform_s, peers_s, setting="stop"):
        last_s = last_contact_s(now_s, platform_s, peers_s, "a", hosts)
        return may_serve(now_s, last_s, setting, limit_s=8.0)

    assert serves(100.0, 93.0, {})
    assert not serves(100.0, 91.0, {})
    assert serves(100.0, 91.0, {}, setting="serve")
    assert not serves(100.0, 0.0, {"b": 99.0})
    assert serves(100.0, 0.0, {"b": 99.0, "c": 95.0})
    assert not serves(100.0, 0.0, {"b": 99.0, "c": 91.0})
    assert not serves(100.0, 0.0, {"x": 99.0, "y": 99.0})
    hosts[:] = ["a", "b"]
    assert serves(100.0, 0.0, {"b": 99.0})
    assert not serves(100.0, 0.0, {"b": 91.0})
    hosts[:] = ["a"]
    assert serves(100.0, 0.0, {})
