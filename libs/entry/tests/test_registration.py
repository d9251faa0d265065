"""The records by which the hosts find each other, when hosts come and go."""

import asyncio
from collections import Counter
from types import SimpleNamespace

from returns.result import Failure, Success

from gypsumusher_entry.registration import Registration
from gypsumusher_ports import Listing, PlatformError, StoredObject
from gypsumusher_routing import ABSENT_FOR_S, HostTable, Membership, RecordState

MEMBER_RECORD = {"ip": "10.0.0.1", "zone": "a"}


class RecordStore:
    """A store of host records that several hosts read and write."""

    def __init__(self, *names):
        self.records = {name: {"ip": "10.0.0.9", "zone": "a"} for name in names}
        # How often a record was replaced, by name.
        self.replaced = Counter()

    async def list(self, kind, allow_stale=False):
        objects = [
            StoredObject(name, self.replaced[name], content, None)
            for name, content in self.records.items()
        ]
        return Success(Listing(tuple(objects), 1))

    async def create(self, kind, name, content):
        if name in self.records:
            return Failure(PlatformError("create", "store", "conflict", ""))
        return await self.replace(kind, name, content)

    async def replace(self, kind, name, content, revision=None):
        if revision not in (None, self.replaced[name]):
            return Failure(PlatformError("replace", "store", "conflict", ""))
        self.records[name] = content
        self.replaced[name] += 1
        return Success(StoredObject(name, self.replaced[name], content, None))

    async def delete(self, kind, name, revision=None):
        if name not in self.records:
            return Failure(PlatformError("delete", "store", "absent", ""))
        if revision not in (None, self.replaced[name]):
            return Failure(PlatformError("delete", "store", "conflict", ""))
        del self.records[name]
        return Success(None)


def create_context(is_watcher=True):
    """Return a settable clock and the context of a host that uses it."""
    clock = SimpleNamespace(now_s=0.0)
    return clock, SimpleNamespace(
        settings=SimpleNamespace(
            name="host-1", ip="10.0.0.1", zone="a", is_first_start=False
        ),
        hosts=HostTable("host-1"),
        clock=lambda: clock.now_s,
        log=lambda *_, **__: None,
        membership=Membership(),
        watches_store=lambda: is_watcher,
        draw_uniform=lambda: 0.5,
    )


async def start_until_idle(store, context):
    """Start a registration and run it until it waits."""
    context.spawn = asyncio.ensure_future
    task = asyncio.ensure_future(Registration(context, store)._run())
    for _ in range(20):
        await asyncio.sleep(0)
    task.cancel()


def test_restarting_hosts_do_not_rewrite_existing_records():
    """After a loss of all hosts each called the store three times for its record."""
    store = RecordStore("host-2")
    store.records["host-1"] = MEMBER_RECORD
    store.create = store.replace = None
    _, context = create_context()
    asyncio.run(start_until_idle(store, context))
    assert list(context.hosts.addresses()) == ["host-2"]


def test_host_at_new_address_rewrites_its_record():
    """A host restarted at a new address, and its peers kept calling the old one."""
    store = RecordStore("host-1")
    _, context = create_context()
    asyncio.run(start_until_idle(store, context))
    assert store.records["host-1"]["ip"] == "10.0.0.1"


def reread_at(clock, registration, now_s):
    """Read the records and delete those of silent hosts, at a given time."""

    async def run():
        clock.now_s = now_s
        await registration._until_done(registration._reread)
        await registration._drop_forgotten()

    asyncio.run(run())


def test_record_of_lost_host_is_deleted_by_watching_host():
    """Records of replaced hosts stayed for ever, and all hosts kept calling them."""
    store = RecordStore("host-1", "host-2")
    store.records["host-1"] = MEMBER_RECORD
    clock, context = create_context()
    registration = Registration(context, store)
    reread_at(clock, registration, 0.0)
    assert "host-2" in context.hosts.addresses()
    reread_at(clock, registration, 59.0)
    assert "host-2" in store.records
    reread_at(clock, registration, 61.0)
    assert store.records["host-2"]["state"] == RecordState.SILENT.value
    assert not context.hosts.addresses()
    # The host may use its share of the retry budget until its lease has ended.
    reread_at(clock, registration, 62.0)
    reread_at(clock, registration, 62.0 + ABSENT_FOR_S)
    assert "host-2" in store.records and context.hosts.existing_count() == 2
    reread_at(clock, registration, 63.0 + ABSENT_FOR_S)
    assert list(store.records) == ["host-1"]
    assert not context.hosts.addresses()


def test_host_without_watch_deletes_no_records():
    """Three hundred hosts each deleted the same record, at the store's expense."""
    store = RecordStore("host-1", "host-2")
    clock, context = create_context(is_watcher=False)
    registration = Registration(context, store)
    reread_at(clock, registration, 0.0)
    for now_s in (61.0, 62.0, 63.0 + ABSENT_FOR_S):
        reread_at(clock, registration, now_s)
        assert store.records["host-2"] == {"ip": "10.0.0.9", "zone": "a"}


def test_hosts_without_direct_updates_stay_known_by_records():
    """Callers found too few hosts after the loss of the active ones.

    Inactive hosts send updates only to the active ones. They forgot each other every
    minute until they read the records again; if the active hosts were lost meanwhile,
    they didn't find each other.
    """
    store = RecordStore("host-1", "host-2", "host-3")
    clock, context = create_context(is_watcher=False)
    registration = Registration(context, store)
    reread_at(clock, registration, 0.0)
    reread_at(clock, registration, 61.0)
    assert list(context.hosts.addresses()) == ["host-2", "host-3"]
    del store.records["host-3"]
    reread_at(clock, registration, 76.0)
    assert list(context.hosts.addresses()) == ["host-2"]


def test_new_watcher_waits_before_it_deletes_records():
    """The active hosts were lost, and the next one deleted the records of all others.

    The others hadn't sent it updates for hours, since it was not active.
    """
    store = RecordStore("host-1", "host-2")
    clock, context = create_context(is_watcher=False)
    registration = Registration(context, store)
    reread_at(clock, registration, 0.0)
    reread_at(clock, registration, 3600.0)
    context.watches_store = lambda: True
    reread_at(clock, registration, 3615.0)
    reread_at(clock, registration, 3670.0)
    assert "state" not in store.records["host-2"]
    reread_at(clock, registration, 3676.0)
    assert store.records["host-2"]["state"] == RecordState.SILENT.value
    reread_at(clock, registration, 3677.0)
    reread_at(clock, registration, 3678.0 + ABSENT_FOR_S)
    assert list(store.records) == ["host-1"]


def test_host_with_deleted_record_writes_it_again():
    """A host was cut off for a minute, and no other host ever contacted it again.

    The others had deleted its record meanwhile, and it wrote that at its start only.
    """
    store = RecordStore()
    store.records["host-1"] = MEMBER_RECORD
    clock, context = create_context()
    registration = Registration(context, store)
    reread_at(clock, registration, 0.0)
    assert context.membership.is_member(15.0)
    del store.records["host-1"]
    reread_at(clock, registration, 15.0)
    # The others may not count it any more.
    assert store.records["host-1"] == {**MEMBER_RECORD, "state": "joining"}
    assert not context.membership.is_member(15.0)
