"""The records by which the hosts find each other, when hosts come and go."""

import asyncio
from types import SimpleNamespace

from returns.result import Failure, Success

from gypsumusher_entry.registration import Registration
from gypsumusher_ports import Listing, PlatformError, StoredObject
from gypsumusher_routing import HostTable


class RecordStore:
    """The store's records, as one host after another reads and writes them."""

    def __init__(self, *names):
        self.records = {name: {"ip": "10.0.0.9", "zone": "a"} for name in names}

    async def list(self, kind, allow_stale=False):
        objects = [
            StoredObject(name, 1, content, None)
            for name, content in self.records.items()
        ]
        return Success(Listing(tuple(objects), 1))

    async def create(self, kind, name, content):
        if name in self.records:
            return Failure(PlatformError("create", "store", "conflict", ""))
        return await self.replace(kind, name, content)

    async def replace(self, kind, name, content, revision=None):
        self.records[name] = content
        return Success(StoredObject(name, 1, content, None))

    async def delete(self, kind, name, revision=None):
        if self.records.pop(name, None) is None:
            return Failure(PlatformError("delete", "store", "absent", ""))
        return Success(None)


def create_context(is_watcher=True):
    clock = SimpleNamespace(now_s=0.0)
    return clock, SimpleNamespace(
        settings=SimpleNamespace(
            name="host-1", ip="10.0.0.1", zone="a", is_first_start=False
        ),
        hosts=HostTable("host-1"),
        clock=lambda: clock.now_s,
        log=lambda *_, **__: None,
        watches_store=lambda: is_watcher,
    )


async def start_and_settle(store, context):
    """Start a registration, and let it do all that needs no waiting."""
    context.draw = lambda: 0.5
    context.spawn = asyncio.ensure_future
    task = asyncio.ensure_future(Registration(context, store)._run())
    for _ in range(20):
        await asyncio.sleep(0)
    task.cancel()


def test_hosts_that_all_start_again_do_not_write_records_that_stand():
    """After the loss of all hosts each called the store three times for its record."""
    store = RecordStore("host-2")
    store.records["host-1"] = {"ip": "10.0.0.1", "zone": "a"}
    store.create = store.replace = None
    _, context = create_context()
    asyncio.run(start_and_settle(store, context))
    assert list(context.hosts.addresses()) == ["host-2"]


def test_a_host_at_a_new_address_writes_its_record_anew():
    """A host came back elsewhere, and its peers went on calling its old address."""
    store = RecordStore("host-1")
    _, context = create_context()
    asyncio.run(start_and_settle(store, context))
    assert store.records["host-1"]["ip"] == "10.0.0.1"


def reread_at(clock, registration, now_s):
    async def run():
        clock.now_s = now_s
        assert await registration._reread()
        await registration._drop_forgotten()

    asyncio.run(run())


def test_the_record_of_a_host_that_is_gone_is_deleted_by_a_host_that_watches():
    """Records of replaced hosts stay for ever, and every host goes on calling them."""
    store = RecordStore("host-1", "host-2")
    clock, context = create_context()
    registration = Registration(context, store)
    reread_at(clock, registration, 0.0)
    assert "host-2" in context.hosts.addresses()
    reread_at(clock, registration, 59.0)
    assert "host-2" in store.records
    reread_at(clock, registration, 61.0)
    assert list(store.records) == ["host-1"]
    assert not context.hosts.addresses()


def test_a_host_that_does_not_watch_leaves_the_records_alone():
    """Three hundred hosts each delete the same record, at the store's expense."""
    store = RecordStore("host-1", "host-2")
    clock, context = create_context(is_watcher=False)
    registration = Registration(context, store)
    reread_at(clock, registration, 0.0)
    reread_at(clock, registration, 61.0)
    assert "host-2" in store.records


def test_hosts_that_never_speak_to_each_other_stay_known_by_their_records():
    """Callers find too few hosts after the loss of those that they were sent to.

    The other hosts speak to the active ones only. Each minute they forgot each other,
    until the records were read again; if the active ones were lost meanwhile, they did
    not hear of each other.
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


def test_a_host_that_begins_to_watch_listens_before_it_deletes_records():
    """The active hosts are lost, and the next one deletes the records of all others.

    They have not spoken to it for hours, since it was not active.
    """
    store = RecordStore("host-1", "host-2")
    clock, context = create_context(is_watcher=False)
    registration = Registration(context, store)
    reread_at(clock, registration, 0.0)
    reread_at(clock, registration, 3600.0)
    context.watches_store = lambda: True
    reread_at(clock, registration, 3615.0)
    reread_at(clock, registration, 3670.0)
    assert "host-2" in store.records
    reread_at(clock, registration, 3676.0)
    assert list(store.records) == ["host-1"]


def test_a_host_that_was_taken_for_gone_writes_its_record_again():
    """A host is cut off for a minute, and nobody ever speaks to it again.

    The others have deleted its record meanwhile; it wrote that at its start only.
    """
    store = RecordStore("host-1")
    clock, context = create_context()
    registration = Registration(context, store)
    reread_at(clock, registration, 0.0)
    del store.records["host-1"]
    reread_at(clock, registration, 15.0)
    assert store.records["host-1"] == {"ip": "10.0.0.1", "zone": "a"}
