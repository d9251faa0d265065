"""Tables of software versions and of begun streams, against simple models."""

from hypothesis import given
from hypothesis import strategies as st

from gypsumusher_ports import EndpointRecord
from gypsumusher_routing import (
    LEFT_FOR_S,
    BegunStream,
    EndpointTable,
    RecordedVersions,
    StreamVersions,
    VersionPresence,
    stream_key,
)

VERSIONS = st.sampled_from(["v1", "v2", "v3"])
KEYS = st.sampled_from([b"key-%d" % number for number in range(5)])
TIMES_S = st.floats(0.0, 10.0)


def record(endpoint_id="e-1", version="v1", beat=1, started_ms=1, service="svc"):
    """Return an endpoint's entry."""
    return EndpointRecord(
        endpoint_id, started_ms, service, "10.0.0.1:80", "a", 6, False, 0.0, None,
        beat, False, version,
    )  # fmt: skip


@given(st.lists(st.tuples(KEYS, VERSIONS, TIMES_S, TIMES_S)))
def test_stream_is_found_with_its_version_until_it_expires(reports):
    table, model = StreamVersions(), {}
    now_s = 0.0
    for key, version, passed_s, for_s in reports:
        now_s += passed_s
        known = model.get(key)
        expires_s = now_s + for_s
        if known is not None and known[1] >= now_s:
            version = version if version == known[0] else None
            expires_s = max(expires_s, known[1])
        model[key] = (version, expires_s)
        table.put(now_s, key, BegunStream(version, expires_s))
        for other, (expected, until_s) in model.items():
            found = table.find(now_s, other)
            assert (found is not None) == (until_s >= now_s)
            assert found is None or found.version == expected


def test_forgotten_streams_are_unknown():
    table = StreamVersions(max_streams=2)
    for number in range(3):
        table.put(0.0, b"%d" % number, BegunStream("v1", 9.0, "svc"))
    assert table.find(1.0, b"0") is None and table.find(1.0, b"2") is not None
    assert len(table) == 2
    assert [key for key, _ in table.of_service(1.0, "svc")] == [b"1", b"2"]
    assert table.of_service(1.0, "other") == []


# Guards against callers that name the stream of another account, or of a service that
# another one has replaced.
def test_streams_of_other_accounts_and_services_have_other_keys():
    keys = {
        stream_key(service, account, request_id)
        for service in ("a", "ab")
        for account in (None, "b", "c")
        for request_id in ("r-1", "br-1")
    }
    assert len(keys) == 12
    assert len(next(iter(keys))) == 8


def test_version_counts_for_a_while_after_its_last_endpoint_has_left():
    presence = VersionPresence()
    for endpoint_id, version in (("e-1", "v1"), ("e-2", "v1"), ("e-3", "v2")):
        presence.add(record(endpoint_id, version))
    presence.remove(record("e-1", "v1"))
    assert presence.recent(0.0, "svc") == {"v1", "v2"}
    presence.remove(record("e-2", "v1"))
    assert presence.present("svc") == {"v2"}
    assert presence.recent(10.0, "svc") == {"v1", "v2"}
    assert presence.recent(10.0 + LEFT_FOR_S, "svc") == {"v1", "v2"}
    assert presence.recent(10.1 + LEFT_FOR_S, "svc") == {"v2"}
    assert presence.recent(0.0, "other") == frozenset()


def test_endpoint_table_follows_versions_of_entries():
    table = EndpointTable()
    table.on_full_list(0.0, [record(), record("e-2", "v2")], 1)
    assert table.versions.present("svc") == {"v1", "v2"}
    # An entry may change its version, and an endpoint may restart with another one.
    table.on_record(record(version="v3", beat=2), 2)
    table.on_record(record("e-2", "v4", started_ms=2), 3)
    assert table.versions.present("svc") == {"v3", "v4"}
    assert table.versions.recent(1.0, "svc") == {"v1", "v2", "v3", "v4"}
    table.on_deleted(1.0, "e-1", 4)
    assert table.versions.present("svc") == {"v4"}


def test_older_record_of_versions_is_ignored():
    recorded = RecordedVersions()
    assert recorded.on_record(["v1", "v2"], 5)
    assert not recorded.on_record(["v1"], 4)
    assert recorded.versions == {"v1", "v2"}
