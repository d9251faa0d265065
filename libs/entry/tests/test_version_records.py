"""Versions are recorded before streams begin at them, and dropped long after."""

import asyncio

import pytest
from host_harness import run, until
from returns.result import Failure
from version_harness import versioned_fleet

from gypsumusher_entry import version_records
from gypsumusher_entry.registration import HOSTS_KIND
from gypsumusher_entry.version_records import VERSIONS_KIND
from gypsumusher_ports import PlatformError
from gypsumusher_routing import software_versions


async def begin_streams(fleet, host, count=8):
    """Begin streams at a host; return the versions that began them."""
    versions = set()
    for _ in range(count):
        result, response = await fleet.begin(host)
        response.close()
        versions |= set(result.versions)
    return versions


async def refuse_write(*_):
    """Refuse a write, in place of a method of the store's client."""
    return Failure(PlatformError("replace", "store", "refused", ""))


def recorded(fleet):
    """Return the versions in the store's record."""
    spec = fleet.store.spec(VERSIONS_KIND, "svc")
    return None if spec is None else spec["versions"]


# Guards against hosts that call the store for each stream, or all of them at once.
def test_single_version_is_recorded_once():
    async def scenario():
        async with versioned_fleet("v1", "v1", host_count=3) as fleet:
            for host in fleet.hosts:
                await begin_streams(fleet, host)
            await until(lambda: recorded(fleet) == ["v1"])
            written = [
                entries
                for _, event, entries in fleet.lines
                if event == "versions_recorded" and entries["source"] == "own"
            ]
            assert len(written) == 1

    run(scenario())


# Guards against a version that begins streams before a host that starts afterwards can
# know of it.
def test_further_version_begins_no_stream_before_it_is_recorded():
    async def scenario():
        async with versioned_fleet("v1", host_count=1) as fleet:
            (host,) = fleet.hosts
            await begin_streams(fleet, host)
            await until(lambda: recorded(fleet) == ["v1"])
            store = host.context.version_records._store
            replace = store.replace
            store.replace = refuse_write
            await fleet.add_endpoint("v2")
            await fleet.wait_for_endpoints()
            assert await begin_streams(fleet, host) == {"v1"}
            store.replace = replace
            await until(lambda: recorded(fleet) == ["v1", "v2"])
            assert "v2" in await begin_streams(fleet, host)

    run(scenario())


# Guards against a service that is refused because its only version can't be recorded.
def test_unrecorded_version_begins_streams_where_no_other_is_left():
    async def scenario():
        async with versioned_fleet("v1", host_count=1) as fleet:
            (host,) = fleet.hosts
            await begin_streams(fleet, host)
            await until(lambda: recorded(fleet) == ["v1"])
            store = host.context.version_records._store
            store.replace = refuse_write
            await fleet.add_endpoint("v2")
            await fleet.wait_for_endpoints()
            await fleet.drop_endpoint("e-0")
            assert await begin_streams(fleet, host, 2) == {"v2"}

    run(scenario())


# Guards against a service whose streams each wait for a store that is away.
def test_streams_wait_once_for_a_record_that_cannot_be_written():
    async def scenario():
        async with versioned_fleet("v1", host_count=1) as fleet:
            (host,) = fleet.hosts
            # As after a start without the store.
            host.context.version_records._recorded.clear()
            fleet.store.fault = "silent"
            began_s = host.context.clock()
            assert await begin_streams(fleet, host, 8) == {"v1"}
            took_s = host.context.clock() - began_s
            fleet.store.fault = ""
            assert took_s < 4 * version_records.RECORD_WAIT_S

    run(scenario())


# Guards against streams that are refused for ever after a release, because the version
# before it is still recorded.
def test_version_is_dropped_long_after_its_endpoints(monkeypatch):
    async def scenario():
        async with versioned_fleet("v1", "v2", host_count=2) as fleet:
            for host in fleet.hosts:
                await begin_streams(fleet, host, 2)
            await until(lambda: recorded(fleet) == ["v1", "v2"])
            await fleet.drop_endpoint("e-0")
            await begin_streams(fleet, fleet.hosts[0], 2)
            assert recorded(fleet) == ["v1", "v2"]
            monkeypatch.setattr(software_versions, "LEFT_FOR_S", 0.3)
            monkeypatch.setattr(version_records, "LEFT_FOR_S", 0.3)
            monkeypatch.setattr(version_records, "DROP_INTERVAL_S", 0.1)
            await asyncio.sleep(0.5)
            while recorded(fleet) != ["v2"]:
                for host in fleet.hosts:
                    await begin_streams(fleet, host, 2)
            await until(
                lambda: all(
                    host.context.version_records.possible("svc") == {"v2"}
                    for host in fleet.hosts
                )
            )

    run(scenario())


# Guards against a host without the store and without peers that takes the only version
# that it has heard of for the only one there is.
@pytest.mark.parametrize("fault", ["refuse", "silent"])
def test_host_that_hears_nobody_concludes_nothing(fault):
    async def scenario():
        async with versioned_fleet("v1", host_count=1) as fleet:
            (host,) = fleet.hosts
            await begin_streams(fleet, host, 1)
            begun, response = await fleet.begin(host)
            response.close()
            fleet.store.put(HOSTS_KIND, "cut-off", {"ip": "127.9.9.9", "zone": "a"})
            host.context.hosts.on_record(host.context.clock(), "cut-off", "127.9.9.9")
            fleet.store.fault = fault
            known = await fleet.take_up(host, begun)
            unknown = await fleet.take_up(host, begun, Resumes="r-elsewhere")
            fleet.store.fault = ""
            assert known.is_complete
            assert unknown.status == 503 and unknown.retry_after is not None
            last = await fleet.take_up(host, begun, Resumes="r-elsewhere")
            assert last.is_complete

    run(scenario())


# Guards against a record of another form, which must not end a host's requests.
@pytest.mark.parametrize("content", [None, [], {"versions": "v1"}, {"versions": [1]}])
def test_unreadable_record_concludes_nothing(content):
    async def scenario():
        async with versioned_fleet("v1", host_count=1) as fleet:
            fleet.store.put(VERSIONS_KIND, "svc", content)
            (host,) = fleet.hosts
            begun, response = await fleet.begin(host)
            response.close()
            fleet.store.put(HOSTS_KIND, "other", {"ip": "127.9.9.9", "zone": "a"})
            host.context.hosts.on_record(host.context.clock(), "other", "127.9.9.9")
            assert (await fleet.take_up(host, begun)).is_complete
            last = await fleet.take_up(host, begun, Resumes="r-elsewhere")
            assert last.status == 503

    run(scenario())
